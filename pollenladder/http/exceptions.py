"""Errors of HTTP exchanges.

The class of an error tells whether the request may have reached the peer.
"""

import enum


class Cause(enum.Enum):
    """Why a request that may have arrived got no usable response.

    Attributes:
        CLOSED: The peer closed the connection in order.
        RESET: The connection failed.
        TIMEOUT: The time limit of the exchange expired.
        GARBAGE: The bytes received are not one HTTP response.
    """

    CLOSED = "closed"
    RESET = "reset"
    TIMEOUT = "timeout"
    GARBAGE = "garbage"


class ExchangeError(Exception):
    """Base class of the errors of an exchange without a usable response."""


class NotSentError(ExchangeError):
    """No byte of the request was written."""


class NoConnectionError(NotSentError):
    """All connections of the pool stayed in use; nothing was written."""


class RefusedError(NotSentError):
    """No process listens at the peer's address; nothing was written.

    Attributes:
        was_closed: Whether the peer has closed an idle connection in order since
            the last connection was opened.
    """

    def __init__(self, detail: str, was_closed: bool = False):
        super().__init__(detail)
        self.was_closed = was_closed


class NoResponseError(ExchangeError):
    """The request, or part of it, may have arrived at the peer.

    Attributes:
        cause: Why there is no response.
    """

    def __init__(self, cause: Cause, detail: str):
        super().__init__(f"{cause.value}: {detail}")
        self.cause = cause
