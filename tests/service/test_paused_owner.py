"""Leases that an owner grants although its process is paused at any point.

The process may be suspended, get no processor, or be slow. It then reads late what
has arrived, its ticks come late, and it renews leases with what it has heard before.
"""

import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import intake
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import runs
from pollenladder.service import engine as engines
from pollenladder.service import sessions
from tests.scheduling import simulations

RESUBMISSION_S = 1.3
ATTEMPT_LEASE_S = attempt_leases.choose_lease_s(RESUBMISSION_S)
OWN_ID = "own"
GATEWAY_ID = "far"
# A worker's clock that is as slow as it may be.
WORKER_CLOCK_RATE = 1 - runs.MAX_CLOCK_DRIFT
ITERATIONS_AFTER_SILENCE = 30
# Ticks on which an expired attempt may be left: one that comes late, one after the
# last frame was read, and the one that ends it.
MAX_TICKS_PAST_LEASE = 3
ROUNDING_S = 1e-6

PAUSES_S = strategies.one_of(
    strategies.just(0.0),
    strategies.sampled_from((0.0, 0.001, 0.03, 0.11, 0.3, 0.9, 1.1, 3.0)),
    strategies.floats(0.0, 1.5),
)


@dataclasses.dataclass(frozen=True)
class Iteration:
    """What happens in one iteration of the owner's event loop.

    Attributes:
        before_poll_s: Time that passes between the tick and the poll.
        after_poll_s: Time until the first event is handled.
        between_events_s: Time between two events.
        is_timer_first: Whether the timer of the tick is handled before the socket.
        has_frame: Whether something arrives before the poll, which finds it.
        has_late_frame: Whether something arrives after the poll.
        has_reply: Whether a poll of the worker is answered in this iteration.
    """

    before_poll_s: float
    after_poll_s: float
    between_events_s: float
    is_timer_first: bool
    has_frame: bool
    has_late_frame: bool
    has_reply: bool


ITERATIONS = strategies.lists(
    strategies.builds(
        Iteration,
        PAUSES_S,
        PAUSES_S,
        PAUSES_S,
        strategies.booleans(),
        strategies.booleans(),
        strategies.booleans(),
        strategies.booleans(),
    ),
    max_size=12,
)


QUIET = Iteration(0.0, 0.0, 0.0, False, False, False, False)
LONG_PAUSE = dataclasses.replace(QUIET, after_poll_s=1.0, between_events_s=5.0)
SEVERAL_LONG_PAUSES = [
    QUIET,
    QUIET,
    dataclasses.replace(QUIET, before_poll_s=5.2, is_timer_first=True),
    dataclasses.replace(QUIET, before_poll_s=0.2, has_frame=True),
]


class PausedOwner:
    """An owner's event loop, one job and the worker that runs its task.

    Attributes:
        now: Monotonic time in seconds.
        silent_since: When the last frame has arrived, or, for a caller of the owner's
            own daemon, when its connection has broken.
        latest_lease_end: When the latest lease of the run ends.
        ticks_past_lease: The number of ticks since the attempt's lease has expired,
            up to the one that ends it.
    """

    def __init__(self, gateway_id: str, ticks_between_polls: bool = True):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.now = self.simulation.now
        self.region = self.simulation.region
        self.worker = self.region.workers["w0"]
        self.gateway_id = gateway_id
        self.silent_since = self.now
        self.latest_lease_end = float("-inf")
        self.ticks_past_lease = 0
        self._ticks_between_polls = ticks_between_polls
        self._contacts = attempt_leases.Contacts(self.now, OWN_ID)
        self._contacts.record_submission(gateway_id)
        self.region.gateways_heard_at = self._contacts.heard_at
        self.region.run_limit_s = lease_limits.choose_limit_s(
            RESUBMISSION_S, ATTEMPT_LEASE_S
        )
        self.simulation.submit(
            "a1", gateway_id, attempt=7, tasks=1, budget_s=99.0, slack_s=99.0
        )
        self._session = sessions.Session(
            self.region, self.worker, mock.Mock(), lambda: self.now
        )
        self._read_times: dict[str, float] = {}
        self._arrived_at: float | None = None
        self._timer_at = self.now + engines.TICK_S
        self._is_tick_due = False
        self._process_reply(self._read_worker_clock())

    @property
    def is_attempt_open(self) -> bool:
        """Whether the owner runs the job for its attempt."""
        return "a1" in self.region.jobs

    def run_iteration(self, iteration: Iteration, is_silent: bool) -> None:
        """Run one iteration; the peer sends nothing if `is_silent`."""
        if self._is_tick_due and self._ticks_between_polls:
            self._tick()
        self._pass(iteration.before_poll_s)
        if iteration.has_frame and not is_silent:
            self._receive_frame()
        if self._arrived_at is None and self.now < self._timer_at:
            self._pass(self._timer_at - self.now)
        has_input = self._arrived_at is not None
        # The event loop reads its clock once after each poll.
        loop_time = self.now
        clock_s = self._read_worker_clock()
        if iteration.has_late_frame and not is_silent:
            self._receive_frame()
        self._pass(iteration.after_poll_s)
        self._handle_events(iteration, has_input, loop_time)
        if iteration.has_reply:
            self._process_reply(clock_s)
            self._grant()

    def close_connection(self) -> None:
        """Break the connection of the caller, which the owner has not read yet."""
        self._arrived_at = self.silent_since = self.now

    def _handle_events(
        self, iteration: Iteration, has_input: bool, loop_time: float
    ) -> None:
        events = []
        if has_input:
            events.append(self._read)
        if loop_time >= self._timer_at and not self._is_tick_due:
            events.append(lambda: self._fire_timer(loop_time))
        if iteration.is_timer_first:
            events.reverse()
        for handle in events:
            handle()
            self._pass(iteration.between_events_s)

    def _receive_frame(self) -> None:
        self._arrived_at = self.silent_since = self.now
        self.ticks_past_lease = 0

    def _read(self) -> None:
        self._arrived_at = None
        if self.gateway_id != OWN_ID:
            self._read_times[self.gateway_id] = self.now
        elif self.is_attempt_open:
            reason = jobs.Reason.CALLER_LEFT
            intake.cancel_attempt(self.region, "a1", 7, reason, self.now)

    def _fire_timer(self, loop_time: float) -> None:
        self._is_tick_due = True
        # A timer that is started among the events counts from the loop's clock.
        self._timer_at = loop_time + engines.TICK_S
        if not self._ticks_between_polls:
            self._tick()

    def _tick(self) -> None:
        self._is_tick_due = False
        self._contacts.record_tick(self._read_times, self.now)
        expires_at = self.silent_since + ATTEMPT_LEASE_S
        if self.is_attempt_open and self.now > expires_at:
            self.ticks_past_lease += 1
        silent = self._contacts.list_silent(ATTEMPT_LEASE_S)
        attempt_leases.end_expired(self.region, silent, self.now)
        self._grant()

    def _pass(self, seconds: float) -> None:
        self.now += seconds
        self._grant()

    def _grant(self) -> None:
        """Renew the lease of the run, as a poll may be sent at any time."""
        until_s = self._session._extend_lease()
        if until_s is not None and until_s > self._read_worker_clock():
            end = until_s / WORKER_CLOCK_RATE
            self.latest_lease_end = max(self.latest_lease_end, end)

    def _read_worker_clock(self) -> float:
        return self.now * WORKER_CLOCK_RATE

    def _process_reply(self, clock_s: float) -> None:
        self.worker.polled_clock_s = clock_s
        self.worker.clock_ahead_s = clock_s - self.now


