"""Documents with a configuration, as operators write them.

Reads them with the decoder of the daemon and names their fields in findings.
"""

import base64
import binascii
import re

import msgspec

from pollenladder.conf import checks
from pollenladder.conf import positions
from pollenladder.fleet import configuration_checks
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import regions as fleet_regions
from pollenladder.platform import exceptions
from pollenladder.platform import messages
from pollenladder.platform import rows

# The smallest job that `callers.decode_job` accepts.
SMALLEST_JOB = b'{"Spec":"","Steps":[{"Count":1}],"Preemptible":true}'

# The attributes of `jobs.entities` whose names differ in the messages.
_RENAMED = {
    "queues": "routes",
    "timeout_s": "timeout_ms",
    "slack_s": "slo_ms",
    "max_attempts": "attempts",
    "needs_advice": "advice",
}
_WIRE_NAMES = {
    field.name: field.encode_name
    for message in (messages.Config, messages.Route)
    for field in msgspec.structs.fields(message)
}
# A message of msgspec with the path of the field, such as `$.Routes[0].Host`.
_LOCATED = re.compile(r"^(.*) - at `(?:key in )?\$(.*)`$", re.DOTALL)
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
_MISSING = re.compile(r"^Object missing required field `(.*)`$")


class _StoredRow(msgspec.Struct, frozen=True, rename="pascal"):
    """A row as the store returns it; the value is Base64 text."""

    key: str
    value: str


_CONFIG_DECODER = msgspec.json.Decoder(messages.Config)
_SERVICES_DECODER = msgspec.json.Decoder(tuple[messages.Service, ...])
_LIST_DECODER = msgspec.json.Decoder(tuple[msgspec.Raw, ...])
_ROW_DECODER = msgspec.json.Decoder(_StoredRow)


def read_configuration(
    source: bytes,
    workers: tuple[fleet.Listing, ...] | None = None,
    regions: fleet_regions.Regions = fleet_regions.NONE,
) -> configuration_checks.Context:
    """Read a configuration for the checks.

    Args:
        source: The document.
        workers: The listed workers; None if they are not known.
        regions: The regions of the data centres.

    Raises:
        exceptions.BadDocumentError: A daemon would reject the document.
    """
    configuration = rows.decode_configuration(source)
    # These values are not part of the decoded configuration.
    config = _CONFIG_DECODER.decode(source)
    return configuration_checks.Context(
        configuration=configuration,
        attempts=tuple(route.attempts for route in config.routes),
        services=_read_services(config.services),
        smallest_body_bytes=len(SMALLEST_JOB),
        workers=workers,
        regions=regions,
    )


def read_workers(
    source: bytes,
) -> tuple[tuple[fleet.Listing, ...], list[checks.Finding]]:
    """Read a list of workers' rows.

    An item is a row with key and value as the store returns it, or the value
    alone.

    Returns:
        The workers, and a finding for each item that a daemon would ignore.

    Raises:
        exceptions.BadDocumentError: The document is not a list.
    """
    try:
        items = _LIST_DECODER.decode(source)
    except messages.DECODE_ERRORS as error:
        raise exceptions.BadDocumentError(str(error)) from error
    workers = []
    findings = []
    for index, item in enumerate(items):
        try:
            workers.append(_read_worker(str(index), bytes(item)))
        except exceptions.BadDocumentError as error:
            hint = "daemons ignore the row; check that the list is complete"
            findings.append(
                checks.Finding("platform.W008", (index,), str(error), hint)
            )
    return tuple(workers), findings


def describe_rejection(
    error: exceptions.BadDocumentError, source: bytes
) -> checks.Finding:
    """Return the finding for a document that a daemon would reject.

    Args:
        error: The error that the decoder raised.
        source: The document.
    """
    text = str(error)
    path: positions.FieldPath = ()
    if located := _LOCATED.match(text):
        text = located[1]
        path = tuple(
            int(step[2]) if (step[2] or "").isdigit() else step[1] or step[2]
            for step in _STEP.finditer(located[2])
        )
    hint = "make the document valid JSON"
    if missing := _MISSING.match(text):
        path = (*path, missing[1])
        text = "is missing"
        hint = "add the field"
    elif located or text.startswith("Expected"):
        text += _quote_value(source, path)
        hint = "give a value of the expected type and range"
    return checks.Finding("platform.E001", path, text, hint)


def name_path(path: positions.FieldPath) -> positions.FieldPath:
    """Return a path of `jobs.entities.Configuration` in the document's names.

    Names that are not those of a field, such as a service's, are unchanged.
    """
    if path == ("max_body_bytes",):
        limits = {
            field.name: field.encode_name
            for field in msgspec.structs.fields(messages.Limits)
        }
        return (_WIRE_NAMES["limits"], limits["max_body_bytes"])
    named = []
    for step in path:
        renamed = _RENAMED.get(step, step) if isinstance(step, str) else step
        named.append(_WIRE_NAMES.get(renamed, renamed))
    return tuple(named)


def _quote_value(source: bytes, path: positions.FieldPath) -> str:
    """Return the value at a path for a message; empty if it is not found."""
    try:
        value = msgspec.json.decode(source)
        for step in path:
            value = value[step]
    except (*messages.DECODE_ERRORS, LookupError, TypeError):
        return ""
    if isinstance(value, dict | list):
        return ""
    return f": {msgspec.json.encode(value).decode():.80}"


def _read_services(source: msgspec.Raw) -> tuple[str, ...] | None:
    try:
        services = _SERVICES_DECODER.decode(source)
    except messages.DECODE_ERRORS:
        return None
    return tuple(service.name for service in services)


def _read_worker(worker_id: str, source: bytes) -> fleet.Listing:
    try:
        row = _ROW_DECODER.decode(source)
    except messages.DECODE_ERRORS:
        return rows.decode_worker(worker_id, source)
    try:
        value = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise exceptions.BadDocumentError(str(error)) from error
    return rows.decode_worker(row.key, value)
