"""Leases of attempts: an owner runs a job only while it hears from its gateways.

A caller whose connection breaks submits its job again after a fixed time, through
any gateway. Behind a network partition, the next attempt may reach another owner,
which does not know of the attempt before. The runs of an attempt therefore have to be
over by then, although its cancellation may be lost: the attempt ends if nothing was
received from its gateway for the length of the lease.
"""

from collections.abc import Mapping

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import tables

# Time from the end of a lease until the runs are over: a round of maintenance, a stop
# order that is repeated once, and the time that a worker takes to stop a run.
STOP_ALLOWANCE_S = 0.35
# The lease lasts for several heartbeats of a gateway, even if callers return earlier.
MIN_LEASE_S = 0.5
MAX_LEASE_S = 0.95
# After a longer pause between two ticks, what has arrived meanwhile is read first.
LATE_TICK_S = 0.1
# A gateway whose silence was reported is forgotten once it has lasted this long.
FORGET_AFTER_S = 5.0


def choose_lease_s(resubmission_s: float) -> float:
    """Return the length of an attempt's lease, in seconds.

    Args:
        resubmission_s: Time after which a caller submits its job again.
    """
    return min(MAX_LEASE_S, max(MIN_LEASE_S, resubmission_s - STOP_ALLOWANCE_S))


class Contacts:
    """When this owner last heard from each gateway, as of its last tick.

    A process reads what has arrived in each iteration of its event loop, and each tick
    comes between two iterations. What it reads between two ticks has therefore arrived
    after the tick before them, even if the process was suspended meanwhile. That tick
    counts as the time of the contact.

    The same holds for the callers of the owner's own daemon, as a connection that has
    broken is read like any other.

    Attributes:
        heard_at: When each daemon was last heard, monotonic, in seconds.
    """

    def __init__(self, now: float, own_id: str = ""):
        """Start without any contact.

        Args:
            now: Monotonic time in seconds.
            own_id: The owner's own daemon, which is never silent.
        """
        self.heard_at: dict[str, float] = {own_id: now}
        self._own_id = own_id
        self._read_at: dict[str, float] = {}
        self._just_heard: set[str] = set()
        self._reported: set[str] = set()
        self._tick_at = now
        # When the two ticks before were.
        self._last_tick_at = now
        self._earlier_tick_at = now

    def record_tick(self, read_at: Mapping[str, float], now: float) -> None:
        """Record what was received until a tick.

        Args:
            read_at: When the last bytes from each linked daemon were read.
            now: Monotonic time in seconds.
        """
        self._earlier_tick_at = self._last_tick_at
        self._last_tick_at = self._tick_at
        self._tick_at = now
        self._just_heard.clear()
        # A connection that had broken before the last tick has been read by now.
        self.heard_at[self._own_id] = self._last_tick_at
        for daemon_id, at in read_at.items():
            if self._read_at.get(daemon_id) != at:
                self._read_at[daemon_id] = at
                self.heard_at[daemon_id] = self._earlier_tick_at
                self._just_heard.add(daemon_id)
        self._reported -= self._just_heard
        self._forget_silent()

    def record_submission(self, gateway_id: str) -> None:
        """Record a contact with a gateway whose submission was just read.

        The next tick records its link. Until then, the gateway of an attempt must not
        be unknown, as its runs would get leases without a limit.
        """
        self.heard_at.setdefault(gateway_id, self._last_tick_at)

    def _forget_silent(self) -> None:
        """Forget the daemons that were reported as silent some time ago.

        Late ticks don't report all of them, however long their silence is.
        """
        for daemon_id in list(self._reported):
            if self._tick_at > self.heard_at[daemon_id] + FORGET_AFTER_S:
                del self.heard_at[daemon_id]
                self._reported.remove(daemon_id)

    def must_read_first(self) -> bool:
        """Return whether the process has just been paused.

        It has not read yet what has arrived meanwhile. If all ticks come late, it
        reads between them.
        """
        is_late = self._tick_at > self._last_tick_at + LATE_TICK_S
        was_late = self._last_tick_at > self._earlier_tick_at + LATE_TICK_S
        return is_late and not was_late

    def list_silent(self, lease_s: float) -> dict[str, float]:
        """Return for how long each daemon with an expired lease was silent.

        Nothing expires on a tick that comes late, as the process has not read yet
        what has arrived. If all ticks come late, only daemons from which nothing was
        read since the last one are silent.
        """
        if self.must_read_first():
            return {}
        now = self._tick_at
        is_late = now > self._last_tick_at + LATE_TICK_S
        silent = {
            daemon_id: now - at
            for daemon_id, at in self.heard_at.items()
            if now > at + lease_s
            and daemon_id != self._own_id
            and not (is_late and daemon_id in self._just_heard)
        }
        self._reported.update(silent)
        return silent


def end_expired(
    region: tables.Region, silent: Mapping[str, float], now: float
) -> None:
    """End the attempts of silent gateways, and tell these.

    A gateway that is alive forwards the attempt again.

    Args:
        region: The region.
        silent: For how long each silent daemon was silent, in seconds.
        now: Monotonic time in seconds.
    """
    if not silent:
        return
    counts: dict[str, int] = {}
    for job_id, job in list(region.jobs.items()):
        for attempt in list(job.attempts.values()):
            gateway_id = attempt.gateway_id
            if gateway_id not in silent:
                continue
            counts[gateway_id] = counts.get(gateway_id, 0) + 1
            reason = jobs.Reason.GATEWAY_LOST
            job_ends.remove_attempt(region, job, attempt, reason, now)
            region.effects.append(
                effects.RejectAttempt(gateway_id, job_id, attempt.number)
            )
    for gateway_id, count in counts.items():
        region.log_event(
            "attempt_leases_expired",
            gateway=gateway_id,
            attempts=count,
            silent_s=round(silent[gateway_id], 3),
        )
