"""CPU time and memory of processes, read from /proc."""

import os
import pathlib

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024


def read_cpu_s(pid: int) -> float:
    """Return the CPU time, user and system, of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    return 0
