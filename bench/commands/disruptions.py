"""Disruptions of the users' bench that sites, days and hunts contain."""

import argparse
import pathlib
import sys

from bench import reports
from bench.disruptions import listings
from bench.disruptions import plans

DAYS_FOLDER = pathlib.Path("deploy/days")
JOURNAL_FOLDER = pathlib.Path("journal")
DAYS = "days"
HUNTS = "hunts"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's options."""
    parser.add_argument(
        "sites", type=pathlib.Path, nargs="*", help="site files"
    )
    parser.add_argument(
        "--kinds",
        type=argparse.FileType(),
        default=sys.stdin,
        help="listing of the kinds, as the users' bench prints it",
    )
    parser.add_argument("--days", type=pathlib.Path, default=DAYS_FOLDER)
    parser.add_argument("--journal", type=pathlib.Path, default=JOURNAL_FOLDER)


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Report where each kind and variant occurs, and which occur nowhere."""
    del folder
    listed = listings.parse(options.kinds.read())
    sources = {path.stem: plans.read_file(path) for path in options.sites}
    day_files = sorted(options.days.glob("*.toml"))
    sources[DAYS] = set().union(*map(plans.read_file, day_files))
    sources[HUNTS] = plans.read_hunts(sorted(options.journal.glob("*.json")))
    return _report(options.out, listed, sources)


def _report(
    out: pathlib.Path,
    listed: list[plans.Disruption],
    sources: dict[str, set[plans.Disruption]],
) -> reports.Report:
    missing = {
        name: [_format(d) for d in listed if d not in found]
        for name, found in sources.items()
    }
    nowhere = [
        _format(d)
        for d in listed
        if not any(d in found for found in sources.values())
    ]
    result = {"listed": len(listed), "missing": missing, "nowhere": nowhere}
    report = reports.Report(out, "disruptions", "Disruptions", result)
    rows = [
        (
            _format(disruption),
            ", ".join(n for n, found in sources.items() if disruption in found),
        )
        for disruption in listed
    ]
    report.add_table("Where each occurs", ("disruption", "in"), rows)
    return report


def _format(disruption: plans.Disruption) -> str:
    return f"{disruption.kind} {disruption.variant}".strip()
