"""The settings file that the platform lays for a process."""

import dataclasses
import os

from pollenladder.platform import exceptions

SETTINGS_VARIABLE = "POLLENLADDER_SETTINGS"
DEFAULT_PATH = "/etc/pollenladder/settings.conf"

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a daemon is told of itself and of the platform.

    Attributes:
        daemon_id: This daemon's id.
        address: Its IP number.
        data_centre: Where it runs.
        caller_address: Where callers connect.
        readiness_address: Where the platform asks whether callers may come.
        peer_port: A port for links between daemons.
        store: The address of the platform's store.
        store_writes_per_s: Writes that all daemons together may make.
        store_reads_per_s: Reads that all daemons together may make.
        stop_grace_s: Time from the request to stop until the process is killed.
        max_lease_s: The longest lease that workers grant.
        resubmission_s: A caller whose connection broke comes back after this.
        processor_cores: The processor that the process has, in cores.
        max_descriptors: File descriptors that the process may have.
        is_first_start: Whether the whole system starts for the first time, so
            that the store does not list the other daemons yet.
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


def find_path() -> str:
    """Return the path of this process's settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)


def load(path: str) -> Settings:
    """Read a settings file.

    Raises:
        exceptions.SettingsError: It can't be read, lacks a value, or holds one
            that can't be used.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error
    return parse(text)


def parse(text: str) -> Settings:
    """Read settings from lines of the form `name=value`.

    Names that are not known are left alone.

    Raises:
        exceptions.SettingsError: As `load`.
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
        # The range's first port; the second value is its last one.
        peer_port=int(_get_number(values, "PortRange", part=0)),
        store=_get_address(values, "platform.Addr"),
        store_writes_per_s=_get_number(values, "platform.WritesPerS"),
        store_reads_per_s=_get_number(values, "platform.ReadsPerS"),
        stop_grace_s=_get_number(values, "Bounds.GraceS"),
        max_lease_s=_get_number(values, "Bounds.MaxHoldMs") / 1000,
        resubmission_s=_get_number(values, "Bounds.ResendMs") / 1000,
        # A share of one core, which is so many times as fast as a plain one.
        processor_cores=_get_number(values, "Limits.CpuShare")
        * _get_number(values, "Limits.Cores"),
        max_descriptors=int(_get_number(values, "Limits.MaxFds")),
        is_first_start=values.get("Bootstrap") == "true",
    )


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


def _get_address(values: dict[str, str], name: str) -> Address:
    text = _get_text(values, name)
    try:
        return parse_address(text)
    except ValueError as error:
        raise exceptions.SettingsError(f"{name}: not an address") from error


def parse_address(text: str) -> Address:
    """Return an IP number and a port from `number:port`.

    Raises:
        ValueError: It is not of that form.
    """
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(text)
    return host, int(port)
