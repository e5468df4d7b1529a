"""Rows, transactions, objects and the VM list."""

import dataclasses
from typing import Any

from pollenladder.core import entities


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Attributes:
        key: Its key.
        value: Any JSON value but null.
        version: Grows with each write; 0 is never that of a row.
    """

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """What a transaction expects of a row; version 0 means "no such row"."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A new value of a row; None deletes it."""

    key: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """One object of the object store."""

    data: bytes
    etag: str


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """The VM list as it was a while ago.

    Attributes:
        version: Grows with each change of the list.
        vms: The VMs.
    """

    version: int
    vms: tuple[entities.Vm, ...]
