"""The composition root of `pollenladderd`."""

import logging
import signal
import time
from typing import Any

import gevent
from gevent import event

from pollenladder.conf import settings as conf
from pollenladder.core import clocks
from pollenladder.core import drains
from pollenladder.core import engine as engines
from pollenladder.core import entities
from pollenladder.core import leasing
from pollenladder.core import lookups
from pollenladder.core import mesh as meshes
from pollenladder.core import meters
from pollenladder.core import peering
from pollenladder.core import polling
from pollenladder.core import starts
from pollenladder.core import status
from pollenladder.core import tags
from pollenladder.core import verdicts
from pollenladder.core import workers as worker_tables
from pollenladder.dispatch import directory
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import spilling
from pollenladder.dispatch import submissions
from pollenladder.dispatch import tables
from pollenladder.gateway import backend
from pollenladder.gateway import limits as gateway_limits
from pollenladder.gateway import server as gateway_server
from pollenladder.membership import hashing
from pollenladder.membership import regions
from pollenladder.metrics import registry
from pollenladder.platform import client as platform_client
from pollenladder.wire import handshake
from pollenladder.wire import links
from pollenladder.wire import messages
from pollenladder.wire import server as wire_server

LOGGER = logging.getLogger(__name__)

LOAN_MARGIN_S = 1.0
# A daemon that has just started first hears who owns the shards.
BOOT_GRACE_S = 1.0
DIGEST_INTERVAL_S = 10.0


