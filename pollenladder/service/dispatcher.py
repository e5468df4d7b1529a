"""The composition root of the daemon on the users' platform."""

import logging
import signal
import time

import gevent
from gevent import event

from pollenladder.cluster import boot
from pollenladder.cluster import groups as layouts
from pollenladder.cluster import mesh as meshes
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.fleet import crashing_queues
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations
from pollenladder.fleet import named_workers
from pollenladder.fleet import worker_lists
from pollenladder.gateway import limits
from pollenladder.gateway import listeners
from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import settings as conf
from pollenladder.platform import store as stores
from pollenladder.scheduling import home_groups
from pollenladder.scheduling import large_jobs
from pollenladder.service import application
from pollenladder.service import configurations
from pollenladder.service import engine as engines
from pollenladder.service import engine_callbacks
from pollenladder.service import evacuations as evacuation_followers
from pollenladder.service import feeds
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import groups
from pollenladder.service import handover_delays
from pollenladder.service import job_exchange
from pollenladder.service import layout_keeper
from pollenladder.service import leadership
from pollenladder.service import learned_rows
from pollenladder.service import membership
from pollenladder.service import meters as metering
from pollenladder.service import owner_rows
from pollenladder.service import peer_messages
from pollenladder.service import reachability
from pollenladder.supervision import loops

LOGGER = logging.getLogger(__name__)

# After a stop request, the daemon accepts callers for this long.
LAST_CALLERS_WAIT_S = 2.3
# Reserved out of the stop grace period for the process to exit.
STOP_MARGIN_S = 0.6
# Reserved before that to answer the jobs that have not ended.
LAST_ANSWERS_WAIT_S = 0.2
# Lets the log writer run before the last lines are flushed.
LOG_FLUSH_S = 0.05


