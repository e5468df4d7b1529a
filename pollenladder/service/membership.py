"""Exchange heartbeats with the other daemons, for all groups of workers."""

from collections.abc import Callable
import dataclasses
import logging

from gevent import event

from pollenladder.cluster import heartbeats
from pollenladder.cluster import messages
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.fleet import evacuations as fleet_evacuations
from pollenladder.fleet import worker_lists
from pollenladder.logs import lines as logs
from pollenladder.service import leadership
from pollenladder.service import loop_lag

LOGGER = logging.getLogger(__name__)

# Interval between two decisions.
STEP_S = 0.1
# A store that has failed for less than this still counts as reachable.
STORE_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the membership calls.

    Attributes:
        broadcast: Sends a message to some daemons, if they are linked.
        on_forgotten: Called with the id of a daemon that was forgotten.
        reads_store: Returns whether the platform's store has answered
            within some seconds.
        get_version: Returns the version of the configuration, 0 if none.
        get_layout_version: Returns the version of the layout, 0 if none.
        list_crashing_queues: Returns the queues that this daemon has found to
            crash workers, and for how much longer they count, in seconds.
        is_leaving: Returns whether this daemon is shutting down.
    """

    broadcast: Callable[[object, list[str]], None]
    on_forgotten: Callable[[str], None]
    reads_store: Callable[[float], bool]
    get_version: Callable[[], int]
    get_layout_version: Callable[[], int]
    list_crashing_queues: Callable[[], dict[str, float]]
    is_leaving: Callable[[], bool]


class Membership:
    """This daemon among the others, and its part in each group.

    Attributes:
        leaderships: The ownership of each group, by the group's name.
        loop_lag: The lag of the event loop.
    """

    def __init__(
        self,
        processor_cores: float,
        roster: rosters.Roster,
        callbacks: Callbacks,
        clock: clocks.Clock,
        list_history: worker_lists.ListHistory,
        evacuations: fleet_evacuations.Evacuations | None = None,
    ):
        self.leaderships: dict[str, leadership.Leadership] = {}
        self.loop_lag = loop_lag.LoopLag()
        self._processor_cores = processor_cores
        self._roster = roster
        self._callbacks = callbacks
        self._clock = clock
        self._list_history = list_history
        self._evacuations = evacuations or fleet_evacuations.Evacuations()
        self._last_sent_at: dict[str, float] = {}
        self._last_urgent_fields: tuple = ()
        self._last_distant_urgent_fields: tuple = ()
        self._is_heartbeat_requested = False
        self._wake = event.Event()
        self._created_at = clock()

    @property
    def is_owner(self) -> bool:
        """Whether this daemon owns any group."""
        return any(group.is_owner for group in self.leaderships.values())

    @property
    def has_owner(self) -> bool:
        """Whether this daemon follows an owner of any group, or is one."""
        return any(group.owner_id for group in self.leaderships.values())

    def get_ownerless_s(self, group: str) -> float:
        """Return for how long this daemon has followed no owner of a group.

        Returns:
            Seconds; 0 if it follows one.
        """
        found = self.leaderships.get(group)
        if found is None:
            return self._clock() - self._created_at
        if found.owner_id:
            return 0.0
        return self._clock() - found.owner_changed_at

    def get_owner_age_s(self, group: str) -> float:
        """Return for how long this daemon has followed the owner of a group.

        Returns:
            Seconds; 0 if it follows none.
        """
        found = self.leaderships.get(group)
        if found is None or not found.owner_id:
            return 0.0
        return self._clock() - found.owner_changed_at

    def wake(self) -> None:
        """Make the next decisions now."""
        self._wake.set()

    def find_owner(self, group: str) -> str:
        """Return the id of the owner of a group, or "" if it has none."""
        found = self.leaderships.get(group)
        return found.owner_id if found else ""

    def get_group_state(self, group: str) -> messages.GroupState | None:
        """Return the latest known state of a group's owner, or None."""
        found = self.leaderships.get(group)
        if found is None or not found.owner_id:
            return None
        if found.is_owner:
            return found.build_state()
        heartbeat = self._get_heartbeat(found.owner_id)
        states = heartbeat.groups if heartbeat else ()
        return next((s for s in states if s.group == group), None)

    def get_shed_share(self, group: str) -> float:
        """Return the share of a group's new jobs that gateways refuse."""
        found = self.leaderships.get(group)
        if found is None:
            return 0.0
        if found.is_owner:
            return self.loop_lag.shed_share
        heartbeat = self._get_heartbeat(found.owner_id)
        return heartbeat.shed_share if heartbeat else 0.0

    def build_own_view(self) -> ownership.DaemonView:
        """Return the state of this daemon without any group."""
        owned = sum(group.is_owner for group in self.leaderships.values())
        return ownership.DaemonView(
            reads_store=self._callbacks.reads_store(STORE_GRACE_S),
            lag_s=self.loop_lag.lag_s,
            is_leaving=self._callbacks.is_leaving(),
            processor_cores=self._processor_cores,
            groups_owned=owned,
        )

    def record_heartbeat(
        self, daemon_id: str, heartbeat: messages.Heartbeat
    ) -> None:
        """Record the heartbeat of another daemon."""
        now = self._clock()
        self._roster.record_heartbeat(daemon_id, heartbeat, now)
        report = heartbeat.worker_list
        if self._list_history.inherit(report, now):
            logs.log(
                LOGGER,
                "worker_list_inherited",
                peer=daemon_id,
                known_s=report.known_ms / 1000,
                expired_ago_s=report.expired_ago_ms / 1000,
            )
        for state in heartbeat.groups:
            found = self.leaderships.get(state.group)
            if found is not None:
                found.record_state(daemon_id, state)

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

    def step(self) -> None:
        """Make one decision on each group.

        A group whose decision fails does not hold up the others or the
        heartbeats.
        """
        for daemon_id in self._roster.forget_lost(self._clock()):
            self._last_sent_at.pop(daemon_id, None)
            logs.log(LOGGER, "daemon_forgotten", peer=daemon_id)
            self._callbacks.on_forgotten(daemon_id)
        for found in list(self.leaderships.values()):
            try:
                found.step()
            except Exception:
                logs.log_failure(LOGGER, "ownership", found.group)

    def send_heartbeat_if_needed(self) -> None:
        """Send a heartbeat to all peers for which it is due.

        It is due at once if it was requested, or if an urgent field changed.
        """
        now = self._clock()
        heartbeat = self.build_heartbeat()
        urgent = _get_urgent_fields(heartbeat)
        distant_urgent = _get_distant_urgent_fields(heartbeat)
        is_news = (
            self._is_heartbeat_requested or urgent != self._last_urgent_fields
        )
        is_distant_news = (
            self._is_heartbeat_requested
            or distant_urgent != self._last_distant_urgent_fields
        )
        due = self._list_due(heartbeat, now, is_news, is_distant_news)
        self._is_heartbeat_requested = False
        self._last_urgent_fields = urgent
        self._last_distant_urgent_fields = distant_urgent
        if is_news:
            for group, view in rosters.build_views(heartbeat).items():
                self.leaderships[group].record_sent(view)
        if due:
            self._last_sent_at.update(dict.fromkeys(due, now))
            self._callbacks.broadcast(heartbeat, due)

    def _list_due(
        self,
        heartbeat: messages.Heartbeat,
        now: float,
        is_news: bool,
        is_distant_news: bool,
    ) -> list[str]:
        """Return the peers to which a heartbeat is to be sent now."""
        is_owner = heartbeat.count_owned() > 0
        near_interval_s = heartbeats.choose_interval_s(
            self._roster.count_near(),
            is_owner,
            all(state.follows for state in heartbeat.groups),
        )
        due = []
        for daemon_id, peer in self._roster.peers.items():
            if self._roster.is_near(daemon_id):
                is_urgent, interval_s = is_news, near_interval_s
            else:
                is_urgent = is_distant_news
                is_peer_owner = bool(
                    peer.heartbeat and peer.heartbeat.count_owned()
                )
                interval_s = heartbeats.choose_distant_interval_s(
                    is_owner, is_peer_owner
                )
            sent_at = self._last_sent_at.get(daemon_id, float("-inf"))
            if is_urgent or now >= sent_at + interval_s - STEP_S / 2:
                due.append(daemon_id)
        return due

    def request_heartbeat(self) -> None:
        """Send a heartbeat at once, for a daemon that has just been linked."""
        self._is_heartbeat_requested = True
        self.wake()

    def build_heartbeat(self) -> messages.Heartbeat:
        """Return a heartbeat with the state of this daemon."""
        own = self.build_own_view()
        now = self._clock()
        return messages.Heartbeat(
            reads_store=own.reads_store,
            config_version=self._callbacks.get_version(),
            layout_version=self._callbacks.get_layout_version(),
            lag_s=own.lag_s,
            is_leaving=own.is_leaving,
            processor_cores=own.processor_cores,
            shed_share=self.loop_lag.shed_share,
            groups=tuple(
                found.build_state()
                for found in self.leaderships.values()
                if found.is_candidate(now)
            ),
            worker_list=self._list_history.build_report(now),
            evacuated=self._evacuations.known,
            is_evacuated_current=self._evacuations.is_current(now),
            crashing_queues=self._callbacks.list_crashing_queues(),
        )

    def _get_heartbeat(self, daemon_id: str) -> messages.Heartbeat | None:
        peer = self._roster.peers.get(daemon_id)
        return peer.heartbeat if peer else None


def _get_urgent_fields(heartbeat: messages.Heartbeat) -> tuple:
    """Return the fields of a heartbeat whose changes are sent at once."""
    return (
        heartbeat.reads_store,
        heartbeat.config_version,
        heartbeat.layout_version,
        heartbeat.is_leaving,
        heartbeat.evacuated.data_centres,
        *(
            (
                state.group,
                state.is_owner,
                state.epoch,
                state.is_backing_off,
                state.follows,
                state.successor,
            )
            for state in heartbeat.groups
        ),
    )


def _get_distant_urgent_fields(heartbeat: messages.Heartbeat) -> tuple:
    """Return the fields whose changes are sent to distant peers at once."""
    return (
        heartbeat.layout_version,
        heartbeat.is_leaving,
        heartbeat.evacuated.data_centres,
        *(
            (state.group, state.epoch, state.successor)
            for state in heartbeat.groups
            if state.is_owner or state.successor
        ),
    )
