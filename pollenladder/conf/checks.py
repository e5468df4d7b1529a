"""Consistency checks of settings that already match the settings model.

A check is a function that yields findings. `register` adds it to the registry.
The daemon runs all registered checks at startup, and `pollenladder check` runs
them on request. An error prevents the daemon from starting; a warning is only
printed.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import ipaddress

from pollenladder.conf import pinning
from pollenladder.conf import positions
from pollenladder.conf import settings

MIN_SECRET_CHARS = 16
# Operators are promised that an accepted change is in force within this time.
CHANGE_IN_FORCE_LIMIT_S = 4.0
# Operators are promised that a leaving VM is avoided within this time.
VM_LEAVING_LIMIT_S = 3.0


class Level(enum.Enum):
    """Severity of a finding."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True)
class Finding:
    """A problem found by a check.

    Attributes:
        check_id: Id such as `conf.E001`. The letter after the dot gives the
            level: `E` for an error, `W` for a warning.
        path: Path of the invalid field; empty if no field is involved.
        detail: Description of the problem.
        hint: How to fix the problem.
    """

    check_id: str
    path: positions.FieldPath
    detail: str
    hint: str

    @property
    def level(self) -> Level:
        """Return the level encoded in the check id."""
        is_error = self.check_id.split(".")[1].startswith("E")
        return Level.ERROR if is_error else Level.WARNING

    def __str__(self) -> str:
        field = positions.format_path(self.path)
        return f"{self.check_id}: {field}: {self.detail} ({self.hint})"


@dataclasses.dataclass(frozen=True)
class CheckContext:
    """Input of the checks.

    Attributes:
        settings: The settings to check.
        loop: The event loop of this process, or None outside of a daemon.
    """

    settings: settings.Settings
    loop: pinning.Loop | None = None


Check = Callable[[CheckContext], Iterable[Finding]]
REGISTRY: list[Check] = []


def register(check: Check) -> Check:
    """Add a check to the registry."""
    REGISTRY.append(check)
    return check


def run(context: CheckContext) -> list[Finding]:
    """Run all registered checks and return their findings."""
    return [finding for check in REGISTRY for finding in check(context)]


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether any finding prevents the daemon from starting."""
    return any(finding.level is Level.ERROR for finding in findings)


@register
def check_loop(context: CheckContext) -> Iterable[Finding]:
    """Check that the event loop is libev with epoll."""
    loop = context.loop
    if loop is None or loop == pinning.PINNED_LOOP:
        return
    yield Finding(
        "conf.E001",
        (),
        f"the event loop is {loop.library} with {loop.backend}",
        "unset GEVENT_LOOP and GEVENT_BACKEND; libev with epoll is required",
    )


@register
def check_data_centre(context: CheckContext) -> Iterable[Finding]:
    """Check that `data_centres` lists those of the daemon and its peers."""
    known = context.settings.data_centres
    hint = "add it to data_centres, or correct the name"
    if context.settings.data_centre not in known:
        detail = f'"{context.settings.data_centre}" is not listed'
        yield Finding("conf.E002", ("data_centre",), detail, hint)
    for index, peer in enumerate(context.settings.peers):
        if peer.data_centre not in known:
            path = ("peers", index, "data_centre")
            detail = f'"{peer.data_centre}" is not listed'
            yield Finding("conf.E002", path, detail, hint)


@register
def check_ports(context: CheckContext) -> Iterable[Finding]:
    """Check that callers and peers connect to different ports."""
    if context.settings.peer_port != context.settings.http_port:
        return
    yield Finding(
        "conf.E003",
        ("http_port",),
        "is the same as peer_port",
        "use a different port for each",
    )


@register
def check_address(context: CheckContext) -> Iterable[Finding]:
    """Check that the address is one that peers can connect to."""
    if not ipaddress.ip_address(context.settings.address).is_unspecified:
        return
    yield Finding(
        "conf.E004",
        ("address",),
        "is a wildcard address, so peers can't connect to it",
        "use the IP address of this VM",
    )


@register
def check_shards(context: CheckContext) -> Iterable[Finding]:
    """Check that each data centre has at least one shard."""
    for name, centre in context.settings.data_centres.items():
        if centre.shards < 1:
            yield Finding(
                "conf.E005",
                ("data_centres", name, "shards"),
                "is below 1, so no worker there has an owner",
                "configure one shard for about 32 workers",
            )


@register
def check_secret(context: CheckContext) -> Iterable[Finding]:
    """Check that the secret shared by peers is too long to guess."""
    if len(context.settings.peer_secret) >= MIN_SECRET_CHARS:
        return
    yield Finding(
        "conf.E006",
        ("peer_secret",),
        f"has fewer than {MIN_SECRET_CHARS} characters",
        "generate a random secret and use it for all daemons",
    )


@register
def check_timing_order(context: CheckContext) -> Iterable[Finding]:
    """Check that each timing is below the one that has to outlast it."""
    timings = context.settings.timings
    for check_id, shorter, longer, reason in (
        ("conf.E007", "heartbeat_s", "lease_ttl_s", "idle leases would expire"),
        ("conf.E008", "heartbeat_s", "peer_timeout_s", "streams would close"),
        (
            "conf.E009",
            "endpoint_connect_timeout_s",
            "lease_ttl_s",
            "one unresponsive worker would let a lease expire",
        ),
        (
            "conf.E010",
            "lease_ttl_s",
            "loan_term_s",
            "loans would end before leases",
        ),
    ):
        if getattr(timings, shorter) < getattr(timings, longer):
            continue
        path = ("timings", shorter)
        detail = f"is not below {longer}: {reason}"
        yield Finding(check_id, path, detail, f"lower it or raise {longer}")


@register
def check_slow_polls(context: CheckContext) -> Iterable[Finding]:
    """Warn about poll intervals that break the promises to operators."""
    timings = context.settings.timings
    for check_id, name, limit_s, promise in (
        (
            "conf.W001",
            "platform_poll_s",
            CHANGE_IN_FORCE_LIMIT_S,
            "a change must be in force",
        ),
        (
            "conf.W002",
            "vm_list_poll_s",
            VM_LEAVING_LIMIT_S,
            "a leaving VM must be avoided",
        ),
    ):
        if getattr(timings, name) < limit_s:
            continue
        path = ("timings", name)
        detail = f"is not below {limit_s} s, the time within which {promise}"
        yield Finding(check_id, path, detail, "lower it")


@register
def check_sizes(context: CheckContext) -> Iterable[Finding]:
    """Check that a caller's request body fits into a frame to a peer."""
    limits = context.settings.limits
    if limits.max_body_bytes < limits.max_frame_bytes:
        return
    yield Finding(
        "conf.E011",
        ("limits", "max_body_bytes"),
        "is not below max_frame_bytes, so a job might not fit into a frame",
        "lower it or raise max_frame_bytes",
    )


@register
def check_peers(context: CheckContext) -> Iterable[Finding]:
    """Check that no peer is listed twice or is the daemon itself."""
    seen = {context.settings.daemon_id}
    for index, peer in enumerate(context.settings.peers):
        if peer.daemon_id in seen:
            yield Finding(
                "conf.E012",
                ("peers", index, "daemon_id"),
                f'"{peer.daemon_id}" is already the id of another daemon',
                "give each daemon a unique id and list each peer once",
            )
        seen.add(peer.daemon_id)
