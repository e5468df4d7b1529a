"""Tests that a heavy customer does not reduce the fair share of others."""

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
from tests.dispatch import simulations
from tests.dispatch import test_intake

SLOTS = 8
RUN_S = 0.2
BEGIN_S, END_S = 20.0, 60.0
STEP_S = 0.05
# Jobs of 2 tasks that all slots together serve in a second: 20.
CAPACITY = SLOTS / RUN_S / 2


def make_steady_rate(rate):
    return lambda t: rate


def make_bursty_rate(rate, period_s=4.0):
    """Return a rate that is doubled in one half of each period and 0 after."""
    return lambda t: 2 * rate if t % period_s < period_s / 2 else 0.0


def replay(senders, seed=1):
    """Simulate a shard under load.

    Args:
        senders: Functions from the time in seconds to the customer's rate in
            jobs a second, by customer.
        seed: Seed of the order in which customers submit jobs.

    Returns:
        The jobs submitted and the jobs completed from `BEGIN_S` to `END_S`,
        each by customer.
    """
    source = random.Random(seed)
    shard = simulations.make_shard(workers=4)
    submitted, done = collections.Counter(), collections.Counter()
    jobs_due = dict.fromkeys(senders, 0.0)
    running = []
    begin = 110.0
    jobs = 0
    for step in range(int(END_S / STEP_S)):
        t = step * STEP_S
        now = begin + t
        while running and running[0][0] <= now + 1e-6:
            _, _, start = heapq.heappop(running)
            result = verdicts.TaskResult(
                start.task.task_id,
                *simulations.START_OUTCOMES["ok"][:2],
                None,
                RUN_S,
            )
            effects = completion.record_start_outcome(shard, start, result, now)
            if effects and t >= BEGIN_S:
                done[start.flow_id[0]] += 1
        for customer in source.sample(sorted(senders), len(senders)):
            jobs_due[customer] += senders[customer](t) * STEP_S
            while jobs_due[customer] >= 1:
                jobs_due[customer] -= 1
                jobs += 1
                submitted[customer] += t >= BEGIN_S
                job = simulations.make_job(f"j{jobs}", 2, customer)
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


def find_disadvantaged(senders, seed=1):
    """Return the customers that complete under 0.9 of their fair number."""
    submitted, done = replay(senders, seed)
    fair = compute_fair(submitted, done)
    return [name for name in fair if done[name] < 0.9 * fair[name]]


def refuse_by_total_queue(shard, plan, job, now):
    """Refuse any job while the queue of all customers is long."""
    if shard.queue.work_s / SLOTS <= shard.limits.max_queue_wait_s:
        return None
    return verdicts.Refused(job.job_id, verdicts.Reason.OVERLOAD, 1.0)


GREEDY = {
    "light": make_steady_rate(0.3 * CAPACITY),
    "heavy": make_steady_rate(1.7 * CAPACITY),
}
ON_OFF = {
    "bursts": make_bursty_rate(0.5 * CAPACITY),
    "steady": make_steady_rate(1.5 * CAPACITY),
}
MANY = {f"c{i}": make_steady_rate(0.1 * CAPACITY * 2**i) for i in range(5)}


class FairnessTest(unittest.TestCase):
    def test_fair_shares_at_twice_capacity(self):
        for name, senders in {
            "greedy": GREEDY,
            "on and off": ON_OFF,
            "many": MANY,
        }.items():
            with self.subTest(name):
                self.assertEqual(find_disadvantaged(senders), [])

    def test_all_slots_are_used_at_overload(self):
        _, done = replay(GREEDY)
        used = sum(done.values()) / ((END_S - BEGIN_S) * CAPACITY)
        self.assertGreater(used, 0.95)

    def test_light_customer_starves_first_come_first_served(self):
        arrival_order = mock.patch.object(
            fairness, "compute_due", lambda *arguments: arguments[-1]
        )
        common_limit = mock.patch.object(
            admission, "_refuse_overload", refuse_by_total_queue
        )
        with arrival_order, common_limit:
            self.assertIn("light", find_disadvantaged(GREEDY))

    @hypothesis.settings(
        max_examples=50, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 3), st.integers(0, 9), st.integers(1, 9)),
            max_size=60,
        )
    )
    def test_queue_counts_match_flows(self, steps):
        """The counts of a queue match its flows after any operations."""
        queue = fairness.FairQueue()
        held = {}
        for customer, job, tasks in steps:
            flow_id, job_id = (str(customer), "p"), f"{customer}/{job}"
            if job_id in held:
                left = held.pop(job_id)
                fairness.remove_work(
                    queue, flow_id, job_id, left, left * 0.1, True
                )
            else:
                held[job_id] = tasks
                fairness.add_work(
                    queue, flow_id, 1.0, job_id, tasks, tasks, tasks * 0.1
                )
            self.assertEqual(queue.tasks, sum(held.values()))
            work_s = 0.1 * sum(held.values())
            self.assertAlmostEqual(queue.work_s, work_s)
            for flow in queue.flows.values():
                self.assertTrue(flow.due)
                ordered = sorted(flow.due.values())
                self.assertEqual(list(flow.due.values()), ordered)
