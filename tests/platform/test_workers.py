"""The client of workers against their stand-in, faults included."""

import json
import time
import unittest

import gevent

from pollenladder.fleet import entities as fleet
from pollenladder.platform import workers
from standins import site_worker
from tests.platform import served

SLACK_S = 0.15
SPEC = json.dumps({"run_ms": 40, "cpu": 27_000})


class WorkerTest(unittest.TestCase):
    """Orders are carried out once, or it is known that they may have been."""

    def setUp(self):
        self.worker = site_worker.SiteWorker("w1")
        self.address = served.serve(self, self.worker.serve)
        self.client = self._connect("w1")

    def _connect(self, worker_id: str) -> workers.WorkerClient:
        return workers.WorkerClient(worker_id, self.address, time.monotonic)

    def _look(self, cursor: int = 0, wait_s: float = 0.0) -> fleet.PollReply:
        return self.client.poll(5, cursor, wait_s, None, SLACK_S)

    def _start(self, number: int = 1, epoch: int = 5) -> fleet.StartReply:
        until_s = self._look().clock_s + 1.0 if epoch >= 5 else 2000.0
        return self.client.start("j.0.0.0", number, SPEC, until_s, epoch)

    def test_a_run_is_seen_and_its_end_is_told_until_acknowledged(self):
        self.assertIs(self._start(), fleet.StartReply.STARTED)
        (running,) = self._look().running
        self.assertEqual((running.task, running.number), ("j.0.0.0", 1))
        look = self._look(wait_s=1.0)
        (ended,) = look.ended
        self.assertIs(ended.end, fleet.RunEnd.DONE)
        self.assertEqual(len(self._look().ended), 1)
        self.assertEqual(self._look(cursor=ended.sequence).ended, ())

    def test_the_same_start_twice_is_one_run(self):
        self._start()
        self.assertIs(self._start(), fleet.StartReply.STARTED)
        self.assertEqual(len(self.worker.history), 1)

    def test_a_lower_epoch_is_fenced(self):
        self._start()
        reply = self.client.start("k.0.0.0", 1, SPEC, 2000.0, 4)
        self.assertIs(reply, fleet.StartReply.FENCED)
        with self.assertRaises(workers.FencedError):
            self.client.poll(4, 0, 0.0, None, SLACK_S)
        self.assertIs(self.client.stop("j.0.0.0", 1, 4), fleet.StopReply.FENCED)

    def test_a_stopped_run_never_begins(self):
        self._look()
        self.assertIs(
            self.client.stop("j.0.0.0", 3, 5), fleet.StopReply.STOPPED
        )
        self.assertIs(self._start(number=3), fleet.StartReply.OLD_RUN)
        self.assertIs(self._start(number=4), fleet.StartReply.STARTED)

    def test_replies(self):
        clock_s = self._look().clock_s
        small = json.dumps({"run_ms": 40, "cpu": 27_000})
        large = json.dumps({"run_ms": 40, "cpu": 70_000})
        late = self.client.start("a.0.0.0", 1, small, clock_s - 1, 5)
        self.assertIs(late, fleet.StartReply.LATE)
        room = self.client.start("b.0.0.0", 1, large, clock_s + 1, 5)
        self.assertIs(room, fleet.StartReply.NO_ROOM)
        self.worker.faults.is_unhealthy = True
        ill = self.client.start("c.0.0.0", 1, small, clock_s + 1, 5)
        self.assertIs(ill, fleet.StartReply.UNHEALTHY)

    def test_another_worker_at_the_address_is_noticed(self):
        other = self._connect("w2")
        reply = other.start("a.0.0.0", 1, SPEC, 2000.0, 5)
        self.assertIs(reply, fleet.StartReply.OTHER_INCARNATION)
        with self.assertRaises(workers.OtherIncarnationError):
            other.poll(5, 0, 0.0, None, SLACK_S)

    def test_a_start_without_reply_may_have_begun(self):
        self._look()
        self.worker.faults.lost_starts = 1
        self.assertIs(self._start(), fleet.StartReply.NO_REPLY)
        self.assertEqual(len(self.worker.history), 1)

    def test_a_reply_that_is_read_late_is_not_lost(self):
        self._look()
        self.worker.faults.late_replies_s = 1.5 * workers.ORDER_TIMEOUT_S
        self.assertIs(self._start(), fleet.StartReply.NO_REPLY)
        busy = workers.WorkerClient(
            "w1",
            self.address,
            time.monotonic,
            get_lag_s=lambda: workers.ORDER_TIMEOUT_S,
        )
        until_s = self._look().clock_s + 1.0
        reply = busy.start("k.0.0.0", 1, SPEC, until_s, 5)
        self.assertIs(reply, fleet.StartReply.STARTED)

    def test_a_stop_bars_a_start_that_comes_late(self):
        self._look()
        self.worker.faults.late_starts = 1
        self.worker.faults.late_s = 0.3
        self.assertIs(self._start(), fleet.StartReply.NO_REPLY)
        self.client.stop("j.0.0.0", 1, 5)
        gevent.sleep(0.4)
        self.assertEqual(self.worker.history, [])

    def test_a_closed_port_has_done_nothing(self):
        nobody = workers.WorkerClient("w1", ("127.0.0.1", 1), time.monotonic)
        reply = nobody.start("a.0.0.0", 1, SPEC, 2000.0, 5)
        self.assertIs(reply, fleet.StartReply.NOT_SENT)

    def test_a_silent_worker_is_given_up(self):
        self.worker.faults.is_silent = True
        with self.assertRaises(workers.PollError):
            self._look()

    def test_a_restart_shows_in_the_incarnation(self):
        before = self._look().started_ms
        gevent.sleep(0.01)
        self.worker.restart()
        self.assertNotEqual(self._look().started_ms, before)

    def test_unreadable_looks(self):
        bodies = (
            b"",
            b"[]",
            b'{"ClockMs":"x"}',
            b'{"ClockMs":1,"Running":[["t"]]}',
            b'{"ClockMs":1,"Ended":[[1,"t",1,"strange",""]]}',
        )
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(workers.PollError):
                workers._read_look(
                    workers.responses.Response(200, {}, body, True)
                )
