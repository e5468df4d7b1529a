"""A small cluster of processes that a class of tests breaks."""

import os
import pathlib
import tempfile
from typing import Any
import unittest

from bench import cluster
from bench import counters
from bench import http
from bench import processes
from tests.processes import declared
from tests.processes import load

TIMEOUT_S = 60.0
# If set, how long each recovery took is printed.
SHOWS_TIMES = "SHOW_TIMES" in os.environ


class ClusterCase(unittest.TestCase):
    """A cluster for all tests of a class.

    Attributes:
        CUT: Whether it has relays between data centres.
        IS_ONE_REGION: Whether one daemon may own the shards of all data
            centres.
        running: The cluster.
        group: Its processes.
    """

    CUT = False
    IS_ONE_REGION = True
    running: cluster.Cluster
    group: processes.Group

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory(prefix="failures-")
        cls.addClassCleanup(folder.cleanup)
        cls.group = processes.Group(pathlib.Path(folder.name))
        cls.addClassCleanup(cls.group.stop_all)
        cls.running = cluster.start(
            cls.group,
            declared.LAYOUT,
            endpoint_processes=1,
            overrides={
                "timings": declared.TIMINGS,
                "data_centres": cls.list_data_centres(),
            },
            declare=declared.declare,
            cut=cls.CUT,
        )

    @classmethod
    def list_data_centres(cls) -> dict[str, dict[str, Any]]:
        """Return the data centres as the settings list them."""
        return {
            name: {"shards": 1, "region": "one" if cls.IS_ONE_REGION else name}
            for name in declared.LAYOUT.data_centres
        }

    def tearDown(self):
        """Tell how the daemons saw a test that failed."""
        outcome = self._outcome
        if outcome.success:
            return
        for daemon in self.running.daemons:
            name = self.running.name_process(daemon["vm_id"])
            print(f"--- {name}\n{self.group.read_tail(name, 3000)}")

    def wait_until(self, condition, what, timeout_s=TIMEOUT_S) -> float:
        """Wait for a condition; return how long it took, in seconds."""
        seconds = cluster.wait_until(condition, what, timeout_s)
        if SHOWS_TIMES:
            print(f"{self._testMethodName}: {what}: {seconds:.2f} s")
        return seconds

    def get_port(self, daemon_id: str) -> int:
        """Return the callers' port of a daemon."""
        return next(
            daemon["http_port"]
            for daemon in self.running.daemons
            if daemon["vm_id"] == daemon_id
        )

    def list_running(self, data_centre: str | None = None) -> list[str]:
        """Return the daemons whose process runs."""
        return [
            daemon["vm_id"]
            for daemon in self.running.daemons
            if self.group.is_running(self.running.name_process(daemon["vm_id"]))
            and data_centre in (None, daemon["data_centre"])
        ]

    def read_status(self, daemon_id: str) -> dict[str, Any]:
        """Return what a daemon tells operators."""
        return http.request_json(
            self.get_port(daemon_id),
            "/v1/operator/status",
            token=declared.OPERATOR_TOKEN,
        )

    def find_owner(self, shard_id: str, asked: str) -> str:
        """Return the owner of a shard as a daemon says; empty if none."""
        for row in self.read_status(asked)["shards"]:
            if row["shard"] == shard_id:
                return row["owner"]
        return ""

    def wait_for_owner(
        self, shard_id: str, but: str = "", among: str | None = None
    ) -> str:
        """Wait until all live daemons agree on an owner, one of them.

        Args:
            shard_id: The shard.
            but: A daemon that is dead or paused.
            among: The data centre whose daemons are meant; all by default.
        """
        found: set[str] = set()

        def agree() -> bool:
            nonlocal found
            live = [d for d in self.list_running(among) if d != but]
            found = {self.find_owner(shard_id, one) for one in live}
            return len(found) == 1 and found <= set(live)

        self.wait_until(agree, f"an owner of {shard_id}")
        return found.pop()

    def find_gateway(self, data_centre: str | None = None) -> str:
        """Return a daemon that owns nothing."""
        owners = {self.wait_for_owner(f"{c}/0") for c in ("north", "south")}
        return next(
            d for d in self.list_running(data_centre) if d not in owners
        )

    def wait_for_answers(
        self, ports: list[int], plan: str = declared.WIDE
    ) -> float:
        """Wait until a job completes at each port; return seconds."""
        return sum(
            self.wait_until(
                lambda port=port: load.submit(port, plan, 1, 20).status == 200,
                f"a job at {port}",
            )
            for port in ports
        )

    def read_marks(self) -> dict[str, int]:
        """Return how often each mark was started, on any worker."""
        found: dict[str, int] = {}
        for port in self.running.endpoint_control_ports:
            marks = http.request_json(port, "/control/marks")["marks"]
            for mark, count in marks.items():
                found[mark] = found.get(mark, 0) + count
        return found

    def read_counters(self) -> dict[str, Any]:
        """Return the sums of all workers' counters."""
        return counters.read_endpoint_counters(self.running)

    def list_ports(self, but: str = "") -> list[int]:
        """Return the callers' ports of all running daemons but one."""
        return [self.get_port(d) for d in self.list_running() if d != but]

    def wait_for_more(
        self, running: load.Load, ports: list[int], count: int = 20
    ) -> float:
        """Wait until so many more jobs have completed through some daemons."""
        wanted = running.count_complete(ports) + count
        return self.wait_until(
            lambda: running.count_complete(ports) >= wanted,
            f"{count} more jobs at {ports}",
        )

    def restart(self, daemon_id: str) -> None:
        """Start a killed daemon again and wait until it serves."""
        self.group.restart(daemon_id)
        self.wait_for_answers([self.get_port(daemon_id)])

    def check(self, answers, may_close=()) -> None:
        """Check that every answer is whole, and true to what has started.

        Args:
            answers: All answers of a load.
            may_close: Ports whose connections may have been closed.
        """
        marks = self.read_marks()
        if SHOWS_TIMES:
            self._show_times(answers)
        for answer in answers:
            with self.subTest(answer=answer):
                problem = answer.find_problem(marks, may_close)
                self.assertIsNone(problem)
        twice = {mark: n for mark, n in marks.items() if n > 1}
        self.assertEqual(twice, {}, "started more than once")
        self.assertEqual(self.read_counters()["double_starts"], 0)

    def _show_times(self, answers) -> None:
        worst = max(answers, key=lambda answer: answer.took_s)
        print(f"{self._testMethodName}: worst answer {worst}"[:400])
        for status in sorted({answer.status for answer in answers}):
            count = sum(answer.status == status for answer in answers)
            print(f"{self._testMethodName}: {count} answers {status}")
