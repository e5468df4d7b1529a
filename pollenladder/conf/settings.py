"""Settings of one daemon."""

import dataclasses

from pollenladder.conf import defaults


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre.

    Attributes:
        shards: Number of shards that its workers are split into.
        region: Name of its region. The network latency between data centres of
            one region is below a millisecond.
    """

    shards: int
    region: str = defaults.REGION


@dataclasses.dataclass(frozen=True)
class Platform:
    """Address and timeout of the platform's service.

    Attributes:
        address: IP address.
        port: TCP port.
        timeout_s: Timeout of a request, in seconds.
    """

    address: str
    port: int
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class Peer:
    """A daemon to connect to at startup, before the VM list has been read.

    Attributes:
        daemon_id: Id of the daemon.
        data_centre: Name of the data centre where it runs.
        address: IP address.
        peer_port: TCP port of its peer streams.
    """

    daemon_id: str
    data_centre: str
    address: str
    peer_port: int


@dataclasses.dataclass(frozen=True)
class Log:
    """Format and level of the logs.

    Attributes:
        format: "json" or "text".
        level: Name of the lowest level of `logging` that is written.
    """

    format: str = defaults.LOG_FORMAT
    level: str = defaults.LOG_LEVEL


@dataclasses.dataclass(frozen=True)
class Timings:
    """Intervals and timeouts, in seconds.

    Attributes:
        lease_ttl_s: Time after which a worker's lease expires if it is not
            renewed.
        heartbeat_s: Interval of heartbeats on an idle peer stream.
        peer_timeout_s: Time without received data after which a peer stream is
            closed.
        platform_poll_s: Interval at which the declarations are read.
        vm_list_poll_s: Interval at which the VM list is read.
        loan_term_s: Time for which a borrower keeps lent allowance.
        drain_timeout_s: Maximum duration of a graceful shutdown.
        endpoint_connect_timeout_s: Timeout of a connect to a worker.
        retention_s: Time for which an answered job can be fetched by its id.
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
    """Resource limits of one daemon.

    Attributes:
        max_body_bytes: Maximum size of a caller's request body.
        max_connections: Maximum number of connections of callers and operators
            together.
        max_queued_jobs: Maximum number of jobs that wait for a slot.
        max_queue_wait_s: Maximum expected wait of a job that is admitted.
        connections_per_worker: Maximum number of connections from this daemon
            to one worker.
        max_frame_bytes: Maximum size of a frame on a peer stream.
        body_timeout_s: Maximum time until a request has been received
            completely.
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
        data_centre: Name of the data centre where this daemon runs; a key of
            `data_centres`.
        address: IP address that the daemon listens on and peers connect to.
        peer_port: TCP port of the peer streams.
        http_port: TCP port for callers and operators.
        peer_secret: Secret shared by all daemons. A peer stream that doesn't
            present it is refused.
        data_centres: All data centres of the system, by name.
        platform: Address of the platform's service.
        shards_per_owner: Number of shards of a region that one daemon owns
            together.
        peers: Daemons to connect to at startup. They have no special role
            afterwards.
        log: Format and level of the logs.
        timings: Intervals and timeouts.
        limits: Resource limits.
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
