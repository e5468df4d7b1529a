"""Tests of shard ownership: quorum, renewal, epochs, loss and challenges."""

import itertools
import unittest

from pollenladder.membership import hashing
from pollenladder.membership import leases
from pollenladder.membership import ownership
from tests.membership import fakes

SHARD = "ambato/0"
TTL_S = 3.0
IDS = [f"w{i}" for i in range(6)]
GAINED = leases.OwnershipChange.GAINED
LOST = leases.OwnershipChange.LOST
REGAINED = leases.OwnershipChange.REGAINED


def make_state(daemon_id="d0", worker_ids=IDS):
    state = ownership.Ownership(SHARD, daemon_id, TTL_S)
    ownership.set_workers(state, worker_ids, 0.0)
    return state


def make_workers(worker_ids=IDS):
    return {worker_id: fakes.FakeWorker() for worker_id in worker_ids}


def list_changes(state, now):
    return [event.change for event in ownership.pop_events(state, now)]


class QuorumTest(unittest.TestCase):
    def test_quorum_is_two_thirds_of_the_listed_workers(self):
        cases = ((0, 1), (1, 1), (2, 2), (3, 2), (4, 3), (6, 4), (8, 6))
        for workers, quorum in cases:
            self.assertEqual(ownership.compute_quorum(workers), quorum)

    def test_owner_needs_the_quorum(self):
        for granted in range(len(IDS) + 1):
            state = make_state()
            fakes.run_round(state, make_workers(IDS[:granted]), True, 1.0)
            self.assertEqual(ownership.owns(state, 1.0), granted >= 4)
            startable = [ownership.may_start(state, w, 1.0) for w in IDS]
            expected = [granted >= 4 and i < granted for i in range(6)]
            self.assertEqual(startable, expected)

    def test_a_shard_without_workers_has_no_owner(self):
        state = make_state(worker_ids=[])
        self.assertEqual(fakes.run_round(state, {}, True, 1.0), 0)
        self.assertFalse(ownership.owns(state, 1.0))

    def test_no_request_is_sent_unless_ownership_is_wanted(self):
        self.assertEqual(
            fakes.run_round(make_state(), make_workers(), False, 1.0), 0
        )

    def test_lease_counts_from_the_moment_of_sending(self):
        state = make_state()
        for request in ownership.choose_requests(state, True, 1, 1.0):
            ownership.record_granted(
                state, request.worker_id, request.epoch, 1.0, 2.5
            )
        self.assertTrue(ownership.owns(state, 3.99))
        self.assertFalse(ownership.owns(state, 4.0))


class RenewalTest(unittest.TestCase):
    def test_idle_owner_renews_at_most_once_a_second(self):
        state, workers = make_state(), make_workers()
        asked = sum(
            fakes.run_round(state, workers, True, 1.0 + i / 10)
            for i in range(100)
        )
        self.assertTrue(ownership.owns(state, 11.0))
        self.assertEqual(len(ownership.pop_events(state, 11.0)), 1)
        self.assertLessEqual(asked, 11 * len(IDS))

    def test_accepted_starts_renew_leases(self):
        state, workers = make_state(), make_workers()
        fakes.run_round(state, workers, True, 1.0)
        for i in range(1, 40):
            now = 1.0 + i / 2
            for worker_id in IDS:
                ownership.record_started(state, worker_id, now, now)
            requests = ownership.choose_requests(state, True, 1, now)
            self.assertEqual(requests, [])
        self.assertTrue(ownership.owns(state, 20.0))

    def test_unanswered_requests_are_repeated_with_growing_waits(self):
        state, workers = make_state(), make_workers(IDS[:5])
        fakes.run_round(state, workers, True, 1.0)
        times = []
        for i in range(400):
            now = 1.0 + i / 20
            fakes.run_round(state, workers, True, now)
            lease = state.leases["w5"]
            if lease.next_request_at == now + TTL_S * ownership.RETRY_FRACTION:
                times.append(now)
                ownership.record_unanswered(state, "w5", now)
        waits = [after - before for before, after in itertools.pairwise(times)]
        self.assertGreater(len(waits), 2)
        self.assertLess(waits[0], waits[-1])
        self.assertTrue(ownership.owns(state, 21.0))


