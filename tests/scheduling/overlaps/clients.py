"""The simulated connections of the owners to the workers."""

from collections.abc import Callable
import json

from pollenladder.fleet import entities as fleet
from pollenladder.platform import reply_times
from pollenladder.platform import workers
from tests.scheduling.overlaps import networks
from tests.scheduling.overlaps import schedules
from tests.scheduling.overlaps import workers as simulated_workers

# Share of the calls that are lost in a cut; the others arrive after it.
LOST_SHARE = 0.5
# Longest delay of a call that is held up.
MAX_HELD_UP_S = 3.0


class Exchanges:
    """The calls to the workers, and what becomes of them.

    Attributes:
        workers: The workers by id.
        held_up_share: Share of the orders that are carried out late.
    """

    def __init__(
        self,
        network: networks.Network,
        all_workers: dict[str, simulated_workers.Worker],
    ):
        self.workers = all_workers
        self.held_up_share = 0.0
        self._network = network
        self._schedule = network.schedule
        self._open: list[tuple[str, str, Callable]] = []

    def accepts(self, address: tuple[str, int]) -> bool:
        """Return whether a worker accepts connections of the current daemon."""
        own_id = self._schedule.current.name
        worker_id = address[0]
        if not self._network.is_open(own_id, worker_id):
            self._schedule.sleep(workers.CONNECT_TIMEOUT_S)
            return False
        return self.workers[worker_id].is_up

    def reset(self, daemon_id: str, worker_id: str) -> None:
        """Reset the connections between a daemon and a worker."""
        for one, other, finish in list(self._open):
            if (one, other) == (daemon_id, worker_id):
                finish(workers.PollError("reset"))

    def kill(self, worker_id: str) -> None:
        """End the process of a worker; its host closes the connections."""
        self.workers[worker_id].kill()
        for one, other, finish in list(self._open):
            if other == worker_id and self._network.reaches(other, one):
                finish(workers.ClosedError("closed"))

    def call(
        self,
        client: "WorkerClient",
        timeout_s: float,
        handle: Callable[[simulated_workers.Worker, Callable], None],
        is_order: bool,
    ) -> object:
        """Make a call and return its result, which may be an error.

        Args:
            client: The client that makes the call.
            timeout_s: How long to wait for the response.
            handle: Makes the worker carry out the call; it is given a function
                to be called with the result.
            is_order: Whether the call may be held up.

        Returns:
            The result, or None if the call was not sent.
        """
        own_id = self._schedule.current.name
        worker = self.workers[client.worker_id]
        if not client.is_connected:
            if not self._network.is_open(own_id, client.worker_id):
                self._schedule.sleep(min(timeout_s, workers.CONNECT_TIMEOUT_S))
                return None
            rtt_s = 2 * self._network.draw_latency_s(own_id, client.worker_id)
            self._schedule.sleep(rtt_s)
        if not worker.is_up:
            was_connected, client.is_connected = client.is_connected, False
            if was_connected:
                return workers.ClosedAndRefusedError("closed and refused")
            return workers.RefusedError("refused")
        client.is_connected = True
        return self._exchange(client, worker, timeout_s, handle, is_order)

    def _exchange(
        self,
        client: "WorkerClient",
        worker: simulated_workers.Worker,
        timeout_s: float,
        handle: Callable[[simulated_workers.Worker, Callable], None],
        is_order: bool,
    ) -> object:
        process = self._schedule.current
        over = schedules.Event(self._schedule)
        results: list[object] = []

        def finish(result: object) -> None:
            """Deliver the result to the process, unless it has one."""
            self._schedule.call_later(0.0, process, accept, result)

        def accept(result: object) -> None:
            results.append(result)
            over.set()

        def reply(result: object) -> None:
            self._network.deliver(
                worker.worker_id, process.name, process, accept, result
            )

        def arrive(started_ms: int) -> None:
            if worker.is_up and worker.started_ms == started_ms:
                handle(worker, reply)

        self._send(process.name, worker, arrive, is_order)
        entry = (process.name, worker.worker_id, finish)
        self._open.append(entry)
        try:
            if over.wait(timeout_s):
                result = results[0]
            else:
                result = workers.PollError("timeout")
        finally:
            self._open.remove(entry)
        if isinstance(result, workers.PollError) and not isinstance(
            result, workers.FencedError
        ):
            client.is_connected = False
        return result

    def _send(
        self,
        own_id: str,
        worker: simulated_workers.Worker,
        arrive: Callable[[int], None],
        is_order: bool,
    ) -> None:
        draw = self._schedule.random
        worker_id, started_ms = worker.worker_id, worker.started_ms
        is_cut = not self._network.reaches(own_id, worker_id)
        if is_cut and draw.random() < LOST_SHARE:
            return
        if is_order and draw.random() < self.held_up_share:
            held_up_s = draw.uniform(0.0, MAX_HELD_UP_S)
            self._schedule.call_later(held_up_s, None, arrive, started_ms)
            return
        self._network.deliver(own_id, worker_id, None, arrive, started_ms)


