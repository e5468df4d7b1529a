"""Read the row of the declarations, and identify the operator by token."""

import hashlib

from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.audit import tables
from pollenladder.management import exceptions
from pollenladder.plans import declarations
from pollenladder.plans import loading


def read_row(table: tables.Table) -> tables.Row | None:
    """Return the row of the declarations in force, or None if there is none.

    Raises:
        exceptions.UnreachableError: The platform did not reply.
    """
    try:
        return table.read(loading.ROW_KEY)
    except audit_exceptions.TableUnavailableError as error:
        raise exceptions.UnreachableError(str(error)) from error


def identify_operator(
    token: str,
    row: tables.Row | None,
    candidate: loading.Candidate,
) -> str:
    """Return the id of the operator with this token.

    The operators of the declarations in force are searched. The operators of
    the candidate are only searched if no declarations are in force yet.

    Args:
        token: Token of the operator.
        row: Row of the declarations in force, or None.
        candidate: The declarations to apply.

    Raises:
        exceptions.ForbiddenError: The token belongs to no operator.
    """
    known = candidate.declarations
    if row is not None:
        known = loading.parse_row(row.value, row.version)
    return _find_operator(token, known)


def _find_operator(token: str, known: declarations.Declarations) -> str:
    digest = hashlib.sha256(token.encode()).hexdigest()
    for operator in known.operators.values():
        if operator.token_sha256 == digest:
            return operator.operator_id
    raise exceptions.ForbiddenError("the token belongs to no operator")
