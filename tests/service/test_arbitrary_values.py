"""Values of callers, operators, workers and other writers, in real decisions.

Each test draws a document, decodes it as the daemon does, and takes what was decoded
through the decisions and the messages that use it. A document may be rejected where it
is decoded. What is accepted must not fail later.
"""

import contextlib
import json
import math
import socket
import unittest

import hypothesis
from hypothesis import strategies as st
import msgpack
import msgspec

from pollenladder.cluster import groups
from pollenladder.cluster import messages
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations
from pollenladder.http import responses
from pollenladder.jobs import entities as jobs
from pollenladder.platform import callers
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import workers
from pollenladder.scheduling import effects
from pollenladder.scheduling import learned_state
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import sharing
from pollenladder.service import application
from pollenladder.service import gateway as gateways
from pollenladder.wire import handshake
from tests.cluster import samples
from tests.scheduling import simulations

# Largest integer that workers accept.
MAX_INT64 = 2**63 - 1
# Time within which a job may still hold resources after its deadline.
SETTLE_S = 0.1
CODEC = messages.build_codec()

NUMBERS = st.one_of(
    st.sampled_from([0, 1, -1, 1e-320, 1e-9, 0.5, 1e9, 1e300, 10**30, 2**53]),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
)
TEXTS = st.one_of(
    st.sampled_from(
        ["", "\ufffd", "a\r\nb: c", "\x00", "x" * 5000, "127.0.0.1"]
    ),
    st.text(max_size=20),
)


def draw_mostly(usual: st.SearchStrategy) -> st.SearchStrategy:
    """Draw usual values, and any number in one of eight cases.

    One odd value may be enough to reject a whole document.
    """
    return st.integers(0, 7).flatmap(lambda n: usual if n else NUMBERS)


ANY = st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS, st.lists(NUMBERS))
RUN_TIMES_MS = st.one_of(
    st.sampled_from([0, 1e-320, 1e-9, 1, 1e308]),
    st.floats(0, 5000),
    st.floats(0, 1e308),
)
SETTINGS = hypothesis.settings(max_examples=300, deadline=None)


def change_fields(document: dict, fields: dict) -> st.SearchStrategy[bytes]:
    """Draw JSON documents in which some fields have other values, or none.

    Args:
        document: The usual document.
        fields: The values of the fields that may differ, by name.
    """
    changes = st.fixed_dictionaries({}, optional=fields)
    left_out = st.sets(st.sampled_from(sorted(document)), max_size=1)

    def build(drawn: tuple[dict, set]) -> bytes:
        changed, missing = drawn
        kept = {k: v for k, v in document.items() if k not in missing}
        return json.dumps(kept | changed).encode()

    return st.tuples(changes, left_out).map(build)


STEPS = st.fixed_dictionaries(
    {"Count": draw_mostly(st.integers(1, 12))},
    optional={
        "Cpu": draw_mostly(st.integers(0, 70_000)),
        "MemMb": draw_mostly(st.integers(0, 200_000)),
        "Gpu": draw_mostly(st.integers(0, 2)),
        "EstimateMs": draw_mostly(RUN_TIMES_MS),
    },
)
JOBS = st.fixed_dictionaries(
    {
        "Spec": st.text(max_size=20),
        "Steps": st.tuples(STEPS),
        "Preemptible": st.just(True),
    }
).map(lambda job: json.dumps(job).encode())
ROUTE = {
    "Name": "lookup",
    "Host": "h.example",
    "Prefix": "/a/",
    "TimeoutMs": 1500,
    "SloMs": 60,
    "Priority": 1,
    "Service": simulations.SERVICE,
    "Attempts": 3,
    "Stretch": 1.6,
}
CONFIGURATIONS = change_fields(
    ROUTE,
    {
        "Stretch": st.floats(allow_nan=False, allow_infinity=False),
        "SloMs": st.floats(allow_nan=False, allow_infinity=False),
        "TimeoutMs": NUMBERS,
        "Priority": draw_mostly(st.integers(-9, 9)),
        "Attempts": draw_mostly(st.integers(-9, 9)),
        "Name": st.text(max_size=20),
    },
).map(lambda route: b'{"Version":7,"Routes":[' + route + b"]}")
WORKER_ROWS = change_fields(
    {
        "Service": simulations.SERVICE,
        "Addr": "10.0.0.1:80",
        "Zone": "norte",
        "State": "ready",
        "ColdLeftMs": 0,
        "Capacity": {"Cpu": 64_000, "MemMb": 131_072, "Gpu": 0},
        "Seq": 1,
    },
    {
        "Service": st.one_of(st.just(simulations.SERVICE), TEXTS),
        "Addr": st.one_of(
            TEXTS, TEXTS.map(lambda t: t + ":80"), st.just("10.0.0.1:99999")
        ),
        "Zone": TEXTS,
        "State": st.one_of(st.just("draining"), TEXTS),
        "ColdLeftMs": NUMBERS,
        "Capacity": st.fixed_dictionaries(
            {"Cpu": NUMBERS, "MemMb": NUMBERS}, optional={"Gpu": NUMBERS}
        ),
        "Seq": draw_mostly(st.integers(0, 2**53)),
    },
)
TASKS = draw_mostly(
    st.one_of(
        st.sampled_from(["a1.0.0.0", "a1.0.0.1", "a1.0.0.9", "z9.0.0.0", "x"]),
        TEXTS,
    )
)
RUN_NUMBERS = draw_mostly(st.integers(1, 3))
WORKER_REPLIES = change_fields(
    {"ClockMs": 50_000, "born": simulations.STARTED_MS},
    {
        "ClockMs": draw_mostly(st.floats(0, 2**53)),
        "born": draw_mostly(st.integers(0, 2**53)),
        "Running": st.lists(
            st.tuples(TASKS, RUN_NUMBERS, TEXTS, NUMBERS),
            max_size=3,
        ),
        "Ended": st.lists(
            st.tuples(
                draw_mostly(st.integers(1, 3)),
                TASKS,
                RUN_NUMBERS,
                st.sampled_from(["done", "failed", "lapsed", "alone", "odd"]),
                TEXTS,
            ),
            max_size=3,
        ),
    },
)


