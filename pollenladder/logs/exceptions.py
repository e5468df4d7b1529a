"""Errors of reading logs."""


class BadLogError(Exception):
    """A line that no daemon has written whole."""
