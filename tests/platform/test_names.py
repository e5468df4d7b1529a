"""The platform's names stay in the adapter."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PRODUCT = ROOT / "pollenladder"
ADAPTER = PRODUCT / "platform"
# Names of fields, calls and settings that mean something on the wire alone.
WIRE_NAMES = (
    "EstimateMs",
    "MemMb",
    "UntilMs",
    "AckCursor",
    "ClockMs",
    "ExpectRev",
    "SetKeys",
    "SloMs",
    "Preemptible",
    "WaitMs",
    "MaxHoldMs",
    "PortRange",
    "run-start",
    "run-stop",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "Expect-Instance",
    "Deadline-Ms",
    "POLLENLADDER_SETTINGS",
)
PATTERN = re.compile("|".join(re.escape(name) for name in WIRE_NAMES))


class NamesTest(unittest.TestCase):
    """Nothing outside the folder spells what is on the wire."""

    def test_no_module_outside_the_adapter_knows_them(self):
        found = [
            f"{path.relative_to(ROOT)}: {match[0]}"
            for path in PRODUCT.rglob("*.py")
            if ADAPTER not in path.parents
            for match in PATTERN.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_adapter_is_small(self):
        lines = sum(
            len(path.read_text().splitlines()) for path in ADAPTER.rglob("*.py")
        )
        whole = sum(
            len(path.read_text().splitlines()) for path in PRODUCT.rglob("*.py")
        )
        self.assertLess(lines, whole / 10)
