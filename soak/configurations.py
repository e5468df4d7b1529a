"""Configuration changes, and probes of whether daemons apply them."""

from collections.abc import Callable
import dataclasses
import time

import gevent

from soak import clusters

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 1.0
# A change must be in force within this time, unless a fault interferes.
APPLY_TIMEOUT_S = 2.0
# Version 1 is the initial configuration of the cluster.
FIRST_CHANGE_VERSION = 2
# URL prefix of the queue that the changes add and remove.
ADDED_PREFIX = "/added/"
QUEUE_FOUND_STATUS = 200
QUEUE_MISSING_STATUS = 404


@dataclasses.dataclass(frozen=True)
class Probe:
    """Response of a daemon to a request for the added queue.

    Attributes:
        daemon_id: The id of the daemon.
        process_id: The id of the process that answered.
        sent_s: The monotonic time of the request in seconds.
        ended_s: The monotonic time of the answer in seconds.
        status: `QUEUE_FOUND_STATUS` or `QUEUE_MISSING_STATUS`; other values
            are inconclusive.
    """

    daemon_id: str
    process_id: int
    sent_s: float
    ended_s: float
    status: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A configuration that was written to the store.

    Attributes:
        at_s: The monotonic time of the write in seconds.
        has_added: Whether the configuration contains the added queue.
    """

    at_s: float
    has_added: bool


class Configurations:
    """Configuration changes by the operator, and probes of all daemons.

    Attributes:
        changes: The changes, oldest first.
        probes: The probes, in the order of their answers.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.changes = [Change(float("-inf"), False)]
        self.probes: list[Probe] = []
        self._cluster = cluster
        self._version = FIRST_CHANGE_VERSION

    def change(self, has_added: bool) -> None:
        """Write a new configuration, with or without the added queue."""
        added = (ADDED_PREFIX,) if has_added else ()
        self._cluster.site.configure(self._version, added)
        self._version += 1
        self.changes.append(Change(time.monotonic(), has_added))

    def probe_forever(self, name: str) -> None:
        """Request the added queue from a daemon periodically."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            process = self._cluster.daemons[name].process
            sent_s = time.monotonic()
            reply = self._cluster.get(name, ADDED_PREFIX, PROBE_TIMEOUT_S)
            ended_s = time.monotonic()
            if process.poll() is None:
                self.probes.append(
                    Probe(name, process.pid, sent_s, ended_s, reply.status)
                )


def find_reverted(changes: list[Change], probes: list[Probe]) -> list[str]:
    """Find processes that went back to an older configuration.

    Args:
        changes: The changes, oldest first.
        probes: The probes, oldest first.

    Returns:
        A line for each probe that shows an older configuration.
    """
    violations = []
    # Index of the oldest change that a process may have in force according to
    # its earlier probes, by daemon and process id.
    oldest: dict[tuple[str, int], int] = {}
    for probe in filter(_is_conclusive, probes):
        key = (probe.daemon_id, probe.process_id)
        first = oldest.get(key, 0)
        possible = [
            index
            for index, change in enumerate(changes)
            if index >= first
            and change.has_added == (probe.status == QUEUE_FOUND_STATUS)
            and change.at_s <= probe.ended_s
        ]
        if possible:
            oldest[key] = possible[0]
        else:
            name = probe.daemon_id
            violations.append(f"{name} went back to an older configuration")
    return violations


def find_late_changes(
    changes: list[Change],
    probes: list[Probe],
    is_disturbed: Callable[[str, float, float], bool],
) -> list[str]:
    """Find daemons that did not apply a change in time.

    Args:
        changes: The changes, oldest first.
        probes: The probes, oldest first.
        is_disturbed: Called with a daemon id and two times; returns whether
            the daemon or the store was disturbed between them.

    Returns:
        A line for each probe that shows an outdated configuration.
    """
    violations = []
    for probe in filter(_is_conclusive, probes):
        required_until_s = probe.sent_s - APPLY_TIMEOUT_S
        # The latest change that the daemon must have applied by the probe.
        *_, required = (c for c in changes if c.at_s < required_until_s)
        allowed = {
            c.has_added
            for c in changes
            if required.at_s <= c.at_s <= probe.ended_s
        }
        is_late = (probe.status == QUEUE_FOUND_STATUS) not in allowed
        if is_late and not is_disturbed(
            probe.daemon_id, required.at_s, probe.ended_s
        ):
            violations.append(
                f"{probe.daemon_id} answered {probe.status} for the added"
                f" queue {probe.sent_s - required.at_s:.1f} s after the change"
            )
    return violations


def _is_conclusive(probe: Probe) -> bool:
    return probe.status in (QUEUE_FOUND_STATUS, QUEUE_MISSING_STATUS)
