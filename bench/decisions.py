"""Memory per idempotency key, and time of an owner's decisions per job.

`python -m bench.decisions` prints one line per measurement, then all as JSON.
"""

import json
import time
import tracemalloc
from typing import Any

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import admission
from pollenladder.dispatch import directory
from pollenladder.dispatch import fairness
from pollenladder.dispatch import keys
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import submissions
from pollenladder.dispatch import tables
from pollenladder.plans import declarations

SHARD_ID = "north/0"
EPOCH = 1_764_800_000_000
KEYS = 2000
JOBS_PER_FLOW = 10
ROUNDS = 500


def measure_key_bytes(tasks: int, answered: bool) -> int:
    """Return the memory per key in the table of its home shard, in bytes."""
    table = keys.KeyTable(SHARD_ID, EPOCH, 0.0)
    tracemalloc.start()
    for i in range(KEYS):
        key_text = f"{SHARD_ID}~{EPOCH}~0~order-{i:08d}"
        key = keys.parse_key(key_text, "customer")
        job_id = f"daemon-{EPOCH}-{i}"
        keys.use_key(table, key, job_id, i.to_bytes(16, "big"), 1.0)
        if answered:
            answer = verdicts.Complete(job_id, _make_results(tasks))
            keys.record_answer(table, key, answer)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(size / KEYS)


def _make_results(tasks: int) -> tuple[verdicts.TaskResult, ...]:
    return tuple(
        verdicts.TaskResult(
            f"task-{j}",
            verdicts.Verdict.RAN,
            verdicts.Reason.OK,
            {"receipt": j * 1000},
            0.25 + j,
        )
        for j in range(tasks)
    )


def build_shard(flows: int) -> tables.Shard:
    """Build a shard with waiting jobs in each of a number of flows."""
    shard = shards.build(
        shard_id=SHARD_ID,
        daemon_id="daemon",
        incarnation="1",
        limits=tables.Limits(),
        shard_directory=directory.Directory(),
        all_shard_ids=(SHARD_ID,),
        loan_term_s=15.0,
        loan_margin_s=1.0,
    )
    for i in range(24):
        shard.workers[f"w{i}"] = tables.Worker(f"w{i}", 8)
    for i in range(flows):
        for j in range(JOBS_PER_FLOW):
            fairness.add_work(
                shard.queue, (f"c{i}", "p"), 1.0, f"{i}/{j}", j, 1, 0.5
            )
    return shard


def measure_admission_us(flows: int) -> float:
    """Return the time of the overload checks per job, in microseconds."""
    shard = build_shard(flows)
    kinds = {"k": declarations.Kind("k", True, 2.0)}
    allowance = declarations.Allowance(1000, 1e5, 1000)
    plan = declarations.Plan("p", allowance, 5.0, 1.0, kinds)
    job = entities.Job("j", "c0", "p", (entities.Task("t", "k"),), 5.0)
    start_s = time.perf_counter()
    for _ in range(ROUNDS):
        admission._refuse_overload(shard, plan, job, 1.0)
        admission._refuse_allowance(shard, plan, job)
    return (time.perf_counter() - start_s) / ROUNDS * 1e6


def measure_next_task_us(flows: int) -> float:
    """Return the time to find and remove the next task, in microseconds."""
    queue = build_shard(flows).queue
    total = flows * JOBS_PER_FLOW
    start_s = time.perf_counter()
    for flow_id, flow in fairness.iterate_flows(queue, lambda _: True):
        job_id = next(iter(flow.due))
        fairness.remove_work(queue, flow_id, job_id, 1, 0.5, True)
    return (time.perf_counter() - start_s) / total * 1e6


def measure_expiry_us(jobs: int) -> float:
    """Return the time of the deadline check per event, in microseconds."""
    table = submissions.Submissions("north", directory.Directory(), 60.0)
    for i in range(jobs):
        job = entities.Job(f"j{i}", "c", "p", (), 1e6)
        table.pending[job.job_id] = submissions.Submission(job, 1e6)
    start_s = time.perf_counter()
    for i in range(ROUNDS):
        # A busy daemon has about one event per millisecond.
        submissions.expire(table, 1.0 + i / 1000, 0.5)
    return (time.perf_counter() - start_s) / ROUNDS * 1e6


def main() -> None:
    """Run all measurements and print them."""
    results: dict[str, Any] = {}
    for tasks, answered in ((1, False), (1, True), (10, True), (100, True)):
        state = "answered" if answered else "running"
        name = f"key_bytes_{state}_{tasks}"
        results[name] = measure_key_bytes(tasks, answered)
    for flows in (10, 40, 140):
        results[f"admission_us_{flows}_lines"] = measure_admission_us(flows)
        results[f"next_task_us_{flows}_lines"] = measure_next_task_us(flows)
    for jobs in (100, 2000):
        results[f"expiry_us_{jobs}_jobs"] = measure_expiry_us(jobs)
    for name, value in results.items():
        print(f"{name}: {value:.1f}")
    print(json.dumps(results))


if __name__ == "__main__":
    main()
