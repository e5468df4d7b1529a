"""The clients of the workers' endpoints in this region, and their shards."""

import dataclasses

from pollenladder.conf import settings as conf
from pollenladder.core import clocks
from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import tables
from pollenladder.endpoints import client
from pollenladder.endpoints import outcomes
from pollenladder.membership import hashing
from pollenladder.metrics import registry

# Connections reserved for requests about leases and stops.
CONTROL_CONNECTIONS = 2


def build_limits(settings: conf.Settings) -> client.Limits:
    """Return the limits of an endpoint client."""
    connections = settings.limits.connections_per_worker
    return client.Limits(
        start_connections=connections - CONTROL_CONNECTIONS,
        control_connections=CONTROL_CONNECTIONS,
        connect_timeout_s=settings.timings.endpoint_connect_timeout_s,
    )


class WorkerClients:
    """The endpoint client of each worker, in step with the VM list."""

    def __init__(
        self,
        shard_counts: dict[str, int],
        shard_tables: dict[str, tables.Shard],
        daemon_id: str,
        limits: client.Limits,
        clock: clocks.Clock,
        metrics: registry.Metrics,
    ):
        self._shard_counts = shard_counts
        self._shards = shard_tables
        self._daemon_id = daemon_id
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._clients: dict[str, client.EndpointClient] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._data_centres: dict[str, str] = {}

    def get_client(self, worker_id: str) -> client.EndpointClient | None:
        """Return the client of a worker, or None if it has none."""
        return self._clients.get(worker_id)

    def list_ids(self) -> set[str]:
        """Return the ids of the workers in the VM list."""
        return set(self._data_centres)

    def find_shard(self, worker_id: str) -> str | None:
        """Return the shard of a worker; None if it is not in the VM list."""
        centre = self._data_centres.get(worker_id)
        shard_count = self._shard_counts.get(centre or "")
        if centre is None or shard_count is None:
            return None
        return hashing.find_shard(worker_id, centre, shard_count)

    def apply_vm_list(self, vms: list[entities.Vm]) -> None:
        """Update the clients and the shards' workers from the VM list."""
        endpoints = [vm for vm in vms if vm.role is entities.VmRole.ENDPOINT]
        self._data_centres = {vm.vm_id: vm.data_centre for vm in endpoints}
        regional_vms = []
        rows: dict[str, list[tables.Worker]] = {key: [] for key in self._shards}
        for vm in endpoints:
            shard_id = self.find_shard(vm.vm_id)
            if shard_id in rows:
                regional_vms.append(vm)
                rows[shard_id].append(_build_worker(vm))
        self._update_clients(regional_vms)
        now = self._clock()
        for shard_id, shard in self._shards.items():
            shards.update_workers(shard, rows[shard_id], now)

    def acquire_lease(
        self, worker_id: str, shard_id: str, epoch: int, ttl_s: float
    ) -> outcomes.LeaseOutcome:
        """Request a worker's lease."""
        endpoint = self._clients.get(worker_id)
        if endpoint is None:
            return outcomes.Failure(
                verdicts.Verdict.NOT_RUN, verdicts.Reason.UNREACHABLE
            )
        self._metrics.count_message("lease")
        lease = outcomes.Lease(shard_id, self._daemon_id, epoch)
        return endpoint.acquire_lease(lease, ttl_s)

    def release_lease(self, worker_id: str, shard_id: str, epoch: int) -> None:
        """Release a worker's lease."""
        endpoint = self._clients.get(worker_id)
        if endpoint:
            self._metrics.count_message("lease")
            lease = outcomes.Lease(shard_id, self._daemon_id, epoch)
            endpoint.release_lease(lease)

    def _update_clients(self, vms: list[entities.Vm]) -> None:
        """Close clients whose VM is gone or has moved, and make missing ones."""
        addresses = {vm.vm_id: (vm.address, vm.port) for vm in vms}
        for worker_id in list(self._clients):
            if addresses.get(worker_id) != self._addresses[worker_id]:
                self._clients.pop(worker_id).close()
        for vm in vms:
            if vm.vm_id not in self._clients:
                limits = dataclasses.replace(
                    self._limits,
                    start_connections=max(
                        vm.slots, self._limits.start_connections
                    ),
                )
                self._clients[vm.vm_id] = client.EndpointClient(
                    vm.vm_id, vm.address, vm.port, limits, self._clock
                )
        self._addresses = addresses


def _build_worker(vm: entities.Vm) -> tables.Worker:
    return tables.Worker(
        vm.vm_id, vm.slots, leaving=vm.state is entities.VmState.LEAVING
    )
