"""The rows in the platform's store that hold what owners have learned.

Each owned group has one row. A new owner reads it once; no decision waits for
that.
"""

from collections.abc import Callable
import dataclasses
import logging

import gevent

from pollenladder.core import clocks
from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.scheduling import learned_state
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import tables

LOGGER = logging.getLogger(__name__)

# How soon a new owner reads the row.
CHECK_INTERVAL_S = 0.25
WRITE_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the rows call.

    Attributes:
        list_regions: Returns the tables of the groups that this daemon owns.
    """

    list_regions: Callable[[], dict[str, tables.Region]]


@dataclasses.dataclass(slots=True)
class _Owned:
    """One owned group.

    Attributes:
        region: The tables for which the row was read.
        written: The state that was last written here; None before.
        write_at: Monotonic time before which the row is not written.
    """

    region: tables.Region
    written: learned_state.LearnedState | None
    write_at: float


class LearnedRows:
    """Reads and writes the rows of the owned groups."""

    def __init__(
        self,
        store: stores.Store,
        callbacks: Callbacks,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
    ):
        self._store = store
        self._callbacks = callbacks
        self._clock = clock
        self._wall_clock = wall_clock
        self._owned: dict[str, _Owned] = {}

    def run(self) -> None:
        """Read the rows of newly owned groups and refresh all, forever."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Read and write the rows that are due."""
        regions = {
            group: region
            for group, region in self._callbacks.list_regions().items()
            if region.features.speeds or region.features.interference
        }
        for group in self._owned.keys() - regions.keys():
            del self._owned[group]
        for group, region in regions.items():
            try:
                self._update(group, region)
            except Exception:
                logs.log_failure(LOGGER, "learned_state", group)

    def _update(self, group: str, region: tables.Region) -> None:
        """Read the row of a newly owned group, or write it if it is due."""
        owned = self._owned.get(group)
        if owned is None or owned.region is not region:
            self._read(group, region)
        elif self._clock() >= owned.write_at:
            self._write(group, owned)

    def _read(self, group: str, region: tables.Region) -> None:
        """Let a new owner start from the row; without one, it starts anew."""
        write_at = self._clock() + WRITE_INTERVAL_S
        self._owned[group] = _Owned(region, None, write_at)
        try:
            row = self._store.read_row(rows.LEARNED_TABLE, group)
            reason = self._restore(region, row) if row else "no row"
        except (exceptions.BadDocumentError, ValueError) as error:
            reason = str(error)[:200]
        except exceptions.StoreError as error:
            reason = str(error)[:200]
        logs.log(LOGGER, "learned_state_read", group=group, rejected=reason)

    def _restore(self, region: tables.Region, row: stores.Row) -> str:
        """Apply a row; return why it is not applied, or "".

        Raises:
            exceptions.BadDocumentError: The row is invalid.
            ValueError: Its part on interference is invalid, and not applied.
        """
        state = rows.decode_learned(row.value)
        wall_s = self._wall_clock()
        if not learned_state.is_recent(state, wall_s):
            return "too old"
        learned_state.restore(region, state)
        if state.interference is not None:
            age_s = wall_s - state.learned_at_s
            neighbours.restore(region, state.interference, self._clock(), age_s)
        return ""

    def _write(self, group: str, owned: _Owned) -> None:
        owned.write_at = self._clock() + WRITE_INTERVAL_S
        state = learned_state.capture(
            owned.region,
            self._wall_clock(),
            neighbours.get_row(owned.region, self._clock()),
        )
        if not learned_state.is_worth_writing(state, owned.written):
            return
        try:
            value = rows.encode_learned(state)
            self._store.put(rows.LEARNED_TABLE, group, value)
            owned.written = state
        except exceptions.StoreError as error:
            # Other calls tell whether the store is up. This row may be refused
            # while they succeed.
            logs.log(
                LOGGER,
                "learned_state_not_written",
                group=group,
                error=str(error)[:200],
            )
