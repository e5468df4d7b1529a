"""Jobs without an estimate; then all daemons are killed, and nobody serves.

With `TROUBLE=0` the same jobs come with an estimate, and no daemon is killed.
With `ESTIMATE=1` they come with an estimate, and the daemons are killed. With
`KILL=0` they come without one, and no daemon is killed.
"""

from collections.abc import Callable
import json
import os
import pathlib
import signal
import time

import gevent

from review import cases
from review import rig as rigs

RUN_MS = 900
JOB_PAUSE_S = 0.3
USUAL_PAUSE_S = 0.1
CALM_S = 8.0
DOWN_S = 1.3
RECOVERY_S = 12.0
MEASURED_S = 10.0
# The rule compares with a quarter of the requests.
SERVED_SHARE = 0.25


class Traffic:
    """Clients that send jobs at a fixed rate, to all daemons in turn.

    Attributes:
        replies: The answers to the first send of each job.
    """

    def __init__(
        self,
        rig: rigs.Rig,
        prefix: str,
        pause_s: float,
        build_body: Callable[[], bytes],
    ):
        self.replies: list[rigs.Reply] = []
        self.is_stopping = False
        self._rig = rig
        self._prefix = prefix
        self._pause_s = pause_s
        self._build_body = build_body
        self._calls: list[gevent.Greenlet] = []

    def run(self) -> None:
        """Send jobs until `is_stopping` is set."""
        index = 0
        while not self.is_stopping:
            self._calls.append(gevent.spawn(self._send, index))
            index += 1
            gevent.sleep(self._pause_s)

    def stop(self) -> None:
        """Stop, and wait for the calls in progress."""
        self.is_stopping = True
        gevent.joinall(self._calls)

    def _send(self, index: int) -> None:
        """Send a job; send it again after 504, 502 or no answer."""
        path = self._prefix + rigs.make_job_id()
        body = self._build_body()
        is_first = True
        while is_first or not self.is_stopping:
            daemon = self._rig.daemons[index % len(self._rig.daemons)]
            index += 1
            reply = self._rig.call(daemon, "POST", path, body)
            if is_first:
                self.replies.append(reply)
            is_first = False
            if reply.status not in (0, 502, 504):
                return
            gevent.sleep(rigs.RESEND_S)


def run(record: rigs.Record, has_trouble: bool) -> bool:
    """Run the case; return whether less than a quarter is served."""
    has_estimate = not has_trouble or os.environ.get("ESTIMATE") == "1"
    kills = has_trouble and os.environ.get("KILL", "1") != "0"
    rig = rigs.Rig(record, prefixes=("/orders/", "/lookups/"))
    usual = Traffic(
        rig, "/orders/", USUAL_PAUSE_S, lambda: rigs.build_job(2, 60)
    )
    others = Traffic(
        rig, "/lookups/", JOB_PAUSE_S, lambda: _build_job(has_estimate)
    )
    try:
        rig.start_all()
        gevent.spawn(usual.run)
        gevent.sleep(CALM_S)
        gevent.spawn(others.run)
        gevent.sleep(1.0)
        fault_s = time.monotonic()
        if kills:
            _kill_and_restart(rig)
        gevent.sleep(RECOVERY_S)
        began_s = time.monotonic()
        gevent.sleep(MEASURED_S)
        usual.stop()
        others.stop()
        replies = usual.replies + others.replies
        before = _measure_share([r for r in replies if r.sent_s < fault_s])
        after = _measure_share([r for r in replies if r.sent_s > began_s])
        ready = [d.name for d in rig.daemons if rig.is_ready(d)]
        record.write(f"served before {before:.2f}, after {after:.2f}")
        record.write(f"ready: {ready}")
        rig.write_runs()
        return before >= SERVED_SHARE > after
    finally:
        rig.close()


def _build_job(has_estimate: bool) -> bytes:
    """Return a job of one task; fields whose value is 0 are omitted."""
    body = rigs.build_job(1, RUN_MS)
    if has_estimate:
        return body
    job = json.loads(body)
    del job["Steps"][0]["EstimateMs"]
    return json.dumps(job).encode()


def _kill_and_restart(rig: rigs.Rig) -> None:
    for daemon in rig.daemons:
        rig.signal(daemon, signal.SIGKILL)
    gevent.sleep(DOWN_S)
    for daemon in rig.daemons:
        rig.start(daemon)


def _measure_share(replies: list[rigs.Reply]) -> float:
    """Return the share of requests that were completed."""
    served = sum(reply.state == "completed" for reply in replies)
    return served / max(1, len(replies))


if __name__ == "__main__":
    cases.main(pathlib.Path(__file__).parent, run)
