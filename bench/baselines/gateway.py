"""The HTTP server of a baseline: no tokens or plans, one job per request."""

from collections.abc import Callable
import json
import socket
from typing import Any

import gevent
from gevent import pywsgi

from bench import ports

# Runs the tasks of a job, given its id, and returns one result
# per task.
RunJob = Callable[[str, list[dict[str, Any]]], list[dict[str, Any]]]


class NoDelayServer(pywsgi.WSGIServer):
    """A WSGI server with TCP_NODELAY, so that small writes aren't delayed."""

    def do_handle(self, *args: Any) -> None:
        """Set TCP_NODELAY on a new connection, then handle it."""
        args[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().do_handle(*args)


def serve(
    port: int, name: str, run_job: RunJob, counters: dict[str, int]
) -> None:
    """Serve `POST /v1/jobs`, `/metrics` and `/readyz` until killed.

    Args:
        port: Port to listen on.
        name: Name of this process, the first part of its job ids.
        run_job: Runs the tasks of each job.
        counters: Messages by kind, for `/metrics`; the answered jobs are added
            to it.
    """
    job_numbers = iter(range(1 << 62))

    def answer_job(environ: dict[str, Any]) -> tuple[str, bytes]:
        body = json.loads(environ["wsgi.input"].read())
        job_id = f"{name}-0-{next(job_numbers)}"
        results = run_job(job_id, body["tasks"])
        counters["job"] = counters.get("job", 0) + 1
        is_complete = all(result["reason"] == "ok" for result in results)
        answer = {
            "job": job_id,
            "outcome": "complete" if is_complete else "failed",
            "reason": "ok" if is_complete else "task_error",
            "tasks": results,
        }
        status = "200 OK" if is_complete else "502 Bad Gateway"
        return status, json.dumps(answer).encode()

    def application(environ: dict[str, Any], start_response: Any) -> list:
        path = environ["PATH_INFO"]
        if path == "/v1/jobs":
            status, body = answer_job(environ)
        elif path == "/metrics":
            status, body = "200 OK", render_counters(counters)
        else:
            status, body = "200 OK", b"{}"
        start_response(status, [("Content-Type", "application/json")])
        return [body]

    NoDelayServer((ports.HOST, port), application, log=None).serve_forever()


def render_counters(counters: dict[str, int]) -> bytes:
    """Render counters in the text format of the daemons' metrics."""
    lines = [
        f'pollenladder_messages_total{{kind="{kind}"}} {number}'
        for kind, number in sorted(counters.items())
    ]
    return ("\n".join(lines) + "\n").encode()


def run_each(
    run_task: Callable[[str, dict[str, Any]], dict[str, Any]],
    job_id: str,
    tasks: list[dict[str, Any]],
) -> list[dict[str, Any]]:
    """Run all tasks of a job concurrently, each in a greenlet."""
    greenlets = [
        gevent.spawn(run_task, f"{job_id}:{index}", task)
        for index, task in enumerate(tasks)
    ]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]
