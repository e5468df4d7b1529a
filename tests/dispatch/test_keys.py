"""Tests of jobs that are resubmitted with an idempotency key."""

import dataclasses
import unittest
from unittest import mock

from pollenladder.core import verdicts
from pollenladder.dispatch import intake
from pollenladder.dispatch import keys
from tests.dispatch import simulations
from tests.dispatch import test_intake

KEY = test_intake.KEY
FIRST = simulations.make_job("j1", 2, key=KEY)
AGAIN = dataclasses.replace(FIRST, job_id="j2")
OTHER = simulations.make_job("j2", 2, key=KEY, customer="other")
HINTED = dataclasses.replace(
    AGAIN,
    tasks=tuple(dataclasses.replace(t, declared_ms=9) for t in AGAIN.tasks),
)
MORE = simulations.make_job("j2", 3, key=KEY)
CHANGED = dataclasses.replace(
    AGAIN, tasks=tuple(dataclasses.replace(t, payload=1) for t in AGAIN.tasks)
)
REASON = verdicts.Reason
WINDOW_S = keys.WINDOW_S


def offer_first(shard, end):
    """Offer the first job and end its starts; None leaves it running."""
    test_intake.offer(shard, FIRST)
    starts = test_intake.start_all(shard)
    for start in starts if end else ():
        test_intake.end(shard, start, end)


def refuse_first(shard):
    shard.draining = True
    test_intake.offer(shard, FIRST)
    shard.draining = False


def cancel_first(shard):
    test_intake.offer(shard, FIRST)
    intake.cancel_groups(shard, ["j1"], 110.0)


def pass_windows(count):
    """Return a step that completes the first job and lets windows pass."""

    def wait(shard):
        offer_first(shard, "ok")
        shard.keys.began_at -= count * WINDOW_S

    return wait


def change_epoch(shard):
    offer_first(shard, "ok")
    simulations.become_owner(shard, 2, 105.0)


def describe(effects):
    """Return "complete" or the reason of an answer; None without an answer."""
    answers = test_intake.get_answers(effects)
    if not answers:
        return None
    ((_, answer),) = answers
    if isinstance(answer, verdicts.Complete):
        return "complete"
    return answer.reason


class KeysTest(unittest.TestCase):
    # What happens first, the job offered then, its answer, and whether one of
    # its tasks starts.
    CASES = (
        (lambda s: offer_first(s, None), AGAIN, None, False),
        (lambda s: offer_first(s, "ok"), AGAIN, "complete", False),
        (lambda s: offer_first(s, "ok"), HINTED, "complete", False),
        (lambda s: offer_first(s, "error"), AGAIN, REASON.TASK_ERROR, False),
        (lambda s: offer_first(s, "ok"), MORE, REASON.KEY_IN_USE, False),
        (lambda s: offer_first(s, "ok"), CHANGED, REASON.KEY_IN_USE, False),
        (lambda s: offer_first(s, "ok"), OTHER, None, True),
        (refuse_first, AGAIN, None, True),
        (refuse_first, CHANGED, None, True),
        (cancel_first, AGAIN, None, True),
        (pass_windows(0), AGAIN, "complete", False),
        (pass_windows(1), AGAIN, "complete", False),
        (pass_windows(2), AGAIN, REASON.KEY_UNKNOWN, False),
        (change_epoch, AGAIN, REASON.KEY_UNKNOWN, False),
    )

    def resubmit(self, before, job):
        shard = simulations.make_shard()
        before(shard)
        answered = describe(test_intake.offer(shard, job))
        return answered, bool(test_intake.start_all(shard))

    def test_resubmissions(self):
        for i, (before, job, answer, starts) in enumerate(self.CASES):
            with self.subTest(i):
                self.assertEqual(self.resubmit(before, job), (answer, starts))

    def test_unknown_stamps(self):
        for text in ("dc/1~1~0~own", "dc/0~9~0~own", "dc/0~1~7~own", "own"):
            with self.subTest(text):
                job = dataclasses.replace(FIRST, key=text)
                answered = self.resubmit(lambda _: None, job)
                self.assertEqual(answered, (REASON.KEY_UNKNOWN, False))

    def test_each_rule_is_needed(self):
        """Each naive variant of a rule must break a row of `CASES`."""
        naive_rules = {
            "keys of all customers": mock.patch.object(
                keys.Key,
                "owner_and_own",
                property(lambda key: key.own_part),
            ),
            "any tasks": mock.patch.object(
                keys, "compute_fingerprint", lambda job: b""
            ),
            "only the ids of tasks": mock.patch.object(
                keys,
                "compute_fingerprint",
                lambda job: tuple(t.task_id for t in job.tasks),
            ),
            "keys kept after a refusal": mock.patch.object(keys, "release_key"),
            "answers not kept": mock.patch.object(keys, "record_answer"),
            "windows without end": mock.patch.object(
                keys, "get_window", lambda table, now: 0
            ),
        }
        for name, naive_rule in naive_rules.items():
            with self.subTest(name), naive_rule:
                wrong = [
                    row
                    for row in self.CASES
                    if self.resubmit(*row[:2]) != row[2:]
                ]
                self.assertTrue(wrong)

    def test_oldest_answers_are_deleted(self):
        table = keys.KeyTable("dc/0", 1, 0.0)
        result = verdicts.TaskResult("t", simulations.RAN, verdicts.Reason.OK)
        answer = verdicts.Complete("j", (result, result))
        used = [keys.Key("dc/0", 1, 0, "c", own) for own in "abc"]
        with mock.patch.object(keys, "MAX_HELD_RESULTS", 4):
            for key in used:
                keys.use_key(table, key, "j", b"", 1.0)
                keys.record_answer(table, key, answer)
        states = [keys.use_key(table, k, "j", b"", 1.0)[0] for k in used]
        kept = keys.KeyState.ANSWERED
        self.assertEqual(states, [keys.KeyState.MAY_HAVE_RUN, kept, kept])
        self.assertEqual(table.held_results, 4)
        keys.drop_old_windows(table, 2 * keys.WINDOW_S)
        self.assertEqual((table.held_results, table.result_counts), (0, {}))

    def test_number_of_keys_is_bounded(self):
        table = keys.KeyTable("dc/0", 1, 0.0)
        with mock.patch.object(keys, "MAX_KEYS", 2):
            states = [
                keys.use_key(
                    table, keys.Key("dc/0", 1, 0, "c", own), "j", b"", 1.0
                )[0]
                for own in "abca"
            ]
        new, full = keys.KeyState.NEW, keys.KeyState.FULL
        running = keys.KeyState.RUNNING
        self.assertEqual(states, [new, new, full, running])
