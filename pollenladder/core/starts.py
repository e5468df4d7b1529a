"""Starts of tasks on workers, and the report of how each start ended."""

from collections.abc import Callable
import dataclasses
import logging

import gevent

from pollenladder.core import clocks
from pollenladder.core import verdicts
from pollenladder.dispatch import tables
from pollenladder.endpoints import client
from pollenladder.endpoints import outcomes
from pollenladder.membership import ownership

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that `TaskStarter` calls.

    Attributes:
        get_client: Return the client of a worker, or None if it is unknown.
        on_outcome: Called once with each start and its result.
    """

    get_client: Callable[[str], client.EndpointClient | None]
    on_outcome: Callable[[tables.StartTask, verdicts.TaskResult], None]


class TaskStarter:
    """Sends each start to its worker in a separate greenlet."""

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._shards = shard_tables
        self._callbacks = callbacks
        self._clock = clock

    def start(self, effect: tables.StartTask) -> None:
        """Start a task in the background; its outcome is reported once."""
        gevent.spawn(self._run, effect)

    def stop(self, effect: tables.StopTasks) -> None:
        """Stop tasks in the background, without waiting for the response."""
        gevent.spawn(self._stop, effect)

    def _run(self, effect: tables.StartTask) -> None:
        try:
            result = self._send_start(effect)
        except Exception:
            LOGGER.exception("start %s failed", effect.start_id)
            result = _build_result(
                effect,
                verdicts.Verdict.MAY_HAVE_RUN,
                verdicts.Reason.BAD_REPLY,
            )
        self._callbacks.on_outcome(effect, result)

    def _send_start(self, effect: tables.StartTask) -> verdicts.TaskResult:
        worker_ref = effect.worker_ref
        shard = self._shards[worker_ref.shard_id]
        endpoint = self._callbacks.get_client(worker_ref.worker_id)
        sent_at = self._clock()
        # The lease may have expired since the decision: check it again.
        if endpoint is None or not ownership.may_start(
            shard.ownership, worker_ref.worker_id, sent_at
        ):
            return _build_result(
                effect, verdicts.Verdict.NOT_RUN, verdicts.Reason.FENCED
            )
        request = _build_request(shard, effect)
        outcome = endpoint.start(request, effect.wait_s)
        self._record_reply(shard, effect, outcome, sent_at)
        return verdicts.TaskResult(
            effect.task.task_id,
            outcome.verdict,
            outcome.reason,
            outcome.output,
            outcome.run_s,
        )

    def _record_reply(
        self,
        shard: tables.Shard,
        effect: tables.StartTask,
        outcome: outcomes.StartOutcome,
        sent_at: float,
    ) -> None:
        """Record what the reply implies for the lease and the worker."""
        now = self._clock()
        worker = shard.workers.get(effect.worker_ref.worker_id)
        if outcome.verdict is verdicts.Verdict.RAN:
            ownership.record_started(
                shard.ownership, effect.worker_ref.worker_id, sent_at, now
            )
        if outcome.reason is verdicts.Reason.FENCED:
            ownership.record_lease_lost(
                shard.ownership, effect.worker_ref.worker_id, now
            )
        if worker and outcome.leaving:
            worker.leaving = True

    def _stop(self, effect: tables.StopTasks) -> None:
        endpoint = self._callbacks.get_client(effect.worker_ref.worker_id)
        if endpoint is None:
            return
        shard = self._shards[effect.worker_ref.shard_id]
        lease = _get_lease(shard, effect.worker_ref.worker_id)
        endpoint.stop_tasks(list(effect.start_ids), lease)


def _get_lease(shard: tables.Shard, worker_id: str) -> outcomes.Lease:
    epoch = ownership.get_lease_epoch(shard.ownership, worker_id)
    return outcomes.Lease(shard.shard_id, shard.daemon_id, epoch)


def _build_request(
    shard: tables.Shard, effect: tables.StartTask
) -> outcomes.Start:
    return outcomes.Start(
        task_id=effect.start_id,
        job_id=effect.job_id,
        customer_id=effect.flow_id[0],
        plan_id=effect.flow_id[1],
        kind=effect.task.kind,
        lease=_get_lease(shard, effect.worker_ref.worker_id),
        ttl_s=shard.limits.lease_ttl_s,
        max_run_s=effect.max_run_s,
        payload=effect.task.payload,
    )


def _build_result(
    effect: tables.StartTask,
    verdict: verdicts.Verdict,
    reason: verdicts.Reason,
) -> verdicts.TaskResult:
    return verdicts.TaskResult(effect.task.task_id, verdict, reason)