class Daemon:
    """All parts of one daemon, wired."""

    def __init__(self, settings: conf.Settings):
        self._settings = settings
        self._clock = clocks.read_monotonic_s
        self._stopping = event.Event()
        self._draining = False
        self._jobs_issued = 0
        self._incarnation = time.time_ns() // 1_000_000
        self._metrics = registry.Metrics()
        self._loads = directory.Directory()
        self._shard_ids = tuple(
            hashing.list_shards(
                {n: c.shards for n, c in settings.data_centres.items()}
            )
        )
        self._regions = regions.Regions(
            {n: c.region for n, c in settings.data_centres.items()},
            {n: c.shards for n, c in settings.data_centres.items()},
            settings.shards_per_owner,
        )
        self._build_tables()
        self._build_network()
        self._build_platform()

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
        for shard_id in self._regions.list_shards(own.data_centre):
            shard = shards.build(
                shard_id=shard_id,
                daemon_id=own.daemon_id,
                incarnation=str(self._incarnation),
                limits=limits,
                loads=self._loads,
                all_shard_ids=self._shard_ids,
                loan_term_s=timings.loan_term_s,
                loan_margin_s=LOAN_MARGIN_S,
                beside=first,
            )
            first = first or shard
            self._shards[shard_id] = shard
        self._submissions = submissions.Submissions(
            own.data_centre, self._loads, timings.retention_s
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
            loads=self._loads,
            outlets=engines.Outlets(
                send=self._send,
                start=self._start,
                stop=self._starts.stop,
            ),
            clock=self._clock,
        )
        self._leasing = leasing.Leasing(
            self._shards,
            self._loads,
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
        hello = handshake.Hello(
            daemon_id=own.daemon_id,
            incarnation=self._incarnation,
            data_centre=own.data_centre,
            address=own.address,
            peer_port=own.peer_port,
            http_port=own.http_port,
        )
        link_settings = wire_server.Settings(
            hello=hello,
            secret=own.peer_secret.encode(),
            messages=tags.build_codec(),
            on_message=lambda link, message: None,
            on_close=lambda link, reason: None,
            limits=links.Limits(
                max_frame_bytes=own.limits.max_frame_bytes,
                heartbeat_s=own.timings.heartbeat_s,
                peer_timeout_s=own.timings.peer_timeout_s,
            ),
        )
        self._peering = peering.Peering(
            link_settings,
            peering.Handlers(
                on_message=self._take_message,
                on_joined=self._take_joined,
                on_relinked=self._take_relinked,
                reconnect=lambda daemon_id: self._mesh.connect(daemon_id),
                on_lost=self._take_lost,
                is_wanted=self._is_link_wanted,
            ),
        )
        self._mesh = meshes.Mesh(
            self._describe_self(),
            self._loads,
            self._regions,
            self._peering,
            self._clock,
        )
        for peer in own.peers:
            self._mesh.learn(
                messages.PeerInfo(
                    peer.daemon_id,
                    peer.data_centre,
                    peer.address,
                    peer.peer_port,
                    0,
                    False,
                )
            )
        self._lookups = lookups.Lookups(
            own.daemon_id, self._engine, self._mesh, self._send, self._clock
        )

        self._drains = drains.Drains(
            self._shards,
            self._loads,
            drains.Outlets(
                send=self._send,
                connect=self._mesh.connect,
                list_linked=self._list_linked_here,
                find_shard=self._workers.find_shard,
            ),
            self._clock,
        )

    def _build_platform(self) -> None:
        own = self._settings
        self._platform = platform_client.PlatformClient(
            own.platform.address,
            own.platform.port,
            platform_client.Limits(timeout_s=own.platform.timeout_s),
        )
        self._polling = polling.Polling(
            polling.Outlets(
                read_row=self._read_row,
                read_vms=self._read_vms,
                is_reader=self._is_reader,
                on_vms=self._take_vms,
                on_declared=self._take_declared,
                share=self._share_declarations,
            ),
            self._clock,
            own.timings.platform_poll_s,
            own.timings.vm_list_poll_s,
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
            self._tell_digests,
            self._update_metrics,
        ):
            gevent.spawn(loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stopping.set)
        LOGGER.info("serving on %s:%d", own.address, own.http_port)
        self._stopping.wait()
        self._drain()
        return 0

    def _drain(self) -> None:
        """Take nothing new, hand on what waits, finish what has begun."""
        LOGGER.info("draining")
        timeout_s = self._settings.timings.drain_timeout_s
        ends_at = self._clock() + timeout_s
        self._start_drain()
        gevent.spawn(self._hand_over, ends_at)
        # Callers whose connection the balancer still brings here are answered
        # until it has noticed.
        self._gateway.drain(timeout_s)
        while self._clock() < ends_at and self._has_work():
            gevent.sleep(0.05)
        self._leasing.resign()
        self._tell_all()
        self._peering.close(1.0)
        LOGGER.info("drained")

    def _start_drain(self) -> None:
        self._draining = True
        for shard in self._shards.values():
            shard.draining = True
        self._tell_all()

    def _hand_over(self, ends_at: float) -> None:
        """Give the shards to others once all that has begun here runs.

        What runs needs no lease to end, so nobody waits for it.
        """
        while self._clock() < ends_at and self._has_waiting():
            gevent.sleep(0.02)
        self._leasing.resign()
        self._tell_all()

    def _has_waiting(self) -> bool:
        return any(
            group.waiting or group.spilled
            for shard in self._shards.values()
            for group in shard.groups.values()
        )

    def _has_work(self) -> bool:
        return bool(self._submissions.rows) or any(
            shard.groups for shard in self._shards.values()
        )

    def _build_backend(self) -> backend.Backend:
        return backend.Backend(
            issue_job_id=self._issue_job_id,
            submit=self._engine.submit,
            wait=self._lookups.wait,
            cancel=self._lookups.cancel,
            issue_stamp=self._issue_stamp,
            get_declarations=lambda: self._engine.declared,
            describe_status=self._describe_status,
            drain=self._drain_target,
            find_job=self._lookups.describe,
            get_unready_reason=self._get_unready_reason,
        )

    def _issue_job_id(self) -> str:
        self._jobs_issued += 1
        own = self._settings.daemon_id
        return f"{own}-{self._incarnation}-{self._jobs_issued}"

    def _issue_stamp(self) -> backend.Stamp | None:
        """Return a stamp of a local shard if there is one, else of any."""
        now = self._clock()
        entries = [
            entry
            for entry in self._loads.entries.values()
            if entry.stamp and entry.stamp_until > now
        ]
        own = self._settings.data_centre
        entries.sort(
            key=lambda entry: (
                directory.get_data_centre(entry.shard_id) != own,
                entry.shard_id,
            )
        )
        if not entries:
            return None
        return backend.Stamp(entries[0].stamp, entries[0].stamp_until - now)

    def _get_unready_reason(self) -> str | None:
        if self._draining:
            return "draining"
        if not self._engine.declared.version:
            return "no declarations yet"
        if not self._loads.entries:
            return "no owner of a shard is known"
        return None

    def _drain_target(self, target: str) -> bool:
        """Drain a worker, or this daemon; return whether it is known."""
        if target == self._settings.daemon_id:
            self._stopping.set()
            return True
        return self._drains.drain(target)

    def _describe_status(self) -> dict[str, Any]:
        now = self._clock()
        own = status.DaemonFacts(
            self._settings.daemon_id,
            self._settings.data_centre,
            self._engine.declared.version,
            "leaving" if self._draining else "live",
            0.0,
        )
        return status.describe(
            own,
            [self._describe_known(known, now) for known in self._list_known()],
            [s for s in self._shards.values() if s.ownership_is_held(now)],
            [
                (entry.shard_id, entry.daemon_id, entry.epoch)
                for entry in self._loads.entries.values()
            ],
            self._mesh.list_unreachable(),
            now,
        )

    def _list_known(self) -> list[meshes.Known]:
        return list(self._mesh.known.values())

    def _describe_known(
        self, known: meshes.Known, now: float
    ) -> status.DaemonFacts:
        state = "leaving" if known.info.leaving else "live"
        if known.is_lost:
            state = "unreachable"
        return status.DaemonFacts(
            known.info.daemon_id,
            known.info.data_centre,
            known.version or 0,
            state,
            min(1e6, now - known.heard_at),
        )

    def _send(self, daemon_id: str, message: object) -> bool:
        sent = self._peering.send(daemon_id, message)
        if sent:
            meters.count_message(self._metrics, message)
        elif daemon_id in self._mesh.known:
            gevent.spawn(self._mesh.connect, daemon_id)
        return sent

    def _start(self, effect: tables.StartTask) -> None:
        self._metrics.starts.inc()
        self._metrics.messages.labels(kind="start").inc()
        self._starts.start(effect)

    def _take_outcome(
        self, effect: tables.StartTask, result: verdicts.TaskResult
    ) -> None:
        self._metrics.tasks.labels(
            verdict=result.verdict.value, reason=result.reason.value
        ).inc()
        self._engine.record_start_outcome(effect, result)
        self._leasing.settle(self._shards[effect.place.shard_id])

    def _take_message(self, sender: str, message: object) -> None:
        if self._engine.take_message(sender, message):
            return
        if self._drains.take_message(sender, message):
            return
        if isinstance(message, messages.Digest):
            self._take_digest(sender, message)
        elif isinstance(message, messages.DeclarationsPush):
            if self._polling.take_push(message):
                self._tell(sender)
        elif isinstance(message, messages.DeclarationsDelta):
            if self._polling.lacks(message.version):
                # If it needs another version, the digest tells so.
                self._polling.take_delta(message)
                self._tell(sender)
        else:
            self._lookups.take_message(sender, message)

    def _take_joined(self, daemon_id: str) -> None:
        hello = self._peering.get_hello(daemon_id)
        self._mesh.learn(
            messages.PeerInfo(
                hello.daemon_id,
                hello.data_centre,
                hello.address,
                hello.peer_port,
                hello.http_port,
                False,
            )
        )
        self._greet(daemon_id)

    def _take_relinked(self, daemon_id: str) -> None:
        self._engine.ask_daemon(daemon_id)
        # To the other end the link may be the first: it knows nothing of us.
        self._greet(daemon_id)

    def _greet(self, daemon_id: str) -> None:
        """Tell a daemon that has a new link all that it may not know."""
        self._mesh.record_linked(daemon_id)
        self._send(daemon_id, self._describe_digest(with_peers=True))
        if daemon_id in self._list_linked_here():
            self._drains.tell(daemon_id)

    def _take_lost(self, daemon_id: str) -> None:
        LOGGER.warning("lost %s", daemon_id, extra={"peer": daemon_id})
        self._mesh.record_lost(daemon_id)
        self._engine.lose_daemon(daemon_id)
        gevent.spawn(self._mesh.step)

    def _take_digest(self, sender: str, digest: messages.Digest) -> None:
        now = self._clock()
        for info in digest.peers:
            if info.daemon_id not in self._mesh.known:
                self._mesh.learn(info)
        known = self._mesh.known.get(sender)
        if known:
            self._mesh.learn(
                messages.PeerInfo(
                    sender,
                    known.info.data_centre,
                    known.info.address,
                    known.info.peer_port,
                    known.info.http_port,
                    digest.leaving,
                )
            )
        self._mesh.record_heard(sender, digest.version)
        owned = frozenset(load.shard_id for load in digest.loads)
        directory.keep_only(self._loads, sender, owned)
        changed = False
        for load in digest.loads:
            changed |= directory.record_load(self._loads, sender, load, now)
        for owner in digest.owners:
            changed |= directory.record_owner(self._loads, owner, now)
        if changed:
            gevent.spawn(self._mesh.step)
        push = self._polling.choose_push(digest.version)
        if push and self._is_sharer(sender):
            self._send(sender, push)
        self._engine.wake()

    def _is_sharer(self, peer_id: str) -> bool:
        """Return whether a peer that is behind gets declarations from here."""
        known = self._mesh.known.get(peer_id)
        own = self._settings.data_centre
        is_local = known is not None and known.info.data_centre == own
        return self._is_first_owner() or not is_local

    def _is_first_owner(self) -> bool:
        shard = self._shards.get(f"{self._settings.data_centre}/0")
        return shard is not None and shard.ownership_is_held(self._clock())

    def _is_reader(self) -> bool:
        """Return whether this daemon reads the declarations itself."""
        if self._is_first_owner() or not self._engine.declared.version:
            return True
        entry = self._loads.entries.get(f"{self._settings.data_centre}/0")
        # An owner known by hearsay alone pushes nothing here.
        return entry is None or not self._peering.is_linked(entry.daemon_id)

    def _read_row(self) -> polling.Row | None:
        self._metrics.messages.labels(kind="platform").inc()
        row = self._platform.reread_row(polling.CURRENT_KEY)
        if row is None:
            return None
        return polling.Row(int(row.value["version"]), row.value)

    def _read_vms(self) -> list[entities.Vm]:
        self._metrics.messages.labels(kind="platform").inc()
        near = self._regions.list_near(self._settings.data_centre)
        return list(self._platform.list_vms(near).vms)

    def _take_vms(self, vms: list[entities.Vm]) -> None:
        self._workers.list_vms(vms)
        self._drains.apply(self._workers.list_ids())
        entry_vms = [vm for vm in vms if vm.role is entities.VmRole.ENTRY]
        for vm in entry_vms:
            self._mesh.learn(
                messages.PeerInfo(
                    vm.vm_id,
                    vm.data_centre,
                    vm.address,
                    vm.port,
                    vm.http_port,
                    vm.state is entities.VmState.LEAVING,
                ),
                is_listed=True,
            )
        self._mesh.keep_listed({vm.vm_id for vm in entry_vms})

    def _take_declared(self, declared: Any) -> bool:
        if not self._engine.declare(declared):
            return False
        self._metrics.plans_version.set(declared.version)
        return True

    def _share_declarations(self) -> None:
        for daemon_id in self._peering.list_linked():
            known = self._mesh.known.get(daemon_id)
            version = known.version if known and known.version else 0
            push = self._polling.choose_share(version)
            if push:
                self._send(daemon_id, push)

    def _take_ownership_change(self, shard_id: str) -> None:
        self._engine.wake()
        self._tell_all()
        gevent.spawn(self._mesh.step)

    def _describe_self(self) -> messages.PeerInfo:
        own = self._settings
        return messages.PeerInfo(
            own.daemon_id,
            own.data_centre,
            own.address,
            own.peer_port,
            own.http_port,
            self._draining,
        )

    def _describe_digest(self, with_peers: bool = False) -> messages.Digest:
        now = self._clock()
        owned = [s for s in self._shards.values() if s.ownership_is_held(now)]
        peers: tuple[messages.PeerInfo, ...] = ()
        owners: tuple[messages.ShardOwner, ...] = ()
        if with_peers:
            peers = tuple(known.info for known in self._list_known())
            owners = tuple(
                messages.ShardOwner(e.shard_id, e.daemon_id, e.epoch, e.slots)
                for e in self._loads.entries.values()
            )
        return messages.Digest(
            self._engine.declared.version,
            self._draining,
            tuple(spilling.describe_load(s, now) for s in owned),
            owners,
            peers,
        )

    def _is_link_wanted(self, daemon_id: str) -> bool:
        """Return whether a link to a daemon is of any use to either end.

        Both ends judge alike: owners are linked with all, and others with
        each other only while a shard of the region has no owner.
        """
        owners = {entry.daemon_id for entry in self._loads.entries.values()}
        return (
            daemon_id in owners
            or self._settings.daemon_id in owners
            or daemon_id in self._mesh.choose_links()
            or self._engine.is_involved(daemon_id)
        )

    def _list_linked_here(self) -> list[str]:
        """Return the linked daemons of this region."""
        own = self._settings.data_centre
        return [
            daemon_id
            for daemon_id in self._peering.list_linked()
            if daemon_id in self._mesh.known
            and self._regions.is_near(
                own, self._mesh.known[daemon_id].info.data_centre
            )
        ]

    def _tell(self, daemon_id: str) -> None:
        self._send(daemon_id, self._describe_digest())

    def _tell_all(self) -> None:
        for daemon_id in self._peering.list_linked():
            self._tell(daemon_id)

    def _tell_digests(self) -> None:
        """Tell linked peers of this daemon, rarely, as changes are told at once.

        That a peer lives is seen by the heartbeats of the link.
        """
        while True:
            gevent.sleep(DIGEST_INTERVAL_S)
            self._tell_all()

    def _update_metrics(self) -> None:
        while True:
            gevent.sleep(1.0)
            meters.update(
                self._metrics,
                list(self._shards.values()),
                self._peering,
                self._clock(),
            )
