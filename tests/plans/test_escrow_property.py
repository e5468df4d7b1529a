"""Running tasks never exceed the allowance.

Random steps lose, repeat and reorder messages, partition the network and
replace owners. Scripted scenarios show that each safeguard is necessary:
without it, the same events exceed the allowance.
"""

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
    """Run (operation, a, b) steps.

    Raises:
        AssertionError: A start exceeds the allowance, or its rate and burst.
    """
    simulation = cluster.Cluster(
        SHARDS, ALLOWANCE, max_run_s, starts_per_s, burst
    )
    # All starts together must fit into one bucket of the whole plan.
    plan_bucket = buckets.Bucket(tokens=1e9, refilled_at=simulation.now)
    buckets.set_rate(
        plan_bucket,
        starts_per_s * ALLOWANCE,
        burst * ALLOWANCE + SHARDS,
        simulation.now,
    )
    for operation, a, b in steps:
        shard_id = simulation.ids[a % SHARDS]
        other = simulation.ids[(a + 1 + b % (SHARDS - 1)) % SHARDS]
        if operation < 6:
            simulation.tick(shard_id, b % 8)
        elif operation < 16:
            simulation.deliver(a * 16 + b)
        elif operation < 18:
            simulation.deliver(a * 16 + b, keep=True)
        elif operation < 19:
            simulation.drop(a * 16 + b)
        elif operation < 25:
            for _ in range(1 + b % 8):
                if not simulation.start(shard_id, (1.0, 2.0, 6.0, 6.0)[b % 4]):
                    break
                if not buckets.take_token(plan_bucket, simulation.now + 1e-6):
                    raise AssertionError("starts beyond rate and burst")
                if len(simulation.runs) > ALLOWANCE:
                    raise AssertionError(f"{len(simulation.runs)} tasks run")
        elif operation < 28:
            simulation.advance((0.1, 0.4, 1.0, 2.5)[b % 4])
        elif operation < 29:
            simulation.replace(shard_id)
        elif operation < 30:
            simulation.deliver_worker_grant(shard_id)
        elif operation < 31:
            simulation.partitions.add(frozenset((shard_id, other)))
        else:
            simulation.partitions.clear()


def make_random_steps(seed):
    source = random.Random(seed)
    return [
        (source.randrange(32), source.randrange(16), source.randrange(16))
        for _ in range(400)
    ]


def find_violation(seeds, max_run_s):
    """Return the first seed whose steps exceed the allowance, or None."""
    for seed in seeds:
        try:
            run_steps(make_random_steps(seed), max_run_s)
        except AssertionError:
            return seed
    return None


def use_all_units(simulation, shard_id, ticks=1):
    """Start long tasks on all free units of a shard, in each tick."""
    for _ in range(ticks):
        simulation.advance(0.1)
        while simulation.start(shard_id, 6.0):
            pass


def deliver_all(simulation):
    while simulation.messages:
        simulation.deliver(0)


def request_loan():
    """Return a simulation with a pending loan request, lender and borrower."""
    simulation = cluster.Cluster(2, ALLOWANCE, 6.0)
    simulation.advance(0.1)
    simulation.tick(simulation.ids[1], ALLOWANCE)
    return simulation, *simulation.ids


def make_loan():
    simulation, lender, borrower = request_loan()
    deliver_all(simulation)
    return simulation, lender, borrower


def lose_an_owner():
    simulation, lender, borrower = make_loan()
    use_all_units(simulation, lender)
    use_all_units(simulation, borrower)
    simulation.replace(lender)
    use_all_units(simulation, lender)
    return simulation


def receive_a_late_grant():
    simulation, lender, borrower = request_loan()
    simulation.deliver(0)
    simulation.advance(9.9)
    deliver_all(simulation)
    use_all_units(simulation, borrower)
    use_all_units(simulation, lender, 8)
    return simulation


