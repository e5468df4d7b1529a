"""What a running daemon has spent, read from outside."""

import dataclasses
import pathlib
import time

from bench import cluster
from bench import costs
from bench import counters

NS_PER_S = 1_000_000_000


@dataclasses.dataclass(frozen=True)
class Reading:
    """Totals of a daemon's process at a moment.

    Attributes:
        at_s: Monotonic time.
        cpu_s: Processor time of all its threads.
        rss: Memory held, in bytes.
        link_bytes: Bytes over peer links, both ways.
        messages: Messages sent, by kind.
    """

    at_s: float
    cpu_s: float
    rss: int
    link_bytes: float
    messages: dict[str, float]


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process, to the nanosecond."""
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / NS_PER_S


def get_pid(running: cluster.Cluster, daemon_id: str) -> int:
    """Return the process id of a daemon."""
    return running.group.get_pid(running.name_process(daemon_id))


def read_begin(running: cluster.Cluster, daemon_id: str) -> Reading:
    """Return a reading at the begin of an interval."""
    link_bytes, kinds = _read_metrics(running, daemon_id)
    return _read_process(running, daemon_id, link_bytes, kinds)


def read_end(running: cluster.Cluster, daemon_id: str) -> Reading:
    """Return a reading at the end of an interval.

    The processor time is read first, so that no interval holds the cost of
    reading the metrics.
    """
    before = _read_process(running, daemon_id, 0.0, {})
    link_bytes, kinds = _read_metrics(running, daemon_id)
    return dataclasses.replace(before, link_bytes=link_bytes, messages=kinds)


def _read_process(
    running: cluster.Cluster,
    daemon_id: str,
    link_bytes: float,
    kinds: dict[str, float],
) -> Reading:
    pid = get_pid(running, daemon_id)
    return Reading(
        time.monotonic(),
        read_cpu_s(pid),
        costs.read_rss_bytes(pid),
        link_bytes,
        kinds,
    )


def _read_metrics(
    running: cluster.Cluster, daemon_id: str
) -> tuple[float, dict[str, float]]:
    port = next(
        row["http_port"] for row in running.daemons if row["vm_id"] == daemon_id
    )
    samples = counters.read_metrics(port)
    octets = samples.get("pollenladder_link_bytes_total", [])
    kinds = samples.get("pollenladder_messages_total", [])
    return (
        sum(value for _, value in octets),
        {labels["kind"]: value for labels, value in kinds},
    )
