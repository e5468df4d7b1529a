"""Tests of starts: the endpoint client against the stand-in worker.

Each case prepares a worker, starts one task and compares the verdict with the
starts that the worker counted. They guard against a task that is started twice
and against the verdict "not run" for a task that was started. Naive clients
with one of these faults must fail the same cases.
"""

import collections
from collections.abc import Callable
import dataclasses
import unittest

import gevent

from pollenladder.core import verdicts
from pollenladder.endpoints import client
from pollenladder.endpoints import outcomes
from tests import waiting
from tests.contracts import endpoint_fixture

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN
Reason = verdicts.Reason

SHORT_S = 0.15
# Long enough for a start to reach the worker on a busy machine.
STARTED_S = 2.0
LEASE = endpoint_fixture.LEASE
LONG_S = endpoint_fixture.LONG_S
EndpointFixture = endpoint_fixture.EndpointFixture
build_start = endpoint_fixture.build_start


def leave_stale_connection(fixture):
    """Leave an idle connection that the worker then closes."""
    fixture.client.start(build_start("earlier:0"), LONG_S)
    fixture.hosted.restart(kept=None)
    fixture.client.acquire_lease(LEASE, 60.0)


def leave_silent_connection(fixture):
    fixture.client.start(build_start("earlier:0"), LONG_S)
    fixture.set_faults(silent_existing=True)


def fill_connections(fixture):
    """Open all connections that the worker accepts besides the client's own."""
    limits = client.Limits(start_connections=10, connect_timeout_s=LONG_S)
    other = client.EndpointClient(
        "w-1", "127.0.0.1", fixture.hosted.port, limits
    )
    for _ in range(9):
        connection = other.starts.acquire()
        connection.sock.send(b"P")
        fixture.open_connections.append(connection)
    waiting.wait_until(lambda: len(fixture.hosted._server.connections) == 10)


@dataclasses.dataclass(frozen=True)
class Case:
    """A preparation, a start, the expected outcome and number of starts."""

    verdict: verdicts.Verdict
    reason: verdicts.Reason
    starts: int
    prepare: Callable[[EndpointFixture], object] = lambda fixture: None
    start: outcomes.Start = dataclasses.field(default_factory=build_start)
    timeout_s: float = LONG_S


def inject_faults(**faults):
    return lambda fixture: fixture.set_faults(**faults)


def build_start_with_lease(**changes):
    return build_start(lease=dataclasses.replace(LEASE, **changes))


CASES = {
    "ok": Case(RAN, Reason.OK, 1),
    "the task fails": Case(
        RAN, Reason.TASK_ERROR, 1, start=build_start(payload={"fail": True})
    ),
    "the worker fails all": Case(
        RAN, Reason.TASK_ERROR, 1, inject_faults(fail_all=True)
    ),
    "longer than it may run": Case(
        RAN,
        Reason.STOPPED,
        1,
        start=build_start(payload={"run_ms": 9}, max_run_s=0.001),
    ),
    "slow worker, stopped": Case(
        RAN,
        Reason.STOPPED,
        1,
        inject_faults(slow_factor=1000),
        start=build_start(payload={"run_ms": 1}, max_run_s=0.01),
    ),
    "stopped on request": Case(
        RAN,
        Reason.STOPPED,
        1,
        lambda fixture: fixture.call_once_running(
            lambda: fixture.client.stop_tasks(["j:0"], LEASE)
        ),
        start=build_start(payload={"run_ms": 10**8}),
    ),
    "all slots busy": Case(
        NOT_RUN, Reason.BUSY, 0, lambda fixture: fixture.run_long_tasks(2)
    ),
    "stale epoch": Case(
        NOT_RUN, Reason.FENCED, 0, start=build_start_with_lease(epoch=6)
    ),
    "epoch never granted": Case(
        NOT_RUN, Reason.FENCED, 0, start=build_start_with_lease(epoch=8)
    ),
    "another holder": Case(
        NOT_RUN, Reason.FENCED, 0, start=build_start_with_lease(holder="d-2")
    ),
    "another shard": Case(
        NOT_RUN, Reason.FENCED, 0, start=build_start_with_lease(shard="s-1")
    ),
    "lapsed lease": Case(
        NOT_RUN,
        Reason.FENCED,
        0,
        lambda fixture: setattr(fixture, "now_s", fixture.now_s + 60),
    ),
    "restarted worker": Case(
        NOT_RUN,
        Reason.FENCED,
        0,
        lambda fixture: fixture.hosted.worker.restart(),
    ),
    "leaving": Case(NOT_RUN, Reason.LEAVING, 0, inject_faults(leaving=True)),
    "unknown kind": Case(
        NOT_RUN, Reason.NEVER_RUNS, 0, start=build_start(kind="other")
    ),
    "refused by the schema": Case(
        NOT_RUN, Reason.NEVER_RUNS, 0, start=build_start(customer_id="")
    ),
    "payload that is not JSON": Case(
        NOT_RUN,
        Reason.NEVER_RUNS,
        0,
        start=build_start(payload={"x": float("nan")}),
    ),
    "refused connection": Case(
        NOT_RUN, Reason.UNREACHABLE, 0, inject_faults(down=True)
    ),
    "stale idle connection": Case(RAN, Reason.OK, 1, leave_stale_connection),
    "dropped before it starts": Case(
        MAY_HAVE_RUN, Reason.CONNECTION_LOST, 0, inject_faults(drop_requests=1)
    ),
    "reply lost after the effect": Case(
        MAY_HAVE_RUN, Reason.CONNECTION_LOST, 1, inject_faults(drop_replies=1)
    ),
    "killed while it runs": Case(
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
        1,
        lambda fixture: fixture.call_once_running(
            fixture.hosted.worker.restart
        ),
        start=build_start(payload={"run_ms": 10**8}),
    ),
    "beyond the worker's connections": Case(
        MAY_HAVE_RUN, Reason.CONNECTION_LOST, 0, fill_connections
    ),
    "silent": Case(
        MAY_HAVE_RUN,
        Reason.NO_REPLY,
        0,
        inject_faults(silent=True),
        timeout_s=SHORT_S,
    ),
    "silent existing connection": Case(
        MAY_HAVE_RUN,
        Reason.NO_REPLY,
        0,
        leave_silent_connection,
        timeout_s=SHORT_S,
    ),
    "stalled for longer than the timeout": Case(
        MAY_HAVE_RUN,
        Reason.NO_REPLY,
        0,
        inject_faults(stall_s=1000),
        timeout_s=SHORT_S,
    ),
    "runs for longer than the timeout": Case(
        MAY_HAVE_RUN,
        Reason.NO_REPLY,
        1,
        start=build_start(payload={"run_ms": 10**8}),
        timeout_s=STARTED_S,
    ),
}

