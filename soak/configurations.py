"""Changes of the configuration, and what each daemon makes of them."""

from collections.abc import Callable
import dataclasses
import time

import gevent

from soak import clusters

PROBE_S = 0.25
PROBE_TIMEOUT_S = 1.0
# A change is in force within this time, if nothing else goes wrong.
IN_FORCE_S = 2.0
# The cluster's own is the first one; the added queue comes and goes.
FIRST_VERSION = 2
ADDED_PREFIX = "/added/"
KNOWN = 200
UNKNOWN = 404


@dataclasses.dataclass(frozen=True)
class Probe:
    """Whether a daemon knew the added queue.

    Attributes:
        daemon_id: The daemon.
        process_id: Of the process that answered.
        sent_s: When it was asked, by the monotonic clock.
        ended_s: When it answered.
        status: `KNOWN`, or `UNKNOWN`; all others tell nothing.
    """

    daemon_id: str
    process_id: int
    sent_s: float
    ended_s: float
    status: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A configuration that was written.

    Attributes:
        at_s: When, by the monotonic clock.
        has_added: Whether it has the added queue.
    """

    at_s: float
    has_added: bool


class Configurations:
    """The operator's changes, and probes of all daemons.

    Attributes:
        changes: In order of time.
        probes: In order of time.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.changes = [Change(float("-inf"), False)]
        self.probes: list[Probe] = []
        self._cluster = cluster
        self._version = FIRST_VERSION

    def change(self, has_added: bool) -> None:
        """Write a newer configuration, with the added queue or without."""
        added = (ADDED_PREFIX,) if has_added else ()
        self._cluster.site.configure(self._version, added)
        self._version += 1
        self.changes.append(Change(time.monotonic(), has_added))

    def probe_forever(self, name: str) -> None:
        """Ask a daemon again and again for the added queue."""
        while True:
            gevent.sleep(PROBE_S)
            process = self._cluster.daemons[name].process
            sent_s = time.monotonic()
            reply = self._cluster.get(name, ADDED_PREFIX, PROBE_TIMEOUT_S)
            ended_s = time.monotonic()
            if process.poll() is None:
                self.probes.append(
                    Probe(name, process.pid, sent_s, ended_s, reply.status)
                )


def find_reverted(changes: list[Change], probes: list[Probe]) -> list[str]:
    """Return a line for each process that went back to an older change.

    Args:
        changes: In order of time.
        probes: Likewise.
    """
    broken = []
    # The oldest change that a process may have in force, by what it has shown.
    oldest: dict[tuple[str, int], int] = {}
    for probe in filter(_is_telling, probes):
        key = (probe.daemon_id, probe.process_id)
        first = oldest.get(key, 0)
        possible = [
            index
            for index, change in enumerate(changes)
            if index >= first
            and change.has_added == (probe.status == KNOWN)
            and change.at_s <= probe.ended_s
        ]
        if possible:
            oldest[key] = possible[0]
        else:
            name = probe.daemon_id
            broken.append(f"{name} went back to an older configuration")
    return broken


def find_late(
    changes: list[Change],
    probes: list[Probe],
    is_disturbed: Callable[[str, float, float], bool],
) -> list[str]:
    """Return a line for each probe that shows a change not in force in time.

    Args:
        changes: In order of time.
        probes: Likewise.
        is_disturbed: Tells whether a daemon, or the store, was disturbed
            between two times.
    """
    broken = []
    for probe in filter(_is_telling, probes):
        due_until_s = probe.sent_s - IN_FORCE_S
        *_, due = (c for c in changes if c.at_s < due_until_s)
        allowed = {
            c.has_added for c in changes if due.at_s <= c.at_s <= probe.ended_s
        }
        is_late = (probe.status == KNOWN) not in allowed
        if is_late and not is_disturbed(
            probe.daemon_id, due.at_s, probe.ended_s
        ):
            broken.append(
                f"{probe.daemon_id} answered {probe.status} for the added"
                f" queue {probe.sent_s - due.at_s:.1f} s after the change"
            )
    return broken


def _is_telling(probe: Probe) -> bool:
    return probe.status in (KNOWN, UNKNOWN)
