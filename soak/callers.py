"""Callers that submit jobs to the daemons and record each answer."""

from collections.abc import Callable
import dataclasses
import random
import time

import gevent

from soak import clusters
from standins import site as sites

# The pause between two jobs of a caller and the properties of a job are drawn at
# random from these values.
JOB_PAUSE_RANGE_S = (0.02, 0.25)
TASK_COUNTS = (1, 2, 2, 4, 8)
RUN_TIMES_MS = (40, 60, 200, 600)
CPU_DEMANDS_MILLICORES = (9_000, 21_000, 27_000, 32_000)
# Timeout of the route in the site's configuration, and the time that an answer
# may take beyond it.
ROUTE_TIMEOUT_S = 3.0
ANSWER_SLACK_S = 0.6
# One in this many calls is abandoned before its answer.
ABANDONS_ONE_IN = 12


@dataclasses.dataclass
class Call:
    """A submitted job and its answer, as the caller sees them.

    Attributes:
        job_id: The id of the job.
        daemon_id: The daemon to which the job was submitted.
        tasks: The number of tasks of the job.
        sent_s: The monotonic time of submission in seconds.
        has_left: Whether the caller disconnects before the route's timeout,
            so that it may get no answer.
        ended_s: The monotonic time at which the call ended, or 0 while it is
            open.
        reply: The answer; status 0 means that there was none.
    """

    job_id: str
    daemon_id: str
    tasks: int
    sent_s: float
    has_left: bool
    ended_s: float = 0.0
    reply: clusters.Reply = clusters.Reply(0)


class Callers:
    """Concurrent callers of all daemons.

    Attributes:
        calls: All calls so far, including open ones.
    """

    def __init__(self, cluster: clusters.Cluster, rng: random.Random):
        self.calls: list[Call] = []
        self._cluster = cluster
        self._rng = rng
        self._greenlets: list[gevent.Greenlet] = []
        self._is_stopping = False

    def start(self, callers_per_daemon: int) -> None:
        """Start the given number of callers for each daemon."""
        for daemon_id in self._cluster.daemons:
            for _ in range(callers_per_daemon):
                self._greenlets.append(gevent.spawn(self._run, daemon_id))

    def stop(self, timeout_s: float) -> int:
        """Stop submitting jobs and wait for the open calls.

        Returns:
            The number of callers whose call did not end within the timeout.
        """
        self._is_stopping = True
        gevent.joinall(self._greenlets, timeout=timeout_s)
        return sum(not greenlet.ready() for greenlet in self._greenlets)

    def submit(self, daemon_id: str, timeout_s: float) -> Call:
        """Submit a random job to a daemon and wait until the call ends.

        Args:
            daemon_id: The id of the daemon.
            timeout_s: Seconds after which the caller disconnects.
        """
        rng = self._rng
        call = Call(
            job_id=f"{rng.getrandbits(64):016x}",
            daemon_id=daemon_id,
            tasks=rng.choice(TASK_COUNTS),
            sent_s=time.monotonic(),
            has_left=timeout_s < ROUTE_TIMEOUT_S,
        )
        body = sites.build_job(
            call.tasks,
            rng.choice(RUN_TIMES_MS),
            rng.choice(CPU_DEMANDS_MILLICORES),
        )
        self.calls.append(call)
        call.reply = self._cluster.submit(
            daemon_id, call.job_id, body, timeout_s
        )
        call.ended_s = time.monotonic()
        return call

    def _run(self, daemon_id: str) -> None:
        rng = self._rng
        while not self._is_stopping:
            abandons = rng.randrange(ABANDONS_ONE_IN) == 0
            full_timeout_s = ROUTE_TIMEOUT_S + ANSWER_SLACK_S
            # An abandoned call ends after 0.05 to 0.4 s.
            timeout_s = rng.uniform(0.05, 0.4) if abandons else full_timeout_s
            self.submit(daemon_id, timeout_s)
            gevent.sleep(rng.uniform(*JOB_PAUSE_RANGE_S))


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Poll a condition and return whether it held within the timeout."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        gevent.sleep(0.05)
    return condition()
