"""Errors of the audit package."""


class TableUnavailableError(Exception):
    """The platform's table did not answer a read."""


class VersionMismatchError(Exception):
    """The declarations are not at the version that the operator expects.

    Attributes:
        expected: The version the operator gave.
        found: The version in the table.
    """

    def __init__(self, expected: int, found: int):
        super().__init__(f"version {found} is in the table, not {expected}")
        self.expected = expected
        self.found = found


class RecordInvalidError(Exception):
    """A row of the audit trail does not have a record's form."""
