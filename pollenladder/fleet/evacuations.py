"""Data centres that operators have taken out of use (their evacuation).

Operators request an evacuation in the platform's store. Each daemon follows the
store and also learns the set of evacuated data centres from the heartbeats of
other daemons, so a daemon without access to the store knows it too. The set is
always replaced as a whole, by the set of a later version of the store.

A start must not reach an evacuated data centre after a deadline that counts
from the store's response to the operator. A daemon that was paused for longer
than half of that time may have missed a request. It starts nothing until the
set has been confirmed by information that is newer than the pause.
"""

from collections.abc import Mapping
import dataclasses
import math

# Time from the request to the last start if the deployment sets no deadline.
DEFAULT_DEADLINE_S = 5.0
# Share of the deadline after which a pause of the process makes the set
# outdated. The rest covers a start order in flight, whose lease is at most 1 s.
PAUSE_SHARE = 0.5
# Share of the deadline for which jobs that have begun may still start their
# remaining tasks, if the group has no other workers.
FINISH_SHARE = 0.25
# Margin for clock drift between a worker and its owner over one lease.
LEASE_MARGIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedSet:
    """The evacuated data centres as of one version of the store.

    Attributes:
        version: The version of the store; 0 if it has not been read.
        data_centres: The data centres, sorted.
    """

    version: int = 0
    data_centres: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Time limits of a deployment, in seconds.

    Attributes:
        deadline_s: Time from the request for an evacuation until no start may
            reach the data centre.
        max_lease_s: The longest time that a start order is in flight.
        max_pause_s: The set is outdated after a longer pause of the process.
    """

    deadline_s: float = DEFAULT_DEADLINE_S
    max_lease_s: float = 1.0
    max_pause_s: float = math.inf


def build_limits(deadline_s: float | None, max_lease_s: float) -> Limits:
    """Return the limits of a deployment.

    Without a deadline, pauses of the process have no effect.

    Args:
        deadline_s: The deadline for evacuations, or None.
        max_lease_s: The longest lease that workers grant, in seconds.
    """
    if deadline_s is None:
        return Limits(max_lease_s=max_lease_s)
    return Limits(deadline_s, max_lease_s, PAUSE_SHARE * deadline_s)


class Evacuations:
    """What a daemon knows about evacuations. Times are monotonic, in seconds.

    Attributes:
        known: The set in force.
        finish_until: By evacuated data centre, until when tasks of jobs that
            have begun may be started there if the group has no other workers.
    """

    def __init__(
        self,
        limits: Limits = Limits(),
        started_at: float = 0.0,
        is_confirmed: bool = True,
    ):
        """Start with an empty set.

        Args:
            limits: The time limits.
            started_at: When the process started.
            is_confirmed: Whether the empty set counts as current. A daemon that
                has just started does not know the set before it has read it.
        """
        self.known = EvacuatedSet()
        self.finish_until: Mapping[str, float] = {}
        self._limits = limits
        self._is_confirmed = is_confirmed
        self._resumed_at = started_at
        # None until the first call, which starts the observation of pauses.
        self._active_at: float | None = None
        # When the latest read of the store began that returned the known set.
        self._read_at = -math.inf
        self._linked_at: dict[str, float] = {}

    def is_current(self, now: float) -> bool:
        """Return whether the set was confirmed since the latest long pause.

        This must be called several times per second, because a longer interval
        between two calls counts as a pause.
        """
        active_at, self._active_at = self._active_at, now
        if active_at is not None and now - active_at > self._limits.max_pause_s:
            self._is_confirmed = False
            self._resumed_at = now
        return self._is_confirmed

    def record_link(self, daemon_id: str, now: float) -> None:
        """Record that a link to another daemon was established."""
        self._linked_at[daemon_id] = now

    def forget_link(self, daemon_id: str) -> None:
        """Record that the link to another daemon has ended."""
        self._linked_at.pop(daemon_id, None)

    def record_read(
        self, found: EvacuatedSet, began_at: float, now: float
    ) -> bool:
        """Apply a set that was read from the store.

        Args:
            found: The set.
            began_at: When the read began. The store may have answered a read
                before a pause.
            now: When the response was received.

        Returns:
            Whether the set of data centres changed.
        """
        self.is_current(now)
        if began_at >= self._resumed_at:
            self._is_confirmed = True
        return self._adopt(found, began_at, now)

    def record_heartbeat(
        self, daemon_id: str, found: EvacuatedSet, is_current: bool, now: float
    ) -> bool:
        """Apply the set in the heartbeat of another daemon.

        A heartbeat confirms the set only if its link was established after the
        latest pause. A heartbeat on an older link may have been sent during the
        pause and then waited in the socket.

        Args:
            daemon_id: The other daemon.
            found: The other daemon's set.
            is_current: Whether the set is current for the other daemon.
            now: When the heartbeat was received.

        Returns:
            Whether the set of data centres changed.
        """
        self.is_current(now)
        linked_at = self._linked_at.get(daemon_id, -math.inf)
        if is_current and linked_at >= self._resumed_at:
            self._is_confirmed = True
        return self._adopt(found, -math.inf, now)

    def _adopt(self, found: EvacuatedSet, read_at: float, now: float) -> bool:
        """Replace the set if `found` is newer; return whether it differs."""
        if found.version < self.known.version:
            return False
        before = frozenset(self.known.data_centres)
        is_new_version = found.version > self.known.version
        if not is_new_version and found.data_centres != self.known.data_centres:
            return False
        last_read_at, self._read_at = (
            self._read_at,
            max(self._read_at, read_at),
        )
        self.known = found
        after = frozenset(found.data_centres)
        if before == after:
            return False
        self.finish_until = {
            name: self.finish_until[name]
            if name in before
            else self._choose_finish_until(last_read_at, now)
            for name in found.data_centres
        }
        return True

    def _choose_finish_until(self, last_read_at: float, now: float) -> float:
        """Return until when begun jobs may be finished in a data centre.

        The request came after the latest read without it began, and the
        deadline counts from the request. A daemon that never read such a set
        cannot bound the time of the request and gets no time.
        """
        limits = self._limits
        in_flight_s = limits.max_lease_s + LEASE_MARGIN_S
        return min(
            now + FINISH_SHARE * limits.deadline_s,
            last_read_at + limits.deadline_s - in_flight_s,
        )
