"""Response over ideal and wasted messages, policies interleaved."""

import argparse
from collections.abc import Sequence
import dataclasses
import pathlib
from typing import Any

from bench import arrivals
from bench import callers
from bench import cluster
from bench import counters
from bench import ideal
from bench import layouts
from bench import measures
from bench import processes
from bench import reports
from bench import runs
from bench import sampling

WARM_UP_S = 3.0


@dataclasses.dataclass
class Tally:
    """What one policy did over all blocks.

    Attributes:
        outcomes: Outcomes of all jobs.
        ratios: Response over ideal of complete jobs, by customer.
        messages: Messages sent by daemons, by kind.
        endpoint_replies: Messages sent by endpoints.
        occupancy: Mean of running tasks in each block, warm-up left out.
    """

    outcomes: list[callers.Outcome] = dataclasses.field(default_factory=list)
    ratios: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    messages: dict[str, float] = dataclasses.field(default_factory=dict)
    endpoint_replies: float = 0.0
    occupancy: list[float] = dataclasses.field(default_factory=list)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the options."""
    parser.add_argument(
        "--layout", default="red_andina", choices=list(layouts.ALL)
    )
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument(
        "--policy",
        default="product,random",
        help="policies that take turns, with commas between",
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument(
        "--blocks", type=int, default=2, help="turns of each policy"
    )


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Run the load on each policy in turn and compare."""
    layout = layouts.ALL[options.layout]
    policies = options.policy.split(",")
    tallies = {policy: Tally() for policy in policies}
    block_s = options.seconds / options.blocks
    double_starts = {}
    with processes.open_group(folder) as group:
        clusters = {
            policy: cluster.start(
                group, layout, policy=policy, prefix=f"{policy}-"
            )
            for policy in policies
        }
        for block in range(options.blocks):
            seed = options.seed * 1000 + block
            jobs = arrivals.draw(layout, options.load, block_s, seed)
            turns = policies[:: -1 if block % 2 else 1]
            for policy in turns:
                name = f"{policy}-{block}"
                _run_block(
                    clusters[policy], tallies[policy], jobs, name, block_s
                )
        for policy in policies:
            double_starts[policy] = counters.count_double_starts(
                clusters[policy]
            )
    return _build_report(options, layout, tallies, double_starts)


def _run_block(
    running: cluster.Cluster,
    tally: Tally,
    jobs: Sequence[arrivals.Arrival],
    name: str,
    block_s: float,
) -> None:
    layout = running.layout
    watch = sampling.Occupancy(running)
    try:
        result = runs.run_load(running, jobs, name, seed=len(jobs))
    finally:
        watch.stop()
    tally.occupancy.append(
        watch.compute_mean(result.start_s + WARM_UP_S, result.start_s + block_s)
    )
    tally.outcomes.extend(result.outcomes)
    tally.endpoint_replies += result.endpoint_counters["requests"]
    for kind, number in result.daemon_messages.items():
        tally.messages[kind] = tally.messages.get(kind, 0) + number
    ideals_s = ideal.replay(jobs, layout.count_slots())
    for outcome, ideal_s in zip(result.outcomes, ideals_s, strict=True):
        if outcome.outcome == "complete":
            ratio = measures.compute_ratio(
                outcome, ideal_s, layout.client_latency_s
            )
            tally.ratios.setdefault(outcome.customer_id, []).append(ratio)


