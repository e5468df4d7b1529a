"""Tests of the tool's commands with a table and daemons in memory."""

import itertools
import json
import pathlib
import tempfile
import unittest

from cleo.io.inputs import string_input
from cleo.io.outputs import buffered_output

from pollenladder.core import verdicts
from pollenladder.management import application
from pollenladder.management import connections
from pollenladder.management import environment as environments
from pollenladder.plans import loading
from tests import fakes

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
BOTH = f"{EXAMPLES}/red-andina {EXAMPLES}/dalbit"
PLATFORM = "--platform 127.0.0.1:7001"
DAEMONS = "--daemon 127.0.0.1:7201 --daemon 127.0.0.1:7202"
TOKEN = "example-only-dalbit-operator"
OTHER_TOKEN = "example-only-red-andina-operator"
TARGETS = {"w-1", "quito-norte-1"}


class Simulation:
    """A platform, two daemons that follow it, and a clock.

    Attributes:
        table: The platform's table.
        now_s: Time of all clocks, in seconds.
        lag_s: Seconds after which a daemon uses a new version, by daemon.
        down: By port, the verdict of requests to a daemon that is down.
        unreachable: Data centres reported as unreachable.
        extra_daemons: Status rows of further daemons.
        applied_s: By version, the time when it was first read.
        ids: The counter from which change ids are built.
    """

    def __init__(self, **faults):
        self.table = fakes.FakeTable(**faults)
        self.now_s = 1000.0
        self.lag_s = {"quito-norte-1": 0.0, "ambato-1": 0.6}
        self.down: dict[int, verdicts.Verdict] = {}
        self.unreachable: list[str] = []
        self.extra_daemons: list[dict] = []
        self.applied_s: dict[int, float] = {}
        self.ids = itertools.count(1)

    def run(self, command: str, token: str = TOKEN) -> tuple[int, str, str]:
        environment = environments.Environment(
            variables={"POLLENLADDER_TOKEN": token} if token else {},
            open_table=lambda address: self.table.open(),
            request=self.answer,
            read_wall_s=lambda: self.now_s,
            read_monotonic_s=lambda: self.now_s,
            sleep=self.sleep,
            draw_id=lambda: f"change-{next(self.ids)}",
        )
        output = buffered_output.BufferedOutput()
        error_output = buffered_output.BufferedOutput()
        code = application.run(
            environment,
            string_input.StringInput(command),
            output,
            error_output,
        )
        return code, output.fetch(), error_output.fetch()

    def sleep(self, seconds: float) -> None:
        self.now_s += seconds

    def answer(self, address, method, path, token, body):
        if address.port in self.down:
            verdict = self.down[address.port]
            raise connections.RequestError(f"{address}: down", verdict)
        version = self.get_version("quito-norte-1")
        if not version or token not in (TOKEN, OTHER_TOKEN):
            return connections.Response(401, {})
        if path == "/v1/operator/status":
            return connections.Response(200, self.describe())
        if path == "/v1/operator/drain" and method == "POST":
            return connections.Response(
                200 if body["target"] in TARGETS else 404, {}
            )
        known = path == "/v1/operator/jobs/j-1"
        return connections.Response(200 if known else 404, {"job": "j-1"})

    def get_version(self, daemon: str) -> int:
        row = self.table.rows.get(loading.ROW_KEY)
        if row is None:
            return 0
        since_s = self.applied_s.setdefault(row.version, self.now_s)
        late = self.now_s - since_s < self.lag_s[daemon]
        return row.version - 1 if late else row.version

    def describe(self) -> dict:
        daemons = [
            {
                "daemon": name,
                "data_centre": name.removesuffix("-1"),
                "version": self.get_version(name),
                "state": "live",
                "last_heard_s": 0.2,
            }
            for name in self.lag_s
        ]
        daemons += self.extra_daemons
        return {
            "daemon": "quito-norte-1",
            "data_centre": "quito-norte",
            "version": self.get_version("quito-norte-1"),
            "daemons": daemons,
            "workers": [{"worker": "w-1", "data_centre": "x", "slots": 8}],
            "plans": [{"plan": "storefront", "running": 3}],
            "shards": [{"shard": "ambato/0", "owner": "ambato-1", "epoch": 5}],
            "unreachable_data_centres": self.unreachable,
        }


