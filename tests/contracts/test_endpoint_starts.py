"""The contract of a start: our client against the stand-in.

Each case sets up a worker and starts one task; afterwards the verdict must fit
what the worker counted. The same table is run with naive clients, which it must
catch.
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
from tests.contracts import endpoint_world

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN
Reason = verdicts.Reason

SHORT_S = 0.15
# Long enough for a start to reach the worker on a busy machine.
STARTED_S = 2.0
LEASE = endpoint_world.LEASE
LONG_S = endpoint_world.LONG_S
World = endpoint_world.World
build_start = endpoint_world.build_start


def leave_stale_connection(world):
    """Leave a connection idle that the worker then closes."""
    world.client.start(build_start("earlier:0"), LONG_S)
    world.hosted.restart(kept=None)
    world.client.acquire_lease(LEASE, 60.0)


def leave_silent_connection(world):
    world.client.start(build_start("earlier:0"), LONG_S)
    world.set_faults(silent_existing=True)


def fill_connections(world):
    """Take all connections of the worker but the client's own idle one."""
    others = client.Limits(start_connections=10, connect_timeout_s=LONG_S)
    other = client.EndpointClient("w-1", "127.0.0.1", world.hosted.port, others)
    for _ in range(9):
        connection = other.starts.acquire()
        connection.sock.send(b"P")
        world.held.append(connection)
    waiting.wait_until(lambda: len(world.hosted._server.connections) == 10)


@dataclasses.dataclass(frozen=True)
class Case:
    """A set-up, a start, and what must come of it."""

    verdict: verdicts.Verdict
    reason: verdicts.Reason
    starts: int
    prepare: Callable[[World], object] = lambda world: None
    start: outcomes.Start = dataclasses.field(default_factory=build_start)
    timeout_s: float = LONG_S


def with_faults(**faults):
    return lambda world: world.set_faults(**faults)


def with_lease(**changes):
    return build_start(lease=dataclasses.replace(LEASE, **changes))


