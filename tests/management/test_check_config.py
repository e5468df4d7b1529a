"""Tests of the command `check-config` with documents in files."""

import base64
import json
import pathlib
import tempfile
import time
import unittest

from cleo.io.inputs import string_input
from cleo.io.outputs import buffered_output
import hypothesis
from hypothesis import strategies

from pollenladder.management import application
from pollenladder.management import environment as environments
from pollenladder.platform import callers
from pollenladder.platform import configuration_documents
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from standins import site as sites

LIMIT_S = 1.0
ROUTE = {
    "Name": "short",
    "Host": "h.example",
    "Prefix": "/short/",
    "Type": "unsafe",
    "TimeoutMs": 1531,
    "SloMs": 61,
    "Priority": 0,
    "Service": "quotes",
    "Attempts": 3,
    "Stretch": 1.6,
}
LONG = ROUTE | {"Name": "long", "Prefix": "/long/", "Priority": 2}
GOOD = {
    "Version": 7,
    "Routes": [ROUTE, LONG],
    "Limits": {"MaxBodyBytes": 65536},
    "Services": [{"Name": "quotes", "ColdStartS": 8}],
}
WORKER = {
    "Service": "quotes",
    "Addr": "10.0.0.9:8080",
    "Zone": "norte",
    "State": "ready",
    "Capacity": {"Cpu": 64_000, "MemMb": 1000},
}
MINIMAL = {"Name": "a", "Host": "h", "Prefix": "", "Service": "s"}


def change_route(**changes) -> dict:
    return GOOD | {"Routes": [ROUTE, LONG | changes]}


class CheckConfigTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name: str, value) -> str:
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        path = self.folder / name
        path.write_bytes(value)
        return str(path)

    def run_tool(self, value, options: str = "") -> tuple[int, str, str]:
        output = buffered_output.BufferedOutput()
        errors = buffered_output.BufferedOutput()
        line = f"check-config {self.write('new.json', value)} {options}"
        code = application.run(
            environments.build_environment(),
            string_input.StringInput(line),
            output,
            errors,
        )
        return code, output.fetch(), errors.fetch()

    def find(self, value, options: str = "") -> tuple[int, list]:
        """Return the exit code, and the id and path of each finding."""
        code, text, _ = self.run_tool(value, f"--json {options}")
        found = json.loads(text)["findings"]
        return code, [(item["id"][-4:], item["path"]) for item in found]

    def test_good_documents_have_no_findings(self):
        # A check that reports ordinary documents would soon be ignored.
        shorter = ROUTE | {"Name": "more", "Prefix": "/short/more/"}
        cases = (
            GOOD,
            {"Version": 1},
            {"Version": 1, "Routes": [MINIMAL]},
            GOOD | {"Services": []},
            GOOD | {"Routes": [ROUTE, LONG, shorter], "New": {"deep": 1}},
            change_route(Host="other.example", Prefix="/short/"),
            change_route(Priority=-1),
            change_route(AllowedRegions=None, Advice={"DecideMs": 5}),
            change_route(Stretch=1, SloMs=0, Attempts=1),
        )
        for value in cases:
            with self.subTest(value=value):
                self.assertEqual(self.run_tool(value), (0, "no errors\n", ""))

    def test_findings(self):
        upper_case = change_route(Prefix="/short/", Host="H.Example")
        no_body = GOOD | {"Limits": {"MaxBodyBytes": 0}}
        unused = GOOD | {"Services": [*GOOD["Services"], {"Name": "b"}]}
        negative = GOOD | {"Routes": [ROUTE | {"Priority": -1}]}
        cases = (
            (b"{", "E001", ""),
            (b"\xff", "E001", ""),
            (b'{"Version":1,"Services":' + b"[" * 100_000, "E001", ""),
            (GOOD | {"Version": 0}, "E001", "Version"),
            (change_route(TimeoutMs="1"), "E001", "Routes[1].TimeoutMs"),
            ({"Version": 1, "Routes": [{}]}, "E001", "Routes[0].Name"),
            (change_route(Name="short"), "E002", "Routes[1].Name"),
            (change_route(Prefix="/short/"), "E003", "Routes[1].Prefix"),
            (upper_case, "E003", "Routes[1].Prefix"),
            (change_route(Host="h.example:80"), "E004", "Routes[1].Host"),
            (change_route(Host="h.example/"), "E004", "Routes[1].Host"),
            (change_route(Prefix="long/"), "E004", "Routes[1].Prefix"),
            (change_route(Service="quote"), "E005", "Routes[1].Service"),
            (change_route(TimeoutMs=0), "E006", "Routes[1].TimeoutMs"),
            (no_body, "E007", "Limits.MaxBodyBytes"),
            (change_route(Stretch=0.9), "E008", "Routes[1].Stretch"),
            (GOOD | {"Services": {}}, "W001", "Services"),
            (unused, "W002", "Services[1]"),
            (change_route(TimeoutMs=60), "W005", "Routes[1].TimeoutMs"),
            (change_route(Attempts=0), "W006", "Routes[1].Attempts"),
            (negative, "W007", "Routes[0].Priority"),
        )
        for value, check_id, path in cases:
            with self.subTest(check_id=check_id, path=path):
                code = int(check_id.startswith("E"))
                expected = code, [(check_id, path)]
                self.assertEqual(self.find(value), expected)

    def test_text_names_file_path_value_and_remedy(self):
        code, output, errors = self.run_tool(change_route(TimeoutMs="fast"))
        self.assertEqual((code, output), (1, ""))
        self.assertRegex(
            errors,
            r'^error: \S+/new.json: Routes\[1\].TimeoutMs: .*"fast" '
            r"\[platform.E001: give a value",
        )

    def test_workers(self):
        value = json.dumps(WORKER).encode()
        stored = {"Key": "w1", "Value": base64.b64encode(value).decode()}
        other = WORKER | {"Service": "b"}
        cases = (
            ([WORKER], GOOD, []),
            ([stored | {"Table": "servers", "Ver": 4}], GOOD, []),
            ([other], change_route(Service="b"), ["Routes[0].Service"]),
            ([WORKER | {"State": "draining"}], {"Version": 1}, []),
            ([WORKER, {"Addr": 1}], GOOD, ["[1]"]),
            ([WORKER, stored | {"Value": "?"}], GOOD, ["[1]"]),
            ({}, GOOD, [""]),
        )
        for workers, config, expected in cases:
            with self.subTest(workers=workers):
                path = self.write("servers.json", workers)
                _, found = self.find(config, f"--workers {path}")
                paths = [path for found_id, path in found if found_id != "E005"]
                self.assertEqual(paths, expected)

    def test_regions_of_workers(self):
        site = sites.Site()
        self.addCleanup(site.close)
        settings = self.folder / "settings.conf"
        # The data centre "sur" is in the region costa, all others in andes.
        site.write_settings(settings, "front-1", [7001, 7002, 7003])
        workers = self.write("servers.json", [WORKER | {"Zone": "sur"}])
        options = f"--workers {workers} --settings {settings}"
        for allowed, expected in (
            (["costa"], []),
            ([], []),
            (["andes"], [("W004", "Routes[1].AllowedRegions")]),
        ):
            found = self.find(change_route(AllowedRegions=allowed), options)
            self.assertEqual(found, (0, expected))
        # Unusable settings must not pass for settings without regions.
        settings.write_bytes(b"")
        code, _, errors = self.run_tool(GOOD, options)
        self.assertEqual(code, 1)
        self.assertIn("--settings", errors)

    def test_unreadable_files(self):
        for option in ("in-force", "workers"):
            code, _, errors = self.run_tool(GOOD, f"--{option} /none/a.json")
            self.assertEqual(code, 1)
            self.assertIn("/none/a.json", errors)

    def test_differences(self):
        old = self.write("old.json", GOOD)
        cases = (
            (GOOD, "no differences"),
            (GOOD | {"Version": 8}, "no differences"),
            ({"Version": 8, "Routes": [ROUTE]}, "long: the queue ends; .* 404"),
            (change_route(Name="l"), "long: the queue ends; .* go to l"),
            (change_route(Name="l"), "l: the queue is new; takes over .* long"),
            (change_route(Name="l", Prefix="/"), "long: .* l and .* 400"),
            (change_route(Prefix="/l/"), "to h.example/l/; .* address get .*4"),
            (change_route(TimeoutMs=900), "shorter, 900 instead of 1531 ms"),
            (change_route(Service="b"), "from service quotes to b"),
            (change_route(Priority=0), "from 2 to 0; no effect"),
            (change_route(SloMs=10), "falls from 61 to 10 ms"),
            (GOOD | {"Limits": {"MaxBodyBytes": 99}}, "from 65536 to 99 bytes"),
            (GOOD | {"Services": []}, "quotes: cold starts .* 8 to 0 s"),
            (change_route(AllowedRegions=["a"]), "from all to a"),
        )
        for value, expected in cases:
            with self.subTest(expected=expected):
                _, output, _ = self.run_tool(value, f"--in-force {old}")
                self.assertRegex(output, expected)

    def test_version_that_daemons_ignore(self):
        old = self.write("old.json", GOOD)
        for version, code in ((6, 1), (7, 1), (8, 0)):
            value = change_route(Attempts=2) | {"Version": version}
            found = self.find(value, f"--in-force {old}")
            self.assertEqual(found[0], code)
            self.assertEqual(found[1], [("E009", "Version")] * code)

    def test_time_of_1400_routes(self):
        # All on one host is the worst case of the search for a queue.
        routes = [
            ROUTE | {"Name": f"q{index}", "Prefix": f"/q{index}/"}
            for index in range(1400)
        ]
        old = self.write("old.json", GOOD | {"Routes": routes[700:]})
        start = time.perf_counter()
        code, output, _ = self.run_tool(
            GOOD | {"Version": 8, "Routes": routes}, f"--in-force {old}"
        )
        self.assertLess(time.perf_counter() - start, LIMIT_S)
        self.assertEqual((code, output.count("is new")), (0, 700))

    def test_smallest_job_is_accepted(self):
        # A larger one would report body limits that are large enough.
        job = callers.decode_job(configuration_documents.SMALLEST_JOB)
        self.assertEqual(job.tasks, 1)

    @hypothesis.settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.data())
    def test_rejected_documents_are_errors(self, data):
        values = strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=2)
                | strategies.dictionaries(strategies.text(max_size=5), inner)
            ),
            max_leaves=4,
        )
        fields = strategies.sampled_from([*GOOD, *ROUTE])
        name = data.draw(fields)
        value = data.draw(values)
        config = GOOD | {name: value} if name in GOOD else None
        source = json.dumps(config or change_route(**{name: value})).encode()
        source = data.draw(
            strategies.just(source) | strategies.binary(max_size=20)
        )
        try:
            rows.decode_configuration(source)
            is_rejected = False
        except exceptions.BadDocumentError:
            is_rejected = True
        code, found = self.find(source, f"--in-force {self.write('o', GOOD)}")
        self.assertEqual("E001" in [item[0] for item in found], is_rejected)
        self.assertTrue(code or not is_rejected)
