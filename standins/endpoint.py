"""Simulated endpoint process that hosts many workers.

Run `python -m standins.endpoint --help`.
"""

import argparse
import pathlib
import sys

import gevent
import pydantic

from pollenladder.core import clocks
from standins import endpoint_control
from standins import endpoint_messages
from standins import servers

DEFAULT_USAGE_LAG_S = 1.0
WORKER_LIST_ADAPTER = pydantic.TypeAdapter(
    list[endpoint_messages.WorkerSettings]
)


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="standins.endpoint")
    parser.add_argument(
        "--workers",
        required=True,
        help="a JSON list of workers, or the path of a file that holds one",
    )
    parser.add_argument(
        "--control-port",
        type=int,
        default=0,
        help="port for control of all workers; 0 takes a free one",
    )
    parser.add_argument(
        "--usage-lag-s",
        type=float,
        default=DEFAULT_USAGE_LAG_S,
        help="seconds between usage samples",
    )
    return parser.parse_args(arguments)


def read_workers(text: str) -> list[endpoint_messages.WorkerSettings]:
    """Read worker settings from a JSON list or from the file at a path."""
    if not text.lstrip().startswith("["):
        text = pathlib.Path(text).read_text()
    return WORKER_LIST_ADAPTER.validate_json(text)


def main(arguments: list[str]) -> int:
    """Serve requests until SIGTERM or SIGINT and return the exit code."""
    options = parse_arguments(arguments)
    servers.pin_event_loop()
    host = endpoint_control.Host(clocks.read_monotonic_s)
    for settings in read_workers(options.workers):
        host.add(settings)
    control = servers.Server(("127.0.0.1", options.control_port), host.control)
    control.start()
    gevent.spawn(host.sample_usage_forever, options.usage_lag_s)
    ports = {vm_id: hosted.port for vm_id, hosted in host.workers.items()}
    servers.announce_and_wait(
        {"control_port": control.server_port, "workers": ports}
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
