"""A base class for tests that inject faults into a small cluster."""

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
# Whether to print how long each wait and the slowest answer took.
PRINTS_TIMES = "SHOW_TIMES" in os.environ


class ClusterCase(unittest.TestCase):
    """A test case whose tests share one cluster.

    Attributes:
        HAS_RELAYS: Whether the data centres are linked by relays, which a
            test can cut.
        IS_ONE_REGION: Whether one daemon may own the shards of all data
            centres.
        test_cluster: The cluster.
        group: The processes of the cluster.
    """

    HAS_RELAYS = False
    IS_ONE_REGION = True
    test_cluster: cluster.Cluster
    group: processes.Group

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory(prefix="failures-")
        cls.addClassCleanup(folder.cleanup)
        cls.group = processes.Group(pathlib.Path(folder.name))
        cls.addClassCleanup(cls.group.stop_all)
        cls.test_cluster = cluster.start(
            cls.group,
            declared.LAYOUT,
            endpoint_processes=1,
            overrides={
                "timings": declared.TIMINGS,
                "data_centres": cls.list_data_centres(),
            },
            declare=declared.declare,
            cut=cls.HAS_RELAYS,
        )

    @classmethod
    def list_data_centres(cls) -> dict[str, dict[str, Any]]:
        """Return the data centres section of the settings."""
        return {
            name: {"shards": 1, "region": "one" if cls.IS_ONE_REGION else name}
            for name in declared.LAYOUT.data_centres
        }

    def tearDown(self):
        """Print the end of each daemon's log if the test failed."""
        outcome = self._outcome
        if outcome.success:
            return
        for daemon in self.test_cluster.daemons:
            name = self.test_cluster.name_process(daemon["vm_id"])
            print(f"--- {name}\n{self.group.read_tail(name, 3000)}")

    def wait_until(self, condition, what, timeout_s=TIMEOUT_S) -> float:
        """Wait for a condition; return how long it took, in seconds."""
        seconds = cluster.wait_until(condition, what, timeout_s)
        if PRINTS_TIMES:
            print(f"{self._testMethodName}: {what}: {seconds:.2f} s")
        return seconds

    def get_port(self, daemon_id: str) -> int:
        """Return the HTTP port of a daemon."""
        return next(
            daemon["http_port"]
            for daemon in self.test_cluster.daemons
            if daemon["vm_id"] == daemon_id
        )

    def list_running(self, data_centre: str | None = None) -> list[str]:
        """Return the ids of the daemons whose process is running."""
        return [
            daemon["vm_id"]
            for daemon in self.test_cluster.daemons
            if self.group.is_running(
                self.test_cluster.name_process(daemon["vm_id"])
            )
            and data_centre in (None, daemon["data_centre"])
        ]

    def read_status(self, daemon_id: str) -> dict[str, Any]:
        """Return the operator status of a daemon."""
        return http.request_json(
            self.get_port(daemon_id),
            "/v1/operator/status",
            token=declared.OPERATOR_TOKEN,
        )

    def find_owner(self, shard_id: str, asked: str) -> str:
        """Return the owner of a shard according to a daemon, "" if none."""
        for row in self.read_status(asked)["shards"]:
            if row["shard"] == shard_id:
                return row["owner"]
        return ""

    def wait_for_owner(
        self, shard_id: str, excluded_id: str = "", within: str | None = None
    ) -> str:
        """Wait until all live daemons agree on a live owner and return its id.

        Args:
            shard_id: The shard.
            excluded_id: A daemon to leave out because it is dead or paused.
            within: The data centre whose daemons must agree; all by default.
        """
        found: set[str] = set()

        def agree() -> bool:
            nonlocal found
            live = [d for d in self.list_running(within) if d != excluded_id]
            found = {self.find_owner(shard_id, one) for one in live}
            return len(found) == 1 and found <= set(live)

        self.wait_until(agree, f"an owner of {shard_id}")
        return found.pop()

    def find_gateway(self, data_centre: str | None = None) -> str:
        """Return the id of a daemon that owns no shard."""
        owners = {self.wait_for_owner(f"{c}/0") for c in ("north", "south")}
        return next(
            d for d in self.list_running(data_centre) if d not in owners
        )

    def wait_for_answers(
        self, ports: list[int], plan: str = declared.WIDE
    ) -> float:
        """Wait until a job completes at each port; return the total seconds."""
        return sum(
            self.wait_until(
                lambda port=port: load.submit(port, plan, 1, 20).status == 200,
                f"a job at {port}",
            )
            for port in ports
        )

    def read_marks(self) -> dict[str, int]:
        """Return the number of starts by task mark, over all workers."""
        found: dict[str, int] = {}
        for port in self.test_cluster.endpoint_control_ports:
            marks = http.request_json(port, "/control/marks")["marks"]
            for mark, count in marks.items():
                found[mark] = found.get(mark, 0) + count
        return found

    def read_counters(self) -> dict[str, Any]:
        """Return the sums of all workers' counters."""
        return counters.read_endpoint_counters(self.test_cluster)

    def list_ports(self, excluded_id: str = "") -> list[int]:
        """Return the HTTP ports of all running daemons except one."""
        return [
            self.get_port(d) for d in self.list_running() if d != excluded_id
        ]

    def wait_for_more_jobs(
        self, background: load.Load, ports: list[int], count: int = 20
    ) -> float:
        """Wait until `count` more jobs have completed through these ports."""
        wanted = background.count_complete(ports) + count
        return self.wait_until(
            lambda: background.count_complete(ports) >= wanted,
            f"{count} more jobs at {ports}",
        )

    def restart(self, daemon_id: str) -> None:
        """Restart a stopped daemon and wait until it completes a job."""
        self.group.restart(daemon_id)
        self.wait_for_answers([self.get_port(daemon_id)])

    def check_answers(self, answers, may_close=()) -> None:
        """Check that each answer is complete and matches the recorded starts.

        Also check that no task was started twice.

        Args:
            answers: All answers that a load received.
            may_close: Ports of daemons that may have closed connections.
        """
        marks = self.read_marks()
        if PRINTS_TIMES:
            self._print_times(answers)
        for answer in answers:
            with self.subTest(answer=answer):
                problem = answer.find_problem(marks, may_close)
                self.assertIsNone(problem)
        twice = {mark: n for mark, n in marks.items() if n > 1}
        self.assertEqual(twice, {}, "started more than once")
        self.assertEqual(self.read_counters()["double_starts"], 0)

    def _print_times(self, answers) -> None:
        worst = max(answers, key=lambda answer: answer.took_s)
        print(f"{self._testMethodName}: worst answer {worst}"[:400])
        for status in sorted({answer.status for answer in answers}):
            count = sum(answer.status == status for answer in answers)
            print(f"{self._testMethodName}: {count} answers {status}")
