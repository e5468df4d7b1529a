"""Daemon processes that run on a simulated platform site."""

from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import gevent
from gevent import subprocess as gevent_subprocess

from bench import ports
from pollenladder.http import connections
from pollenladder.http import exceptions as http_exceptions
from pollenladder.http import exchanges
from soak import networks
from soak import peer_addresses
from soak import routing
from standins import site as sites

ROOT = pathlib.Path(__file__).resolve().parents[1]
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 8.0


AddCleanup = Callable[[Callable[[], object]], object]


@dataclasses.dataclass
class Daemon:
    """A daemon and its current or last process.

    Attributes:
        daemon_id: The id of the daemon.
        data_centre: The data centre of the daemon.
        ports: The ports for callers, readiness checks and peers.
        settings: The path of the settings file.
        log: The path of the log file.
        process: The process; None before the first start.
    """

    daemon_id: str
    data_centre: str
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    process: Any = None


@dataclasses.dataclass(frozen=True)
class Reply:
    """An HTTP reply; status 0 means that the exchange failed or timed out.

    Attributes:
        status: The HTTP status.
        state: The state of the job in the body, or an empty string.
    """

    status: int
    state: str = ""


class Cluster:
    """A simulated site and its daemons, which end with the parent process.

    Attributes:
        site: The simulated platform site.
        daemons: Daemons by id.
    """

    def __init__(
        self,
        add_cleanup: AddCleanup,
        names: list[str],
        workers: int,
        defect: str = "",
        rewrite: Callable[[str, str, bytes], bytes] | None = None,
        data_centres: tuple[str, ...] = ("norte",),
        cpu_share: float = 0.5,
        memory_mb: int = 300,
        max_descriptors: int = 4100,
        network: networks.Network | None = None,
        peer_address: str = "",
    ):
        """Start the site and the daemons.

        Args:
            add_cleanup: Registers a function that ends a part of the cluster.
            names: The ids of the daemons.
            workers: The number of workers.
            defect: The name of a defect to inject; see `soak.defects`.
            rewrite: Passed to `site_store.SiteStore`.
            data_centres: Daemons and workers are dealt to these in turn.
            cpu_share: Each daemon's share of a core, by which daemons choose
                the number of groups.
            memory_mb: The memory of each daemon's machine, in MB.
            max_descriptors: The number of descriptors that each may open.
            network: The network through which daemons open connections, if any.
            peer_address: What daemons tell each other in place of the address
                that they listen on; see `soak.peer_addresses`.
        """
        self._environment = {peer_addresses.VARIABLE: peer_address}
        self._limits = {
            "cpu_share": cpu_share,
            "memory_mb": memory_mb,
            "max_descriptors": max_descriptors,
        }
        self._arguments = [defect] if defect else []
        self._network = network
        folder = tempfile.TemporaryDirectory()
        add_cleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)
        self.site = sites.Site(rewrite)
        add_cleanup(self.site.close)
        add_cleanup(self.stop_all)
        self.site.configure(1)
        for index in range(workers):
            data_centre = data_centres[index % len(data_centres)]
            self.site.add_worker(f"w{index}", data_centre)
        self.daemons = {
            name: self._prepare(name, data_centres[index % len(data_centres)])
            for index, name in enumerate(names)
        }
        if network:
            self._add_hosts(network)
        for name in names:
            self.start(name)

    def _add_hosts(self, network: networks.Network) -> None:
        store = networks.Host("store", networks.STORE_PLACE)
        network.add_host(store, self.site.store_port)
        for worker in self.site.workers.values():
            host = networks.Host(worker.worker_id, worker.data_centre)
            port = self.site.get_worker_port(worker.worker_id)
            network.add_host(host, port)
        for daemon in self.daemons.values():
            host = networks.Host(daemon.daemon_id, daemon.data_centre)
            _, _, peer_port = daemon.ports
            network.add_host(host, peer_port)

    def _prepare(self, name: str, data_centre: str) -> Daemon:
        found = ports.find_free_ports(3)
        path = self._folder / f"{name}.conf"
        self.site.write_settings(path, name, found, data_centre, **self._limits)
        log = self._folder / f"{name}.log"
        return Daemon(name, data_centre, found, path, log)

    def start(self, name: str) -> None:
        """Start or restart a daemon."""
        daemon = self.daemons[name]
        if daemon.process is not None:
            self.site.write_settings(
                daemon.settings,
                name,
                daemon.ports,
                daemon.data_centre,
                is_first_start=False,
                **self._limits,
            )
        # The daemon exits when this pipe closes, even if this process is
        # killed.
        with daemon.log.open("ab") as log:
            daemon.process = gevent_subprocess.Popen(
                [sys.executable, "-m", "soak.daemon", *self._arguments],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                env=os.environ | self._build_environment(daemon),
            )

    def _build_environment(self, daemon: Daemon) -> dict[str, str]:
        found = {"POLLENLADDER_SETTINGS": str(daemon.settings)}
        found |= self._environment
        if self._network:
            found[routing.PORT_VARIABLE] = str(self._network.port)
            found[routing.HOST_VARIABLE] = daemon.daemon_id
        return found

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a daemon."""
        self.daemons[name].process.send_signal(number)

    def stop_all(self) -> None:
        """Kill all daemons, paused ones included."""
        for daemon in self.daemons.values():
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
            if daemon.process:
                daemon.process.stdin.close()

    def wait_until_ready(self, *names: str) -> None:
        """Wait until daemons are ready.

        Args:
            *names: The ids of the daemons; all daemons if there are none.

        Raises:
            AssertionError: A daemon was not ready in time.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        for name in names or self.daemons:
            while not self.is_ready(name):
                if time.monotonic() > end_s:
                    log = self.daemons[name].log.read_text()
                    raise AssertionError(f"{name} not ready: {log[-2000:]}")
                gevent.sleep(POLL_INTERVAL_S)

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness check of a daemon succeeds."""
        return self._call(name, 1, "GET", "/ready", b"").status == 200

    def submit(
        self,
        name: str,
        job_id: str,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
        budget_ms: int = 0,
    ) -> Reply:
        """Submit a job and wait for its answer or for the timeout.

        Args:
            name: The id of the daemon.
            job_id: The id of the job.
            body: The body of the request.
            timeout_s: When the caller disconnects, in seconds.
            budget_ms: The time budget that the request tells; 0 for none.
        """
        path = sites.PREFIX + job_id
        fields = build_budget_field(budget_ms) if budget_ms else b""
        return self._call(name, 0, "POST", path, body, timeout_s, fields)

    def cancel(self, name: str, job_id: str) -> Reply:
        """Cancel a job through a daemon."""
        path = sites.PREFIX + job_id
        return self._call(name, 0, "DELETE", path, b"")

    def get(self, name: str, path: str, timeout_s: float) -> Reply:
        """Send a GET request to the caller port of a daemon."""
        return self._call(name, 0, "GET", path, b"", timeout_s)

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the complete log lines of a daemon."""
        whole, _, _ = self.daemons[name].log.read_text().rpartition("\n")
        return [json.loads(line) for line in whole.splitlines()]

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy the logs of the daemons to a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, daemon in self.daemons.items():
            shutil.copy(daemon.log, folder / f"{name}.log")

    def wait_for_owner(self) -> str:
        """Wait until the logs show exactly one owner of the workers.

        Returns:
            The id of the daemon that owns the workers.

        Raises:
            AssertionError: There was not exactly one owner in time.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        while len(owners := self._find_current_owners()) != 1:
            if time.monotonic() > end_s:
                raise AssertionError(f"expected one owner, found {owners}")
            gevent.sleep(POLL_INTERVAL_S)
        return owners[0]

    def _find_current_owners(self) -> list[str]:
        owners = []
        for name in self.daemons:
            changes = [
                line["event"]
                for line in self.read_log(name)
                if line["event"].startswith("ownership_")
            ]
            if changes and changes[-1] == "ownership_claimed":
                owners.append(name)
        return owners

    def list_claimants(self) -> list[str]:
        """Return the daemons that claimed the workers, in order of claims."""
        claims = [
            (line["time"], name)
            for name in self.daemons
            for line in self.read_log(name)
            if line["event"] == "ownership_claimed"
        ]
        return [name for _, name in sorted(claims)]

    def _call(
        self,
        name: str,
        port: int,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
        fields: bytes = b"",
    ) -> Reply:
        address = (sites.HOST, self.daemons[name].ports[port])
        pool = connections.ConnectionPool(address, 1, 1.0, 1.0, time.monotonic)
        request = build_request(address, method, path, body, fields)
        try:
            response = exchanges.exchange(pool, request, timeout_s)
        except http_exceptions.ExchangeError:
            return Reply(0)
        finally:
            pool.close_idle()
        found = json.loads(response.body or b"{}")
        return Reply(response.status, found.get("State", ""))


def build_request(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes,
    fields: bytes = b"",
) -> bytes:
    """Return the bytes of a request to a daemon, for the queue of the site."""
    head = exchanges.build_head(address, method, path)
    host = f"{address[0]}:{address[1]}".encode()
    head = head.replace(host, sites.QUEUE_HOST.encode(), 1)
    return exchanges.build_request(head, body, fields)


def build_budget_field(budget_ms: int) -> bytes:
    """Return the header line that tells the time budget of a request."""
    return b"Pollenladder-Deadline-Ms: %d\r\n" % budget_ms
