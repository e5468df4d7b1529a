"""Callers that send a job again after a broken connection or no answer.

Some connections are broken by the caller. A half-open one stays open without a reader,
so that the daemon does not learn that the caller has gone.
"""

import dataclasses
import random
import time

import gevent
from gevent import socket

from pollenladder.http import responses
from soak import clusters
from soak import proxies
from standins import site as sites

# Ways in which the callers break connections.
RESET = "reset"
HALF_OPEN = "half_open"
BREAKS = {RESET: (RESET,), HALF_OPEN: (RESET, HALF_OPEN, HALF_OPEN)}
NO_ANSWER = "no answer"

# After no answer the job is sent again this much later: `ResendMs`.
RESEND_PAUSE_S = 1.3
TIME_BUDGET_MS = 1548
# A caller waits so much longer for its answer than its time budget.
ANSWER_SLACK_S = 0.2
CONNECT_TIMEOUT_S = 1.0
MAX_SENDS = 3
RESEND_STATUSES = (502, 504)
# One in so many requests meets a broken connection, this long after it was sent.
BREAKS_ONE_IN = 3
BREAK_RANGE_S = (0.01, 0.6)
# One in so many requests goes to a daemon of any data centre.
DISTANT_ONE_IN = 4
HALF_OPEN_S = 8.0
JOB_PAUSE_RANGE_S = (0.02, 0.25)
TASK_COUNTS = (1, 2, 4)
RUN_TIMES_MS = (60, 200, 600, 1200, 2700)
CPU_DEMANDS_MILLICORES = (9_000, 21_000)


@dataclasses.dataclass
class Request:
    """A job as it was sent once.

    Attributes:
        job_id: The id of the job.
        daemon_id: The daemon to which it was sent.
        sent_s: The monotonic time at which it was sent, in seconds.
        ended_s: When it was answered or broken off; 0 while it is open.
        end: The status of the answer, `NO_ANSWER`, or how the connection broke.
    """

    job_id: str
    daemon_id: str
    sent_s: float
    ended_s: float = 0.0
    end: str = ""


class Callers:
    """Concurrent callers of all data centres.

    Attributes:
        requests: All requests so far.
    """

    def __init__(
        self, cluster: clusters.Cluster, rng: random.Random, break_mode: str
    ):
        """Create the callers.

        Args:
            cluster: The daemons.
            rng: The source of all random choices.
            break_mode: A key of `BREAKS`.
        """
        self.requests: list[Request] = []
        self._cluster = cluster
        self._rng = rng
        self._breaks = BREAKS[break_mode]
        self._greenlets: list[gevent.Greenlet] = []
        self._is_stopping = False

    def start(self, callers_per_daemon: int) -> None:
        """Start the given number of callers for each daemon."""
        for daemon_id in self._cluster.daemons:
            for _ in range(callers_per_daemon):
                self._greenlets.append(gevent.spawn(self._run, daemon_id))

    def stop(self, timeout_s: float) -> None:
        """Submit no more jobs and wait for the open requests."""
        self._is_stopping = True
        gevent.joinall(self._greenlets, timeout=timeout_s)

    def count_ends(self) -> dict[str, int]:
        """Return the number of requests by how they ended."""
        counts: dict[str, int] = {}
        for request in self.requests:
            counts[request.end] = counts.get(request.end, 0) + 1
        return dict(sorted(counts.items()))

    def _run(self, daemon_id: str) -> None:
        while not self._is_stopping:
            self._submit(daemon_id)
            gevent.sleep(self._rng.uniform(*JOB_PAUSE_RANGE_S))

    def _submit(self, daemon_id: str) -> None:
        """Submit a job until it is answered, at most `MAX_SENDS` times."""
        job_id = f"{self._rng.getrandbits(64):016x}"
        body = sites.build_job(
            self._rng.choice(TASK_COUNTS),
            self._rng.choice(RUN_TIMES_MS),
            self._rng.choice(CPU_DEMANDS_MILLICORES),
        )
        for attempt in range(MAX_SENDS):
            if attempt:
                gevent.sleep(RESEND_PAUSE_S)
            target = self._choose_daemon(daemon_id)
            request = Request(job_id, target, time.monotonic())
            self.requests.append(request)
            request.end = self._send(target, job_id, body)
            request.ended_s = time.monotonic()
            if request.end.isdigit() and int(request.end) not in (
                RESEND_STATUSES
            ):
                return

    def _choose_daemon(self, daemon_id: str) -> str:
        daemons = self._cluster.daemons
        if self._rng.randrange(DISTANT_ONE_IN) == 0:
            return self._rng.choice(list(daemons))
        data_centre = daemons[daemon_id].data_centre
        return self._rng.choice(
            [d for d in daemons if daemons[d].data_centre == data_centre]
        )

    def _send(self, daemon_id: str, job_id: str, body: bytes) -> str:
        """Send a request and return how it ended."""
        address = (proxies.HOST, self._cluster.daemons[daemon_id].ports[0])
        way = self._draw_break()
        wait_s = TIME_BUDGET_MS / 1000 + ANSWER_SLACK_S
        if way:
            wait_s = self._rng.uniform(*BREAK_RANGE_S)
        try:
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            return NO_ANSWER
        sock.settimeout(None)
        path = sites.PREFIX + job_id
        fields = clusters.build_budget_field(TIME_BUDGET_MS)
        request = clusters.build_request(address, "POST", path, body, fields)
        end = _exchange(sock, request, wait_s)
        if end == NO_ANSWER and way:
            _break(sock, way)
            return way
        sock.close()
        return end

    def _draw_break(self) -> str:
        if self._rng.randrange(BREAKS_ONE_IN):
            return ""
        return self._rng.choice(self._breaks)


def _exchange(sock: socket.socket, request: bytes, wait_s: float) -> str:
    """Return the status of the answer, or `NO_ANSWER` if none came in time."""
    response = None
    try:
        with gevent.Timeout(wait_s, False):
            sock.sendall(request)
            response = responses.receive_response(
                sock, responses.ResponseParser
            )
    except OSError:
        return NO_ANSWER
    return str(response.status) if response else NO_ANSWER


def _break(sock: socket.socket, way: str) -> None:
    """Break a connection, or leave it open without a reader for a while."""
    if way == RESET:
        proxies.reset(sock)
    else:
        gevent.spawn_later(HALF_OPEN_S, sock.close)
