"""The client of one worker: start a run, stop a run, poll for results."""

from collections.abc import Callable

from gevent import socket
import msgspec

from pollenladder.fleet import entities as fleet
from pollenladder.http import connections
from pollenladder.http import exceptions as http_exceptions
from pollenladder.http import exchanges
from pollenladder.http import responses
from pollenladder.platform import exceptions
from pollenladder.platform import messages
from pollenladder.platform import names
from pollenladder.platform import reply_times

MAX_CONNECTIONS = 12
CONNECT_TIMEOUT_S = 0.15
IDLE_LIMIT_S = 20.0
# An exchange spans several iterations of the event loop, and each iteration
# may be delayed by the loop's lag.
LOOP_ITERATIONS_PER_EXCHANGE = 3
MAX_PERCENT = 100.0

INVALID_REPLY_ERRORS = (
    *messages.DECODE_ERRORS,
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
)

_POLL_DECODER = msgspec.json.Decoder(messages.Hold)
_START_DECODER = msgspec.json.Decoder(messages.Started)

_RUN_ENDS = {
    "done": fleet.RunEnd.DONE,
    "failed": fleet.RunEnd.FAILED,
    "stopped": fleet.RunEnd.STOPPED,
    "lapsed": fleet.RunEnd.LAPSED,
    "broken": fleet.RunEnd.BROKEN,
    # Another task of a gang did not start. Gangs are not supported.
    "alone": fleet.RunEnd.BROKEN,
}
_START_REJECTIONS = {
    "fence": fleet.StartReply.FENCED,
    "old": fleet.StartReply.OLD_RUN,
    "late": fleet.StartReply.LATE,
    "room": fleet.StartReply.NO_ROOM,
}


class PollError(exceptions.PlatformError):
    """A poll got no usable response.

    Attributes:
        cause: What the error tells about the worker's process.
    """

    cause = fleet.MissedPoll.NO_REPLY


class FencedError(PollError):
    """The worker has seen a higher epoch than the one in the request."""


class ClosedError(PollError):
    """The worker's host closed the connection in order, without a response."""

    cause = fleet.MissedPoll.CLOSED


class RefusedError(PollError):
    """No process listens at the worker's address, or a partition refuses."""

    cause = fleet.MissedPoll.REFUSED


class ClosedAndRefusedError(RefusedError):
    """An idle connection was closed in order, and a new one is refused."""

    cause = fleet.MissedPoll.CLOSED


class OtherIncarnationError(PollError):
    """The address now belongs to another worker."""

    cause = fleet.MissedPoll.REPLACED


def accepts_connection(address: tuple[str, int]) -> bool:
    """Return whether a worker accepts a new connection."""
    try:
        sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
    except OSError:
        return False
    sock.close()
    return True


