"""Bounds of what callers may make a daemon hold or wait for."""

import dataclasses

MAX_ID_CHARS = 128
MAX_KEY_CHARS = 256
MAX_WAIT_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds of the HTTP server.

    Attributes:
        max_body_bytes: The longest body accepted.
        max_connections: Connections served at a time.
        max_jobs: Requests that wait for a job at a time.
        max_held_bytes: Bodies being read or worked on, all together.
        idle_s: A connection without a request is closed after this.
        headers_s: Longest time to send the header fields.
        body_s: Longest time to send the body.
        send_s: Longest time to take an answer.
        linger_s: Longest time an unread body is drained before closing.
        wait_margin_s: Time beyond a job's deadline to wait for its answer.
        retry_after_s: What a request beyond these bounds is told.
    """

    max_body_bytes: int = 1024 * 1024
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
