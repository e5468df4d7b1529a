"""The client of one worker: start, stop, look."""

from collections.abc import Callable

import msgspec

from pollenladder.fleet import entities as fleet
from pollenladder.http import connections
from pollenladder.http import exceptions as http_exceptions
from pollenladder.http import exchanges
from pollenladder.http import responses
from pollenladder.platform import exceptions
from pollenladder.platform import messages

MAX_CONNECTIONS = 12
CONNECT_TIMEOUT_S = 0.15
IDLE_LIMIT_S = 20.0
ORDER_TIMEOUT_S = 0.12
# An exchange takes some turns of the event loop, each of which may run late.
TURNS_PER_EXCHANGE = 3

_LOOK = msgspec.json.Decoder(messages.Hold)
_STARTED = msgspec.json.Decoder(messages.Started)

_ENDS = {
    "done": fleet.RunEnd.DONE,
    "failed": fleet.RunEnd.FAILED,
    "stopped": fleet.RunEnd.STOPPED,
    "lapsed": fleet.RunEnd.LAPSED,
    "broken": fleet.RunEnd.BROKEN,
    # Another member of a gang never came; there are no gangs here.
    "alone": fleet.RunEnd.BROKEN,
}
_REJECTIONS = {
    "fence": fleet.StartReply.FENCED,
    "old": fleet.StartReply.OLD_RUN,
    "late": fleet.StartReply.LATE,
    "room": fleet.StartReply.NO_ROOM,
}


class PollError(exceptions.PlatformError):
    """A look that got no usable reply."""


class FencedError(PollError):
    """The worker has seen a higher epoch than ours."""


class OtherIncarnationError(PollError):
    """The address belongs to another worker by now."""


class WorkerClient:
    """Orders to one worker."""

    def __init__(
        self,
        worker_id: str,
        address: tuple[str, int],
        clock: Callable[[], float],
        get_lag_s: Callable[[], float] = lambda: 0.0,
    ):
        """Prepare the client; nothing is opened yet.

        Args:
            worker_id: The worker.
            address: IP number and port.
            clock: Monotonic time in seconds.
            get_lag_s: Returns how late the event loop runs, in seconds: a
                reply that is read late has not come late.
        """
        self._get_lag_s = get_lag_s
        self._pool = connections.Connections(
            address, MAX_CONNECTIONS, CONNECT_TIMEOUT_S, IDLE_LIMIT_S, clock
        )
        self._fields = f"Pollenladder-Expect-Instance: {worker_id}\r\n".encode()
        self._start = exchanges.build_head(address, "POST", "/run-start")
        self._stop = exchanges.build_head(address, "POST", "/run-stop")
        self._look = exchanges.build_head(address, "POST", "/hold")

    @property
    def connections_opened(self) -> int:
        """Connections opened so far."""
        return self._pool.opened

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close_idle()

    def start(
        self,
        task: str,
        number: int,
        spec: str,
        lease_until_s: float,
        epoch: int,
    ) -> fleet.StartReply:
        """Order a run.

        Args:
            task: The task's name.
            number: The run's number.
            spec: What to run.
            lease_until_s: By the worker's clock.
            epoch: The owner's.
        """
        body = {
            "Task": task,
            "Run": number,
            "Spec": spec,
            "UntilMs": int(lease_until_s * 1000),
            "Fence": epoch,
        }
        try:
            response = self._send(self._start, body, ORDER_TIMEOUT_S)
        except http_exceptions.NotSentError:
            return fleet.StartReply.NOT_SENT
        except http_exceptions.NoResponseError:
            return fleet.StartReply.NO_REPLY
        return _read_start_reply(response)

    def stop(self, task: str, number: int, epoch: int) -> fleet.StopReply:
        """Order a run to stop, or never to begin."""
        body = {"Task": task, "Run": number, "Fence": epoch}
        try:
            response = self._send(self._stop, body, ORDER_TIMEOUT_S)
        except http_exceptions.ExchangeError:
            return fleet.StopReply.NO_REPLY
        if response.status == 200:
            return fleet.StopReply.STOPPED
        if response.status == 421:
            return fleet.StopReply.OTHER_INCARNATION
        if response.status == 409:
            return fleet.StopReply.FENCED
        return fleet.StopReply.NO_REPLY

    def poll(
        self,
        epoch: int,
        cursor: int,
        wait_s: float,
        lease_until_s: float | None,
        slack_s: float,
    ) -> fleet.PollReply:
        """Return what runs and what has ended, after an end or a wait.

        Args:
            epoch: The owner's.
            cursor: Ends up to here have been taken note of.
            wait_s: The longest wait for an end.
            lease_until_s: Renews the leases of all runs; None leaves them.
            slack_s: How much later than after its wait it may be answered.

        Raises:
            FencedError: Another owner has the worker.
            OtherIncarnationError: It is another worker by now.
            PollError: There is no usable reply.
        """
        body: dict[str, int] = {"Fence": epoch, "AckCursor": cursor}
        if wait_s:
            body["WaitMs"] = int(wait_s * 1000)
        if lease_until_s is not None:
            body["UntilMs"] = int(lease_until_s * 1000)
        try:
            response = self._send(self._look, body, wait_s + slack_s)
        except http_exceptions.ExchangeError as error:
            raise PollError(str(error)) from error
        return _read_look(response)

    def _send(
        self, head: bytes, body: dict, timeout_s: float
    ) -> responses.Response:
        encoded = msgspec.json.encode(body)
        request = exchanges.build_request(head, encoded, self._fields)
        timeout_s += TURNS_PER_EXCHANGE * self._get_lag_s()
        return exchanges.exchange(self._pool, request, timeout_s)


def _read_start_reply(response: responses.Response) -> fleet.StartReply:
    if response.status == 200:
        return fleet.StartReply.STARTED
    if response.status == 421:
        return fleet.StartReply.OTHER_INCARNATION
    if response.status in (429, 503):
        return fleet.StartReply.UNHEALTHY
    if response.status == 409:
        try:
            reason = _STARTED.decode(response.body).reason
        except msgspec.MsgspecError:
            reason = ""
        return _REJECTIONS.get(reason, fleet.StartReply.REJECTED)
    return fleet.StartReply.REJECTED


def _read_look(response: responses.Response) -> fleet.PollReply:
    if response.status == 409:
        raise FencedError("fenced")
    if response.status == 421:
        raise OtherIncarnationError("another incarnation")
    if response.status != 200:
        raise PollError(f"status {response.status}")
    try:
        hold = _LOOK.decode(response.body)
        return fleet.PollReply(
            clock_s=hold.clock_ms / 1000,
            started_ms=hold.born,
            running=tuple(_read_running(row) for row in hold.running),
            ended=tuple(_read_ended(row) for row in hold.ended),
        )
    except (msgspec.MsgspecError, ValueError, TypeError, KeyError) as error:
        raise PollError(f"unreadable: {error}") from error


def _read_running(row: tuple) -> fleet.ObservedRun:
    task, number, _, percent, *_ = row
    return fleet.ObservedRun(task, number, float(percent))


def _read_ended(row: tuple) -> fleet.ObservedEnd:
    sequence, task, number, how, *_ = row
    return fleet.ObservedEnd(sequence, task, number, _ENDS[how])
