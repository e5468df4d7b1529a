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
        max_connections: Maximum number of concurrent connections.
        max_jobs: Maximum number of requests that wait for a job's answer.
        max_held_bytes: Maximum total size of the bodies being read or
            processed.
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
    max_connections: int = 2000
    max_jobs: int = 2000
    max_held_bytes: int = 32 * 1024 * 1024
    idle_s: float = 60.0
    headers_s: float = 5.0
    body_s: float = 10.0
    send_s: float = 20.0
    linger_s: float = 1.0
    wait_margin_s: float = 1.0
    retry_after_s: float = 1.0
