"""Tests of loading the settings file and of its checks."""

import dataclasses
import pathlib
import tempfile
import unittest

from pollenladder.conf import checks
from pollenladder.conf import defaults
from pollenladder.conf import exceptions
from pollenladder.conf import loader
from pollenladder.conf import loops
from pollenladder.conf import pinning
from pollenladder.conf import settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLE = ROOT / "examples" / "red-andina" / "settings.json"
TEXT = EXAMPLE.read_text()

# Text in the example, its replacement, and part of the resulting error.
INVALID_EDITS = (
    ("peer_port: 7101", "peer_port: 0", "6: peer_port: "),
    ("peer_port: 7101", 'peer_port: "7101"', "6: peer_port: "),
    ("peer_port: 7101", "peer_port: true", "6: peer_port: "),
    ('address: "127.0.0.1"', 'address: "localhost"', "5: address: "),
    ('address: "127.0.0.1"', "adress: 1", "5: adress: is not a known field"),
    ('daemon_id: "quito-norte-1",', "", "2: daemon_id: is missing"),
    ("{shards: 1}", "{shards: 0}", "data_centres.quito-norte.shards: "),
    ("{shards: 1}", "{shard: 1}", "data_centres.quito-norte.shard: "),
    ('"INFO"', '"LOUD"', "log.level: "),
    ("drain_timeout_s: 30", "drain_timeout_s: -1", "timings.drain_timeout_s"),
    ("drain_timeout_s: 30", "drain_timeout_s: NaN", "timings.drain_timeout_s"),
    ("drain_timeout_s: 30", "lease_ttl: 3", "timings.lease_ttl: is not a"),
    ("max_connections: 1000", "max_connections: 1.5", "limits.max_conn"),
    ('daemon_id: "quito-sur-1"', 'daemon_id: "a b"', "peers[0].daemon_id"),
    ("port: 7001", "port: 70010", "platform.port: "),
)


def load_text(text: str) -> settings.Settings:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "settings.json")
        path.write_text(text)
        return loader.load(path)


class LoadTest(unittest.TestCase):
    def test_defaults_are_filled_in_and_overridden(self):
        loaded = load_text(
            TEXT.replace("drain_timeout_s: 30", "retention_s: 9")
        )
        self.assertEqual(loaded.timings.retention_s, 9.0)
        self.assertEqual(loaded.timings.lease_ttl_s, defaults.LEASE_TTL_S)
        self.assertEqual(loaded.data_centres["ambato"].shards, 1)
        self.assertEqual(loaded.peers[0].peer_port, 7102)
        with self.assertRaises(dataclasses.FrozenInstanceError):
            loaded.daemon_id = "other"

    def test_invalid_fields_are_reported_with_file_line_and_field(self):
        for old, new, part in INVALID_EDITS:
            with self.subTest(new):
                self.assertIn(old, TEXT)
                text = TEXT.replace(old, new, 1)
                with self.assertRaises(exceptions.InvalidError) as caught:
                    load_text(text)
                found = [
                    problem
                    for problem in caught.exception.problems
                    if part
                    in f"{problem.line}: {problem.field}: " + problem.detail
                ]
                self.assertEqual(len(found), 1, caught.exception)
                self.assertTrue(found[0].file.endswith("settings.json"))
                if new:
                    name = found[0].field.split(".")[-1]
                    line = text.splitlines()[found[0].line - 1]
                    self.assertIn(name, line)

    def test_all_problems_are_reported_at_once(self):
        text = TEXT.replace("7101", "0").replace("7201", "0")
        with self.assertRaises(exceptions.InvalidError) as caught:
            load_text(text)
        fields = [problem.field for problem in caught.exception.problems]
        self.assertEqual(fields, ["peer_port", "http_port"])


class ChecksTest(unittest.TestCase):
    def test_examples_pass(self):
        for name in ("red-andina", "dalbit"):
            loaded = loader.load(ROOT / "examples" / name / "settings.json")
            context = checks.CheckContext(loaded, pinning.PINNED_LOOP)
            self.assertEqual(checks.run(context), [])

    def test_each_check_reports_its_finding(self):
        base = loader.load(EXAMPLE)
        peer = base.peers[0]
        cases = (
            ("conf.E002", {"data_centre": "lima"}),
            (
                "conf.E002",
                {"peers": (dataclasses.replace(peer, data_centre="lima"),)},
            ),
            ("conf.E003", {"http_port": base.peer_port}),
            ("conf.E004", {"address": "0.0.0.0"}),
            (
                "conf.E005",
                {
                    "data_centres": base.data_centres
                    | {"x": settings.DataCentre(0)}
                },
            ),
            ("conf.E006", {"peer_secret": "short"}),
            (
                "conf.E007",
                {"timings": settings.Timings(lease_ttl_s=2.0)},
            ),
            ("conf.E008", {"timings": settings.Timings(peer_timeout_s=1.0)}),
            (
                "conf.E009",
                {"timings": settings.Timings(endpoint_connect_timeout_s=3.0)},
            ),
            ("conf.E010", {"timings": settings.Timings(loan_term_s=3.0)}),
            ("conf.W001", {"timings": settings.Timings(platform_poll_s=4.0)}),
            ("conf.W002", {"timings": settings.Timings(vm_list_poll_s=3.0)}),
            (
                "conf.E011",
                {"limits": settings.Limits(max_body_bytes=4 * 1024 * 1024)},
            ),
            ("conf.E012", {"peers": (peer, peer)}),
            ("conf.E012", {"daemon_id": peer.daemon_id}),
        )
        for check_id, change in cases:
            with self.subTest(check_id, change=change):
                changed = dataclasses.replace(base, **change)
                findings = checks.run(checks.CheckContext(changed))
                self.assertEqual([f.check_id for f in findings], [check_id])
                is_error = ".E" in check_id
                self.assertEqual(checks.has_errors(findings), is_error)

    def test_the_loop_is_checked(self):
        base = loader.load(EXAMPLE)
        for loop, expected in (
            (loops.describe_loop(), []),
            (pinning.Loop("libuv", "default"), ["conf.E001"]),
            (pinning.Loop("libev", "select"), ["conf.E001"]),
        ):
            findings = checks.run(checks.CheckContext(base, loop))
            self.assertEqual([f.check_id for f in findings], expected)