def build_simulation(**faults) -> Simulation:
    """Return a simulation where both examples are in force as version 1."""
    simulation = Simulation(**faults)
    simulation.run(f"apply {BOTH} {PLATFORM} --no-wait")
    simulation.now_s += 100
    return simulation


def edit_examples(folder: str, old: str, new: str) -> str:
    """Write a copy of both examples with one change; return directories."""
    for name in ("red-andina", "dalbit"):
        target = pathlib.Path(folder, name)
        target.mkdir(parents=True, exist_ok=True)
        for file in loading.FILES:
            text = (EXAMPLES / name / file).read_text()
            (target / file).write_text(text.replace(old, new))
    return f"{folder}/red-andina {folder}/dalbit"


# Each row: the command, the token, the expected exit code, and a part of standard
# output and of standard error.
CASES = (
    (f"diff {PLATFORM} {BOTH}", TOKEN, 0, "version 1, 0 changes", ""),
    (f"diff {PLATFORM} {EXAMPLES}/dalbit", TOKEN, 0, "- plans.forma", ""),
    (f"diff --exit-code {PLATFORM} {EXAMPLES}/dalbit", TOKEN, 9, "- ", ""),
    (f"diff --json {PLATFORM} {BOTH}", TOKEN, 0, '"changes": []', ""),
    (f"diff {BOTH}", TOKEN, 2, "", "--platform"),
    (f"diff --platform localhost:1 {BOTH}", TOKEN, 2, "", "IP address"),
    (f"diff --platform 127.0.0.1:0 {BOTH}", TOKEN, 2, "", "65535"),
    (f"diff {PLATFORM} /nonexistent", TOKEN, 1, "", "conf.E101"),
    (f"diff {PLATFORM} {EXAMPLES}/dalbit {BOTH}", TOKEN, 1, "", "plans.E101"),
    (f"apply {PLATFORM} {DAEMONS} {BOTH}", TOKEN, 0, "no change", ""),
    (f"apply {PLATFORM} {DAEMONS} {BOTH}", "wrong", 7, "", "to no operator"),
    (f"apply {PLATFORM} {DAEMONS} {BOTH}", "", 7, "", "POLLENLADDER_TOKEN"),
    (f"apply {PLATFORM} {BOTH}", TOKEN, 2, "", "--daemon"),
    (
        f"apply {PLATFORM} --no-wait --expect-version 0 {BOTH}",
        TOKEN,
        4,
        "",
        "version 1 is in the table, not 0",
    ),
    (f"apply {PLATFORM} --wait-s nan {DAEMONS} {BOTH}", TOKEN, 2, "", "wait-"),
    (f"history {PLATFORM}", TOKEN, 0, "dalbit-operator  change-1  add", ""),
    (f"history {PLATFORM} --changes", TOKEN, 0, "+ plans.storefront", ""),
    (f"history {PLATFORM} --json", TOKEN, 0, '"change_id": "change-1"', ""),
    (f"history {PLATFORM} --last 0", TOKEN, 2, "", "--last"),
    (f"status {DAEMONS}", TOKEN, 0, "ambato/0  ambato-1  5", ""),
    (f"status --json {DAEMONS}", TOKEN, 0, '"version": 1', ""),
    (f"status {DAEMONS}", "wrong", 7, "", "refuses the token"),
    ("status", TOKEN, 2, "", "--daemon"),
    (f"drain w-1 {DAEMONS}", TOKEN, 0, "drain of w-1 has begun", ""),
    (f"drain w-2 {DAEMONS}", TOKEN, 8, "", "404"),
    (f"job j-1 {DAEMONS}", TOKEN, 0, '"job": "j-1"', ""),
    (f"job j/2 {DAEMONS}", TOKEN, 8, "", "404"),
    ("nothing", TOKEN, 2, "", "does not exist"),
    ("job", TOKEN, 2, "", "missing"),
    ("job j-1 --wrong", TOKEN, 2, "", "wrong"),
    (f"check {BOTH}", "", 0, "no errors", ""),
    ("check", "", 2, "", "--settings"),
    ("check /nonexistent", "", 1, "", "conf.E101"),
    (f"check --settings {EXAMPLES}/dalbit/settings.json", "", 0, "no err", ""),
    (f"check --settings {EXAMPLES}/dalbit/plans.json", "", 1, "", "conf.E103"),
)


