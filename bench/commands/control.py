"""Processor time, memory and messages of idle daemons."""

import argparse
import pathlib
import time
from typing import Any

from bench import cluster
from bench import costs
from bench import counters
from bench import layouts
from bench import processes
from bench import reports

WARM_UP_S = 5.0
MIB = 1024 * 1024


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the options."""
    parser.add_argument(
        "--layout", default="red_andina", choices=list(layouts.ALL)
    )
    parser.add_argument("--seconds", type=float, default=20.0)


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Let a cluster idle and count what each daemon spends."""
    layout = layouts.ALL[options.layout]
    with processes.open_group(folder) as group:
        running = cluster.start(group, layout)
        time.sleep(WARM_UP_S)
        before = _read(running)
        time.sleep(options.seconds)
        after = _read(running)
    rows = [
        _compare(daemon_id, before[daemon_id], after[daemon_id])
        for daemon_id in after
    ]
    result = {
        "command": "control",
        "layout": layout.name,
        "seconds": options.seconds,
        "seed": options.seed,
        "daemons": rows,
    }
    report = reports.Report(options.out, "control", "Idle daemons", result)
    columns = [
        "daemon",
        "cpu_percent",
        "rss_mib",
        "bytes_per_s",
        "messages_per_s",
    ]
    report.add_table(
        f"{layout.name}, idle, {options.seconds} s",
        columns,
        [[row[column] for column in columns] for row in rows],
    )
    for row in rows[:1]:
        report.add_text(f"By kind, {row['daemon']}: {row['kinds']}")
    return report


def _read(running: cluster.Cluster) -> dict[str, dict[str, Any]]:
    """Return what each daemon has spent until now."""
    state = {}
    for daemon in running.daemons:
        pid = running.group.get_pid(running.name_process(daemon["vm_id"]))
        samples = counters.read_metrics(daemon["http_port"])
        state[daemon["vm_id"]] = {
            "at_s": time.monotonic(),
            "cpu_s": costs.read_cpu_s(pid),
            "rss": costs.read_rss_bytes(pid),
            "bytes": sum(
                value
                for name, values in samples.items()
                if name.endswith("bytes_total")
                for _, value in values
            ),
            "kinds": {
                labels["kind"]: value
                for labels, value in samples.get(
                    "pollenladder_messages_total", []
                )
            },
        }
    return state


def _compare(
    daemon_id: str, before: dict[str, Any], after: dict[str, Any]
) -> dict[str, Any]:
    seconds = after["at_s"] - before["at_s"]
    kinds = {
        kind: round((value - before["kinds"].get(kind, 0)) / seconds, 2)
        for kind, value in after["kinds"].items()
    }
    cpu_s = after["cpu_s"] - before["cpu_s"]
    return {
        "daemon": daemon_id,
        "cpu_percent": round(100 * cpu_s / seconds, 2),
        "rss_mib": round(after["rss"] / MIB, 1),
        "bytes_per_s": round((after["bytes"] - before["bytes"]) / seconds),
        "messages_per_s": round(sum(kinds.values()), 2),
        "kinds": {kind: rate for kind, rate in kinds.items() if rate},
    }
