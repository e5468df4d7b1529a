"""Daemons of the deploy file on a simulated site, for the cases 11 to 15.

Each daemon has a loopback address of its own, and a front of its own before the
store. The front replaces the addresses of the other daemons by those of proxies, one
for each pair, so that a single daemon can be cut off from others.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket as stdlib_socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import gevent
from gevent import socket

from bench import ports
from soak import proxies
from standins import site as sites
from standins import wsgi

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = ("norte", "sur", "este")
# Each zone is an area of its own name in the settings.
AREA = "andes"
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 20.0
# The port of `metrics` in the deploy file.
METRICS_PORT = 9464
SETTLING_S = 2.0
EXPIRY_INTERVAL_S = 0.005


def has_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclasses.dataclass
class Daemon:
    """A daemon and its process.

    Attributes:
        name: The name of the machine.
        zone: The zone of the machine.
        address: The IP address.
        ports: The ports for callers, readiness checks and peers.
        settings: The path of the settings file.
        log: The path of the log.
        process: The process; None before the start.
    """

    name: str
    zone: str
    address: str
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None


@dataclasses.dataclass
class Reply:
    """What a client has sent, and the answer; status 0 stands for none.

    Attributes:
        sent_s: When the request was sent, monotonic.
        ended_s: When the answer was whole, or the channel had ended.
        status: The status.
        body: The body.
    """

    sent_s: float
    ended_s: float
    status: int = 0
    body: bytes = b""


class Channel:
    """A client's channel to a daemon, which stays open between requests."""

    def __init__(self, address: tuple[str, int]):
        self._sock = socket.create_connection(address, 2.0)
        self._sock.settimeout(CALL_TIMEOUT_S)

    def call(
        self, method: str, path: str, body: bytes = b"", deadline_ms: int = 0
    ) -> Reply:
        """Send a request and wait for its answer."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {sites.QUEUE_HOST}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ]
        if deadline_ms:
            lines.append(f"Pollenladder-Deadline-Ms: {deadline_ms}")
        head = "\r\n".join([*lines, "", ""]).encode()
        reply = Reply(time.monotonic(), 0.0)
        try:
            self._sock.sendall(head + body)
            reply.status, reply.body = self._receive()
        except OSError:
            reply.status = 0
        reply.ended_s = time.monotonic()
        return reply

    def _receive(self) -> tuple[int, bytes]:
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive_some()
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        while len(body) < int(fields.get("content-length", "0")):
            body += self._receive_some()
        return int(lines[0].split()[1]), body

    def _receive_some(self) -> bytes:
        data = self._sock.recv(65_536)
        if not data:
            raise ConnectionError("the channel has ended")
        return data

    def close(self) -> None:
        """Close the channel."""
        self._sock.close()


class Rig:
    """A small deployment: the platform, the workers, and the daemons.

    Attributes:
        site: The store and the workers.
        daemons: The daemons by name.
        worker_zones: The zones of the workers, by id.
        fences: When each worker has seen a higher generation number, monotonic,
            and the number, by the worker's id.
    """

    def __init__(self, folder: pathlib.Path, names: list[str], workers: int):
        """Start everything.

        Args:
            folder: The folder of the case, which gets the record.
            names: The names of the daemons' machines.
            workers: The number of workers, which are dealt to the zones.
        """
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        self._run = _read_run_line()
        self._block = _find_free_block(len(names))
        self._proxies: dict[tuple[str, str], proxies.Proxy] = {}
        self._fronts: list[Any] = []
        self.site = sites.Site()
        self.configure()
        self.worker_zones: dict[str, str] = {}
        self.fences: dict[str, list[tuple[float, int]]] = {}
        for index in range(workers):
            zone = ZONES[index % len(ZONES)]
            self.site.add_worker(f"{index + 1:016x}", zone)
            self.worker_zones[f"{index + 1:016x}"] = zone
        self.daemons = {
            name: self._prepare(name, index) for index, name in enumerate(names)
        }
        for reader in names:
            for target in [*names, *self.site.workers]:
                self._get_proxy(reader, target)
        gevent.spawn(self._watch_workers)

    def configure(self, version: int = 1, **changes: Any) -> None:
        """Write a configuration, as the operator."""
        self.site.configure(version, **changes)

    def _prepare(self, name: str, index: int) -> Daemon:
        folder = pathlib.Path(self._temporary.name)
        daemon = Daemon(
            name=name,
            zone=ZONES[index % len(ZONES)],
            address=_make_address(self._block, index),
            ports=ports.find_free_ports(3),
            settings=folder / f"{name}.conf",
            log=folder / f"{name}.log",
        )
        front = wsgi.serve(self._make_front(name))
        self._fronts.append(front)
        self._write_settings(daemon, front.server_port, is_first_start=True)
        return daemon

    def _write_settings(
        self, daemon: Daemon, store_port: int, is_first_start: bool
    ) -> None:
        """Write a settings file with the fields and figures of the pages."""
        callers, readiness, peers = daemon.ports
        lines = {
            "Node": daemon.name,
            "Role": "dispatcher",
            "Class": "front",
            "Serves": "front",
            "Ip": daemon.address,
            "Zone": daemon.zone,
            "Region": AREA,
            **{f"Zones.{zone}": AREA for zone in ZONES},
            "Listen.Front": f"{daemon.address}:{callers}",
            "Listen.Ready": f"{daemon.address}:{readiness}",
            "PortRange": f"{peers},{peers}",
            "Bootstrap": str(is_first_start).lower(),
            "Limits.CpuShare": 0.537,
            "Limits.Cores": 2,
            "Limits.MemoryMb": 300,
            "Limits.MaxFds": 4100,
            "HeartbeatMs": 1500,
            "Bounds.ContactMs": 3000,
            "Bounds.GraceS": 6,
            "Bounds.MaxHoldMs": 1000,
            "Bounds.ResendMs": 1300,
            "Bounds.cancel_ms": 3000,
            "Bounds.ConfigApplyMs": 2000,
            "Orders": "rpc",
            "platform.Addr": f"127.0.0.1:{store_port}",
            "platform.form": "table",
            "platform.WritesPerS": 600,
            "platform.ReadsPerS": 2000,
            "platform.RetentionS": 20,
        }
        text = "".join(f"{key}={value}\n" for key, value in lines.items())
        daemon.settings.write_text(text)

    def rewrite_settings(self, name: str) -> None:
        """Change the settings file of a daemon, as the platform does."""
        daemon = self.daemons[name]
        index = list(self.daemons).index(name)
        port = self._fronts[index].server_port
        self._write_settings(daemon, port, is_first_start=False)

    def _make_front(self, reader: str) -> Callable:
        """Return the store's application as one daemon reaches it."""

        def serve(
            environ: dict[str, Any], start_response: Callable
        ) -> Iterable[bytes]:
            started: list[Any] = []
            parts = self.site.store.serve(
                environ, lambda *reply: started.append(reply)
            )
            if not started:
                return parts
            body = self._redirect(reader, b"".join(parts))
            status, _ = started[0]
            fields = [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ]
            start_response(status, fields)
            return [body]

        return serve

    def _redirect(self, reader: str, body: bytes) -> bytes:
        """Replace the ports of daemons and workers in the rows that a daemon reads."""
        reply = json.loads(body)
        for row in reply.get("rows", ()):
            # A daemon has to find its own row as it has written it.
            if row["Key"] == reader or not row.get("Value"):
                continue
            value = json.loads(base64.b64decode(row["Value"]))
            if row["Table"] == "daemons" and row["Key"] in self.daemons:
                proxy = self._get_proxy(reader, row["Key"])
                value |= {"address": proxies.HOST, "port": proxy.port}
            elif row["Table"] == "servers":
                proxy = self._get_proxy(reader, row["Key"])
                value |= {"Addr": f"{proxies.HOST}:{proxy.port}"}
            text = base64.b64encode(json.dumps(value).encode())
            row["Value"] = text.decode()
        return json.dumps(reply).encode()

    def _get_proxy(self, reader: str, target: str) -> proxies.Proxy:
        pair = (reader, target)
        if pair not in self._proxies:
            if target in self.daemons:
                daemon = self.daemons[target]
                address = (daemon.address, daemon.ports[2])
            else:
                address = (proxies.HOST, self.site.get_worker_port(target))
            self._proxies[pair] = _AddressProxy(address)
        return self._proxies[pair]

    def _watch_workers(self) -> None:
        """End runs as soon as their leases have expired; record new fences."""
        seen: dict[str, int] = {}
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            for worker_id, worker in self.site.workers.items():
                worker._expire_runs()
                if worker._fence != seen.get(worker_id, 0):
                    seen[worker_id] = worker._fence
                    change = (time.monotonic(), worker._fence)
                    self.fences.setdefault(worker_id, []).append(change)

    def start(self, name: str) -> None:
        """Start a daemon with the command of the deploy file."""
        daemon = self.daemons[name]
        keys = ("PATH", "HOME", "LANG")
        environ = {key: os.environ[key] for key in keys if key in os.environ}
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["POLLENLADDER_SETTINGS"] = str(daemon.settings)
        with daemon.log.open("ab") as log:
            daemon.process = subprocess.Popen(
                self._run,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environ,
            )
        self.note(f"{name} starts, process {daemon.process.pid}")

    def start_all(self) -> None:
        """Start the daemons one after another, and wait until all are ready.

        Two daemons must find each other in the store, as the greeting over a link
        tells their real addresses. So a daemon connects to the earlier ones only
        after they have found it.
        """
        for name in self.daemons:
            self._start_beside_others(name)
        for name in self.daemons:
            self.wait_until_ready(name)
        gevent.sleep(SETTLING_S)

    def _start_beside_others(self, name: str) -> None:
        earlier = [d.name for d in self.daemons.values() if d.process]
        outgoing = [self._proxies[name, other] for other in earlier]
        for proxy in outgoing:
            proxy.impairment = proxies.Impairment(proxies.Mode.SILENT)
        self.start(name)
        for other in earlier:
            self._wait(lambda other=other: self._has_found(other, name), name)
        for proxy in outgoing:
            proxy.impairment = proxies.Impairment()
        self._wait(lambda: self._is_registered(name), name)

    def _has_found(self, name: str, other: str) -> bool:
        return any(
            line["event"] == "daemon_found" and line["peer"] == other
            for line in self.read_log(name)
        )

    def _is_registered(self, name: str) -> bool:
        return self.site.store.get("daemons", name) is not None

    def wait_until_ready(self, name: str) -> None:
        """Wait until a daemon is ready."""
        self._wait(lambda: self.is_ready(name), name)

    def _wait(self, is_done: Callable[[], bool], name: str) -> None:
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not is_done():
            if time.monotonic() > end_s:
                log = self.daemons[name].log.read_text()[-2000:]
                raise RuntimeError(f"{name} is not ready: {log}")
            gevent.sleep(POLL_INTERVAL_S)

    def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports itself ready."""
        daemon = self.daemons[name]
        try:
            channel = Channel((daemon.address, daemon.ports[1]))
        except OSError:
            return False
        try:
            return channel.call("GET", "/ready").status == 200
        finally:
            channel.close()

    def open_channel(self, name: str) -> Channel:
        """Open a client's channel to a daemon."""
        daemon = self.daemons[name]
        return Channel((daemon.address, daemon.ports[0]))

    def cut_off(self, name: str, impairment: proxies.Impairment) -> None:
        """Impair all links between a daemon and the others."""
        for (reader, target), proxy in self._proxies.items():
            if target in self.daemons and name in (reader, target):
                proxy.impairment = impairment
        self.note(f"{name} and the other daemons: {impairment.mode.value}")

    def cut_zone(self, zone: str, impairment: proxies.Impairment) -> None:
        """Impair all links between the machines of a zone and those of others."""
        for (reader, target), proxy in self._proxies.items():
            zones = (self.get_zone(reader), self.get_zone(target))
            if zones[0] != zones[1] and zone in zones:
                proxy.impairment = impairment
        self.note(f"{zone} and the other zones: {impairment.mode.value}")

    def get_zone(self, name: str) -> str:
        """Return the zone of a daemon or a worker."""
        if name in self.daemons:
            return self.daemons[name].zone
        return self.worker_zones[name]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self.daemons[name].process.send_signal(number)
        self.note(f"{name} gets {number.name}")

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the start."""
        at_s = time.monotonic() - self._began_s
        self._record.write(f"{at_s:8.3f} s  {text}\n")
        self._record.flush()

    def note_runs(self) -> None:
        """Write all runs of all workers to the record."""
        for worker_id, worker in self.site.workers.items():
            for run in worker.history:
                began = run.began_s - self._began_s
                ended = (run.ended_s or time.monotonic()) - self._began_s
                self._record.write(
                    f"run {run.task} {run.number} on {worker_id}: "
                    f"{began:.3f} s to {ended:.3f} s, {run.how}\n"
                )

    def list_starts(self, job_id: str) -> list[float]:
        """Return when the tasks of a job were started, monotonic."""
        return sorted(
            run.began_s
            for worker in self.site.workers.values()
            for run in worker.history
            if run.task.startswith(job_id + ".")
        )

    def find_owner(self) -> str:
        """Return the daemon that last claimed the workers, from the logs."""
        claims = [
            (line["time"], name)
            for name in self.daemons
            for line in self.read_log(name)
            if line["event"] == "ownership_claimed"
        ]
        return max(claims)[1]

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the whole lines that a daemon has logged."""
        whole, _, _ = self.daemons[name].log.read_text().rpartition("\n")
        return [json.loads(line) for line in whole.splitlines()]

    def close(self) -> None:
        """End all processes that were started, and all servers."""
        for daemon in self.daemons.values():
            process = daemon.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for proxy in self._proxies.values():
            proxy.close()
        for front in self._fronts:
            front.stop(timeout=0)
        self.site.close()
        self._record.close()
        if kept := os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons.values():
                target = pathlib.Path(kept) / daemon.log.name
                target.write_bytes(daemon.log.read_bytes())
        self._temporary.cleanup()


