"""Beats, and what follows from them: who owns the workers."""

from collections.abc import Callable
import dataclasses
import logging

import gevent
from gevent import event

from pollenladder.cluster import cadence
from pollenladder.cluster import epochs
from pollenladder.cluster import hearing
from pollenladder.cluster import messages
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.logs import lines as logs
from pollenladder.service import lateness

LOGGER = logging.getLogger(__name__)

# Between two decisions.
STEP_S = 0.1
# A daemon that has just started first hears whether there is an owner.
BOOT_GRACE_S = 0.8
# A store that fails for a moment is not taken for lost.
PATIENCE_S = 1.0
OWNER_PATIENCE_S = 1.8
# A fenced owner waits so long to hear of another one.
FENCED_S = 0.3


@dataclasses.dataclass(frozen=True)
class Outlets:
    """What the leadership asks and whom it tells.

    Attributes:
        broadcast: Sends a message to all linked daemons.
        claim: Makes this daemon the owner, with an epoch.
        resign: Ends its ownership.
        on_owner: Called when another owner, or none, is followed.
        on_forgotten: Called with a daemon that has long been away.
        count_reached: Returns how many workers the owner reaches.
        count_pending: Returns jobs that have not begun, by queue.
        reads_store: Returns whether the platform's store has answered within
            some seconds.
        knows_all: Returns whether the other daemons have been read from the
            store.
        get_version: Returns the configuration's version.
        is_leaving: Returns whether this daemon is shutting down.
        is_cut_off_with_zone: Returns whether workers are reached in this data
            centre alone.
        is_owner_silent: Returns whether the store shows that no owner lives.
    """

    broadcast: Callable[[object], None]
    claim: Callable[[int], None]
    resign: Callable[[], None]
    on_owner: Callable[[str], None]
    on_forgotten: Callable[[str], None]
    count_reached: Callable[[], int]
    count_pending: Callable[[], dict[str, int]]
    reads_store: Callable[[float], bool]
    knows_all: Callable[[], bool]
    get_version: Callable[[], int]
    is_leaving: Callable[[], bool]
    is_cut_off_with_zone: Callable[[], bool]
    is_owner_silent: Callable[[], bool]


