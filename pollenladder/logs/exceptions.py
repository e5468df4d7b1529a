"""Errors raised while logs are read."""


class MalformedLineError(Exception):
    """A line is truncated or was not written by a daemon."""
