"""Let processes started by tests and benches end with whoever started them."""

import ctypes
import signal

PR_SET_PDEATHSIG = 1

# Loaded here, as a child may not load libraries between fork and exec.
_LIBC = ctypes.CDLL(None, use_errno=True)


def end_with_parent() -> None:
    """Ask for SIGTERM when the starting thread ends; for `preexec_fn`."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGTERM, 0, 0, 0)
