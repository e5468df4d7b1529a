"""Records that wait to be written to the log at a limited rate.

A lost link may concern hundreds of records at once. They are written over the next
seconds instead of being dropped, up to a bound.
"""

from typing import Generic
from typing import TypeVar

T = TypeVar("T")

MAX_RECORDS_PER_S = 100
# More records are counted and not written.
MAX_PENDING = 2000


class RecordQueue(Generic[T]):
    """Records, the urgent ones first, in the order in which they were added."""

    def __init__(self):
        self._urgent: dict[int, T] = {}
        self._others: dict[int, T] = {}
        self._omitted = 0
        self._second_began_at = float("-inf")
        self._taken_this_second = 0

    def __len__(self) -> int:
        return len(self._urgent) + len(self._others)

    def add(self, record: T, is_urgent: bool = True) -> None:
        """Add a record unless it waits already; count it if there is no room.

        Args:
            record: The record.
            is_urgent: Whether it is written before those that are not.
        """
        key = id(record)
        if is_urgent:
            self._others.pop(key, None)
        elif key in self._urgent:
            return
        pending = self._urgent if is_urgent else self._others
        if len(pending) < MAX_PENDING or key in pending:
            pending[key] = record
        else:
            self._omitted += 1

    def take(self, now: float) -> list[T]:
        """Return and remove the records that may be written now.

        Args:
            now: Monotonic time in seconds.
        """
        if not self:
            return []
        if now >= self._second_began_at + 1.0:
            self._second_began_at = now
            self._taken_this_second = 0
        count = MAX_RECORDS_PER_S - self._taken_this_second
        taken = _take_first(self._urgent, count)
        taken += _take_first(self._others, count - len(taken))
        self._taken_this_second += len(taken)
        return taken

    def take_omitted(self) -> int:
        """Return and reset the number of records that are not written."""
        count, self._omitted = self._omitted, 0
        return count


def _take_first(pending: dict[int, T], count: int) -> list[T]:
    return [pending.pop(key) for key in list(pending)[:count]]
