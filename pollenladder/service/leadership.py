"""Act on the decisions about the ownership of one group of workers."""

from collections.abc import Callable
import dataclasses
import logging

from pollenladder.cluster import boot
from pollenladder.cluster import epochs
from pollenladder.cluster import groups
from pollenladder.cluster import liveness
from pollenladder.cluster import messages
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.fleet import entities as fleet
from pollenladder.logs import lines as logs

LOGGER = logging.getLogger(__name__)

# An owner hands over once it alone has lacked the store for this long. At the
# begin and the end of an outage for all daemons, they notice it within less.
ALONE_WITHOUT_STORE_S = 0.8
# A fenced owner waits this long for a heartbeat from the new owner.
FENCED_WAIT_S = 0.3
# Daemons of other data centres may own a group once none of its own data centre
# has been reachable for this long, though the workers are.
OUTSIDE_CLAIM_S = 2.0


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the leadership calls.

    Attributes:
        claim: Makes this daemon the owner of the group, with an epoch.
        resign: Ends this daemon's ownership of the group.
        on_owner: Called with the id of the owner when this daemon follows
            another one, or with "" when it follows none.
        on_change: Called when the other daemons should know the new state.
        get_own_view: Returns the state of this daemon without any group.
        count_reachable_workers: Returns the number of workers that this daemon
            reaches as the owner.
        count_pending: Returns the number of jobs that have not begun, by queue.
        measure_loads: Returns the load of the group, by service.
        knows_all_daemons: Returns whether the list of the other daemons can be
            relied on, as it has been read from the store.
        is_isolated: Returns whether no worker is reachable but some of this
            data centre.
        reaches_workers: Returns whether workers of the group are reachable.
        is_owner_row_stale: Returns whether the store shows that there is no
            live owner.
    """

    claim: Callable[[int], None]
    resign: Callable[[], None]
    on_owner: Callable[[str], None]
    on_change: Callable[[], None]
    get_own_view: Callable[[], ownership.DaemonView]
    count_reachable_workers: Callable[[], int]
    count_pending: Callable[[], dict[str, int]]
    measure_loads: Callable[[], dict[str, fleet.ServiceLoad]]
    knows_all_daemons: Callable[[], bool]
    is_isolated: Callable[[], bool]
    reaches_workers: Callable[[], bool]
    is_owner_row_stale: Callable[[], bool]


class Leadership:
    """The ownership of one group of workers, as this daemon sees it.

    Attributes:
        group: The group's name.
        owner_id: The id of the owner that this daemon follows, which may be
            its own, or "".
    """

    def __init__(
        self,
        group: str,
        own: rosters.Member,
        roster: rosters.Roster,
        callbacks: Callbacks,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
        boot_grace_s: float = boot.GRACE_S,
    ):
        now = clock()
        self.group = group
        self.owner_id = ""
        self._own_id = own.daemon_id
        self._data_centre = groups.get_data_centre(group)
        self._is_local = self._data_centre in ("", own.data_centre)
        self._roster = roster
        self._callbacks = callbacks
        self._clock = clock
        self._wall_clock = wall_clock
        self._epoch = 0
        self._claimed_at = float("-inf")
        self._fenced_at: float | None = None
        self._fenced_claims = 0
        self._alone_without_store_since: float | None = None
        self._local_daemons_seen_at = now
        self._successor = ""
        self._successor_until = float("-inf")
        self._unannounced_successor = ""
        self._announced: ownership.DaemonView | None = None
        self._highest_epoch = 0
        self._highest_known_since = now
        self._liveness = liveness.Liveness(group, roster, now)
        self._owner_changes_at: list[float] = []
        self._created_at = now
        self._boot_grace_s = boot_grace_s
        self._backs_off_until = now + boot_grace_s
        self._is_booting = True

    @property
    def is_owner(self) -> bool:
        """Whether this daemon is the owner."""
        return self._epoch > 0

    @property
    def owner_changed_at(self) -> float:
        """When this daemon last began to follow another owner, or none."""
        return self._liveness.owner_changed_at

    @property
    def epoch(self) -> int:
        """The epoch of this daemon's ownership, 0 if it is not the owner."""
        return self._epoch

    @property
    def highest_epoch(self) -> int:
        """The highest epoch of the group that this daemon knows, advanced to now."""
        known_for_s = self._clock() - self._highest_known_since
        return epochs.advance(self._highest_epoch, known_for_s)

    def record_state(self, daemon_id: str, state: messages.GroupState) -> None:
        """Record what a heartbeat of another daemon tells about the group."""
        self.record_epoch(state.epoch)
        if state.successor:
            self._record_successor(state.successor)
        if state.is_owner != (daemon_id == self.owner_id):
            self._callbacks.on_change()

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
                group=self.group,
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
        reachable = self._roster.list_reachable(self.group)
        reaches_half = ownership.reaches_half(
            self._roster.list_known(self._data_centre), reachable
        )
        if reaches_half and not ownership.is_cut_off_from_owner(
            self._own_id, reachable
        ):
            epoch_floor = epochs.skip_ahead(self._epoch, self._fenced_claims)
            self._fenced_claims += 1
            self.record_epoch(epoch_floor)
            self._claim("fenced by an unreachable owner")
        else:
            self._resign("fenced")

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that an owner has used, so that claims exceed it."""
        if epoch > self._highest_epoch:
            self._highest_epoch = epoch
            self._highest_known_since = self._clock()

    def _is_settled(self, now: float) -> bool:
        return self.is_owner and now >= self._claimed_at + ownership.SETTLING_S

    def step(self) -> None:
        """Make one decision and act on it."""
        self._resolve_fencing()
        now = self._clock()
        self._unfollow_lost_owner()
        if not self.is_candidate(now):
            reachable = self._roster.list_reachable(self.group)
            self._follow(ownership.find_owner(reachable))
            return
        has_owner = bool(self.owner_id)
        situation = self._limit_store_handover(
            self._build_situation(has_owner, now), now
        )
        decision, owner_id = ownership.decide(situation)
        is_claim = decision is ownership.Decision.CLAIM
        is_successor = situation.successor == self._own_id
        is_awaiting = self._liveness.is_awaiting_heartbeats(has_owner, now)
        if is_claim and is_awaiting and not is_successor:
            # Wait for the heartbeats that show which peers are alive.
            self._follow("")
        elif is_claim:
            reached = len(situation.reachable)
            self._claim(f"reaches {reached} of {len(situation.known) - 1}")
        elif decision is ownership.Decision.RESIGN:
            reason = ownership.find_handover_reason(situation)
            self._resign(reason or "another owner prevails", owner_id)
        else:
            self._follow(owner_id)

    def is_candidate(self, now: float) -> bool:
        """Return whether this daemon may own the group.

        This is so in the group's data centre, and elsewhere if no daemon of
        that data centre is left but its workers are reachable.
        """
        if self._is_local or self.is_owner:
            return True
        if any(
            peer.heartbeat is not None
            for peer in self._roster.peers.values()
            if peer.member.data_centre == self._data_centre
        ):
            self._local_daemons_seen_at = now
        if now < self._local_daemons_seen_at + OUTSIDE_CLAIM_S:
            return False
        return not self.owner_id and self._callbacks.reaches_workers()

    def _build_situation(
        self, has_owner: bool, now: float
    ) -> ownership.Situation:
        if self._is_local:
            reachable = self._liveness.list_reachable(has_owner, now)
            known = self._roster.list_known(self._data_centre)
        else:
            # The other daemons become candidates a little earlier or later, so
            # all that are linked are ranked.
            reachable = self._roster.list_linked()
            reachable |= self._roster.list_reachable(self.group)
            known = self._roster.list_known()
        lacks_half = (
            not self.owner_id or self.owner_id not in reachable
        ) and not ownership.reaches_half(known, reachable)
        return ownership.Situation(
            own_id=self._own_id,
            own=self._build_own_view(),
            reachable=reachable,
            known=known,
            is_data_centre_isolated=(
                lacks_half and self._callbacks.is_isolated()
            ),
            may_claim_alone=self._callbacks.is_owner_row_stale(),
            recent_owners=self._count_recent_owners(now),
            announced=self._announced,
            successor=self._successor if now < self._successor_until else "",
        )

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
        if self.owner_id not in self._roster.list_reachable(self.group):
            self._follow("")

    def _build_own_view(self) -> ownership.DaemonView:
        return dataclasses.replace(
            self._callbacks.get_own_view(),
            is_owner=self.is_owner,
            epoch=self._epoch,
            workers_reached=self._callbacks.count_reachable_workers(),
            is_backing_off=self._is_backing_off(),
            is_settled=self._is_settled(self._clock()),
        )

    def _is_backing_off(self) -> bool:
        """Return whether this daemon claims no ownership for now."""
        now = self._clock()
        if now >= self._backs_off_until:
            return False
        if not self._is_booting or not self._callbacks.knows_all_daemons():
            return True
        return boot.must_wait(
            now - self._created_at,
            self._roster.list_known(self._data_centre),
            self._own_id,
            self._roster.list_reachable(self.group),
            self._boot_grace_s,
        )

    def build_state(self) -> messages.GroupState:
        """Return what this daemon tells the others about the group."""
        own = self._build_own_view()
        return messages.GroupState(
            group=self.group,
            is_owner=own.is_owner,
            epoch=max(own.epoch, 0 if own.is_owner else self._highest_epoch),
            workers_reached=own.workers_reached,
            is_settled=own.is_settled,
            # Peers wait for a booting daemon of better rank, so that two
            # daemons do not claim at once.
            is_backing_off=own.is_backing_off and not self._is_booting,
            follows=self.owner_id,
            successor=self._unannounced_successor,
            pending=self._callbacks.count_pending(),
            loads=self._callbacks.measure_loads(),
        )

    def record_sent(self, view: ownership.DaemonView) -> None:
        """Record the state of this daemon that the others have been sent."""
        self._announced = view
        self._unannounced_successor = ""

    def retire(self) -> None:
        """End the ownership, as the group no longer exists."""
        if self.is_owner:
            self._resign("the group no longer exists")

    def _claim(self, reason: str) -> None:
        self._epoch = epochs.make_epoch(
            self._own_id,
            self._wall_clock(),
            self.highest_epoch,
            self._roster.list_ever_known(),
        )
        self.record_epoch(self._epoch)
        self._claimed_at = self._clock()
        self._fenced_at = None
        logs.log(
            LOGGER,
            "ownership_claimed",
            group=self.group,
            epoch=self._epoch,
            reason=reason,
        )
        try:
            self._callbacks.claim(self._epoch)
        except Exception:
            # Another daemon may be able to take over.
            logs.log_failure(LOGGER, "claim", self.group)
            self._resign("the claim failed")
            return
        self._follow(self._own_id)

    def _resign(self, reason: str, owner_id: str = "") -> None:
        reachable = self._roster.list_reachable(self.group)
        successor = owner_id or ownership.choose_successor(reachable)
        self._record_successor(successor)
        self._unannounced_successor = successor
        logs.log(
            LOGGER,
            "ownership_resigned",
            group=self.group,
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
        self._callbacks.on_change()

    def _record_successor(self, daemon_id: str) -> None:
        self._successor = daemon_id
        self._successor_until = self._clock() + ownership.SUCCESSOR_WAIT_S

    def _follow(self, owner_id: str) -> None:
        if owner_id == self.owner_id:
            return
        logs.log(
            LOGGER,
            "owner_changed",
            group=self.group,
            owner=owner_id,
            before=self.owner_id,
        )
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
