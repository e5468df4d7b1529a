"""Validated bodies of the requests to the platform."""

import ipaddress
from typing import Any
from typing import Literal

import pydantic

Count = pydantic.NonNegativeInt


class Message(pydantic.BaseModel):
    """A request body; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid")


class CheckMessage(Message):
    """One check of a transaction."""

    key: str
    version: Count


class WriteMessage(Message):
    """One write of a transaction."""

    key: pydantic.constr(min_length=1)
    value: Any


class TransactionMessage(Message):
    """`POST /v1/transactions`; each row is written once at most."""

    checks: list[CheckMessage] = []
    writes: list[WriteMessage]

    @pydantic.field_validator("writes")
    @classmethod
    def forbid_repeated_keys(
        cls, writes: list[WriteMessage]
    ) -> list[WriteMessage]:
        """Refuse two writes to one row."""
        if len({write.key for write in writes}) < len(writes):
            raise ValueError("a key is written twice")
        return writes


class VmMessage(Message):
    """One row of the VM list."""

    vm_id: str
    role: Literal["entry", "endpoint"]
    data_centre: str
    rack: str
    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: Count
    http_port: Count = 0
    state: Literal["live", "leaving"] = "live"
    slots: Count = 0
    connections: Count = 0


class VmsMessage(Message):
    """`POST /control/vms`; with `at_once` the change is seen without lag."""

    set: list[VmMessage] = []
    remove: list[str] = []
    at_once: bool = False


class FaultsMessage(Message):
    """`POST /control/faults`; what is left out stays as it is.

    Attributes:
        down: Connections are accepted and closed without an answer, but for
            requests below `/control/`.
        slow_s: Each request waits for so many seconds first.
        lose_replies: So many transactions take effect, but their connection
            is closed without an answer.
        vm_lag_s: How late the VM list is seen.
        silent: Requests are read and never answered.
    """

    down: bool | None = None
    slow_s: pydantic.NonNegativeFloat | None = None
    lose_replies: Count | None = None
    vm_lag_s: pydantic.NonNegativeFloat | None = None
    silent: bool | None = None
