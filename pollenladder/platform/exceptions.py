"""Errors of the platform's interfaces."""


class PlatformError(Exception):
    """Something that the platform, a caller or a worker got wrong."""


class SettingsError(PlatformError):
    """The settings file lacks a value or holds one that can't be used."""


class BadDocumentError(PlatformError):
    """Bytes that are not the document they should be."""


class UnsupportedJobError(PlatformError):
    """A job of a shape that is not run here."""


class StoreError(PlatformError):
    """The store gave no usable answer; nothing is known of the outcome."""


class StoreRefusedError(StoreError):
    """The store did nothing, as it was busy or is turning this daemon away."""


class HistoryLostError(StoreError):
    """The changes asked for are no longer kept; read everything again."""
