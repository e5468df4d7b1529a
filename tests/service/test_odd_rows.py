"""Whole daemons beside rows that other writers put among those of the workers.

Each test lets all daemons start anew with the rows in the store.
"""

import json
import signal
import unittest

import gevent

from soak import clusters
from soak import foreign_rows
from standins import site as sites
from tests import waiting

# Keys that are no ids of workers, or of which a worker would be used.
ODD_KEYS = ("a b", "a\r\nX: y", "a/b/c", "\u00e9", "a\x00", "k" * 200, "\ufffd")
# At most this many lines in 10 s, as `row_decoding` counts for each table.
MAX_REJECTED_LINES = 200
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

    def _write_odd_rows(self, version: int) -> None:
        """Write rows of all kinds, in all tables that daemons read."""
        for index, value in enumerate(foreign_rows.list_values()):
            self.store.put("servers", f"odd{index}", value)
            self.store.put("daemons", f"odd{index}", value)
            self.store.put("ownership", f"odd{index}", value)
            self.store.put("learned", f"odd{index}", value)
            self.store.put("cancellations", f"odd{index}", value)
            self.store.put("op", f"odd{index}", value)
        for index, key in enumerate(ODD_KEYS):
            self.store.put("servers", key, foreign_rows.build(index))
            self.store.put("cancellations", key, foreign_rows.build(index))
            self.store.put("op", f"evacuate/{key}\n", b"{}")
        for index, value in enumerate((None, 5, 1e308, {"a": [[]]})):
            self.store.put_text("servers", f"text{index}", value)
            self.store.put_text("daemons", f"text{index}", value)
        for index in range(520):
            value = foreign_rows.build(index + version)
            self.store.put("servers", f"many{index}", value)

    def _check_processes(self) -> None:
        for name, daemon in self.cluster.daemons.items():
            self.assertIsNone(daemon.process.poll(), name)
            lines = self.cluster.read_log(name)
            events = [line["event"] for line in lines]
            rejected = events.count("row_rejected")
            self.assertGreater(rejected, 0)
            self.assertLess(rejected, MAX_REJECTED_LINES)
            self.assertNotIn("store_failed", events)
            self.assertNotIn("worker_list_gap", events)

    def _wait_for_event(self, event: str, worker_id: str) -> None:
        waiting.wait_until(
            lambda: worker_id in self._list_events(event, "worker")
        )

    def test_workers_are_followed_beside_odd_rows(self):
        # Guards against daemons that end, or stop following the tables.
        self._write_odd_rows(0)
        self._serve()
        self._restart()
        self._serve()
        self.cluster.site.add_worker("w9")
        self._wait_for_event("worker_listed", "w9")
        self.cluster.site.list_worker("w0", state="draining")
        self._wait_for_event("worker_draining", "w0")
        self.store.remove_row("servers", "w1")
        self._wait_for_event("worker_unlisted", "w1")
        for version in range(1, 6):
            self._write_odd_rows(version)
            gevent.sleep(0.2)
        self._serve()
        self.cluster.site.configure(2, SloMs=401)
        waiting.wait_until(
            lambda: 2 in self._list_events("configuration_changed", "version")
        )
        self._check_processes()
        listed = self._list_events("worker_listed", "worker")
        self.assertEqual(listed, {"w0", "w1", "w2", "w3", "w9"})

    def test_rows_that_turn_odd_under_live_workers(self):
        # Guards against starts on such workers, and against a second run of a
        # task that is active on one.
        self._restart()
        owner = self.cluster.wait_for_owner()
        body = sites.build_job(tasks=4, run_ms=1500)
        job = gevent.spawn(self.cluster.submit, owner, "a" * 16, body)
        used = self.cluster.site.workers
        waiting.wait_until(
            lambda: sum(len(w.history) for w in used.values()) == 4
        )
        odd = [name for name, worker in used.items() if worker.history]
        for index, name in enumerate(odd):
            self.store.put("servers", name, foreign_rows.build(index))
        for name in odd:
            self._wait_for_event("worker_unlisted", name)
        before = {name: len(used[name].history) for name in odd}
        if len(odd) < len(used):
            self._serve()
        after = {name: len(used[name].history) for name in odd}
        self.assertEqual(before, after)
        job.join()
        self.assertEqual(job.value.state, "completed")
        self.cluster.signal(owner, signal.SIGKILL)
        for name in odd:
            self.cluster.site.list_worker(name)
        self.cluster.start(owner)
        self.cluster.wait_until_ready()
        self._serve()

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