class PausedOwnerTest(unittest.TestCase):
    """Guards against runs beside those of the next attempt of their job."""

    def _check(self, owner: PausedOwner, margin_s: float) -> None:
        latest_s = owner.latest_lease_end - owner.silent_since
        self.assertLess(latest_s, RESUBMISSION_S - margin_s + ROUNDING_S)
        self.assertFalse(owner.is_attempt_open)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(ITERATIONS, ITERATIONS)
    @hypothesis.example(SEVERAL_LONG_PAUSES, [])
    def test_runs_of_a_silent_gateway_end_before_its_callers_return(
        self, before: list[Iteration], after: list[Iteration]
    ):
        owner = PausedOwner(GATEWAY_ID)
        self._run_silent_gateway(owner, before, after)
        # The last frame takes up to `ARRIVAL_S` to arrive.
        self._check(owner, lease_limits.ARRIVAL_S)
        self.assertLessEqual(owner.ticks_past_lease, MAX_TICKS_PAST_LEASE)

    def _run_silent_gateway(
        self,
        owner: PausedOwner,
        before: list[Iteration],
        after: list[Iteration],
    ) -> None:
        for iteration in before:
            owner.run_iteration(iteration, is_silent=False)
        # All leases before are of no interest, as the gateway was alive.
        owner.latest_lease_end = float("-inf")
        for iteration in after:
            owner.run_iteration(iteration, is_silent=True)
        while owner.now < owner.silent_since + ATTEMPT_LEASE_S:
            owner.run_iteration(QUIET, is_silent=True)
        for _ in range(ITERATIONS_AFTER_SILENCE):
            owner.run_iteration(QUIET, is_silent=True)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(ITERATIONS, ITERATIONS)
    @hypothesis.example([QUIET, LONG_PAUSE, QUIET, QUIET, QUIET], [])
    def test_runs_of_own_callers_end_before_these_return(
        self, before: list[Iteration], after: list[Iteration]
    ):
        owner = PausedOwner(OWN_ID)
        for iteration in before:
            owner.run_iteration(iteration, is_silent=True)
        owner.close_connection()
        for iteration in after:
            owner.run_iteration(iteration, is_silent=True)
        for _ in range(ITERATIONS_AFTER_SILENCE):
            owner.run_iteration(QUIET, is_silent=True)
        self._check(owner, 0.0)

    def test_ticks_among_the_events_would_not_do(self):
        # A frame arrives after a poll, and a pause delays the tick of that iteration.
        # After a second pause, the next tick comes before the frame is read.
        paused = dataclasses.replace(QUIET, is_timer_first=True)
        before = [
            QUIET,
            dataclasses.replace(
                paused,
                has_late_frame=True,
                after_poll_s=0.8,
                between_events_s=0.1,
            ),
            paused,
        ]
        for ticks_between_polls in (True, False):
            owner = PausedOwner(GATEWAY_ID, ticks_between_polls)
            self._run_silent_gateway(owner, before, [])
            with self.subTest(ticks_between_polls=ticks_between_polls):
                latest_s = owner.latest_lease_end - owner.silent_since
                is_over = latest_s < RESUBMISSION_S
                self.assertEqual(is_over, ticks_between_polls)
