"""No customer gets less than its fair part because another sends more."""

import collections
import heapq
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from pollenladder.core import verdicts
from pollenladder.dispatch import admission
from pollenladder.dispatch import completion
from pollenladder.dispatch import fairness
from pollenladder.dispatch import shard as shards
from tests.dispatch import test_intake
from tests.dispatch import worlds

SLOTS = 8
RUN_S = 0.2
BEGIN_S, END_S = 20.0, 60.0
STEP_S = 0.05
# Rates are jobs of 2 tasks a second; all slots together serve 20 of them.
CAPACITY = SLOTS / RUN_S / 2


def make_steady(rate):
    return lambda t: rate


def make_bursts(rate, period_s=4.0):
    """Send at twice the rate half of the time."""
    return lambda t: 2 * rate if t % period_s < period_s / 2 else 0.0


def replay(senders, seed=1):
    """Return by customer the jobs submitted and completed in a while."""
    source = random.Random(seed)
    shard = worlds.make_shard(workers=4)
    submitted, done = collections.Counter(), collections.Counter()
    owed = dict.fromkeys(senders, 0.0)
    running = []
    begin = 110.0
    jobs = 0
    for step in range(int(END_S / STEP_S)):
        t = step * STEP_S
        now = begin + t
        while running and running[0][0] <= now + 1e-6:
            _, _, start = heapq.heappop(running)
            result = verdicts.TaskResult(
                start.task.task_id, *worlds.ENDS["ok"][:2], None, RUN_S
            )
            effects = completion.record_start_outcome(shard, start, result, now)
            if effects and t >= BEGIN_S:
                done[start.flow_id[0]] += 1
        for customer in source.sample(sorted(senders), len(senders)):
            owed[customer] += senders[customer](t) * STEP_S
            while owed[customer] >= 1:
                owed[customer] -= 1
                jobs += 1
                submitted[customer] += t >= BEGIN_S
                job = worlds.make_job(f"j{jobs}", 2, customer)
                test_intake.offer(shard, job, now=now)
        for start in test_intake.start_all(shard, now):
            heapq.heappush(running, (now + RUN_S, start.start_id, start))
        shards.run_dispatch_pass([shard], now)
    return submitted, done


def compute_fair(submitted, done):
    """Return the max-min fair number of jobs by customer."""
    left, fair = sum(done.values()), {}
    names = sorted(submitted, key=lambda name: submitted[name])
    for i, name in enumerate(names):
        fair[name] = min(submitted[name], left / (len(names) - i))
        left -= fair[name]
    return fair


def find_short(senders, seed=1):
    """Return customers with under 0.9 of their fair part."""
    submitted, done = replay(senders, seed)
    fair = compute_fair(submitted, done)
    return [name for name in fair if done[name] < 0.9 * fair[name]]


def bound_all_together(shard, plan, job, now):
    """Refuse whoever comes while the queue of all is long."""
    if shard.queue.work_s / SLOTS <= shard.limits.max_queue_wait_s:
        return None
    return verdicts.Refused(job.job_id, verdicts.Reason.OVERLOAD, 1.0)


GREEDY = {
    "light": make_steady(0.3 * CAPACITY),
    "heavy": make_steady(1.7 * CAPACITY),
}
ON_OFF = {
    "bursts": make_bursts(0.5 * CAPACITY),
    "steady": make_steady(1.5 * CAPACITY),
}
MANY = {f"c{i}": make_steady(0.1 * CAPACITY * 2**i) for i in range(5)}


class FairnessTest(unittest.TestCase):
    def test_under_twice_the_load(self):
        for name, senders in {
            "greedy": GREEDY,
            "on and off": ON_OFF,
            "many": MANY,
        }.items():
            with self.subTest(name):
                self.assertEqual(find_short(senders), [])

    def test_all_slots_are_used(self):
        _, done = replay(GREEDY)
        used = sum(done.values()) / ((END_S - BEGIN_S) * CAPACITY)
        self.assertGreater(used, 0.95)

    def test_the_light_one_is_short_first_come_first_served(self):
        naive_due = mock.patch.object(
            fairness, "compute_due", lambda *arguments: arguments[-1]
        )
        naive_bound = mock.patch.object(
            admission, "_refuse_overload", bound_all_together
        )
        with naive_due, naive_bound:
            self.assertIn("light", find_short(GREEDY))

    @hypothesis.settings(
        max_examples=50, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 3), st.integers(0, 9), st.integers(1, 9)),
            max_size=60,
        )
    )
    def test_counts_hold(self, steps):
        """The counts of a queue are those of its lines, whatever is done."""
        queue = fairness.FairQueue()
        held = {}
        for customer, job, tasks in steps:
            line_id, job_id = (str(customer), "p"), f"{customer}/{job}"
            if job_id in held:
                left = held.pop(job_id)
                fairness.remove_work(
                    queue, line_id, job_id, left, left * 0.1, True
                )
            else:
                held[job_id] = tasks
                fairness.add_work(
                    queue, line_id, 1.0, job_id, tasks, tasks, tasks * 0.1
                )
            self.assertEqual(queue.tasks, sum(held.values()))
            work_s = 0.1 * sum(held.values())
            self.assertAlmostEqual(queue.work_s, work_s)
            for line in queue.lines.values():
                self.assertTrue(line.due)
                ordered = sorted(line.due.values())
                self.assertEqual(list(line.due.values()), ordered)
