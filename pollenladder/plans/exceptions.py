"""Errors in declarations."""

from pollenladder.conf import exceptions


class DeclarationsError(exceptions.InvalidError):
    """The declarations are well-formed but contradict each other."""

    check_id = "plans.E101"
    hint = "make ids, names and tokens unique, and list only plans that exist"