class WorkerClient:
    """Sends requests to one worker over a pool of connections."""

    def __init__(
        self,
        worker_id: str,
        address: tuple[str, int],
        clock: Callable[[], float],
        get_lag_s: Callable[[], float] = lambda: 0.0,
    ):
        """Prepare the client without opening a connection.

        Args:
            worker_id: The worker.
            address: IP address and port.
            clock: Monotonic time in seconds.
            get_lag_s: Returns the event loop's lag in seconds. It extends the
                timeouts, since a late read does not mean a late response.
        """
        self._get_lag_s = get_lag_s
        self._clock = clock
        self._reply_times = reply_times.ReplyTimes()
        self._pool = connections.ConnectionPool(
            address, MAX_CONNECTIONS, CONNECT_TIMEOUT_S, IDLE_LIMIT_S, clock
        )
        self._headers = (
            f"Pollenladder-Expect-Instance: {worker_id}\r\n".encode()
        )
        self._start_head = exchanges.build_head(address, "POST", "/run-start")
        self._stop_head = exchanges.build_head(address, "POST", "/run-stop")
        self._poll_head = exchanges.build_head(address, "POST", "/hold")

    @property
    def connections_opened(self) -> int:
        """Number of connections opened so far."""
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
        """Start a run.

        Args:
            task: The task's name.
            number: The run's number.
            spec: The description of the work.
            lease_until_s: End of the run's lease by the worker's clock, in
                seconds.
            epoch: The owner's epoch.
        """
        body = {
            "Task": task,
            "Run": number,
            "Spec": spec,
            "UntilMs": int(lease_until_s * 1000),
            "Fence": epoch,
        }
        try:
            response = self._send_order(self._start_head, body)
        except http_exceptions.NotSentError:
            return fleet.StartReply.NOT_SENT
        except http_exceptions.NoResponseError:
            return fleet.StartReply.NO_REPLY
        return _read_start_response(response)

    def stop(self, task: str, number: int, epoch: int) -> fleet.StopReply:
        """Stop a run; if it has not begun, prevent its start."""
        body = {"Task": task, "Run": number, "Fence": epoch}
        try:
            response = self._send_order(self._stop_head, body)
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
        response_margin_s: float,
    ) -> fleet.PollReply:
        """Return the worker's current and ended runs.

        The worker responds as soon as a run ends, or after the wait.

        Args:
            epoch: The owner's epoch.
            cursor: Sequence number of the last end that was processed; the
                worker discards the ends up to it.
            wait_s: The longest wait for the end of a run, in seconds.
            lease_until_s: New end of the leases of all runs by the worker's
                clock, in seconds; None does not renew them.
            response_margin_s: Time allowed for the response beyond the wait,
                in seconds.

        Raises:
            FencedError: Another owner has taken over the worker.
            ClosedError: The connection was closed in order.
            RefusedError: The connection was refused.
            OtherIncarnationError: The address now belongs to another worker.
            PollError: There is no usable response.
        """
        body: dict[str, int] = {"Fence": epoch, "AckCursor": cursor}
        if wait_s:
            body["WaitMs"] = int(wait_s * 1000)
        if lease_until_s is not None:
            body["UntilMs"] = int(lease_until_s * 1000)
        try:
            response = self._send(
                self._poll_head, body, wait_s + response_margin_s
            )
        except http_exceptions.RefusedError as error:
            raise _build_refused_error(error) from error
        except http_exceptions.NoResponseError as error:
            raise _build_poll_error(error) from error
        except http_exceptions.ExchangeError as error:
            raise PollError(str(error)) from error
        return _read_poll_response(response)

    def _send_order(self, head: bytes, body: dict) -> responses.Response:
        sent_at = self._clock()
        timeout_s = self._reply_times.choose_timeout_s()
        try:
            response = self._send(head, body, timeout_s)
        except http_exceptions.NoResponseError:
            self._reply_times.record_timeout()
            raise
        self._reply_times.record(self._clock() - sent_at)
        return response

    def _send(
        self, head: bytes, body: dict, timeout_s: float
    ) -> responses.Response:
        encoded = msgspec.json.encode(body)
        request = exchanges.build_request(head, encoded, self._headers)
        timeout_s += LOOP_ITERATIONS_PER_EXCHANGE * self._get_lag_s()
        return exchanges.exchange(self._pool, request, timeout_s)


def _build_refused_error(error: http_exceptions.RefusedError) -> RefusedError:
    if error.was_closed:
        return ClosedAndRefusedError(f"closed while idle: {error}")
    return RefusedError(str(error))


def _build_poll_error(error: http_exceptions.NoResponseError) -> PollError:
    if error.cause is http_exceptions.Cause.CLOSED:
        return ClosedError(str(error))
    return PollError(str(error))


def _read_start_response(response: responses.Response) -> fleet.StartReply:
    if response.status == 200:
        return fleet.StartReply.STARTED
    if response.status == 421:
        return fleet.StartReply.OTHER_INCARNATION
    if response.status in (429, 503):
        return fleet.StartReply.UNHEALTHY
    if response.status == 409:
        try:
            reason = _START_DECODER.decode(response.body).reason
        except messages.DECODE_ERRORS:
            reason = ""
        return _START_REJECTIONS.get(reason, fleet.StartReply.REJECTED)
    return fleet.StartReply.REJECTED


def _read_poll_response(response: responses.Response) -> fleet.PollReply:
    if response.status == 409:
        raise FencedError("fenced")
    if response.status == 421:
        raise OtherIncarnationError("the address belongs to another worker")
    if response.status != 200:
        raise PollError(f"unexpected status {response.status}")
    try:
        message = _POLL_DECODER.decode(response.body)
        return fleet.PollReply(
            clock_s=message.clock_ms / 1000,
            started_ms=message.born,
            running=tuple(_read_running(row) for row in message.running),
            ended=tuple(_read_ended(row) for row in message.ended),
        )
    except INVALID_REPLY_ERRORS as error:
        raise PollError(f"invalid response: {error}") from error


def _read_running(row: tuple) -> fleet.ObservedRun:
    task, number, _, percent, *_ = row
    return fleet.ObservedRun(
        names.check_text(task),
        names.check_natural(number),
        max(0.0, min(MAX_PERCENT, float(percent))),
    )


def _read_ended(row: tuple) -> fleet.ObservedEnd:
    sequence, task, number, outcome, *_ = row
    return fleet.ObservedEnd(
        names.check_natural(sequence),
        names.check_text(task),
        names.check_natural(number),
        _RUN_ENDS[outcome],
    )
