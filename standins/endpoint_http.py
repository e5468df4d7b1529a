"""HTTP interface of a simulated endpoint, as specified in the design page."""

from collections.abc import Callable

import gevent
import pydantic

from standins import endpoint_leases
from standins import endpoint_messages
from standins import endpoint_worker
from standins import servers

JSON_TYPE = (("Content-Type", "application/json"),)


def reply_json(status: int, body: dict) -> servers.Reply:
    """Build a JSON reply."""
    return servers.Reply(status, body, JSON_TYPE)


def get_invalid_field(error: pydantic.ValidationError) -> str:
    """Return the dotted path of the first invalid field.

    The result is "body" if the body as a whole is invalid.
    """
    return ".".join(str(part) for part in error.errors()[0]["loc"]) or "body"


def build_lease(
    worker: endpoint_worker.Worker,
    message: endpoint_messages.Message,
    ttl_ms: int = 0,
) -> endpoint_leases.Lease:
    """Build the lease described by a message, which expires after `ttl_ms`."""
    expires_s = worker.clock() + ttl_ms / 1000
    return endpoint_leases.Lease(
        message.shard, message.holder, message.epoch, expires_s
    )


def answer_lease(
    worker: endpoint_worker.Worker, message: endpoint_messages.LeaseMessage
) -> servers.Reply:
    """Answer `POST /v1/lease`."""
    requested = build_lease(worker, message, message.ttl_ms)
    now_s = worker.clock()
    worker.leases, granted = endpoint_leases.grant(
        worker.leases, requested, now_s
    )
    if not granted:
        return _refuse_lease(worker, now_s)
    worker.counters.leases += 1
    body = {
        "granted": True,
        "epoch": message.epoch,
        "running": _list_running(worker, now_s),
        "slots": worker.settings.slots,
        "connections": worker.settings.connections,
        "leaving": worker.faults.leaving,
        "up_ms": worker.compute_up_ms(),
    }
    return reply_json(200, body)


def _refuse_lease(
    worker: endpoint_worker.Worker, now_s: float
) -> servers.Reply:
    state = worker.leases
    remaining_s = endpoint_leases.compute_remaining_s(state, now_s)
    body = {
        "granted": False,
        "holder": state.lease.holder if state.lease else None,
        "epoch": state.lease.epoch if state.lease else 0,
        "remaining_ms": round(remaining_s * 1000),
        "max_epoch": state.max_epoch,
        "leaving": worker.faults.leaving,
    }
    return reply_json(409, body)


def _list_running(worker: endpoint_worker.Worker, now_s: float) -> list[dict]:
    return [
        {
            "task": task.task_id,
            "customer": task.customer,
            "plan": task.plan,
            "kind": task.kind,
            "holder": task.holder,
            "epoch": task.epoch,
            "run_ms": round((now_s - task.started_s) * 1000, 3),
        }
        for task in worker.tasks.running
    ]


def answer_release(
    worker: endpoint_worker.Worker, message: endpoint_messages.ReleaseMessage
) -> servers.Reply:
    """Answer `POST /v1/release`."""
    named = build_lease(worker, message)
    worker.leases, released = endpoint_leases.release(
        worker.leases, named, worker.clock()
    )
    return reply_json(200, {"released": released})


def answer_start(
    worker: endpoint_worker.Worker, message: endpoint_messages.StartMessage
) -> servers.Reply | None:
    """Run a task for `POST /v1/start` and answer when it has ended.

    Returns:
        The reply, or None to close the connection without an answer.
    """
    if worker.faults.drop_requests:
        worker.faults.drop_requests -= 1
        return None
    refusal = worker.find_refusal(message)
    if refusal is not None:
        return refuse(worker, refusal)
    ended = worker.run(message)
    if ended is None:
        return None
    if worker.faults.drop_replies:
        worker.faults.drop_replies -= 1
        return None
    body = {
        "verdict": "ran",
        "status": ended.status,
        "output": ended.output,
        "run_ms": ended.run_ms,
        "running": len(worker.tasks.running),
        "leaving": worker.faults.leaving,
    }
    return reply_json(200, body)


def refuse(worker: endpoint_worker.Worker, reason: str) -> servers.Reply:
    """Count a refusal and build the "not run" reply."""
    worker.counters.refused[reason] += 1
    body = {
        "verdict": "not_run",
        "reason": reason,
        "running": len(worker.tasks.running),
        "leaving": worker.faults.leaving,
    }
    return reply_json(409, body)


