"""A site of two data centres whose daemons, links and workers are observed."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json
import random
import signal
import time
from typing import Any

import gevent
from gevent import socket

from bench.margins import links
from bench.margins import log_readers
from pollenladder.http import exchanges
from pollenladder.scheduling import sharing
from soak import clusters
from standins import site as standin_sites
from standins import site_worker

DATA_CENTRES = ("norte", "sur")
GROUPS = ("norte/0", "sur/0")
NAMES = ("norte-1", "sur-1", "norte-2", "sur-2", "norte-3")
WORKERS = 8
# So small that each data centre gets a group of its own.
CPU_SHARE = 0.015
# Callers of one queue wait for much longer than any measurement lasts. Those of the
# other one wait for the time that the stand-in site gives to added queues.
TIMEOUT_MS = 8_000
SHORT_PREFIX = "/short/"
SHORT_TIMEOUT_S = 3.0
RUN_MS = 7_000
# Declared for the queue whose callers wait for less than the task takes. Its owner may
# move the run once it sees that it takes long.
SHORT_ESTIMATE_MS = 2_000
TASK_CPU_MILLI = 5_000
SETTLE_TIMEOUT_S = 15.0
SETTLE_INTERVAL_S = 0.2
START_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 5.0


class NotReadyError(Exception):
    """The site or a job was not ready for a measurement in time."""


@dataclasses.dataclass(frozen=True)
class Line:
    """A line of a daemon's log.

    Attributes:
        at_s: When it was written, monotonic, in seconds.
        daemon_id: The daemon.
        fields: The fields of the line.
    """

    at_s: float
    daemon_id: str
    fields: dict[str, Any]


@dataclasses.dataclass(eq=False)
class Job:
    """A job of one task whose caller waits, and its last run.

    Attributes:
        job_id: The id of the job.
        gateway: The daemon that the caller is connected to.
        group: The group that the job first goes to.
        sent_s: When the job was sent, monotonic, in seconds.
        caller: The connection of the caller.
        run: The run; None until it has started.
        worker: The worker of the run; None until it has started.
        lease_end_s: When the lease of the run expires, as last observed while the run
            was under way; monotonic, in seconds.
    """

    job_id: str
    gateway: str
    group: str
    sent_s: float
    caller: socket.socket
    run: site_worker.Run | None = None
    worker: site_worker.SiteWorker | None = None
    lease_end_s: float = 0.0


class Site:
    """The daemons, links and workers of a site, and what they have done.

    Attributes:
        cluster: The processes.
        links: The relays of the links between daemons.
        lines: All log lines that were read so far, in the order of the reads.
        rng: Draws the ids of jobs and the times between two faults.
    """

    def __init__(self, add_cleanup: Callable, rng: random.Random):
        """Start the processes; `add_cleanup` registers what ends them."""
        self.rng = rng
        self.lines: list[Line] = []
        self.links = links.Links(NAMES)
        add_cleanup(self.links.close)
        self.cluster = clusters.Cluster(
            add_cleanup,
            list(NAMES),
            workers=WORKERS,
            rewrite=self.links.redirect,
            data_centres=DATA_CENTRES,
            cpu_share=CPU_SHARE,
            peer_address=links.RELAY_HOST,
        )
        self.cluster.site.configure(2, (SHORT_PREFIX,), TimeoutMs=TIMEOUT_MS)
        self._readers = {
            name: log_readers.LogReader(daemon.log)
            for name, daemon in self.cluster.daemons.items()
        }
        self._followed: dict[tuple[str, str], str] = {}
        self._frozen: set[str] = set()
        self._jobs: list[Job] = []

    def read_logs(self) -> None:
        """Read what the daemons have logged since the last call."""
        for name, reader in self._readers.items():
            for at_s, fields in reader.read_new():
                self.lines.append(Line(at_s, name, fields))
                if fields["event"] == "owner_changed":
                    self._followed[name, fields["group"]] = fields["owner"]

    def find_lines(self, event: str, since_s: float) -> Iterator[Line]:
        """Yield the lines of an event that were written since some time."""
        for line in self.lines:
            if line.at_s >= since_s and line.fields["event"] == event:
                yield line

    def get_owner(self, group: str) -> str:
        """Return the daemon that all others follow as the owner of a group.

        Raises:
            NotReadyError: They do not follow the same one.
        """
        owners = {self._followed.get((name, group), "") for name in NAMES}
        if len(owners) != 1 or "" in owners:
            raise NotReadyError(
                f"owners of {group}: {sorted(owners)}, {self._tell_resigned()}"
            )
        return owners.pop()

    def list_idle_daemons(self, data_centre: str) -> list[str]:
        """Return the daemons of a data centre that own no group."""
        owners = {self.get_owner(group) for group in GROUPS}
        return [
            name
            for name in NAMES
            if name.startswith(f"{data_centre}-") and name not in owners
        ]

    def is_settled(self) -> bool:
        """Return whether each group has one owner, in its own data centre."""
        self.read_logs()
        try:
            owners = {group: self.get_owner(group) for group in GROUPS}
        except NotReadyError:
            return False
        return all(
            owner.split("-")[0] == group.split("/")[0]
            for group, owner in owners.items()
        )

    def wait_until_settled(self) -> None:
        """Wait until all daemons are ready and each group has one owner.

        Raises:
            NotReadyError: This took too long.
        """
        self.cluster.wait_until_ready()
        with gevent.Timeout(SETTLE_TIMEOUT_S, NotReadyError("not settled")):
            while not self.is_settled():
                gevent.sleep(SETTLE_INTERVAL_S)
            # The owners poll their workers and tell their load.
            gevent.sleep(1.0)

    def start_job(
        self, gateway: str, group: str, prefix: str = standin_sites.PREFIX
    ) -> Job:
        """Submit a job of one task, and wait until its run has started.

        Raises:
            NotReadyError: The run did not start in time.
        """
        job_id = self._make_job_id(group)
        port = self.cluster.daemons[gateway].ports[0]
        caller = socket.create_connection(
            (standin_sites.HOST, port), CALL_TIMEOUT_S
        )
        job = Job(job_id, gateway, group, time.monotonic(), caller)
        caller.sendall(_build_request(port, prefix + job_id))
        self._jobs.append(job)
        limit = NotReadyError(f"the run of a job for {group} did not start")
        with gevent.Timeout(START_TIMEOUT_S, limit):
            while job.run is None:
                gevent.sleep(POLL_INTERVAL_S)
                self.find_run(job)
        return job

    def find_run(self, job: Job) -> None:
        """Find the last run of a job."""
        for worker in self.cluster.site.workers.values():
            for run in worker.history:
                is_later = job.run is None or run.number > job.run.number
                if run.task.startswith(job.job_id) and is_later:
                    job.run, job.worker = run, worker

    def cut(self, name: str, others: tuple[str, ...] = NAMES) -> None:
        """Drop all data between a daemon and others, silently."""
        self.links.cut |= {
            frozenset((name, other)) for other in others if other != name
        }

    def kill(self, name: str) -> None:
        """Kill a daemon."""
        self.cluster.signal(name, signal.SIGKILL)

    def freeze(self, name: str) -> None:
        """Suspend a daemon."""
        self._frozen.add(name)
        self.cluster.signal(name, signal.SIGSTOP)

    def recover(self) -> None:
        """End all faults and jobs, and wait until the site is settled.

        Raises:
            NotReadyError: This took too long.
        """
        for job in self._jobs:
            job.caller.close()
        self._jobs.clear()
        self.links.rejoin_all()
        while self._frozen:
            self.cluster.signal(self._frozen.pop(), signal.SIGCONT)
        for name, daemon in self.cluster.daemons.items():
            if daemon.process.poll() is not None:
                self.cluster.start(name)
        self.wait_until_settled()

    def _tell_resigned(self) -> str:
        """Return why an owner has last resigned."""
        lines = list(self.find_lines("ownership_resigned", 0.0))
        return f"last resigned: {lines[-1].fields['reason'] if lines else '-'}"

    def _make_job_id(self, group: str) -> str:
        while True:
            job_id = f"{self.rng.getrandbits(64):016x}"
            if sharing.choose_first_group(job_id, GROUPS) == group:
                return job_id


def _build_request(port: int, path: str) -> bytes:
    address = (standin_sites.HOST, port)
    head = exchanges.build_head(address, "POST", path)
    host = f"{standin_sites.HOST}:{port}".encode()
    head = head.replace(host, standin_sites.QUEUE_HOST.encode(), 1)
    body = json.loads(
        standin_sites.build_job(tasks=1, run_ms=RUN_MS, cpu=TASK_CPU_MILLI)
    )
    if path.startswith(SHORT_PREFIX):
        body["Steps"][0]["EstimateMs"] = SHORT_ESTIMATE_MS
    return exchanges.build_request(head, json.dumps(body).encode())
