"""Read the VM list and the declarations from the platform, and share them.

One daemon a data centre, the owner of its first shard, reads the declarations
and pushes them to its peers; others read only while that owner is not heard of.
"""

from collections.abc import Callable
import dataclasses
import logging
from typing import Any

import gevent

from pollenladder.conf import exceptions as conf_exceptions
from pollenladder.core import clocks
from pollenladder.core import entities
from pollenladder.plans import declarations
from pollenladder.plans import deltas
from pollenladder.plans import loading
from pollenladder.table import exceptions as platform_exceptions
from pollenladder.wire import messages

LOGGER = logging.getLogger(__name__)

# Between two reads, however long the first one took.
MIN_PAUSE_S = 0.05

Push = messages.DeclarationsPush | messages.DeclarationsDelta

CURRENT_KEY = "declarations/current"


@dataclasses.dataclass(frozen=True)
class Row:
    """The declarations' row as it was read: its version and value."""

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class Outlets:
    """Functions that polling calls.

    Attributes:
        read_row: Read the declarations' row; None if there is none.
        read_vms: Read the VM list.
        is_reader: Return whether this daemon shall read the row now.
        on_vms: Take in the VM list.
        on_declared: Put declarations in force; return whether they are newer.
        share: Tell the peers whose version is older, by `choose_share`.
    """

    read_row: Callable[[], Row | None]
    read_vms: Callable[[], list[entities.Vm]]
    is_reader: Callable[[], bool]
    on_vms: Callable[[list[entities.Vm]], None]
    on_declared: Callable[[declarations.Declarations], bool]
    share: Callable[[], None]


class Polling:
    """What was last read, and the loops that read it.

    Attributes:
        push: The newest declarations as they are pushed; None before any.
        delta: What they change in those before; None if it is not known.
        platform_heard_at: When the platform last answered.
    """

    def __init__(
        self,
        outlets: Outlets,
        clock: clocks.Clock,
        row_interval_s: float,
        vms_interval_s: float,
    ):
        self.push: messages.DeclarationsPush | None = None
        self.delta: messages.DeclarationsDelta | None = None
        self.platform_heard_at = float("-inf")
        self._outlets = outlets
        self._clock = clock
        self._row_interval_s = row_interval_s
        self._vms_interval_s = vms_interval_s

    def run_declarations(self) -> None:
        """Read the declarations for ever.

        The interval counts from the start of a read, so a slow platform is not
        read less often.
        """
        while True:
            next_at = self._clock() + self._row_interval_s
            if self._outlets.is_reader():
                self._read_declarations()
            gevent.sleep(max(MIN_PAUSE_S, next_at - self._clock()))

    def run_vms(self) -> None:
        """Read the VM list for ever."""
        while True:
            try:
                self._outlets.on_vms(self._outlets.read_vms())
                self.platform_heard_at = self._clock()
            except platform_exceptions.PlatformError as error:
                LOGGER.warning("VM list: %s", error)
            except Exception:
                LOGGER.exception("VM list")
            gevent.sleep(self._vms_interval_s)

    def take_push(self, push: messages.DeclarationsPush) -> bool:
        """Put pushed declarations in force; return whether they are newer."""
        if self.push and push.version <= self.push.version:
            return False
        try:
            declared = loading.parse_row(push.value, push.version)
        except conf_exceptions.ConfError as error:
            LOGGER.error("declarations %d: %s", push.version, error)
            return False
        if not self._outlets.on_declared(declared):
            return False
        self.delta = _compare(self.push, push)
        self.push = push
        LOGGER.info("declarations %d are in force here", push.version)
        return True

    def lacks(self, version: int) -> bool:
        """Return whether a version is newer than what was read or pushed."""
        return self.push is None or version > self.push.version

    def take_delta(self, delta: messages.DeclarationsDelta) -> bool:
        """Put a newer change in force; return False if that can't be done."""
        if self.push is None or delta.base != self.push.version:
            return False
        try:
            value = deltas.apply(self.push.value, delta.delta)
        except (AttributeError, KeyError, TypeError) as error:
            LOGGER.error("change %d: %r", delta.version, error)
            return False
        return self.take_push(messages.DeclarationsPush(delta.version, value))

    def choose_push(self, version: int) -> Push | None:
        """Return what brings a peer at a version up to the newest, or None."""
        if self.push is None or version >= self.push.version:
            return None
        if self.delta and self.delta.base == version:
            return self.delta
        return self.push

    def choose_share(self, heard_version: int) -> Push | None:
        """Return what to tell a peer of a change, or None.

        What was heard of its version may be old, so it gets the delta: if it
        lacks the base, it answers with its version and gets the whole.
        """
        push = self.choose_push(heard_version)
        if push and heard_version and self.delta:
            return self.delta
        return push

    def _read_declarations(self) -> None:
        try:
            row = self._outlets.read_row()
            self.platform_heard_at = self._clock()
        except platform_exceptions.PlatformError as error:
            LOGGER.warning("declarations: %s", error)
            return
        if row is None:
            return
        push = messages.DeclarationsPush(row.version, row.value)
        if self.take_push(push):
            self._outlets.share()


def _compare(
    old: messages.DeclarationsPush | None, new: messages.DeclarationsPush
) -> messages.DeclarationsDelta | None:
    if old is None:
        return None
    delta = deltas.build(old.value, new.value)
    if delta is None:
        return None
    return messages.DeclarationsDelta(old.version, new.version, delta)
