"""The client of one worker's endpoint.

Each request is sent at most once. The caller decides by the verdict of the
outcome whether to send it again.
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

# pydantic_core writes these literals for floats that JSON can't represent.
NON_JSON_LITERALS = (b"NaN", b"Infinity")


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on connections and times of a client.

    Attributes:
        start_connections: Maximum number of open connections for starts. A
            start uses its connection until the task ends.
        control_connections: Maximum number of open connections for all other
            requests.
        connect_timeout_s: Maximum time to open a connection, in seconds. It
            also limits the wait for a connection while all are in use.
        control_timeout_s: Time limit of any exchange except a start, in
            seconds.
        idle_limit_s: Connections idle for longer, in seconds, are replaced.
    """

    start_connections: int = 8
    control_connections: int = 2
    connect_timeout_s: float = 1.0
    control_timeout_s: float = 2.0
    idle_limit_s: float = 30.0


class EndpointClient:
    """Client of one worker with its own pools of connections.

    Attributes:
        worker_id: The id of the worker.
        starts: The connections for starts.
        control: The connections for all other requests.
    """

    def __init__(
        self,
        worker_id: str,
        address: str,
        port: int,
        limits: Limits = Limits(),
        clock: clocks.Clock = clocks.read_monotonic_s,
    ):
        """Create the client without opening a connection.

        Args:
            worker_id: The id of the worker.
            address: The worker's IP address.
            port: The port of the worker's endpoint.
            limits: Limits on connections and times.
            clock: Returns the time in seconds.
        """
        self.worker_id = worker_id
        self._limits = limits
        self._address = (address, port)
        self.starts = self._build_connections(limits.start_connections, clock)
        self.control = self._build_connections(
            limits.control_connections, clock
        )
        self._start_head = exchanges.build_head(
            self._address, "POST", "/v1/start"
        )

    def _build_connections(
        self, limit: int, clock: clocks.Clock
    ) -> connections.ConnectionPool:
        return connections.ConnectionPool(
            self._address,
            limit,
            self._limits.connect_timeout_s,
            self._limits.idle_limit_s,
            clock,
        )

    def close(self) -> None:
        """Close all idle connections."""
        self.starts.close_idle()
        self.control.close_idle()

    def start(
        self, start: outcomes.Start, timeout_s: float
    ) -> outcomes.StartOutcome:
        """Start a task and wait until it ends.

        Args:
            start: The task.
            timeout_s: Time limit of the whole exchange, including the task's
                run time, in seconds.

        Returns:
            Whether the task has run, and its result. The verdict is `NOT_RUN`
            only if no byte was written or the worker replied "not run".
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
        """Request a lease, or renew it, for `ttl_s` seconds.

        The caller must count the term from a time before this call. The worker
        counts it from a later time, so the lease does not expire on the worker
        before it expires for the caller.
        """
        body = _serialize_lease(lease) | {"ttl_ms": _to_milliseconds(ttl_s)}
        return self._post("/v1/lease", body, readers.read_lease)

    def release_lease(self, lease: outcomes.Lease) -> outcomes.ReleaseOutcome:
        """Release a lease before it expires."""
        body = _serialize_lease(lease)
        return self._post("/v1/release", body, readers.read_release)

    def look_up_tasks(
        self, task_ids: list[str], lease: outcomes.Lease | None = None
    ) -> outcomes.TasksOutcome:
        """Query the states of tasks on the worker.

        Args:
            task_ids: The ids of the tasks.
            lease: If given, the worker refuses the request unless this lease
                is in force.
        """
        body = {"tasks": task_ids}
        if lease is not None:
            body |= _serialize_lease(lease)
        return self._post(
            "/v1/tasks",
            body,
            lambda response: readers.read_tasks(response, task_ids),
        )

    def stop_tasks(
        self, task_ids: list[str], lease: outcomes.Lease
    ) -> outcomes.StopOutcome:
        """Stop running tasks; pending starts of them return `STOPPED`."""
        body = {
            "tasks": task_ids,
            "holder": lease.holder,
            "epoch": lease.epoch,
        }
        return self._post("/v1/stop", body, readers.read_stop)

    def read_usage(self) -> outcomes.UsageOutcome:
        """Return the worker's usage, which lags behind the current state."""
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
        head = exchanges.build_head(self._address, method, path)
        request = exchanges.build_request(head, body)
        try:
            response = exchanges.exchange(
                self.control, request, self._limits.control_timeout_s
            )
        except exceptions.ExchangeError as error:
            return readers.classify(error)
        return read(response)


def encode(body: dict[str, Any]) -> bytes:
    """Return a request body as JSON.

    Raises:
        ValueError: The body contains values that JSON can't represent, or is
            nested too deeply.
    """
    data = pydantic_core.to_json(body)
    if any(literal in data for literal in NON_JSON_LITERALS):
        # The literals may be part of a string. If they are not, the strict
        # encoder raises ValueError.
        data = json.dumps(body, allow_nan=False).encode()
    return data


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _serialize_lease(lease: outcomes.Lease) -> dict[str, Any]:
    return {
        "shard": lease.shard,
        "holder": lease.holder,
        "epoch": lease.epoch,
    }


def encode_start(start: outcomes.Start) -> bytes:
    """Return the JSON body of a start request.

    Raises:
        ValueError: The payload contains values that JSON can't represent, or
            is nested too deeply.
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
