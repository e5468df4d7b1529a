"""Validated answers of the platform; unknown fields are ignored."""

from typing import Any
from typing import Literal

import pydantic

Count = pydantic.NonNegativeInt


class RowMessage(pydantic.BaseModel):
    """One row."""

    key: str
    value: Any
    version: pydantic.PositiveInt


class RowsMessage(pydantic.BaseModel):
    """Several rows."""

    rows: list[RowMessage]


class VersionsMessage(pydantic.BaseModel):
    """A transaction that took effect."""

    versions: dict[str, Count]


class ConflictMessage(pydantic.BaseModel):
    """A transaction whose check failed."""

    conflict: str
    version: Count


class EtagMessage(pydantic.BaseModel):
    """An object that was written or deleted."""

    etag: str


class VmMessage(pydantic.BaseModel):
    """One row of the VM list."""

    vm_id: pydantic.constr(min_length=1)
    role: Literal["entry", "endpoint"]
    data_centre: str
    rack: str
    address: pydantic.IPvAnyAddress
    port: pydantic.conint(ge=0, le=65535)
    http_port: pydantic.conint(ge=0, le=65535) = 0
    state: Literal["live", "leaving"] = "live"
    slots: Count = 0
    connections: Count = 0


class VmsMessage(pydantic.BaseModel):
    """The VM list."""

    version: Count
    vms: list[VmMessage]
