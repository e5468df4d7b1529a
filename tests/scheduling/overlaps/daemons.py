"""One daemon: its real components, wired as in `service.dispatcher`.

The network, the store, the workers, the clock and the event loop are simulated.
"""

from collections.abc import Iterable
import dataclasses

from pollenladder.cluster import boot
from pollenladder.cluster import groups as layouts
from pollenladder.cluster import mesh as meshes
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_lists
from pollenladder.fleet import worker_tables
from pollenladder.platform import exceptions
from pollenladder.scheduling import home_groups
from pollenladder.service import configurations
from pollenladder.service import engine as engines
from pollenladder.service import engine_callbacks
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import groups
from pollenladder.service import handover_delays
from pollenladder.service import job_exchange
from pollenladder.service import leadership
from pollenladder.service import membership
from pollenladder.service import owner_rows
from pollenladder.service import peer_messages
from tests.scheduling.overlaps import networks
from tests.scheduling.overlaps import reports
from tests.scheduling.overlaps import schedules
from tests.scheduling.overlaps import stores

MAX_LEASE_S = 1.0
# After a broken connection or a 504, callers submit their jobs again.
RESUBMISSION_S = 1.3
ABSENCE_S = home_groups.bound_absence_s(
    handover_delays.choose_run_limit_s(RESUBMISSION_S, MAX_LEASE_S)
)
STORE_INTERVAL_S = 0.4
# Roughly a wall-clock time in 2026, so that epochs are as large as real ones.
WALL_CLOCK_S = 1_790_000_000.0


@dataclasses.dataclass(frozen=True)
class Site:
    """What all daemons share.

    Attributes:
        network: The network.
        rows: The rows of the store.
        members: The first incarnation of each daemon.
        reports: The workers' rows in the store.
        layout: The groups of workers.
    """

    network: networks.Network
    rows: stores.Rows
    members: tuple[rosters.Member, ...]
    reports: reports.Reports
    layout: layouts.Layout


