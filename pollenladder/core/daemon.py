"""The composition root of `pollenladderd`."""

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
from pollenladder.core import workers as worker_tables
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
from pollenladder.wire import messages

LOGGER = logging.getLogger(__name__)

LOAN_MARGIN_S = 1.0
# A daemon that has just started first hears who owns the shards.
BOOT_GRACE_S = 1.0
FLUSH_S = 1.0


class Daemon:
    """All parts of one daemon, wired."""

    def __init__(self, settings: conf.Settings):
        self._settings = settings
        self._clock = clocks.read_monotonic_s
        self._stopping = event.Event()
        self._draining = event.Event()
        self._incarnation = time.time_ns() // 1_000_000
        self._metrics = registry.Metrics()
        self._shard_directory = directory.Directory()
        self._regions = regions.Regions(
            {n: c.region for n, c in settings.data_centres.items()},
            {n: c.shards for n, c in settings.data_centres.items()},
            settings.shards_per_owner,
        )
        self._build_tables()
        self._build_network()
        self._build_platform()
        self._build_digests()

    def _build_tables(self) -> None:
        own = self._settings
        timings, bounds = own.timings, own.limits
        limits = tables.Limits(
            max_queue_wait_s=bounds.max_queue_wait_s,
            max_queued_jobs=bounds.max_queued_jobs,
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
        self._workers = worker_tables.Workers(
            {n: c.shards for n, c in own.data_centres.items()},
            self._shards,
            own.daemon_id,
            worker_tables.build_limits(own),
            self._clock,
            self._metrics,
        )
        self._starts = starts.Starts(
            self._shards,
            starts.Outlets(
                get_client=self._workers.get_client,
                on_outcome=self._take_outcome,
            ),
            self._clock,
        )
        self._engine = engines.Engine(
            daemon_id=own.daemon_id,
            shard_tables=self._shards,
            submitted=self._submissions,
            shard_directory=self._shard_directory,
            outlets=engines.Outlets(
                send=self._send,
                start=self._start,
                stop=self._starts.stop,
                on_answered=self._metrics.count_job,
            ),
            clock=self._clock,
        )
        self._leasing = leasing.Leasing(
            self._shards,
            self._shard_directory,
            self._regions,
            leasing.Outlets(
                acquire=self._workers.acquire_lease,
                release=self._workers.release_lease,
                list_candidates=lambda: self._mesh.list_candidates(),
                is_linked=lambda peer: self._peering.is_linked(peer),
                on_changed=self._take_ownership_change,
            ),
            self._clock,
            clocks.read_wall_s,
            BOOT_GRACE_S,
        )

    def _build_network(self) -> None:
        own = self._settings
        self._peering = peering.Peering(
            peering.build_settings(own, self._incarnation),
            peering.Handlers(
                on_message=self._take_message,
                on_joined=self._take_joined,
                on_relinked=self._take_relinked,
                reconnect=lambda daemon_id: self._mesh.connect(daemon_id),
                on_lost=self._take_lost,
                on_closed=lambda reason: instrumentation.count_close(
                    self._metrics, reason
                ),
                is_wanted=self._is_link_wanted,
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
        self._mesh.learn_hints(own.peers)
        self._lookups = lookups.Lookups(
            own.daemon_id, self._engine, self._mesh, self._send, self._clock
        )
        self._drains = drains.Drains(
            self._shards,
            self._shard_directory,
            drains.Outlets(
                send=self._send,
                connect=self._mesh.connect,
                list_linked=self._mesh.list_linked_near,
                find_shard=self._workers.find_shard,
            ),
            self._clock,
        )

    def _build_platform(self) -> None:
        own = self._settings
        sources_here = platform_reader.Sources(
            own, self._regions, self._metrics
        )
        self._polling = polling.Polling(
            polling.Outlets(
                read_row=sources_here.read_row,
                read_vms=sources_here.read_vms,
                is_reader=lambda: self._declaring.is_reader(),
                on_vms=self._take_vms,
                on_declared=self._take_declared,
                share=lambda: self._declaring.share(),
            ),
            self._clock,
            own.timings.platform_poll_s,
            own.timings.vm_list_poll_s,
        )

    def _build_digests(self) -> None:
        own = self._settings
        self._declaring = distribution.Declaring(
            own.data_centre,
            self._shards,
            self._shard_directory,
            self._mesh,
            distribution.Outlets(
                send=self._send,
                list_linked=self._peering.list_linked,
                is_linked=self._peering.is_linked,
                get_version=self._get_version,
                choose_push=self._polling.choose_push,
                choose_share=self._polling.choose_share,
            ),
            self._clock,
        )
        self._digests = digests.Digests(
            self._shards,
            self._shard_directory,
            self._mesh,
            digests.Outlets(
                send=self._send,
                list_linked=self._peering.list_linked,
                get_version=self._get_version,
                is_draining=self._draining.is_set,
                on_heard=self._take_heard,
            ),
            self._clock,
        )
        self._serving = gateway_backend.Serving(
            own,
            self._incarnation,
            self._engine,
            self._mesh,
            self._draining.is_set,
            self._clock,
        )

    def run(self) -> int:
        """Serve until told to stop; return the exit code."""
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
        for loop in (
            self._engine.run,
            self._leasing.run,
            self._mesh.run,
            self._polling.run_vms,
            self._polling.run_declarations,
            self._digests.run,
            self._run_meters,
            lambda: lag.measure_event_loop_lag(self._metrics),
        ):
            gevent.spawn(loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stopping.set)
        LOGGER.info("serving on %s:%d", own.address, own.http_port)
        self._stopping.wait()
        self._leave()
        return 0

    def _leave(self) -> None:
        self._draining.set()
        shutdown.leave(
            self._engine,
            shutdown.Outlets(
                drain_gateway=self._gateway.drain,
                resign=self._leasing.resign,
                tell_all=self._digests.tell_all,
            ),
            self._clock,
            self._settings.timings.drain_timeout_s,
        )
        self._peering.close(FLUSH_S)

    def _build_backend(self) -> backend.Backend:
        return backend.Backend(
            issue_job_id=self._serving.issue_job_id,
            submit=self._engine.submit,
            wait=self._lookups.wait,
            cancel=self._lookups.cancel,
            issue_stamp=self._serving.issue_stamp,
            get_declarations=lambda: self._engine.declared,
            describe_status=self._serving.describe_status,
            drain=self._drain_target,
            find_job=self._lookups.describe,
            get_unready_reason=self._serving.get_unready_reason,
        )

    def _drain_target(self, target: str) -> bool:
        """Drain a worker, or this daemon; return whether it is known."""
        if target == self._settings.daemon_id:
            self._stopping.set()
            return True
        return self._drains.drain(target)

    def _send(self, daemon_id: str, message: object) -> bool:
        sent = self._peering.send(daemon_id, message)
        if sent:
            instrumentation.count_message(self._metrics, message)
        elif daemon_id in self._mesh.known:
            gevent.spawn(self._mesh.connect, daemon_id)
        return sent

    def _start(self, effect: tables.StartTask) -> None:
        self._metrics.starts.inc()
        self._metrics.count_message("start")
        self._starts.start(effect)

    def _take_outcome(
        self, effect: tables.StartTask, result: verdicts.TaskResult
    ) -> None:
        self._metrics.count_task(result)
        self._engine.record_start_outcome(effect, result)
        self._leasing.settle(self._shards[effect.worker_ref.shard_id])

    def _take_message(self, sender: str, message: object) -> None:
        if self._engine.take_message(sender, message):
            return
        if self._drains.take_message(sender, message):
            return
        if isinstance(message, messages.Digest):
            self._digests.take(sender, message)
        elif isinstance(message, messages.DeclarationsPush):
            if self._polling.take_push(message):
                self._digests.tell(sender)
        elif isinstance(message, messages.DeclarationsDelta):
            if self._polling.lacks(message.version):
                # If it needs another version, the digest tells so.
                self._polling.take_delta(message)
                self._digests.tell(sender)
        else:
            self._lookups.take_message(sender, message)

    def _take_joined(self, daemon_id: str) -> None:
        self._mesh.learn_hello(self._peering.get_hello(daemon_id))
        self._greet(daemon_id)

    def _take_relinked(self, daemon_id: str) -> None:
        self._engine.ask_daemon(daemon_id)
        # To the other end the link may be the first: it knows nothing of us.
        self._greet(daemon_id)

    def _greet(self, daemon_id: str) -> None:
        """Tell a daemon that has a new link all that it may not know."""
        self._mesh.record_linked(daemon_id)
        self._digests.greet(daemon_id)
        if self._mesh.is_near(daemon_id):
            self._drains.tell(daemon_id)

    def _take_lost(self, daemon_id: str) -> None:
        LOGGER.warning("lost %s", daemon_id, extra={"peer": daemon_id})
        self._mesh.record_lost(daemon_id)
        self._engine.lose_daemon(daemon_id)
        gevent.spawn(self._mesh.step)

    def _take_heard(self, daemon_id: str, version: int) -> None:
        self._declaring.answer(daemon_id, version)
        self._engine.wake()

    def _get_version(self) -> int:
        return self._engine.declared.version

    def _take_vms(self, vms: list[entities.Vm]) -> None:
        self._workers.list_vms(vms)
        self._drains.apply(self._workers.list_ids())
        self._mesh.list_vms(vms)

    def _take_declared(self, declared: Any) -> bool:
        if not self._engine.declare(declared):
            return False
        self._metrics.plans_version.set(declared.version)
        return True

    def _take_ownership_change(self, shard_id: str) -> None:
        self._engine.wake()
        self._digests.tell_all()
        gevent.spawn(self._mesh.step)

    def _is_link_wanted(self, daemon_id: str) -> bool:
        """Return whether a link to a daemon is of any use to either end."""
        return self._mesh.wants_link(daemon_id) or self._engine.is_involved(
            daemon_id
        )

    def _run_meters(self) -> None:
        instrumentation.run(
            self._metrics, self._shards, self._peering, self._clock
        )
