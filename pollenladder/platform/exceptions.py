"""Exceptions of the platform adapter."""


class PlatformError(Exception):
    """Base class: the platform, a caller or a worker sent unusable data."""


class SettingsError(PlatformError):
    """The settings file is unreadable, incomplete or has an invalid value."""


class BadDocumentError(PlatformError):
    """A document could not be decoded or validated."""


class UnsupportedJobError(PlatformError):
    """A job uses a feature of the platform that is not supported."""


class StoreError(PlatformError):
    """The store gave no usable response; the request's outcome is unknown."""


class StoreRefusedError(StoreError):
    """The store rejected the request without executing it.

    It is overloaded or limits the rate of this daemon's requests.
    """


class RowChangedError(StoreError):
    """A row no longer has the version that a write expects."""


class HistoryLostError(StoreError):
    """The store no longer has the requested changes.

    The client has to read the whole table again.
    """
