"""A simulated network: which machines reach each other, and how fast."""

from collections.abc import Callable
from collections.abc import Iterable

from tests.scheduling.overlaps import schedules

# Time that a message takes within a data centre, and between two.
NEAR_S = (0.0002, 0.0008)
FAR_S = (0.002, 0.006)
# First wait until TCP sends again what was lost; each further one is twice as long.
RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6


class Network:
    """The machines, and the directions in which they reach each other.

    Attributes:
        schedule: What is still to happen.
        data_centres: The data centre of each machine.
    """

    def __init__(
        self, schedule: schedules.Schedule, data_centres: dict[str, str]
    ):
        self.schedule = schedule
        self.data_centres = data_centres
        self._cuts: dict[tuple[str, str], int] = {}

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Lose what some machines send to others."""
        self._count_cuts(senders, receivers, 1)

    def heal(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """End a cut."""
        self._count_cuts(senders, receivers, -1)

    def _count_cuts(
        self, senders: Iterable[str], receivers: Iterable[str], change: int
    ) -> None:
        receivers = list(receivers)
        for sender in senders:
            for receiver in receivers:
                pair = (sender, receiver)
                self._cuts[pair] = self._cuts.get(pair, 0) + change

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether messages in one direction arrive."""
        return not self._cuts.get((sender, receiver))

    def is_open(self, one: str, other: str) -> bool:
        """Return whether messages in both directions arrive."""
        return self.reaches(one, other) and self.reaches(other, one)

    def draw_latency_s(self, sender: str, receiver: str) -> float:
        """Return the time that a message takes, in seconds."""
        is_near = self.data_centres[sender] == self.data_centres[receiver]
        return self.schedule.random.uniform(*(NEAR_S if is_near else FAR_S))

    def deliver(
        self,
        sender: str,
        receiver: str,
        process: schedules.Process | None,
        function: Callable,
        *arguments: object,
    ) -> None:
        """Call a function at the receiver, like TCP: late while there is a cut."""
        latency_s = self.draw_latency_s(sender, receiver)
        self.schedule.call_later(
            latency_s,
            None,
            self._attempt,
            sender,
            receiver,
            RETRANSMISSION_S,
            process,
            function,
            arguments,
        )

    def _attempt(
        self,
        sender: str,
        receiver: str,
        wait_s: float,
        process: schedules.Process | None,
        function: Callable,
        arguments: tuple,
    ) -> None:
        if self.reaches(sender, receiver):
            self.schedule.call_later(0.0, process, function, *arguments)
            return
        self.schedule.call_later(
            wait_s,
            None,
            self._attempt,
            sender,
            receiver,
            min(MAX_RETRANSMISSION_S, 2 * wait_s),
            process,
            function,
            arguments,
        )
