"""Faults under load, one row each."""

import argparse
from collections.abc import Callable
import dataclasses
import pathlib
import time
from typing import Any

from bench import arrivals
from bench import cluster
from bench import counters
from bench import ideal
from bench import layouts
from bench import measures
from bench import processes
from bench import reports
from bench import runs

INJECT_S = 5.0
HEAL_S = 15.0
COLUMNS = [
    "fault",
    "jobs",
    "complete",
    "failed",
    "refused",
    "closed",
    "lost",
    "error",
    "double",
    "crossed",
    "partial",
    "task_errors",
    "late",
    "recover_s",
    "worst_s",
]


@dataclasses.dataclass(frozen=True)
class Fault:
    """A row of the table.

    Attributes:
        name: The row's name.
        inject: Brings the fault about.
        heal: Ends it.
        cut: Whether the cluster needs relays between data centres.
    """

    name: str
    inject: Callable[[cluster.Cluster], None]
    heal: Callable[[cluster.Cluster], None]
    cut: bool = False


def do_nothing(running: cluster.Cluster) -> None:
    """Leave the cluster as it is."""
    del running


def change_workers(
    faults: dict[str, Any], count: int = 1
) -> Callable[[cluster.Cluster], None]:
    """Return a function that sets faults of the first workers."""

    def change(running: cluster.Cluster) -> None:
        chosen = [worker["vm_id"] for worker in running.workers[:count]]
        cluster.set_worker_faults(running, chosen, faults)

    return change


def change_platform(
    faults: dict[str, Any],
) -> Callable[[cluster.Cluster], None]:
    """Return a function that sets faults of the platform."""

    def change(running: cluster.Cluster) -> None:
        cluster.set_platform_faults(running, faults)

    return change


def cut_first(running: cluster.Cluster) -> None:
    """Cut the first data centre off."""
    cluster.cut_off(running, [running.layout.data_centres[0]], "silent")


def heal_cut(running: cluster.Cluster) -> None:
    """Join all data centres again."""
    cluster.cut_off(running, [], "silent")


def name_first(running: cluster.Cluster) -> str:
    """Return the process name of the first daemon."""
    return running.name_process(running.daemons[0]["vm_id"])


FAULTS = (
    Fault("none", do_nothing, do_nothing),
    Fault(
        "kill daemon",
        lambda running: running.group.kill(name_first(running)),
        lambda running: running.group.restart(name_first(running)) and None,
    ),
    Fault(
        "freeze daemon",
        lambda running: running.group.freeze(name_first(running)),
        lambda running: running.group.thaw(name_first(running)),
    ),
    Fault(
        "kill worker",
        change_workers({"down": True}),
        change_workers({"down": False}),
    ),
    Fault(
        "failing worker",
        change_workers({"fail_all": True}),
        change_workers({"fail_all": False}),
    ),
    Fault(
        "straggler",
        change_workers({"slow_factor": 5.0}),
        change_workers({"slow_factor": 1.0}),
    ),
    Fault(
        "silent connection",
        change_workers({"silent_existing": True}),
        do_nothing,
    ),
    Fault("cut data centre", cut_first, heal_cut, cut=True),
    Fault(
        "platform down",
        change_platform({"down": True}),
        change_platform({"down": False}),
    ),
    Fault(
        "platform slow",
        change_platform({"slow_s": 1.0}),
        change_platform({"slow_s": 0.0}),
    ),
    Fault("lost reply", change_workers({"drop_replies": 20}), do_nothing),
    Fault("lost request", change_workers({"drop_requests": 20}), do_nothing),
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the options."""
    parser.add_argument(
        "--layout", default="red_andina", choices=list(layouts.ALL)
    )
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--policy", default="product")
    parser.add_argument(
        "--row",
        action="append",
        choices=[fault.name for fault in FAULTS],
        help="only this row; may be given again",
    )


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Run every row on a cluster of its own, on the same arrivals."""
    chosen = [f for f in FAULTS if not options.row or f.name in options.row]
    rows = [_run_row(options, folder, fault) for fault in chosen]
    result = {
        "command": "faults",
        "layout": options.layout,
        "load": options.load,
        "seconds": options.seconds,
        "seed": options.seed,
        "rows": rows,
    }
    report = reports.Report(options.out, "faults", "Faults under load", result)
    report.add_table(
        f"{options.layout}, load {options.load}, fault from {INJECT_S} s to "
        f"{HEAL_S} s of {options.seconds} s, seed {options.seed}",
        COLUMNS,
        [[row.get(column) for column in COLUMNS] for row in rows],
    )
    return report


def _run_row(
    options: argparse.Namespace, folder: pathlib.Path, fault: Fault
) -> dict[str, Any]:
    layout = layouts.ALL[options.layout]
    jobs = arrivals.draw(layout, options.load, options.seconds, options.seed)
    place = folder / fault.name.replace(" ", "-")
    place.mkdir(exist_ok=True)
    with processes.open_group(place) as group:
        try:
            running = cluster.start(
                group, layout, policy=options.policy, cut=fault.cut
            )
            result = runs.run_load(
                running,
                jobs,
                "faults",
                options.seed,
                lambda start_s: _break(running, fault, start_s),
            )
            doubles = counters.count_double_starts(running)
        except (OSError, RuntimeError) as error:
            return {"fault": fault.name, "jobs": f"not measured: {error!r}"}
    return _summarize(fault, layout, jobs, result, doubles)


def _break(running: cluster.Cluster, fault: Fault, start_s: float) -> None:
    time.sleep(max(0.0, start_s + INJECT_S - time.time()))
    fault.inject(running)
    time.sleep(max(0.0, start_s + HEAL_S - time.time()))
    fault.heal(running)


def _summarize(
    fault: Fault,
    layout: layouts.Layout,
    jobs: list[arrivals.Arrival],
    result: runs.Result,
    doubles: int,
) -> dict[str, Any]:
    ideals_s = ideal.replay(jobs, layout.count_slots())
    late = 0
    last_bad_s = INJECT_S
    for outcome, ideal_s in zip(result.outcomes, ideals_s, strict=True):
        ratio = measures.compute_ratio(
            outcome, ideal_s, layout.client_latency_s
        )
        is_late = ratio > measures.LATE_RATIO
        late += is_late and outcome.outcome == "complete"
        if is_late or outcome.outcome != "complete":
            last_bad_s = max(last_bad_s, outcome.at_s)
    counts = measures.count_outcomes(result.outcomes)
    complete = max(1, counts["complete"])
    return (
        {"fault": fault.name}
        | counts
        | {
            "double": doubles,
            "task_errors": result.endpoint_counters.get("errors", 0),
            "late": round(late / complete, 4),
            "recover_s": round(last_bad_s - INJECT_S, 2),
            "worst_s": round(max(one.response_s for one in result.outcomes), 2),
            "reasons": _count_reasons(result),
        }
    )


def _count_reasons(result: runs.Result) -> dict[str, int]:
    counts: dict[str, int] = {}
    for one in result.outcomes:
        if one.outcome != "complete":
            name = f"{one.outcome} {one.status} {one.reason[:60]}"
            counts[name] = counts.get(name, 0) + 1
    return counts
