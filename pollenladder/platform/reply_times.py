"""Choose how long to wait for the reply to an order, by the replies before it.

The load that this answers: a worker leaves some orders unanswered. Its other tasks
wait for the one whose start is unconfirmed, and the job is late unless the worker is
soon asked what it runs. As for a retransmission in TCP (RFC 6298), the time limit is
the smoothed reply time plus a multiple of its mean deviation.
"""

# Weights of the newest reply in the smoothed reply time and in its mean deviation.
TIME_RATE = 1 / 8
DEVIATION_RATE = 1 / 4
DEVIATION_FACTOR = 4.0
# Bounds of the time limit. The upper one applies until there is a reply.
MIN_TIMEOUT_S = 0.04
MAX_TIMEOUT_S = 0.12


class ReplyTimes:
    """The recent reply times of one worker."""

    def __init__(self):
        self._smoothed_s = 0.0
        self._deviation_s = 0.0
        self._timeouts = 0
        self._has_reply = False

    def record(self, took_s: float) -> None:
        """Record the time that a reply took, in seconds."""
        self._timeouts = 0
        if not self._has_reply:
            self._has_reply = True
            self._smoothed_s = took_s
            self._deviation_s = took_s / 2
            return
        difference_s = took_s - self._smoothed_s
        self._smoothed_s += TIME_RATE * difference_s
        self._deviation_s += DEVIATION_RATE * (
            abs(difference_s) - self._deviation_s
        )

    def record_timeout(self) -> None:
        """Record that a reply did not arrive in time; the next one may take longer."""
        self._timeouts += 1

    def choose_timeout_s(self) -> float:
        """Return how long to wait for the next reply, in seconds."""
        if not self._has_reply:
            return MAX_TIMEOUT_S
        usual_s = self._smoothed_s + DEVIATION_FACTOR * self._deviation_s
        doublings = min(self._timeouts, 8)
        timeout_s = max(MIN_TIMEOUT_S, usual_s) * 2**doublings
        return min(MAX_TIMEOUT_S, timeout_s)
