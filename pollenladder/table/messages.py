"""Models of the platform's responses; unknown fields are ignored."""

from typing import Any
from typing import Literal

import pydantic

Count = pydantic.NonNegativeInt


class RowMessage(pydantic.BaseModel):
    """One row of the table."""

    key: str
    value: Any
    version: pydantic.PositiveInt


class RowsMessage(pydantic.BaseModel):
    """A page of rows."""

    rows: list[RowMessage]


class VersionsMessage(pydantic.BaseModel):
    """The result of a transaction that took effect: new versions by key."""

    versions: dict[str, Count]


class ConflictMessage(pydantic.BaseModel):
    """The result of a transaction whose check failed.

    Attributes:
        conflict: The key of the row whose check failed.
        version: The row's current version; 0 if it does not exist.
    """

    conflict: str
    version: Count


class EtagMessage(pydantic.BaseModel):
    """The entity tag of an object that was written or deleted."""

    etag: str


class VmMessage(pydantic.BaseModel):
    """One row of the VM list; see `core.entities.Vm` for its fields."""

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
    """The VM list and its version."""

    version: Count
    vms: list[VmMessage]
