"""Errors of the gateway."""


class JobUnknownError(Exception):
    """No daemon within reach knows the job for this customer."""
