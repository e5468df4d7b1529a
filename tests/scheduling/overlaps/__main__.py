"""Search seeds: `python -m tests.scheduling.overlaps --seeds 1000-2000`."""

import argparse
import dataclasses
import sys
import time

from tests.scheduling.overlaps import callers
from tests.scheduling.overlaps import searches
from tests.scheduling.overlaps import twins

HABITS = {
    "protocol": callers.BY_PROTOCOL,
    "early": callers.EARLY,
    "unseen": callers.UNSEEN,
    "early_nearby": callers.EARLY_NEARBY,
    "unseen_nearby": callers.UNSEEN_NEARBY,
}


def main() -> int:
    """Print the seeds that have an overlap; return 1 if there is any."""
    parser = argparse.ArgumentParser(prog="tests.scheduling.overlaps")
    parser.add_argument("--seeds", default="1-200", help="FIRST-LAST")
    parser.add_argument(
        "--without",
        choices=sorted(twins.TWINS),
        action="append",
        default=[],
        help="a rule to take out",
    )
    parser.add_argument(
        "--like", choices=sorted(twins.TWINS), help="faults that need a rule"
    )
    parser.add_argument("--callers", choices=sorted(HABITS), default="protocol")
    parser.add_argument("--brief", action="store_true", help="no histories")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split("-"))
    began_at = time.monotonic()
    found = 0
    draw = searches.draw
    if arguments.like:
        draw = twins.TWINS[arguments.like].draw
    habits = HABITS[arguments.callers]
    plans = (
        dataclasses.replace(draw(seed), habits=habits)
        for seed in range(first, last + 1)
    )
    with twins.take_out(*arguments.without):
        for finding in searches.find(plans):
            found += 1
            if arguments.brief:
                print(finding.plan.seed, finding.history.overlap)
            else:
                print(searches.describe(searches.shorten(finding)), end="\n\n")
            sys.stdout.flush()
    took_s = time.monotonic() - began_at
    print(f"{last + 1 - first} seeds, {found} with an overlap, {took_s:.0f} s")
    return int(found > 0)


if __name__ == "__main__":
    sys.exit(main())
