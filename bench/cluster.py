"""A cluster of daemons and stand-ins that run as processes on loopback."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import sys
import time
from typing import Any

from bench import declarations
from bench import http
from bench import layouts
from bench import processes

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
POLICIES = ("product", "random", "bare")


@dataclasses.dataclass
class Cluster:
    """A running cluster.

    Attributes:
        layout: Sizes of the cluster.
        policy: `product`, or the name of a baseline.
        prefix: Prefix of the names of its processes.
        group: Process group of the run.
        folder: Folder for settings and other generated files.
        daemons: Rows of the VM list, one per daemon.
        workers: Rows of the VM list, one per worker.
        platform_port: Port of the platform, 0 for baselines.
        platform_control_port: Control port of the platform.
        endpoint_control_ports: Control port of each stand-in process that
            hosts workers.
        platform_ports: Port that daemons use as the platform, by data centre.
            With relays, `control` is the relays' control port.
    """

    layout: layouts.Layout
    policy: str
    prefix: str
    group: processes.Group
    folder: pathlib.Path
    daemons: list[dict[str, Any]]
    workers: list[dict[str, Any]]
    platform_port: int = 0
    platform_control_port: int = 0
    endpoint_control_ports: list[int] = dataclasses.field(default_factory=list)
    platform_ports: dict[str, int] = dataclasses.field(default_factory=dict)

    def get_http_ports(self) -> list[int]:
        """Return the callers' port of each daemon."""
        return [daemon["http_port"] for daemon in self.daemons]

    def name_process(self, daemon_id: str) -> str:
        """Return the name of a daemon's process in the group."""
        return f"{self.prefix}{daemon_id}"


def start(
    group: processes.Group,
    layout: layouts.Layout,
    *,
    policy: str = "product",
    prefix: str = "",
    endpoint_processes: int = 2,
    overrides: dict[str, Any] | None = None,
    declare: Callable[["Cluster"], None] | None = None,
    cut: bool = False,
) -> Cluster:
    """Start a cluster and wait until every daemon is ready for jobs.

    Args:
        group: Process group that owns the processes.
        layout: Sizes of the cluster.
        policy: `product`, `random` or `bare`.
        prefix: Prefix of the names of the processes.
        endpoint_processes: Number of processes that share the workers.
        overrides: Fields to change in the daemons' settings.
        declare: Function that applies declarations; by default those of
            `bench.declarations`.
        cut: Whether data centres reach each other and the platform through
            relays that can simulate a network partition.
    """
    cluster = Cluster(
        layout,
        policy,
        prefix,
        group,
        group.folder,
        declarations.build_daemon_rows(layout),
        declarations.build_worker_rows(layout),
    )
    _start_endpoints(cluster, endpoint_processes)
    if policy == "product":
        _start_platform(cluster)
        if cut:
            _start_relays(cluster)
        _start_daemons(cluster, overrides)
        wait_all(cluster, "/healthz")
        (declare or _declare)(cluster)
    else:
        _start_baselines(cluster)
    wait_all(cluster, "/readyz")
    return cluster