def _summarize(
    tally: Tally, layout: layouts.Layout, seconds: float, blocks: int
) -> dict[str, Any]:
    """Return all figures of one policy."""
    counts = measures.count_outcomes(tally.outcomes)
    every = [ratio for ratios in tally.ratios.values() for ratio in ratios]
    answered = sum(
        one.tasks for one in tally.outcomes if one.outcome == "complete"
    )
    started_ms = sum(
        one.work_ms for one in tally.outcomes if one.outcome != "refused"
    )
    complete_ms = sum(
        one.work_ms for one in tally.outcomes if one.outcome == "complete"
    )
    busy = sum(tally.occupancy) / len(tally.occupancy) / layout.count_slots()
    useful = busy * complete_ms / started_ms if started_ms else 0.0
    return {
        "counts": counts,
        "ratio": dataclasses.asdict(measures.summarize_ratios(every)),
        "customers": {
            name: dataclasses.asdict(measures.summarize_ratios(ratios))
            for name, ratios in sorted(tally.ratios.items())
        },
        "slots_busy": round(busy, 4),
        "slots_useful": round(useful, 4),
        "refusals": measures.summarize_refusals(tally.outcomes),
        "fairness": measures.summarize_fairness(
            tally.outcomes, layout.count_slots(), seconds
        ),
        "messages": measures.summarize_messages(
            tally.messages, tally.endpoint_replies, counts["jobs"], answered
        ),
    }


def _build_report(
    options: argparse.Namespace,
    layout: layouts.Layout,
    tallies: dict[str, Tally],
    double_starts: dict[str, int],
) -> reports.Report:
    result: dict[str, Any] = {
        "command": "response",
        "layout": layout.name,
        "load": options.load,
        "seconds": options.seconds,
        "blocks": options.blocks,
        "seed": options.seed,
    }
    for policy, tally in tallies.items():
        result[policy] = _summarize(
            tally, layout, options.seconds, options.blocks
        ) | {"double_starts": double_starts[policy]}
    name = f"response-{layout.name}-{options.load}"
    report = reports.Report(
        options.out, name, f"Response over ideal, {layout.name}", result
    )
    _add_tables(report, result, list(tallies))
    reports.plot_lines(
        options.out / f"{name}.png",
        f"Response over ideal, {layout.name}, load {options.load}, "
        f"seed {options.seed}",
        ("part of complete jobs", "response over ideal"),
        {policy: _build_curve(tally) for policy, tally in tallies.items()},
        ("linear", "log"),
    )
    return report


def _add_tables(
    report: reports.Report, result: dict[str, Any], policies: list[str]
) -> None:
    rows = []
    customers = []
    for policy in policies:
        part = result[policy]
        counts = part["counts"]
        rows.append(
            (
                policy,
                part["ratio"]["p50"],
                part["ratio"]["p99"],
                part["ratio"]["late_share"],
                part["messages"]["wasted_per_task"],
                part["slots_useful"],
                counts["jobs"],
                counts["complete"],
                counts["failed"],
                counts["refused"],
                counts["closed"] + counts["lost"] + counts["error"],
                counts["crossed"] + counts["partial"],
                part["double_starts"],
                part["refusals"]["p99_s"],
            )
        )
        for name, ratio in part["customers"].items():
            fair = part["fairness"][name]["complete_over_fair"]
            values = (ratio["p50"], ratio["p99"], ratio["late_share"], fair)
            customers.append((policy, name, *values))
    columns = [
        "policy",
        "p50",
        "p99",
        "late",
        "wasted",
        "useful",
        "jobs",
        "complete",
        "failed",
        "refused",
        "unanswered",
        "wrong",
        "double",
        "refusal_p99_s",
    ]
    report.add_table("Both measures", columns, rows)
    columns = ["policy", "customer", "p50", "p99", "late", "complete_over_fair"]
    report.add_table("By customer", columns, customers)
    kinds = {policy: result[policy]["messages"] for policy in policies}
    for policy, messages in kinds.items():
        report.add_table(
            f"Messages a task, {policy}",
            ("kind", "a task"),
            list(messages["by_kind_per_task"].items())
            + [("endpoint replies", messages["endpoint_replies_per_task"])],
        )


def _build_curve(tally: Tally) -> tuple[list[float], list[float]]:
    ratios = sorted(r for ratios in tally.ratios.values() for r in ratios)
    parts = [(index + 1) / len(ratios) for index in range(len(ratios))]
    return parts, ratios
