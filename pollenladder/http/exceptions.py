"""Errors of HTTP exchanges; they tell whether a request may have arrived."""

import enum


class Cause(enum.Enum):
    """Why a request that may have arrived got no usable response."""

    CLOSED = "closed"
    TIMEOUT = "timeout"
    GARBAGE = "garbage"


class ExchangeError(Exception):
    """An exchange without a response."""


class NotSentError(ExchangeError):
    """No byte of the request was written."""


class NoConnectionError(NotSentError):
    """All connections of the budget stayed in use."""


class NoResponseError(ExchangeError):
    """The request may have arrived.

    Attributes:
        cause: Why there is no response.
    """

    def __init__(self, cause: Cause, detail: str):
        super().__init__(f"{cause.value}: {detail}")
        self.cause = cause
