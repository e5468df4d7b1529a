"""The composition root of the daemon on the users' platform."""

import logging
import signal
import time

import gevent
from gevent import event
from gevent import pywsgi

from pollenladder.cluster import mesh as meshes
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.gateway import limits
from pollenladder.gateway import listeners
from pollenladder.jobs import entities as jobs
from pollenladder.jobs import routing
from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import settings as conf
from pollenladder.platform import store as stores
from pollenladder.service import application
from pollenladder.service import engine as engines
from pollenladder.service import feeds
from pollenladder.service import gateway as gateways
from pollenladder.service import leadership
from pollenladder.service import meters as metering
from pollenladder.service import reachability

LOGGER = logging.getLogger(__name__)

# After a stop request, the daemon accepts callers for this long.
LAST_CALLERS_WAIT_S = 2.3
# Reserved out of the stop grace period for the process to exit.
STOP_MARGIN_S = 0.6
# Lets the log writer run before the last lines are flushed.
LOG_FLUSH_S = 0.05


class Dispatcher:
    """The components of one daemon, wired together."""

    def __init__(self, settings: conf.Settings):
        self._settings = settings
        self._clock = clocks.read_monotonic_s
        self._stopping = event.Event()
        self._routes: routing.RoutingTable | None = None
        self._meters = metering.Meters()
        self._own = rosters.Member(
            daemon_id=settings.daemon_id,
            address=settings.address,
            port=settings.peer_port,
            data_centre=settings.data_centre,
            incarnation=time.time_ns() // 1_000_000,
        )
        self._roster = rosters.Roster(settings.daemon_id)
        self._build_scheduling()
        self._build_cluster()

    def _build_scheduling(self) -> None:
        settings = self._settings
        self._engine = engines.Engine(
            settings.max_lease_s,
            engines.Callbacks(
                answer=self._answer,
                on_fenced=self._handle_fenced,
                get_lag_s=lambda: self._leadership.loop_lag.lag_s,
            ),
            self._clock,
        )
        self._gateway = gateways.Gateway(
            gateways.Callbacks(
                find_owner=lambda: self._leadership.owner_id,
                get_shed_share=lambda: self._leadership.get_shed_share(),
                submit=self._submit,
                cancel=self._cancel,
                on_answered=self._count_answered,
            ),
            self._clock,
        )

    def _build_cluster(self) -> None:
        settings = self._settings
        self._mesh = meshes.Mesh(
            self._own,
            self._roster,
            meshes.Callbacks(
                on_message=self._handle_message,
                on_link_change=self._handle_link_change,
            ),
            self._clock,
        )
        self._feeds = feeds.Feeds(
            stores.Store(settings.store),
            self._own,
            feeds.Callbacks(
                on_configuration=self._apply_configuration,
                on_workers=self._engine.update_workers,
                on_member=self._handle_member,
                is_owner=lambda: self._leadership.is_owner,
                get_owner=lambda: self._leadership.owner_id,
                get_epoch=lambda: self._leadership.epoch,
                on_epoch=lambda epoch: self._leadership.record_epoch(epoch),
            ),
            self._clock,
        )
        self._reachability = reachability.Reachability(
            settings.data_centre, self._feeds.list_workers, self._clock
        )
        self._leadership = leadership.Leadership(
            settings.daemon_id,
            settings.processor_cores,
            self._roster,
            leadership.Callbacks(
                broadcast=self._mesh.broadcast,
                claim=self._claim,
                resign=self._engine.resign,
                on_owner=self._handle_owner_change,
                on_forgotten=self._handle_forgotten,
                count_reachable_workers=self._engine.count_reachable_workers,
                count_pending=self._engine.count_pending,
                reads_store=self._feeds.reads_store,
                knows_all_daemons=lambda: (
                    self._feeds.has_read_daemons and not settings.is_first_start
                ),
                get_version=self._get_version,
                is_leaving=self._stopping.is_set,
                is_data_centre_isolated=(
                    self._reachability.is_data_centre_isolated
                ),
                is_owner_row_stale=self._feeds.is_owner_row_stale,
            ),
            self._clock,
            clocks.read_wall_s,
        )

    def run(self) -> int:
        """Serve until a stop signal arrives; return the exit code."""
        settings = self._settings
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self._mesh.start()
        leadership.run_in_background(
            self._feeds.run_configuration,
            self._feeds.run_daemons,
            self._feeds.run_workers,
            self._feeds.run_ownership,
            self._mesh.run,
            self._engine.run,
            self._leadership.run,
            self._gateway.run,
        )
        server = self._serve_callers()
        pywsgi.WSGIServer(
            settings.readiness_address, self._show_readiness, log=None
        ).start()
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
        dependencies = application.Dependencies(
            gateway=self._gateway,
            get_routes=lambda: self._routes,
            cancel_remote=self._cancel_remote,
            count_pending=self._count_pending,
        )
        address, port = self._settings.caller_address
        return listeners.listen(
            address,
            port,
            application.make_application(dependencies),
            self._meters,
            limits.Limits(),
        )

    def _shut_down(self, server: listeners.Server) -> None:
        """Hand over the ownership, accept last callers, and answer all jobs."""
        began_at = self._clock()
        logs.log(LOGGER, "stopping", open_jobs=len(self._gateway.open_jobs))
        self._leadership.wake()
        gevent.sleep(LAST_CALLERS_WAIT_S)
        left_s = self._settings.stop_grace_s - STOP_MARGIN_S
        left_s -= self._clock() - began_at
        drained = server.drain(max(0.0, left_s))
        logs.log(
            LOGGER,
            "stopped",
            drained=drained,
            open_jobs=len(self._gateway.open_jobs),
            took_s=round(self._clock() - began_at, 3),
        )

    def _show_readiness(self, environ: dict, start_response) -> list[bytes]:
        is_ready = (
            self._routes is not None
            and bool(self._leadership.owner_id)
            and not self._stopping.is_set()
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

    def _submit(self, daemon_id: str, submission: jobs.Submission) -> bool:
        if daemon_id == self._settings.daemon_id:
            return self._engine.submit(submission, daemon_id)
        return self._mesh.send(daemon_id, messages.Submit(submission))

    def _cancel(self, daemon_id: str, job_id: str, reason: jobs.Reason) -> None:
        if daemon_id == self._settings.daemon_id:
            self._engine.cancel(job_id, reason, daemon_id)
        else:
            self._mesh.send(daemon_id, messages.Cancel(job_id, reason))

    def _cancel_remote(self, job_id: str) -> bool:
        """Cancel a job from another daemon; return whether it was known.

        A daemon that is not the owner forwards the request to the owner and
        returns False.
        """
        owner_id = self._leadership.owner_id
        reason = jobs.Reason.CALLER_CANCELLED
        if owner_id == self._settings.daemon_id:
            return self._engine.cancel(job_id, reason, owner_id)
        if owner_id:
            self._mesh.send(owner_id, messages.Cancel(job_id, reason))
        return False

    def _answer(self, gateway_id: str, answer: jobs.Answer) -> None:
        if gateway_id == self._settings.daemon_id:
            self._gateway.handle_answer(answer, gateway_id)
        elif not self._mesh.send(gateway_id, messages.Answered(answer)):
            logs.log(
                LOGGER, "answer_not_sent", job=answer.job_id, peer=gateway_id
            )

    def _count_answered(
        self, queue: str, answer: jobs.Answer, took_s: float
    ) -> None:
        self._meters.count_job(answer, took_s)

    def _count_pending(self, queue: str) -> int:
        owner_id = self._leadership.owner_id
        if owner_id == self._settings.daemon_id:
            return self._engine.count_pending().get(queue, 0)
        peer = self._roster.peers.get(owner_id)
        return (
            peer.heartbeat.pending.get(queue, 0)
            if peer and peer.heartbeat
            else 0
        )

    def _handle_message(self, sender: str, message: object) -> None:
        if isinstance(message, messages.Heartbeat):
            self._handle_heartbeat(sender, message)
        elif isinstance(message, messages.Submit):
            if not self._engine.submit(message.submission, sender):
                job_id = message.submission.job_id
                self._mesh.send(sender, messages.NotOwner(job_id))
        elif isinstance(message, messages.Answered):
            self._gateway.handle_answer(message.answer, sender)
        elif isinstance(message, messages.Cancel):
            self._engine.cancel(message.job_id, message.reason, sender)
        elif isinstance(message, messages.NotOwner):
            self._gateway.handle_not_owner(message.job_id)
        elif isinstance(message, messages.RequestConfiguration):
            self._push_configuration(sender, message.version)
        elif isinstance(message, messages.PushConfiguration):
            self._apply_pushed_configuration(message)

    def _handle_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> None:
        self._leadership.record_heartbeat(sender, heartbeat)
        if heartbeat.config_version > self._get_version():
            version = self._get_version()
            self._mesh.send(sender, messages.RequestConfiguration(version))

    def _push_configuration(self, sender: str, version: int) -> None:
        if self._routes is None or version >= self._get_version():
            return
        found = self._routes.configuration
        message = messages.PushConfiguration(found.version, found.source)
        self._mesh.send(sender, message)

    def _apply_pushed_configuration(
        self, message: messages.PushConfiguration
    ) -> None:
        try:
            found = rows.decode_configuration(message.source)
        except exceptions.BadDocumentError as error:
            logs.log(
                LOGGER,
                "configuration_rejected",
                logging.WARNING,
                version=message.version,
                error=str(error)[:200],
            )
            return
        self._apply_configuration(found)

    def _apply_configuration(self, found: jobs.Configuration) -> None:
        """Apply a configuration, unless a newer or the same one is in force."""
        version = self._get_version()
        if found.version <= version:
            return
        self._routes = routing.RoutingTable(found)
        logs.log(
            LOGGER,
            "configuration_changed",
            version=found.version,
            before=version,
            queues=len(found.queues),
        )

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
        self._engine.record_gateway_link(daemon_id, is_linked)
        if is_linked:
            self._leadership.request_heartbeat()
        else:
            self._gateway.handle_link_lost(daemon_id)
            self._leadership.wake()

    def _claim(self, epoch: int) -> None:
        peers = len(self._roster.peers)
        self._engine.claim(epoch, self._feeds.is_store_up, peers)
        self._feeds.refresh_workers()

    def _handle_owner_change(self, owner_id: str) -> None:
        self._gateway.forward_open_jobs()

    def _handle_forgotten(self, daemon_id: str) -> None:
        if self._leadership.is_owner:
            gevent.spawn(self._feeds.delete_daemon_row, daemon_id)

    def _handle_fenced(self, worker_id: str) -> None:
        self._leadership.record_fenced(worker_id)

    def _get_version(self) -> int:
        return self._routes.configuration.version if self._routes else 0


def main() -> int:
    """Run the daemon with the settings file of the platform."""
    try:
        settings = conf.load(conf.find_path())
    except exceptions.SettingsError as error:
        logging.basicConfig()
        LOGGER.error("invalid settings: %s", error)
        return 2
    handler = logs.configure_logging(settings.daemon_id)
    gevent.spawn(handler.run)
    code = Dispatcher(settings).run()
    gevent.sleep(LOG_FLUSH_S)
    handler.write_pending()
    return code
