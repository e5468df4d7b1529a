"""Tests of the endpoint client against a peer that sends arbitrary bytes.

They guard against a request that is sent twice, and against the verdict "not
run" for a request that may have run. Only an explicit "not run" reply, or a
request that was not written, may lead to this verdict.
"""

import dataclasses
import json
import unittest

from gevent import lock

from pollenladder.core import verdicts
from pollenladder.endpoints import client
from pollenladder.endpoints import outcomes
from tests import waiting
from tests.contracts import scripted

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN
Reason = verdicts.Reason

READ = scripted.READ
CLOSE = scripted.CLOSE
RESET = scripted.RESET
HANG = scripted.HANG

LEASE = outcomes.Lease("s-0", "d-1", 7)
# Ids of the task, job, customer and plan; the kind; the lease, its term and the
# maximum run time in seconds; the payload.
START = outcomes.Start(
    "j:0", "j", "c-1", "p-1", "check", LEASE, 60.0, 1.0, {"run_ms": 1}
)
# Timeouts of requests that must get a response, and of those that get none.
LONG_S = 60.0
SHORT_S = 0.1

RAN_BODY = json.dumps(
    {
        "verdict": "ran",
        "status": "ok",
        "output": {"echo": 1},
        "run_ms": 12.5,
        "running": 3,
        "leaving": False,
    }
).encode()
BUSY_BODY = b'{"verdict":"not_run","reason":"busy","running":8,"leaving":true}'
GOOD_RESPONSE = scripted.build_response(200, RAN_BODY)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%s\r\n0\r\n\r\n" % (len(RAN_BODY), RAN_BODY)
)
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + RAN_BODY
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + RAN_BODY
TWO_LENGTHS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef"
)


def build_script(status, body):
    return (READ, scripted.build_response(status, body))