class CommandsTest(unittest.TestCase):
    def test_exit_code_and_output_of_each_command(self):
        simulation = build_simulation()
        for command, token, code, output, error in CASES:
            with self.subTest(command=command, token=token):
                found = simulation.run(command, token)
                self.assertEqual(found[0], code, found)
                self.assertIn(output, found[1])
                self.assertIn(error, found[2])
                self.assertEqual(code in (0, 9), found[2] == "")
        self.assertEqual(simulation.table.rows[loading.ROW_KEY].version, 1)

    def test_help_has_examples(self):
        for command in application.COMMANDS:
            _, text, _ = Simulation().run(f"{command.name} --help")
            self.assertIn(f"  pollenladder {command.name} ", text)

    def test_check_names_file_line_and_field_of_each_finding(self):
        text = (EXAMPLES / "dalbit" / "settings.json").read_text()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            path.write_text(text.replace("http_port: 7201", "http_port: 7101"))
            code, _, error = Simulation().run(f"check --settings {path}")
        self.assertEqual(code, 1)
        self.assertIn(f"{path}:7: http_port: is the same", error)
        self.assertIn("conf.E003", error)

    def test_check_warns_of_declarations_unsuited_to_the_settings(self):
        with tempfile.TemporaryDirectory() as folder:
            dirs = edit_examples(
                folder, "max_run_ms: 8000", "max_run_ms: 14000"
            )
            settings = f"--settings {EXAMPLES}/dalbit/settings.json"
            code, _, error = Simulation().run(f"check {settings} {dirs}")
        self.assertEqual(code, 0)
        self.assertEqual(error.count("plans.W002"), 9)


