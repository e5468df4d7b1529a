"""The baselines' client for workers.

Workers accept starts only under a lease. All baseline processes use one lease
with the same holder, shard and epoch, so that they don't fence each other.
"""

import json
from typing import Any

import geventhttpclient

from bench import callers
from bench import ports

HOLDER = "baseline"
SHARD = "baseline"
EPOCH = 1
# Longer than any benchmark, as baselines don't renew the lease.
LEASE_TTL_MS = 24 * 3600 * 1000
MAX_RUN_MS = 60_000
TIMEOUT_S = 90.0


class Worker:
    """A client of one worker with a pool of connections."""

    def __init__(self, port: int, connections: int):
        self.client = geventhttpclient.HTTPClient(
            ports.HOST,
            port,
            concurrency=connections,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a JSON request and return the JSON answer."""
        response = self.client.post(path, body=json.dumps(body).encode())
        return json.loads(response.read())

    def acquire_lease(self) -> None:
        """Acquire the lease that all baselines share."""
        body = {
            "shard": SHARD,
            "holder": HOLDER,
            "epoch": EPOCH,
            "ttl_ms": LEASE_TTL_MS,
        }
        self.post("/v1/lease", body)

    def start(self, task_id: str, task: dict[str, Any]) -> dict[str, Any]:
        """Start a task, wait for its end and return the worker's answer.

        A connection error is returned as the verdict `may_have_run`.
        """
        body = {
            "task": task_id,
            "job": task_id.rsplit(":", 1)[0],
            "customer": "baseline",
            "plan": "baseline",
            "kind": task["kind"],
            "shard": SHARD,
            "holder": HOLDER,
            "epoch": EPOCH,
            "ttl_ms": LEASE_TTL_MS,
            "max_run_ms": MAX_RUN_MS,
            "payload": task.get("payload"),
        }
        try:
            return self.post("/v1/start", body)
        except callers.BROKEN_ERRORS as error:
            return {"verdict": "may_have_run", "reason": repr(error)}


def make_result(task: dict[str, Any], answer: dict[str, Any]) -> dict[str, Any]:
    """Convert a worker's answer into a result for the caller."""
    ran = answer["verdict"] == "ran"
    is_ok = ran and answer.get("status") == "ok"
    return {
        "id": task["id"],
        "verdict": answer["verdict"],
        "reason": "ok" if is_ok else answer.get("reason") or "task_error",
        "output": answer.get("output"),
        "run_ms": answer.get("run_ms", 0),
    }