class Leadership:
    """Who owns the workers, as this daemon sees it.

    Attributes:
        owner_id: The owner that is followed, which may be this one, or "".
        lateness: How late the event loop runs.
    """

    def __init__(
        self,
        own_id: str,
        processor_cores: float,
        roster: rosters.Roster,
        outlets: Outlets,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
    ):
        self.owner_id = ""
        self.lateness = lateness.Lateness()
        self._own_id = own_id
        self._processor_cores = processor_cores
        self._roster = roster
        self._outlets = outlets
        self._clock = clock
        self._wall_clock = wall_clock
        self._epoch = 0
        self._fenced_at: float | None = None
        self._highest_epoch = 0
        self._beat_at = float("-inf")
        self._told: tuple = ()
        self._is_greeting = False
        self._hearing = hearing.Hearing(roster, clock())
        self._owners_at: list[float] = []
        self._yields_until = clock() + BOOT_GRACE_S
        self._is_booting = True
        self._wake = event.Event()

    @property
    def is_owner(self) -> bool:
        """Whether this daemon is the owner."""
        return self._epoch > 0

    def wake(self) -> None:
        """Decide anew now."""
        self._wake.set()

    def take_beat(self, daemon_id: str, beat: messages.Beat) -> None:
        """Note what another daemon says."""
        self._roster.record_beat(daemon_id, beat, self._clock())
        self._highest_epoch = max(self._highest_epoch, beat.epoch)
        if beat.is_owner != (daemon_id == self.owner_id):
            self.wake()

    def take_fenced(self, worker_id: str) -> None:
        """Note that a worker has seen a higher epoch than ours.

        Whoever has been frozen knows no better than before: beats that tell of
        the new owner are about to come.
        """
        if self.is_owner and self._fenced_at is None:
            self._fenced_at = self._clock()
            logs.log(
                LOGGER,
                "fenced",
                logging.WARNING,
                worker=worker_id,
                epoch=self._epoch,
            )

    def _settle_fenced(self) -> None:
        """Outbid an owner that is not heard, or give up, after a while."""
        now = self._clock()
        if self._fenced_at is None or now < self._fenced_at + FENCED_S:
            return
        self._fenced_at = None
        heard = self._roster.list_heard()
        hears_most = ownership.hears_most(self._roster.list_known(), heard)
        if hears_most and not ownership.is_apart(self._own_id, heard):
            height = epochs.leap(self._epoch)
            self._highest_epoch = max(self._highest_epoch, height)
            self._claim("fenced by an owner that is not heard")
        else:
            self._resign("fenced")

    def run(self) -> None:
        """Decide and beat, for ever."""
        while True:
            self.step()
            self.beat()
            before = self._clock()
            woken = self._wake.wait(STEP_S)
            self._wake.clear()
            if not woken:
                late_s = max(0.0, self._clock() - before - STEP_S)
                self.lateness.record(late_s, self.is_owner)

    def get_shed_share(self) -> float:
        """Return the share of new jobs that the owner does not take."""
        if self.is_owner:
            return self.lateness.shed_share
        peer = self._roster.peers.get(self.owner_id)
        return peer.beat.shed_share if peer and peer.beat else 0.0

    def step(self) -> None:
        """Decide once."""
        self._settle_fenced()
        now = self._clock()
        for daemon_id in self._roster.forget_lost(now):
            logs.log(LOGGER, "daemon_forgotten", peer=daemon_id)
            self._outlets.on_forgotten(daemon_id)
        self._notice_lost_owner()
        has_owner = bool(self.owner_id)
        heard = self._hearing.list_heard(has_owner, now)
        known = self._roster.list_known()
        is_cut_off = (
            not self.owner_id or self.owner_id not in heard
        ) and not ownership.hears_most(known, heard)
        situation = ownership.Situation(
            own_id=self._own_id,
            own=self._view_self(),
            heard=heard,
            known=known,
            is_cut_off_with_zone=(
                is_cut_off and self._outlets.is_cut_off_with_zone()
            ),
            may_claim_alone=self._outlets.is_owner_silent(),
            recent_owners=self._count_recent_owners(now),
        )
        decision, owner_id = ownership.decide(situation)
        is_claim = decision is ownership.Decision.CLAIM
        if is_claim and self._hearing.is_going_on(has_owner, now):
            # It comes to know who is left.
            self._follow("")
        elif is_claim:
            self._claim(f"hears {len(heard)} of {len(known) - 1}")
        elif decision is ownership.Decision.RESIGN:
            self._resign("hands over", owner_id)
        else:
            self._follow(owner_id)

    def _notice_lost_owner(self) -> None:
        """Follow nobody once the owner is not heard any more."""
        if self.owner_id in ("", self._own_id):
            return
        if self.owner_id not in self._roster.list_heard():
            self._follow("")

    def _view_self(self) -> ownership.View:
        return ownership.View(
            is_owner=self.is_owner,
            epoch=self._epoch,
            workers_reached=self._outlets.count_reached(),
            reads_store=self._reads_store(),
            lag_s=self.lateness.lag_s,
            is_leaving=self._outlets.is_leaving(),
            is_yielding=self._is_yielding(),
            processor_cores=self._processor_cores,
        )

    def _reads_store(self) -> bool:
        """Return whether the store answers, as far as it matters here.

        An owner is more patient than its peers, which so all know when the
        store is away for everybody.
        """
        patience_s = OWNER_PATIENCE_S if self.is_owner else PATIENCE_S
        return self._outlets.reads_store(patience_s)

    def _is_yielding(self) -> bool:
        if self._clock() >= self._yields_until:
            return False
        if not self._is_booting:
            return True
        # Who hears all the others need not wait for more to come.
        known = self._roster.list_known() - {self._own_id}
        hears_all = known <= self._roster.list_heard().keys()
        return not (known and hears_all and self._outlets.knows_all())

    def beat(self) -> None:
        """Tell all what this daemon is, if it is time or that has changed."""
        now = self._clock()
        beat = self.build_beat()
        interval_s = cadence.choose_beat_s(
            len(self._roster.peers), self.is_owner, bool(self.owner_id)
        )
        is_due = now >= self._beat_at + interval_s - STEP_S / 2
        is_news = _get_standing(beat) != self._told
        if is_due or is_news or self._is_greeting:
            self._is_greeting = False
            self._beat_at = now
            self._told = _get_standing(beat)
            self._outlets.broadcast(beat)

    def greet(self) -> None:
        """Beat at once, as a daemon has just been linked."""
        self._is_greeting = True
        self.wake()

    def build_beat(self) -> messages.Beat:
        """Return what this daemon says of itself."""
        own = self._view_self()
        return messages.Beat(
            is_owner=own.is_owner,
            epoch=max(own.epoch, 0 if own.is_owner else self._highest_epoch),
            workers_reached=own.workers_reached,
            reads_store=own.reads_store,
            config_version=self._outlets.get_version(),
            lag_s=own.lag_s,
            is_leaving=own.is_leaving,
            # One that boots is waited for, so that not two claim at once.
            is_yielding=own.is_yielding and not self._is_booting,
            pending=self._outlets.count_pending(),
            processor_cores=own.processor_cores,
            follows=self.owner_id,
            shed_share=self.lateness.shed_share,
        )

    def _claim(self, reason: str) -> None:
        self._epoch = epochs.make_epoch(
            self._own_id, self._wall_clock(), self._highest_epoch
        )
        self._highest_epoch = self._epoch
        logs.log(LOGGER, "ownership_claimed", epoch=self._epoch, reason=reason)
        self._outlets.claim(self._epoch)
        self._follow(self._own_id)

    def _resign(self, reason: str, owner_id: str = "") -> None:
        logs.log(
            LOGGER,
            "ownership_resigned",
            epoch=self._epoch,
            reason=reason,
            owner=owner_id,
        )
        self._epoch = 0
        self._fenced_at = None
        self._yields_until = self._clock() + ownership.YIELD_S
        self._is_booting = False
        self._outlets.resign()
        self._follow(owner_id)
        self.beat()

    def _follow(self, owner_id: str) -> None:
        if owner_id == self.owner_id:
            return
        logs.log(LOGGER, "owner_changed", owner=owner_id, before=self.owner_id)
        self.owner_id = owner_id
        now = self._clock()
        self._hearing.ownerless_since = now
        if owner_id:
            self._owners_at.append(now)
        self._outlets.on_owner(owner_id)

    def _count_recent_owners(self, now: float) -> int:
        since = now - ownership.RESTLESS_S
        self._owners_at = [at for at in self._owners_at if at > since]
        return len(self._owners_at)


def _get_standing(beat: messages.Beat) -> tuple:
    """Return the part of a beat that others have to hear of at once."""
    return (
        beat.is_owner,
        beat.epoch,
        beat.reads_store,
        beat.config_version,
        beat.is_leaving,
        beat.is_yielding,
        beat.follows,
    )


def run_in_background(*loops: Callable[[], None]) -> None:
    """Run loops that never end, each in a greenlet of its own."""
    for loop in loops:
        gevent.spawn(loop)
