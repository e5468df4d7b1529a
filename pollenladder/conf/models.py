"""Pydantic models of the settings file."""

import dataclasses
import ipaddress
from typing import Annotated
from typing import Literal

import pydantic

from pollenladder.conf import defaults
from pollenladder.conf import documents
from pollenladder.conf import settings

ID_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$"
MAX_SHARDS_PER_DATA_CENTRE = 1024


def _check_address(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        raise ValueError("must be an IP address, not a host name") from None
    return text


Id = Annotated[str, pydantic.Field(pattern=ID_PATTERN)]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Bytes = Annotated[int, pydantic.Field(ge=1024, le=1024**3)]


class DataCentre(documents.Border):
    """See `settings.DataCentre`."""

    shards: Annotated[int, pydantic.Field(ge=1, le=MAX_SHARDS_PER_DATA_CENTRE)]
    region: Id = defaults.REGION


class Platform(documents.Border):
    """See `settings.Platform`."""

    address: Address
    port: Port
    timeout_s: Seconds = defaults.PLATFORM_TIMEOUT_S


class Peer(documents.Border):
    """See `settings.Peer`."""

    daemon_id: Id
    data_centre: Id
    address: Address
    peer_port: Port


class Log(documents.Border):
    """See `settings.Log`."""

    format: Literal["json", "text"] = defaults.LOG_FORMAT
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = defaults.LOG_LEVEL


class Timings(documents.Border):
    """See `settings.Timings`."""

    lease_ttl_s: Seconds = defaults.LEASE_TTL_S
    heartbeat_s: Seconds = defaults.HEARTBEAT_S
    peer_timeout_s: Seconds = defaults.PEER_TIMEOUT_S
    platform_poll_s: Seconds = defaults.PLATFORM_POLL_S
    vm_list_poll_s: Seconds = defaults.VM_LIST_POLL_S
    loan_term_s: Seconds = defaults.LOAN_TERM_S
    drain_timeout_s: Seconds = defaults.DRAIN_TIMEOUT_S
    endpoint_connect_timeout_s: Seconds = defaults.ENDPOINT_CONNECT_TIMEOUT_S
    retention_s: Seconds = defaults.RETENTION_S


class Limits(documents.Border):
    """See `settings.Limits`."""

    max_body_bytes: Bytes = defaults.MAX_BODY_BYTES
    max_connections: Count = defaults.MAX_CONNECTIONS
    max_queued_jobs: Count = defaults.MAX_QUEUED_JOBS
    max_queue_wait_s: Seconds = defaults.MAX_QUEUE_WAIT_S
    connections_per_worker: Count = defaults.CONNECTIONS_PER_WORKER
    max_frame_bytes: Bytes = defaults.MAX_FRAME_BYTES
    body_timeout_s: Seconds = defaults.BODY_TIMEOUT_S


class SettingsFile(documents.Border):
    """The whole settings file; see `settings.Settings`."""

    daemon_id: Id
    data_centre: Id
    address: Address
    peer_port: Port
    http_port: Port
    peer_secret: str
    data_centres: Annotated[dict[Id, DataCentre], pydantic.Field(min_length=1)]
    platform: Platform
    shards_per_owner: Count = defaults.SHARDS_PER_OWNER
    peers: list[Peer] = []
    log: Log = Log()
    timings: Timings = Timings()
    limits: Limits = Limits()


def build_settings(file: SettingsFile) -> settings.Settings:
    """Convert a validated file to the data class that the code uses.

    Fields that are models themselves are converted to their data classes.
    """
    fields = {
        field.name: getattr(file, field.name)
        for field in dataclasses.fields(settings.Settings)
    }
    centres = {
        name: settings.DataCentre(centre.shards, centre.region)
        for name, centre in file.data_centres.items()
    }
    converted = {
        "data_centres": centres,
        "platform": settings.Platform(**file.platform.model_dump()),
        "peers": tuple(settings.Peer(**p.model_dump()) for p in file.peers),
        "log": settings.Log(**file.log.model_dump()),
        "timings": settings.Timings(**file.timings.model_dump()),
        "limits": settings.Limits(**file.limits.model_dump()),
    }
    return settings.Settings(**(fields | converted))
