"""Starts on workers for baselines, all of which share one lease holder."""

import json
from typing import Any

import geventhttpclient

from bench import callers
from bench import ports

HOLDER = "baseline"
SHARD = "baseline"
EPOCH = 1
LEASE_TTL_MS = 24 * 3600 * 1000
MAX_RUN_MS = 60_000
TIMEOUT_S = 90.0


class Worker:
    """A pool of connections to one worker."""

    def __init__(self, port: int, connections: int):
        self.client = geventhttpclient.HTTPClient(
            ports.HOST,
            port,
            concurrency=connections,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send one JSON request and return the JSON answer."""
        response = self.client.post(path, body=json.dumps(body).encode())
        return json.loads(response.read())

    def take_lease(self) -> None:
        """Take the lease that all baselines share."""
        body = {
            "shard": SHARD,
            "holder": HOLDER,
            "epoch": EPOCH,
            "ttl_ms": LEASE_TTL_MS,
        }
        self.post("/v1/lease", body)

    def start(self, task_id: str, task: dict[str, Any]) -> dict[str, Any]:
        """Start a task and wait for its end; return the worker's answer."""
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
    """Return the callers' result of a task from the worker's answer."""
    ran = answer["verdict"] == "ran"
    good = ran and answer.get("status") == "ok"
    return {
        "id": task["id"],
        "verdict": answer["verdict"],
        "reason": "ok" if good else answer.get("reason") or "task_error",
        "output": answer.get("output"),
        "run_ms": answer.get("run_ms", 0),
    }