CASES = {
    "ok": Case(RAN, Reason.OK, 1),
    "the task fails": Case(
        RAN, Reason.TASK_ERROR, 1, start=build_start(payload={"fail": True})
    ),
    "the worker fails all": Case(
        RAN, Reason.TASK_ERROR, 1, with_faults(fail_all=True)
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
        with_faults(slow_factor=1000),
        start=build_start(payload={"run_ms": 1}, max_run_s=0.01),
    ),
    "stopped on request": Case(
        RAN,
        Reason.STOPPED,
        1,
        lambda w: w.soon(lambda: w.client.stop_tasks(["j:0"], LEASE)),
        start=build_start(payload={"run_ms": 10**8}),
    ),
    "all slots busy": Case(NOT_RUN, Reason.BUSY, 0, lambda w: w.occupy(2)),
    "stale epoch": Case(NOT_RUN, Reason.FENCED, 0, start=with_lease(epoch=6)),
    "epoch never granted": Case(
        NOT_RUN, Reason.FENCED, 0, start=with_lease(epoch=8)
    ),
    "another holder": Case(
        NOT_RUN, Reason.FENCED, 0, start=with_lease(holder="d-2")
    ),
    "another shard": Case(
        NOT_RUN, Reason.FENCED, 0, start=with_lease(shard="s-1")
    ),
    "lapsed lease": Case(
        NOT_RUN,
        Reason.FENCED,
        0,
        lambda w: setattr(w, "now_s", w.now_s + 60),
    ),
    "restarted worker": Case(
        NOT_RUN, Reason.FENCED, 0, lambda w: w.hosted.worker.restart()
    ),
    "leaving": Case(NOT_RUN, Reason.LEAVING, 0, with_faults(leaving=True)),
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
        NOT_RUN, Reason.UNREACHABLE, 0, with_faults(down=True)
    ),
    "stale idle connection": Case(RAN, Reason.OK, 1, leave_stale_connection),
    "dropped before it starts": Case(
        MAY_HAVE_RUN, Reason.CONNECTION_LOST, 0, with_faults(drop_requests=1)
    ),
    "reply lost after the effect": Case(
        MAY_HAVE_RUN, Reason.CONNECTION_LOST, 1, with_faults(drop_replies=1)
    ),
    "killed while it runs": Case(
        MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
        1,
        lambda w: w.soon(w.hosted.worker.restart),
        start=build_start(payload={"run_ms": 10**8}),
    ),
    "beyond the worker's connections": Case(
        MAY_HAVE_RUN, Reason.CONNECTION_LOST, 0, fill_connections
    ),
    "silent": Case(
        MAY_HAVE_RUN,
        Reason.NO_REPLY,
        0,
        with_faults(silent=True),
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
        with_faults(stall_s=1000),
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

Send = Callable[[World, Case], outcomes.StartOutcome]


def send_once(world: World, case: Case) -> outcomes.StartOutcome:
    return world.client.start(case.start, case.timeout_s)


def send_again_when_lost(world: World, case: Case) -> outcomes.StartOutcome:
    outcome = send_once(world, case)
    if outcome.reason is Reason.CONNECTION_LOST:
        return send_once(world, case)
    return outcome


def call_lost_not_run(world: World, case: Case) -> outcomes.StartOutcome:
    outcome = send_once(world, case)
    if outcome.verdict is MAY_HAVE_RUN:
        return dataclasses.replace(outcome, verdict=NOT_RUN)
    return outcome


def find_offences(case: Case, send: Send) -> list[str]:
    """Run one case; return what is wrong with its outcome."""
    world = World()
    offences = []
    try:
        case.prepare(world)
        outcome = send(world, case)
        starts = world.hosted.worker.ledger.starts[case.start.task_id]
        if (outcome.verdict, outcome.reason) != (case.verdict, case.reason):
            offences.append(f"{outcome}")
        if starts != case.starts:
            offences.append(f"{starts} starts")
        if starts and outcome.verdict is NOT_RUN:
            offences.append("called not run after a start")
        if starts > 1 or world.hosted.worker.counters.double_starts:
            offences.append("double start")
        return offences
    finally:
        world.close()


class StartTest(unittest.TestCase):
    def test_cases(self):
        for name, case in CASES.items():
            with self.subTest(name):
                self.assertEqual(find_offences(case, send_once), [])

    def test_cases_catch_naive_clients(self):
        lost = CASES["reply lost after the effect"]
        offences = find_offences(lost, send_again_when_lost)
        self.assertIn("double start", offences)
        offences = find_offences(lost, call_lost_not_run)
        self.assertIn("called not run after a start", offences)

    def test_after_a_silent_connection_new_ones_are_used(self):
        world = World()
        self.addCleanup(world.close)
        leave_silent_connection(world)
        lost = world.client.start(build_start("j:1"), SHORT_S)
        self.assertIs(lost.verdict, MAY_HAVE_RUN)
        self.assertIs(
            world.client.start(build_start("j:2"), LONG_S).verdict, RAN
        )

    def test_answers_go_to_their_own_requests(self):
        world = World()
        self.addCleanup(world.close)
        world.hosted.worker.settings.slots = 8
        starts = [
            build_start(f"j:{n}", {"run_ms": 20 - 2 * n, "echo": n})
            for n in range(8)
        ]
        jobs = [gevent.spawn(world.client.start, s, LONG_S) for s in starts]
        gevent.joinall(jobs, raise_error=True)
        echoed = [job.value.output["echo"] for job in jobs]
        self.assertEqual(echoed, list(range(8)))

    def test_no_more_connections_than_the_budget(self):
        world = World()
        self.addCleanup(world.close)
        limits = client.Limits(start_connections=1, connect_timeout_s=SHORT_S)
        place = ("127.0.0.1", world.hosted.port)
        narrow = client.EndpointClient("w-1", *place, limits)
        long = build_start("long:0", {"run_ms": 10**8})
        gevent.spawn(narrow.start, long, LONG_S)
        waiting.wait_until(lambda: world.hosted.worker.tasks.running)
        outcome = narrow.start(build_start(), LONG_S)
        self.assertEqual(
            (outcome.verdict, outcome.reason), (NOT_RUN, Reason.BUSY)
        )
        self.assertEqual(narrow.starts.opened, 1)

    def test_refusals_are_counted_by_reason(self):
        world = World()
        self.addCleanup(world.close)
        world.client.start(with_lease(epoch=6), LONG_S)
        world.client.start(with_lease(epoch=6), LONG_S)
        counters = world.hosted.read_counters()
        self.assertEqual(
            counters["refused"], collections.Counter({"fenced": 2})
        )
