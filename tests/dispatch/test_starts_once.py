"""Whatever is lost, late or repeated, no task runs twice and verdicts hold."""

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
from tests.dispatch import worlds

ENDS = ("ok", "ok", "ok", "error", "busy", "busy", "lost_reply", "lost_request")
SETTLE_S = 60.0


def run_steps(steps):
    """Run (operation, a, b) steps, end everything and return the world."""
    world = worlds.World(max_queue_wait_s=100.0)
    for operation, a, b in steps:
        name = world.names[a % 3]
        other = world.names[(a + 1 + b % 2) % 3]
        if operation < 5 and len(world.jobs) < 12:
            submit(world, name, a, b)
        elif operation < 15:
            world.deliver(a * 16 + b)
        elif operation < 18:
            world.deliver(a * 16 + b, keep=True)
        elif operation < 24:
            world.tick(name)
        elif operation < 30:
            world.finish(a, ENDS[b % len(ENDS)])
        elif operation < 33:
            world.relink(name, other, lambda i, b=b: (b >> i % 4) & 1)
        elif operation < 34:
            world.cancel(name, f"j{b}")
        elif operation < 35:
            world.lose(name, other)
        elif operation < 36:
            world.owned[name].draining = bool(b % 3 == 0)
        elif operation < 38:
            world.tell_loads()
        elif operation < 39:
            world.now += (0.01, 0.3, 1.0, 2.5)[b % 4]
    world.settle()
    world.now += SETTLE_S
    for name in world.live():
        world.tick(name)
    return world


def submit(world, name, a, b):
    """Submit a job; some have a key, which may have been used before."""
    key = None
    if b % 3 == 0:
        key = f"{world.ids[a % 4]}~1~0~own{b % 2}"
    tasks = 2 + b % 2 if key else 1 + b % 9
    job = worlds.make_job(f"j{len(world.jobs)}", tasks, key=key)
    world.submit(name, job)


def check_starts(world):
    twice = [start_id for start_id, n in world.runs.items() if n > 1]
    assert not twice, f"started twice: {twice}"
    used = {}
    for job in world.jobs.values():
        if job.key:
            used.setdefault(job.key, []).append(job)
    for key, jobs in used.items():
        for index in range(max(len(job.tasks) for job in jobs)):
            runs = sum(world.runs[f"{job.job_id}:{index}"] for job in jobs)
            assert runs <= 1, f"{key} ran {runs} times"


def check_answers(world):
    """Check that each job has one answer, which is whole and true."""
    for job in world.jobs.values():
        answers = world.answers[job.job_id]
        assert len(answers) == 1, f"{job.job_id}: {answers}"
        runs = [
            world.runs[f"{job.job_id}:{index}"]
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
    assert result.task_id == task.task_id
    if complete:
        assert result.output == task.payload, "another's answer"
    if result.verdict is verdicts.Verdict.NOT_RUN:
        assert not ran, f"not run, but it ran: {task}"
    if result.verdict is verdicts.Verdict.RAN and not key:
        assert ran == 1, f"ran, but it did not: {task}"


def check_ended(world):
    """Check that nothing is left in use once everything has ended."""
    for name in world.live():
        shard = world.owned[name]
        assert not shard.groups, "groups left"
        assert not shard.batches, "batches left"
        assert not shard.queue.lines, "lines left"
        assert not shard.ended, "answers kept"
        assert not shard.followed, "resubmissions left"
        for own in shard.local_shards.values():
            assert not any(w.running for w in own.workers.values())
            in_use = escrow.count_in_use(own.ledger, "p", world.now)
            assert not in_use, f"{in_use} units in use"
            assert not own.ledger.hosted, "tasks hosted"
        assert not world.gateways[name].pending


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


def take_any_sender(table, sender, answer, now):
    """Take a refusal as that of whoever has the job now."""
    row = table.pending.get(answer.job_id)
    sender = row.daemon_id if row else sender
    return RECORD_ANSWER(table, sender, answer, now)


def use_any_key(table, key, job_id, fingerprint, now):
    """Take each key as one never used before."""
    return keys.KeyState.NEW, keys.Entry(job_id, fingerprint)


def complete_early(shard, group, results, now):
    """Answer with what there is as soon as one task has ended well."""
    good = [r for r in results.values() if r.reason is verdicts.Reason.OK]
    if group.is_remote or not good:
        return SETTLE_RESULTS(shard, group, results, now)
    for index, result in results.items():
        group.results[index] = result
        completion.release_unit(shard, group, index, result.verdict, now)
    reason = verdicts.Reason.SIBLING_FAILED
    effects = completion._drop_rest(shard, group, reason, now)
    answer = verdicts.Complete(group.job_id, tuple(good))
    return effects + completion._answer(shard, group, (), answer, now)


RECORD_ANSWER = submissions.record_answer
SETTLE_RESULTS = completion.settle_results
# What is left out, how, and the check that must notice.
TWINS = {
    "retry what may have run": (
        (verdicts.Verdict, "allows_retry", lambda v: v is not worlds.RAN),
        check_starts,
    ),
    "no tombstones": (
        (completion, "remember_ended", lambda *_: None),
        check_starts,
    ),
    "take repeated offers": (
        (intake, "_is_known", lambda shard, i: i in shard.groups),
        check_starts,
    ),
    "refusals of anyone": (
        (submissions, "record_answer", take_any_sender),
        check_starts,
    ),
    "keys used again": ((keys, "use_key", use_any_key), check_starts),
    "partial answers": (
        (completion, "settle_results", complete_early),
        check_answers,
    ),
    "units kept": ((escrow, "give_back", lambda *_: None), check_ended),
    "hosting kept": ((takeover, "end_hosting", lambda *_: None), check_ended),
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
        world = run_steps(steps)
        for check in CHECKS:
            check(world)

    def test_random_steps(self):
        for seed in range(150):
            with self.subTest(seed=seed):
                world = run_steps(make_random_steps(seed))
                for check in CHECKS:
                    check(world)

    def test_each_guard_is_needed(self):
        for name, ((place, attribute, naive), check) in TWINS.items():
            patch = mock.patch.object(place, attribute, naive)
            with self.subTest(name), patch:
                self.assertIsNotNone(find_violation(check))
