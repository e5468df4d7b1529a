"""A shard never has two owners at once.

Random steps lose, delay, reorder and repeat messages, pause and replace
daemons, and restart a worker. Each daemon uses its own clock for its leases.
"""

import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from pollenladder.membership import leases
from pollenladder.membership import ownership
from tests.membership import fakes

DAEMONS = 3
WORKERS = [f"w{i}" for i in range(6)]
TTL_S = 3.0
OFFSET_S = 100.0


class Simulation:
    """Daemons with their own clocks, workers, and the messages between them.

    A daemon is paused while no step concerns it; its clock continues.
    """

    def __init__(self):
        self.now = 0.0
        self.workers = {w: fakes.FakeWorker() for w in WORKERS}
        self.states = [self.make_state(i) for i in range(DAEMONS)]
        self.requests = []
        self.replies = []

    def clock(self, index):
        return self.now + OFFSET_S * index

    def make_state(self, index):
        name = f"d{index}-{self.now}"
        state = ownership.Ownership("s/0", name, TTL_S)
        # One daemon has an outdated list, without the last worker.
        listed = WORKERS if index else WORKERS[:-1]
        ownership.set_workers(state, listed, self.clock(index))
        return state

    def send_requests(self, index, wants_ownership):
        state, now = self.states[index], self.clock(index)
        wall_ms = int(self.now * 1000) + index
        requests = ownership.choose_requests(
            state, wants_ownership, wall_ms, now
        )
        for request in requests:
            ownership.record_sent(state, request.worker_id, now)
            self.requests.append((index, state, request, now))
        for release in ownership.pop_releases(state):
            self.workers[release.worker_id].release(
                state.daemon_id, release.epoch
            )

    def deliver_request(self, position, keep):
        """Deliver a request to its worker; `keep` leaves it to be repeated."""
        if not self.requests:
            return
        position %= len(self.requests)
        entry = self.requests[position]
        if not keep:
            self.requests.pop(position)
        _, state, request, _ = entry
        worker = self.workers[request.worker_id]
        granted = worker.lease(state.daemon_id, request.epoch, TTL_S, self.now)
        remaining_s = max(0.0, worker.lease_until - self.now)
        reply = (granted, worker.max_epoch, remaining_s, worker.holder)
        self.replies.append((*entry, reply))

    def deliver_reply(self, position):
        """Deliver a worker's reply to the daemon."""
        if not self.replies:
            return
        index, state, request, sent_at, reply = self.replies.pop(
            position % len(self.replies)
        )
        granted, max_epoch, remaining_s, holder = reply
        now = self.clock(index)
        if granted:
            ownership.record_granted(
                state, request.worker_id, request.epoch, sent_at, now
            )
            return
        ownership.record_refused(
            state, request.worker_id, max_epoch, remaining_s, now, holder
        )

    def start(self, index, worker_id):
        """Start a task if allowed, with an immediate reply."""
        state, now = self.states[index], self.clock(index)
        if not ownership.may_start(state, worker_id, now):
            return
        epoch = ownership.get_lease_epoch(state, worker_id)
        worker = self.workers[worker_id]
        if worker.start(state.daemon_id, epoch, TTL_S, self.now):
            ownership.record_started(state, worker_id, now, now)
        else:
            ownership.record_lease_lost(state, worker_id, now)

    def list_owners(self):
        return [
            state.daemon_id
            for index, state in enumerate(self.states)
            if ownership.owns(state, self.clock(index))
        ]


def run_steps(steps):
    """Run (operation, a, b) steps; return the number of different owners.

    Raises:
        AssertionError: Two daemons own the shard at once.
    """
    simulation, owners = Simulation(), set()
    for operation, a, b in steps:
        index = a % DAEMONS
        # Advance the time between any two events.
        simulation.now += 0.001
        if operation < 5:
            simulation.send_requests(index, wants_ownership=b % 8 > 0)
        elif operation < 14:
            for i in range(1 + b % 6):
                simulation.deliver_request(a * 16 + b + i, keep=b == 0)
        elif operation < 23:
            for i in range(1 + b % 6):
                simulation.deliver_reply(a * 16 + b + i)
        elif operation < 25:
            simulation.start(index, WORKERS[b % 6])
        elif operation < 27:
            simulation.now += (0.2, 0.7, 1.5, 4.0)[b % 4]
        elif operation < 28 and b == 0:
            simulation.states[index] = simulation.make_state(index)
        elif operation < 29 and b == 0:
            simulation.workers["w0"] = fakes.FakeWorker()
        elif operation < 30 and simulation.requests:
            simulation.requests.pop(0)
        found = simulation.list_owners()
        owners.update(found)
        if len(found) > 1:
            raise AssertionError(f"{found} own the shard")
    return len(owners)


def find_violation(seeds):
    """Return the first seed whose steps lead to two owners, or None."""
    for seed in seeds:
        source = random.Random(seed)
        steps = [
            (source.randrange(30), source.randrange(16), source.randrange(16))
            for _ in range(600)
        ]
        try:
            run_steps(steps)
        except AssertionError:
            return seed
    return None


def record_from_arrival(state, worker_id, epoch, sent_at, now):
    """Count the lease's term from the arrival of the grant."""
    RECORD_GRANTED(state, worker_id, epoch, now, now)


def own_without_clock(state, now):
    """Return whether the phase is OWNER, ignoring when the leases end."""
    return state.phase is leases.Phase.OWNER


RECORD_GRANTED = ownership.record_granted

# Each replaces a function of `ownership` by one that lacks a safeguard.
NAIVE_RULES = {
    "leases count from arrival": ("record_granted", record_from_arrival),
    "half of the workers is a quorum": (
        "compute_quorum",
        lambda workers: workers // 2,
    ),
    "the clock is not checked": ("owns", own_without_clock),
}


class OneOwnerTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 29), st.integers(0, 15), st.integers(0, 15)
            ),
            min_size=40,
            max_size=150,
        )
    )
    def test_never_two_owners(self, steps):
        run_steps(steps)

    def test_never_two_owners_in_long_runs(self):
        self.assertIsNone(find_violation(range(80)))

    def test_long_runs_see_owners_change(self):
        source = random.Random(3)
        steps = [
            (source.randrange(30), source.randrange(16), source.randrange(16))
            for _ in range(4000)
        ]
        self.assertGreater(run_steps(steps), 3)

    def test_each_guard_is_needed(self):
        for name, (function, naive) in NAIVE_RULES.items():
            with (
                self.subTest(name),
                mock.patch.object(ownership, function, naive),
            ):
                self.assertIsNotNone(find_violation(range(80)))
