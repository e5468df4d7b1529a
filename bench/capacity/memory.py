"""Memory of the rows that a daemon keeps, measured in this process."""

from collections.abc import Callable
import gc
import tracemalloc
from typing import Any

from bench.capacity import samples
from bench.capacity import slopes
from pollenladder.core import clocks
from pollenladder.core import entities
from pollenladder.core import mesh
from pollenladder.dispatch import keys
from pollenladder.dispatch import tables
from pollenladder.endpoints import client
from pollenladder.membership import leases
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loading
from pollenladder.wire import messages

COUNTS = (100, 400, 1600)
PLAN_COUNTS = (70, 140, 280)
JOB_TASKS = 100
SHARDS = 494


def measure_all(repeats: int) -> list[slopes.Slope]:
    """Return the slopes of the memory of each kind of row, in bytes."""
    kinds = (
        ("memory_worker", "workers", COUNTS, _build_workers),
        ("memory_key", "keys held", COUNTS, _build_keys),
        ("memory_job", "queued jobs of 100 tasks", COUNTS[:3], _build_jobs),
        ("memory_peer", "daemons known", COUNTS, _build_peers),
        ("memory_plan", "plans", PLAN_COUNTS, _build_plans),
        ("memory_share", "plans, in a shard's ledger", PLAN_COUNTS, _share),
    )
    return [
        _measure(name, size, counts, build, repeats)
        for name, size, counts, build in kinds
    ]


def measure_bytes(build: Callable[[], Any]) -> int:
    """Return the memory that what `build` returns holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def _measure(
    name: str,
    size: str,
    counts: tuple[int, ...],
    build: Callable[[int], Any],
    repeats: int,
) -> slopes.Slope:
    build(1)
    points = [
        [(n, float(measure_bytes(lambda n=n: build(n)))) for n in counts]
        for _ in range(repeats)
    ]
    return slopes.fit(name, size, "bytes", points)


def _build_workers(count: int) -> Any:
    limits = client.Limits()
    clock = clocks.read_monotonic_s
    return [
        (
            tables.Worker(f"north-w{n}", 64),
            leases.WorkerLease(f"north-w{n}"),
            client.EndpointClient(
                f"north-w{n}", "127.0.0.1", 8080, limits, clock
            ),
        )
        for n in range(count)
    ]


def _build_keys(count: int) -> Any:
    table = keys.KeyTable("north/0", 1790000000000, 0.0)
    for n in range(count):
        own = f"order-{n:012}"
        key = keys.Key("north/0", 1790000000000, 0, "customer-1", own)
        keys.use_key(table, key, f"north-d1-1790000000000-{n}", ("t0",), 1.0)
    return table


def _build_jobs(count: int) -> Any:
    return [_build_job(n) for n in range(count)]


def _build_job(number: int) -> tables.Group:
    job_id = f"north-d1-1790000000000-{number}"
    return tables.Group(
        group_id=job_id,
        shard_id="north/0",
        job_id=job_id,
        reply_to="north-d1",
        is_remote=False,
        flow_id=("customer-1", "plan-1"),
        tasks={
            n: entities.Task(
                f"t{n}", f"kind-{n % 3}", {"run_ms": 250 + n}, 200.0 + n, 1.0
            )
            for n in range(JOB_TASKS)
        },
        deadline_at=10.0,
        start_by=10.0,
        due_at=0.0,
        received_at=0.0,
        expected_s={n: 0.25 + n for n in range(JOB_TASKS)},
        waiting=list(range(JOB_TASKS)),
    )


def _build_peers(count: int) -> Any:
    infos = (
        messages.PeerInfo(
            f"north-d{n}", f"north-{n % 26}", f"10.0.0.{n}", n, n, False
        )
        for n in range(count)
    )
    return {info.daemon_id: mesh.KnownDaemon(info, 0.0) for info in infos}


def _build_plans(count: int) -> Any:
    return loading.parse_row(samples.build_row(count), 1)


def _share(count: int) -> Any:
    ledger = ledgers.Ledger("north/0", 15.0, 1.0)
    for n in range(count):
        escrow.set_share(ledger, f"plan-{n}", 12, 13.0, 13, 0.0)
    return ledger
