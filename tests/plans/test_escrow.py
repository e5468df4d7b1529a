"""Tests of shares, token buckets, loans and takeovers, step by step."""

import unittest

from pollenladder.plans import buckets
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.plans import takeover

PLAN = "checks"
A, B = "dc/0", "dc/1"
SHARDS = tuple(f"dc/{i}" for i in range(7))


def make_ledger(shard_id=A, base=10, rate=100.0, burst=10, others=(A, B)):
    """Return a ledger after its takeover, whose bucket is full at time 10.0."""
    ledger = ledgers.Ledger(shard_id, term_s=10.0, margin_s=0.5)
    others = [other for other in others if other != shard_id]
    takeover.begin_takeover(ledger, 1, others, [], 0.0)
    for other in others:
        takeover.record_claim_reply(ledger, other, [], 0.0)
    escrow.set_share(ledger, PLAN, base, rate, burst, 0.0)
    return ledger


def take_all(ledger, now, max_run_s=1.0):
    units = []
    while unit := escrow.take(ledger, PLAN, max_run_s, now):
        units.append(unit)
    return units


def lend(lender, borrower, waiting, now):
    """Exchange requests and grants for `waiting` tasks; return the requests."""
    requests = loans.choose_requests(borrower, {PLAN: waiting}, now)
    for request in requests:
        loans.accept(borrower, loans.grant(lender, request, now), now)
    return requests


class SplitTest(unittest.TestCase):
    def test_shares_add_up_and_never_shrink(self):
        before = dict.fromkeys(SHARDS, 0)
        for total in range(100):
            shares = escrow.split(total, reversed(SHARDS))
            self.assertEqual(sum(shares.values()), total)
            self.assertTrue(all(shares[s] >= before[s] for s in SHARDS))
            before = shares

    def test_rate_shares_do_not_exceed_the_total(self):
        for total in (0.5, 10.0, 333.333, 890000.0):
            rates = escrow.split_rate(total, SHARDS).values()
            self.assertAlmostEqual(sum(rates), total, delta=0.001)
            self.assertLessEqual(sum(rates), total + 1e-6)

    def test_one_share_equals_that_of_the_split(self):
        ids = sorted(SHARDS)
        for total in (0, 1, 2, 7, 333.333, 890000):
            whole = escrow.split(int(total), SHARDS)
            rates = escrow.split_rate(total, SHARDS)
            for i, shard_id in enumerate(ids):
                found = (
                    escrow.compute_share(int(total), i, len(ids)),
                    escrow.compute_rate_share(total, i, len(ids)),
                )
                self.assertEqual(found, (whole[shard_id], rates[shard_id]))


class BucketTest(unittest.TestCase):
    def test_starts_in_any_time_stay_within_rate_and_burst(self):
        bucket = buckets.Bucket()
        buckets.set_rate(bucket, 10.0, 5.0, 0.0)
        taken = sum(buckets.take_token(bucket, i / 100) for i in range(1000))
        self.assertLessEqual(taken, 10 * 10 + 5)
        self.assertGreaterEqual(taken, 98)

    def test_wait_for_a_token(self):
        bucket = buckets.Bucket()
        cases = ((0.0, 5.0, None), (10.0, 0.5, None), (10.0, 1.0, 0.1))
        for rate, capacity, wait_s in cases:
            buckets.set_rate(bucket, rate, capacity, 0.0)
            self.assertEqual(buckets.compute_wait_s(bucket, 0.0), wait_s)


class TakeTest(unittest.TestCase):
    def test_units_are_limited_and_freed_once(self):
        ledger = make_ledger(base=3)
        units = take_all(ledger, 10.0)
        self.assertEqual(len(units), 3)
        for _ in range(2):
            escrow.give_back(ledger, units[0], 10.1)
        self.assertEqual(escrow.count_free(ledger, PLAN, 1.0, 10.1), 1)

    def test_starts_are_limited_by_the_rate(self):
        ledger = make_ledger(base=100, rate=2.0, burst=5)
        self.assertEqual(len(take_all(ledger, 10.0)), 5)
        self.assertEqual(len(take_all(ledger, 11.0)), 2)

    def test_a_held_unit_is_freed_at_the_latest_time_requested(self):
        ledger = make_ledger(base=1)
        [unit] = take_all(ledger, 10.0)
        escrow.hold(ledger, unit, 15.0)
        escrow.hold(ledger, unit, 12.0)
        self.assertEqual(escrow.count_free(ledger, PLAN, 1.0, 13.0), 0)
        self.assertEqual(escrow.count_free(ledger, PLAN, 1.0, 15.0), 1)

    def test_a_smaller_share_stops_new_takes_only(self):
        ledger = make_ledger(base=5)
        units = take_all(ledger, 10.0)
        escrow.set_share(ledger, PLAN, 2, 100.0, 10, 10.0)
        for unit in units[:3]:
            escrow.give_back(ledger, unit, 10.1)
        self.assertEqual(escrow.count_free(ledger, PLAN, 1.0, 20.0), 0)
        escrow.give_back(ledger, units[3], 20.0)
        self.assertEqual(escrow.count_free(ledger, PLAN, 1.0, 20.0), 1)


