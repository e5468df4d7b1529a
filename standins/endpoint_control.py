"""Control of the workers of one stand-in process."""

import collections
import dataclasses
import functools

import gevent
import pydantic

from pollenladder.core import clocks
from standins import endpoint_http
from standins import endpoint_messages
from standins import endpoint_tasks
from standins import endpoint_worker
from standins import servers


class HostedWorker:
    """A worker and the port it listens on.

    Attributes:
        worker: The worker.
        port: Its port, the same after each restart.
    """

    def __init__(self, worker: endpoint_worker.Worker, control):
        """Prepare the worker.

        Args:
            worker: The worker.
            control: Answers a control request that arrives on its port.
        """
        self.worker = worker
        self.port = worker.settings.port
        self._application = endpoint_http.build_application(
            worker, functools.partial(control, self)
        )
        self._server: servers.Server | None = None
        self._refused_connections = 0

    def listen(self) -> None:
        """Open the port."""
        settings = self.worker.settings
        self._server = servers.Server(
            (settings.address, self.port),
            self._application,
            lambda open_count: open_count < settings.connections,
        )
        self._server.start()
        self.port = self._server.server_port

    def close(self) -> None:
        """Close the port and all connections."""
        if self._server is None:
            return
        self._refused_connections += self._server.refused_connections
        self._server.drop_connections()
        self._server.close()
        self._server = None

    def restart(self, kept: servers.Connection) -> None:
        """Restart the worker; all connections but one end."""
        self.worker.restart()
        if self._server is not None:
            self._server.drop_connections(kept)

    def apply_faults(self, message: endpoint_messages.FaultsMessage) -> None:
        """Set the faults that the message names."""
        faults = self.worker.faults
        named = message.model_dump(exclude_none=True)
        stall_s = named.pop("stall_s", None)
        if stall_s is not None:
            faults.stalled_until_s = self.worker.clock() + stall_s
        if named.pop("silent_existing", False) and self._server is not None:
            self._server.silence_connections()
        down = named.pop("down", faults.down)
        for name, value in named.items():
            setattr(faults, name, value)
        if down != faults.down:
            self._switch(down)

    def _switch(self, down: bool) -> None:
        self.worker.faults.down = down
        if down:
            self.worker.restart()
            self.close()
        else:
            self.listen()

    def sample_usage(self) -> None:
        """Record usage for the next `GET /v1/usage`."""
        used = len(self._server.connections) if self._server else 0
        self.worker.sample_usage(used)

    def read_counters(self) -> dict:
        """Return the counters as JSON."""
        counters = dataclasses.asdict(self.worker.counters)
        counters["refused"] = dict(self.worker.counters.refused)
        counters["tasks_seen"] = len(self.worker.ledger.starts)
        refused = self._refused_connections
        if self._server is not None:
            refused += self._server.refused_connections
        counters["refused_connections"] = refused
        return counters


def add_counters(parts: list[dict]) -> dict:
    """Return the sums of several workers' counters."""
    totals: collections.Counter[str] = collections.Counter()
    refused: collections.Counter[str] = collections.Counter()
    for part in parts:
        refused.update(part["refused"])
        totals.update({k: v for k, v in part.items() if k != "refused"})
    return dict(totals) | {"refused": dict(refused)}


class Host:
    """All workers of the process, and its own control port.

    Attributes:
        workers: The hosted workers by id.
        ledger: Starts on all of them.
    """

    def __init__(self, clock: clocks.Clock):
        self.workers: dict[str, HostedWorker] = {}
        self.ledger = endpoint_tasks.StartLedger()
        self._clock = clock

    def add(self, settings: endpoint_messages.WorkerSettings) -> None:
        """Host one more worker and open its port."""
        worker = endpoint_worker.Worker(settings, self.ledger, self._clock)
        hosted = HostedWorker(worker, self.control_one)
        hosted.listen()
        self.workers[settings.vm_id] = hosted

    def sample_usage_forever(self, interval_s: float) -> None:
        """Sample the usage of all workers again and again."""
        while True:
            for hosted in self.workers.values():
                hosted.sample_usage()
            gevent.sleep(interval_s)

    def control_one(
        self, hosted: HostedWorker, request: servers.Request
    ) -> servers.Reply:
        """Answer a control request on a worker's own port."""
        return self._control([hosted], request)

    def control(self, request: servers.Request) -> servers.Reply:
        """Answer a control request to the process.

        It concerns all workers, or those that the query names with
        `?worker=<id>,<id>`.
        """
        names = request.get_parameter("worker")
        if not names:
            return self._control(list(self.workers.values()), request)
        chosen = [self.workers.get(name) for name in names.split(",")]
        if None in chosen:
            return endpoint_http.reply_json(404, {"error": "unknown worker"})
        return self._control(chosen, request)

    def _control(
        self, chosen: list[HostedWorker], request: servers.Request
    ) -> servers.Reply:
        match request.method, request.path:
            case "GET", "/control/counters":
                body = add_counters([w.read_counters() for w in chosen])
            case "GET", "/control/tasks":
                body = {"tasks": self._sum("starts", chosen)}
            case "GET", "/control/marks":
                body = {"marks": self._sum("marks", chosen)}
            case "GET", "/control/plans":
                # Of all workers, as an allowance is for them together.
                body = {"max_running": dict(self.ledger.max_running)}
            case "POST", "/control/reset":
                for hosted in chosen:
                    hosted.restart(request.connection)
                body = {}
            case "POST", "/control/faults":
                return self._apply_faults(chosen, request)
            case _:
                return endpoint_http.reply_json(404, {"error": "not found"})
        return endpoint_http.reply_json(200, body)

    def _sum(self, name: str, chosen: list[HostedWorker]) -> dict:
        totals: collections.Counter[str] = collections.Counter()
        for hosted in chosen:
            totals.update(getattr(hosted.worker.ledger, name))
        return dict(totals)

    def _apply_faults(
        self, chosen: list[HostedWorker], request: servers.Request
    ) -> servers.Reply:
        try:
            message = endpoint_messages.FaultsMessage.model_validate_json(
                request.body
            )
        except pydantic.ValidationError as error:
            field = endpoint_http.name_field(error)
            return endpoint_http.reply_json(400, {"field": field})
        for hosted in chosen:
            hosted.apply_faults(message)
        return endpoint_http.reply_json(200, {})