def receive_a_grant_twice():
    simulation, lender, borrower = request_loan()
    simulation.deliver(0)
    grant = simulation.messages[0]
    deliver_all(simulation)
    simulation.advance(2.0)
    simulation.tick(borrower, 0)
    deliver_all(simulation)
    use_all_units(simulation, lender, 2)
    simulation.messages.append(grant)
    deliver_all(simulation)
    use_all_units(simulation, borrower)
    return simulation


def outlast_a_loan():
    simulation, lender, borrower = make_loan()
    simulation.partitions.add(frozenset((lender, borrower)))
    simulation.advance(8.9)
    use_all_units(simulation, borrower)
    use_all_units(simulation, lender, 20)
    return simulation


def lose_lender_and_borrower():
    simulation, lender, borrower = make_loan()
    use_all_units(simulation, borrower)
    simulation.replace(lender)
    simulation.replace(borrower)
    simulation.deliver_worker_grant(lender)
    for _ in range(30):
        simulation.tick(lender, ALLOWANCE)
        deliver_all(simulation)
        use_all_units(simulation, lender)
    return simulation


def receive_a_grant_of_a_dead_owner():
    simulation, lender, borrower = request_loan()
    simulation.deliver(0)
    simulation.replace(lender)
    simulation.deliver_worker_grant(lender)
    grant = simulation.messages.pop(0)
    deliver_all(simulation)
    simulation.messages.append(grant)
    deliver_all(simulation)
    use_all_units(simulation, borrower)
    use_all_units(simulation, lender)
    return simulation


def return_while_in_use():
    simulation, lender, borrower = make_loan()
    use_all_units(simulation, borrower)
    simulation.advance(2.0)
    simulation.tick(borrower, 0)
    deliver_all(simulation)
    use_all_units(simulation, lender, 2)
    return simulation


def accept_from_arrival(ledger, granted, now):
    account = escrow.refresh_account(ledger, granted.plan_id, now)
    pending = account.pending.get(granted.loan_id)
    if pending is not None:
        pending.first_sent_at = now
    return ACCEPT(ledger, granted, now)


def accept_unrequested(ledger, granted, now):
    account = escrow.refresh_account(ledger, granted.plan_id, now)
    account.pending[granted.loan_id] = ledgers.PendingRequest(
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
    for account in ledger.accounts.values():
        for loan in account.borrowed.values():
            returns.append(
                loans.LoanReturn(
                    loan.loan_id, loan.lender_id, account.plan_id, 0
                )
            )
    return returns


def answer_before_all_replies(ledger, shard_id, epoch, now):
    ledger.awaited -= {"w"}
    ledger.unacknowledged.clear()
    return ANSWER(ledger, shard_id, epoch, now)


ACCEPT = loans.accept
TAKE = escrow.take
ANSWER = takeover.list_held_from

# The twin in models/escrow.pml (a variant without one safeguard), the events of
# its counterexample, and the function to replace by one without the safeguard.
TWINS = (
    ("TAKEOVER", lose_an_owner, escrow, "owns_base", lambda *_: True),
    ("ARRIVAL", receive_a_late_grant, loans, "accept", accept_from_arrival),
    ("again", receive_a_grant_twice, loans, "accept", accept_unrequested),
    ("OUTLAST", outlast_a_loan, escrow, "take", take_past_the_term),
    (
        "CLAIM",
        lose_lender_and_borrower,
        takeover,
        "list_held_from",
        answer_before_all_replies,
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

    def test_long_runs_exceed_the_sum_without_a_takeover(self):
        with mock.patch.object(escrow, "owns_base", lambda *_: True):
            self.assertIsNotNone(find_violation(range(100), 6.0))

    def test_each_guard_is_needed(self):
        for name, run_events, module, function, naive in TWINS:
            with self.subTest(name):
                self.assertLessEqual(len(run_events().runs), ALLOWANCE)
                with mock.patch.object(module, function, naive):
                    self.assertGreater(len(run_events().runs), ALLOWANCE)

    def test_every_twin_of_the_model_is_covered(self):
        model = run.ROOT / "escrow.pml"
        names = {f"NAIVE_{name}" for name, *_ in TWINS}
        self.assertEqual(set(run.list_twins(model)) - names, set())
