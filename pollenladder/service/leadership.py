"""Exchange heartbeats and act on the decisions about ownership."""

from collections.abc import Callable
import dataclasses
import logging

import gevent
from gevent import event

from pollenladder.cluster import epochs
from pollenladder.cluster import heartbeats
from pollenladder.cluster import liveness
from pollenladder.cluster import messages
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.logs import lines as logs
from pollenladder.service import loop_lag

LOGGER = logging.getLogger(__name__)

# Interval between two decisions.
STEP_S = 0.1
# A daemon that has just started first waits for heartbeats from an owner.
BOOT_GRACE_S = 0.8
# A store that has failed for less than this still counts as reachable.
STORE_GRACE_S = 1.0
# An owner hands over once it alone has lacked the store for this long. At the
# begin and the end of an outage for all daemons, they notice it within less.
ALONE_WITHOUT_STORE_S = 0.8
# A fenced owner waits this long for a heartbeat from the new owner.
FENCED_WAIT_S = 0.3


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the leadership calls.

    Attributes:
        broadcast: Sends a message to all linked daemons.
        claim: Makes this daemon the owner, with an epoch.
        resign: Ends the ownership of this daemon.
        on_owner: Called with the id of the owner when this daemon follows
            another one, or with "" when it follows none.
        on_forgotten: Called with the id of a daemon that was forgotten.
        count_reachable_workers: Returns the number of workers that this daemon
            reaches as the owner.
        count_pending: Returns the number of jobs that have not begun, by queue.
        reads_store: Returns whether the platform's store has answered
            within some seconds.
        knows_all_daemons: Returns whether the list of the other daemons can be
            relied on, as it has been read from the store.
        get_version: Returns the version of the configuration, 0 if none.
        is_leaving: Returns whether this daemon is shutting down.
        is_data_centre_isolated: Returns whether only workers in this data
            centre are reachable.
        is_owner_row_stale: Returns whether the store shows that there is no
            live owner.
    """

    broadcast: Callable[[object], None]
    claim: Callable[[int], None]
    resign: Callable[[], None]
    on_owner: Callable[[str], None]
    on_forgotten: Callable[[str], None]
    count_reachable_workers: Callable[[], int]
    count_pending: Callable[[], dict[str, int]]
    reads_store: Callable[[float], bool]
    knows_all_daemons: Callable[[], bool]
    get_version: Callable[[], int]
    is_leaving: Callable[[], bool]
    is_data_centre_isolated: Callable[[], bool]
    is_owner_row_stale: Callable[[], bool]


class Leadership:
    """The ownership of the workers, as this daemon sees it.

    Attributes:
        owner_id: The id of the owner that this daemon follows, which may be
            its own, or "".
        loop_lag: The lag of the event loop.
    """

    def __init__(
        self,
        own_id: str,
        processor_cores: float,
        roster: rosters.Roster,
        callbacks: Callbacks,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
    ):
        self.owner_id = ""
        self.loop_lag = loop_lag.LoopLag()
        self._own_id = own_id
        self._processor_cores = processor_cores
        self._roster = roster
        self._callbacks = callbacks
        self._clock = clock
        self._wall_clock = wall_clock
        self._epoch = 0
        self._claimed_at = float("-inf")
        self._fenced_at: float | None = None
        self._fenced_claims = 0
        self._alone_without_store_since: float | None = None
        self._successor = ""
        self._successor_until = float("-inf")
        self._unannounced_successor = ""
        self._announced: ownership.DaemonView | None = None
        self._highest_epoch = 0
        self._last_sent_at = float("-inf")
        self._last_urgent_fields: tuple = ()
        self._is_heartbeat_requested = False
        self._liveness = liveness.Liveness(roster, clock())
        self._owner_changes_at: list[float] = []
        self._backs_off_until = clock() + BOOT_GRACE_S
        self._is_booting = True
        self._wake = event.Event()

    @property
    def is_owner(self) -> bool:
        """Whether this daemon is the owner."""
        return self._epoch > 0

    @property
    def epoch(self) -> int:
        """The epoch of this daemon's ownership, 0 if it is not the owner."""
        return self._epoch

    def wake(self) -> None:
        """Make the next decision now."""
        self._wake.set()

    def record_heartbeat(
        self, daemon_id: str, heartbeat: messages.Heartbeat
    ) -> None:
        """Record the heartbeat of another daemon."""
        self._roster.record_heartbeat(daemon_id, heartbeat, self._clock())
        self._highest_epoch = max(self._highest_epoch, heartbeat.epoch)
        if heartbeat.successor:
            self._record_successor(heartbeat.successor)
        if heartbeat.is_owner != (daemon_id == self.owner_id):
            self.wake()

    def record_fenced(self, worker_id: str) -> None:
        """Record that a worker has seen a higher epoch than this owner's.

        The owner does not resign at once. If its process was suspended, the
        heartbeats of the new owner are about to arrive.
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

    def _resolve_fencing(self) -> None:
        """Decide what a fenced owner does, after `FENCED_WAIT_S`.

        The owner claims a higher epoch if it reaches at least half of the
        daemons and they do not follow another owner; otherwise it resigns.
        """
        now = self._clock()
        if self._fenced_at is None or now < self._fenced_at + FENCED_WAIT_S:
            return
        if self._is_settled(now):
            self._fenced_claims = 0
        reachable = self._roster.list_reachable()
        reaches_half = ownership.reaches_half(
            self._roster.list_known(), reachable
        )
        if reaches_half and not ownership.is_cut_off_from_owner(
            self._own_id, reachable
        ):
            epoch_floor = epochs.skip_ahead(self._epoch, self._fenced_claims)
            self._fenced_claims += 1
            self._highest_epoch = max(self._highest_epoch, epoch_floor)
            self._claim("fenced by an unreachable owner")
        else:
            self._resign("fenced")

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that an owner has used, so that claims exceed it."""
        self._highest_epoch = max(self._highest_epoch, epoch)

    def _is_settled(self, now: float) -> bool:
        return self.is_owner and now >= self._claimed_at + ownership.SETTLING_S

    def run(self) -> None:
        """Make decisions and send heartbeats, forever."""
        while True:
            self.step()
            self.send_heartbeat_if_needed()
            before = self._clock()
            woken = self._wake.wait(STEP_S)
            self._wake.clear()
            if not woken:
                late_s = max(0.0, self._clock() - before - STEP_S)
                self.loop_lag.record(late_s, self.is_owner)

    def get_shed_share(self) -> float:
        """Return the share of new jobs that gateways refuse, 0 to 1."""
        if self.is_owner:
            return self.loop_lag.shed_share
        peer = self._roster.peers.get(self.owner_id)
        return peer.heartbeat.shed_share if peer and peer.heartbeat else 0.0

    def step(self) -> None:
        """Make one decision and act on it."""
        self._resolve_fencing()
        now = self._clock()
        for daemon_id in self._roster.forget_lost(now):
            logs.log(LOGGER, "daemon_forgotten", peer=daemon_id)
            self._callbacks.on_forgotten(daemon_id)
        self._unfollow_lost_owner()
        has_owner = bool(self.owner_id)
        reachable = self._liveness.list_reachable(has_owner, now)
        known = self._roster.list_known()
        lacks_half = (
            not self.owner_id or self.owner_id not in reachable
        ) and not ownership.reaches_half(known, reachable)
        situation = ownership.Situation(
            own_id=self._own_id,
            own=self._build_own_view(),
            reachable=reachable,
            known=known,
            is_data_centre_isolated=(
                lacks_half and self._callbacks.is_data_centre_isolated()
            ),
            may_claim_alone=self._callbacks.is_owner_row_stale(),
            recent_owners=self._count_recent_owners(now),
            announced=self._announced,
            successor=self._successor if now < self._successor_until else "",
        )
        situation = self._limit_store_handover(situation, now)
        decision, owner_id = ownership.decide(situation)
        is_claim = decision is ownership.Decision.CLAIM
        is_successor = situation.successor == self._own_id
        is_awaiting = self._liveness.is_awaiting_heartbeats(has_owner, now)
        if is_claim and is_awaiting and not is_successor:
            # Wait for the heartbeats that show which peers are alive.
            self._follow("")
        elif is_claim:
            self._claim(f"reaches {len(reachable)} of {len(known) - 1}")
        elif decision is ownership.Decision.RESIGN:
            reason = ownership.find_handover_reason(situation)
            self._resign(reason or "another owner prevails", owner_id)
        else:
            self._follow(owner_id)

    def _limit_store_handover(
        self, situation: ownership.Situation, now: float
    ) -> ownership.Situation:
        """Let an owner lack the store for `ALONE_WITHOUT_STORE_S`.

        The daemons notice the begin and the end of an outage one after another.
        """
        is_alone = not situation.own.reads_store and any(
            view.reads_store for view in situation.reachable.values()
        )
        if not is_alone:
            self._alone_without_store_since = None
            return situation
        if self._alone_without_store_since is None:
            self._alone_without_store_since = now
        if now >= self._alone_without_store_since + ALONE_WITHOUT_STORE_S:
            return situation
        own = dataclasses.replace(situation.own, reads_store=True)
        return dataclasses.replace(situation, own=own)

    def _unfollow_lost_owner(self) -> None:
        """Stop following an owner that is no longer reachable."""
        if self.owner_id in ("", self._own_id):
            return
        if self.owner_id not in self._roster.list_reachable():
            self._follow("")

    def _build_own_view(self) -> ownership.DaemonView:
        return ownership.DaemonView(
            is_owner=self.is_owner,
            epoch=self._epoch,
            workers_reached=self._callbacks.count_reachable_workers(),
            reads_store=self._callbacks.reads_store(STORE_GRACE_S),
            lag_s=self.loop_lag.lag_s,
            is_leaving=self._callbacks.is_leaving(),
            is_backing_off=self._is_backing_off(),
            processor_cores=self._processor_cores,
            is_settled=self._is_settled(self._clock()),
        )

    def _is_backing_off(self) -> bool:
        """Return whether this daemon claims no ownership for now."""
        if self._clock() >= self._backs_off_until:
            return False
        if not self._is_booting:
            return True
        # A booting daemon that reaches all others need not wait for more.
        known = self._roster.list_known() - {self._own_id}
        reaches_all = known <= self._roster.list_reachable().keys()
        return not (
            known and reaches_all and self._callbacks.knows_all_daemons()
        )

    def send_heartbeat_if_needed(self) -> None:
        """Broadcast a heartbeat if it is due, requested or urgently changed."""
        now = self._clock()
        heartbeat = self.build_heartbeat()
        interval_s = heartbeats.choose_interval_s(
            len(self._roster.peers), self.is_owner, bool(self.owner_id)
        )
        is_due = now >= self._last_sent_at + interval_s - STEP_S / 2
        is_news = _get_urgent_fields(heartbeat) != self._last_urgent_fields
        if is_due or is_news or self._is_heartbeat_requested:
            self._is_heartbeat_requested = False
            self._last_sent_at = now
            self._last_urgent_fields = _get_urgent_fields(heartbeat)
            self._announced = rosters.build_view(heartbeat)
            self._unannounced_successor = ""
            self._callbacks.broadcast(heartbeat)

    def request_heartbeat(self) -> None:
        """Send a heartbeat at once, for a daemon that has just been linked."""
        self._is_heartbeat_requested = True
        self.wake()

    def build_heartbeat(self) -> messages.Heartbeat:
        """Return a heartbeat with the state of this daemon."""
        own = self._build_own_view()
        return messages.Heartbeat(
            is_owner=own.is_owner,
            epoch=max(own.epoch, 0 if own.is_owner else self._highest_epoch),
            workers_reached=own.workers_reached,
            reads_store=own.reads_store,
            config_version=self._callbacks.get_version(),
            lag_s=own.lag_s,
            is_leaving=own.is_leaving,
            # Peers wait for a booting daemon of better rank, so that two
            # daemons do not claim at once.
            is_backing_off=own.is_backing_off and not self._is_booting,
            pending=self._callbacks.count_pending(),
            processor_cores=own.processor_cores,
            follows=self.owner_id,
            shed_share=self.loop_lag.shed_share,
            is_settled=own.is_settled,
            successor=self._unannounced_successor,
        )

    def _claim(self, reason: str) -> None:
        self._epoch = epochs.make_epoch(
            self._own_id, self._wall_clock(), self._highest_epoch
        )
        self._highest_epoch = self._epoch
        self._claimed_at = self._clock()
        self._fenced_at = None
        logs.log(LOGGER, "ownership_claimed", epoch=self._epoch, reason=reason)
        self._callbacks.claim(self._epoch)
        self._follow(self._own_id)

    def _resign(self, reason: str, owner_id: str = "") -> None:
        reachable = self._roster.list_reachable()
        successor = owner_id or ownership.choose_successor(reachable)
        self._record_successor(successor)
        self._unannounced_successor = successor
        logs.log(
            LOGGER,
            "ownership_resigned",
            epoch=self._epoch,
            reason=reason,
            owner=owner_id,
            successor=successor,
        )
        self._epoch = 0
        self._fenced_at = None
        self._backs_off_until = self._clock() + ownership.CLAIM_BACKOFF_S
        self._is_booting = False
        self._callbacks.resign()
        self._follow(owner_id)
        self.send_heartbeat_if_needed()

    def _record_successor(self, daemon_id: str) -> None:
        self._successor = daemon_id
        self._successor_until = self._clock() + ownership.SUCCESSOR_WAIT_S

    def _follow(self, owner_id: str) -> None:
        if owner_id == self.owner_id:
            return
        logs.log(LOGGER, "owner_changed", owner=owner_id, before=self.owner_id)
        self.owner_id = owner_id
        now = self._clock()
        self._liveness.owner_changed_at = now
        if owner_id:
            self._owner_changes_at.append(now)
        self._callbacks.on_owner(owner_id)

    def _count_recent_owners(self, now: float) -> int:
        since = now - ownership.RECENT_OWNERS_WINDOW_S
        self._owner_changes_at = [
            at for at in self._owner_changes_at if at > since
        ]
        return len(self._owner_changes_at)


def _get_urgent_fields(heartbeat: messages.Heartbeat) -> tuple:
    """Return the fields of a heartbeat whose changes are sent at once."""
    return (
        heartbeat.is_owner,
        heartbeat.epoch,
        heartbeat.reads_store,
        heartbeat.config_version,
        heartbeat.is_leaving,
        heartbeat.is_backing_off,
        heartbeat.follows,
    )


def run_in_background(*loops: Callable[[], None]) -> None:
    """Run endless loops, each in its own greenlet."""
    for loop in loops:
        gevent.spawn(loop)
