"""Tests of worker health: who is quarantined, and how it comes back."""

import unittest
from unittest import mock

from pollenladder.core import verdicts
from pollenladder.membership import health

OK = verdicts.Reason.OK
ERROR = verdicts.Reason.TASK_ERROR
WORKERS = [f"w{i}" for i in range(8)]
KIND = "session_check"


def make_table(workers=WORKERS, results=20):
    """Return a table in which every worker has had some successes."""
    table = health.ShardHealth()
    health.set_workers(table, workers)
    for _ in range(results):
        for worker_id in workers:
            health.record_result(table, worker_id, KIND, OK, 0.5, 0.0)
    return table


def fail(table, worker_id, times, now, reason=ERROR, kind=KIND):
    for _ in range(times):
        health.record_result(table, worker_id, kind, reason, 0.001, now)


def simulate_minute(bad_worker, count=24):
    """Run 60 s at 0.7 load with one worker that fails at once.

    Returns:
        Tasks failed and tasks sent, one shard of `count` workers of 8 slots.
    """
    workers = [f"w{i}" for i in range(count)]
    rate = 224 * count // 24
    table = health.ShardHealth()
    health.set_workers(table, workers)
    running = {worker_id: [] for worker_id in workers}
    failed = sent = 0
    for tick in range(60 * rate):
        now = tick / rate
        for worker_id, ends in running.items():
            while ends and ends[0] <= now:
                ends.pop(0)
                is_bad = worker_id == bad_worker
                reason = ERROR if is_bad else OK
                health.record_result(table, worker_id, KIND, reason, 0.6, now)
                failed += is_bad
        free = {
            worker_id: health.get_task_limit(table, worker_id, 8, now)
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
                table = make_table()
                fail(table, "w3", 2, 1.0, reason)
                self.assertEqual(health.get_task_limit(table, "w3", 8, 1.0), 8)
                fail(table, "w3", 1, 1.0, reason)
                self.assertEqual(health.get_task_limit(table, "w3", 8, 1.0), 0)
                others = [w for w in WORKERS if w != "w3"]
                usable = health.list_usable(table, WORKERS, 1.0)
                self.assertEqual(usable, others)

    def test_refusals_say_nothing_of_health(self):
        table = make_table()
        for name in ("BUSY", "FENCED", "LEAVING", "STOPPED"):
            fail(table, "w3", 20, 1.0, verdicts.Reason[name])
        self.assertEqual(health.list_quarantined(table), [])

    def test_a_kind_that_fails_everywhere_quarantines_nobody(self):
        table = make_table()
        for i in range(400):
            fail(table, WORKERS[i % 8], 1, i * 0.01, kind="broken")
        self.assertEqual(health.list_quarantined(table), [])

    def test_a_kind_that_fails_often_quarantines_nobody(self):
        table = make_table()
        for i in range(4000):
            # Half of the tasks fail, in runs that differ by worker.
            reason = ERROR if (i * 7919 >> 5) % 2 else OK
            health.record_result(
                table, WORKERS[i % 8], "flaky", reason, 0.1, i * 0.01
            )
            self.assertEqual(health.list_quarantined(table), [])

    def test_a_cut_to_all_workers_quarantines_few(self):
        table = make_table()
        for worker_id in WORKERS:
            fail(table, worker_id, 5, 1.0, verdicts.Reason.UNREACHABLE)
        self.assertLessEqual(len(health.list_quarantined(table)), 2)

    def test_never_more_than_a_quarter(self):
        for count, allowed in ((1, 1), (3, 1), (8, 2), (32, 8)):
            workers = [f"w{i}" for i in range(count)]
            table = make_table(workers, 200)
            for worker_id in workers:
                fail(table, worker_id, 30, 1.0)
            quarantined = health.list_quarantined(table)
            self.assertLessEqual(len(quarantined), allowed)
            self.assertGreater(len(quarantined), 0)

    def test_a_shorter_list_frees_those_above_the_quarter(self):
        table = make_table()
        fail(table, "w0", 5, 1.0)
        fail(table, "w1", 5, 1.0)
        health.set_workers(table, WORKERS[:4])
        self.assertEqual(health.list_quarantined(table), ["w0"])

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
        table = make_table()
        now = 1.0
        fail(table, "w3", 3, now)
        waits = []
        for _ in range(6):
            until = table.rows["w3"].until
            waits.append(until - now)
            self.assertEqual(health.get_task_limit(table, "w3", 8, until), 1)
            now = until
            for worker_id in WORKERS[:3]:
                health.record_result(table, worker_id, KIND, OK, 0.5, now)
            fail(table, "w3", 1, now)
            self.assertEqual(health.get_task_limit(table, "w3", 8, now), 0)
        self.assertEqual(waits, [2, 4, 8, 16, 30, 30])

    def test_a_mended_worker_is_readmitted(self):
        table = make_table()
        fail(table, "w3", 3, 1.0)
        until = table.rows["w3"].until
        for i in range(health.READMIT_SUCCESSES):
            self.assertEqual(
                health.get_task_limit(table, "w3", 8, until + i), 1
            )
            health.record_result(table, "w3", KIND, OK, 0.5, until + i)
        self.assertEqual(health.get_task_limit(table, "w3", 8, until + 3), 8)

    def test_results_of_earlier_starts_do_not_count(self):
        table = make_table()
        fail(table, "w3", 3, 1.0)
        fail(table, "w3", 5, 1.1)
        self.assertEqual(table.rows["w3"].until, 3.0)
        for _ in range(5):
            health.record_result(table, "w3", KIND, OK, 0.5, 1.2)
        self.assertEqual(health.list_quarantined(table), ["w3"])

    def test_a_relapse_waits_longer(self):
        table = make_table()
        fail(table, "w3", 3, 1.0)
        for _ in range(health.READMIT_SUCCESSES):
            health.record_result(table, "w3", KIND, OK, 0.5, 4.0)
        fail(table, "w3", 4, 5.0)
        self.assertEqual(table.rows["w3"].until, 5.0 + 4.0)


class SpeedTest(unittest.TestCase):
    def test_a_straggler_is_seen_whatever_its_mix_of_kinds(self):
        table = health.ShardHealth()
        health.set_workers(table, WORKERS)
        for i in range(400):
            kind, usual_s = (("short", 0.05), ("long", 2.0))[i % 2]
            for worker_id in WORKERS:
                slow = 10 if worker_id == "w2" else 1
                health.record_result(
                    table, worker_id, kind, OK, usual_s * slow, i * 0.1
                )
        self.assertLess(health.get_speed(table, "w2"), 0.3)
        for worker_id in set(WORKERS) - {"w2"}:
            self.assertEqual(health.get_speed(table, worker_id), 1.0)
        self.assertEqual(health.get_speed(table, "unknown"), 1.0)