class ArbitraryValuesTest(unittest.TestCase):
    """Whatever is accepted fails in no decision and in no message."""

    def _check(self, simulation: simulations.RegionSimulation) -> None:
        """Check that no decision failed, and that all results can be sent."""
        for effect in simulation.effects:
            if isinstance(effect, effects.DecisionFailed):
                raise effect.error
            if isinstance(effect, effects.AnswerJob):
                gateways.format_retry_after(effect.answer.retry_after_s)
                self._send(messages.Answered(effect.answer))
            if isinstance(effect, effects.StartRun | effects.StopRun):
                self.assertLessEqual(effect.number, MAX_INT64)
                msgspec.json.encode(effect.task)
        self._check_heartbeat(simulation)
        for worker in simulation.region.workers.values():
            self.assertLessEqual(int(worker.lease_until_s * 1000), MAX_INT64)
            self.assertLessEqual(worker.cursor, MAX_INT64)

    def _check_heartbeat(
        self, simulation: simulations.RegionSimulation
    ) -> None:
        """Check that peers accept the heartbeat of the owner."""
        loads = sharing.measure_loads(simulation.region, simulation.now)
        self._send(samples.build_heartbeat(loads=loads))

    def _send(self, message: object) -> None:
        CODEC.decode(msgpack.unpackb(CODEC.encode(message)))

    def _submit(
        self,
        simulation: simulations.RegionSimulation,
        queue: jobs.Queue,
        body: callers.JobBody,
        budget_s: float,
    ) -> None:
        """Submit a job as the gateway does, over a link."""
        submission = application._build_submission(queue, "a1", body, budget_s)
        self._send(messages.Submit(groups.REGION_GROUP, submission))
        changes = {
            name: getattr(submission, name)
            for name in submission.__dataclass_fields__
            if name not in ("job_id", "service")
        }
        simulation.submit("a1", **changes)

    def _run_all(self, simulation: simulations.RegionSimulation) -> None:
        """Run the started tasks: progress, one without any, and their ends."""
        orders = simulation.take_starts()
        for order in orders[1:]:
            simulation.confirm(order)
        for percent in (10.0, 60.0):
            simulation.step(0.3)
            for worker_id, worker in simulation.region.workers.items():
                running = tuple(
                    (run.task, run.number, percent)
                    for run in worker.runs.values()
                )
                simulation.poll(worker_id, running=running)
        for order in orders:
            worker = simulation.region.workers[order.worker_id]
            if order.task in worker.runs:
                simulation.end(order)
        simulation.step(0.02)

    @SETTINGS
    @hypothesis.given(JOBS, CONFIGURATIONS, st.floats(0.001, 1e305))
    def test_any_job_of_any_queue(
        self, source: bytes, configuration: bytes, budget_s: float
    ):
        simulation = simulations.RegionSimulation()
        try:
            body = callers.decode_job(source)
            (queue,) = rows.decode_configuration(configuration).queues
        except exceptions.PlatformError:
            return
        # Three in a row: the later ones are predicted by what was learned.
        for _ in range(3):
            self._submit(simulation, queue, body, budget_s)
            job = simulation.region.jobs.get("a1")
            if job is not None:
                self.assertGreater(job.expected_s, 0.0)
                self.assertTrue(math.isfinite(job.expected_s))
            self._run_all(simulation)
            self._check(simulation)
            simulation.region.recent_ends.clear()

    @SETTINGS
    @hypothesis.given(
        st.one_of(st.just("w9"), TEXTS), WORKER_ROWS, st.integers(0, 3)
    )
    def test_any_row_of_a_worker(self, key: str, source: bytes, tasks: int):
        try:
            listing = rows.decode_worker(key, source)
        except exceptions.BadDocumentError:
            return
        workers.WorkerClient(key, listing.address, lambda: 0.0)
        layout = groups.Layout(1, {listing.data_centre: 2})
        for name in groups.list_groups(layout):
            self._send(samples.build_heartbeat(group=name))
        simulation = simulations.RegionSimulation(workers=1)
        listings = [simulations.build_listing("w0"), listing]
        region = simulation.region
        maintenance.update_workers(region, listings, simulation.now, True)
        simulation.poll(key)
        for n in range(tasks):
            simulation.submit(f"a{n}", tasks=3)
        self._run_all(simulation)
        self._check(simulation)

    @SETTINGS
    @hypothesis.given(WORKER_REPLIES, st.sampled_from([0.0, 0.2]))
    def test_any_reply_of_a_worker(self, source: bytes, estimate_s: float):
        simulation = simulations.RegionSimulation(workers=2)
        simulation.submit("a1", tasks=2, estimate_s=estimate_s)
        orders = simulation.take_starts()
        simulation.confirm(orders[0])
        simulation.now += 0.3
        response = responses.Response(200, {}, source, True)
        try:
            reply = workers._read_poll_response(response)
        except workers.PollError:
            return
        self._deliver(simulation, orders[0].worker_id, reply)
        simulation.step(0.3)
        self._deliver(simulation, orders[0].worker_id, reply)
        simulation.step(2.0)
        self._check(simulation)

    def _deliver(
        self,
        simulation: simulations.RegionSimulation,
        worker_id: str,
        reply: fleet.PollReply,
    ) -> None:
        now = simulation.now
        simulations.replies.handle_poll_reply(
            simulation.region, worker_id, reply, now - 0.001, now
        )
        worker = simulation.region.workers[worker_id]
        worker.lease_until_s = now + worker.clock_ahead_s + 1.0
        simulation._collect()

    @SETTINGS
    @hypothesis.given(
        change_fields(
            {
                "daemon_id": "d",
                "address": "10.0.0.1",
                "port": 80,
                "data_centre": "norte",
                "incarnation": 1,
            },
            {
                "daemon_id": TEXTS,
                "address": TEXTS,
                "port": draw_mostly(st.integers(-1, 70_000)),
                "data_centre": TEXTS,
                "incarnation": draw_mostly(st.integers(0, 2**60)),
            },
        )
    )
    def test_any_row_of_a_daemon(self, source: bytes):
        try:
            member = rows.decode_member(source)
        except exceptions.BadDocumentError:
            return
        socket.inet_aton(member.address)
        self.assertIn(member.port, range(1, 65_536))
        hello = handshake.Hello(
            member.daemon_id,
            member.incarnation,
            member.data_centre,
            member.address,
            member.port,
            0,
        )
        packed = handshake._pack_hello(hello)
        self.assertLess(len(packed), handshake.MAX_HANDSHAKE_BYTES / 2)
        self.assertEqual(handshake._unpack_hello(packed), hello)

    @SETTINGS
    @hypothesis.given(
        change_fields(
            {"version": 1},
            {
                "version": draw_mostly(st.integers(0, 2**60)),
                "parts": st.dictionaries(
                    st.one_of(st.just("norte"), TEXTS),
                    draw_mostly(st.integers(0, 2000)),
                    max_size=3,
                ),
            },
        )
    )
    def test_any_row_with_a_layout(self, source: bytes):
        try:
            layout = rows.decode_layout(source)
        except exceptions.BadDocumentError:
            return
        self._send(messages.PushLayout(layout))
        for name in groups.list_groups(layout)[:3]:
            self._send(samples.build_heartbeat(group=name))

    @SETTINGS
    @hypothesis.given(TEXTS)
    def test_any_row_that_takes_a_data_centre_out_of_use(self, name: str):
        try:
            found = rows.decode_evacuation(f"evacuate/{name}")
        except exceptions.BadDocumentError:
            return
        evacuated = evacuations.EvacuatedSet(1, (found,))
        self._send(samples.build_heartbeat(evacuated=evacuated))

    @SETTINGS
    @hypothesis.given(
        change_fields(
            {"learned_at_s": 1000.0, "speeds": {}, "durations": {}},
            {
                "learned_at_s": NUMBERS,
                "speeds": st.dictionaries(
                    st.one_of(st.just("w0"), TEXTS),
                    st.fixed_dictionaries(
                        {
                            "started_ms": st.one_of(
                                st.just(simulations.STARTED_MS), NUMBERS
                            ),
                            "log_speed": NUMBERS,
                            "evidence": NUMBERS,
                        }
                    ),
                    max_size=2,
                ),
                "durations": st.dictionaries(
                    st.just("lookup"),
                    st.lists(NUMBERS, min_size=40, max_size=40),
                    max_size=1,
                ),
                "interference": ANY,
            },
        )
    )
    def test_any_row_of_learned_state(self, source: bytes):
        simulation = simulations.RegionSimulation()
        region = simulation.region
        try:
            state = rows.decode_learned(source)
        except exceptions.BadDocumentError:
            return
        learned_state.restore(region, state)
        with contextlib.suppress(ValueError):
            neighbours.restore(region, state.interference, simulation.now)
        simulation.poll("w0")
        simulation.submit("a1")
        self._run_all(simulation)
        self._check(simulation)
        captured = learned_state.capture(region, 1000.0)
        learned_state.is_worth_writing(captured, state)
        rows.decode_learned(rows.encode_learned(captured))
