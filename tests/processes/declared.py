"""The layout, settings and plans of the clusters under test."""

from typing import Any

from bench import cluster
from bench import declarations
from bench import layouts
from bench import requests

CUSTOMER_ID = "first"
WIDE = "wide"
NARROW = "narrow"
NARROW_RUNNING = 4
LAYOUT = layouts.Layout(
    name="failures",
    data_centres=("north", "south"),
    daemons=4,
    workers=6,
    workers_per_rack=3,
    slots=4,
    connections=64,
    client_latency_s=0.0,
    customer_shares={CUSTOMER_ID: 1.0},
    kinds=("lookup",),
)
TIMINGS = {
    "lease_ttl_s": 1.0,
    "heartbeat_s": 0.5,
    "peer_timeout_s": 1.5,
    "platform_poll_s": 0.3,
    "vm_list_poll_s": 0.3,
    "loan_term_s": 3.0,
    "drain_timeout_s": 20.0,
}
KINDS = [
    {"name": "lookup", "idempotent": True, "max_run_ms": 1500},
    {"name": "charge", "idempotent": False, "max_run_ms": 1500},
]
TOKEN = requests.make_token(CUSTOMER_ID)
OPERATOR_TOKEN = requests.make_token(declarations.OPERATOR_ID)


def build_plan(plan_id: str, running_tasks: int) -> dict[str, Any]:
    """Return the declaration of a plan."""
    return {
        "id": plan_id,
        "allowance": {
            "running_tasks": running_tasks,
            "starts_per_s": 10_000,
            "burst": 10_000,
        },
        "deadline_ms": 20_000,
        "weight": 1,
        "kinds": KINDS,
    }


def build_customers() -> dict[str, Any]:
    """Return the customers file, whose customer may use both plans."""
    built = declarations.build_customers(LAYOUT)
    built["customers"][0]["plans"] = [WIDE, NARROW]
    return built


def declare(test_cluster: cluster.Cluster, version: int = 1) -> None:
    """Write a version of the declarations to the platform.

    The allowance of the wide plan differs between versions.
    """
    plans = [build_plan(WIDE, 200 + version), build_plan(NARROW, 4)]
    declarations.write_row(
        test_cluster.platform_port, build_customers(), {"plans": plans}, version
    )
