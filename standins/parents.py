"""Termination of child processes when the parent process ends."""

import ctypes
import signal

PR_SET_PDEATHSIG = 1

# Loaded at import because a child process must not load libraries between
# fork and exec.
_LIBC = ctypes.CDLL(None, use_errno=True)


def end_with_parent() -> None:
    """Request SIGTERM when the parent thread ends; for use as `preexec_fn`."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGTERM, 0, 0, 0)
