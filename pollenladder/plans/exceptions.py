"""Errors of declarations."""

from pollenladder.conf import exceptions


class DeclarationsError(exceptions.InvalidError):
    """Fields are well-formed, but the declarations contradict each other."""

    check_id = "plans.E101"
    hint = "ids, names and tokens are unique; plans named exist"
