"""Time from a change of the declarations to its force on all daemons."""

import argparse
import pathlib
import time
from typing import Any

from bench import cluster
from bench import declarations
from bench import http
from bench import layouts
from bench import processes
from bench import reports
from bench import requests

TIMEOUT_S = 60.0
POLL_S = 0.02
SLOW_S = 1.0
STATUS_PATH = "/v1/operator/status"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the options."""
    parser.add_argument(
        "--layout", default="red_andina", choices=list(layouts.ALL)
    )
    parser.add_argument("--changes", type=int, default=10)


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Make changes with the platform as usual, then with it slow."""
    layout = layouts.ALL[options.layout]
    figures: dict[str, Any] = {}
    with processes.open_group(folder) as group:
        running = cluster.start(group, layout)
        version = 1
        for name, slow_s in (("usual", 0.0), ("slow", SLOW_S)):
            cluster.set_platform_faults(running, {"slow_s": slow_s})
            times_s = []
            for _ in range(options.changes):
                version += 1
                times_s.append(_change(running, version))
            figures[name] = _summarize(times_s)
    result = {
        "command": "config",
        "layout": layout.name,
        "seed": options.seed,
    } | figures
    report = reports.Report(
        options.out, "config", "Declarations in force", result
    )
    report.add_table(
        f"Seconds from the change to its force on {layout.daemons} daemons, "
        f"{options.changes} changes each; slow: {SLOW_S} s a call",
        ("platform", "from", "median", "most"),
        [
            (name, since, part["median"], part["most"])
            for name, both in figures.items()
            for since, part in both.items()
        ],
    )
    return report


def _change(running: cluster.Cluster, version: int) -> tuple[float, float]:
    """Return seconds until in force, from the request and from its answer."""
    asked_s = time.monotonic()
    row_version = declarations.write_row(
        running.platform_port,
        declarations.build_customers(running.layout),
        declarations.build_plans(running.layout, 1000 + version),
        version,
    )
    written_s = time.monotonic()
    while read_least_version(running) < row_version:
        if time.monotonic() - written_s > TIMEOUT_S:
            raise TimeoutError(f"version {row_version} is not in force")
        time.sleep(POLL_S)
    now_s = time.monotonic()
    return now_s - asked_s, now_s - written_s


def read_least_version(running: cluster.Cluster) -> int:
    """Return the oldest version in force on any daemon."""
    token = requests.make_token(declarations.OPERATOR_ID)
    return min(
        http.request_json(port, STATUS_PATH, token=token)["version"]
        for port in running.get_http_ports()
    )


def _summarize(times_s: list[tuple[float, float]]) -> dict[str, Any]:
    names = ("request", "answer")
    figures = {}
    for name, values in zip(names, zip(*times_s, strict=True), strict=True):
        ordered = sorted(values)
        figures[name] = {
            "median": round(ordered[len(ordered) // 2], 3),
            "most": round(ordered[-1], 3),
        }
    return figures
