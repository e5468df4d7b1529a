"""Tests of the worker client against the stand-in, with injected faults."""

from collections.abc import Callable
import json
import socket
import time
import unittest

import gevent
from gevent import socket as gevent_socket

from pollenladder.fleet import entities as fleet
from pollenladder.http import responses
from pollenladder.platform import reply_times
from pollenladder.platform import workers
from standins import site_worker
from tests.contracts import scripted
from tests.platform import served

RESPONSE_MARGIN_S = 0.15
SPEC = json.dumps({"run_ms": 40, "cpu": 27_000})


class WorkerTest(unittest.TestCase):
    """A request runs once, or its reply says that it may have run."""

    def setUp(self):
        self.worker = site_worker.SiteWorker("w1")
        self.address = served.serve(self, self.worker.serve)
        self.client = self._connect("w1")

    def _connect(self, worker_id: str) -> workers.WorkerClient:
        return workers.WorkerClient(worker_id, self.address, time.monotonic)

    def _poll(self, cursor: int = 0, wait_s: float = 0.0) -> fleet.PollReply:
        return self.client.poll(5, cursor, wait_s, None, RESPONSE_MARGIN_S)

    def _start(self, number: int = 1, epoch: int = 5) -> fleet.StartReply:
        until_s = self._poll().clock_s + 1.0 if epoch >= 5 else 2000.0
        return self.client.start("j.0.0.0", number, SPEC, until_s, epoch)

    def test_run_is_reported_and_its_end_repeated_until_acknowledged(self):
        self.assertIs(self._start(), fleet.StartReply.STARTED)
        (running,) = self._poll().running
        self.assertEqual((running.task, running.number), ("j.0.0.0", 1))
        found = self._poll(wait_s=1.0)
        (ended,) = found.ended
        self.assertIs(ended.end, fleet.RunEnd.DONE)
        self.assertEqual(len(self._poll().ended), 1)
        self.assertEqual(self._poll(cursor=ended.sequence).ended, ())

    def test_repeated_start_makes_one_run(self):
        self._start()
        self.assertIs(self._start(), fleet.StartReply.STARTED)
        self.assertEqual(len(self.worker.history), 1)

    def test_lower_epoch_is_fenced(self):
        self._start()
        reply = self.client.start("k.0.0.0", 1, SPEC, 2000.0, 4)
        self.assertIs(reply, fleet.StartReply.FENCED)
        with self.assertRaises(workers.FencedError):
            self.client.poll(4, 0, 0.0, None, RESPONSE_MARGIN_S)
        self.assertIs(self.client.stop("j.0.0.0", 1, 4), fleet.StopReply.FENCED)

    def test_values_that_cannot_be_sent_on_make_a_reply_invalid(self):
        # Guards against a reply that fails only in a later decision or request.
        good = {"ClockMs": 5, "born": 1}
        cases = (
            {"ClockMs": 1e300},
            {"ClockMs": -1},
            {"born": 10**30},
            {"Running": [["j.0.0.0", 10**30, "", 0]]},
            {"Running": [["j.0.0.0", -1, "", 0]]},
            {"Running": [["j.0.0.0", 1, "", "fast"]]},
            {"Running": [["j.0.0." + 5000 * "9", 1, "", 0]]},
            {"Running": [[None, 1, "", 0]]},
            {"Ended": [[10**30, "j.0.0.0", 1, "done", ""]]},
            {"Ended": [[1, "j.0.0.0", 10**30, "done", ""]]},
            {"Ended": [[1, "j.0.0.0", 1, ["done"], ""]]},
            {"Ended": [[1]]},
        )
        for changes in cases:
            body = json.dumps(good | changes).encode()
            response = responses.Response(200, {}, body, True)
            with (
                self.subTest(changes=str(changes)[:60]),
                self.assertRaises(workers.PollError),
            ):
                workers._read_poll_response(response)

    def test_progress_is_bounded(self):
        for percent, expected in ((-5, 0.0), (1e300, 100.0), (40, 40.0)):
            running = [["j.0.0.0", 1, "", percent]]
            body = json.dumps({"ClockMs": 5, "Running": running}).encode()
            response = responses.Response(200, {}, body, True)
            (found,) = workers._read_poll_response(response).running
            self.assertEqual(found.percent, expected)

    def test_stopped_run_cannot_start(self):
        self._poll()
        self.assertIs(
            self.client.stop("j.0.0.0", 3, 5), fleet.StopReply.STOPPED
        )
        self.assertIs(self._start(number=3), fleet.StartReply.OLD_RUN)
        self.assertIs(self._start(number=4), fleet.StartReply.STARTED)

    def test_rejected_starts(self):
        clock_s = self._poll().clock_s
        small = json.dumps({"run_ms": 40, "cpu": 27_000})
        large = json.dumps({"run_ms": 40, "cpu": 70_000})
        late = self.client.start("a.0.0.0", 1, small, clock_s - 1, 5)
        self.assertIs(late, fleet.StartReply.LATE)
        too_large = self.client.start("b.0.0.0", 1, large, clock_s + 1, 5)
        self.assertIs(too_large, fleet.StartReply.NO_ROOM)
        self.worker.faults.is_unhealthy = True
        unhealthy = self.client.start("c.0.0.0", 1, small, clock_s + 1, 5)
        self.assertIs(unhealthy, fleet.StartReply.UNHEALTHY)

    def test_address_of_another_worker_is_detected(self):
        other = self._connect("w2")
        reply = other.start("a.0.0.0", 1, SPEC, 2000.0, 5)
        self.assertIs(reply, fleet.StartReply.OTHER_INCARNATION)
        with self.assertRaises(workers.OtherIncarnationError):
            other.poll(5, 0, 0.0, None, RESPONSE_MARGIN_S)

    def test_connection_is_accepted_only_where_a_process_listens(self):
        """Guards against a crash and a partition that can't be told apart."""
        self.assertTrue(workers.accepts_connection(self.address))
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            refused = workers.accepts_connection(unused.getsockname())
        self.assertFalse(refused)

    def _find_poll_error(self, *script: scripted.Step) -> workers.PollError:
        """Return the error of a poll of a peer that plays a script."""
        peer = scripted.Peer(*script)
        self.addCleanup(peer.stop)
        self.address = ("127.0.0.1", peer.port)
        self.client = self._connect("w1")
        with self.assertRaises(workers.PollError) as caught:
            self._poll()
        return caught.exception

    def test_connection_that_is_closed_in_order_is_told(self):
        """Guards against crashes that are never found."""
        error = self._find_poll_error(scripted.READ, scripted.CLOSE)
        self.assertIsInstance(error, workers.ClosedError)
        self.assertIs(error.cause, fleet.MissedPoll.CLOSED)

    def test_reset_connection_tells_nothing(self):
        """Guards against a partition that counts as the end of a process."""
        error = self._find_poll_error(scripted.READ, scripted.RESET)
        self.assertIs(type(error), workers.PollError)
        self.assertIs(error.cause, fleet.MissedPoll.NO_REPLY)

    def test_refused_connection_is_told(self):
        """Guards against a refusal that counts as a closed connection."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            self.address = unused.getsockname()
            with self.assertRaises(workers.RefusedError) as caught:
                self._connect("w1").poll(5, 0, 0.0, None, RESPONSE_MARGIN_S)
        self.assertIs(caught.exception.cause, fleet.MissedPoll.REFUSED)

    def test_start_without_reply_may_have_begun(self):
        self._poll()
        self.worker.faults.lost_starts = 1
        self.assertIs(self._start(), fleet.StartReply.NO_REPLY)
        self.assertEqual(len(self.worker.history), 1)

    def test_timeout_is_extended_by_the_event_loop_lag(self):
        self._poll()
        self.worker.faults.late_replies_s = 1.5 * reply_times.MAX_TIMEOUT_S
        self.assertIs(self._start(), fleet.StartReply.NO_REPLY)
        lagging = workers.WorkerClient(
            "w1",
            self.address,
            time.monotonic,
            get_lag_s=lambda: reply_times.MAX_TIMEOUT_S,
        )
        until_s = self._poll().clock_s + 1.0
        reply = lagging.start("k.0.0.0", 1, SPEC, until_s, 5)
        self.assertIs(reply, fleet.StartReply.STARTED)

    def test_stop_prevents_a_start_that_arrives_later(self):
        self._poll()
        self.worker.faults.late_starts = 1
        self.worker.faults.late_s = 0.3
        self.assertIs(self._start(), fleet.StartReply.NO_REPLY)
        self.client.stop("j.0.0.0", 1, 5)
        gevent.sleep(0.4)
        self.assertEqual(self.worker.history, [])

    def test_start_at_a_closed_port_was_not_sent(self):
        closed = workers.WorkerClient("w1", ("127.0.0.1", 1), time.monotonic)
        reply = closed.start("a.0.0.0", 1, SPEC, 2000.0, 5)
        self.assertIs(reply, fleet.StartReply.NOT_SENT)

    def test_poll_of_a_silent_worker_times_out(self):
        self.worker.faults.is_silent = True
        with self.assertRaises(workers.PollError):
            self._poll()

    def test_restart_changes_the_incarnation(self):
        before = self._poll().started_ms
        gevent.sleep(0.01)
        self.worker.restart()
        self.assertNotEqual(self._poll().started_ms, before)

    def test_invalid_poll_responses(self):
        bodies = (
            b"",
            b"[]",
            b'{"ClockMs":"x"}',
            b'{"ClockMs":1,"Running":[["t"]]}',
            b'{"ClockMs":1,"Ended":[[1,"t",1,"strange",""]]}',
        )
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(workers.PollError):
                workers._read_poll_response(
                    workers.responses.Response(200, {}, body, True)
                )


class EndedProcessTest(unittest.TestCase):
    """What polls tell once the process of a worker has ended."""

    def setUp(self):
        self.listener = gevent_socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()

    def _serve(self, end: Callable[[gevent_socket.socket], None]) -> None:
        """Answer one poll, then end as given."""
        connection, _ = self.listener.accept()
        connection.recv(65536)
        body = {"ClockMs": 1, "born": 5, "Running": [], "Ended": []}
        encoded = json.dumps(body).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(encoded)
        connection.sendall(head + encoded)
        end(connection)
        self.listener.close()
        connection.close()

    def _list_causes(
        self, end: Callable[[gevent_socket.socket], None], pause_s: float = 0.0
    ) -> list[fleet.MissedPoll]:
        """Return the causes of two missed polls after one that is answered."""
        gevent.spawn(self._serve, end)
        address = self.listener.getsockname()
        client = workers.WorkerClient("w1", address, time.monotonic)
        client.poll(5, 0, 0.0, None, RESPONSE_MARGIN_S)
        gevent.sleep(pause_s)
        causes = []
        for _ in range(2):
            with self.assertRaises(workers.PollError) as caught:
                client.poll(5, 0, 0.0, None, 1.0)
            causes.append(caught.exception.cause)
        return causes

    def test_connection_that_is_closed_during_a_poll_tells_of_the_end(self):
        """Guards against crashes that count as silence."""
        causes = self._list_causes(lambda connection: connection.recv(65536))
        closed = [fleet.MissedPoll.CLOSED, fleet.MissedPoll.REFUSED]
        self.assertEqual(causes, closed)

    def test_connection_that_is_reset_tells_nothing(self):
        """Guards against a partition that resets, taken for the end of a process.

        A socket that is closed before all of its input is read sends a reset.
        """
        causes = self._list_causes(lambda connection: gevent.sleep(0.05))
        self.assertIs(causes[0], fleet.MissedPoll.NO_REPLY)

    def test_connection_that_is_closed_while_idle_tells_of_the_end(self):
        """Guards against a crash between two polls that counts as silence."""
        causes = self._list_causes(lambda connection: None, pause_s=0.05)
        self.assertIn(fleet.MissedPoll.CLOSED, causes)