class ApplyTest(unittest.TestCase):
    def apply(
        self, simulation: Simulation, options: str = "", old="burst: 200"
    ):
        with tempfile.TemporaryDirectory() as folder:
            dirs = edit_examples(folder, old, "burst: 300")
            return simulation.run(
                f"apply {PLATFORM} {DAEMONS} {options} {dirs}"
            )

    def test_in_force_is_reported_only_once_all_daemons_have_the_version(self):
        simulation = build_simulation()
        code, output, _ = self.apply(simulation)
        self.assertEqual(code, 0)
        lines = output.splitlines()
        self.assertEqual(lines[0], "accepted as version 2, change change-2")
        self.assertEqual(
            lines[1], "in force in all 2 daemons: ambato, quito-norte"
        )
        self.assertEqual(simulation.get_version("ambato-1"), 2)

    def test_lagging_daemons_are_named(self):
        cases = (
            ({"ambato-1": 60.0}, [], "ambato: ambato-1 has version 1"),
            ({}, ["ambato"], "ambato: ambato-1 has version 2"),
            ({}, ["seoul-a"], "seoul-a: can't be reached"),
        )
        for lag_s, unreachable, message in cases:
            with self.subTest(message):
                simulation = build_simulation()
                simulation.lag_s |= lag_s
                simulation.unreachable = unreachable
                code, output, error = self.apply(simulation, "--wait-s 4")
                self.assertEqual(code, 5)
                self.assertIn("accepted as version 2", output)
                self.assertNotIn("in force", output)
                self.assertIn(message, error)

    def test_a_daemon_never_seen_is_named(self):
        simulation = build_simulation()
        simulation.extra_daemons = [
            {
                "daemon": "ambato-2",
                "data_centre": "ambato",
                "version": None,
                "state": "unreachable",
                "last_heard_s": None,
            }
        ]
        code, _, error = self.apply(simulation)
        self.assertEqual(code, 5)
        self.assertIn("ambato-2 has version 0, never seen", error)

    def test_no_daemon_answers(self):
        simulation = build_simulation()
        simulation.down = dict.fromkeys((7201, 7202), verdicts.Verdict.NOT_RUN)
        code, output, error = self.apply(simulation)
        self.assertEqual((code, "in force" in output), (5, False))
        self.assertIn("no daemon answered", error)

    def test_the_first_apply_waits_for_daemons_without_declarations(self):
        simulation = Simulation()
        simulation.lag_s["quito-norte-1"] = 1.5
        code, output, _ = self.apply(simulation)
        self.assertEqual(code, 0)
        self.assertIn("in force in all 2 daemons", output)

    def test_table_faults_give_the_right_exit_code(self):
        # `fakes.FakeTable` describes the faults.
        cases = (
            (["lost"], [], 0, "accepted as version 2"),
            (["dropped"], [], 0, "accepted as version 2"),
            (["refused"] * 6, [], 3, "not applied"),
            (["dropped"] * 6, [], 6, "may have been accepted"),
            (["lost"] + ["dropped"] * 5, [0] + [1] * 6, 6, "may have been"),
            ([], [1], 3, "the table is down"),
        )
        for commit_faults, read_faults, code, message in cases:
            with self.subTest(commit=commit_faults, read=read_faults):
                simulation = build_simulation()
                simulation.table.commit_faults = list(commit_faults)
                simulation.table.read_faults = list(read_faults)
                found = self.apply(simulation)
                self.assertEqual(found[0], code)
                self.assertIn(message, found[1] + found[2])
                self.assertEqual("accepted as" in found[1], code == 0)
                self.assertEqual(self.apply(simulation)[0], 0)
                row = simulation.table.rows[loading.ROW_KEY]
                self.assertEqual(row.version, 2)

    def test_of_two_racing_applies_one_conflicts_and_no_change_is_lost(self):
        simulation = build_simulation()

        original = simulation.table.commit

        def commit_second(transaction):
            simulation.table.commit = original
            with tempfile.TemporaryDirectory() as folder:
                dirs = edit_examples(folder, "weight: 3", "weight: 4")
                command = f"apply {PLATFORM} --no-wait {dirs}"
                self.assertEqual(simulation.run(command, OTHER_TOKEN)[0], 0)
            return original(transaction)

        simulation.table.commit = commit_second
        code, output, error = self.apply(simulation)
        self.assertEqual((code, output), (4, ""))
        self.assertIn("the table now has version 2", error)
        self.assertIn("by red-andina-operator", error)
        row = simulation.table.rows[loading.ROW_KEY]
        self.assertIn('"weight": 4', json.dumps(row.value))
        _, trail, _ = simulation.run(f"history {PLATFORM}")
        self.assertEqual(len(trail.splitlines()), 2)

    def test_a_lost_response_to_a_drain_is_reported(self):
        simulation = build_simulation()
        simulation.down = {7201: verdicts.Verdict.MAY_HAVE_RUN}
        self.assertEqual(simulation.run(f"drain w-1 {DAEMONS}")[0], 6)
        code, output, error = simulation.run(f"status {DAEMONS}")
        self.assertEqual((code, "quito-norte-1" in output), (0, True))
        self.assertIn("127.0.0.1:7201: down", error)
        simulation.down = {7201: verdicts.Verdict.NOT_RUN}
        self.assertEqual(simulation.run(f"drain w-1 {DAEMONS}")[0], 0)
