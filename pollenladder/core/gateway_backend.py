"""Job ids, stamps, readiness and the status, provided to the gateway."""

from collections.abc import Callable
from typing import Any

from pollenladder.conf import settings as conf
from pollenladder.core import clocks
from pollenladder.core import engine as engines
from pollenladder.core import mesh as meshes
from pollenladder.core import status
from pollenladder.dispatch import directory
from pollenladder.gateway import backend

# Reported for a daemon from which no digest was ever received.
MAX_REPORTED_SILENCE_S = 1e6


class GatewayBackend:
    """The part of the gateway's backend that reads the whole daemon's state."""

    def __init__(
        self,
        own: conf.Settings,
        incarnation: int,
        engine: engines.Engine,
        mesh: meshes.Mesh,
        is_draining: Callable[[], bool],
        list_failing_loops: Callable[[], list[str]],
        clock: clocks.Clock,
    ):
        """Use the daemon's components.

        Args:
            own: The daemon's settings.
            incarnation: A number that grows with each start of the daemon.
            engine: The engine.
            mesh: The other daemons.
            is_draining: Returns whether the daemon accepts no more jobs.
            list_failing_loops: Returns the names of the loops that keep failing.
            clock: Monotonic time in seconds.
        """
        self._own = own
        self._incarnation = incarnation
        self._engine = engine
        self._mesh = mesh
        self._is_draining = is_draining
        self._list_failing_loops = list_failing_loops
        self._clock = clock
        self._jobs_issued = 0

    def issue_job_id(self) -> str:
        """Return a globally unique job id, which is never reused."""
        self._jobs_issued += 1
        own = self._own.daemon_id
        return f"{own}-{self._incarnation}-{self._jobs_issued}"

    def issue_stamp(self) -> backend.Stamp | None:
        """Return a valid stamp, preferably of a shard in this data centre.

        Returns:
            The stamp, or None if no known shard has a valid one.
        """
        now = self._clock()
        entries = [
            entry
            for entry in self._engine.shard_directory.entries.values()
            if entry.stamp and entry.stamp_expires_at > now
        ]
        best = min(entries, key=self._rank_entry, default=None)
        if best is None:
            return None
        return backend.Stamp(best.stamp, best.stamp_expires_at - now)

    def get_unready_reason(self) -> str | None:
        """Return why this daemon cannot accept jobs now; None if it can."""
        if self._is_draining():
            return "draining"
        if not self._engine.declared.version:
            return "no declarations yet"
        if not self._engine.shard_directory.entries:
            return "no owner of a shard is known"
        if failing := self._list_failing_loops():
            return f"failing: {', '.join(failing)}"
        return None

    def describe_status(self) -> dict[str, Any]:
        """Return the status for operators, as JSON values."""
        now = self._clock()
        return status.describe(
            self._describe_self(),
            [self._describe_known(k, now) for k in self._mesh.known.values()],
            [
                shard
                for shard in self._engine.shards.values()
                if shard.ownership_is_held(now)
            ],
            [
                (entry.shard_id, entry.daemon_id, entry.epoch)
                for entry in self._engine.shard_directory.entries.values()
            ],
            self._mesh.list_unreachable(),
            now,
        )

    def _rank_entry(self, entry: directory.ShardEntry) -> tuple[bool, str]:
        centre = directory.get_data_centre(entry.shard_id)
        return centre != self._own.data_centre, entry.shard_id

    def _describe_self(self) -> status.DaemonStatus:
        return status.DaemonStatus(
            self._own.daemon_id,
            self._own.data_centre,
            self._engine.declared.version,
            "leaving" if self._is_draining() else "live",
            0.0,
        )

    def _describe_known(
        self, known: meshes.KnownDaemon, now: float
    ) -> status.DaemonStatus:
        state = "leaving" if known.info.leaving else "live"
        if known.is_lost:
            state = "unreachable"
        return status.DaemonStatus(
            known.info.daemon_id,
            known.info.data_centre,
            known.version or 0,
            state,
            min(MAX_REPORTED_SILENCE_S, now - known.last_digest_at),
        )
