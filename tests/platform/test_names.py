"""Test that only the adapter knows the platform's names."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PRODUCT = ROOT / "pollenladder"
ADAPTER = PRODUCT / "platform"
# Names of the platform's fields, calls and settings.
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
    "EvacuateMs",
    "ColdLeftMs",
    "ColdStartS",
    "AllowedRegions",
    "evacuate/",
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
    """The platform's names are confined to a small package."""

    def test_no_module_outside_the_adapter_uses_wire_names(self):
        found = [
            f"{path.relative_to(ROOT)}: {match[0]}"
            for path in PRODUCT.rglob("*.py")
            if ADAPTER not in path.parents
            for match in PATTERN.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_adapter_is_less_than_a_tenth_of_the_product(self):
        adapter_lines = sum(
            len(path.read_text().splitlines()) for path in ADAPTER.rglob("*.py")
        )
        product_lines = sum(
            len(path.read_text().splitlines()) for path in PRODUCT.rglob("*.py")
        )
        self.assertLess(adapter_lines, product_lines / 10)
