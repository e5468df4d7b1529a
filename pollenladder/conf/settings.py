"""Settings of one daemon as the code uses them."""

import dataclasses

from pollenladder.conf import defaults


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre.

    Attributes:
        shards: Number of shards its workers are split into.
        region: Data centres of one region are less than a millisecond apart.
    """

    shards: int
    region: str = defaults.REGION


@dataclasses.dataclass(frozen=True)
class Platform:
    """Where the platform's service answers, and how long to wait for it."""

    address: str
    port: int
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class Peer:
    """A daemon to try first, before the VM list has been read."""

    daemon_id: str
    data_centre: str
    address: str
    peer_port: int


@dataclasses.dataclass(frozen=True)
class Log:
    """How logs are written.

    Attributes:
        format: "json" or "text".
        level: A level name of `logging`.
    """

    format: str = defaults.LOG_FORMAT
    level: str = defaults.LOG_LEVEL


@dataclasses.dataclass(frozen=True)
class Timings:
    """Intervals and timeouts, in seconds.

    Attributes:
        lease_ttl_s: How long a worker's lease holds without renewal.
        heartbeat_s: Interval of heartbeats on an idle peer stream.
        peer_timeout_s: Silence after which a peer stream is closed.
        platform_poll_s: Interval of reading the declarations.
        vm_list_poll_s: Interval of reading the VM list.
        loan_term_s: How long lent allowance stays with the borrower.
        drain_timeout_s: The longest graceful shutdown.
        endpoint_connect_timeout_s: The longest connect to a worker.
        retention_s: How long an answered job can be fetched by id.
    """

    lease_ttl_s: float = defaults.LEASE_TTL_S
    heartbeat_s: float = defaults.HEARTBEAT_S
    peer_timeout_s: float = defaults.PEER_TIMEOUT_S
    platform_poll_s: float = defaults.PLATFORM_POLL_S
    vm_list_poll_s: float = defaults.VM_LIST_POLL_S
    loan_term_s: float = defaults.LOAN_TERM_S
    drain_timeout_s: float = defaults.DRAIN_TIMEOUT_S
    endpoint_connect_timeout_s: float = defaults.ENDPOINT_CONNECT_TIMEOUT_S
    retention_s: float = defaults.RETENTION_S


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on what one daemon holds.

    Attributes:
        max_body_bytes: The longest request body of a caller.
        max_connections: Connections of callers and operators together.
        max_queued_jobs: Jobs that wait for a slot.
        max_queue_wait_s: The longest expected wait that is still admitted.
        connections_per_worker: Connections from this daemon to one worker.
        max_frame_bytes: The longest frame on a peer stream.
        body_timeout_s: The longest time for a request to arrive whole.
    """

    max_body_bytes: int = defaults.MAX_BODY_BYTES
    max_connections: int = defaults.MAX_CONNECTIONS
    max_queued_jobs: int = defaults.MAX_QUEUED_JOBS
    max_queue_wait_s: float = defaults.MAX_QUEUE_WAIT_S
    connections_per_worker: int = defaults.CONNECTIONS_PER_WORKER
    max_frame_bytes: int = defaults.MAX_FRAME_BYTES
    body_timeout_s: float = defaults.BODY_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one daemon.

    Attributes:
        daemon_id: Unique among all daemons.
        data_centre: Where this daemon runs; one of `data_centres`.
        address: IP number that it listens on and that peers connect to.
        peer_port: Port of the peer streams.
        http_port: Port for callers and operators.
        peer_secret: Shared by all daemons; a stream without it is refused.
        data_centres: All data centres of the system, by name.
        platform: The platform's service.
        shards_per_owner: Shards of a region that one daemon owns together.
        peers: Daemons to try first; none of them is special.
        log: How logs are written.
        timings: Intervals and timeouts.
        limits: Bounds on what is held.
    """

    daemon_id: str
    data_centre: str
    address: str
    peer_port: int
    http_port: int
    peer_secret: str
    data_centres: dict[str, DataCentre]
    platform: Platform
    shards_per_owner: int = defaults.SHARDS_PER_OWNER
    peers: tuple[Peer, ...] = ()
    log: Log = Log()
    timings: Timings = Timings()
    limits: Limits = Limits()
