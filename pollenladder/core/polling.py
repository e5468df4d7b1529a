"""Periodic reads of the VM list and the declarations from the platform.

In each data centre the owner of the first shard reads the declarations and
pushes them to its peers. Other daemons read them only while they have no link
to that owner.
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

# The shortest pause between two reads, however long the first one took.
MIN_PAUSE_S = 0.05

Update = messages.DeclarationsPush | messages.DeclarationsDelta

CURRENT_KEY = "declarations/current"


@dataclasses.dataclass(frozen=True)
class Row:
    """The row of the declarations as it was read.

    Attributes:
        version: The version of the declarations.
        value: The row's content.
    """

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that `PlatformPoller` calls.

    Attributes:
        read_row: Read the row of the declarations; None if there is none.
        read_vms: Read the VM list.
        is_reader: Return whether this daemon has to read the row now.
        on_vms: Called with the VM list after each read.
        on_declared: Put declarations in force; return whether they are newer.
        broadcast: Send a change, chosen by `choose_broadcast`, to the peers.
    """

    read_row: Callable[[], Row | None]
    read_vms: Callable[[], list[entities.Vm]]
    is_reader: Callable[[], bool]
    on_vms: Callable[[list[entities.Vm]], None]
    on_declared: Callable[[declarations.Declarations], bool]
    broadcast: Callable[[], None]


class PlatformPoller:
    """The loops that read the platform, and the newest declarations.

    Attributes:
        push: The newest declarations, as the message for peers; None if there
            are none yet.
        delta: The difference from the previous declarations, as the message
            for peers; None if it is unknown.
        last_platform_response_at: When the platform last responded.
    """

    def __init__(
        self,
        callbacks: Callbacks,
        clock: clocks.Clock,
        row_interval_s: float,
        vms_interval_s: float,
    ):
        self.push: messages.DeclarationsPush | None = None
        self.delta: messages.DeclarationsDelta | None = None
        self.last_platform_response_at = float("-inf")
        self._callbacks = callbacks
        self._clock = clock
        self._row_interval_s = row_interval_s
        self._vms_interval_s = vms_interval_s

    def run_declarations(self) -> None:
        """Read the declarations periodically; never return.

        The interval is measured from the start of a read, so that slow
        responses do not make the reads less frequent.
        """
        while True:
            next_at = self._clock() + self._row_interval_s
            if self._callbacks.is_reader():
                self._read_declarations()
            gevent.sleep(max(MIN_PAUSE_S, next_at - self._clock()))

    def run_vms(self) -> None:
        """Read the VM list periodically; never return."""
        while True:
            try:
                self._callbacks.on_vms(self._callbacks.read_vms())
                self.last_platform_response_at = self._clock()
            except platform_exceptions.PlatformError as error:
                LOGGER.warning("could not read the VM list: %s", error)
            except Exception:
                LOGGER.exception("could not process the VM list")
            gevent.sleep(self._vms_interval_s)

    def apply_push(self, push: messages.DeclarationsPush) -> bool:
        """Put pushed declarations in force; return whether they are newer."""
        if self.push and push.version <= self.push.version:
            return False
        try:
            declared = loading.parse_row(push.value, push.version)
        except conf_exceptions.ConfError as error:
            LOGGER.error("declarations %d are invalid: %s", push.version, error)
            return False
        if not self._callbacks.on_declared(declared):
            return False
        self.delta = _build_delta(self.push, push)
        self.push = push
        LOGGER.info("declarations %d are in force", push.version)
        return True

    def is_newer(self, version: int) -> bool:
        """Return whether a version is newer than the newest one here."""
        return self.push is None or version > self.push.version

    def apply_delta(self, delta: messages.DeclarationsDelta) -> bool:
        """Apply a delta to the current declarations and put them in force.

        Returns:
            False if the delta has another base version or cannot be applied.
        """
        if self.push is None or delta.base != self.push.version:
            return False
        try:
            value = deltas.apply(self.push.value, delta.delta)
        except (AttributeError, KeyError, TypeError) as error:
            LOGGER.error(
                "delta to declarations %d cannot be applied: %r",
                delta.version,
                error,
            )
            return False
        return self.apply_push(messages.DeclarationsPush(delta.version, value))

    def choose_update(self, version: int) -> Update | None:
        """Return the update for a peer that reported a version, or None.

        It is a delta if the peer has the version before the newest one, else
        the whole declarations.
        """
        if self.push is None or version >= self.push.version:
            return None
        if self.delta and self.delta.base == version:
            return self.delta
        return self.push

    def choose_broadcast(self, last_known_version: int) -> Update | None:
        """Return the update after a change for a peer, or None.

        The last known version may be outdated, so the peer gets the delta. If
        the peer does not have the delta's base, it replies with its version
        and then gets the whole declarations. A peer whose version is unknown
        gets the whole declarations at once.

        Args:
            last_known_version: The version that the peer reported last; 0 if
                it is unknown.
        """
        update = self.choose_update(last_known_version)
        if update and last_known_version and self.delta:
            return self.delta
        return update

    def _read_declarations(self) -> None:
        try:
            row = self._callbacks.read_row()
            self.last_platform_response_at = self._clock()
        except platform_exceptions.PlatformError as error:
            LOGGER.warning("could not read the declarations: %s", error)
            return
        if row is None:
            return
        push = messages.DeclarationsPush(row.version, row.value)
        if self.apply_push(push):
            self._callbacks.broadcast()


def _build_delta(
    old: messages.DeclarationsPush | None, new: messages.DeclarationsPush
) -> messages.DeclarationsDelta | None:
    """Return the delta message between two versions, or None.

    There is none without an old version, or if the two versions differ too much
    to be expressed as a delta.
    """
    if old is None:
        return None
    delta = deltas.build(old.value, new.value)
    if delta is None:
        return None
    return messages.DeclarationsDelta(old.version, new.version, delta)
