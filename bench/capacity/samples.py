"""Messages, lists and declarations of a size, shaped as at the target."""

from collections.abc import Callable
import dataclasses
import hashlib
import itertools
import json
from typing import Any

from pollenladder.core import entities
from pollenladder.dispatch import directory
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import tables
from pollenladder.plans import loading
from pollenladder.wire import messages
from standins import servers

CUSTOMERS_PER_PLAN = 1
KINDS_PER_PLAN = 3


def build_vm(number: int, data_centre: str = "elsewhere") -> dict[str, Any]:
    """Return a worker's row of the VM list."""
    return {
        "vm_id": f"{data_centre}-w{number}",
        "role": "endpoint",
        "data_centre": data_centre,
        "rack": f"{data_centre}-r{number // 40}",
        "address": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        "port": 8080,
        "http_port": 0,
        "state": "live",
        "slots": 64,
        "connections": 128,
    }


def build_vm_list(count: int) -> bytes:
    """Return the platform's answer with so many VMs."""
    rows = [build_vm(number) for number in range(count)]
    body = {"version": 1, "vms": rows}
    return json.dumps(body, separators=(",", ":")).encode()


def build_plan(number: int) -> dict[str, Any]:
    """Return one plan of the plans file."""
    kinds = [
        {"name": f"kind-{n}", "idempotent": True, "max_run_ms": 8000}
        for n in range(KINDS_PER_PLAN)
    ]
    return {
        "id": f"plan-{number}",
        "allowance": {
            "running_tasks": 6000,
            "starts_per_s": 6400,
            "burst": 6400,
        },
        "deadline_ms": 60_000,
        "weight": 1,
        "kinds": kinds,
    }


def build_customer(number: int, plan_id: str) -> dict[str, Any]:
    """Return one customer of the customers file."""
    token = hashlib.sha256(str(number).encode()).hexdigest()
    return {
        "id": f"customer-{number}",
        "plans": [plan_id],
        "token_sha256": token,
    }


def build_row(plans: int) -> dict[str, Any]:
    """Return the value of the declarations' row with so many plans."""
    customers = [
        build_customer(number, f"plan-{number // CUSTOMERS_PER_PLAN}")
        for number in range(plans * CUSTOMERS_PER_PLAN)
    ]
    return {
        "version": 1,
        "change_id": "change-1",
        "customers": {"customers": customers, "operators": []},
        "plans": {"plans": [build_plan(number) for number in range(plans)]},
    }


def build_declare(shard_count: int, plans: int) -> Callable[[], None]:
    """Return a function that changes one plan of many on one shard."""
    ids = tuple(f"south/{number}" for number in range(shard_count))
    shard = shards.build(
        shard_id=ids[0],
        daemon_id="south-d0",
        incarnation="1",
        limits=tables.Limits(),
        shard_directory=directory.Directory(),
        all_shard_ids=ids,
        loan_term_s=15.0,
        loan_margin_s=1.0,
    )
    declared = loading.parse_row(build_row(plans), 1)
    shards.apply_declarations(shard, declared, 0.0)
    numbers = itertools.count(2)

    def change() -> None:
        version = next(numbers)
        plan = dataclasses.replace(
            declared.plans["plan-0"], weight=1 + version / 1e9
        )
        changed = dataclasses.replace(
            declared, version=version, plans=declared.plans | {"plan-0": plan}
        )
        shards.apply_declarations(shard, changed, 0.0)

    return change


def build_grant(running: int) -> servers.Reply:
    """Return a worker's answer to a lease request, by tasks it runs."""
    tasks = [
        {
            "task": f"north-d1-1790000000000-7:{number}",
            "customer": "customer-1",
            "plan": "plan-1",
            "kind": "kind-1",
            "holder": "north-d1",
            "epoch": 1790000000000,
            "run_ms": 250,
        }
        for number in range(running)
    ]
    body = {
        "granted": True,
        "epoch": 1790000000000,
        "running": tasks,
        "slots": 64,
        "connections": 128,
        "leaving": False,
    }
    return servers.Reply(200, body, (("Content-Type", "application/json"),))


def build_load(number: int) -> messages.ShardLoad:
    """Return the load message of a shard."""
    shard_id = f"north/{number}"
    stamp = f"{shard_id}~1790000000000~12"
    return messages.ShardLoad(
        shard_id, 1790000000000, 17, 300, 2048, stamp, 412.5
    )


def build_task(number: int) -> entities.Task:
    """Return a task with a small payload."""
    return entities.Task(
        f"t{number}", "kind-1", {"run_ms": 250, "echo": "e" * 16}, 200.0, 1.0
    )
