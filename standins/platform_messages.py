"""Request bodies of the platform interface and its control requests."""

import ipaddress
from typing import Any
from typing import Literal

import pydantic

Count = pydantic.NonNegativeInt


class Message(pydantic.BaseModel):
    """Base class of request bodies; unknown fields are invalid."""

    model_config = pydantic.ConfigDict(extra="forbid")


class CheckMessage(Message):
    """Expected version of a row in a transaction."""

    key: str
    version: Count


class WriteMessage(Message):
    """New value of a row in a transaction; null deletes the row."""

    key: pydantic.constr(min_length=1)
    value: Any


class TransactionMessage(Message):
    """Body of `POST /v1/transactions`; each row is written at most once."""

    checks: list[CheckMessage] = []
    writes: list[WriteMessage]

    @pydantic.field_validator("writes")
    @classmethod
    def forbid_repeated_keys(
        cls, writes: list[WriteMessage]
    ) -> list[WriteMessage]:
        """Reject a transaction that writes a row twice."""
        if len({write.key for write in writes}) < len(writes):
            raise ValueError("a key is written twice")
        return writes


class VmMessage(Message):
    """A row of the VM list."""

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
    """Body of `POST /control/vms`; `at_once` shows the change without lag."""

    set: list[VmMessage] = []
    remove: list[str] = []
    at_once: bool = False


class FaultsMessage(Message):
    """Body of `POST /control/faults`; omitted faults are left unchanged.

    Attributes:
        down: Connections are accepted and closed without an answer, except
            for requests whose path starts with `/control/`.
        slow_s: Seconds by which each request is delayed.
        lose_replies: Number of transactions that are committed and whose
            connection is then closed without an answer.
        vm_lag_s: Seconds until readers see a change of the VM list.
        silent: Requests are read and never answered.
    """

    down: bool | None = None
    slow_s: pydantic.NonNegativeFloat | None = None
    lose_replies: Count | None = None
    vm_lag_s: pydantic.NonNegativeFloat | None = None
    silent: bool | None = None