class EpochTest(unittest.TestCase):
    def test_daemons_choose_different_epochs_above_all_known(self):
        epochs = set()
        for i in range(7):
            state = make_state(f"d{i}")
            [request, *_] = ownership.choose_requests(state, True, 7, 1.0)
            epochs.add(request.epoch)
        self.assertEqual(len(epochs), 7)
        state = make_state()
        ownership.record_refused(state, "w0", 10**15, 0.0, 0.5, "d1")
        requests = ownership.choose_requests(state, True, 7, 1.0)
        self.assertTrue(all(r.epoch > 10**15 for r in requests))

    def test_epochs_stay_exact_in_json(self):
        state = make_state()
        wall_ms = 4_000_000_000_000
        requests = ownership.choose_requests(state, True, wall_ms, 1.0)
        self.assertLess(requests[0].epoch, 2**53)


class LossTest(unittest.TestCase):
    def gain(self):
        state, workers = make_state(), make_workers()
        fakes.run_round(state, workers, True, 1.0)
        self.assertEqual(list_changes(state, 1.0), [GAINED])
        return state, workers

    def test_short_loss_keeps_the_epoch(self):
        state, workers = self.gain()
        epoch = state.epoch
        fakes.run_round(state, workers, True, 1.0 + TTL_S + 1)
        self.assertEqual(state.epoch, epoch)
        self.assertEqual(list_changes(state, 5.0), [LOST, REGAINED])

    def test_long_loss_requires_a_new_epoch(self):
        state, workers = self.gain()
        epoch = state.epoch
        now = 1.0 + 2 * TTL_S
        fakes.run_round(state, workers, True, now)
        self.assertGreater(state.epoch, epoch)
        self.assertEqual(list_changes(state, now), [LOST, GAINED])
        self.assertTrue(ownership.owns(state, now))

    def test_late_grant_after_a_long_pause_regains_nothing(self):
        state, _ = self.gain()
        now = 1.0 + 4 * TTL_S
        for worker_id in IDS:
            ownership.record_granted(
                state, worker_id, state.epoch, now - 1, now
            )
        self.assertFalse(ownership.owns(state, now))

    def test_an_intermediate_owner_forces_a_new_epoch(self):
        state, workers = self.gain()
        epoch = state.epoch
        other = make_state("d1")
        now = 1.0 + TTL_S + 0.1
        fakes.run_round(other, workers, True, now)
        fakes.run_round(other, workers, True, now)
        self.assertTrue(ownership.owns(other, now))
        for worker_id, request in zip(
            IDS, ownership.choose_requests(state, True, 1, now), strict=True
        ):
            fakes.deliver_request(state, workers[worker_id], request, now, now)
        self.assertFalse(ownership.owns(state, now))
        for release in ownership.resign(other):
            workers[release.worker_id].release("d1", release.epoch)
        for i in range(80):
            fakes.run_round(state, workers, True, now + i / 10)
        self.assertTrue(ownership.owns(state, now + 8))
        self.assertGreater(state.epoch, other.epoch)
        self.assertGreater(other.epoch, epoch)

    def test_restarted_worker_is_leased_again(self):
        state, workers = self.gain()
        workers["w0"] = fakes.FakeWorker()
        ownership.record_lease_lost(state, "w0", 1.1)
        self.assertFalse(ownership.may_start(state, "w0", 1.1))
        fakes.run_round(state, workers, True, 1.2)
        self.assertTrue(ownership.may_start(state, "w0", 1.2))

    def test_dead_but_listed_worker_leaves_the_others_usable(self):
        state, workers = self.gain()
        del workers["w0"], workers["w1"]
        for i in range(100):
            fakes.run_round(state, workers, True, 1.0 + i / 10)
        self.assertTrue(ownership.owns(state, 11.0))
        self.assertFalse(ownership.may_start(state, "w0", 11.0))
        self.assertEqual(list_changes(state, 11.0), [])

    def test_start_reply_from_before_the_loss_renews_nothing(self):
        state, _ = self.gain()
        ownership.record_lease_lost(state, "w0", 2.0)
        ownership.record_started(state, "w0", 1.9, 2.1)
        ownership.record_granted(state, "w0", state.epoch, 1.9, 2.1)
        self.assertFalse(ownership.may_start(state, "w0", 2.1))

    def test_owner_raises_the_epoch_on_one_worker_alone(self):
        state, workers = self.gain()
        epoch = state.epoch
        workers["w5"] = fakes.FakeWorker(max_epoch=epoch + 7)
        ownership.record_lease_lost(state, "w5", 1.1)
        fakes.run_round(state, workers, True, 1.2)
        fakes.run_round(state, workers, True, 1.3)
        self.assertTrue(ownership.may_start(state, "w5", 1.3))
        self.assertEqual(ownership.get_lease_epoch(state, "w5"), epoch + 8)
        self.assertEqual(state.epoch, epoch)

    def test_resigning_gives_all_leases_back(self):
        state, workers = self.gain()
        releases = ownership.resign(state)
        self.assertEqual([r.worker_id for r in releases], IDS)
        self.assertEqual(ownership.resign(state), [])
        self.assertFalse(ownership.owns(state, 1.1))
        for release in releases:
            workers[release.worker_id].release("d0", release.epoch)
        other = make_state("d1")
        for i in range(3):
            fakes.run_round(other, workers, True, 1.2 + i / 10)
        self.assertTrue(ownership.owns(other, 1.4))

    def test_grant_that_arrives_after_resigning_is_released(self):
        state, _ = self.gain()
        epoch = state.epoch
        ownership.resign(state)
        ownership.record_granted(state, "w0", epoch, 1.0, 1.1)
        releases = ownership.pop_releases(state)
        self.assertEqual(releases, [leases.LeaseRelease("w0", epoch)])


