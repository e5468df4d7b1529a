"""Counters of the endpoints and the daemons of a cluster."""

import re
from typing import Any

from bench import cluster
from bench import http

METRIC = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$", re.MULTILINE)
LABEL = re.compile(r'(\w+)="([^"]*)"')


def read_endpoint_counters(running: cluster.Cluster) -> dict[str, Any]:
    """Return the counters of all workers, added up."""
    total: dict[str, Any] = {"refused": {}}
    for port in running.endpoint_control_ports:
        counters = http.request_json(port, "/control/counters")
        for reason, number in counters.pop("refused").items():
            previous = total["refused"].get(reason, 0)
            total["refused"][reason] = previous + number
        for name, number in counters.items():
            total[name] = total.get(name, 0) + number
    return total


def count_double_starts(running: cluster.Cluster) -> int:
    """Count the repeated starts of tasks, on any worker."""
    starts: dict[str, int] = {}
    for port in running.endpoint_control_ports:
        tasks = http.request_json(port, "/control/tasks", timeout_s=30)["tasks"]
        for task_id, number in tasks.items():
            starts[task_id] = starts.get(task_id, 0) + number
    return sum(number - 1 for number in starts.values())


def read_metrics(
    port: int,
) -> dict[str, list[tuple[dict[str, str], float]]]:
    """Return the samples of a daemon's metrics, by metric name."""
    samples: dict[str, list[tuple[dict[str, str], float]]] = {}
    for name, labels, value in METRIC.findall(
        http.request_text(port, "/metrics")
    ):
        pairs = dict(LABEL.findall(labels))
        samples.setdefault(name, []).append((pairs, float(value)))
    return samples


def read_messages(running: cluster.Cluster) -> dict[str, float]:
    """Return the number of messages that all running daemons sent, by kind."""
    total: dict[str, float] = {}
    for daemon in running.daemons:
        if not running.group.is_running(running.name_process(daemon["vm_id"])):
            continue
        samples = read_metrics(daemon["http_port"])
        for labels, value in samples.get("pollenladder_messages_total", []):
            kind = labels["kind"]
            total[kind] = total.get(kind, 0) + value
    return total
