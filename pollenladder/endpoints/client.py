"""The client of one worker's endpoint.

No request is ever sent twice; whether to try again is for the caller to decide
by the verdict of the outcome.
"""

from collections.abc import Callable
import dataclasses
import json
from typing import Any
from typing import TypeVar

import pydantic_core

from pollenladder.core import clocks
from pollenladder.core import verdicts
from pollenladder.endpoints import outcomes
from pollenladder.endpoints import readers
from pollenladder.http import connections
from pollenladder.http import exceptions
from pollenladder.http import exchanges
from pollenladder.http import responses

Outcome = TypeVar("Outcome")

# What JSON lacks and the fast encoder writes all the same.
NOT_JSON = (b"NaN", b"Infinity")


@dataclasses.dataclass(frozen=True)
class Limits:
    """Connections and times of a client.

    Attributes:
        start_connections: Open at once for starts, which hold them.
        control_connections: Open at once for all other requests.
        connect_timeout_s: For opening a connection, or waiting for a free
            place, in seconds.
        control_timeout_s: For the whole of any exchange but a start.
        idle_limit_s: Connections idle for longer are opened anew.
    """

    start_connections: int = 8
    control_connections: int = 2
    connect_timeout_s: float = 1.0
    control_timeout_s: float = 2.0
    idle_limit_s: float = 30.0


class EndpointClient:
    """Requests to one worker, over connections of its own.

    Attributes:
        worker_id: The worker.
        starts: The connections used for starts.
        control: The connections used for all else.
    """

    def __init__(
        self,
        worker_id: str,
        address: str,
        port: int,
        limits: Limits = Limits(),
        clock: clocks.Clock = clocks.read_monotonic_s,
    ):
        """Prepare the client; nothing is opened yet.

        Args:
            worker_id: The worker.
            address: Its IP number.
            port: The port of its endpoint.
            limits: Connections and times.
            clock: The time, in seconds.
        """
        self.worker_id = worker_id
        self._limits = limits
        self._place = (address, port)
        self.starts = self._build_connections(limits.start_connections, clock)
        self.control = self._build_connections(
            limits.control_connections, clock
        )
        self._start_head = exchanges.build_head(
            self._place, "POST", "/v1/start"
        )

    def _build_connections(
        self, limit: int, clock: clocks.Clock
    ) -> connections.Connections:
        return connections.Connections(
            self._place,
            limit,
            self._limits.connect_timeout_s,
            self._limits.idle_limit_s,
            clock,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self.starts.close_idle()
        self.control.close_idle()

    def start(
        self, start: outcomes.Start, timeout_s: float
    ) -> outcomes.StartOutcome:
        """Start a task and wait for its end.

        Args:
            start: The task.
            timeout_s: For the whole of it, the run included, in seconds.

        Returns:
            What is known of the task. `NOT_RUN` only if no byte was written
            or the worker said so.
        """
        try:
            body = encode_start(start)
        except ValueError as error:
            return outcomes.StartOutcome(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.NEVER_RUNS,
                detail=str(error),
            )
        request = exchanges.build_request(self._start_head, body)
        try:
            response = exchanges.exchange(self.starts, request, timeout_s)
        except exceptions.ExchangeError as error:
            failure = readers.classify(error)
            return outcomes.StartOutcome(
                failure.verdict, failure.reason, detail=failure.detail
            )
        return readers.read_start(response)

    def acquire_lease(
        self, lease: outcomes.Lease, ttl_s: float
    ) -> outcomes.LeaseOutcome:
        """Ask for a lease, or renew it, for `ttl_s` seconds.

        The term is to be counted from before this call.
        """
        body = _describe_lease(lease) | {"ttl_ms": _to_milliseconds(ttl_s)}
        return self._post("/v1/lease", body, readers.read_lease)

    def release_lease(self, lease: outcomes.Lease) -> outcomes.ReleaseOutcome:
        """Give back a lease."""
        body = _describe_lease(lease)
        return self._post("/v1/release", body, readers.read_release)

    def look_up_tasks(
        self, task_ids: list[str], lease: outcomes.Lease | None = None
    ) -> outcomes.TasksOutcome:
        """Ask what the worker knows of tasks.

        Args:
            task_ids: The tasks.
            lease: If given, the worker refuses unless it is in force.
        """
        body = {"tasks": task_ids}
        if lease is not None:
            body |= _describe_lease(lease)
        return self._post(
            "/v1/tasks",
            body,
            lambda response: readers.read_tasks(response, task_ids),
        )

    def stop_tasks(
        self, task_ids: list[str], lease: outcomes.Lease
    ) -> outcomes.StopOutcome:
        """Stop running tasks; their starts end as "stopped"."""
        body = {
            "tasks": task_ids,
            "holder": lease.holder,
            "epoch": lease.epoch,
        }
        return self._post("/v1/stop", body, readers.read_stop)

    def read_usage(self) -> outcomes.UsageOutcome:
        """Ask for the worker's usage, which lags."""
        return self._exchange("GET", "/v1/usage", b"", readers.read_usage)

    def _post(
        self,
        path: str,
        body: dict[str, Any],
        read: Callable[[responses.Response], Outcome],
    ) -> Outcome | outcomes.Failure:
        return self._exchange("POST", path, encode(body), read)

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        read: Callable[[responses.Response], Outcome],
    ) -> Outcome | outcomes.Failure:
        head = exchanges.build_head(self._place, method, path)
        request = exchanges.build_request(head, body)
        try:
            response = exchanges.exchange(
                self.control, request, self._limits.control_timeout_s
            )
        except exceptions.ExchangeError as error:
            return readers.classify(error)
        return read(response)


def encode(body: dict[str, Any]) -> bytes:
    """Return JSON.

    Raises:
        ValueError: The body holds what JSON lacks, or is nested too deep.
    """
    data = pydantic_core.to_json(body)
    if any(word in data for word in NOT_JSON):
        # The words may stand in a text; this raises if they do not.
        data = json.dumps(body, allow_nan=False).encode()
    return data


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _describe_lease(lease: outcomes.Lease) -> dict[str, Any]:
    return {
        "shard": lease.shard,
        "holder": lease.holder,
        "epoch": lease.epoch,
    }


def encode_start(start: outcomes.Start) -> bytes:
    """Return the body of a start.

    Raises:
        ValueError: The payload is not JSON, or nested too deep.
    """
    lease = start.lease
    body = {
        "task": start.task_id,
        "job": start.job_id,
        "customer": start.customer_id,
        "plan": start.plan_id,
        "kind": start.kind,
        "shard": lease.shard,
        "holder": lease.holder,
        "epoch": lease.epoch,
        "ttl_ms": _to_milliseconds(start.ttl_s),
        "max_run_ms": _to_milliseconds(start.max_run_s),
        "payload": start.payload,
    }
    return encode(body)