Send = Callable[[EndpointFixture, Case], outcomes.StartOutcome]


def send_once(fixture: EndpointFixture, case: Case) -> outcomes.StartOutcome:
    return fixture.client.start(case.start, case.timeout_s)


def resend_when_lost(
    fixture: EndpointFixture, case: Case
) -> outcomes.StartOutcome:
    outcome = send_once(fixture, case)
    if outcome.reason is Reason.CONNECTION_LOST:
        return send_once(fixture, case)
    return outcome


def report_lost_as_not_run(
    fixture: EndpointFixture, case: Case
) -> outcomes.StartOutcome:
    outcome = send_once(fixture, case)
    if outcome.verdict is MAY_HAVE_RUN:
        return dataclasses.replace(outcome, verdict=NOT_RUN)
    return outcome


def find_violations(case: Case, send: Send) -> list[str]:
    """Run one case and return descriptions of what is wrong."""
    fixture = EndpointFixture()
    violations = []
    try:
        case.prepare(fixture)
        outcome = send(fixture, case)
        starts = fixture.hosted.worker.ledger.starts[case.start.task_id]
        if (outcome.verdict, outcome.reason) != (case.verdict, case.reason):
            violations.append(f"{outcome}")
        if starts != case.starts:
            violations.append(f"{starts} starts")
        if starts and outcome.verdict is NOT_RUN:
            violations.append("called not run after a start")
        if starts > 1 or fixture.hosted.worker.counters.double_starts:
            violations.append("double start")
        return violations
    finally:
        fixture.close()


class StartTest(unittest.TestCase):
    def test_cases(self):
        for name, case in CASES.items():
            with self.subTest(name):
                self.assertEqual(find_violations(case, send_once), [])

    def test_cases_catch_naive_clients(self):
        lost = CASES["reply lost after the effect"]
        violations = find_violations(lost, resend_when_lost)
        self.assertIn("double start", violations)
        violations = find_violations(lost, report_lost_as_not_run)
        self.assertIn("called not run after a start", violations)

    def test_after_a_silent_connection_new_ones_are_used(self):
        fixture = EndpointFixture()
        self.addCleanup(fixture.close)
        leave_silent_connection(fixture)
        lost = fixture.client.start(build_start("j:1"), SHORT_S)
        self.assertIs(lost.verdict, MAY_HAVE_RUN)
        self.assertIs(
            fixture.client.start(build_start("j:2"), LONG_S).verdict, RAN
        )

    def test_responses_match_their_own_requests(self):
        fixture = EndpointFixture()
        self.addCleanup(fixture.close)
        fixture.hosted.worker.settings.slots = 8
        starts = [
            build_start(f"j:{n}", {"run_ms": 20 - 2 * n, "echo": n})
            for n in range(8)
        ]
        jobs = [gevent.spawn(fixture.client.start, s, LONG_S) for s in starts]
        gevent.joinall(jobs, raise_error=True)
        echoed = [job.value.output["echo"] for job in jobs]
        self.assertEqual(echoed, list(range(8)))

    def test_the_connection_limit_is_kept(self):
        fixture = EndpointFixture()
        self.addCleanup(fixture.close)
        limits = client.Limits(start_connections=1, connect_timeout_s=SHORT_S)
        address = ("127.0.0.1", fixture.hosted.port)
        limited = client.EndpointClient("w-1", *address, limits)
        long = build_start("long:0", {"run_ms": 10**8})
        gevent.spawn(limited.start, long, LONG_S)
        waiting.wait_until(lambda: fixture.hosted.worker.tasks.running)
        outcome = limited.start(build_start(), LONG_S)
        self.assertEqual(
            (outcome.verdict, outcome.reason), (NOT_RUN, Reason.BUSY)
        )
        self.assertEqual(limited.starts.opened, 1)

    def test_refusals_are_counted_by_reason(self):
        fixture = EndpointFixture()
        self.addCleanup(fixture.close)
        fixture.client.start(build_start_with_lease(epoch=6), LONG_S)
        fixture.client.start(build_start_with_lease(epoch=6), LONG_S)
        counters = fixture.hosted.read_counters()
        self.assertEqual(
            counters["refused"], collections.Counter({"fenced": 2})
        )
