"""The soak's command line; see `scripts/soak --help`."""

import argparse
import json
import pathlib
import sys
import time
from typing import Any

from pollenladder.conf import loops

loops.pin_loop()

from soak import defects  # noqa: E402
from soak import faults  # noqa: E402
from soak import rounds  # noqa: E402

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.json")


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--first", type=int, help="first seed; fresh without")
    parser.add_argument("--seeds", type=int, default=5, help="rounds to play")
    parser.add_argument("--defect", choices=sorted(defects.DEFECTS), default="")
    parser.add_argument(
        "--regressions", action="store_true", help="seeds that ever failed"
    )
    parser.add_argument(
        "--out", type=pathlib.Path, default=pathlib.Path("var/soak")
    )
    return parser.parse_args(arguments)


def list_rounds(
    options: argparse.Namespace,
) -> list[tuple[int, list[faults.Fault] | None]]:
    """Return the seeds to play, and their faults unless they are to be drawn."""
    if options.regressions:
        return [read_case(case) for case in json.loads(REGRESSIONS.read_text())]
    first = options.first
    if first is None:
        first = int(time.time())
    return [(seed, None) for seed in range(first, first + options.seeds)]


def read_case(case: dict[str, Any]) -> tuple[int, list[faults.Fault]]:
    """Return the seed and the faults of a round that once failed."""
    return case["seed"], [faults.Fault(**row) for row in case["faults"]]


def main(arguments: list[str]) -> int:
    """Play rounds; one line each, and a last one with the verdict."""
    options = parse_arguments(arguments)
    failed = []
    played = list_rounds(options)
    for seed, drawn in played:
        report = rounds.play(seed, options.out, options.defect, drawn)
        if report.broken:
            failed.append(seed)
        kinds = [f"{f.kind}@{f.at_s}+{f.for_s}" for f in report.faults]
        row = {
            "seed": seed,
            "broken": report.broken[:5],
            "answers": report.answers,
            "faults": kinds,
        }
        print(json.dumps(row), flush=True)
        if failed and options.defect:
            break
    verdict = {"rounds": len(played), "failed": failed}
    print(json.dumps(verdict))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
