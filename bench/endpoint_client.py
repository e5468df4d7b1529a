"""Compare the CPU time per task start of three HTTP clients.

`python -m bench.endpoint_client` runs the clients alternately against the same
workers, with tasks that end immediately. The last line of output is JSON.
"""

import argparse
from collections.abc import Callable
import dataclasses
import json
import resource
import statistics
import sys
import time

import gevent
from gevent import socket
from geventhttpclient import client as library

from pollenladder.core import verdicts
from pollenladder.endpoints import client
from pollenladder.endpoints import outcomes
from pollenladder.http import exchanges
from standins import processes
from standins import servers

WORKERS = 4
CONNECTIONS = 8
TIMEOUT_S = 30.0
LEASE = outcomes.Lease("s-0", "d-1", 1)

# Starts a task on a free connection to a worker.
Starter = Callable[[outcomes.Start], None]
# Builds the function for the worker on a port.
StarterBuilder = Callable[[int], Starter]


@dataclasses.dataclass(frozen=True)
class Round:
    """Result of one measuring interval of one HTTP client.

    Attributes:
        way: Name of the HTTP client.
        starts: Number of tasks started.
        cpu_us: CPU time of this process per start, in microseconds.
    """

    way: str
    starts: int
    cpu_us: float


def build_start(task_id: str) -> outcomes.Start:
    """Build the start of a task that ends immediately."""
    payload = {"run_ms": 0, "echo": 1}
    return outcomes.Start(
        task_id, "j", "c-1", "p-1", "check", LEASE, 600.0, 1.0, payload
    )


def build_daemon_starter(port: int) -> Starter:
    """Return a function that uses the daemon's own client."""
    endpoint = client.EndpointClient("w", "127.0.0.1", port)

    def start(task: outcomes.Start) -> None:
        outcome = endpoint.start(task, TIMEOUT_S)
        if outcome.verdict is not verdicts.Verdict.RAN:
            raise RuntimeError(f"{outcome}")

    return start


def build_library_starter(port: int) -> Starter:
    """Return a function that uses geventhttpclient's HTTPClient."""
    http = library.HTTPClient(
        "127.0.0.1", port, concurrency=CONNECTIONS, network_timeout=TIMEOUT_S
    )
    fields = {"Content-Type": "application/json"}

    def start(task: outcomes.Start) -> None:
        body = client.encode_start(task)
        response = http.request("POST", "/v1/start", body, fields)
        if json.loads(response.read())["verdict"] != "ran":
            raise RuntimeError("not run")

    return start


def build_socket_starter(port: int) -> Starter:
    """Return a function that uses plain sockets.

    Its CPU time is the share of the operating system and of gevent.
    """
    head = exchanges.build_head(("127.0.0.1", port), "POST", "/v1/start")
    body = client.encode_start(build_start("same"))
    request = exchanges.build_request(head, body)
    idle: list[socket.socket] = []

    def start(_task: outcomes.Start) -> None:
        sock = idle.pop() if idle else None
        sock = sock or socket.create_connection(("127.0.0.1", port))
        sock.sendall(request)
        sock.recv(65536)
        idle.append(sock)

    return start


STARTER_BUILDERS: dict[str, StarterBuilder] = {
    "client": build_daemon_starter,
    "library": build_library_starter,
    "socket": build_socket_starter,
}


def read_cpu_s() -> float:
    """Return the CPU time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def run_round(
    client_name: str, starts: list[Starter], prefix: str, seconds: float
) -> Round:
    """Start tasks on all connections for a number of seconds."""
    counts = [0]
    end_s = time.monotonic() + seconds

    def repeat(start: Starter) -> None:
        while time.monotonic() < end_s:
            counts[0] += 1
            start(build_start(f"{prefix}:{counts[0]}"))

    cpu_s = read_cpu_s()
    jobs = [gevent.spawn(repeat, s) for s in starts for _ in range(CONNECTIONS)]
    gevent.joinall(jobs, raise_error=True)
    cpu_us = (read_cpu_s() - cpu_s) / counts[0] * 1e6
    return Round(client_name, counts[0], cpu_us)


def measure(rounds: int, seconds: float, ports: list[int]) -> list[Round]:
    """Run all HTTP clients alternately for a number of rounds."""
    for port in ports:
        endpoint = client.EndpointClient("w", "127.0.0.1", port)
        endpoint.acquire_lease(LEASE, 600.0)
    starts = {
        name: [build(port) for port in ports]
        for name, build in STARTER_BUILDERS.items()
    }
    return [
        run_round(name, starts[name], f"{name}-{turn}", seconds)
        for turn in range(rounds)
        for name in STARTER_BUILDERS
    ]


def summarize(rounds: list[Round]) -> dict:
    """Return the median and the range of each HTTP client, in microseconds."""
    summary = {}
    for client_name in STARTER_BUILDERS:
        figures = [r.cpu_us for r in rounds if r.way == client_name]
        summary[client_name] = {
            "cpu_us_median": round(statistics.median(figures)),
            "cpu_us_min": round(min(figures)),
            "cpu_us_max": round(max(figures)),
            "starts": sum(r.starts for r in rounds if r.way == client_name),
        }
    return summary


def main(arguments: list[str]) -> int:
    """Run the measurement and print the result; return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.endpoint_client")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=1.0)
    options = parser.parse_args(arguments)
    servers.pin_event_loop()
    workers = [
        {"vm_id": f"w-{n}", "slots": CONNECTIONS} for n in range(WORKERS)
    ]
    standin = processes.StandIn(
        "standins.endpoint", "--workers", json.dumps(workers)
    )
    try:
        ports = list(standin.ready["workers"].values())
        rounds = measure(options.rounds, options.seconds, ports)
    finally:
        standin.stop()
    print(json.dumps(summarize(rounds)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
