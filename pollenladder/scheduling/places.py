"""Where jobs are: the group of each job, as its registrar knows it.

The gateway of a job asks the registrar before it sends the job to a group. The first
answer for a job names the group that the gateway asks for; later ones name the group
that may execute the job, until its deadline, and afterwards for as long as runs may be
left or an answer is repeated there.
"""

import dataclasses
import heapq

# Expired places that are removed with each one that is added.
REMOVED_PER_ADDITION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The group of a job.

    Attributes:
        group: The group.
        until: Monotonic time in seconds after which no run is left there.
        attempts: The attempts that may be there.
    """

    group: str
    until: float
    attempts: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """What a registrar answers to the gateway of an attempt.

    Attributes:
        group: The group that may execute the job.
        is_first: Whether no other attempt of the job is known.
    """

    group: str
    is_first: bool


class Places:
    """The groups of the jobs of which this owner is the registrar."""

    def __init__(self):
        self._places: dict[str, Place] = {}
        # When each place that was recorded expires, as a heap.
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._places)

    def find(self, job_id: str, now: float) -> Place | None:
        """Return where a job may be, or None if it is not known."""
        place = self._places.get(job_id)
        return place if place is not None and now < place.until else None

    def record(self, job_id: str, place: Place, now: float) -> None:
        """Record the place of an attempt; others may be there, or elsewhere."""
        known = self._places.get(job_id)
        if known is not None:
            place = _combine(known, place)
        self._places[job_id] = place
        heapq.heappush(self._expiries, (place.until, job_id))
        self._remove_expired(now)

    def release(self, job_id: str, attempt: int) -> None:
        """Forget a refused attempt, of which no group has begun the job."""
        known = self._places.get(job_id)
        if known is None:
            return
        left = known.attempts - {attempt}
        if left:
            self._places[job_id] = dataclasses.replace(known, attempts=left)
        else:
            del self._places[job_id]

    def _remove_expired(self, now: float) -> None:
        for _ in range(REMOVED_PER_ADDITION):
            if not self._expiries or now < self._expiries[0][0]:
                return
            _, job_id = heapq.heappop(self._expiries)
            if self.find(job_id, now) is None:
                self._places.pop(job_id, None)


def _combine(known: Place, told: Place) -> Place:
    """Return the place of a job that is known in one place and told to be in another.

    Of two groups, the one whose attempts last longer counts.
    """
    if known.group == told.group:
        until = max(told.until, known.until)
        return Place(told.group, until, told.attempts | known.attempts)
    others = known.attempts - told.attempts
    if others and known.until > told.until:
        return dataclasses.replace(known, attempts=others)
    return told
