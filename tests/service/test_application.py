"""Replies to callers, and callers that close their connection."""

import unittest
from unittest import mock

import gevent
from gevent import socket

from pollenladder.jobs import entities as jobs
from pollenladder.service import application
from pollenladder.service import gateway as gateways
from tests.scheduling import simulations


class WaitTest(unittest.TestCase):
    """A caller waits for an answer or closes its connection."""

    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.gateway = gateways.Gateway(
            gateways.Callbacks(
                find_owner=lambda group: "a",
                has_group=lambda group: True,
                count_groups=lambda: 1,
                get_ownerless_s=lambda: 0.0,
                choose_group=lambda submission, excluded, needs_room: "g",
                find_room=lambda submission, asked: "",
                get_shed_share=lambda group: 0.0,
                submit=lambda owner_id, group, submission: True,
                release=lambda group, job_id: None,
                cancel=lambda owner_id, job_id, reason: None,
                on_refused_with_room=lambda: None,
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

    def _wait_for_answer(self) -> None:
        with mock.patch.object(application.gevent, "spawn", self._spawn):
            application._wait_for_answer(self.gateway, self.job, self.near)

    def test_watcher_has_ended_once_there_is_an_answer(self):
        answer = jobs.Answer("a1", jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        gevent.spawn_later(0.05, self.gateway.handle_answer, answer, "a")
        self._wait_for_answer()
        # The next request may be read or the connection closed right away.
        (watcher,) = self.watchers
        self.assertTrue(watcher.dead)

    def test_closed_connection_cancels_the_job(self):
        gevent.spawn_later(0.05, self.far.close)
        self._wait_for_answer()
        self.assertIs(self.job.answer.reason, jobs.Reason.CALLER_LEFT)

    def test_connection_closed_by_the_server_ends_the_watcher(self):
        gevent.spawn_later(0.05, self.near.close)
        with gevent.Timeout(2.0):
            self._wait_for_answer()
        self.assertIs(self.job.answer.reason, jobs.Reason.CALLER_LEFT)

    def test_wait_is_not_limited_by_the_send_timeout(self):
        self.near.settimeout(0.02)
        answer = jobs.Answer("a1", jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        gevent.spawn_later(0.1, self.gateway.handle_answer, answer, "a")
        self._wait_for_answer()
        self.assertIs(self.job.answer.outcome, jobs.Outcome.COMPLETED)

    def test_further_bytes_do_not_cancel_the_job(self):
        self.far.sendall(b"x")
        answer = jobs.Answer("a1", jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        gevent.spawn_later(0.05, self.gateway.handle_answer, answer, "a")
        self._wait_for_answer()
        self.assertIs(self.job.answer.outcome, jobs.Outcome.COMPLETED)
