"""Rows of the store: the configuration, workers, daemons and ownership."""

import msgspec

from pollenladder.cluster import groups
from pollenladder.cluster import roster
from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.platform import exceptions
from pollenladder.platform import messages
from pollenladder.platform import settings
from pollenladder.scheduling import learned_state

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WORKERS_TABLE = "servers"
# Written by the daemons, one row each.
DAEMONS_TABLE = "daemons"
# Key of the row with the layout of groups in the table of daemons.
LAYOUT_KEY = "layout"
# Has a row for each group, which the owner keeps changing while it is alive.
OWNERSHIP_TABLE = "ownership"

# Has a row for each group with what its owners have learned.
LEARNED_TABLE = "learned"

READY = "ready"
DRAINING = "draining"

_CONFIG_DECODER = msgspec.json.Decoder(messages.Config)
_WORKER_DECODER = msgspec.json.Decoder(messages.ServerEntry)
_OWNERSHIP_DECODER = msgspec.json.Decoder(messages.Ownership)
_LAYOUT_DECODER = msgspec.json.Decoder(groups.Layout)
_LEARNED_DECODER = msgspec.json.Decoder(learned_state.LearnedState)
_MEMBER_DECODER = msgspec.json.Decoder(roster.Member)


def decode_configuration(source: bytes) -> jobs.Configuration:
    """Return the configuration from its row's value.

    Raises:
        exceptions.BadDocumentError: The value is not a valid configuration.
    """
    try:
        config = _CONFIG_DECODER.decode(source)
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
    """Return a worker from its row's value.

    Raises:
        exceptions.BadDocumentError: The value does not describe a worker, or
            its address or state is not valid.
    """
    try:
        entry = _WORKER_DECODER.decode(source)
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
    """Return the value of a daemon's row, from which other daemons find it."""
    return msgspec.json.encode(member)


def decode_member(source: bytes) -> roster.Member:
    """Return a daemon from its row's value.

    Raises:
        exceptions.BadDocumentError: The value does not describe a daemon.
    """
    try:
        return _MEMBER_DECODER.decode(source)
    except msgspec.MsgspecError as error:
        raise exceptions.BadDocumentError(str(error)) from error


def encode_ownership(daemon_id: str, epoch: int) -> bytes:
    """Return the value of the owner's row."""
    return msgspec.json.encode(messages.Ownership(daemon_id, epoch))


def decode_ownership(source: bytes) -> int:
    """Return the epoch in the owner's row.

    Raises:
        exceptions.BadDocumentError: The value does not describe an ownership.
    """
    try:
        return _OWNERSHIP_DECODER.decode(source).epoch
    except msgspec.MsgspecError as error:
        raise exceptions.BadDocumentError(str(error)) from error


def encode_learned(state: learned_state.LearnedState) -> bytes:
    """Return the value of a group's row with what its owner has learned."""
    return msgspec.json.encode(state)


def decode_learned(source: bytes) -> learned_state.LearnedState:
    """Return what an owner has learned from its group's row.

    Raises:
        exceptions.BadDocumentError: The value does not describe such a state.
    """
    try:
        return _LEARNED_DECODER.decode(source)
    except msgspec.MsgspecError as error:
        raise exceptions.BadDocumentError(str(error)) from error


def encode_layout(layout: groups.Layout) -> bytes:
    """Return the value of the row with the layout of groups."""
    return msgspec.json.encode(layout)


def decode_layout(source: bytes) -> groups.Layout:
    """Return the layout from its row's value.

    Raises:
        exceptions.BadDocumentError: The value does not describe a layout.
    """
    try:
        layout = _LAYOUT_DECODER.decode(source)
    except msgspec.MsgspecError as error:
        raise exceptions.BadDocumentError(str(error)) from error
    if layout.version < 1 or any(n < 1 for n in layout.parts.values()):
        raise exceptions.BadDocumentError("a number below 1")
    return layout
