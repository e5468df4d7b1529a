"""Tests of worker health: quarantine, probation and speed."""

import unittest
from unittest import mock

from pollenladder.core import verdicts
from pollenladder.membership import health

OK = verdicts.Reason.OK
ERROR = verdicts.Reason.TASK_ERROR
WORKERS = [f"w{i}" for i in range(8)]
KIND = "session_check"


def make_shard(workers=WORKERS, results=20):
    """Return a shard in which every worker has had some successes."""
    shard = health.ShardHealth()
    health.set_workers(shard, workers)
    for _ in range(results):
        for worker_id in workers:
            health.record_result(shard, worker_id, KIND, OK, 0.5, 0.0)
    return shard


def record_failures(shard, worker_id, times, now, reason=ERROR, kind=KIND):
    for _ in range(times):
        health.record_result(shard, worker_id, kind, reason, 0.001, now)


def simulate_minute(bad_worker, count=24):
    """Simulate 60 s at 70% load with one worker that fails each task at once.

    The shard has `count` workers with 8 slots each. Each task is sent to a
    worker with the most free slots, so that the bad worker attracts tasks.

    Returns:
        Numbers of failed tasks and of tasks sent.
    """
    workers = [f"w{i}" for i in range(count)]
    rate = 224 * count // 24
    shard = health.ShardHealth()
    health.set_workers(shard, workers)
    running = {worker_id: [] for worker_id in workers}
    failed = sent = 0
    for tick in range(60 * rate):
        now = tick / rate
        for worker_id, ends in running.items():
            while ends and ends[0] <= now:
                ends.pop(0)
                is_bad = worker_id == bad_worker
                reason = ERROR if is_bad else OK
                health.record_result(shard, worker_id, KIND, reason, 0.6, now)
                failed += is_bad
        free = {
            worker_id: health.get_task_limit(shard, worker_id, 8, now)
            - len(ends)
            for worker_id, ends in running.items()
        }
        chosen = max(workers, key=lambda worker_id: free[worker_id])
        run_s = 0.001 if chosen == bad_worker else 0.6
        running[chosen].append(now + run_s)
        sent += 1
    return failed, sent


class QuarantineTest(unittest.TestCase):
    def test_few_failures_in_a_row_quarantine(self):
        for reason in (ERROR, *sorted(health.LINK_FAILURES, key=str)):
            with self.subTest(reason=reason):
                shard = make_shard()
                record_failures(shard, "w3", 2, 1.0, reason)
                self.assertEqual(health.get_task_limit(shard, "w3", 8, 1.0), 8)
                record_failures(shard, "w3", 1, 1.0, reason)
                self.assertEqual(health.get_task_limit(shard, "w3", 8, 1.0), 0)
                others = [w for w in WORKERS if w != "w3"]
                usable = health.list_usable(shard, WORKERS, 1.0)
                self.assertEqual(usable, others)

    def test_refusals_do_not_affect_health(self):
        shard = make_shard()
        for name in ("BUSY", "FENCED", "LEAVING", "STOPPED"):
            record_failures(shard, "w3", 20, 1.0, verdicts.Reason[name])
        self.assertEqual(health.list_quarantined(shard), [])

    def test_a_kind_that_fails_everywhere_quarantines_nobody(self):
        shard = make_shard()
        for i in range(400):
            record_failures(shard, WORKERS[i % 8], 1, i * 0.01, kind="broken")
        self.assertEqual(health.list_quarantined(shard), [])

    def test_a_kind_that_fails_often_quarantines_nobody(self):
        shard = make_shard()
        for i in range(4000):
            # Half of the tasks fail, in sequences that differ by worker.
            reason = ERROR if (i * 7919 >> 5) % 2 else OK
            health.record_result(
                shard, WORKERS[i % 8], "flaky", reason, 0.1, i * 0.01
            )
            self.assertEqual(health.list_quarantined(shard), [])

    def test_losing_all_workers_quarantines_few(self):
        shard = make_shard()
        for worker_id in WORKERS:
            record_failures(
                shard, worker_id, 5, 1.0, verdicts.Reason.UNREACHABLE
            )
        self.assertLessEqual(len(health.list_quarantined(shard)), 2)

    def test_never_more_than_a_quarter(self):
        for count, allowed in ((1, 1), (3, 1), (8, 2), (32, 8)):
            workers = [f"w{i}" for i in range(count)]
            shard = make_shard(workers, 200)
            for worker_id in workers:
                record_failures(shard, worker_id, 30, 1.0)
            quarantined = health.list_quarantined(shard)
            self.assertLessEqual(len(quarantined), allowed)
            self.assertGreater(len(quarantined), 0)

    def test_a_shorter_list_readmits_workers_above_the_limit(self):
        shard = make_shard()
        record_failures(shard, "w0", 5, 1.0)
        record_failures(shard, "w1", 5, 1.0)
        health.set_workers(shard, WORKERS[:4])
        self.assertEqual(health.list_quarantined(shard), ["w0"])

    def test_harm_of_a_failing_worker_in_a_minute(self):
        for count in (8, 24):
            failed, sent = simulate_minute("w7", count)
            self.assertGreater(failed, 0)
            self.assertLess(failed, sent / 100)

    def test_harm_without_quarantine(self):
        with mock.patch.object(health, "_quarantine"):
            failed, sent = simulate_minute("w7")
        self.assertGreater(failed, sent / 100)


