"""The composition root of `pollenladderd`: builds and connects all parts."""

import logging
import signal
import time
from typing import Any

import gevent
from gevent import event

from pollenladder.conf import settings as conf
from pollenladder.core import clocks
from pollenladder.core import digests
from pollenladder.core import distribution
from pollenladder.core import drains
from pollenladder.core import engine as engines
from pollenladder.core import entities
from pollenladder.core import gateway_backend
from pollenladder.core import instrumentation
from pollenladder.core import leasing
from pollenladder.core import lookups
from pollenladder.core import mesh as meshes
from pollenladder.core import peering
from pollenladder.core import platform_reader
from pollenladder.core import polling
from pollenladder.core import shutdown
from pollenladder.core import starts
from pollenladder.core import verdicts
from pollenladder.core import workers as worker_clients
from pollenladder.dispatch import directory
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import submissions
from pollenladder.dispatch import tables
from pollenladder.gateway import backend
from pollenladder.gateway import limits as gateway_limits
from pollenladder.gateway import server as gateway_server
from pollenladder.membership import regions
from pollenladder.metrics import lag
from pollenladder.metrics import registry
from pollenladder.supervision import loops
from pollenladder.wire import messages

LOGGER = logging.getLogger(__name__)

# A lender adds this to the term of a loan, so that the borrower stops first.
LOAN_MARGIN_S = 1.0
# A daemon that has just started claims no shard for this time, in which it
# learns who owns the shards.
STARTUP_GRACE_S = 1.0
# The longest time to send the queued messages of a link at shutdown.
FLUSH_TIMEOUT_S = 1.0


