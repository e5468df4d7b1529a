"""Limits on the requests, memory and time that HTTP callers may use."""

import dataclasses

MAX_ID_CHARS = 128
MAX_KEY_CHARS = 256
MAX_WAIT_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the HTTP server; all times are in seconds.

    Attributes:
        max_body_bytes: Maximum size of a body.
        max_head_bytes: Maximum size of the request line and the header fields.
        max_connections: Number of concurrent connections from which on one that
            has no request in progress is closed for each new one.
        max_jobs: Maximum number of requests that wait for a job's answer.
        max_held_bytes: Maximum total size of what is held of requests that are
            being read or processed.
        ordinary_bytes: Size up to which a request may use all of
            `max_held_bytes`; larger ones share half of it.
        receive_buffer_bytes: Size of the kernel's buffer for what was received on
            a connection; the kernel doubles it.
        send_buffer_bytes: Size of the kernel's buffer for what was sent.
        idle_s: Time after which a connection without a request is closed.
        headers_s: Maximum time a client may take to send the header fields.
        body_s: Maximum time a client may take to send the body.
        send_s: Maximum time that one send or receive on a connection may
            block, for example because the client does not read the response.
        linger_s: Maximum time to discard the rest of an unread body before
            the connection is closed.
        wait_margin_s: Time to wait for a job's answer beyond its deadline.
        retry_after_s: The `Retry-After` value of requests over a limit.
    """

    max_body_bytes: int = 256 * 1024
    max_head_bytes: int = 32 * 1024
    max_connections: int = 2000
    max_jobs: int = 2000
    max_held_bytes: int = 32 * 1024 * 1024
    ordinary_bytes: int = 16 * 1024
    receive_buffer_bytes: int = 16 * 1024
    send_buffer_bytes: int = 32 * 1024
    idle_s: float = 60.0
    headers_s: float = 5.0
    body_s: float = 10.0
    send_s: float = 20.0
    linger_s: float = 1.0
    wait_margin_s: float = 1.0
    retry_after_s: float = 1.0

    @property
    def max_open_connections(self) -> int:
        """Maximum number of connections.

        Those that are being closed for new ones are open for a moment longer.
        """
        return self.max_connections + self.max_connections // 2


# Shares of a machine's memory, beside what the process needs for itself. What is held of
# a request takes several times its size while it is parsed.
CONNECTIONS_MEMORY_SHARE = 0.25
HELD_MEMORY_SHARE = 0.03
# What a connection takes: its buffers in the kernel, and its objects in the process.
CONNECTION_BYTES = 64 * 1024
# Descriptors for files, and for the connections to workers, daemons and the platform.
RESERVED_DESCRIPTORS = 200
CONNECTIONS_DESCRIPTOR_SHARE = 0.5


def fit(memory_bytes: float, max_descriptors: int) -> Limits:
    """Return the limits of a server that callers of a machine connect to.

    Args:
        memory_bytes: The memory of the machine.
        max_descriptors: The number of descriptors that the process may open.
    """
    defaults = Limits()
    by_memory = CONNECTIONS_MEMORY_SHARE * memory_bytes / CONNECTION_BYTES
    by_descriptors = CONNECTIONS_DESCRIPTOR_SHARE * (
        max_descriptors - RESERVED_DESCRIPTORS
    )
    connections = min(by_memory, by_descriptors, defaults.max_connections)
    held_bytes = min(HELD_MEMORY_SHARE * memory_bytes, defaults.max_held_bytes)
    return dataclasses.replace(
        defaults,
        max_connections=max(1, int(connections)),
        max_held_bytes=int(held_bytes),
    )


# For ports that only the platform connects to, with one short request at a time.
PROBES = Limits(
    max_body_bytes=1024,
    max_head_bytes=8 * 1024,
    max_connections=16,
    max_held_bytes=256 * 1024,
    ordinary_bytes=8 * 1024,
)
