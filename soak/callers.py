"""Callers that submit jobs over connections they keep, and note each answer."""

from collections.abc import Callable
import dataclasses
import random
import time

import gevent

from soak import clusters
from standins import site as sites

# Between two jobs of a caller, and what its jobs are like.
PAUSE_S = (0.02, 0.25)
TASKS = (1, 2, 2, 4, 8)
RUNS_MS = (40, 60, 200, 600)
CPU_MILLI = (9_000, 21_000, 27_000, 32_000)
# A route's timeout, and what an answer may take beyond it.
ROUTE_TIMEOUT_S = 3.0
ANSWER_SLACK_S = 0.6
# One caller in so many leaves before its answer.
LEAVES_ONE_IN = 12


@dataclasses.dataclass
class Call:
    """One job as its caller saw it.

    Attributes:
        job_id: The job.
        daemon_id: Where it was submitted.
        tasks: Its tasks.
        sent_s: When, by the monotonic clock.
        has_left: Whether the caller left before the answer.
        ended_s: When the answer or the end of the connection came.
        reply: The answer; status 0 is a broken connection.
    """

    job_id: str
    daemon_id: str
    tasks: int
    sent_s: float
    has_left: bool
    ended_s: float = 0.0
    reply: clusters.Reply = clusters.Reply(0)


class Callers:
    """Callers of all daemons.

    Attributes:
        calls: All calls so far; those without an end are open.
    """

    def __init__(self, cluster: clusters.Cluster, source: random.Random):
        self.calls: list[Call] = []
        self._cluster = cluster
        self._source = source
        self._greenlets: list[gevent.Greenlet] = []
        self._is_stopping = False

    def start(self, each: int) -> None:
        """Let callers come, so many for each daemon."""
        for name in self._cluster.daemons:
            for _ in range(each):
                self._greenlets.append(gevent.spawn(self._run, name))

    def stop(self, timeout_s: float) -> int:
        """Submit no more; return how many calls have no end in time."""
        self._is_stopping = True
        gevent.joinall(self._greenlets, timeout=timeout_s)
        return sum(not greenlet.ready() for greenlet in self._greenlets)

    def submit(self, name: str, timeout_s: float) -> Call:
        """Submit one job and wait for its end."""
        source = self._source
        call = Call(
            job_id=f"{source.getrandbits(64):016x}",
            daemon_id=name,
            tasks=source.choice(TASKS),
            sent_s=time.monotonic(),
            has_left=timeout_s < ROUTE_TIMEOUT_S,
        )
        body = sites.build_job(
            call.tasks, source.choice(RUNS_MS), source.choice(CPU_MILLI)
        )
        self.calls.append(call)
        call.reply = self._cluster.submit(name, call.job_id, body, timeout_s)
        call.ended_s = time.monotonic()
        return call

    def _run(self, name: str) -> None:
        source = self._source
        while not self._is_stopping:
            leaves = source.randrange(LEAVES_ONE_IN) == 0
            longest_s = ROUTE_TIMEOUT_S + ANSWER_SLACK_S
            timeout_s = source.uniform(0.05, 0.4) if leaves else longest_s
            self.submit(name, timeout_s)
            gevent.sleep(source.uniform(*PAUSE_S))


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait for a condition; return whether it came to hold."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        gevent.sleep(0.05)
    return condition()