class WorkerClient:
    """Calls one worker; see `workers.WorkerClient`.

    Attributes:
        worker_id: The worker's id.
        is_connected: Whether there is a connection that is believed to work.
    """

    def __init__(
        self,
        exchanges: Exchanges,
        worker_id: str,
        address: tuple[str, int],
        clock: Callable[[], float],
        get_lag_s: Callable[[], float] = lambda: 0.0,
    ):
        self.worker_id = worker_id
        self.is_connected = False
        self._exchanges = exchanges
        self._clock = clock
        self._get_lag_s = get_lag_s
        self._reply_times = reply_times.ReplyTimes()

    def close(self) -> None:
        """Close the idle connections."""
        self.is_connected = False

    def start(
        self,
        task: str,
        number: int,
        spec: str,
        lease_until_s: float,
        epoch: int,
    ) -> fleet.StartReply:
        """Start a run."""
        work = json.loads(spec)

        def handle(worker, reply):
            result = worker.handle_start(
                task,
                number,
                work["cpu_milli"],
                work["run_s"],
                lease_until_s,
                epoch,
            )
            reply(result)

        result = self._order(handle)
        if result is None or isinstance(result, workers.RefusedError):
            return fleet.StartReply.NOT_SENT
        if isinstance(result, Exception):
            return fleet.StartReply.NO_REPLY
        return result

    def stop(self, task: str, number: int, epoch: int) -> fleet.StopReply:
        """Stop a run."""

        def handle(worker, reply):
            reply(worker.handle_stop(task, number, epoch))

        result = self._order(handle)
        if result is None or isinstance(result, Exception):
            return fleet.StopReply.NO_REPLY
        return result

    def poll(
        self,
        epoch: int,
        cursor: int,
        wait_s: float,
        lease_until_s: float | None,
        response_margin_s: float,
    ) -> fleet.PollReply:
        """Return the worker's runs."""

        def handle(worker, reply):
            worker.handle_poll(epoch, cursor, wait_s, lease_until_s, reply)

        result = self._call(handle, wait_s + response_margin_s, is_order=False)
        if result is None:
            raise workers.PollError("not sent")
        if isinstance(result, Exception):
            raise result
        return result

    def _order(self, handle: Callable) -> object:
        sent_at = self._clock()
        timeout_s = self._reply_times.choose_timeout_s()
        result = self._call(handle, timeout_s, is_order=True)
        if isinstance(result, Exception):
            self._reply_times.record_timeout()
        elif result is not None:
            self._reply_times.record(self._clock() - sent_at)
        return result

    def _call(self, handle: Callable, timeout_s: float, is_order: bool):
        timeout_s += workers.LOOP_ITERATIONS_PER_EXCHANGE * self._get_lag_s()
        return self._exchanges.call(self, timeout_s, handle, is_order)
