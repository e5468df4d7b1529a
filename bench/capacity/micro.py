"""Processor time and bytes of control messages, measured in this process."""

from collections.abc import Callable
import json
from typing import Any

import msgpack

from bench.capacity import polls
from bench.capacity import samples
from bench.capacity import slopes
from bench.capacity import timing
from pollenladder.core import entities
from pollenladder.core import tags
from pollenladder.core import verdicts
from pollenladder.http import exchanges
from pollenladder.plans import deltas
from pollenladder.plans import loading
from pollenladder.plans import loans
from pollenladder.table import client
from pollenladder.table import messages as platform_messages
from pollenladder.wire import messages
from standins import servers

LOAD_COUNTS = (1, 4, 16, 64)
PLAN_COUNTS = (10, 40, 140, 280)
CHANGED_COUNTS = (1, 4, 16)
VM_COUNTS = (500, 2000, 8000, 16000)
TASK_COUNTS = (1, 10, 50, 100)
MESSAGE_COUNTS = (1, 10, 100)
SHARD_COUNTS = (26, 130, 494)
TARGET_PLANS = 140


def measure_all(repeats: int) -> list[slopes.Slope]:
    """Return the slopes of all control messages, in us and in bytes."""
    found = []
    for name, size, counts, build in (
        ("digest", "shards in it", LOAD_COUNTS, _build_digest),
        ("push", "plans", PLAN_COUNTS, _build_push),
        ("delta", "plans changed", CHANGED_COUNTS, _build_delta),
        ("job_offer", "tasks of a job", TASK_COUNTS, _build_offer),
        ("job_answer", "tasks of a job", TASK_COUNTS, _build_answer),
        ("load_message", "messages", MESSAGE_COUNTS, _build_loads),
        ("loan", "loans", MESSAGE_COUNTS, _build_loans),
    ):
        sizes = {n: build(n) for n in counts}
        found += _measure_messages(name, size, sizes, repeats)
    found += _measure_parsing(
        "vms_parse",
        "VMs in the list",
        {n: samples.build_vm_list(n) for n in VM_COUNTS},
        _parse_vms,
        repeats,
    )
    found += _measure_parsing(
        "row_parse",
        "plans",
        {n: json.dumps(samples.build_row(n)).encode() for n in PLAN_COUNTS},
        lambda body: loading.parse_row(json.loads(body), 1),
        repeats,
    )
    found.append(_measure_declare(repeats))
    found.append(_measure_lease_bytes())
    found += polls.measure_all(repeats)
    return found


def _measure_messages(
    name: str, size: str, sizes: dict[int, list], repeats: int
) -> list[slopes.Slope]:
    """Measure encoding once and decoding once, as the two ends do."""
    codec = tags.build_codec()

    def carry(batch: list) -> int:
        total = 0
        for message in batch:
            data = codec.encode(message)
            codec.decode(msgpack.unpackb(data))
            total += len(data)
        return total

    work = {n: lambda batch=batch: carry(batch) for n, batch in sizes.items()}
    octets = [(n, float(carry(batch))) for n, batch in sizes.items()]
    return [
        _time_sizes(f"{name}_us", size, work, repeats),
        slopes.fit(f"{name}_bytes", size, "bytes", [octets]),
    ]


def _measure_parsing(
    name: str,
    size: str,
    bodies: dict[int, bytes],
    parse: Callable[[bytes], Any],
    repeats: int,
) -> list[slopes.Slope]:
    work = {n: lambda body=body: parse(body) for n, body in bodies.items()}
    octets = [(n, float(len(body))) for n, body in bodies.items()]
    return [
        _time_sizes(f"{name}_us", size, work, repeats),
        slopes.fit(f"{name}_bytes", size, "bytes", [octets]),
    ]


def _time_sizes(
    name: str, size: str, work: dict[int, Callable], repeats: int
) -> slopes.Slope:
    points = [
        [(n, timing.time_us(run)) for n, run in work.items()]
        for _ in range(repeats)
    ]
    return slopes.fit(name, size, "us", points)


def _measure_declare(repeats: int) -> slopes.Slope:
    """Measure a change of one plan of many, by shards of all data centres."""
    work = {n: samples.build_declare(n, TARGET_PLANS) for n in SHARD_COUNTS}
    return _time_sizes("declare_us", "shards in all", work, repeats)


def _measure_lease_bytes() -> slopes.Slope:
    """Return bytes of a renewal, both ways, by tasks the worker runs."""
    body = {
        "shard": "north/7",
        "holder": "north-d1",
        "epoch": 1790000000000,
        "ttl_ms": 3000,
    }
    head = exchanges.build_head(("10.0.0.1", 8080), "POST", "/v1/lease")
    request = exchanges.build_request(head, json.dumps(body).encode())
    points = []
    for count in MESSAGE_COUNTS:
        reply = servers.render(samples.build_grant(count), close=False)
        points.append((count, float(len(request) + len(reply))))
    return slopes.fit("lease_bytes", "tasks told", "bytes", [points])


def _parse_vms(body: bytes) -> Any:
    message = platform_messages.VmsMessage.model_validate_json(body)
    return [client.convert_vm(vm) for vm in message.vms]


def _build_digest(count: int) -> list:
    loads = tuple(samples.build_load(n) for n in range(count))
    return [messages.Digest(1234, False, loads, (), ())]


def _build_push(count: int) -> list:
    return [messages.DeclarationsPush(1234, samples.build_row(count))]


def _build_delta(count: int) -> list:
    old, new = samples.build_row(TARGET_PLANS), samples.build_row(TARGET_PLANS)
    for plan in new["plans"]["plans"][:count]:
        plan["weight"] = 2
    delta = deltas.build(old, new)
    return [messages.DeclarationsDelta(1234, 1235, delta)]


def _build_offer(count: int) -> list:
    tasks = tuple(samples.build_task(n) for n in range(count))
    job = entities.Job("north-d1-1790000000000-7", "c-1", "p-1", tasks, 10.0)
    return [messages.JobOffer("north/7", job)]


def _build_answer(count: int) -> list:
    results = tuple(
        verdicts.TaskResult(
            f"t{n}",
            verdicts.Verdict.RAN,
            verdicts.Reason.OK,
            {"echo": "e" * 16},
            0.25,
        )
        for n in range(count)
    )
    job_id = "north-d1-1790000000000-7"
    return [messages.pack_answer(verdicts.Complete(job_id, results))]


def _build_loads(count: int) -> list:
    return [samples.build_load(n) for n in range(count)]


def _build_loans(count: int) -> list:
    return [
        loans.LoanRequest(f"north/7-{n}", 0, "north/7", "south/3", "p-1", 12)
        for n in range(count)
    ]
