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
from pollenladder.plans import loading
from pollenladder.platform import exceptions as platform_exceptions
from pollenladder.wire import messages

LOGGER = logging.getLogger(__name__)

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
        share: Push a row to the peers whose version is older.
    """

    read_row: Callable[[], Row | None]
    read_vms: Callable[[], list[entities.Vm]]
    is_reader: Callable[[], bool]
    on_vms: Callable[[list[entities.Vm]], None]
    on_declared: Callable[[declarations.Declarations], bool]
    share: Callable[[messages.DeclarationsPush], None]


class Polling:
    """What was last read, and the loops that read it.

    Attributes:
        push: The newest declarations as they are pushed; None before any.
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
        self.platform_heard_at = float("-inf")
        self._outlets = outlets
        self._clock = clock
        self._row_interval_s = row_interval_s
        self._vms_interval_s = vms_interval_s

    def run_declarations(self) -> None:
        """Read the declarations for ever."""
        while True:
            if self._outlets.is_reader():
                self._read_declarations()
            gevent.sleep(self._row_interval_s)

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
        self.push = push
        LOGGER.info("declarations %d are in force here", push.version)
        return True

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
            self._outlets.share(push)
