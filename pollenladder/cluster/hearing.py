"""Which daemons count as heard, while there is an owner and without one.

Answers large regions, in which daemons beat seldom: who has lost its owner first
hears for a moment which of the others are left, and until then claims nothing.
"""

from pollenladder.cluster import cadence
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters


class Hearing:
    """Who is heard by one daemon.

    Attributes:
        ownerless_since: When it last began to follow another owner or none.
    """

    def __init__(self, roster: rosters.Roster, now: float):
        self.ownerless_since = now
        self._roster = roster

    def list_heard(
        self, has_owner: bool, now: float
    ) -> dict[str, ownership.View]:
        """Return who is heard; without an owner, only who is left."""
        if has_owner or self.is_going_on(has_owner, now):
            return self._roster.list_heard()
        if not cadence.beats_seldom(len(self._roster.peers)):
            return self._roster.list_heard()
        return self._roster.list_heard(now - cadence.OWNER_SILENCE_S)

    def is_going_on(self, has_owner: bool, now: float) -> bool:
        """Return whether some have not yet spoken since the owner was lost."""
        if has_owner or not cadence.beats_seldom(len(self._roster.peers)):
            return False
        fresh = self._roster.list_heard(self.ownerless_since)
        return (
            now < self.ownerless_since + cadence.FRESH_S
            and fresh.keys() != self._roster.list_heard().keys()
        )
