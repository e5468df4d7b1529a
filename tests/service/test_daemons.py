"""Whole daemons, as processes, on a simulation of the users' platform."""

import json
import signal
import unittest

import gevent

from soak import clusters
from standins import site as sites
from standins import site_store

# Like the row of a worker, but two characters of the address are unreadable.
UNREADABLE_ROW = json.dumps(
    {
        "Service": sites.SERVICE,
        "Addr": "127.0.\ufffd\ufffd:8169",
        "Zone": "norte",
        "State": "ready",
        "Capacity": {"Cpu": 64_000, "MemMb": 131_072, "Gpu": 0},
        "Seq": 1,
    }
).encode()


class DaemonsTest(unittest.TestCase):
    """Jobs are answered and no task runs twice, whatever fails."""

    def setUp(self):
        self.cluster = clusters.Cluster(
            self.addCleanup, ["d1", "d2", "d3"], workers=4
        )
        self.cluster.wait_until_ready()
        self.site = self.cluster.site
        self._next = 0

    def tearDown(self):
        for name in self.cluster.daemons:
            errors = [
                line
                for line in self.cluster.read_log(name)
                if line["level"] == "ERROR"
            ]
            self.assertEqual(errors, [], name)

    def _submit_some(self, names: list[str], **changes: int) -> list:
        """Submit one job to each of the daemons at the same time."""
        pending = []
        for name in names:
            self._next += 1
            body = sites.build_job(**changes)
            job_id = f"{self._next:016x}"
            pending.append(
                gevent.spawn(self.cluster.submit, name, job_id, body)
            )
        return pending

    def _collect(self, pending: list) -> list[clusters.Reply]:
        gevent.joinall(pending)
        return [greenlet.value for greenlet in pending]

    def _find_owner(self) -> str:
        return self.cluster.wait_for_owner()

    def _list_others(self, name: str) -> list[str]:
        return [other for other in self.cluster.daemons if other != name]

    def test_any_daemon_accepts_jobs_and_one_owns_the_workers(self):
        replies = self._collect(self._submit_some(["d1", "d2", "d3"]))
        self.assertEqual({r.state for r in replies}, {"completed"})
        self.assertEqual(len(self.cluster.list_claimants()), 1)
        self.assertEqual(self.site.find_overlaps(), [])

    def test_job_that_fails_on_every_worker_is_failed(self):
        body = sites.build_job(tasks=1, fail=True)
        reply = self.cluster.submit("d1", "f" * 16, body)
        self.assertEqual(reply.state, "failed")

    def test_invalid_requests_are_rejected(self):
        cases = (("zz", b"{", 400), ("zz", b"", 400), ("a/b", b"{}", 400))
        for job_id, body, status in cases:
            with self.subTest(job_id=job_id, body=body):
                reply = self.cluster.submit("d1", job_id, body)
                self.assertEqual(reply.status, status)

    def test_killed_owner_is_replaced_and_its_jobs_complete(self):
        owner = self._find_owner()
        others = self._list_others(owner)
        pending = self._submit_some(others, run_ms=600)
        gevent.sleep(0.2)
        self.cluster.signal(owner, signal.SIGKILL)
        replies = self._collect(pending)
        self.assertEqual({r.state for r in replies}, {"completed"})
        self.assertEqual(self.site.find_overlaps(), [])
        runs = [r for w in self.site.workers.values() for r in w.history]
        self.assertEqual(len(runs), 4, "the new owner did not adopt the runs")

    def test_suspended_owner_is_replaced_and_fenced_when_it_resumes(self):
        owner = self._find_owner()
        others = self._list_others(owner)
        pending = self._submit_some(others, run_ms=900)
        gevent.sleep(0.2)
        self.cluster.signal(owner, signal.SIGSTOP)
        gevent.sleep(2.0)
        self.cluster.signal(owner, signal.SIGCONT)
        replies = self._collect(pending)
        self.assertEqual({r.state for r in replies}, {"completed"})
        replies = self._collect(self._submit_some([*others, owner]))
        self.assertEqual(self.site.find_overlaps(), [])

    def test_stopped_owner_hands_over_and_answers_its_jobs(self):
        owner = self._find_owner()
        pending = self._submit_some([owner, *self._list_others(owner)])
        gevent.sleep(0.02)
        self.cluster.signal(owner, signal.SIGTERM)
        replies = self._collect(pending)
        self.assertEqual({r.state for r in replies}, {"completed"})
        process = self.cluster.daemons[owner].process
        self.assertEqual(process.wait(timeout=8), 0)
        self.assertEqual(self.site.find_overlaps(), [])

    def test_stopped_daemon_answers_a_job_that_outlasts_its_stop(self):
        # Guards against a request that ends with its connection: the caller
        # waits for longer than the daemon may take to stop.
        self.site.configure(2, TimeoutMs=30_000)
        gevent.sleep(1.0)
        owner = self._find_owner()
        job = sites.build_job(tasks=1, run_ms=20_000)
        pending = [
            gevent.spawn(self.cluster.submit, name, job_id * 16, job)
            for name, job_id in ((owner, "a"), (owner, "b"))
        ]
        gevent.sleep(0.2)
        self.cluster.signal(owner, signal.SIGTERM)
        replies = self._collect(pending)
        self.assertEqual([r.status for r in replies], [504, 504])
        process = self.cluster.daemons[owner].process
        self.assertEqual(process.wait(timeout=8), 0)

    def test_only_survivor_serves(self):
        survivor, *others = self._list_others(self._find_owner())
        for name in (self._find_owner(), *others):
            self.cluster.signal(name, signal.SIGSTOP)
        gevent.sleep(5.0)
        self.cluster.wait_until_ready(survivor)
        (reply,) = self._collect(self._submit_some([survivor]))
        self.assertEqual(reply.state, "completed")

    def test_all_daemons_serve_after_a_restart(self):
        for name in self.cluster.daemons:
            self.cluster.signal(name, signal.SIGKILL)
        for name in self.cluster.daemons:
            self.cluster.start(name)
        self.cluster.wait_until_ready()
        replies = self._collect(self._submit_some(["d1", "d2", "d3"]))
        self.assertEqual({r.state for r in replies}, {"completed"})

    def test_all_daemons_serve_beside_a_row_with_an_unreadable_address(self):
        # Guards against a row of another writer that ends the daemons' loops.
        self.site.store.put("servers", "other", UNREADABLE_ROW)
        for name in self.cluster.daemons:
            self.cluster.signal(name, signal.SIGKILL)
        for name in self.cluster.daemons:
            self.cluster.start(name)
        self.cluster.wait_until_ready()
        replies = self._collect(self._submit_some(["d1", "d2", "d3"]))
        self.assertEqual({r.state for r in replies}, {"completed"})

    def test_jobs_without_an_estimate_do_not_end_the_polls_of_workers(self):
        # Guards against workers that count as reachable but are not polled.
        job = json.loads(sites.build_job(tasks=1, run_ms=900))
        del job["Steps"][0]["EstimateMs"]
        body = json.dumps(job).encode()
        undeclared = [
            gevent.spawn(self.cluster.submit, "d1", f"{n:x}" * 16, body)
            for n in range(10, 16)
        ]
        replies = self._collect(undeclared)
        replies += self._collect(self._submit_some(["d1", "d2", "d3"] * 2))
        self.assertEqual({r.state for r in replies}, {"completed"})

    def test_jobs_are_served_during_a_store_outage(self):
        self.site.store.faults.trouble = site_store.FailureMode.SILENT
        gevent.sleep(1.5)
        replies = self._collect(self._submit_some(["d1", "d2", "d3"]))
        self.assertEqual({r.state for r in replies}, {"completed"})

    def test_all_daemons_apply_a_new_configuration(self):
        self.site.configure(2, Prefix="/new/")
        gevent.sleep(1.0)
        for name in self.cluster.daemons:
            reply = self.cluster.submit(name, "a" * 16, sites.build_job())
            self.assertEqual(reply.status, 404)

    def test_task_is_not_run_twice_after_a_lost_start_reply(self):
        for worker in self.site.workers.values():
            worker.faults.lost_starts = 1
        replies = self._collect(self._submit_some(["d1", "d2"], run_ms=200))
        self.assertEqual({r.state for r in replies}, {"completed"})
        self.assertEqual(self.site.find_overlaps(), [])

    def test_runs_are_stopped_when_the_caller_leaves(self):
        body = sites.build_job(run_ms=2500)
        self.cluster.submit("d1", "c" * 16, body, timeout_s=0.3)
        gevent.sleep(0.5)
        runs = [r for w in self.site.workers.values() for r in w.history]
        self.assertEqual([run.how for run in runs], ["stopped", "stopped"])

    def test_jobs_complete_despite_a_hanging_worker(self):
        self.site.workers["w0"].faults.hangs = True
        replies = self._collect(self._submit_some(["d1", "d2", "d3"]))
        self.assertEqual({r.state for r in replies}, {"completed"})
        self.assertEqual(self.site.find_overlaps(), [])
