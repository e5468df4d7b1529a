"""What lies in the store: the configuration, workers and daemons."""

import msgspec

from pollenladder.cluster import roster
from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.platform import exceptions
from pollenladder.platform import messages
from pollenladder.platform import settings

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WORKERS_TABLE = "servers"
# Our own; one row a daemon.
DAEMONS_TABLE = "daemons"
# Our own; its one row changes as long as there is an owner.
OWNERSHIP_TABLE = "ownership"
OWNERSHIP_KEY = "region"

READY = "ready"
DRAINING = "draining"

_CONFIG = msgspec.json.Decoder(messages.Config)
_ENTRY = msgspec.json.Decoder(messages.ServerEntry)
_MEMBER = msgspec.json.Decoder(roster.Member)


def decode_configuration(source: bytes) -> jobs.Configuration:
    """Return the configuration that a row holds.

    Raises:
        exceptions.BadDocumentError: It holds none.
    """
    try:
        config = _CONFIG.decode(source)
    except msgspec.MsgspecError as error:
        raise exceptions.BadDocumentError(str(error)) from error
    return jobs.Configuration(
        version=config.version,
        queues=tuple(_decode_queue(route) for route in config.routes),
        max_body_bytes=config.limits.max_body_bytes,
        source=source,
    )


def _decode_queue(route: messages.Route) -> jobs.Queue:
    return jobs.Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=max(1, route.attempts),
        timeout_s=route.timeout_ms / 1000,
        stretch=route.stretch,
        slack_s=route.slo_ms / 1000,
        needs_advice=route.advice is not None,
    )


def decode_worker(worker_id: str, source: bytes) -> fleet.Listing:
    """Return a worker from its row.

    Raises:
        exceptions.BadDocumentError: The row is foreign, or says nothing of
            use; it names no worker.
    """
    try:
        entry = _ENTRY.decode(source)
        address = settings.parse_address(entry.addr)
    except (msgspec.MsgspecError, ValueError) as error:
        raise exceptions.BadDocumentError(str(error)) from error
    if entry.state not in (READY, DRAINING):
        raise exceptions.BadDocumentError(f"unknown state {entry.state!r:.40}")
    return fleet.Listing(
        worker_id=worker_id,
        address=address,
        data_centre=entry.zone,
        service=entry.service,
        capacity=jobs.Resources(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        is_draining=entry.state == DRAINING,
    )


def encode_member(member: roster.Member) -> bytes:
    """Return the row by which a daemon is found."""
    return msgspec.json.encode(member)


def decode_member(source: bytes) -> roster.Member:
    """Return a daemon from its row.

    Raises:
        exceptions.BadDocumentError: The row holds none.
    """
    try:
        return _MEMBER.decode(source)
    except msgspec.MsgspecError as error:
        raise exceptions.BadDocumentError(str(error)) from error
