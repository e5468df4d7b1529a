"""A stand-in of a whole site: store, workers, operator, and daemons' settings.

It runs in the process of the test that uses it; the daemons are processes of
their own.
"""

from collections.abc import Callable
import json
import pathlib
from typing import Any

from gevent import pywsgi

from standins import site_store
from standins import site_worker
from standins import wsgi

HOST = wsgi.HOST
SERVICE = "training"
QUEUE_HOST = "jobs.example"
PREFIX = "/lookups/"


class Site:
    """The platform of a few daemons.

    Attributes:
        store: The store.
        workers: Workers by id.
    """

    def __init__(
        self, rewrite: Callable[[str, str, bytes], bytes] | None = None
    ):
        self.store = site_store.SiteStore(rewrite)
        self.workers: dict[str, site_worker.SiteWorker] = {}
        self._servers: dict[str, pywsgi.WSGIServer] = {}
        self._store_server = wsgi.serve(self.store.serve)

    @property
    def store_port(self) -> int:
        """The store's port."""
        return self._store_server.server_port

    def add_worker(
        self, worker_id: str, data_centre: str = "norte", cpu: int = 64_000
    ) -> site_worker.SiteWorker:
        """Start a worker and list it."""
        worker = site_worker.SiteWorker(worker_id, cpu)
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
    ) -> None:
        """Write a worker's entry, by default with its own port."""
        worker = self.workers[worker_id]
        port = port or self.get_worker_port(worker_id)
        entry = {
            "Service": SERVICE,
            "Addr": f"{HOST}:{port}",
            "Zone": data_centre,
            "State": state,
            "Slots": 8,
            "Capacity": {"Cpu": worker.cpu, "MemMb": 131_072, "Gpu": 0},
            "Labels": ["a", "r1"],
            "Seq": 1,
        }
        self.store.put("servers", worker_id, json.dumps(entry).encode())

    def get_worker_port(self, worker_id: str) -> int:
        """Return where a worker listens."""
        return self._servers[worker_id].server_port

    def stop_worker(self, worker_id: str) -> None:
        """Close a worker's port; it stays listed."""
        self._servers[worker_id].stop(timeout=0)

    def configure(
        self, version: int, added: tuple[str, ...] = (), **changes: Any
    ) -> None:
        """Write a configuration with one queue, and one a further prefix."""
        route = {
            "Name": "lookups",
            "Host": QUEUE_HOST,
            "Prefix": PREFIX,
            "Type": "unsafe",
            "TimeoutMs": 3000,
            "SloMs": 400,
            "Priority": 1,
            "Service": SERVICE,
            "Attempts": 3,
            "Stretch": 1.6,
        }
        routes = [route | changes]
        routes += [
            route | {"Name": f"added-{index}", "Prefix": prefix}
            for index, prefix in enumerate(added)
        ]
        config = {"Version": version, "Routes": routes}
        self.store.put("op", "config", json.dumps(config).encode())

    def write_settings(
        self,
        path: pathlib.Path,
        daemon_id: str,
        ports: list[int],
        data_centre: str = "norte",
        is_first_start: bool = True,
    ) -> None:
        """Write the settings file of a daemon.

        Args:
            path: The file.
            daemon_id: The daemon.
            ports: For callers, readiness and peers.
            data_centre: Where it runs.
            is_first_start: Whether the whole system starts anew.
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
            "Limits.CpuShare": 0.5,
            "Limits.Cores": 2,
            "Limits.MaxFds": 4100,
            "Bounds.GraceS": 6,
            "Bounds.MaxHoldMs": 1000,
            "Bounds.ResendMs": 1300,
            "platform.Addr": f"{HOST}:{self.store_port}",
            "platform.WritesPerS": 600,
            "platform.ReadsPerS": 2000,
            "Some.New.Field": "left alone",
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        path.write_text(text)

    def find_overlaps(self) -> list[tuple[str, int, int]]:
        """Return tasks of which two runs were at work at the same time."""
        runs: dict[str, list[site_worker.Run]] = {}
        for worker in self.workers.values():
            for run in worker.history:
                runs.setdefault(run.task, []).append(run)
        overlaps = []
        for task, group in runs.items():
            group.sort(key=lambda run: run.began_s)
            for one, other in zip(group, group[1:], strict=False):
                if one.ended_s is None or one.ended_s > other.began_s:
                    overlaps.append((task, one.number, other.number))
        return overlaps

    def close(self) -> None:
        """Stop all servers."""
        for server in [self._store_server, *self._servers.values()]:
            server.stop(timeout=0)


def build_job(
    tasks: int = 2, run_ms: int = 60, cpu: int = 27_000, fail: bool = False
) -> bytes:
    """Return the body of a job that this site's workers can run."""
    spec = json.dumps({"run_ms": run_ms, "cpu": cpu, "fail": fail})
    step = {"Count": tasks, "Cpu": cpu, "MemMb": 64, "EstimateMs": run_ms}
    return json.dumps(
        {"Spec": spec, "Steps": [step], "Preemptible": True}
    ).encode()
