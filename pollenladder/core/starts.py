"""Start tasks on workers, once each, and report how they ended."""

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
class Outlets:
    """Functions that starts call.

    Attributes:
        get_client: Return the client of a worker, or None if it is unknown.
        on_outcome: Take in the end of a start.
    """

    get_client: Callable[[str], client.EndpointClient | None]
    on_outcome: Callable[[tables.StartTask, verdicts.TaskResult], None]


class Starts:
    """Runs each start in a greenlet of its own."""

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        outlets: Outlets,
        clock: clocks.Clock,
    ):
        self._shards = shard_tables
        self._outlets = outlets
        self._clock = clock

    def start(self, effect: tables.StartTask) -> None:
        """Begin a start; its outcome is reported once."""
        gevent.spawn(self._run, effect)

    def stop(self, effect: tables.StopTasks) -> None:
        """Ask a worker to stop tasks; nothing waits for the answer."""
        gevent.spawn(self._stop, effect)

    def _run(self, effect: tables.StartTask) -> None:
        try:
            result = self._ask(effect)
        except Exception:
            LOGGER.exception("start of %s", effect.start_id)
            result = _describe(
                effect,
                verdicts.Verdict.MAY_HAVE_RUN,
                verdicts.Reason.BAD_REPLY,
            )
        self._outlets.on_outcome(effect, result)

    def _ask(self, effect: tables.StartTask) -> verdicts.TaskResult:
        place = effect.worker_ref
        shard = self._shards[place.shard_id]
        endpoint = self._outlets.get_client(place.worker_id)
        sent_at = self._clock()
        # Time may have passed since the decision: look again before sending.
        if endpoint is None or not ownership.may_start(
            shard.ownership, place.worker_id, sent_at
        ):
            return _describe(
                effect, verdicts.Verdict.NOT_RUN, verdicts.Reason.FENCED
            )
        request = _build_request(shard, effect)
        outcome = endpoint.start(request, effect.wait_s)
        self._learn(shard, effect, outcome, sent_at)
        return verdicts.TaskResult(
            effect.task.task_id,
            outcome.verdict,
            outcome.reason,
            outcome.output,
            outcome.run_s,
        )

    def _learn(
        self,
        shard: tables.Shard,
        effect: tables.StartTask,
        outcome: outcomes.StartOutcome,
        sent_at: float,
    ) -> None:
        """Note what the reply says of the lease and of the worker."""
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
        endpoint = self._outlets.get_client(effect.worker_ref.worker_id)
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


def _describe(
    effect: tables.StartTask,
    verdict: verdicts.Verdict,
    reason: verdicts.Reason,
) -> verdicts.TaskResult:
    return verdicts.TaskResult(effect.task.task_id, verdict, reason)
