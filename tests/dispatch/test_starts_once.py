"""Tests that no task runs twice and that verdicts are true.

Random steps lose, delay and repeat messages, break links and let tasks
fail. Afterwards every job must have one true answer, and nothing may be left
in use. Each safeguard is then replaced by a naive variant, which some sequence
of steps must expose.
"""

import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import intake
from pollenladder.dispatch import keys
from pollenladder.dispatch import submissions
from pollenladder.plans import escrow
from pollenladder.plans import takeover
from tests.dispatch import simulations

# A step draws one of these outcomes; repeated names are more likely.
OUTCOME_NAMES = (
    "ok",
    "ok",
    "ok",
    "error",
    "busy",
    "busy",
    "lost_reply",
    "lost_request",
)
SETTLE_S = 60.0


def run_steps(steps):
    """Run steps in a new simulation, then end all jobs.

    Args:
        steps: (operation, a, b) tuples; a and b choose daemons, messages,
            outcomes and the like.

    Returns:
        The simulation.
    """
    simulation = simulations.DispatchSimulation(max_queue_wait_s=100.0)
    for operation, a, b in steps:
        name = simulation.names[a % 3]
        other = simulation.names[(a + 1 + b % 2) % 3]
        if operation < 5 and len(simulation.jobs) < 12:
            submit(simulation, name, a, b)
        elif operation < 15:
            simulation.deliver(a * 16 + b)
        elif operation < 18:
            simulation.deliver(a * 16 + b, repeat=True)
        elif operation < 24:
            simulation.tick(name)
        elif operation < 30:
            simulation.finish_start(a, OUTCOME_NAMES[b % len(OUTCOME_NAMES)])
        elif operation < 33:
            simulation.reconnect(name, other, lambda i, b=b: (b >> i % 4) & 1)
        elif operation < 34:
            simulation.cancel(name, f"j{b}")
        elif operation < 35:
            simulation.declare_dead(name, other)
        elif operation < 36:
            simulation.owned[name].draining = bool(b % 3 == 0)
        elif operation < 38:
            simulation.exchange_loads()
        elif operation < 39:
            simulation.now += (0.01, 0.3, 1.0, 2.5)[b % 4]
    simulation.run_to_end()
    simulation.now += SETTLE_S
    for name in simulation.list_live():
        simulation.tick(name)
    return simulation


def submit(simulation, name, a, b):
    """Submit a job, sometimes with a key that may have been used before."""
    key = None
    if b % 3 == 0:
        key = f"{simulation.ids[a % 4]}~1~0~own{b % 2}"
    tasks = 2 + b % 2 if key else 1 + b % 9
    job = simulations.make_job(f"j{len(simulation.jobs)}", tasks, key=key)
    simulation.submit(name, job)


def check_starts(simulation):
    """Check that no task ran twice, also under a key used by several jobs."""
    twice = [start_id for start_id, n in simulation.runs.items() if n > 1]
    assert not twice, f"started twice: {twice}"
    used = {}
    for job in simulation.jobs.values():
        if job.key:
            used.setdefault(job.key, []).append(job)
    for key, jobs in used.items():
        for index in range(max(len(job.tasks) for job in jobs)):
            runs = sum(simulation.runs[f"{job.job_id}:{index}"] for job in jobs)
            assert runs <= 1, f"{key} ran {runs} times"


def check_answers(simulation):
    """Check that each job has one answer, complete and with true verdicts."""
    for job in simulation.jobs.values():
        answers = simulation.answers[job.job_id]
        assert len(answers) == 1, f"{job.job_id}: {answers}"
        runs = [
            simulation.runs[f"{job.job_id}:{index}"]
            for index in range(len(job.tasks))
        ]
        if isinstance(answers[0], verdicts.Refused):
            assert not any(runs), f"refused, but it ran: {job.job_id}"
            continue
        assert len(answers[0].results) == len(job.tasks)
        complete = isinstance(answers[0], verdicts.Complete)
        pairs = zip(job.tasks, answers[0].results, runs, strict=True)
        for task, result, ran in pairs:
            check_result(task, result, ran, job.key, complete)


def check_result(task, result, ran, key, complete):
    """Check the result of one task against the number of its runs.

    Args:
        task: The task.
        result: Its result in the job's answer.
        ran: The number of runs under the job's own id.
        key: The job's key. The task of a job with a key may have run under the
            id of an earlier job.
        complete: Whether the job is complete.
    """
    assert result.task_id == task.task_id
    if complete:
        assert result.output == task.payload, "another's answer"
    if result.verdict is verdicts.Verdict.NOT_RUN:
        assert not ran, f"not run, but it ran: {task}"
    if result.verdict is verdicts.Verdict.RAN and not key:
        assert ran == 1, f"ran, but it did not: {task}"


