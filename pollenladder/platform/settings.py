"""The settings file that the platform provides for each process."""

import dataclasses
import functools
import ipaddress
import os
import re

from pollenladder.fleet import regions as fleet_regions
from pollenladder.platform import exceptions
from pollenladder.scheduling import features as optional_features

SETTINGS_VARIABLE = "POLLENLADDER_SETTINGS"
# Lists the features that are switched off, separated by commas.
DISABLED_FEATURES_VARIABLE = "POLLENLADDER_DISABLED_FEATURES"
# Prefix of the names that give the region of a data centre.
_ZONES_PREFIX = "Zones."
DEFAULT_PATH = "/etc/pollenladder/settings.conf"
MAX_PORT = 65_535
PORT_PATTERN = re.compile("[1-9][0-9]{0,4}")
# The addresses of all workers are parsed each time that their rows are read.
MAX_CACHED_ADDRESSES = 16_384
BYTES_PER_MB = 1024 * 1024
# Assumed if the platform does not tell the memory of the machine.
DEFAULT_MEMORY_MB = 300

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one daemon.

    Attributes:
        daemon_id: This daemon's id.
        address: This daemon's IP address.
        data_centre: The data centre in which this daemon runs.
        caller_address: IP address and port on which callers connect.
        readiness_address: IP address and port on which the platform checks
            whether this daemon accepts callers.
        peer_port: The port for links between daemons.
        store: IP address and port of the platform's store.
        store_writes_per_s: Limit of the writes per second of all daemons
            together.
        store_reads_per_s: Limit of the reads per second of all daemons
            together.
        stop_grace_s: Time from the termination signal until the platform kills
            the process, in seconds.
        max_lease_s: The longest lease that workers grant, in seconds.
        resubmission_s: Time after which a caller whose connection broke
            submits its job again, in seconds.
        processor_cores: CPU time available to the process, in cores of
            standard speed.
        max_descriptors: Limit of the process's open file descriptors.
        is_first_start: Whether the whole system starts for the first time, so
            that the store does not list the other daemons yet.
        features: The optional decisions that are switched on.
        evacuation_deadline_s: Time from the request to take a data centre out
            of use until no start may reach it, in seconds; None if there is no
            deadline.
        regions: The regions of the data centres.
        memory_bytes: The memory of the process's machine, in bytes.
        report_interval_s: The interval in which workers write their rows, in
            seconds; 0 if it is not known.
    """

    daemon_id: str
    address: str
    data_centre: str
    caller_address: Address
    readiness_address: Address
    peer_port: int
    store: Address
    store_writes_per_s: float
    store_reads_per_s: float
    stop_grace_s: float
    max_lease_s: float
    resubmission_s: float
    processor_cores: float
    max_descriptors: int
    is_first_start: bool = False
    features: optional_features.Features = optional_features.ALL
    evacuation_deadline_s: float | None = None
    regions: fleet_regions.Regions = fleet_regions.NONE
    memory_bytes: float = DEFAULT_MEMORY_MB * BYTES_PER_MB
    report_interval_s: float = 0.0


def find_path() -> str:
    """Return the path of this process's settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)


