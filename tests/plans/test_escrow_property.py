"""The sum of what runs never exceeds the allowance, whatever happens."""

import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from models import run
from pollenladder.plans import buckets
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.plans import takeover
from tests.plans import cluster

SHARDS = 3
ALLOWANCE = 7


def run_steps(steps, max_run_s, starts_per_s=1000.0, burst=10):
    """Run (operation, a, b) steps; assert sum and rate after each start."""
    world = cluster.Cluster(SHARDS, ALLOWANCE, max_run_s, starts_per_s, burst)
    # All starts must fit into one bucket of the whole plan.
    whole = buckets.Bucket(level=1e9, at=world.now)
    buckets.set_rate(
        whole,
        starts_per_s * ALLOWANCE,
        burst * ALLOWANCE + SHARDS,
        world.now,
    )
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
                if not world.start(shard_id, (1.0, 2.0, 6.0, 6.0)[b % 4]):
                    break
                if not buckets.take_token(whole, world.now + 1e-6):
                    raise AssertionError("starts beyond rate and burst")
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


def use(world, shard_id, ticks=1):
    """Start as many long tasks as there are units for."""
    for _ in range(ticks):
        world.advance(0.1)
        while world.start(shard_id, 6.0):
            pass


def deliver_all(world):
    while world.messages:
        world.deliver(0)


def ask_for_loan():
    """Return a world whose second shard has asked, and its two shards."""
    world = cluster.Cluster(2, ALLOWANCE, 6.0)
    world.advance(0.1)
    world.tick(world.ids[1], ALLOWANCE)
    return world, *world.ids


def make_loan():
    world, lender, borrower = ask_for_loan()
    deliver_all(world)
    return world, lender, borrower


def lose_an_owner():
    world, lender, borrower = make_loan()
    use(world, lender)
    use(world, borrower)
    world.replace(lender)
    use(world, lender)
    return world


def receive_a_late_grant():
    world, lender, borrower = ask_for_loan()
    world.deliver(0)
    world.advance(9.9)
    deliver_all(world)
    use(world, borrower)
    use(world, lender, 8)
    return world


def receive_a_grant_twice():
    world, lender, borrower = ask_for_loan()
    world.deliver(0)
    grant = world.messages[0]
    deliver_all(world)
    world.advance(2.0)
    world.tick(borrower, 0)
    deliver_all(world)
    use(world, lender, 2)
    world.messages.append(grant)
    deliver_all(world)
    use(world, borrower)
    return world


def outlast_a_loan():
    world, lender, borrower = make_loan()
    world.cuts.add(frozenset((lender, borrower)))
    world.advance(8.9)
    use(world, borrower)
    use(world, lender, 20)
    return world


def lose_lender_and_borrower():
    world, lender, borrower = make_loan()
    use(world, borrower)
    world.replace(lender)
    world.replace(borrower)
    world.tell_workers(lender)
    for _ in range(30):
        world.tick(lender, ALLOWANCE)
        deliver_all(world)
        use(world, lender)
    return world


def receive_a_grant_of_a_dead_owner():
    world, lender, borrower = ask_for_loan()
    world.deliver(0)
    world.replace(lender)
    world.tell_workers(lender)
    grant = world.messages.pop(0)
    deliver_all(world)
    world.messages.append(grant)
    deliver_all(world)
    use(world, borrower)
    use(world, lender)
    return world


def return_while_in_use():
    world, lender, borrower = make_loan()
    use(world, borrower)
    world.advance(2.0)
    world.tick(borrower, 0)
    deliver_all(world)
    use(world, lender, 2)
    return world


def accept_from_arrival(ledger, granted, now):
    row = escrow.refresh_account(ledger, granted.plan_id, now)
    pending = row.pending.get(granted.loan_id)
    if pending is not None:
        pending.asked_at = now
    return ACCEPT(ledger, granted, now)


def accept_unasked(ledger, granted, now):
    row = escrow.refresh_account(ledger, granted.plan_id, now)
    row.pending[granted.loan_id] = ledgers.PendingAsk(
        granted.loan_id, granted.lender_id, granted.seq, 0, now, now
    )
    return ACCEPT(ledger, granted, now)


def accept_of_any_owner(ledger, granted, now):
    ledger.claimed.clear()
    return ACCEPT(ledger, granted, now)


def take_past_the_term(ledger, plan_id, max_run_s, now):
    return TAKE(ledger, plan_id, 0.0, now)


def return_all(ledger, now):
    returns = []
    for row in ledger.accounts.values():
        for loan in row.borrowed.values():
            returns.append(
                loans.LoanReturn(loan.loan_id, loan.lender_id, row.plan_id, 0)
            )
    return returns


def answer_at_once(ledger, shard_id, epoch, now):
    ledger.awaited -= {"w"}
    ledger.unaware.clear()
    return ANSWER(ledger, shard_id, epoch, now)


ACCEPT = loans.accept
TAKE = escrow.take
ANSWER = takeover.list_held_from

# The twin of models/escrow.pml, the events of its counterexample, and the rule
# that has the same guard taken away.
TWINS = (
    ("TAKEOVER", lose_an_owner, escrow, "owns_base", lambda *_: True),
    ("ARRIVAL", receive_a_late_grant, loans, "accept", accept_from_arrival),
    ("again", receive_a_grant_twice, loans, "accept", accept_unasked),
    ("OUTLAST", outlast_a_loan, escrow, "take", take_past_the_term),
    (
        "CLAIM",
        lose_lender_and_borrower,
        takeover,
        "list_held_from",
        answer_at_once,
    ),
    (
        "EPOCH",
        receive_a_grant_of_a_dead_owner,
        loans,
        "accept",
        accept_of_any_owner,
    ),
    ("RETURN", return_while_in_use, loans, "choose_returns", return_all),
)


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

    def test_rate_is_never_exceeded_in_long_runs(self):
        for starts_per_s, burst in ((0.2, 1), (1.0, 0), (3.0, 2)):
            for seed in range(60):
                steps = make_random_steps(seed)
                run_steps(steps, 3.0, starts_per_s, burst)

    def test_without_a_wait_long_runs_exceed_the_sum(self):
        with mock.patch.object(escrow, "owns_base", lambda *_: True):
            self.assertIsNotNone(find_violation(range(100), 6.0))

    def test_each_guard_is_needed(self):
        for name, run_events, module, function, naive in TWINS:
            with self.subTest(name):
                self.assertLessEqual(len(run_events().runs), ALLOWANCE)
                with mock.patch.object(module, function, naive):
                    self.assertGreater(len(run_events().runs), ALLOWANCE)

    def test_every_twin_of_the_model_is_here(self):
        model = run.ROOT / "escrow.pml"
        names = {f"NAIVE_{name}" for name, *_ in TWINS}
        self.assertEqual(set(run.list_twins(model)) - names, set())
