"""The last check of a round: each daemon serves a job once all faults are over.

An owner whose event loop runs late sheds some new jobs. Such a refusal tells when to
come back, so a daemon counts as serving if it completes a job after that.
"""

import time

import gevent

from soak import callers

# Status of a refusal, after which the caller may come back.
REFUSED_STATUS = 429
RETRY_PAUSE_S = 1.0


def submit_until_served(
    submitter: callers.Callers, daemon_id: str, timeout_s: float
) -> callers.Call:
    """Submit jobs to a daemon until one is not refused, or until the timeout.

    Returns:
        The last call.
    """
    end_s = time.monotonic() + timeout_s
    while True:
        call = submitter.submit(daemon_id, timeout_s)
        is_refused = call.reply.status == REFUSED_STATUS
        if not is_refused or time.monotonic() + RETRY_PAUSE_S > end_s:
            return call
        gevent.sleep(RETRY_PAUSE_S)
