"""Whole daemons beside rows that other writers put among those of the workers.

Each test lets all daemons start anew with the rows in the store.
"""

import json
import signal
import unittest

import gevent

from soak import clusters
from standins import site as sites

# Nothing listens there.
UNREACHABLE = f"{sites.HOST}:9"


def build_row(**changes: object) -> bytes:
    """Build a row like that of a worker."""
    row = {
        "Service": sites.SERVICE,
        "Addr": UNREACHABLE,
        "Zone": "norte",
        "State": "ready",
        "Capacity": {"Cpu": 64_000, "MemMb": 131_072, "Gpu": 0},
        "Slots": 8,
        "Seq": 1,
    }
    return json.dumps(row | changes).encode()


class OddRowsTest(unittest.TestCase):
    """Two daemons and four workers."""

    def setUp(self):
        self.cluster = clusters.Cluster(
            self.addCleanup, ["d1", "d2"], workers=4
        )
        self.store = self.cluster.site.store
        self.cluster.wait_until_ready()
        self._next = 0

    def tearDown(self):
        for name in self.cluster.daemons:
            lines = self.cluster.read_log(name)
            errors = [line for line in lines if line["level"] == "ERROR"]
            self.assertEqual(errors, [], name)

    def _restart(self) -> None:
        for name in self.cluster.daemons:
            self.cluster.signal(name, signal.SIGKILL)
        for name in self.cluster.daemons:
            self.cluster.start(name)
        self.cluster.wait_until_ready()

    def _serve(self) -> None:
        """Check that each daemon serves jobs, and that no task runs twice."""
        pending = []
        for name in list(self.cluster.daemons) * 2:
            self._next += 1
            job_id = f"{self._next:016x}"
            body = sites.build_job()
            pending.append(
                gevent.spawn(self.cluster.submit, name, job_id, body)
            )
        gevent.joinall(pending)
        states = [greenlet.value.state for greenlet in pending]
        self.assertEqual(states, ["completed"] * len(states))
        self.assertEqual(self.cluster.site.find_overlaps(), [])

    def _list_events(self, event: str, field: str) -> set:
        return {
            line[field]
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
            if line["event"] == event
        }

    def test_rows_of_another_service_name_no_workers(self):
        # Guards against groups of data centres that do not exist, and against
        # an owner that waits for replies of workers that do not exist.
        self.store.remove_row("daemons", "layout")
        for index in range(520):
            row = build_row(Service="other", Zone=f"z{index % 40}")
            self.store.put("servers", f"a{index}", row)
        self._restart()
        self._serve()
        layout = json.loads(self.store.get("daemons", "layout"))
        self.assertEqual(layout["parts"], {})
        listed = self._list_events("worker_listed", "worker")
        self.assertEqual(listed, {"w0", "w1", "w2", "w3"})
