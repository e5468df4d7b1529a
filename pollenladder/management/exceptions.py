"""Errors that terminate a command of the tool."""

from pollenladder.management import exit_codes


class ToolError(Exception):
    """A command failed.

    Attributes:
        exit_code: Exit code of the tool.
    """

    exit_code = exit_codes.ExitCode.INVALID


class UsageError(ToolError):
    """Options are missing or contradict each other."""

    exit_code = exit_codes.ExitCode.USAGE


class UnreachableError(ToolError):
    """The platform or all daemons are unreachable; nothing was changed."""

    exit_code = exit_codes.ExitCode.UNREACHABLE


class ConflictError(ToolError):
    """Another change was committed first; this one will not take effect."""

    exit_code = exit_codes.ExitCode.CONFLICT


class UnsettledError(ToolError):
    """The operation may have taken effect, or may still take effect."""

    exit_code = exit_codes.ExitCode.UNSETTLED


class ForbiddenError(ToolError):
    """The token is missing or belongs to no operator."""

    exit_code = exit_codes.ExitCode.FORBIDDEN


class UnknownTargetError(ToolError):
    """No daemon that answered knows the job, worker or daemon."""

    exit_code = exit_codes.ExitCode.UNKNOWN_TARGET
