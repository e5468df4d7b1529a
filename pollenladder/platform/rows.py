"""Rows of the store: the configuration, workers, daemons and ownership."""

import msgspec

from pollenladder.cluster import epochs
from pollenladder.cluster import groups
from pollenladder.cluster import roster
from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.platform import exceptions
from pollenladder.platform import messages
from pollenladder.platform import names
from pollenladder.platform import settings
from pollenladder.scheduling import learned_state

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Followed by the name of a data centre that is taken out of use.
_EVACUATION_PREFIX = "evacuate/"
EVACUATION_VALUE = b"{}"
WORKERS_TABLE = "servers"
# A layout's version increases by one. A higher one was not made by a daemon.
MAX_LAYOUT_VERSION = 2**32
# Written by the daemons, one row each.
DAEMONS_TABLE = "daemons"
# Jobs that were cancelled while not all daemons could be told, by id.
CANCELLATIONS_TABLE = "cancellations"
# The value of a row whose key tells everything.
EMPTY_VALUE = b"{}"
# Key of the row with the layout of groups in the table of daemons.
LAYOUT_KEY = "layout"
# Has a row for each group, which the owner keeps changing while it is alive.
OWNERSHIP_TABLE = "ownership"

# Has a row for each group with what its owners have learned.
LEARNED_TABLE = "learned"

READY = "ready"
DRAINING = "draining"
# Longest entry of a worker. The store allows longer ones, and an owner reads the
# entries of all other writers each time that they change.
MAX_WORKER_BYTES = 16_384

_CONFIG_DECODER = msgspec.json.Decoder(messages.Config)
_SERVICES_DECODER = msgspec.json.Decoder(tuple[messages.Service, ...])
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
    except messages.DECODE_ERRORS as error:
        raise exceptions.BadDocumentError(str(error)) from error
    services = _decode_services(config.services)
    return jobs.Configuration(
        version=config.version,
        queues=tuple(_decode_queue(route) for route in config.routes),
        max_body_bytes=config.limits.max_body_bytes,
        source=source,
        cold_starts={
            service.name: service.cold_start_s
            for service in services
            if service.cold_start_s
        },
        unguarded_services=frozenset(
            service.name
            for service in services
            if not service.enforces_capacity
        ),
        services=frozenset(service.name for service in services),
    )


def _decode_services(source: msgspec.Raw) -> tuple[messages.Service, ...]:
    """Return the services.

    An entry of an unexpected form only switches off what services ask for.
    """
    try:
        return _SERVICES_DECODER.decode(source)
    except messages.DECODE_ERRORS:
        return ()


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
        allowed_regions=route.allowed_regions or (),
    )


def decode_evacuation(key: str) -> str | None:
    """Return the data centre that a row takes out of use.

    The row's value has no meaning.

    Returns:
        The name; None if the row is not a request for an evacuation.

    Raises:
        exceptions.BadDocumentError: The key contains no valid name.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    try:
        return names.check_name(key.removeprefix(_EVACUATION_PREFIX))
    except ValueError as error:
        text = f"not the name of a data centre: {error}"
        raise exceptions.BadDocumentError(text) from error


def encode_evacuation_key(data_centre: str) -> str:
    """Return the key of the row that takes a data centre out of use.

    Raises:
        exceptions.BadDocumentError: The name is empty or too long.
    """
    key = _EVACUATION_PREFIX + data_centre
    decode_evacuation(key)
    return key


def decode_worker(worker_id: str, source: bytes) -> fleet.Listing:
    """Return a worker from its row's value.

    Raises:
        exceptions.BadDocumentError: The value does not describe a worker, or
            its id, address or state is not valid.
    """
    if len(source) > MAX_WORKER_BYTES:
        raise exceptions.BadDocumentError(f"an entry of {len(source)} bytes")
    try:
        names.check_id(worker_id)
        entry = _WORKER_DECODER.decode(source)
        names.check_name(entry.service)
        names.check_name(entry.zone)
        address = settings.parse_address(entry.addr)
    except (*messages.DECODE_ERRORS, ValueError) as error:
        raise exceptions.BadDocumentError(str(error)) from error
    if entry.state not in (READY, DRAINING):
        raise exceptions.BadDocumentError(f"unknown state {entry.state!a:.40}")
    return fleet.Listing(
        worker_id=worker_id,
        address=address,
        data_centre=entry.zone,
        service=entry.service,
        capacity=jobs.Resources(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        is_draining=entry.state == DRAINING,
        cold_left_s=max(0.0, entry.cold_left_ms / 1000),
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
        member = _MEMBER_DECODER.decode(source)
        names.check_name(member.daemon_id)
        names.check_name(member.data_centre)
        names.check_natural(member.incarnation)
        settings.check_address(member.address, member.port)
    except (*messages.DECODE_ERRORS, ValueError) as error:
        raise exceptions.BadDocumentError(str(error)) from error
    return member


def encode_ownership(daemon_id: str, epoch: int) -> bytes:
    """Return the value of the owner's row."""
    return msgspec.json.encode(messages.Ownership(daemon_id, epoch))


def decode_ownership(source: bytes) -> int:
    """Return the epoch in the owner's row.

    Raises:
        exceptions.BadDocumentError: The value does not describe an ownership.
    """
    try:
        epoch = _OWNERSHIP_DECODER.decode(source).epoch
    except messages.DECODE_ERRORS as error:
        raise exceptions.BadDocumentError(str(error)) from error
    if epoch > epochs.MAX_EPOCH:
        raise exceptions.BadDocumentError("the epoch is out of range")
    return epoch


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
    except messages.DECODE_ERRORS as error:
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
        for data_centre in layout.parts:
            names.check_name(data_centre)
    except (*messages.DECODE_ERRORS, ValueError) as error:
        raise exceptions.BadDocumentError(str(error)) from error
    if not 1 <= layout.version <= MAX_LAYOUT_VERSION:
        raise exceptions.BadDocumentError("the version is out of range")
    if not all(1 <= n <= groups.MAX_PARTS for n in layout.parts.values()):
        raise exceptions.BadDocumentError("a number of groups out of range")
    if sum(layout.parts.values()) > groups.MAX_GROUPS:
        raise exceptions.BadDocumentError("too many groups")
    return layout
