"""Cancel a job at all daemons, and make sure that all of them know it.

Any daemon may own the group that executes the job, or may be its next owner, also one
that is cut off from this daemon or was started anew. So this daemon tells all others and
waits for their replies. If one doesn't reply, or a daemon that may be alive has no link,
the cancellation is written to the store, where owners look for it.
"""

from collections.abc import Callable
import dataclasses

from gevent import event

from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.platform import exceptions

# Daemons reply within some milliseconds, unless they are suspended or cut off.
REPLY_TIMEOUT_S = 0.25


class UnconfirmedError(Exception):
    """Other daemons may not know that a job was cancelled."""


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the cancellations call.

    Attributes:
        cancel_job: Cancels a job here and tells all linked daemons. Returns whether
            this daemon knew the job.
        write_row: Writes the cancellation of a job to the store.
        knows_all_daemons: Returns whether the list of the other daemons has been
            read from the store.
    """

    cancel_job: Callable[[str], bool]
    write_row: Callable[[str], None]
    knows_all_daemons: Callable[[], bool]


@dataclasses.dataclass(frozen=True)
class Pending:
    """A cancellation of which some daemons have not been heard yet.

    Attributes:
        missing: The daemons that have not replied.
        is_complete: Set once all have replied.
    """

    missing: set[str]
    is_complete: event.Event


class JobCancellations:
    """The cancellations that this daemon's callers have requested."""

    def __init__(
        self,
        roster: rosters.Roster,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._roster = roster
        self._callbacks = callbacks
        self._clock = clock
        self._pending: dict[str, list[Pending]] = {}

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether this daemon knew it.

        Raises:
            UnconfirmedError: Other daemons may not know it.
        """
        pending = Pending(self._roster.list_peers(), event.Event())
        self._pending.setdefault(job_id, []).append(pending)
        try:
            is_known = self._callbacks.cancel_job(job_id)
            is_confirmed = self._wait(pending)
        finally:
            self._remove(job_id, pending)
        if not is_confirmed:
            self._write_row(job_id)
        return is_known

    def record_reply(self, job_id: str, daemon_id: str) -> None:
        """Record that a daemon knows that a job was cancelled."""
        for pending in self._pending.get(job_id, ()):
            pending.missing.discard(daemon_id)
            if not pending.missing:
                pending.is_complete.set()

    def _wait(self, pending: Pending) -> bool:
        """Return whether all daemons that may be alive have replied."""
        if not self._callbacks.knows_all_daemons():
            return False
        if not self._roster.is_whole(self._clock()):
            return False
        if not pending.missing:
            return True
        return pending.is_complete.wait(REPLY_TIMEOUT_S)

    def _remove(self, job_id: str, pending: Pending) -> None:
        # Two cancellations may be equal, so they are told apart by identity.
        left = [p for p in self._pending[job_id] if p is not pending]
        if left:
            self._pending[job_id] = left
        else:
            del self._pending[job_id]

    def _write_row(self, job_id: str) -> None:
        try:
            self._callbacks.write_row(job_id)
        except exceptions.StoreError as error:
            raise UnconfirmedError(job_id) from error
