"""The soak's command line; see `scripts/soak --help`."""

import argparse
import dataclasses
import json
import pathlib
import sys
import time
from typing import Any

from pollenladder.conf import loops

loops.pin_loop()

from soak import data_centres  # noqa: E402
from soak import defects  # noqa: E402
from soak import faults  # noqa: E402
from soak import resubmissions  # noqa: E402
from soak import rounds  # noqa: E402

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.json")


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--first", type=int, help="first seed; fresh without")
    parser.add_argument("--seeds", type=int, default=5, help="rounds to play")
    parser.add_argument("--defect", choices=sorted(defects.DEFECTS), default="")
    parser.add_argument(
        "--regressions", action="store_true", help="seeds that ever failed"
    )
    parser.add_argument(
        "--site", choices=("region", "data-centres"), default="region"
    )
    parser.add_argument(
        "--callers",
        choices=sorted(resubmissions.BREAKS),
        default=resubmissions.RESET,
        help="how callers of the site of data centres break connections",
    )
    parser.add_argument(
        "--round-s", type=float, default=60.0, help="for that site, in seconds"
    )
    parser.add_argument(
        "--out", type=pathlib.Path, default=pathlib.Path("var/soak")
    )
    options = parser.parse_args(arguments)
    if options.site == "data-centres" and (
        options.defect or options.regressions
    ):
        parser.error("--defect and --regressions are for the site of a region")
    return options


def list_rounds(
    options: argparse.Namespace,
) -> list[tuple[int, list[faults.Fault] | None]]:
    """List the rounds to run.

    Returns:
        For each round the seed, and its faults or None to draw them from the
        seed.
    """
    if options.regressions:
        return [
            parse_regression(case)
            for case in json.loads(REGRESSIONS.read_text())
        ]
    first = options.first
    if first is None:
        first = int(time.time())
    return [(seed, None) for seed in range(first, first + options.seeds)]


def parse_regression(case: dict[str, Any]) -> tuple[int, list[faults.Fault]]:
    """Parse the seed and the faults of a recorded round that once failed."""
    return case["seed"], [faults.Fault(**row) for row in case["faults"]]


def main(arguments: list[str]) -> int:
    """Run the rounds, print a JSON line for each and a final summary line.

    Returns:
        The exit code, which is 1 if an invariant was violated in any round.
    """
    options = parse_arguments(arguments)
    if options.site == "data-centres":
        return play_data_centres(options)
    failed = []
    planned_rounds = list_rounds(options)
    for seed, planned_faults in planned_rounds:
        report = rounds.run(seed, options.out, options.defect, planned_faults)
        if report.violations:
            failed.append(seed)
        row = {
            "seed": seed,
            "broken": report.violations[:5],
            "answers": report.answers,
            "faults": format_faults(report.faults),
        }
        print(json.dumps(row), flush=True)
        if failed and options.defect:
            break
    summary = {"rounds": len(planned_rounds), "failed": failed}
    print(json.dumps(summary))
    return 1 if failed else 0


def play_data_centres(options: argparse.Namespace) -> int:
    """Run the rounds on several data centres; see `main`."""
    counts: dict[int, int] = {}
    for seed, _ in list_rounds(options):
        report = data_centres.run(
            seed, options.out, options.callers, options.round_s
        )
        counts[seed] = len(report.violations)
        row = dataclasses.asdict(report)
        row["faults"] = format_faults(report.faults)
        row["violations"] = report.violations[:5]
        print(json.dumps(row | {"overlaps": counts[seed]}), flush=True)
    failed = [seed for seed, overlaps in counts.items() if overlaps]
    summary = {"rounds": len(counts), "overlaps": sum(counts.values())}
    print(json.dumps(summary | {"failed": failed}))
    return 1 if failed else 0


def format_faults(found: list[faults.Fault]) -> list[str]:
    """Return the faults of a round in a short form."""
    return [f"{f.kind}@{f.at_s}+{f.for_s}" for f in found]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
