"""Control requests for the workers of one simulated endpoint process."""

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
    """A worker together with its HTTP server.

    Attributes:
        worker: The worker.
        port: The listening port, which is the same after each restart.
    """

    def __init__(self, worker: endpoint_worker.Worker, control):
        """Build the application of the worker without opening its port.

        Args:
            worker: The worker.
            control: Called with this object and each control request that
                arrives on the port of the worker; returns the reply.
        """
        self.worker = worker
        self.port = worker.settings.port
        self._application = endpoint_http.build_application(
            worker, functools.partial(control, self)
        )
        self._server: servers.Server | None = None
        self._refused_connections = 0

    def listen(self) -> None:
        """Open the port and accept connections."""
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
        """Restart the worker and close all connections except `kept`."""
        self.worker.restart()
        if self._server is not None:
            self._server.drop_connections(kept)

    def apply_faults(self, message: endpoint_messages.FaultsMessage) -> None:
        """Set the faults in the message and leave the others unchanged."""
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
            self._set_down(down)

    def _set_down(self, down: bool) -> None:
        self.worker.faults.down = down
        if down:
            self.worker.restart()
            self.close()
        else:
            self.listen()

    def sample_usage(self) -> None:
        """Sample the usage that `GET /v1/usage` reports."""
        used = len(self._server.connections) if self._server else 0
        self.worker.sample_usage(used)

    def read_counters(self) -> dict:
        """Return the counters as a JSON object."""
        counters = dataclasses.asdict(self.worker.counters)
        counters["refused"] = dict(self.worker.counters.refused)
        counters["tasks_seen"] = len(self.worker.ledger.starts)
        refused = self._refused_connections
        if self._server is not None:
            refused += self._server.refused_connections
        counters["refused_connections"] = refused
        return counters


def sum_counters(parts: list[dict]) -> dict:
    """Sum the counters of several workers."""
    totals: collections.Counter[str] = collections.Counter()
    refused: collections.Counter[str] = collections.Counter()
    for part in parts:
        refused.update(part["refused"])
        totals.update({k: v for k, v in part.items() if k != "refused"})
    return dict(totals) | {"refused": dict(refused)}


class Host:
    """All workers of the process and the handler of its control port.

    Attributes:
        workers: The hosted workers by VM id.
        ledger: The task starts on all workers.
    """

    def __init__(self, clock: clocks.Clock):
        self.workers: dict[str, HostedWorker] = {}
        self.ledger = endpoint_tasks.StartLedger()
        self._clock = clock

    def add(self, settings: endpoint_messages.WorkerSettings) -> None:
        """Add a worker and open its port."""
        worker = endpoint_worker.Worker(settings, self.ledger, self._clock)
        hosted = HostedWorker(worker, self.control_one)
        hosted.listen()
        self.workers[settings.vm_id] = hosted

    def sample_usage_forever(self, interval_s: float) -> None:
        """Sample the usage of all workers periodically.

        Args:
            interval_s: Seconds between two samples.
        """
        while True:
            for hosted in self.workers.values():
                hosted.sample_usage()
            gevent.sleep(interval_s)

    def control_one(
        self, hosted: HostedWorker, request: servers.Request
    ) -> servers.Reply:
        """Answer a control request that arrived on the port of a worker."""
        return self._control([hosted], request)

    def control(self, request: servers.Request) -> servers.Reply:
        """Answer a control request that arrived on the control port.

        The request applies to the workers in the query parameter
        `?worker=<id>,<id>`, or to all workers if there is none.
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
                body = sum_counters([w.read_counters() for w in chosen])
            case "GET", "/control/tasks":
                body = {"tasks": self._sum_ledgers("starts", chosen)}
            case "GET", "/control/marks":
                body = {"marks": self._sum_ledgers("marks", chosen)}
            case "GET", "/control/plans":
                # Counted over all workers because a plan limits their total.
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

    def _sum_ledgers(self, name: str, chosen: list[HostedWorker]) -> dict:
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
            field = endpoint_http.get_invalid_field(error)
            return endpoint_http.reply_json(400, {"field": field})
        for hosted in chosen:
            hosted.apply_faults(message)
        return endpoint_http.reply_json(200, {})
