"""Errors of the platform's client; each tells whether a write took effect."""

from pollenladder.core import verdicts


class PlatformError(Exception):
    """A request to the platform that failed.

    Attributes:
        verdict: `NOT_RUN` if the request had no effect, `MAY_HAVE_RUN` if
            that is unknown. For a read it matters to nobody.
    """

    verdict = verdicts.Verdict.NOT_RUN


class UnavailableError(PlatformError):
    """The platform gave no usable answer; it may do so later."""


class UnreachableError(UnavailableError):
    """No byte of the request was sent; it had no effect."""


class NoReplyError(UnavailableError):
    """A write may have taken effect, or may yet do so."""

    verdict = verdicts.Verdict.MAY_HAVE_RUN


class ConflictError(PlatformError):
    """A check of a transaction failed; nothing was written.

    Attributes:
        key: The row.
        version: The version it has; 0 for no row.
    """

    def __init__(self, key: str, version: int):
        super().__init__(f"row {key!r} has version {version}")
        self.key = key
        self.version = version


class EtagMismatchError(PlatformError):
    """An object is not the expected one; nothing was written.

    Attributes:
        name: The object.
    """

    def __init__(self, name: str):
        super().__init__(f"object {name!r} has changed or is gone")
        self.name = name


class RequestRefusedError(PlatformError):
    """The platform calls the request wrong; it had no effect."""