class ChallengeTest(unittest.TestCase):
    def test_split_votes_converge(self):
        for count in (2, 3):
            with self.subTest(challengers=count):
                self.check_split(count)

    def check_split(self, count):
        workers = make_workers()
        states = [make_state(f"d{i}") for i in range(count)]
        # Each challenger reaches a different part of the workers first.
        first = [s.daemon_id for s in states for _ in range(6 // count)]
        pending = [ownership.choose_requests(s, True, 1, 1.0) for s in states]
        for is_first_delivery in (True, False):
            for state, requests in zip(states, pending, strict=True):
                for request, winner in zip(requests, first, strict=True):
                    if (winner == state.daemon_id) is is_first_delivery:
                        worker = workers[request.worker_id]
                        fakes.deliver_request(state, worker, request, 1.0, 1.0)
        self.assertFalse(any(ownership.owns(s, 1.0) for s in states))
        for i in range(1, 60):
            for state in states:
                fakes.run_round(state, workers, True, 1.0 + i / 10)
        owners = [s.daemon_id for s in states if ownership.owns(s, 7.0)]
        ids = [s.daemon_id for s in states]
        self.assertEqual(owners, hashing.rank_daemons(SHARD, ids)[:1])

    def test_challenger_of_a_live_owner_releases_its_leases(self):
        workers = make_workers()
        owner, other = make_state("d0"), make_state("d1")
        fakes.run_round(owner, make_workers(), True, 1.0)
        for worker_id in IDS[:4]:
            workers[worker_id] = fakes.FakeWorker("d0", 1, 4.0, 1)
        fakes.run_round(other, workers, True, 1.1)
        self.assertEqual(other.phase, leases.Phase.IDLE)
        self.assertEqual(workers["w5"].lease_until, 0.0)
        self.assertGreater(other.next_campaign_at, 4.0)

    def test_successor_owns_soon_after_the_death_of_the_owner(self):
        workers = make_workers()
        fakes.run_round(make_state("d0"), workers, True, 1.0)
        successor = make_state("d1")
        for i in range(50):
            now = 1.5 + i / 10
            fakes.run_round(successor, workers, True, now)
            if ownership.owns(successor, now):
                break
        self.assertLess(now, 1.0 + TTL_S * (1 + 2 * ownership.JITTER_FRACTION))
