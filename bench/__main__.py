"""Command line of the load generator; see `scripts/bench --help`."""

import argparse
import pathlib
import sys
import tempfile

from bench.commands import capacity
from bench.commands import config
from bench.commands import control
from bench.commands import disruptions
from bench.commands import emulate
from bench.commands import faults
from bench.commands import margins
from bench.commands import relay
from bench.commands import response

COMMANDS = {
    "response": response,
    "relay": relay,
    "faults": faults,
    "emulate": emulate,
    "config": config,
    "control": control,
    "capacity": capacity,
    "disruptions": disruptions,
    "margins": margins,
}


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="scripts/bench")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, module in COMMANDS.items():
        sub = commands.add_parser(name, help=module.__doc__)
        sub.add_argument("--seed", type=int, default=1)
        sub.add_argument(
            "--out",
            type=pathlib.Path,
            default=pathlib.Path("var/bench"),
            help="folder of the report",
        )
        sub.add_argument(
            "--keep-logs",
            type=pathlib.Path,
            help="folder of the processes' logs, kept after the run",
        )
        module.add_arguments(sub)
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run a command and print its result as JSON on the last line of stdout."""
    options = parse_arguments(arguments)
    module = COMMANDS[options.command]
    with tempfile.TemporaryDirectory(prefix="bench-") as temporary:
        folder = options.keep_logs or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        report = module.run(options, folder)
    report.finish()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
