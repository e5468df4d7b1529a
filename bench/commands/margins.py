"""Times from the loss of a caller, gateway or owner to the end of its runs."""

import argparse
import dataclasses
import os
import pathlib

from bench import reports
from bench.margins import cases
from bench.margins import figures
from bench.margins import rounds
from bench.margins import trials

COLUMNS = ["case", "trials", "median", "p95", "max"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the options."""
    parser.add_argument(
        "--load",
        type=int,
        default=0,
        help="busy processes beside the sites, from each fault to its effects",
    )
    parser.add_argument(
        "--sites", type=int, default=6, help="sites that run at once"
    )
    parser.add_argument(
        "--rounds", type=int, default=2, help="trials of each case on each site"
    )
    parser.add_argument(
        "--case",
        action="append",
        choices=[case.name for case in cases.CASES],
        help="only this case; may be given again",
    )


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Measure the cases in turn, each on all sites at once."""
    del folder
    chosen = options.case or [case.name for case in cases.CASES]
    result = trials.Result()
    averages = [os.getloadavg()[0]]
    with rounds.start_sites(options.sites, options.seed) as started:
        for _ in range(options.rounds):
            for case in chosen:
                result.add(rounds.run(started, case, options.load))
    averages.append(os.getloadavg()[0])
    found = figures.summarize(result.samples)
    report = reports.Report(
        options.out,
        f"margins-{options.load}",
        "Margins of the times that keep runs apart",
        {
            "command": "margins",
            "load": options.load,
            "sites": options.sites,
            "rounds": options.rounds,
            "seed": options.seed,
            "load_averages": averages,
            "figures": [dataclasses.asdict(one) for one in found],
            "skipped": result.skipped,
        },
    )
    report.add_table(
        f"{options.load} busy processes, times in s", COLUMNS, _list_rows(found)
    )
    before, after = averages
    report.add_text(f"Load average {before:.1f} before, {after:.1f} after.")
    report.add_text("\n".join(["Skipped:", *(result.skipped or ["none"])]))
    return report


def _list_rows(found: list[figures.Figures]) -> list[list]:
    return [
        [one.case, one.count, *_round(one.median, one.p95, one.worst)]
        for one in found
    ]


def _round(*times_s: float) -> list[str]:
    return [f"{time_s:.3f}" for time_s in times_s]