class ProbationTest(unittest.TestCase):
    def test_waits_grow_while_probes_fail(self):
        shard = make_shard()
        now = 1.0
        record_failures(shard, "w3", 3, now)
        waits = []
        for _ in range(6):
            until = shard.workers["w3"].quarantined_until
            waits.append(until - now)
            self.assertEqual(health.get_task_limit(shard, "w3", 8, until), 1)
            now = until
            for worker_id in WORKERS[:3]:
                health.record_result(shard, worker_id, KIND, OK, 0.5, now)
            record_failures(shard, "w3", 1, now)
            self.assertEqual(health.get_task_limit(shard, "w3", 8, now), 0)
        self.assertEqual(waits, [2, 4, 8, 16, 30, 30])

    def test_a_repaired_worker_is_readmitted(self):
        shard = make_shard()
        record_failures(shard, "w3", 3, 1.0)
        until = shard.workers["w3"].quarantined_until
        for i in range(health.READMIT_SUCCESSES):
            self.assertEqual(
                health.get_task_limit(shard, "w3", 8, until + i), 1
            )
            health.record_result(shard, "w3", KIND, OK, 0.5, until + i)
        self.assertEqual(health.get_task_limit(shard, "w3", 8, until + 3), 8)

    def test_results_of_starts_before_quarantine_do_not_count(self):
        shard = make_shard()
        record_failures(shard, "w3", 3, 1.0)
        record_failures(shard, "w3", 5, 1.1)
        self.assertEqual(shard.workers["w3"].quarantined_until, 3.0)
        for _ in range(5):
            health.record_result(shard, "w3", KIND, OK, 0.5, 1.2)
        self.assertEqual(health.list_quarantined(shard), ["w3"])

    def test_a_relapse_waits_longer(self):
        shard = make_shard()
        record_failures(shard, "w3", 3, 1.0)
        for _ in range(health.READMIT_SUCCESSES):
            health.record_result(shard, "w3", KIND, OK, 0.5, 4.0)
        record_failures(shard, "w3", 4, 5.0)
        self.assertEqual(shard.workers["w3"].quarantined_until, 5.0 + 4.0)


class SpeedTest(unittest.TestCase):
    def test_a_straggler_is_seen_whatever_its_mix_of_kinds(self):
        shard = health.ShardHealth()
        health.set_workers(shard, WORKERS)
        for i in range(400):
            kind, usual_s = (("short", 0.05), ("long", 2.0))[i % 2]
            for worker_id in WORKERS:
                slow = 10 if worker_id == "w2" else 1
                health.record_result(
                    shard, worker_id, kind, OK, usual_s * slow, i * 0.1
                )
        self.assertLess(health.get_speed(shard, "w2"), 0.3)
        for worker_id in set(WORKERS) - {"w2"}:
            self.assertEqual(health.get_speed(shard, worker_id), 1.0)
        self.assertEqual(health.get_speed(shard, "unknown"), 1.0)