def wait_until(
    condition: Callable[[], bool],
    what: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> float:
    """Wait for a condition and return the time that it took, in seconds.

    Raises:
        TimeoutError: The condition did not become true in time.
    """
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > timeout_s:
            raise TimeoutError(f"waited {timeout_s} s for {what}")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - start_s


def wait_all(cluster: Cluster, path: str) -> None:
    """Wait until every daemon answers a GET of a path successfully.

    Raises:
        TimeoutError: A daemon did not; the message has the end of its log.
        RuntimeError: A daemon has exited; the message has the end of its log.
    """
    for daemon in cluster.daemons:
        _wait_for_daemon(cluster, daemon, path)


def _wait_for_daemon(
    cluster: Cluster, daemon: dict[str, Any], path: str
) -> None:
    name = cluster.name_process(daemon["vm_id"])

    def answers() -> bool:
        if not cluster.group.is_running(name):
            raise RuntimeError(f"{name} ended\n{cluster.group.read_tail(name)}")
        return http.answers_ok(daemon["http_port"], path)

    try:
        wait_until(answers, f"{path} of {name}")
    except TimeoutError as error:
        tail = cluster.group.read_tail(name)
        raise TimeoutError(f"{error}\n{tail}") from None


def set_worker_faults(
    cluster: Cluster, worker_ids: list[str], faults: dict[str, Any]
) -> None:
    """Inject faults into some workers."""
    for port in cluster.endpoint_control_ports:
        hosted = [
            worker["vm_id"]
            for worker in cluster.workers
            if worker["vm_id"] in worker_ids and worker["control_port"] == port
        ]
        if hosted:
            path = f"/control/faults?worker={','.join(hosted)}"
            http.request_json(port, path, faults)


def set_platform_faults(cluster: Cluster, faults: dict[str, Any]) -> None:
    """Inject faults into the platform."""
    http.request_json(cluster.platform_control_port, "/control/faults", faults)


def cut_off(cluster: Cluster, data_centres: list[str], mode: str) -> None:
    """Partition data centres from all others and from the platform.

    Args:
        cluster: A cluster that was started with `cut`.
        data_centres: The data centres to cut off. All others are reconnected;
            an empty list ends the partition.
        mode: `silent` drops data, `closed` closes connections, and `forget`
            drops the data of the connections that are open now, for good.
    """
    port = cluster.platform_ports["control"]
    body = {"data_centres": data_centres, "mode": mode}
    http.request_json(port, "/control/cut", body)


def _start_endpoints(cluster: Cluster, count: int) -> None:
    for index in range(count):
        rows = cluster.workers[index::count]
        name = f"{cluster.prefix}endpoints-{index}"
        path = _write_json(cluster, f"{name}.json", rows)
        command = [sys.executable, "-m", "standins.endpoint", "--workers", path]
        ready = _start_announced(cluster, name, command)
        control_port = ready["control_port"]
        cluster.endpoint_control_ports.append(control_port)
        for row in rows:
            row["port"] = ready["workers"][row["vm_id"]]
            row["control_port"] = control_port


def _start_platform(cluster: Cluster) -> None:
    vms = cluster.daemons + [
        {key: row[key] for key in row if key != "control_port"}
        for row in cluster.workers
    ]
    name = f"{cluster.prefix}platform"
    path = _write_json(cluster, f"{name}.json", vms)
    command = [sys.executable, "-m", "standins.platform", "--vms", path]
    ready = _start_announced(cluster, name, command)
    cluster.platform_port = ready["port"]
    cluster.platform_control_port = ready["control_port"]
    cluster.platform_ports = dict.fromkeys(
        cluster.layout.data_centres, ready["port"]
    )


def _start_relays(cluster: Cluster) -> None:
    name = f"{cluster.prefix}relays"
    setup = {
        "platform_port": cluster.platform_port,
        "vms": [
            {key: row[key] for key in ("vm_id", "data_centre", "port")}
            for row in cluster.daemons + cluster.workers
        ],
        "data_centres": list(cluster.layout.data_centres),
    }
    path = _write_json(cluster, f"{name}.json", setup)
    command = [sys.executable, "-m", "bench.relays", path]
    ready = _start_announced(cluster, name, command)
    cluster.platform_ports = ready["platforms"] | {
        "control": ready["control_port"]
    }


def _start_daemons(cluster: Cluster, overrides: dict[str, Any] | None) -> None:
    for daemon in cluster.daemons:
        settings = declarations.build_settings(
            cluster.layout,
            daemon,
            cluster.platform_ports[daemon["data_centre"]],
            overrides,
        )
        name = cluster.name_process(daemon["vm_id"])
        path = _write_json(cluster, f"{name}.settings.json", settings)
        command = [sys.executable, "-m", "pollenladder", "--settings", path]
        cluster.group.start(name, command)


def _start_baselines(cluster: Cluster) -> None:
    worker_ports = [str(row["port"]) for row in cluster.workers]
    share = cluster.layout.connections // len(cluster.daemons)
    for daemon in cluster.daemons:
        name = cluster.name_process(daemon["vm_id"])
        module = f"bench.baselines.{cluster.policy}"
        arguments = [name, str(daemon["http_port"]), str(share), *worker_ports]
        command = [sys.executable, "-m", module, *arguments]
        cluster.group.start(name, command)


def _declare(cluster: Cluster) -> None:
    declarations.write_row(
        cluster.platform_port,
        declarations.build_customers(cluster.layout),
        declarations.build_plans(cluster.layout),
        version=1,
    )


def _start_announced(
    cluster: Cluster, name: str, command: list[str]
) -> dict[str, Any]:
    """Start a process and return the JSON line that it prints when ready."""
    child = cluster.group.start(name, command)
    found: list[dict[str, Any]] = []

    def read() -> bool:
        if not cluster.group.is_running(name):
            raise RuntimeError(cluster.group.read_tail(name))
        for line in child.log.read_text().splitlines():
            if line.startswith('{"ready"'):
                found.append(json.loads(line))
        return bool(found)

    wait_until(read, name)
    return found[0]


def _write_json(cluster: Cluster, name: str, value: Any) -> str:
    path = cluster.folder / name
    path.write_text(json.dumps(value, indent=1))
    return str(path)