class Dispatcher:
    """The components of one daemon, wired together."""

    def __init__(self, settings: conf.Settings, supervisor: loops.Supervisor):
        self._settings = settings
        self._absence_s = home_groups.bound_absence_s(
            handover_delays.choose_run_limit_s(
                settings.resubmission_s, settings.max_lease_s
            )
        )
        self._supervisor = supervisor
        self._clock = clocks.read_monotonic_s
        self._stopping = event.Event()
        self._meters = metering.Meters()
        self._own = rosters.Member(
            daemon_id=settings.daemon_id,
            address=settings.address,
            port=settings.peer_port,
            data_centre=settings.data_centre,
            incarnation=time.time_ns() // 1_000_000,
        )
        self._roster = rosters.Roster(settings.daemon_id)
        self._store = stores.Store(settings.store)
        self._list_history = worker_lists.ListHistory(settings.is_first_start)
        self._named_workers = named_workers.NamedWorkers(self._list_history)
        self._crashing_queues = crashing_queues.CrashingQueues()
        self._evacuations = evacuations.Evacuations(
            evacuations.build_limits(
                settings.evacuation_deadline_s, settings.max_lease_s
            ),
            self._clock(),
            is_confirmed=False,
        )
        self._evacuation_follower = evacuation_followers.Follower(
            self._evacuations,
            evacuation_followers.Callbacks(
                on_change=self._handle_evacuation_change,
                set_gauge=self._meters.evacuated_data_centres.set,
            ),
            self._clock,
        )
        self._groups = groups.Groups(
            groups.Callbacks(
                build_group=self._build_group,
                on_change=lambda: self._handle_groups_change(),
            )
        )
        self._configurations = configurations.Configurations(
            configurations.Callbacks(
                send=lambda *message: self._mesh.send(*message),
                on_change=self._handle_configuration_change,
            )
        )
        self._build_gateway()
        self._build_cluster()
        self._build_feeds()
        self._exchange = job_exchange.JobExchange(
            self._own,
            self._groups,
            self._membership,
            self._mesh,
            job_exchange.Callbacks(
                handle_answer=self._gateway.handle_answer,
                handle_reserved=self._gateway.handle_reserved,
                handle_crashes=self._gateway.handle_crashes,
                cancel=self._gateway.cancel,
            ),
            self._clock,
            settings.regions,
            self._absence_s,
        )
        self._receiver = peer_messages.Receiver(
            self._exchange,
            self._gateway,
            self._configurations,
            self._groups,
            peer_messages.Callbacks(
                send=self._mesh.send,
                on_heartbeat=self._handle_heartbeat,
            ),
        )

    def _build_gateway(self) -> None:
        self._gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: self._membership.find_owner(group),
                get_ownerless_s=lambda group: self._membership.get_ownerless_s(
                    group
                ),
                has_group=lambda group: group in self._groups.groups,
                count_groups=lambda: len(self._groups.groups),
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
                get_shed_share=lambda group: self._membership.get_shed_share(
                    group
                ),
                submit=lambda *job: self._exchange.submit(*job),
                find_doubt=lambda *job: self._exchange.find_doubt(*job),
                cancel_attempt=lambda *attempt: self._exchange.cancel_attempt(
                    *attempt
                ),
                release=lambda *attempt: self._exchange.release(*attempt),
                on_refused_with_room=self._meters.refused_with_room.inc,
                on_answered=self._count_answered,
            ),
            self._clock,
            resubmission_s=self._settings.resubmission_s,
            absence_s=self._absence_s,
        )

    def _build_cluster(self) -> None:
        self._mesh = meshes.Mesh(
            self._own,
            self._roster,
            meshes.Callbacks(
                on_message=lambda sender, message: self._receiver.handle(
                    sender, message
                ),
                on_link_change=self._handle_link_change,
                is_owner=lambda: self._membership.is_owner,
            ),
            self._clock,
        )
        self._membership = membership.Membership(
            self._settings.processor_cores,
            self._roster,
            membership.Callbacks(
                broadcast=self._mesh.broadcast,
                on_forgotten=self._handle_forgotten,
                reads_store=lambda within_s: self._feeds.reads_store(within_s),
                get_version=lambda: self._configurations.version,
                get_layout_version=lambda: self._groups.layout.version,
                list_crashing_queues=lambda: self._crashing_queues.build_report(
                    self._clock()
                ),
                is_leaving=self._stopping.is_set,
            ),
            self._clock,
            self._list_history,
            self._evacuations,
        )

    def _build_feeds(self) -> None:
        self._feeds = feeds.Feeds(
            self._store,
            self._own,
            feeds.Callbacks(
                on_configuration=self._configurations.apply,
                on_workers=self._update_workers,
                on_member=self._handle_member,
                on_layout=lambda layout, version: self._layout_keeper.update(
                    layout, version
                ),
                get_epochs=self._groups.get_epochs,
                on_evacuated=self._evacuation_follower.handle_read,
            ),
            self._clock,
            self._list_history,
            self._settings.report_interval_s,
        )
        self._owner_rows = owner_rows.OwnerRows(
            self._store,
            self._own.daemon_id,
            owner_rows.Callbacks(
                on_epoch=self._groups.record_epoch,
                on_failure=self._feeds.record_failure,
                get_epochs=self._groups.get_epochs,
                list_ownerless=self._groups.list_ownerless,
            ),
            self._clock,
        )
        self._meters.registry.register(
            metering.InterferenceCollector(
                lambda: self._groups.list_neighbourhoods()
            )
        )
        self._learned_rows = learned_rows.LearnedRows(
            self._store,
            learned_rows.Callbacks(
                list_regions=self._groups.list_regions,
            ),
            self._clock,
            clocks.read_wall_s,
        )
        self._layout_keeper = layout_keeper.LayoutKeeper(
            self._own.daemon_id,
            self._settings.processor_cores,
            self._roster,
            layout_keeper.Callbacks(
                get_layout=lambda: self._groups.layout,
                apply_layout=self._apply_layout,
                write_layout=self._feeds.write_layout,
                list_workers=lambda: self._named_workers.workers,
                is_keeper=self._is_layout_keeper,
            ),
        )

    def _build_group(self, name: str) -> groups.Group:
        """Build the engine and the leadership of one group of workers."""
        engine = engines.Engine(
            self._settings.max_lease_s,
            engine_callbacks.Callbacks(
                answer=self._exchange.answer,
                on_fenced=lambda worker_id: self._groups.record_fenced(
                    name, worker_id
                ),
                get_lag_s=lambda: self._membership.loop_lag.lag_s,
                count=self._meters.count_decision,
                count_failure=self._meters.count_failure,
                report_crashes=self._exchange.report_crashes,
                reject_attempt=self._exchange.reject_attempt,
                list_read_times=self._mesh.list_read_times,
                find_doubt=lambda job_id: self._exchange.find_doubt(
                    job_id, name
                ),
            ),
            self._clock,
            self._settings.features,
            self._list_history,
            self._evacuations,
            self._settings.regions,
            name,
            self._crashing_queues,
            resubmission_s=self._settings.resubmission_s,
            own_id=self._own.daemon_id,
            max_large_tasks=large_jobs.fit(self._settings.memory_bytes),
        )
        reach = reachability.Reachability(
            self._settings.data_centre,
            lambda: self._groups.list_workers(name),
            self._clock,
        )
        leading = leadership.Leadership(
            name,
            self._own,
            self._roster,
            leadership.Callbacks(
                claim=lambda epoch: self._claim(engine, epoch),
                resign=engine.resign,
                on_owner=lambda owner_id: self._gateway.forward_open_jobs(),
                on_change=self._membership.wake,
                get_own_view=self._membership.build_own_view,
                count_reachable_workers=engine.count_reachable_workers,
                count_pending=engine.count_pending,
                measure_loads=engine.measure_loads,
                knows_all_daemons=lambda: (
                    self._feeds.has_read_daemons
                    and not self._settings.is_first_start
                ),
                is_isolated=reach.is_data_centre_isolated,
                reaches_workers=reach.reaches_workers,
                is_owner_row_stale=lambda: self._owner_rows.is_stale(name),
            ),
            self._clock,
            clocks.read_wall_s,
            # If another layout was in force here, no owner is to be waited for.
            0.0 if self._groups.groups else boot.GRACE_S,
        )
        self._supervisor.spawn("engine", engine.run, name)
        return groups.Group(engine, leading)

    def run(self) -> int:
        """Serve until a stop signal arrives; return the exit code."""
        settings = self._settings
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        logging.getLogger().addHandler(
            metering.ErrorCounter(self._meters.count_error)
        )
        self._mesh.start()
        for name, loop in (
            ("configuration_feed", self._feeds.run_configuration),
            ("daemon_feed", self._feeds.run_daemons),
            ("worker_feed", self._feeds.run_workers),
            ("owner_rows", self._owner_rows.run),
            ("learned_rows", self._learned_rows.run),
            ("mesh", self._mesh.run),
            ("membership", self._membership.run),
            ("gateway", self._gateway.run),
        ):
            self._supervisor.spawn(name, loop)
        server = self._serve_callers()
        listeners.listen(
            *settings.readiness_address,
            self._show_readiness,
            None,
            limits.PROBES,
        )
        self._meters.registry.register(
            metering.WorkerCollector(
                self._groups.list_speeds, self._groups.count_stalled_runs
            )
        )
        metering.serve(self._meters, settings.address)
        logs.log(
            LOGGER,
            "started",
            data_centre=settings.data_centre,
            incarnation=self._own.incarnation,
        )
        self._stopping.wait()
        self._shut_down(server)
        return 0

    def _serve_callers(self) -> listeners.Server:
        bounds = limits.fit(
            self._settings.memory_bytes, self._settings.max_descriptors
        )
        dependencies = application.Dependencies(
            gateway=self._gateway,
            get_routes=lambda: self._configurations.routes,
            cancel_job=self._exchange.cancel_job,
            count_pending=self._exchange.count_pending,
            body_timeout_s=bounds.body_s,
        )
        address, port = self._settings.caller_address
        return listeners.listen(
            address,
            port,
            application.make_application(dependencies),
            self._meters,
            bounds,
        )

    def _shut_down(self, server: listeners.Server) -> None:
        """Hand over the ownership, accept last callers, and answer all jobs."""
        began_at = self._clock()
        logs.log(LOGGER, "stopping", open_jobs=len(self._gateway.open_jobs))
        self._membership.wake()
        gevent.sleep(LAST_CALLERS_WAIT_S)
        left_s = self._settings.stop_grace_s - STOP_MARGIN_S
        left_s -= self._clock() - began_at
        drained = server.drain(max(0.0, left_s - LAST_ANSWERS_WAIT_S))
        if not drained:
            self._gateway.give_up_all()
            drained = server.drain(LAST_ANSWERS_WAIT_S)
        logs.log(
            LOGGER,
            "stopped",
            drained=drained,
            open_jobs=len(self._gateway.open_jobs),
            took_s=round(self._clock() - began_at, 3),
        )

    def _show_readiness(self, environ: dict, start_response) -> list[bytes]:
        is_ready = (
            self._configurations.routes is not None
            and self._membership.has_owner
            and not self._stopping.is_set()
            and not self._supervisor.list_failing()
        )
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def _reload(self) -> None:
        """Read and check the settings; changes apply only after a restart."""
        try:
            found = conf.load(conf.find_path())
        except exceptions.SettingsError as error:
            logs.log(LOGGER, "reload_failed", logging.ERROR, error=str(error))
            return
        logs.log(LOGGER, "reloaded", changed=found != self._settings)

    def _count_answered(
        self, queue: str, answer: jobs.Answer, took_s: float
    ) -> None:
        self._meters.count_job(answer, took_s)

    def _handle_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> None:
        self._membership.record_heartbeat(sender, heartbeat)
        self._evacuation_follower.handle_heartbeat(sender, heartbeat)
        self._crashing_queues.record_told(
            heartbeat.crashing_queues, self._clock()
        )

    def _handle_evacuation_change(self) -> None:
        self._groups.update_evacuations()
        # Heartbeats tell the peers that do not reach the store.
        self._membership.wake()

    def _handle_configuration_change(self, found: jobs.Configuration) -> None:
        self._groups.update_services(
            found.cold_starts, found.unguarded_services
        )
        self._update_workers(self._feeds.list_workers(), False)

    def _handle_member(self, member: rosters.Member) -> None:
        if self._roster.record_member(member, self._clock()):
            logs.log(
                LOGGER,
                "daemon_found",
                peer=member.daemon_id,
                incarnation=member.incarnation,
            )
            self._mesh.wake()

    def _handle_link_change(self, daemon_id: str, is_linked: bool) -> None:
        if is_linked:
            logs.log(LOGGER, "link_made", peer=daemon_id)
        else:
            logs.log(LOGGER, "link_ended", peer=daemon_id)
        self._evacuation_follower.handle_link_change(daemon_id, is_linked)
        self._exchange.record_link_change(daemon_id, is_linked)
        for group in self._groups.groups.values():
            group.engine.record_gateway_link(daemon_id, is_linked)
        self._gateway.handle_link_change(daemon_id)
        if is_linked:
            self._exchange.tell_cancellations(daemon_id)
            self._membership.request_heartbeat()
        else:
            self._membership.wake()

    def _claim(self, engine: engines.Engine, epoch: int) -> None:
        engine.claim(epoch, self._feeds.is_store_up)
        self._feeds.refresh_workers()

    def _update_workers(
        self,
        listings: tuple[fleet.Listing, ...],
        is_full_list: bool,
    ) -> None:
        names = self._configurations.list_services()
        lapsed = self._named_workers.update(listings, names, self._clock())
        for worker_id in lapsed:
            logs.log(LOGGER, "worker_lapsed", worker=worker_id)
        self._groups.update_workers(self._named_workers.workers, is_full_list)
        if self._layout_keeper.needs_change():
            self._feeds.refresh_daemons()

    def _apply_layout(self, layout: layouts.Layout) -> None:
        """Apply a layout that this daemon has read or chosen."""
        if self._groups.apply_layout(layout):
            self._mesh.broadcast(messages.PushLayout(layout))

    def _handle_groups_change(self) -> None:
        self._membership.leaderships = {
            name: group.leadership
            for name, group in self._groups.groups.items()
        }
        if self._groups.layout.parts:
            self._roster.limit_near(self._settings.data_centre)
        self._gateway.handle_groups_change()
        self._membership.wake()

    def _is_layout_keeper(self) -> bool:
        """Return whether this daemon adapts the layout to the workers.

        This is the owner of the first group, as there is one such daemon.
        """
        first = min(self._groups.groups, default="")
        owner_id = self._membership.find_owner(first)
        return owner_id == self._settings.daemon_id

    def _handle_forgotten(self, daemon_id: str) -> None:
        if self._membership.is_owner:
            gevent.spawn(self._feeds.delete_daemon_row, daemon_id)


def main() -> int:
    """Run the daemon with the settings file of the platform."""
    try:
        settings = conf.load(conf.find_path())
    except exceptions.SettingsError as error:
        logging.basicConfig()
        LOGGER.error("invalid settings: %s", error)
        return 2
    handler = logs.configure_logging(settings.daemon_id)
    supervisor = loops.Supervisor()
    supervisor.spawn("log_writer", handler.run)
    code = Dispatcher(settings, supervisor).run()
    gevent.sleep(LOG_FLUSH_S)
    handler.write_pending()
    return code
