"""Slopes of what daemons spend, and the target's arithmetic on them."""

import argparse
import dataclasses
import pathlib
import sys

from bench import reports
from bench.capacity import idle
from bench.capacity import loaded
from bench.capacity import memory
from bench.capacity import micro
from bench.capacity import pages
from bench.capacity import plots
from bench.capacity import sections
from bench.capacity import slopes

ROOT = pathlib.Path(__file__).resolve().parents[2]
FOLDER = ROOT / "docs/capacity"
PAGE = ROOT / "docs/CAPACITY.md"
SLOPES = FOLDER / "slopes.json"
EARLIER = FOLDER / "earlier.json"
GROUPS = {
    "micro": micro.measure_all,
    "memory": memory.measure_all,
    "loaded": loaded.measure_all,
    "idle": idle.measure_all,
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the options."""
    parser.add_argument(
        "--check",
        action="store_true",
        help="measure nothing; fail if the page disagrees with the slopes",
    )
    parser.add_argument(
        "--redraw",
        action="store_true",
        help="measure nothing; write the page's tables and the plots again",
    )
    parser.add_argument(
        "--only",
        default="",
        help="measure one of "
        f"{', '.join(GROUPS)}, or the idle slopes that begin so",
    )
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--slopes", type=pathlib.Path, default=SLOPES)


def run(options: argparse.Namespace, folder: pathlib.Path) -> reports.Report:
    """Measure the slopes, then write the page's tables and the plots.

    Raises:
        SystemExit: With `--check`, the page or a slope is wrong.
    """
    del folder
    if options.check:
        return _check(options)
    known = slopes.read_slopes(options.slopes)
    if not options.redraw:
        _measure(options, known)
    result = {"command": "capacity", "seed": options.seed}
    report = reports.Report(options.out, "capacity", "Capacity", result)
    if options.slopes != SLOPES:
        report.add_text(sections.draw_slopes(known))
        return report
    tables = pages.build_tables(known, slopes.read_slopes(EARLIER))
    PAGE.write_text(pages.fill(PAGE.read_text(), tables))
    plots.draw_all(FOLDER, known)
    for name, text in tables.parts.items():
        report.add_text(f"## {name}\n\n{text}")
    result["over"] = tables.over
    return report


def _measure(
    options: argparse.Namespace, known: dict[str, slopes.Slope]
) -> None:
    """Measure what is asked for and record it after each group."""
    commit = reports.read_commit()
    command = _format_command(options)
    for name, measure in GROUPS.items():
        wanted = options.only
        if wanted and not wanted.startswith(name):
            continue
        extra = (wanted,) if name == "idle" else ()
        for slope in measure(options.repeats, *extra):
            known[slope.name] = dataclasses.replace(
                slope, command=command, commit=commit, seed=options.seed
            )
        slopes.write_slopes(options.slopes, known)


def _format_command(options: argparse.Namespace) -> str:
    only = f" --only {options.only}" if options.only else ""
    return f"scripts/bench capacity{only} --repeats {options.repeats}"


def _check(options: argparse.Namespace) -> reports.Report:
    known = slopes.read_slopes(options.slopes)
    earlier = slopes.read_slopes(EARLIER)
    faults = slopes.list_faults(known) + slopes.list_faults(earlier)
    tables = pages.build_tables(known, earlier)
    faults += pages.list_differences(PAGE.read_text(), tables)
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        raise SystemExit(1)
    result = {"command": "capacity", "check": "agrees", "over": tables.over}
    return reports.Report(options.out, "capacity-check", "Capacity", result)
