"""Simulated platform with a table service, an object store and a VM list.

Run `python -m standins.platform --help`.
"""

import argparse
import pathlib
import sys

from pollenladder.core import clocks
from standins import platform_http
from standins import platform_messages
from standins import servers


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument(
        "--port", type=int, default=0, help="0 takes a free port"
    )
    parser.add_argument(
        "--vms",
        default="[]",
        help="a JSON list of VM rows, or the path of a file that holds one",
    )
    parser.add_argument(
        "--vm-lag-s",
        type=float,
        default=0.0,
        help="how late changes of the VM list are seen, in seconds",
    )
    return parser.parse_args(arguments)


def read_vms(text: str) -> platform_messages.VmsMessage:
    """Read the initial VM list from JSON or from the file at a path."""
    if not text.lstrip().startswith("["):
        text = pathlib.Path(text).read_text()
    return platform_messages.VmsMessage.model_validate_json(
        f'{{"set": {text}, "at_once": true}}'
    )


def build_application(
    platform: platform_http.Platform,
) -> servers.Application:
    """Build the application that serves the platform and control requests."""

    def answer(request: servers.Request) -> servers.Reply | None:
        if request.path.startswith("/control/"):
            return platform.control(request)
        return platform.answer(request)

    return answer


def main(arguments: list[str]) -> int:
    """Serve requests until SIGTERM or SIGINT and return the exit code."""
    options = parse_arguments(arguments)
    servers.pin_event_loop()
    platform = platform_http.Platform(clocks.read_monotonic_s)
    platform.faults.vm_lag_s = options.vm_lag_s
    platform.change_vms(read_vms(options.vms))
    server = servers.Server(
        (options.address, options.port),
        build_application(platform),
    )
    control = servers.Server(("127.0.0.1", 0), platform.control)
    server.start()
    control.start()
    servers.announce_and_wait(
        {"port": server.server_port, "control_port": control.server_port}
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
