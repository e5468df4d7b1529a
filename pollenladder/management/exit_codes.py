"""Exit codes of the command-line tool."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of `pollenladder`, described in docs/ref/exit-codes.md."""

    OK = 0
    INVALID = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_IN_FORCE = 5
    UNSETTLED = 6
    FORBIDDEN = 7
    UNKNOWN_TARGET = 8
    DIFFERENT = 9
    INTERRUPTED = 130
