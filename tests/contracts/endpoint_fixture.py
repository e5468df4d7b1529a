"""A stand-in worker with a client, for the tests of the endpoint contract."""

from collections.abc import Callable
import dataclasses

import gevent

from pollenladder.endpoints import client
from pollenladder.endpoints import outcomes
from standins import endpoint_control
from standins import endpoint_messages
from tests import waiting

LEASE = outcomes.Lease("s-0", "d-1", 7)
LONG_S = 60.0


class EndpointFixture:
    """One stand-in worker and a client that holds its lease."""

    def __init__(self):
        self.now_s = 1000.0
        self.open_connections = []
        self.host = endpoint_control.Host(self.read_clock)
        settings = endpoint_messages.WorkerSettings(
            vm_id="w-1", slots=2, connections=10, kinds=["check"]
        )
        self.host.add(settings)
        self.hosted = self.host.workers["w-1"]
        limits = client.Limits(connect_timeout_s=LONG_S)
        self.client = client.EndpointClient(
            "w-1", "127.0.0.1", self.hosted.port, limits
        )
        self.client.acquire_lease(LEASE, 60.0)

    def read_clock(self) -> float:
        return self.now_s

    def set_faults(self, **faults) -> None:
        message = endpoint_messages.FaultsMessage(**faults)
        self.hosted.apply_faults(message)

    def run_long_tasks(self, count: int) -> None:
        """Start long tasks in the background and wait until they run."""
        tasks = self.hosted.worker.tasks.running
        for index in range(count):
            long = build_start(f"long:{index}", {"run_ms": 10**8})
            gevent.spawn(self.client.start, long, LONG_S)
        waiting.wait_until(lambda: len(tasks) == count)

    def call_once_running(self, call: Callable[[], object]) -> None:
        """Call a function in the background as soon as a task runs."""

        def wait_and_call():
            waiting.wait_until(lambda: self.hosted.worker.tasks.running)
            call()

        gevent.spawn(wait_and_call)

    def close(self) -> None:
        self.client.close()
        self.hosted.worker.restart()
        self.hosted.close()


def build_start(task_id="j:0", payload=None, **changes) -> outcomes.Start:
    start = outcomes.Start(
        task_id,
        "j",
        "c-1",
        "p-1",
        "check",
        LEASE,
        60.0,
        10**6,
        payload or {"run_ms": 1, "echo": "x"},
    )
    return dataclasses.replace(start, **changes)
