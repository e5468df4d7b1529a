"""`bench emulate`: the owner's decisions under drawn loads; trials."""

import argparse
import pathlib
import time

from bench import reports
from bench.emulator import crashes
from bench.emulator import disturbances
from bench.emulator import loads
from bench.emulator import simulations
from bench.emulator import tallies
from pollenladder.scheduling import features

LENGTH_S = 30.0
WORKERS = 24
LARGE_FAST = "large-fast"
SPEEDS = {
    "equal": (1.0, 1.0, 1.0),
    "mixed": (0.7, 0.7, 1.7),
    LARGE_FAST: (0.7, 0.7, 1.7),
    "mild": (0.8, 1.0, 1.25),
}
TAILS = {
    "none": None,
    "jobs": loads.Tail(0.03, 7.0),
    "tasks": loads.Tail(0.03, 7.0, is_by_task=True),
}
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
    parser.add_argument(
        "--sizes",
        choices=loads.SIZES,
        default="usual",
        help="how many tasks fit on a worker",
    )
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
    parser.add_argument(
        "--speeds",
        choices=SPEEDS,
        default="equal",
        help="mixed: speeds of 0.7, 0.7 and 1.7, independent of size; "
        "large-fast: the large workers are the fast ones; "
        "mild: speeds of 0.8, 1.0 and 1.25",
    )
    parser.add_argument(
        "--tail",
        choices=TAILS,
        default="none",
        help="3%% of the jobs, or of the tasks, take 7 times as long",
    )
    parser.add_argument(
        "--wave",
        type=float,
        nargs=2,
        metavar=("SWING", "PERIOD_S"),
        help="let the load rise and fall by a share, with a period",
    )
    parser.add_argument(
        "--disable", nargs="+", default=[], choices=features.NAMES
    )
    parser.add_argument("--length-s", type=float, default=LENGTH_S)
    parser.add_argument(
        "--queues", type=int, default=1, help="queues of each kind"
    )
    parser.add_argument(
        "--disturbing-pairs",
        type=int,
        default=0,
        help="pairs of queues whose tasks slow each other down",
    )
    parser.add_argument("--disturbance", type=float, default=1.6)
    parser.add_argument(
        "--crashing-kind",
        choices=[kind.name for kind in loads.REQUEST_KINDS],
        default="",
        help="kind of the jobs of which some crash the workers that start them",
    )
    parser.add_argument("--crashing-share", type=float, default=0.1)
    parser.add_argument("--record", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--replay", type=pathlib.Path, metavar="FILE")


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Play each load and report what it earned."""
    result = {}
    for load in options.load:
        began_s = time.process_time()
        simulated = _play(options, load)
        result[str(load)] = _describe(
            simulated, loads.SIZES[options.sizes], began_s
        )
    report = reports.Report(options.out, "emulate", "Emulated loads", result)
    columns = ("load", *next(iter(result.values())))
    rows = [(load, *row.values()) for load, row in result.items()]
    report.add_table("A trial, in simulated time", columns, rows)
    return report


def _play(
    options: argparse.Namespace, load: float
) -> list[simulations.Simulation]:
    """Play one load with each seed, or a recorded one once."""
    simulated = []
    tail = TAILS[options.tail]
    wave = loads.Wave(*options.wave) if options.wave else None
    switched = features.switch_off(options.disable)
    seeds = range(1) if options.replay else range(options.seeds)
    for seed in seeds:
        arrivals = list(
            loads.draw(
                load,
                options.length_s,
                seed,
                options.burst,
                wave,
                tail,
                loads.SIZES[options.sizes],
            )
        )
        if options.queues > 1:
            arrivals = list(loads.split_queues(arrivals, options.queues, seed))
        if options.replay:
            arrivals = list(loads.read(options.replay))
        if options.record:
            loads.write(options.record, arrivals)
        simulation = simulations.Simulation(
            options.workers,
            FAULTS[options.faults],
            options.groups,
            options.budget,
            _list_speeds(options.speeds, options.workers),
            _draw_factors(options, seed),
            switched,
            crashes.Plan(options.crashing_kind, options.crashing_share, seed),
            loads.SIZES[options.sizes],
        )
        simulation.run(arrivals)
        simulated.append(simulation)
    return simulated


def _list_speeds(choice: str, workers: int) -> tuple[float, ...]:
    """Return the speed of each worker; every third worker is a large one."""
    speeds = SPEEDS[choice]
    if choice == LARGE_FAST:
        return tuple(speeds[index % 3] for index in range(workers))
    return tuple(speeds[index // 3 % 3] for index in range(workers))


def _draw_factors(
    options: argparse.Namespace, seed: int
) -> disturbances.Factors:
    queues = [kind.name for kind in loads.REQUEST_KINDS]
    if options.queues > 1:
        queues = loads.list_queues(options.queues)
    return disturbances.draw(
        queues, options.disturbing_pairs, options.disturbance, seed
    )


def _describe(
    simulated: list[simulations.Simulation],
    sizes: loads.Sizes,
    began_s: float,
) -> dict[str, object]:
    outcomes = [o for s in simulated for o in s.outcomes.values()]
    tally = tallies.count(outcomes, sizes)
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
        "moved": sum(s.moved_runs for s in simulated),
        "disturbed": sum(s.disturbed_runs for s in simulated),
        "crashes": sum(s.crashes for s in simulated),
        "processor_s": round(time.process_time() - began_s, 2),
    }