class Daemon:
    """The components of one daemon.

    Attributes:
        process: The process.
        gateway: The jobs of its callers.
        groups: The groups of workers.
    """

    def __init__(self, site: Site, own: rosters.Member, is_first_start: bool):
        schedule = site.network.schedule
        self.process = schedules.Process(own.daemon_id)
        schedule.current = self.process
        self._site = site
        self._own = own
        self._network = site.network
        self._schedule = schedule
        self._is_first_start = is_first_start
        self._clock = schedule.clock
        self._store = stores.Store(site.network, site.rows, own.daemon_id)
        self._store_read_at = float("-inf")
        self._store_version = 0
        self._is_leaving = False
        self._roster = rosters.Roster(own.daemon_id)
        self._list_history = worker_lists.ListHistory(is_first_start)
        self._table = worker_tables.WorkerTable(
            self._list_history, reports.REPORT_INTERVAL_S
        )
        self._refresh = schedules.Event(schedule)
        self.groups = groups.Groups(
            groups.Callbacks(self._build_group, self._handle_groups_change)
        )
        self._build_cluster()
        self.gateway = self._build_gateway()
        self._build_exchange()
        self._start()

    def _build_cluster(self) -> None:
        self._mesh = meshes.Mesh(
            self._own,
            self._roster,
            meshes.Callbacks(
                on_message=lambda *message: self._receiver.handle(*message),
                on_link_change=self._handle_link_change,
                is_owner=lambda: self._membership.is_owner,
            ),
            self._clock,
        )
        self._membership = membership.Membership(
            1.0,
            self._roster,
            membership.Callbacks(
                broadcast=self._mesh.broadcast,
                on_forgotten=lambda daemon_id: None,
                reads_store=self._reads_store,
                get_version=lambda: 0,
                get_layout_version=lambda: self.groups.layout.version,
                list_crashing_queues=dict,
                is_leaving=lambda: self._is_leaving,
            ),
            self._clock,
            self._list_history,
        )
        self._owner_rows = owner_rows.OwnerRows(
            self._store,
            self._own.daemon_id,
            owner_rows.Callbacks(
                on_epoch=self.groups.record_epoch,
                on_failure=lambda table, error: None,
                get_epochs=self.groups.get_epochs,
                list_ownerless=self.groups.list_ownerless,
            ),
            self._clock,
        )

    def _build_gateway(self) -> gateways.Gateway:
        return gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=self._membership.find_owner,
                get_ownerless_s=self._membership.get_ownerless_s,
                has_group=lambda group: group in self.groups.groups,
                count_groups=lambda: len(self.groups.groups),
                choose_first_group=lambda *job: (
                    self._exchange.choose_first_group(*job)
                ),
                find_registrar=lambda job_id: self._exchange.find_registrar(
                    job_id
                ),
                reserve=lambda message: self._exchange.reserve(message),
                choose_group=lambda *job: self._exchange.choose_group(*job),
                list_passed_over=lambda *job: self._exchange.list_passed_over(
                    *job
                ),
                tell_runs_elsewhere=lambda message: (
                    self._exchange.tell_runs_elsewhere(message)
                ),
                find_room=lambda *job: self._exchange.find_room(*job),
                get_shed_share=self._membership.get_shed_share,
                submit=lambda *job: self._exchange.submit(*job),
                cancel_attempt=lambda *attempt: self._exchange.cancel_attempt(
                    *attempt
                ),
                release=lambda *attempt: self._exchange.release(*attempt),
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
                find_doubt=lambda *job: self._exchange.find_doubt(*job),
            ),
            self._clock,
            lambda: self._schedule.random.getrandbits(52) + 1,
            RESUBMISSION_S,
            ABSENCE_S,
        )

    def _build_exchange(self) -> None:
        self._exchange = job_exchange.JobExchange(
            self._own,
            self.groups,
            self._membership,
            self._mesh,
            job_exchange.Callbacks(
                handle_answer=self.gateway.handle_answer,
                handle_reserved=self.gateway.handle_reserved,
                handle_crashes=self.gateway.handle_crashes,
                cancel=self.gateway.cancel,
            ),
            self._clock,
            absence_s=ABSENCE_S,
        )
        self._receiver = peer_messages.Receiver(
            self._exchange,
            self.gateway,
            configurations.Configurations(
                configurations.Callbacks(
                    send=self._mesh.send, on_change=lambda found: None
                )
            ),
            self.groups,
            peer_messages.Callbacks(
                send=self._mesh.send, on_heartbeat=self._handle_heartbeat
            ),
        )

    def _start(self) -> None:
        now = self._clock()
        for member in self._site.members:
            if member.daemon_id != self._own.daemon_id:
                self._roster.record_member(member, now)
        self._mesh.start()
        self.groups.apply_layout(self._site.layout)
        for loop in (
            self._run_store,
            self._owner_rows.run,
            self._mesh.run,
            self._membership.run,
            self.gateway.run,
        ):
            self._schedule.spawn(loop)

    def _build_group(self, name: str) -> groups.Group:
        engine = engines.Engine(
            MAX_LEASE_S,
            engine_callbacks.Callbacks(
                answer=lambda *answer: self._exchange.answer(*answer),
                on_fenced=lambda worker_id: self.groups.record_fenced(
                    name, worker_id
                ),
                get_lag_s=lambda: self._membership.loop_lag.lag_s,
                count=lambda decision: None,
                report_crashes=lambda *crashes: self._exchange.report_crashes(
                    *crashes
                ),
                reject_attempt=lambda *attempt: self._exchange.reject_attempt(
                    *attempt
                ),
                list_read_times=self._mesh.list_read_times,
                find_doubt=lambda job_id: self._exchange.find_doubt(
                    job_id, name
                ),
            ),
            self._clock,
            list_history=self._list_history,
            group=name,
            resubmission_s=RESUBMISSION_S,
            own_id=self._own.daemon_id,
        )
        leading = leadership.Leadership(
            name,
            self._own,
            self._roster,
            leadership.Callbacks(
                claim=lambda epoch: self._claim(engine, epoch),
                resign=engine.resign,
                on_owner=lambda owner_id: self.gateway.forward_open_jobs(),
                on_change=self._membership.wake,
                get_own_view=self._membership.build_own_view,
                count_reachable_workers=engine.count_reachable_workers,
                count_pending=engine.count_pending,
                measure_loads=engine.measure_loads,
                knows_all_daemons=lambda: not self._is_first_start,
                is_isolated=lambda: self._is_isolated(name),
                reaches_workers=lambda: any(self._list_reached(name)),
                is_owner_row_stale=lambda: self._owner_rows.is_stale(name),
            ),
            self._clock,
            lambda: WALL_CLOCK_S + self._clock(),
            boot.GRACE_S,
        )
        self._schedule.spawn(engine.run)
        return groups.Group(engine, leading)

    def _list_reached(self, group: str) -> Iterable[fleet.Listing]:
        own_id = self._own.daemon_id
        return [
            listing
            for listing in self.groups.list_workers(group)
            if self._network.is_open(own_id, listing.worker_id)
        ]

    def _is_isolated(self, group: str) -> bool:
        """Return whether only workers of the own data centre are reached."""
        own = self._own.data_centre
        listed = self.groups.list_workers(group)
        reached = self._list_reached(group)
        return (
            any(w.data_centre == own for w in reached)
            and any(w.data_centre != own for w in listed)
            and not any(w.data_centre != own for w in reached)
        )

    def _reads_store(self, within_s: float) -> bool:
        return self._clock() <= self._store_read_at + within_s

    def _claim(self, engine: engines.Engine, epoch: int) -> None:
        engine.claim(epoch, self._list_history.is_store_up)
        self._refresh.set()

    def leave(self) -> None:
        """Hand over what this daemon owns, as after a stop request."""
        self._is_leaving = True
        self._membership.wake()

    def _run_store(self) -> None:
        """Follow the list of workers, forever; see `service.feeds`."""
        is_full = True
        while True:
            if is_full and self._store_version:
                self._read_store(False)
            is_full = not self._read_store(is_full)
            if self._refresh.wait(STORE_INTERVAL_S):
                self._refresh.clear()
                is_full = True

    def _read_store(self, is_full: bool) -> bool:
        """Read all rows or the changes; return whether the store has answered."""
        began_at = self._clock()
        try:
            version = self._store.check()
        except exceptions.StoreError:
            self._list_history.record_store_state(False, self._clock())
            return False
        now = self._clock()
        self._list_history.record_store_state(True, now)
        self._list_history.record_read(version, began_at, is_full)
        found = self._site.reports.read(self._store_version, is_full)
        self._store_version = version
        self._store_read_at = now
        self._table.update(found, is_full, now)
        self.groups.update_workers(self._table.list_workers(), is_full)
        return True

    def _handle_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> None:
        self._membership.record_heartbeat(sender, heartbeat)

    def _handle_link_change(self, daemon_id: str, is_linked: bool) -> None:
        self._exchange.record_link_change(daemon_id, is_linked)
        for group in self.groups.groups.values():
            group.engine.record_gateway_link(daemon_id, is_linked)
        self.gateway.handle_link_change(daemon_id)
        if is_linked:
            self._membership.request_heartbeat()
        else:
            self._membership.wake()

    def _handle_groups_change(self) -> None:
        self._membership.leaderships = {
            name: group.leadership for name, group in self.groups.groups.items()
        }
        if self.groups.layout.parts:
            self._roster.limit_near(self._own.data_centre)
        self.gateway.handle_groups_change()
        self._membership.wake()