def _stop(rig: Rig) -> None:
    """End at the time limit of the case, with all processes."""
    rig.close()
    os._exit(2)


class _AddressProxy(proxies.Proxy):
    """A proxy to a daemon or a worker at any loopback address."""

    def __init__(self, address: tuple[str, int]):
        super().__init__(address[1])
        self._target = address


def _find_free_block(count: int) -> int:
    """Return the third number of the daemons' addresses.

    Each daemon serves its metrics on the same port, of its own address.
    """
    for block in random.SystemRandom().sample(range(10, 250), 100):
        if all(_is_metrics_port_free(block, i) for i in range(count)):
            return block
    raise RuntimeError("no free loopback addresses")


def _is_metrics_port_free(block: int, index: int) -> bool:
    with stdlib_socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((_make_address(block, index), METRICS_PORT))
        except OSError:
            return False
    return True


def _make_address(block: int, index: int) -> str:
    return f"127.0.{block}.{11 + index}"


def _read_run_line() -> list[str]:
    """Return the command of the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        return tomllib.load(file)["roles"]["dispatcher"]["run"].split()


def run_case(
    folder: pathlib.Path,
    names: list[str],
    workers: int,
    case: Callable[[Rig], bool],
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if it failed."""
    code = 2
    rig = None
    try:
        rig = Rig(folder, names, workers)
        gevent.signal_handler(signal.SIGTERM, _stop, rig)
        rig.start_all()
        is_broken = case(rig)
        rig.note_runs()
        rig.note("the rule is broken" if is_broken else "the rule holds")
        code = int(is_broken)
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        if rig is not None:
            rig.close()
    sys.exit(code)
