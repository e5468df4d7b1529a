"""Starts a second per core, product against the bare relay."""

import argparse
import dataclasses
import json
import pathlib
import sys
import time
from typing import Any

from bench import cluster
from bench import costs
from bench import counters
from bench import layouts
from bench import processes
from bench import reports

BATCHES = (1, 10, 100)
CLIENTS = {1: 64, 10: 16, 100: 4}
FLOODS = 2
ENDPOINT_PROCESSES = 3
POLICIES = ("product", "bare")
RUN_MS = 1


@dataclasses.dataclass(frozen=True)
class Turn:
    """What one policy did with one batch size in one turn."""

    policy: str
    batch: int
    starts: int
    bad: int
    seconds: float
    cpu_s: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the options."""
    parser.add_argument("--seconds", type=float, default=5.0, help="a turn")
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--daemons", type=int, default=1)
    parser.add_argument("--batch", type=int, choices=BATCHES)
    parser.add_argument("--policy", default="product,bare")


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Flood product and bare in turn with each batch size."""
    layout = dataclasses.replace(
        layouts.RED_ANDINA,
        data_centres=("quito-norte",),
        daemons=options.daemons,
    )
    policies = options.policy.split(",")
    batches = (options.batch,) if options.batch else BATCHES
    turns = []
    with processes.open_group(folder) as group:
        clusters = [
            cluster.start(
                group,
                layout,
                policy=policy,
                prefix=f"{policy}-",
                endpoint_processes=ENDPOINT_PROCESSES,
            )
            for policy in policies
        ]
        for turn in range(options.turns):
            for batch in batches:
                for running in clusters[:: -1 if turn % 2 else 1]:
                    turns.append(_run_turn(running, batch, options.seconds))
    return _build_report(options, turns, policies)


def _run_turn(running: cluster.Cluster, batch: int, seconds: float) -> Turn:
    pids = [
        running.group.get_pid(running.name_process(daemon["vm_id"]))
        for daemon in running.daemons
    ]
    starts = counters.read_endpoint_counters(running)["starts"]
    cpu_s = sum(map(costs.read_cpu_s, pids))
    start_s = time.monotonic()
    bad = _flood(running, batch, seconds)
    elapsed_s = time.monotonic() - start_s
    cpu_s = sum(map(costs.read_cpu_s, pids)) - cpu_s
    starts = counters.read_endpoint_counters(running)["starts"] - starts
    return Turn(running.policy, batch, starts, bad, elapsed_s, cpu_s)


def _flood(running: cluster.Cluster, batch: int, seconds: float) -> int:
    """Run the load processes to their end; return answers that were bad."""
    names = []
    for index in range(FLOODS):
        name = f"flood-{running.policy}-{index}"
        setup = {
            "ports": running.get_http_ports(),
            "clients": CLIENTS[batch] // FLOODS,
            "batch": batch,
            "seconds": seconds,
            "run_ms": RUN_MS,
            "customer_id": next(iter(running.layout.customer_shares)),
            "kind": running.layout.kinds[0],
        }
        path = running.folder / f"{name}.json"
        path.write_text(json.dumps(setup))
        command = [sys.executable, "-m", "bench.flood", str(path)]
        running.group.start(name, command)
        names.append(name)
    bad = 0
    for name in names:
        running.group.children[name].popen.wait()
        last = running.group.read_tail(name).splitlines()[-1]
        bad += json.loads(last)["bad"]
    return bad


def _build_report(
    options: argparse.Namespace, turns: list[Turn], policies: list[str]
) -> reports.Report:
    result: dict[str, Any] = {"command": "relay", "seed": options.seed}
    rows = []
    batches = sorted({turn.batch for turn in turns})
    for batch in batches:
        for policy in policies:
            mine = [t for t in turns if (t.policy, t.batch) == (policy, batch)]
            figures = _summarize(mine)
            result[f"{policy}-{batch}"] = figures
            rows.append((batch, policy, *figures.values()))
        if {"product", "bare"} <= set(policies):
            product, bare = (result[f"{p}-{batch}"] for p in POLICIES)
            ratio = product["starts_per_core_s"] / bare["starts_per_core_s"]
            result[f"ratio-{batch}"] = round(ratio, 3)
            rows.append((batch, "product / bare", "", round(ratio, 3)))
    report = reports.Report(
        options.out, "relay", "Starts a second per core", result
    )
    columns = (
        "batch",
        "policy",
        "starts/s",
        "starts/s per core",
        "least",
        "most",
        "bad",
    )
    report.add_table(
        f"{options.turns} turns of {options.seconds} s, {options.daemons} "
        f"daemons, tasks of {RUN_MS} ms",
        columns,
        rows,
    )
    reports.plot_lines(
        options.out / "relay.png",
        "Starts a second per core of daemon",
        ("tasks a job", "starts/s per core"),
        {
            policy: (
                batches,
                [result[f"{policy}-{b}"]["starts_per_core_s"] for b in batches],
            )
            for policy in policies
        },
        ("log", "linear"),
    )
    return report


def _summarize(turns: list[Turn]) -> dict[str, float]:
    each = [turn.starts / max(turn.cpu_s, 0.01) for turn in turns]
    return {
        "starts_per_s": round(
            sum(t.starts for t in turns) / sum(t.seconds for t in turns)
        ),
        "starts_per_core_s": round(
            sum(t.starts for t in turns)
            / max(sum(t.cpu_s for t in turns), 0.01)
        ),
        "least": round(min(each)),
        "most": round(max(each)),
        "bad": sum(turn.bad for turn in turns),
    }
