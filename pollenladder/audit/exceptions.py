"""Errors of the audit package."""


class TableUnavailableError(Exception):
    """The platform's table did not answer a read."""


class VersionMismatchError(Exception):
    """The table does not hold the version that the operator expects.

    Attributes:
        expected: The version that the operator gave.
        found: The version in the table; 0 if there is none.
    """

    def __init__(self, expected: int, found: int):
        super().__init__(f"version {found} is in the table, not {expected}")
        self.expected = expected
        self.found = found


class RecordInvalidError(Exception):
    """A row of the audit trail is not a valid record."""
