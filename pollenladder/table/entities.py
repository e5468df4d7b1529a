"""Rows, transactions, objects and the VM list of the platform."""

import dataclasses
from typing import Any

from pollenladder.core import entities


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Attributes:
        key: The key of the row.
        value: Any JSON value except null.
        version: Increases with each write; always greater than 0.
    """

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """The version that a transaction expects of a row.

    Version 0 means that the row is expected not to exist.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A new value of a row; None deletes the row."""

    key: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """One object of the object store with its entity tag."""

    data: bytes
    etag: str


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """The VM list, which lags behind the actual VMs.

    Attributes:
        version: Increases with each change of the list.
        vms: All listed VMs.
    """

    version: int
    vms: tuple[entities.Vm, ...]
