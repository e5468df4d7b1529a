"""The sum of what runs never exceeds the allowance, whatever happens."""

import contextlib
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.plans import takeover
from tests.plans import cluster

SHARDS = 3
ALLOWANCE = 7


def run_steps(steps, max_run_s):
    """Run (operation, a, b) steps; assert the sum after each start."""
    world = cluster.Cluster(SHARDS, ALLOWANCE, max_run_s)
    for operation, a, b in steps:
        shard_id = world.ids[a % SHARDS]
        other = world.ids[(a + 1 + b % (SHARDS - 1)) % SHARDS]
        if operation < 6:
            world.tick(shard_id, b % 8)
        elif operation < 16:
            world.deliver(a * 16 + b)
        elif operation < 18:
            world.deliver(a * 16 + b, keep=True)
        elif operation < 19:
            world.drop(a * 16 + b)
        elif operation < 25:
            for _ in range(1 + b % 8):
                world.start(shard_id, (1.0, 2.0, 6.0, 6.0)[b % 4])
                if len(world.runs) > ALLOWANCE:
                    raise AssertionError(f"{len(world.runs)} tasks run")
        elif operation < 28:
            world.advance((0.1, 0.4, 1.0, 2.5)[b % 4])
        elif operation < 29:
            world.replace(shard_id)
        elif operation < 30:
            world.tell_workers(shard_id)
        elif operation < 31:
            world.cuts.add(frozenset((shard_id, other)))
        else:
            world.cuts.clear()


def make_random_steps(seed):
    source = random.Random(seed)
    return [
        (source.randrange(32), source.randrange(16), source.randrange(16))
        for _ in range(400)
    ]


def find_violation(seeds, max_run_s):
    """Return the first seed whose steps break the sum, or None."""
    for seed in seeds:
        try:
            run_steps(make_random_steps(seed), max_run_s)
        except AssertionError:
            return seed
    return None


def accept_from_arrival(ledger, granted, now):
    """Count the term from the grant's arrival."""
    row = escrow.open_row(ledger, granted.plan_id, now)
    pending = row.pending.get(granted.loan_id)
    if pending is not None:
        pending.asked_at = now
    return ACCEPT(ledger, granted, now)


def accept_unasked(ledger, granted, now):
    """Accept a grant again and again."""
    row = escrow.open_row(ledger, granted.plan_id, now)
    row.pending[granted.loan_id] = ledgers.PendingAsk(
        granted.loan_id, granted.lender_id, granted.seq, 0, now, now
    )
    return ACCEPT(ledger, granted, now)


def take_past_the_term(ledger, plan_id, max_run_s, now):
    """Take borrowed units though the run may outlast the loan."""
    return TAKE(ledger, plan_id, 0.0, now)


def make_loan():
    """Return two shards and their world, the second having borrowed."""
    world = cluster.Cluster(2, ALLOWANCE, 6.0)
    lender, borrower = world.ids
    world.advance(0.1)
    world.tick(borrower, ALLOWANCE)
    while world.messages:
        world.deliver(0)
    return world, lender, borrower


def outlast_a_loan():
    """Start long tasks at the end of a loan, cut off; return tasks running."""
    world, lender, borrower = make_loan()
    world.cuts.add(frozenset((lender, borrower)))
    world.advance(9.0)
    while world.start(borrower, 6.0):
        pass
    for _ in range(20):
        world.advance(0.1)
        while world.start(lender, 6.0):
            pass
    return len(world.runs)


def lose_lender_and_borrower():
    """Replace both owners while tasks run on a loan; return tasks running."""
    world, lender, borrower = make_loan()
    while world.start(borrower, 6.0):
        pass
    world.replace(lender)
    world.replace(borrower)
    world.tell_workers(lender)
    for _ in range(30):
        world.tick(lender, ALLOWANCE)
        while world.messages:
            world.deliver(0)
        world.advance(0.1)
        while world.start(lender, 6.0):
            pass
    return len(world.runs)


def answer_at_once(ledger, shard_id, epoch, now):
    """Answer a claim without knowing what a predecessor left."""
    ledger.awaited -= {"w"}
    ledger.unaware.clear()
    return ANSWER(ledger, shard_id, epoch, now)


ACCEPT = loans.accept
TAKE = escrow.take
ANSWER = takeover.list_held_from

# Each takes one guard away.
NAIVE_RULES = {
    "no wait in a takeover": (escrow, "owns_base", lambda *_: True, 6.0),
    "term counts from arrival": (loans, "accept", accept_from_arrival, 3.0),
    "grants accepted twice": (loans, "accept", accept_unasked, 3.0),
}


class SumTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 31), st.integers(0, 15), st.integers(0, 15)
            ),
            min_size=20,
            max_size=120,
        )
    )
    def test_sum_is_never_exceeded(self, steps):
        run_steps(steps, 6.0)

    def test_sum_is_never_exceeded_in_long_runs(self):
        for max_run_s in (3.0, 6.0):
            self.assertIsNone(find_violation(range(100), max_run_s))

    def test_runs_that_would_outlast_a_loan(self):
        self.assertLessEqual(outlast_a_loan(), ALLOWANCE)
        with mock.patch.object(escrow, "take", take_past_the_term):
            self.assertGreater(outlast_a_loan(), ALLOWANCE)

    def test_death_of_lender_and_borrower(self):
        self.assertLessEqual(lose_lender_and_borrower(), ALLOWANCE)
        with mock.patch.object(takeover, "list_held_from", answer_at_once):
            self.assertGreater(lose_lender_and_borrower(), ALLOWANCE)

    def test_each_guard_is_needed(self):
        for name, rule in NAIVE_RULES.items():
            module, function, naive, max_run_s = rule
            with self.subTest(name), contextlib.ExitStack() as stack:
                stack.enter_context(mock.patch.object(module, function, naive))
                self.assertIsNotNone(find_violation(range(100), max_run_s))