def answer_tasks(
    worker: endpoint_worker.Worker, message: endpoint_messages.TasksMessage
) -> servers.Reply:
    """Answer `POST /v1/tasks` with the state of each requested task."""
    if message.holder is not None:
        named = build_lease(worker, message)
        if not endpoint_leases.is_held(worker.leases, named, worker.clock()):
            return refuse(worker, "fenced")
    tasks = {task: _describe_task(worker, task) for task in message.tasks}
    body = {"tasks": tasks, "up_ms": worker.compute_up_ms()}
    return reply_json(200, body)


def _describe_task(worker: endpoint_worker.Worker, task_id: str) -> dict:
    now_s = worker.clock()
    running = worker.tasks.find_running(task_id)
    if running is not None:
        run_ms = round((now_s - running.started_s) * 1000, 3)
        return {"state": "running", "run_ms": run_ms}
    ended = worker.tasks.find_ended(task_id, now_s)
    if ended is None:
        return {"state": "unknown"}
    return {
        "state": "ended",
        "status": ended.status,
        "output": ended.output,
        "run_ms": ended.run_ms,
    }


def answer_stop(
    worker: endpoint_worker.Worker, message: endpoint_messages.StopMessage
) -> servers.Reply:
    """Answer `POST /v1/stop`; only the lease holder may stop tasks."""
    lease = worker.leases.lease
    named = endpoint_leases.Lease(
        lease.shard if lease else "", message.holder, message.epoch, 0.0
    )
    if not endpoint_leases.is_held(worker.leases, named, worker.clock()):
        return refuse(worker, "fenced")
    stopped = []
    for task_id in message.tasks:
        task = worker.tasks.find_running(task_id)
        if task is not None:
            task.ending.set("stopped")
            stopped.append(task_id)
    return reply_json(200, {"stopped": stopped})


def answer_usage(worker: endpoint_worker.Worker) -> servers.Reply:
    """Answer `GET /v1/usage` with the latest sample."""
    sample = worker.usage
    lag_ms = round((worker.clock() - sample.sampled_s) * 1000)
    body = {
        "running": sample.running,
        "slots": worker.settings.slots,
        "connections_used": sample.connections_used,
        "lag_ms": lag_ms,
    }
    return reply_json(200, body)


POST_HANDLERS = {
    "/v1/lease": (endpoint_messages.LeaseMessage, answer_lease),
    "/v1/release": (endpoint_messages.ReleaseMessage, answer_release),
    "/v1/start": (endpoint_messages.StartMessage, answer_start),
    "/v1/tasks": (endpoint_messages.TasksMessage, answer_tasks),
    "/v1/stop": (endpoint_messages.StopMessage, answer_stop),
}


def answer_request(
    worker: endpoint_worker.Worker, request: servers.Request
) -> servers.Reply | None:
    """Route a request to its handler after validating the body."""
    worker.counters.requests += 1
    if request.method == "GET" and request.path == "/v1/usage":
        return answer_usage(worker)
    if request.method != "POST" or request.path not in POST_HANDLERS:
        return reply_json(404, {"error": "not found"})
    message_type, answer = POST_HANDLERS[request.path]
    try:
        message = message_type.model_validate_json(request.body)
    except pydantic.ValidationError as error:
        worker.counters.refused["bad_request"] += 1
        body = {
            "verdict": "not_run",
            "reason": "bad_request",
            "field": get_invalid_field(error),
        }
        return reply_json(400, body)
    return answer(worker, message)


def build_application(
    worker: endpoint_worker.Worker,
    control: Callable[[servers.Request], servers.Reply],
) -> servers.Application:
    """Build the application that serves the port of one worker.

    Args:
        worker: The worker.
        control: Answers the requests whose path starts with `/control/`.
    """

    def answer(request: servers.Request) -> servers.Reply | None:
        if request.path.startswith("/control/"):
            return control(request)
        stall_left_s = worker.faults.stalled_until_s - worker.clock()
        if stall_left_s > 0:
            gevent.sleep(stall_left_s)
        reply = None
        if not worker.faults.silent and not request.connection.silent:
            reply = answer_request(worker, request)
        if worker.faults.silent or request.connection.silent:
            request.connection.discard_input()
            return None
        return reply

    return answer