class Daemon:
    """One daemon: its parts, connected to each other by callbacks."""

    def __init__(self, settings: conf.Settings):
        self._settings = settings
        self._clock = clocks.read_monotonic_s
        self._stop_requested = event.Event()
        self._draining = event.Event()
        self._incarnation = time.time_ns() // 1_000_000
        self._metrics = registry.Metrics()
        self._supervisor = loops.Supervisor()
        self._shard_directory = directory.Directory()
        self._regions = regions.Regions(
            {n: c.region for n, c in settings.data_centres.items()},
            {n: c.shards for n, c in settings.data_centres.items()},
            settings.shards_per_owner,
        )
        self._build_engine()
        self._build_network()
        self._build_platform()
        self._build_exchange()

    def _build_engine(self) -> None:
        own = self._settings
        timings, own_limits = own.timings, own.limits
        limits = tables.Limits(
            max_queue_wait_s=own_limits.max_queue_wait_s,
            max_queued_jobs=own_limits.max_queued_jobs,
            lease_ttl_s=timings.lease_ttl_s,
        )
        self._shards: dict[str, tables.Shard] = {}
        first = None
        for shard_id in self._regions.list_region_shards(own.data_centre):
            shard = shards.build(
                shard_id=shard_id,
                daemon_id=own.daemon_id,
                incarnation=str(self._incarnation),
                limits=limits,
                shard_directory=self._shard_directory,
                all_shard_ids=tuple(self._regions.shard_ids),
                loan_term_s=timings.loan_term_s,
                loan_margin_s=LOAN_MARGIN_S,
                sibling=first,
            )
            first = first or shard
            self._shards[shard_id] = shard
        self._submissions = submissions.Submissions(
            own.data_centre, self._shard_directory, timings.retention_s
        )
        self._workers = worker_clients.WorkerClients(
            {n: c.shards for n, c in own.data_centres.items()},
            self._shards,
            own.daemon_id,
            worker_clients.build_limits(own),
            self._clock,
            self._metrics,
        )
        self._starter = starts.TaskStarter(
            self._shards,
            starts.Callbacks(
                get_client=self._workers.get_client,
                on_outcome=self._handle_outcome,
            ),
            self._clock,
        )
        self._engine = engines.Engine(
            daemon_id=own.daemon_id,
            shard_tables=self._shards,
            submitted=self._submissions,
            shard_directory=self._shard_directory,
            callbacks=engines.Callbacks(
                send=self._send,
                start=self._start,
                stop=self._starter.stop,
                on_answered=self._metrics.count_job,
            ),
            clock=self._clock,
        )
        self._lease_manager = leasing.LeaseManager(
            self._shards,
            self._shard_directory,
            self._regions,
            leasing.Callbacks(
                acquire=self._workers.acquire_lease,
                release=self._workers.release_lease,
                list_candidates=lambda: self._mesh.list_candidates(),
                is_linked=lambda peer: self._peering.is_linked(peer),
                on_changed=self._handle_ownership_change,
            ),
            self._clock,
            clocks.read_wall_s,
            STARTUP_GRACE_S,
        )

    def _build_network(self) -> None:
        own = self._settings
        self._peering = peering.Peering(
            peering.build_settings(own, self._incarnation),
            peering.Callbacks(
                on_message=self._handle_message,
                on_joined=self._handle_joined,
                on_relinked=self._handle_relinked,
                reconnect=lambda daemon_id: self._mesh.connect(daemon_id),
                on_lost=self._handle_lost,
                on_closed=lambda reason: instrumentation.count_close(
                    self._metrics, reason
                ),
                is_needed=self._is_link_needed,
            ),
        )
        self._mesh = meshes.Mesh(
            own.daemon_id,
            own.data_centre,
            self._shard_directory,
            self._regions,
            self._peering,
            self._clock,
        )
        self._mesh.learn_configured(own.peers)
        self._lookups = lookups.JobLookups(
            own.daemon_id, self._engine, self._mesh, self._send, self._clock
        )
        self._drains = drains.WorkerDrains(
            self._shards,
            self._shard_directory,
            drains.Callbacks(
                send=self._send,
                connect=self._mesh.connect,
                list_linked=self._mesh.list_linked_in_region,
                find_shard=self._workers.find_shard,
            ),
            self._clock,
        )

    def _build_platform(self) -> None:
        own = self._settings
        reader = platform_reader.PlatformReader(
            own, self._regions, self._metrics
        )
        self._poller = polling.PlatformPoller(
            polling.Callbacks(
                read_row=reader.read_row,
                read_vms=reader.read_vms,
                is_reader=lambda: self._distributor.is_reader(),
                on_vms=self._handle_vm_list,
                on_declared=self._apply_declarations,
                broadcast=lambda: self._distributor.broadcast(),
            ),
            self._clock,
            own.timings.platform_poll_s,
            own.timings.vm_list_poll_s,
        )

    def _build_exchange(self) -> None:
        own = self._settings
        self._distributor = distribution.DeclarationDistributor(
            own.data_centre,
            self._shards,
            self._shard_directory,
            self._mesh,
            distribution.Callbacks(
                send=self._send,
                list_linked=self._peering.list_linked,
                is_linked=self._peering.is_linked,
                get_version=self._get_version,
                choose_update=self._poller.choose_update,
                choose_broadcast=self._poller.choose_broadcast,
            ),
            self._clock,
        )
        self._digest_exchange = digests.DigestExchange(
            self._shards,
            self._shard_directory,
            self._mesh,
            digests.Callbacks(
                send=self._send,
                list_linked=self._peering.list_linked,
                get_version=self._get_version,
                is_draining=self._draining.is_set,
                on_version_received=self._handle_version_received,
            ),
            self._clock,
        )
        self._gateway_backend = gateway_backend.GatewayBackend(
            own,
            self._incarnation,
            self._engine,
            self._mesh,
            self._draining.is_set,
            self._supervisor.list_failing,
            self._clock,
        )

    def run(self) -> int:
        """Serve until a stop is requested; return the exit code."""
        own = self._settings
        self._peering.server.start()
        self._gateway = gateway_server.serve(
            own.address,
            own.http_port,
            self._build_backend(),
            self._metrics,
            gateway_limits.Limits(
                max_body_bytes=own.limits.max_body_bytes,
                max_connections=own.limits.max_connections,
                body_s=own.limits.body_timeout_s,
            ),
        )
        for name, loop in (
            ("engine", self._engine.run),
            ("leases", self._lease_manager.run),
            ("mesh", self._mesh.run),
            ("vm_poller", self._poller.run_vms),
            ("declaration_poller", self._poller.run_declarations),
            ("digests", self._digest_exchange.run),
            ("instrumentation", self._run_instrumentation),
            ("lag", lambda: lag.measure_event_loop_lag(self._metrics)),
        ):
            self._supervisor.spawn(name, loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop_requested.set)
        LOGGER.info("serving on %s:%d", own.address, own.http_port)
        self._stop_requested.wait()
        self._shut_down()
        return 0

    def _shut_down(self) -> None:
        self._draining.set()
        shutdown.shut_down(
            self._engine,
            shutdown.Callbacks(
                drain_gateway=self._gateway.drain,
                resign=self._lease_manager.resign,
                broadcast_digest=self._digest_exchange.broadcast,
            ),
            self._clock,
            self._settings.timings.drain_timeout_s,
        )
        self._peering.close(FLUSH_TIMEOUT_S)

    def _build_backend(self) -> backend.Backend:
        return backend.Backend(
            issue_job_id=self._gateway_backend.issue_job_id,
            submit=self._engine.submit,
            wait=self._lookups.wait,
            cancel=self._lookups.cancel,
            issue_stamp=self._gateway_backend.issue_stamp,
            get_declarations=lambda: self._engine.declared,
            describe_status=self._gateway_backend.describe_status,
            drain=self._drain_target,
            find_job=self._lookups.describe,
            get_unready_reason=self._gateway_backend.get_unready_reason,
        )

    def _drain_target(self, target: str) -> bool:
        """Drain a worker or this daemon.

        Returns:
            False if the target is unknown.
        """
        if target == self._settings.daemon_id:
            self._stop_requested.set()
            return True
        return self._drains.drain(target)

    def _send(self, daemon_id: str, message: object) -> bool:
        """Queue a message; without a link, connect for later messages.

        Returns:
            Whether the message was queued.
        """
        sent = self._peering.send(daemon_id, message)
        if sent:
            instrumentation.count_message(self._metrics, message)
        elif daemon_id in self._mesh.known:
            gevent.spawn(self._mesh.connect, daemon_id)
        return sent

    def _start(self, effect: tables.StartTask) -> None:
        self._metrics.starts.inc()
        self._metrics.count_message("start")
        self._starter.start(effect)

    def _handle_outcome(
        self, effect: tables.StartTask, result: verdicts.TaskResult
    ) -> None:
        self._metrics.count_task(result)
        self._engine.record_start_outcome(effect, result)
        self._lease_manager.process_changes(
            self._shards[effect.worker_ref.shard_id]
        )

    def _handle_message(self, sender: str, message: object) -> None:
        if self._engine.handle_message(sender, message):
            return
        if self._drains.handle_message(sender, message):
            return
        if isinstance(message, messages.Digest):
            self._digest_exchange.handle_digest(sender, message)
        elif isinstance(message, messages.DeclarationsPush):
            if self._poller.apply_push(message):
                self._digest_exchange.send(sender)
        elif isinstance(message, messages.DeclarationsDelta):
            if self._poller.is_newer(message.version):
                # If the delta does not fit, the digest reports the version
                # here, and the sender replies with the whole declarations.
                self._poller.apply_delta(message)
                self._digest_exchange.send(sender)
        else:
            self._lookups.handle_message(sender, message)

    def _handle_joined(self, daemon_id: str) -> None:
        self._mesh.learn_hello(self._peering.get_hello(daemon_id))
        self._introduce_self(daemon_id)

    def _handle_relinked(self, daemon_id: str) -> None:
        self._engine.query_daemon(daemon_id)
        # To the other end this link may be the first one, so it may know
        # nothing about this daemon.
        self._introduce_self(daemon_id)

    def _introduce_self(self, daemon_id: str) -> None:
        """Send a daemon with a new link everything that it may not know."""
        self._mesh.record_linked(daemon_id)
        self._digest_exchange.send_full_digest(daemon_id)
        if self._mesh.is_in_region(daemon_id):
            self._drains.send_all(daemon_id)

    def _handle_lost(self, daemon_id: str) -> None:
        LOGGER.warning("lost daemon %s", daemon_id, extra={"peer": daemon_id})
        self._mesh.record_lost(daemon_id)
        self._engine.handle_daemon_lost(daemon_id)
        gevent.spawn(self._mesh.step)

    def _handle_version_received(self, daemon_id: str, version: int) -> None:
        self._distributor.update_peer(daemon_id, version)
        self._engine.wake()

    def _get_version(self) -> int:
        return self._engine.declared.version

    def _handle_vm_list(self, vms: list[entities.Vm]) -> None:
        self._workers.apply_vm_list(vms)
        self._drains.apply_vm_list(self._workers.list_ids())
        self._mesh.apply_vm_list(vms)

    def _apply_declarations(self, declared: Any) -> bool:
        if not self._engine.declare(declared):
            return False
        self._metrics.plans_version.set(declared.version)
        return True

    def _handle_ownership_change(self, shard_id: str) -> None:
        self._engine.wake()
        self._digest_exchange.broadcast()
        gevent.spawn(self._mesh.step)

    def _is_link_needed(self, daemon_id: str) -> bool:
        """Return whether either end of a link to a daemon needs it."""
        return self._mesh.is_link_needed(
            daemon_id
        ) or self._engine.has_open_work_with(daemon_id)

    def _run_instrumentation(self) -> None:
        instrumentation.run(
            self._metrics, self._shards, self._peering, self._clock
        )