def check_ended(simulation):
    """Check that no groups, units or records are left after all jobs ended."""
    for name in simulation.list_live():
        shard = simulation.owned[name]
        assert not shard.groups, "groups left"
        assert not shard.batches, "batches left"
        assert not shard.queue.flows, "flows left"
        assert not shard.ended_groups, "ended groups left"
        assert not shard.followed_group_ids, "waiting resubmissions left"
        for own in shard.local_shards.values():
            assert not any(w.running for w in own.workers.values())
            in_use = escrow.count_in_use(own.ledger, "p", simulation.now)
            assert not in_use, f"{in_use} units in use"
            assert not own.ledger.hosted, "tasks hosted"
        assert not simulation.gateways[name].pending


CHECKS = (check_starts, check_answers, check_ended)


def make_random_steps(seed):
    source = random.Random(seed)
    return [
        (source.randrange(40), source.randrange(16), source.randrange(16))
        for _ in range(200)
    ]


def find_violation(check, seeds=range(400)):
    """Return the first seed whose steps break a check, or None."""
    for seed in seeds:
        try:
            check(run_steps(make_random_steps(seed)))
        except AssertionError:
            return seed
    return None


def accept_any_sender(table, sender, answer, now):
    """Treat any answer as that of the daemon that has the job now."""
    row = table.pending.get(answer.job_id)
    sender = row.daemon_id if row else sender
    return RECORD_ANSWER(table, sender, answer, now)


def accept_used_key(table, key, job_id, fingerprint, now):
    """Treat each key as unused."""
    return keys.KeyState.NEW, keys.KeyEntry(job_id, fingerprint)


def answer_early(shard, group, results, now):
    """Answer a job with partial results as soon as one task has succeeded."""
    succeeded = [r for r in results.values() if r.reason is verdicts.Reason.OK]
    if group.is_remote or not succeeded:
        return SETTLE_RESULTS(shard, group, results, now)
    for index, result in results.items():
        group.results[index] = result
        completion.release_unit(shard, group, index, result.verdict, now)
    reason = verdicts.Reason.SIBLING_FAILED
    effects = completion._drop_open_tasks(shard, group, reason, now)
    answer = verdicts.Complete(group.job_id, tuple(succeeded))
    return effects + completion._answer(shard, group, (), answer, now)


RECORD_ANSWER = submissions.record_answer
SETTLE_RESULTS = completion.settle_results
# The naive variant of each safeguard (object, attribute, replacement), and the
# check that must fail with it.
NAIVE_VARIANTS = {
    "retry what may have run": (
        (verdicts.Verdict, "allows_retry", lambda v: v is not simulations.RAN),
        check_starts,
    ),
    "forget ended groups": (
        (completion, "remember_ended", lambda *_: None),
        check_starts,
    ),
    "accept repeated offers": (
        (intake, "_is_known", lambda shard, i: i in shard.groups),
        check_starts,
    ),
    "accept refusals from any daemon": (
        (submissions, "record_answer", accept_any_sender),
        check_starts,
    ),
    "accept used keys": ((keys, "use_key", accept_used_key), check_starts),
    "partial answers": (
        (completion, "settle_results", answer_early),
        check_answers,
    ),
    "units not returned": ((escrow, "give_back", lambda *_: None), check_ended),
    "hosted tasks not removed": (
        (takeover, "end_hosting", lambda *_: None),
        check_ended,
    ),
}


class StartsOnceTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=60, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 39), st.integers(0, 15), st.integers(0, 15)
            ),
            max_size=150,
        )
    )
    def test_any_steps(self, steps):
        simulation = run_steps(steps)
        for check in CHECKS:
            check(simulation)

    def test_random_steps(self):
        for seed in range(150):
            with self.subTest(seed=seed):
                simulation = run_steps(make_random_steps(seed))
                for check in CHECKS:
                    check(simulation)

    def test_each_guard_is_needed(self):
        for name, ((owner, attribute, naive), check) in NAIVE_VARIANTS.items():
            patch = mock.patch.object(owner, attribute, naive)
            with self.subTest(name), patch:
                self.assertIsNotNone(find_violation(check))
