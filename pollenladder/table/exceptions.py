"""Errors of the platform's client.

The class of an error tells whether a write took effect.
"""

from pollenladder.core import verdicts


class PlatformError(Exception):
    """A request to the platform failed.

    Attributes:
        verdict: `NOT_RUN` if the request had no effect, `MAY_HAVE_RUN` if
            that is unknown. It has no meaning for reads.
    """

    verdict = verdicts.Verdict.NOT_RUN


class UnavailableError(PlatformError):
    """The platform sent no usable response; a later request may succeed."""


class UnreachableError(UnavailableError):
    """No byte of the request was sent, so it had no effect."""


class NoReplyError(UnavailableError):
    """No usable response; a write may have taken effect or may do so later."""

    verdict = verdicts.Verdict.MAY_HAVE_RUN


class ConflictError(PlatformError):
    """A check of a transaction failed; nothing was written.

    Attributes:
        key: The key of the row whose check failed.
        version: The row's current version; 0 if it does not exist.
    """

    def __init__(self, key: str, version: int):
        super().__init__(f"row {key!r} has version {version}")
        self.key = key
        self.version = version


class EtagMismatchError(PlatformError):
    """An object does not have the expected entity tag; nothing was written.

    Attributes:
        name: The name of the object.
    """

    def __init__(self, name: str):
        super().__init__(f"object {name!r} has changed or is gone")
        self.name = name


class RequestRefusedError(PlatformError):
    """The platform rejected the request as invalid; it had no effect."""
