"""Replies to callers, and callers that close their connection."""

import io
import unittest
from unittest import mock

import gevent
from gevent import socket

from pollenladder.gateway import handlers
from pollenladder.jobs import entities as jobs
from pollenladder.jobs import routing
from pollenladder.service import application
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import job_cancellations
from standins import site as sites
from tests.scheduling import simulations

ATTEMPT = 7
JOB_ID = "0123456789abcdef"
CONFIGURATION = jobs.Configuration(
    version=1,
    queues=(
        jobs.Queue(
            name="lookup",
            host="h.example",
            prefix="/a/",
            service="training",
            priority=1,
            max_attempts=3,
            timeout_s=1.5,
            stretch=1.6,
            slack_s=0.06,
        ),
    ),
    max_body_bytes=10_000,
    source=b"",
)


class WaitTest(unittest.TestCase):
    """A caller waits for an answer or closes its connection."""

    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: "a",
                has_group=lambda group: True,
                count_groups=lambda: 1,
                get_ownerless_s=lambda group: 0.0,
                choose_first_group=lambda job_id, is_first: "g",
                rank_registrars=lambda job_id: ["g"],
                reserve=lambda message: True,
                choose_group=lambda submission, excluded, needs_room: "g",
                list_passed_over=lambda job_id, group: (),
                tell_runs_elsewhere=lambda message: True,
                find_room=lambda submission, asked: "",
                get_shed_share=lambda group: 0.0,
                submit=lambda owner_id, group, submission: True,
                release=lambda group, job_id, attempt: None,
                cancel_attempt=lambda owner_id, job_id, attempt, reason: True,
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
            ),
            lambda: 100.0,
            lambda: ATTEMPT,
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
        answer = self.job.build_answer(
            jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE
        )
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
        answer = self.job.build_answer(
            jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE
        )
        gevent.spawn_later(0.1, self.gateway.handle_answer, answer, "a")
        self._wait_for_answer()
        self.assertIs(self.job.answer.outcome, jobs.Outcome.COMPLETED)

    def test_closed_connection_is_seen_without_waiting(self):
        # Guards against a request that starts its job after a pause, though its
        # caller has left.
        self.assertFalse(application._is_closed(self.near))
        self.far.sendall(b"x")
        self.assertFalse(application._is_closed(self.near))
        self.near.recv(1)
        self.far.close()
        self.assertTrue(application._is_closed(self.near))

    def test_look_at_a_connection_keeps_its_timeout(self):
        # Guards against replies that are limited to no time at all.
        self.near.settimeout(3.0)
        application._is_closed(self.near)
        self.assertEqual(self.near.gettimeout(), 3.0)

    def test_further_bytes_do_not_cancel_the_job(self):
        self.far.sendall(b"x")
        answer = self.job.build_answer(
            jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE
        )
        gevent.spawn_later(0.05, self.gateway.handle_answer, answer, "a")
        self._wait_for_answer()
        self.assertIs(self.job.answer.outcome, jobs.Outcome.COMPLETED)


class RequestTest(unittest.TestCase):
    """Requests that the application serves, with a gateway of its own."""

    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.gateway = mock.Mock(spec_set=["submit", "open_jobs"])
        self.gateway.open_jobs = {}
        self.is_known = False
        self.is_confirmed = True
        self.cancelled: list[str] = []
        self.serve = application.make_application(
            application.Dependencies(
                gateway=self.gateway,
                get_routes=lambda: routing.RoutingTable(CONFIGURATION),
                cancel_job=self._cancel_job,
                count_pending=lambda queue: 0,
                body_timeout_s=10.0,
            )
        )

    def _cancel_job(self, job_id: str) -> bool:
        self.cancelled.append(job_id)
        if not self.is_confirmed:
            raise job_cancellations.UnconfirmedError(job_id)
        return self.is_known

    def _request(
        self, method: str, path: str = "/a/" + JOB_ID
    ) -> tuple[str, bytes]:
        body = sites.build_job(tasks=1)
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": "h.example",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            handlers.SOCKET_VARIABLE: self.near,
        }
        statuses = []
        reply = self.serve(environ, lambda status, _: statuses.append(status))
        return statuses[0][:3], b"".join(reply)

    def test_request_of_a_caller_that_has_left_starts_nothing(self):
        # Before, a daemon that woke read requests whose callers had left and
        # submitted their jobs elsewhere, and started these jobs too.
        self.far.close()
        self.assertEqual(self._request("POST")[0], "504")
        self.gateway.submit.assert_not_called()

    def test_request_of_a_caller_that_waits_is_submitted(self):
        job = mock.Mock()
        job.answered.is_set.return_value = True
        job.answer = jobs.Answer(
            JOB_ID, ATTEMPT, jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE
        )
        self.gateway.submit.return_value = job
        self.assertEqual(self._request("POST")[0], "200")

    def test_request_is_answered_although_its_job_cannot_be_submitted(self):
        # Guards against a connection that is closed without an answer: the
        # server closes it after an exception of the application.
        self.gateway.submit.side_effect = KeyError("norte")
        with self.assertLogs(application.LOGGER, "ERROR"):
            status, _ = self._request("POST")
        # The job may have been sent to an owner before the exception.
        self.assertEqual(status, "504")

    def test_broken_connection_is_left_to_the_server(self):
        # Guards against an error line for each caller that disconnects.
        self.gateway.submit.side_effect = ConnectionResetError
        with self.assertRaises(ConnectionResetError):
            self._request("POST")

    def test_cancellation_of_a_known_job(self):
        self.is_known = True
        status, body = self._request("DELETE")
        self.assertEqual((status, body), ("200", b'{"State":"cancelled"}'))
        self.assertEqual(self.cancelled, [JOB_ID])

    def test_cancellation_of_a_job_whose_queue_was_removed(self):
        # Guards against a running job that nobody can cancel any more (review/9).
        self.is_known = True
        for path in ("/removed/" + JOB_ID, "/removed" + JOB_ID):
            self.assertEqual(self._request("DELETE", path)[0], "200")
        self.assertEqual(self.cancelled, [JOB_ID] * 2)
        self.is_known = False
        self.assertEqual(self._request("DELETE", path)[0], "410")

    def test_other_requests_without_a_queue_are_answered_404(self):
        for method, path in (
            ("POST", "/removed/" + JOB_ID),
            ("GET", "/removed/" + JOB_ID),
            ("GET", "/removed/"),
            ("DELETE", "/removed/"),
            ("DELETE", "/removed/" + JOB_ID + "/"),
        ):
            with self.subTest(method=method, path=path):
                self.assertEqual(self._request(method, path)[0], "404")
        self.assertEqual(self.cancelled, [])

    def test_cancellation_that_is_not_confirmed_is_not_acknowledged(self):
        # Guards against tasks that start after the acknowledgement (review/11).
        self.is_confirmed = False
        self.assertEqual(self._request("DELETE")[0], "504")

    def test_cancellation_of_an_unknown_job(self):
        self.assertEqual(self._request("DELETE")[0], "410")
        self.assertEqual(self.cancelled, [JOB_ID])