# Each row: the steps that the peer runs on each connection, and the expected
# verdict and reason.
CASES = {
    "ok": (build_script(200, RAN_BODY), RAN, Reason.OK),
    "ok, byte by byte": (
        (READ, *(GOOD_RESPONSE[i : i + 1] for i in range(len(GOOD_RESPONSE)))),
        RAN,
        Reason.OK,
    ),
    "ok, chunked": ((READ, CHUNKED), RAN, Reason.OK),
    "ok after an interim response": (
        (READ, b"HTTP/1.1 100 Continue\r\n\r\n", GOOD_RESPONSE),
        RAN,
        Reason.OK,
    ),
    "ok, then closed": ((READ, GOOD_RESPONSE, CLOSE), RAN, Reason.OK),
    "busy": (build_script(409, BUSY_BODY), NOT_RUN, Reason.BUSY),
    "not run for an unknown reason": (
        build_script(409, b'{"verdict":"not_run","reason":"odd"}'),
        NOT_RUN,
        Reason.BAD_REPLY,
    ),
    "closed after the request": (
        (READ, CLOSE),
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
    ),
    "reset after the request": (
        (READ, RESET),
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
    ),
    "reset within the answer": (
        (READ, GOOD_RESPONSE[:30], RESET),
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
    ),
    "truncated head": (
        (READ, GOOD_RESPONSE[:20], CLOSE),
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
    ),
    "truncated body": (
        (READ, TRUNCATED, CLOSE),
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
    ),
    "body that ends with the connection": (
        (READ, WITHOUT_LENGTH, CLOSE),
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
    ),
    "silent": ((READ, HANG), MAY_HAVE_RUN, Reason.NO_REPLY),
    "silent within the answer": (
        (READ, GOOD_RESPONSE[:60], HANG),
        MAY_HAVE_RUN,
        Reason.NO_REPLY,
    ),
    "bytes that are not HTTP": (
        (READ, b"\x00\xffgarbage\r\n\r\n"),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "two lengths": ((READ, TWO_LENGTHS), MAY_HAVE_RUN, Reason.BAD_REPLY),
    "answered twice": (
        (READ, GOOD_RESPONSE + GOOD_RESPONSE),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "answered, then garbage": (
        (READ, GOOD_RESPONSE + b"x"),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "200 that is not JSON": (
        build_script(200, b"<html>"),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "200 without a body": (
        build_script(200, b""),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "200 that says not run": (
        build_script(200, BUSY_BODY),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "200 with an endless run time": (
        build_script(200, RAN_BODY.replace(b"12.5", b"1e999")),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "409 that says ran": (
        build_script(409, RAN_BODY),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "409 that is not JSON": (
        build_script(409, b"busy"),
        MAY_HAVE_RUN,
        Reason.BAD_REPLY,
    ),
    "500": (build_script(500, BUSY_BODY), MAY_HAVE_RUN, Reason.BAD_REPLY),
    "404": (build_script(404, BUSY_BODY), MAY_HAVE_RUN, Reason.BAD_REPLY),
    "503": (build_script(503, b""), MAY_HAVE_RUN, Reason.BAD_REPLY),
}

CONTROL_CALLS = {
    "acquire_lease": lambda c: c.acquire_lease(LEASE, 5.0),
    "release_lease": lambda c: c.release_lease(LEASE),
    "look_up_tasks": lambda c: c.look_up_tasks(["j:0"], LEASE),
    "stop_tasks": lambda c: c.stop_tasks(["j:0"], LEASE),
    "read_usage": lambda c: c.read_usage(),
}
# Responses that must fail every control call, with the expected verdict and
# reason.
UNUSABLE_RESPONSES = {
    "lost": ((READ, CLOSE), MAY_HAVE_RUN, Reason.CONNECTION_LOST),
    "reset": ((READ, RESET), MAY_HAVE_RUN, Reason.CONNECTION_LOST),
    "silent": ((READ, HANG), MAY_HAVE_RUN, Reason.NO_REPLY),
    "truncated": (
        (READ, TRUNCATED, CLOSE),
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
    ),
    "garbage": ((READ, b"x\r\n\r\n"), MAY_HAVE_RUN, Reason.BAD_REPLY),
    "empty object": (build_script(200, b"{}"), MAY_HAVE_RUN, Reason.BAD_REPLY),
    "500": (build_script(500, b"{}"), MAY_HAVE_RUN, Reason.BAD_REPLY),
    "refused as wrong": (
        build_script(400, b'{"verdict":"not_run","reason":"bad_request"}'),
        NOT_RUN,
        Reason.NEVER_RUNS,
    ),
}


def build_client(port, timeout_s=LONG_S):
    limits = client.Limits(control_timeout_s=timeout_s)
    return client.EndpointClient("w-1", "127.0.0.1", port, limits)


def choose_timeout_s(reason):
    return SHORT_S if reason is Reason.NO_REPLY else LONG_S


def send_once(endpoint, timeout_s):
    return endpoint.start(START, timeout_s)


def resend_when_lost(endpoint, timeout_s):
    """Send like a faulty client that resends a request that may have run."""
    outcome = send_once(endpoint, timeout_s)
    if outcome.verdict is MAY_HAVE_RUN:
        return send_once(endpoint, timeout_s)
    return outcome


def trust_the_status(endpoint, timeout_s):
    """Send like a faulty client that reads any HTTP error as "not run"."""
    outcome = send_once(endpoint, timeout_s)
    if "status 4" in outcome.detail or "status 5" in outcome.detail:
        return dataclasses.replace(outcome, verdict=NOT_RUN)
    return outcome


def find_failed_cases(send):
    """Return the names of the cases with another outcome or request count."""
    failed = []
    for name, (script, verdict, reason) in CASES.items():
        peer = scripted.Peer(*script)
        outcome = send(build_client(peer.port), choose_timeout_s(reason))
        peer.stop()
        seen = (outcome.verdict, outcome.reason, peer.requests)
        if seen != (verdict, reason, 1):
            failed.append(name)
    return failed


class BytesTest(unittest.TestCase):
    def test_cases(self):
        self.assertEqual(find_failed_cases(send_once), [])

    def test_cases_catch_a_client_that_resends(self):
        failed = find_failed_cases(resend_when_lost)
        self.assertIn("reset after the request", failed)
        self.assertIn("truncated body", failed)

    def test_cases_catch_a_client_that_trusts_the_status(self):
        failed = find_failed_cases(trust_the_status)
        self.assertEqual(
            failed,
            ["409 that says ran", "409 that is not JSON", "500"]
            + ["404", "503"],
        )

    def test_control_calls(self):
        for call_name, call in CONTROL_CALLS.items():
            for name, (script, verdict, reason) in UNUSABLE_RESPONSES.items():
                with self.subTest(call_name, response=name):
                    peer = scripted.Peer(*script)
                    self.addCleanup(peer.stop)
                    timeout_s = choose_timeout_s(reason)
                    outcome = call(build_client(peer.port, timeout_s))
                    self.assertIsInstance(outcome, outcomes.Failure)
                    seen = (outcome.verdict, outcome.reason, peer.requests)
                    self.assertEqual(seen, (verdict, reason, 1))

    def test_a_refused_connection_is_not_run(self):
        peer = scripted.Peer()
        peer.stop()
        outcome = send_once(build_client(peer.port), LONG_S)
        self.assertEqual(
            (outcome.verdict, outcome.reason), (NOT_RUN, Reason.UNREACHABLE)
        )

    def test_a_stray_response_on_an_idle_connection_is_not_used(self):
        stray_response = GOOD_RESPONSE.replace(b'"echo": 1', b'"echo": 2')
        signal = lock.Semaphore(0)
        peer = scripted.Peer(READ, GOOD_RESPONSE, signal, stray_response, HANG)
        self.addCleanup(peer.stop)
        endpoint = build_client(peer.port)
        send_once(endpoint, LONG_S)
        idle = endpoint.starts._idle[0]
        signal.release()
        waiting.wait_until(lambda: not idle.has_no_input())
        outcome = send_once(endpoint, LONG_S)
        self.assertEqual(outcome.output, {"echo": 1})
        self.assertEqual(endpoint.starts.stale, 1)

    def test_a_refusal_contains_running_and_leaving(self):
        peer = scripted.Peer(*build_script(409, BUSY_BODY))
        self.addCleanup(peer.stop)
        outcome = send_once(build_client(peer.port), LONG_S)
        self.assertEqual((outcome.running, outcome.leaving), (8, True))
