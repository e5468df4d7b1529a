"""`bench emulate`: the owner's decisions under drawn loads; trials."""

import argparse
import pathlib
import time

from bench import reports
from bench.emulator import loads
from bench.emulator import simulations
from bench.emulator import tallies

LENGTH_S = 30.0
WORKERS = 24
FAULTS = {
    "none": (),
    "hang": (simulations.Faults(8.0, 13.0, 3, hangs=True),),
    "errors": (simulations.Faults(8.0, 14.0, 2, fails=True),),
    "slow": (simulations.Faults(8.0, 15.0, 4, slow_factor=6.5),),
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's options."""
    parser.add_argument("--load", type=float, nargs="+", default=[1.0])
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--groups", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--faults", choices=FAULTS, default="none")
    parser.add_argument(
        "--budget",
        type=float,
        default=simulations.BUDGET_S,
        help="time until a caller stops waiting, in seconds",
    )
    parser.add_argument(
        "--burst",
        type=float,
        nargs=3,
        action="append",
        default=[],
        metavar=("BEGIN", "END", "FACTOR"),
        help="a time span in seconds, and the factor on the load within it",
    )
    parser.add_argument("--record", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--replay", type=pathlib.Path, metavar="FILE")


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Play each load and report what it earned."""
    result = {}
    for load in options.load:
        began_s = time.process_time()
        outcomes = _play(options, load)
        result[str(load)] = _describe(outcomes, began_s)
    report = reports.Report(options.out, "emulate", "Emulated loads", result)
    columns = ("load", *next(iter(result.values())))
    rows = [(load, *row.values()) for load, row in result.items()]
    report.add_table("A trial, in simulated time", columns, rows)
    return report


def _play(
    options: argparse.Namespace, load: float
) -> list[simulations.Outcome]:
    """Play one load with each seed, or a recorded one once."""
    outcomes = []
    seeds = range(1) if options.replay else range(options.seeds)
    for seed in seeds:
        arrivals = list(loads.draw(load, LENGTH_S, seed, options.burst))
        if options.replay:
            arrivals = list(loads.read(options.replay))
        if options.record:
            loads.write(options.record, arrivals)
        simulation = simulations.Simulation(
            options.workers,
            FAULTS[options.faults],
            options.groups,
            options.budget,
        )
        outcomes += simulation.run(arrivals)
    return outcomes


def _describe(
    outcomes: list[simulations.Outcome], began_s: float
) -> dict[str, object]:
    tally = tallies.count(outcomes)
    return {
        "jobs": len(outcomes),
        "worth": round(tally.worth, 3),
        "by_kind": {k: round(v, 2) for k, v in tally.by_kind.items()},
        "widest": {k: round(v, 2) for k, v in tally.widest.items()},
        "in_time": round(tally.in_time, 3),
        "served": round(tally.served, 3),
        "refused": round(tally.refused, 3),
        "late": round(tally.late, 3),
        "refusal_p99_ms": round(1000 * tally.refusal_p99_s),
        "processor_s": round(time.process_time() - began_s, 2),
    }
