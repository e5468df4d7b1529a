"""Declarations and settings of the clusters that are measured."""

from collections.abc import Iterable
import hashlib
import itertools
from typing import Any

from bench import http
from bench import layouts
from bench import ports
from bench import requests

PLAN_ID = "bench"
OPERATOR_ID = "bench-operator"
DEADLINE_MS = 60_000
MAX_RUN_MS = 8000
PEER_SECRET = "bench-only-peer-secret"


def build_customers(layout: layouts.Layout) -> dict[str, Any]:
    """Build the content of a layout's customers file."""
    return {
        "customers": [
            {
                "id": customer_id,
                "plans": [PLAN_ID],
                "token_sha256": _hash_token(customer_id),
            }
            for customer_id in layout.customer_shares
        ],
        "operators": [
            {"id": OPERATOR_ID, "token_sha256": _hash_token(OPERATOR_ID)}
        ],
    }


def build_plans(
    layout: layouts.Layout, running_tasks: int | None = None
) -> dict[str, Any]:
    """Build the content of a layout's plans file.

    There is one plan, whose default allowance never limits the slots.

    Args:
        layout: Layout with the kinds of task and the slots.
        running_tasks: Allowance of running tasks; by default four times the
            slots.
    """
    running = running_tasks or 4 * layout.count_slots()
    return {
        "plans": [
            {
                "id": PLAN_ID,
                "allowance": {
                    "running_tasks": running,
                    "starts_per_s": 100_000,
                    "burst": 100_000,
                },
                "deadline_ms": DEADLINE_MS,
                "weight": 1,
                "kinds": [
                    {"name": kind, "idempotent": True, "max_run_ms": MAX_RUN_MS}
                    for kind in layout.kinds
                ],
            }
        ]
    }


def write_row(
    platform_port: int,
    customers: dict[str, Any],
    plans: dict[str, Any],
    version: int,
) -> int:
    """Write the declarations to the platform's table as the next version.

    Returns:
        The version of the row.

    Raises:
        OSError: The row has another version, or the platform did not answer.
    """
    key = "declarations/current"
    row_version = 0
    if version > 1:
        row = http.request_json(platform_port, f"/v1/table/{key}")
        row_version = row["version"]
    value = {
        "version": version,
        "change_id": f"bench-{version}",
        "customers": customers,
        "plans": plans,
    }
    body = {
        "checks": [{"key": key, "version": row_version}],
        "writes": [{"key": key, "value": value}],
    }
    answer = http.request_json(platform_port, "/v1/transactions", body)
    return answer["versions"][key]


def build_settings(
    layout: layouts.Layout,
    daemon: dict[str, Any],
    platform_port: int,
    overrides: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Build a daemon's settings file from its row of the VM list."""
    settings = {
        "daemon_id": daemon["vm_id"],
        "data_centre": daemon["data_centre"],
        "address": ports.HOST,
        "peer_port": daemon["port"],
        "http_port": daemon["http_port"],
        "peer_secret": PEER_SECRET,
        "data_centres": {name: {"shards": 1} for name in layout.data_centres},
        "platform": {"address": ports.HOST, "port": platform_port},
        "log": {"format": "text", "level": "INFO"},
    }
    return settings | (overrides or {})


def build_worker_rows(layout: layouts.Layout) -> list[dict[str, Any]]:
    """Build the workers' rows of the VM list; their ports are set later."""
    assigned = _assign_in_turn(layout.data_centres, layout.workers)
    counts = dict.fromkeys(layout.data_centres, 0)
    rows = []
    for data_centre in assigned:
        number = counts[data_centre]
        counts[data_centre] += 1
        rack = f"{data_centre}-r{number // layout.workers_per_rack}"
        rows.append(
            {
                "vm_id": f"{data_centre}-w{number}",
                "role": "endpoint",
                "data_centre": data_centre,
                "rack": rack,
                "address": ports.HOST,
                "port": 0,
                "http_port": 0,
                "state": "live",
                "slots": layout.slots,
                "connections": layout.connections,
            }
        )
    return rows


def build_daemon_rows(layout: layouts.Layout) -> list[dict[str, Any]]:
    """Build the daemons' rows of the VM list, on free ports."""
    free = iter(ports.find_free_ports(2 * layout.daemons))
    assigned = _assign_in_turn(layout.data_centres, layout.daemons)
    return [
        {
            "vm_id": f"{data_centre}-d{number}",
            "role": "entry",
            "data_centre": data_centre,
            "rack": f"{data_centre}-entry",
            "address": ports.HOST,
            "port": next(free),
            "http_port": next(free),
            "state": "live",
            "slots": 0,
            "connections": 0,
        }
        for number, data_centre in enumerate(assigned)
    ]


def _assign_in_turn(names: Iterable[str], count: int) -> list[str]:
    return list(itertools.islice(itertools.cycle(names), count))


def _hash_token(customer_id: str) -> str:
    return hashlib.sha256(requests.make_token(customer_id).encode()).hexdigest()
