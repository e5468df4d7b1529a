"""Errors that end a command of the tool."""

from pollenladder.management import exit_codes


class ToolError(Exception):
    """A command can't do what was asked.

    Attributes:
        exit_code: What the tool exits with.
    """

    exit_code = exit_codes.ExitCode.INVALID


class UsageError(ToolError):
    """Options are missing or contradict each other."""

    exit_code = exit_codes.ExitCode.USAGE


class UnreachableError(ToolError):
    """The platform or every daemon is out of reach; nothing was changed."""

    exit_code = exit_codes.ExitCode.UNREACHABLE


class ConflictError(ToolError):
    """Another change came first; this one did not and will not take effect."""

    exit_code = exit_codes.ExitCode.CONFLICT


class UnsettledError(ToolError):
    """What was asked may have taken effect, or still may."""

    exit_code = exit_codes.ExitCode.UNSETTLED


class ForbiddenError(ToolError):
    """The token is missing, or is no operator's."""

    exit_code = exit_codes.ExitCode.FORBIDDEN


class UnknownTargetError(ToolError):
    """No daemon that answered knows the job, worker or daemon."""

    exit_code = exit_codes.ExitCode.UNKNOWN_TARGET
