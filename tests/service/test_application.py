"""What callers get from the application, and what their leaving does."""

import unittest
from unittest import mock

import gevent
from gevent import socket

from pollenladder.jobs import entities as jobs
from pollenladder.service import application
from pollenladder.service import gateway as gateways
from tests.scheduling import simulations


class WaitTest(unittest.TestCase):
    """A caller waits for an answer, or leaves."""

    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.gateway = gateways.Gateway(
            gateways.Outlets(
                find_owner=lambda: "a",
                get_shed_share=lambda: 0.0,
                submit=lambda owner_id, submission: True,
                cancel=lambda owner_id, job_id, reason: None,
                on_answered=lambda queue, answer, took_s: None,
            ),
            lambda: 100.0,
        )
        self.job = self.gateway.submit(simulations.build_submission("a1"))
        self.watchers: list[gevent.Greenlet] = []

    def _spawn(self, *arguments: object) -> gevent.Greenlet:
        watcher = gevent.Greenlet.spawn(*arguments)
        self.watchers.append(watcher)
        return watcher

    def _wait(self) -> None:
        with mock.patch.object(application.gevent, "spawn", self._spawn):
            application._wait(self.gateway, self.job, self.near)

    def test_nothing_watches_the_connection_once_there_is_an_answer(self):
        answer = jobs.Answer("a1", jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        gevent.spawn_later(0.05, self.gateway.take_answer, answer, "a")
        self._wait()
        # The next request may be read, or the connection closed, at once.
        (watcher,) = self.watchers
        self.assertTrue(watcher.dead)

    def test_a_caller_that_closes_its_connection_has_left(self):
        gevent.spawn_later(0.05, self.far.close)
        self._wait()
        self.assertIs(self.job.answer.reason, jobs.Reason.CALLER_LEFT)

    def test_a_connection_that_is_closed_here_ends_the_watch(self):
        gevent.spawn_later(0.05, self.near.close)
        with gevent.Timeout(2.0):
            self._wait()
        self.assertIs(self.job.answer.reason, jobs.Reason.CALLER_LEFT)

    def test_a_caller_may_wait_longer_than_a_send_may_take(self):
        self.near.settimeout(0.02)
        answer = jobs.Answer("a1", jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        gevent.spawn_later(0.1, self.gateway.take_answer, answer, "a")
        self._wait()
        self.assertIs(self.job.answer.outcome, jobs.Outcome.COMPLETED)

    def test_a_caller_that_sends_more_has_not_left(self):
        self.far.sendall(b"x")
        answer = jobs.Answer("a1", jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        gevent.spawn_later(0.05, self.gateway.take_answer, answer, "a")
        self._wait()
        self.assertIs(self.job.answer.outcome, jobs.Outcome.COMPLETED)