def load(path: str) -> Settings:
    """Read a settings file.

    Raises:
        exceptions.SettingsError: The file is unreadable, or a value is missing
            or invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error
    disabled = os.environ.get(DISABLED_FEATURES_VARIABLE, "")
    return dataclasses.replace(
        parse(text), features=parse_disabled_features(disabled)
    )


def parse_disabled_features(text: str) -> optional_features.Features:
    """Return the features that a list of disabled ones leaves switched on.

    Raises:
        exceptions.SettingsError: The list contains an unknown name.
    """
    names = [name.strip() for name in text.split(",") if name.strip()]
    try:
        return optional_features.switch_off(names)
    except ValueError as error:
        raise exceptions.SettingsError(
            f"{DISABLED_FEATURES_VARIABLE}: {error}"
        ) from error


def parse(text: str) -> Settings:
    """Parse settings from lines of the form `name=value`.

    Unknown names are ignored.

    Raises:
        exceptions.SettingsError: A value is missing or invalid.
    """
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return Settings(
        daemon_id=_get_text(values, "Node"),
        address=_get_text(values, "Ip"),
        data_centre=_get_text(values, "Zone"),
        caller_address=_get_address(values, "Listen.Front"),
        readiness_address=_get_address(values, "Listen.Ready"),
        # Only the first port of the range is used; the second value is the last
        # port.
        peer_port=int(_get_number(values, "PortRange", part=0)),
        store=_get_address(values, "platform.Addr"),
        store_writes_per_s=_get_number(values, "platform.WritesPerS"),
        store_reads_per_s=_get_number(values, "platform.ReadsPerS"),
        stop_grace_s=_get_number(values, "Bounds.GraceS"),
        max_lease_s=_get_number(values, "Bounds.MaxHoldMs") / 1000,
        resubmission_s=_get_number(values, "Bounds.ResendMs") / 1000,
        # `CpuShare` is the process's share of one core. `Cores` is the speed of
        # that core relative to a standard one.
        processor_cores=_get_number(values, "Limits.CpuShare")
        * _get_number(values, "Limits.Cores"),
        max_descriptors=int(_get_number(values, "Limits.MaxFds")),
        is_first_start=values.get("Bootstrap") == "true",
        evacuation_deadline_s=_get_optional_s(values, "Bounds.EvacuateMs"),
        regions=_build_regions(values),
        memory_bytes=_get_memory_bytes(values),
        report_interval_s=_get_optional_s(values, "HeartbeatMs") or 0.0,
    )


def _build_regions(values: dict[str, str]) -> fleet_regions.Regions:
    by_data_centre = {
        name.removeprefix(_ZONES_PREFIX): region
        for name, region in values.items()
        if name.startswith(_ZONES_PREFIX) and region
    }
    return fleet_regions.Regions(values.get("Region", ""), by_data_centre)


def _get_text(values: dict[str, str], name: str) -> str:
    value = values.get(name)
    if not value:
        raise exceptions.SettingsError(f"{name}: missing")
    return value


def _get_number(values: dict[str, str], name: str, part: int = 0) -> float:
    text = _get_text(values, name).split(",")[part]
    try:
        number = float(text)
    except ValueError as error:
        raise exceptions.SettingsError(f"{name}: not a number") from error
    if not 0 < number < float("inf"):
        raise exceptions.SettingsError(f"{name}: out of range: {text}")
    return number


def _get_memory_bytes(values: dict[str, str]) -> float:
    if "Limits.MemoryMb" not in values:
        return DEFAULT_MEMORY_MB * BYTES_PER_MB
    return _get_number(values, "Limits.MemoryMb") * BYTES_PER_MB


def _get_optional_s(values: dict[str, str], name: str) -> float | None:
    """Return a time given in milliseconds; None if it is missing or 0."""
    if values.get(name, "0") in ("", "0"):
        return None
    return _get_number(values, name) / 1000


def _get_address(values: dict[str, str], name: str) -> Address:
    text = _get_text(values, name)
    try:
        return parse_address(text)
    except ValueError as error:
        raise exceptions.SettingsError(f"{name}: not an address") from error


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def parse_address(text: str) -> Address:
    """Return the IP address and the port from text such as `10.0.0.1:8080`.

    Raises:
        ValueError: The text is not of this form, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    check_address(host, int(port) if PORT_PATTERN.fullmatch(port) else 0)
    return host, int(port)


def check_address(host: str, port: int) -> None:
    """Check the address of a peer, a worker or the store.

    Host names are not allowed, as nothing resolves them on the platform.

    Raises:
        ValueError: The host is not an IPv4 address in its usual form, or the
            port is out of range.
    """
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"not a port: {port}")
    if str(ipaddress.IPv4Address(host)) != host:
        raise ValueError(f"not an IPv4 address: {host!a:.40}")
