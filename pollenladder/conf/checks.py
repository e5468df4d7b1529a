"""Checks of settings that are well-formed one by one.

A check is a function that yields findings; `register` adds it to the registry
that the daemon runs at start and `pollenladder check` on request. Errors stop
the daemon, warnings are logged.
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
CHANGE_IN_FORCE_S = 4.0
LEAVING_S = 3.0


class Level(enum.Enum):
    """How bad a finding is."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True)
class Finding:
    """What a check found.

    Attributes:
        check_id: Such as `conf.E001`; the letter is the level's.
        path: The field at fault.
        detail: What is wrong.
        hint: What to do.
    """

    check_id: str
    path: positions.FieldPath
    detail: str
    hint: str

    @property
    def level(self) -> Level:
        """Return the level that the id's letter says."""
        is_error = self.check_id.split(".")[1].startswith("E")
        return Level.ERROR if is_error else Level.WARNING

    def __str__(self) -> str:
        field = positions.format_path(self.path)
        return f"{self.check_id}: {field}: {self.detail} ({self.hint})"


@dataclasses.dataclass(frozen=True)
class Facts:
    """What the checks look at; `loop` is None where no daemon runs."""

    settings: settings.Settings
    loop: pinning.Loop | None = None


Check = Callable[[Facts], Iterable[Finding]]
REGISTRY: list[Check] = []


def register(check: Check) -> Check:
    """Add a check to the registry."""
    REGISTRY.append(check)
    return check


def run(facts: Facts) -> list[Finding]:
    """Return the findings of all registered checks."""
    return [finding for check in REGISTRY for finding in check(facts)]


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether any finding forbids a start."""
    return any(finding.level is Level.ERROR for finding in findings)


@register
def check_loop(facts: Facts) -> Iterable[Finding]:
    """Check that the event loop is libev with epoll."""
    loop = facts.loop
    if loop is None or loop == pinning.PINNED_LOOP:
        return
    yield Finding(
        "conf.E001",
        (),
        f"the event loop is {loop.library} with {loop.backend}",
        "unset GEVENT_LOOP and GEVENT_BACKEND; libev with epoll is needed",
    )


@register
def check_data_centre(facts: Facts) -> Iterable[Finding]:
    """Check that the data centre of the daemon and of each peer is listed."""
    known = facts.settings.data_centres
    hint = "add it to data_centres, or correct the name"
    if facts.settings.data_centre not in known:
        detail = f'"{facts.settings.data_centre}" is not listed'
        yield Finding("conf.E002", ("data_centre",), detail, hint)
    for index, peer in enumerate(facts.settings.peers):
        if peer.data_centre not in known:
            path = ("peers", index, "data_centre")
            detail = f'"{peer.data_centre}" is not listed'
            yield Finding("conf.E002", path, detail, hint)


@register
def check_ports(facts: Facts) -> Iterable[Finding]:
    """Check that callers and peers have different ports."""
    if facts.settings.peer_port != facts.settings.http_port:
        return
    yield Finding(
        "conf.E003",
        ("http_port",),
        "is the same as peer_port",
        "give each its own port",
    )


@register
def check_address(facts: Facts) -> Iterable[Finding]:
    """Check that peers can connect to the address."""
    if not ipaddress.ip_address(facts.settings.address).is_unspecified:
        return
    yield Finding(
        "conf.E004",
        ("address",),
        "stands for every address, so peers can't connect to it",
        "give the IP number of this VM",
    )


@register
def check_shards(facts: Facts) -> Iterable[Finding]:
    """Check that each data centre has a shard."""
    for name, centre in facts.settings.data_centres.items():
        if centre.shards < 1:
            yield Finding(
                "conf.E005",
                ("data_centres", name, "shards"),
                "is below 1, so no worker there has an owner",
                "give one shard for about 32 workers",
            )


@register
def check_secret(facts: Facts) -> Iterable[Finding]:
    """Check that the peers' secret can't be guessed."""
    if len(facts.settings.peer_secret) >= MIN_SECRET_CHARS:
        return
    yield Finding(
        "conf.E006",
        ("peer_secret",),
        f"has fewer than {MIN_SECRET_CHARS} characters",
        "draw a random one and give it to all daemons",
    )


@register
def check_order_of_timings(facts: Facts) -> Iterable[Finding]:
    """Check timings that must be shorter than others."""
    timings = facts.settings.timings
    for check_id, shorter, longer, reason in (
        ("conf.E007", "heartbeat_s", "lease_ttl_s", "idle leases would lapse"),
        ("conf.E008", "heartbeat_s", "peer_timeout_s", "streams would close"),
        (
            "conf.E009",
            "endpoint_connect_timeout_s",
            "lease_ttl_s",
            "one silent worker would cost a lease",
        ),
        ("conf.E010", "lease_ttl_s", "loan_term_s", "loans would end first"),
    ):
        if getattr(timings, shorter) < getattr(timings, longer):
            continue
        path = ("timings", shorter)
        detail = f"is not below {longer}: {reason}"
        yield Finding(check_id, path, detail, f"lower it or raise {longer}")


@register
def check_slow_polls(facts: Facts) -> Iterable[Finding]:
    """Warn of polls too slow for what operators are promised."""
    timings = facts.settings.timings
    for check_id, name, bound_s, promise in (
        ("conf.W001", "platform_poll_s", CHANGE_IN_FORCE_S, "change in force"),
        ("conf.W002", "vm_list_poll_s", LEAVING_S, "leaving VM avoided"),
    ):
        if getattr(timings, name) < bound_s:
            continue
        path = ("timings", name)
        detail = f"is not below {bound_s} s, within which a {promise} is due"
        yield Finding(check_id, path, detail, "lower it")


@register
def check_sizes(facts: Facts) -> Iterable[Finding]:
    """Check that a caller's body fits into a frame to a peer."""
    limits = facts.settings.limits
    if limits.max_body_bytes < limits.max_frame_bytes:
        return
    yield Finding(
        "conf.E011",
        ("limits", "max_body_bytes"),
        "is not below max_frame_bytes, so a job might not fit into a frame",
        "lower it or raise max_frame_bytes",
    )


@register
def check_peers(facts: Facts) -> Iterable[Finding]:
    """Check that no peer is given twice or is the daemon itself."""
    seen = {facts.settings.daemon_id}
    for index, peer in enumerate(facts.settings.peers):
        if peer.daemon_id in seen:
            yield Finding(
                "conf.E012",
                ("peers", index, "daemon_id"),
                f'"{peer.daemon_id}" stands already for another daemon',
                "give each daemon an id of its own and list each peer once",
            )
        seen.add(peer.daemon_id)