class LoanTest(unittest.TestCase):
    def test_a_loan_transfers_units_and_their_rate(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        own = take_all(borrower, 10.0)
        self.assertEqual(len(own), 10)
        lend(lender, borrower, 8, 10.0)
        self.assertEqual(lender.accounts[PLAN].bucket.rate, 0.0)
        self.assertEqual(borrower.accounts[PLAN].bucket.rate, 200.0)
        self.assertEqual(len(take_all(borrower, 10.1)), 10)
        self.assertEqual(take_all(lender, 10.1), [])

    def test_a_lender_keeps_recently_used_units(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        for unit in take_all(lender, 10.0)[:6]:
            escrow.give_back(lender, unit, 10.0)
        take_all(borrower, 10.0)
        lend(lender, borrower, 8, 10.1)
        self.assertEqual(borrower.accounts[PLAN].borrowed, {})
        lend(lender, borrower, 8, 13.0)
        [loan] = borrower.accounts[PLAN].borrowed.values()
        self.assertEqual(loan.units, 6)

    def test_a_repeated_request_lends_once(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        [request] = loans.choose_requests(borrower, {PLAN: 2}, 10.0)
        first = loans.grant(lender, request, 10.0)
        again = loans.choose_requests(borrower, {PLAN: 2}, 11.0)
        self.assertEqual(again, [request])
        second = loans.grant(lender, request, 11.0)
        self.assertEqual(second.units, first.units)
        self.assertEqual(len(lender.accounts[PLAN].lent), 1)
        self.assertEqual(loans.accept(borrower, second, 11.0), first.units)
        self.assertEqual(loans.accept(borrower, first, 11.0), 0)
        [loan] = borrower.accounts[PLAN].borrowed.values()
        self.assertEqual(loan.until, 20.0)

    def test_the_rate_of_a_loan_ends_with_it_even_if_noticed_late(self):
        lender = make_ledger(A, base=100, rate=1000.0, burst=1000)
        borrower = make_ledger(B, rate=10.0)
        take_all(borrower, 10.0)
        lend(lender, borrower, 80, 10.0)
        bucket = borrower.accounts[PLAN].bucket
        for step in range(2000):
            buckets.take_token(bucket, 19.0 + step / 2010)
        self.assertTrue(borrower.accounts[PLAN].borrowed)
        escrow.refresh_account(borrower, PLAN, 20.05)
        # Less than one token was left, and the own rate added half a token.
        self.assertLessEqual(buckets.count_tokens(bucket, 20.05), 1)

    def test_loans_in_use_are_renewed_without_a_gap(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        lend(lender, borrower, 5, 10.0)
        for step in range(400):
            now = 10.1 + step / 10
            for unit in take_all(borrower, now):
                escrow.hold(borrower, unit, now + 0.95)
            lend(lender, borrower, 0, now)
            for returned in loans.choose_returns(borrower, now):
                loans.record_return(lender, returned, now)
            in_use = escrow.count_in_use(borrower, PLAN, now)
            self.assertGreater(in_use, 10)

    def test_idle_loans_are_returned_within_two_seconds(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        units = take_all(borrower, 10.0)
        lend(lender, borrower, 8, 10.0)
        for unit in units + take_all(borrower, 10.1):
            escrow.give_back(borrower, unit, 10.5)
        for step in range(20):
            now = 10.6 + step / 10
            loans.choose_requests(borrower, {}, now)
            for returned in loans.choose_returns(borrower, now):
                loans.record_return(lender, returned, now)
        self.assertEqual(borrower.accounts[PLAN].borrowed, {})
        self.assertEqual(escrow.count_free(lender, PLAN, 1.0, now), 10)

    def test_a_lender_that_needs_its_units_does_not_renew(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        lend(lender, borrower, 8, 10.0)
        take_all(borrower, 10.1)
        loans.choose_requests(lender, {PLAN: 5}, 16.0)
        [renewal] = loans.choose_requests(borrower, {}, 16.0)
        self.assertEqual(loans.grant(lender, renewal, 16.0).units, 0)
        self.assertEqual(escrow.count_free(lender, PLAN, 1.0, 20.4), 0)
        escrow.count_free(lender, PLAN, 1.0, 20.6)
        self.assertEqual(escrow.count_free(lender, PLAN, 1.0, 20.8), 10)

    def test_a_request_from_the_lender_recalls_units_as_they_are_freed(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        lend(lender, borrower, 8, 10.0)
        units = take_all(borrower, 10.1)
        [request] = loans.choose_requests(lender, {PLAN: 4}, 11.0)
        self.assertEqual(loans.grant(borrower, request, 11.0).units, 0)
        self.assertEqual(take_all(borrower, 11.1), [])
        for freed, unit in enumerate(units[:6], 1):
            escrow.give_back(borrower, unit, 11.2)
            for returned in loans.choose_returns(borrower, 11.2):
                loans.record_return(lender, returned, 11.2)
            free = escrow.count_own_free(lender, lender.accounts[PLAN], 11.2)
            self.assertEqual(free, min(freed, 5))

    def test_a_smaller_share_shrinks_what_was_borrowed(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        lend(lender, borrower, 8, 10.0)
        escrow.set_share(borrower, PLAN, 5, 50.0, 5, 10.0)
        [loan] = borrower.accounts[PLAN].borrowed.values()
        self.assertEqual((loan.units, loan.rate_per_unit), (5, 5.0))
        [returned] = loans.choose_returns(borrower, 10.1)
        self.assertEqual(returned.kept, 5)

    def test_a_renewal_corrects_a_lost_return(self):
        lender, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        lend(lender, borrower, 8, 10.0)
        escrow.set_share(borrower, PLAN, 5, 50.0, 5, 10.0)
        loans.choose_returns(borrower, 10.1)
        lend(lender, borrower, 0, 16.0)
        [loan] = lender.accounts[PLAN].lent.values()
        self.assertEqual(loan.units, 5)


class TakeoverTest(unittest.TestCase):
    def make_successor(self, workers=("w",)):
        ledger = ledgers.Ledger(A, 10.0, 0.5)
        takeover.begin_takeover(ledger, 2, [B], workers, 20.0)
        escrow.set_share(ledger, PLAN, 10, 100.0, 10, 20.0)
        return ledger

    def count_free(self, ledger, now):
        return escrow.count_free(ledger, PLAN, 1.0, now)

    def test_own_units_are_unusable_until_all_answers_or_a_term(self):
        for answered in ((), ("w",), (B,), (B, "w")):
            ledger = self.make_successor()
            for name in answered:
                takeover.record_claim_reply(ledger, name, [], 20.0)
            expected = 10 if len(answered) == 2 else 0
            self.assertEqual(self.count_free(ledger, 30.4), expected)
            self.assertEqual(takeover.list_unanswered_shards(ledger, 30.5), [])
            self.count_free(ledger, 30.5)
            self.assertEqual(self.count_free(ledger, 31.0), 10)

    def test_units_held_by_other_shards_stay_lent(self):
        old, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        lend(old, borrower, 4, 19.0)
        ledger = self.make_successor(())
        held = takeover.list_held_from(borrower, A, 2, 20.0)
        takeover.record_claim_reply(ledger, B, held, 20.0)
        self.assertEqual(self.count_free(ledger, 21.0), 5)
        self.count_free(ledger, 29.6)
        self.assertEqual(self.count_free(ledger, 29.8), 10)

    def test_units_of_running_tasks_stay_in_use(self):
        ledger = self.make_successor()
        takeover.record_claim_reply(ledger, B, [], 20.0)
        takeover.record_worker_reply(ledger, "w", {PLAN: 3}, 23.0, 20.0)
        self.assertEqual(self.count_free(ledger, 22.9), 7)
        self.assertEqual(self.count_free(ledger, 23.0), 10)
        ledger = self.make_successor()
        takeover.record_claim_reply(ledger, B, None, 20.0)
        takeover.record_worker_reply(ledger, "w", {PLAN: 3}, 23.0, 20.0)
        [held] = takeover.list_held_from(ledger, B, 5, 21.0)
        self.assertEqual((held.units, held.remaining_s), (3, 2.0))

    def test_grants_of_an_older_owner_are_refused_after_a_claim(self):
        old, borrower = make_ledger(A), make_ledger(B)
        take_all(borrower, 10.0)
        [request] = loans.choose_requests(borrower, {PLAN: 4}, 10.0)
        granted = loans.grant(old, request, 10.0)
        takeover.list_held_from(borrower, A, 2, 10.1)
        self.assertEqual(loans.accept(borrower, granted, 10.2), 0)

    def test_hosted_tasks_are_reported_to_the_next_owner(self):
        hosting = make_ledger(B)
        task = ledgers.HostedTask("t1", PLAN, A, "dc/5", 30.0)
        self.assertTrue(takeover.start_hosting(hosting, task, 1))
        for shard_id in (A, "dc/5"):
            held = takeover.list_held_from(hosting, shard_id, 2, 20.0)
            self.assertEqual([item.units for item in held], [1])
        late = ledgers.HostedTask("t2", PLAN, A, "", 30.0)
        self.assertFalse(takeover.start_hosting(hosting, late, 1))
        takeover.end_hosting(hosting, ["t1", "t1"])
        self.assertEqual(takeover.list_held_from(hosting, A, 2, 20.0), [])
