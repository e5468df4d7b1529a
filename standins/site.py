"""Simulated platform site: store, workers, configuration, daemon settings.

The site runs in the process of the test that uses it, while the daemons run as
separate processes.
"""

from collections.abc import Callable
import dataclasses
import itertools
import json
import math
import pathlib
import time
from typing import Any

import gevent
from gevent import pywsgi

from standins import site_store
from standins import site_worker
from standins import wsgi

HOST = wsgi.HOST
SERVICE = "training"
QUEUE_HOST = "jobs.example"
PREFIX = "/lookups/"
# The interval of the workers' reports, as the daemons are told.
REPORT_INTERVAL_MS = 1500
# A job fails once one of its tasks has failed as often.
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class Overlap:
    """Two concurrent runs of a task.

    Attributes:
        first: The run that began first.
        second: The run that began while the first one was at work.
    """

    first: site_worker.Run
    second: site_worker.Run


class Site:
    """The store and the workers that a group of daemons uses.

    Attributes:
        store: The store.
        workers: Workers by id, including those that were stopped.
        crash_down_s: How long a crashed worker is down, in seconds.
        crashes: When workers crashed, monotonic, in seconds.
        on_crash: Called with the id of a worker that crashes.
    """

    def __init__(
        self, rewrite: Callable[[str, str, bytes], bytes] | None = None
    ):
        """Start an empty store.

        Args:
            rewrite: Passed to `site_store.SiteStore`.
        """
        self.store = site_store.SiteStore(rewrite)
        self.workers: dict[str, site_worker.SiteWorker] = {}
        self.crash_down_s = 1.5
        self.crashes: list[float] = []
        self.on_crash: Callable[[str], None] = lambda worker_id: None
        self._servers: dict[str, pywsgi.WSGIServer] = {}
        self._store_server = wsgi.serve(self.store.serve)

    @property
    def store_port(self) -> int:
        """The port of the store."""
        return self._store_server.server_port

    def add_worker(
        self, worker_id: str, data_centre: str = "norte", cpu: int = 64_000
    ) -> site_worker.SiteWorker:
        """Start a worker and write its entry to the store.

        Args:
            worker_id: The id of the worker.
            data_centre: The data centre of the worker.
            cpu: The CPU capacity in thousandths of a core.
        """
        worker = site_worker.SiteWorker(
            worker_id, cpu, self.crash_worker, data_centre
        )
        self.workers[worker_id] = worker
        self._servers[worker_id] = wsgi.serve(worker.serve)
        self.list_worker(worker_id, data_centre)
        return worker

    def list_worker(
        self,
        worker_id: str,
        data_centre: str = "norte",
        state: str = "ready",
        port: int = 0,
        cold_left_ms: int = 0,
    ) -> None:
        """Write the store entry of a worker.

        Args:
            worker_id: The id of the worker.
            data_centre: The data centre of the worker.
            state: The state, for example "ready" or "draining".
            port: The port in the entry; 0 selects the port of the worker.
            cold_left_ms: For how much longer the worker claims to be slow.
        """
        worker = self.workers[worker_id]
        port = port or self.get_worker_port(worker_id)
        entry = {
            "Service": SERVICE,
            "Addr": f"{HOST}:{port}",
            "Zone": data_centre,
            "State": state,
            "ColdLeftMs": cold_left_ms,
            "Slots": 8,
            "Capacity": {"Cpu": worker.cpu, "MemMb": 131_072, "Gpu": 0},
            "Labels": ["a", "r1"],
            "Seq": 1,
        }
        self.store.put("servers", worker_id, json.dumps(entry).encode())

    def get_worker_port(self, worker_id: str) -> int:
        """Return the port on which a worker listens."""
        return self._servers[worker_id].server_port

    def stop_worker(self, worker_id: str) -> None:
        """Close the port of a worker and leave its store entry unchanged."""
        self._servers[worker_id].stop(timeout=0)

    def crash_worker(self, worker_id: str) -> None:
        """Crash a worker unless it is down; it restarts after `crash_down_s`.

        It keeps its id. Meanwhile, its port refuses connections and its store
        entry is unchanged.
        """
        server = self._servers[worker_id]
        if not server.started:
            return
        port = server.server_port
        self.on_crash(worker_id)
        self.crashes.append(time.monotonic())
        self.workers[worker_id].restart()
        server.crash()
        gevent.spawn_later(self.crash_down_s, self._reopen, worker_id, port)

    def _reopen(self, worker_id: str, port: int) -> None:
        worker = self.workers[worker_id]
        worker.restart()
        self._servers[worker_id] = wsgi.serve(worker.serve, port)

    def configure(
        self,
        version: int,
        added: tuple[str, ...] = (),
        cold_start_s: float = 0,
        **changes: Any,
    ) -> None:
        """Write a configuration to the store.

        Args:
            version: The version of the configuration.
            added: URL prefixes; each one gets a queue of its own besides the
                default queue.
            cold_start_s: For how long the workers are slow after their start.
            **changes: Fields that replace those of the default queue.
        """
        route = {
            "Name": "lookups",
            "Host": QUEUE_HOST,
            "Prefix": PREFIX,
            "Type": "unsafe",
            "TimeoutMs": 3000,
            "SloMs": 400,
            "Priority": 1,
            "Service": SERVICE,
            "Attempts": MAX_ATTEMPTS,
            "Stretch": 1.6,
        }
        routes = [route | changes]
        routes += [
            route | {"Name": f"added-{index}", "Prefix": prefix}
            for index, prefix in enumerate(added)
        ]
        services = [{"Name": SERVICE, "ColdStartS": cold_start_s}]
        config = {"Version": version, "Routes": routes, "Services": services}
        self.store.put("op", "config", json.dumps(config).encode())

    def write_settings(
        self,
        path: pathlib.Path,
        daemon_id: str,
        ports: list[int],
        data_centre: str = "norte",
        is_first_start: bool = True,
        cpu_share: float = 0.5,
        memory_mb: int = 300,
        max_descriptors: int = 4100,
    ) -> None:
        """Write the settings file of a daemon.

        Args:
            path: The path of the file.
            daemon_id: The id of the daemon.
            ports: The ports for callers, readiness checks and peers.
            data_centre: The data centre of the daemon.
            is_first_start: Whether the daemon bootstraps a new system.
            cpu_share: The daemon's share of a core.
            memory_mb: The memory of the daemon's machine, in MB.
            max_descriptors: The number of descriptors that it may open.
        """
        callers, readiness, peers = ports
        lines = {
            "Node": daemon_id,
            "Ip": HOST,
            "Zone": data_centre,
            "Listen.Front": f"{HOST}:{callers}",
            "Listen.Ready": f"{HOST}:{readiness}",
            "PortRange": f"{peers},{peers}",
            "Bootstrap": str(is_first_start).lower(),
            "HeartbeatMs": REPORT_INTERVAL_MS,
            "Limits.CpuShare": cpu_share,
            "Limits.Cores": 2,
            "Limits.MaxFds": max_descriptors,
            "Limits.MemoryMb": memory_mb,
            "Bounds.GraceS": 6,
            "Bounds.MaxHoldMs": 1000,
            "Bounds.ResendMs": 1300,
            "Bounds.EvacuateMs": 5000,
            "Region": "andes",
            "Zones.sur": "costa",
            "platform.Addr": f"{HOST}:{self.store_port}",
            "platform.WritesPerS": 600,
            "platform.ReadsPerS": 2000,
            "Some.New.Field": "left alone",
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        path.write_text(text)

    def find_overlaps(self) -> list[Overlap]:
        """Find tasks that had two concurrent runs."""
        runs: dict[str, list[site_worker.Run]] = {}
        for worker in self.workers.values():
            for run in worker.list_runs():
                runs.setdefault(run.task, []).append(run)
        return [
            Overlap(first, second)
            for group in runs.values()
            for first, second in itertools.combinations(
                sorted(group, key=lambda run: run.began_s), 2
            )
            if second.began_s < (first.ended_s or math.inf)
        ]

    def close(self) -> None:
        """Stop all servers."""
        for server in [self._store_server, *self._servers.values()]:
            server.stop(timeout=0)


def build_job(
    tasks: int = 2,
    run_ms: int = 60,
    cpu: int = 27_000,
    fail: bool = False,
    crashing_task: int | None = None,
) -> bytes:
    """Build the body of a job that `site_worker.SiteWorker` can run.

    Args:
        tasks: The number of tasks.
        run_ms: The run time of each task in milliseconds.
        cpu: The CPU demand of each task in thousandths of a core.
        fail: Whether the tasks fail.
        crashing_task: The index of the task that crashes its worker, if any.
    """
    work = {"run_ms": run_ms, "cpu": cpu, "fail": fail}
    if crashing_task is not None:
        work["crashing_task"] = crashing_task
    spec = json.dumps(work)
    step = {"Count": tasks, "Cpu": cpu, "MemMb": 64, "EstimateMs": run_ms}
    return json.dumps(
        {"Spec": spec, "Steps": [step], "Preemptible": True}
    ).encode()
