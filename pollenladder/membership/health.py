"""Rate the health of workers by the results of their tasks.

A worker's score is the sum of the log-likelihood ratios of its results, but at
least 0. The ratio compares how likely a result is on a broken worker and on the
worker's peers, for the same kind of task. Failures raise the score, and
successes lower it. A kind of task that fails on all workers therefore doesn't
count against any of them.
"""

from collections.abc import Iterable
import dataclasses
import math

from pollenladder.core import verdicts

# Failure rate that is assumed of a broken worker.
BROKEN_FAILURE_RATE = 0.95
# Lower bound of the peers' failure rate. It limits how much one failure adds to
# the score.
MIN_PEER_FAILURE_RATE = 0.02
# Score from which a worker is quarantined. A score of 0 reaches it with the
# third failure in a row, if other workers hardly ever fail with that kind of
# task.
QUARANTINE_SCORE = 11.0
# Assumed results that are added to the measured ones when the peers' failure
# rate is computed; half of them are failures.
PRIOR_RESULTS = 2.0
# Time in which the weight of a result in the tallies halves.
TALLY_HALF_LIFE_S = 20.0

FIRST_QUARANTINE_S = 2.0
MAX_QUARANTINE_S = 30.0
READMIT_SUCCESSES = 3
# If a worker is quarantined again within this time of its readmission, the
# quarantine is twice as long as the last one, up to `MAX_QUARANTINE_S`.
RELAPSE_WINDOW_S = 120.0
# Limits the lost capacity if many workers fail at once.
MAX_QUARANTINED_FRACTION = 1 / 4

# Weight of the newest run time in the moving average of its kind, and of the
# newest slowness in the moving average of its worker.
KIND_SMOOTHING = 0.01
WORKER_SMOOTHING = 0.05
# A worker with at least this relative speed counts as fast as its peers.
SPEED_DEADBAND = 0.75
# Lower bound of the relative speed that `get_speed` returns.
MIN_SPEED = 0.05

# Kind under which failures to reach a worker are tallied, whatever the kind of
# the task.
LINK_KIND = ""
LINK_FAILURES = frozenset(
    {
        verdicts.Reason.UNREACHABLE,
        verdicts.Reason.CONNECTION_LOST,
        verdicts.Reason.NO_REPLY,
        verdicts.Reason.BAD_REPLY,
    }
)


@dataclasses.dataclass
class Tally:
    """Exponentially decaying counts of results.

    Attributes:
        ok: Decayed number of successes.
        failed: Decayed number of failures.
        decayed_at: When the numbers were last decayed, in monotonic seconds.
    """

    ok: float = 0.0
    failed: float = 0.0
    decayed_at: float = 0.0


@dataclasses.dataclass
class WorkerHealth:
    """Health of one worker.

    Times are in monotonic seconds.

    Attributes:
        worker_id: The worker.
        score: Evidence that the worker is broken; 0 or more.
        tallies: Its results by kind.
        quarantined: Whether it is in quarantine or on probation.
        quarantined_until: End of its quarantine; its probation follows.
        next_quarantine_s: Length of its next quarantine, in seconds.
        successes: Successes in a row on probation.
        readmitted_at: When its last probation ended.
        log_slowness: Moving average of the log of (run time / geometric mean
            run time of that kind on the shard); 0 is as fast as the peers.
    """

    worker_id: str
    score: float = 0.0
    tallies: dict[str, Tally] = dataclasses.field(default_factory=dict)
    quarantined: bool = False
    quarantined_until: float = -math.inf
    next_quarantine_s: float = FIRST_QUARANTINE_S
    successes: int = 0
    readmitted_at: float = -math.inf
    log_slowness: float = 0.0


@dataclasses.dataclass
class ShardHealth:
    """Health of the workers of one shard.

    Attributes:
        workers: Health of the workers that have had a result, by worker id.
        tallies: Results of all workers by kind.
        log_run_s: Moving average of the log of the run time by kind.
        listed: Ids of the shard's workers; empty until `set_workers` is called.
    """

    workers: dict[str, WorkerHealth] = dataclasses.field(default_factory=dict)
    tallies: dict[str, Tally] = dataclasses.field(default_factory=dict)
    log_run_s: dict[str, float] = dataclasses.field(default_factory=dict)
    listed: frozenset[str] = frozenset()


def set_workers(shard: ShardHealth, worker_ids: Iterable[str]) -> None:
    """Replace the list of the shard's workers, and forget all others.

    If more workers are in quarantine than the new list allows, those with the
    lowest scores are readmitted. Their `RELAPSE_WINDOW_S` counts from the
    planned end of the quarantine.
    """
    shard.listed = frozenset(worker_ids)
    shard.workers = {
        w: worker for w, worker in shard.workers.items() if w in shard.listed
    }
    quarantined = _list_quarantined(shard)
    for surplus in quarantined[compute_max_quarantined(len(shard.listed)) :]:
        _readmit(surplus, surplus.quarantined_until)


def compute_max_quarantined(workers: int) -> int:
    """Return how many of the workers may be in quarantine at once."""
    return max(1, int(workers * MAX_QUARANTINED_FRACTION))


def record_result(
    shard: ShardHealth,
    worker_id: str,
    kind: str,
    reason: verdicts.Reason,
    run_s: float,
    now: float,
) -> None:
    """Update a worker's health with the result of a task that was sent to it.

    Args:
        shard: Health of the shard's workers.
        worker_id: The worker that the task was sent to.
        kind: The task's kind.
        reason: How the task ended. Reasons that are no evidence of the worker's
            health (busy, fenced, leaving, stopped) are ignored.
        run_s: Run time in seconds; used if the task succeeded.
        now: Monotonic time in seconds.
    """
    if shard.listed and worker_id not in shard.listed:
        return
    worker = shard.workers.setdefault(worker_id, WorkerHealth(worker_id))
    if reason is verdicts.Reason.OK:
        _record_speed(shard, worker, kind, run_s)
        _record_outcome(shard, worker, LINK_KIND, True, now)
        _record_outcome(shard, worker, kind, True, now)
    elif reason is verdicts.Reason.TASK_ERROR:
        _record_outcome(shard, worker, LINK_KIND, True, now)
        _record_outcome(shard, worker, kind, False, now)
    elif reason in LINK_FAILURES:
        _record_outcome(shard, worker, LINK_KIND, False, now)


def list_usable(
    shard: ShardHealth, worker_ids: Iterable[str], now: float
) -> list[str]:
    """Return those of the workers that may be given a task now, sorted."""
    return sorted(w for w in worker_ids if get_task_limit(shard, w, 1, now) > 0)


def get_task_limit(
    shard: ShardHealth, worker_id: str, slots: int, now: float
) -> int:
    """Return how many tasks the worker may run at once.

    Returns:
        0 in quarantine, 1 on probation, else `slots`.
    """
    worker = shard.workers.get(worker_id)
    if worker is None or not worker.quarantined:
        return slots
    return min(1, slots) if now >= worker.quarantined_until else 0


def get_speed(shard: ShardHealth, worker_id: str) -> float:
    """Return the worker's speed relative to its peers; 1.0 is equally fast."""
    worker = shard.workers.get(worker_id)
    if worker is None:
        return 1.0
    speed = math.exp(-worker.log_slowness)
    if speed >= SPEED_DEADBAND:
        return 1.0
    return max(MIN_SPEED, speed)


def is_quarantined(shard: ShardHealth, worker_id: str) -> bool:
    """Return whether the worker is in quarantine or on probation."""
    worker = shard.workers.get(worker_id)
    return worker is not None and worker.quarantined


def list_quarantined(shard: ShardHealth) -> list[str]:
    """Return the workers in quarantine or on probation, sorted."""
    return sorted(worker.worker_id for worker in _list_quarantined(shard))


def _list_quarantined(shard: ShardHealth) -> list[WorkerHealth]:
    """Return the workers in quarantine or on probation, highest score first."""
    workers = [
        worker for worker in shard.workers.values() if worker.quarantined
    ]
    return sorted(workers, key=lambda worker: (-worker.score, worker.worker_id))


def _record_outcome(
    shard: ShardHealth, worker: WorkerHealth, kind: str, ok: bool, now: float
) -> None:
    """Add a result to the tallies, and update the worker's score or probation.

    Args:
        shard: Health of the shard's workers.
        worker: The worker.
        kind: The task's kind, or `LINK_KIND`.
        ok: Whether the result is a success.
        now: Monotonic time in seconds.
    """
    total = _decay(shard.tallies.setdefault(kind, Tally(decayed_at=now)), now)
    own = _decay(worker.tallies.setdefault(kind, Tally(decayed_at=now)), now)
    peer_rate = _compute_peer_rate(total, own)
    _count_result(total, ok)
    _count_result(own, ok)
    if worker.quarantined:
        # A failure doesn't count on probation if tasks of its kind mostly fail
        # on other workers, too.
        if not ok and peer_rate > 1 / 2:
            return
        # All other results count, except a successful connection: it doesn't
        # prove that the worker can run tasks.
        if not (ok and kind == LINK_KIND):
            _record_probation_result(worker, ok, now)
        return
    worker.score = max(
        0.0, worker.score + _compute_evidence(ok, peer_rate, kind)
    )
    if worker.score >= QUARANTINE_SCORE:
        _quarantine(shard, worker, now)


def _compute_peer_rate(total: Tally, own: Tally) -> float:
    """Return the failure rate of all other workers, smoothed by the prior."""
    failed = max(0.0, total.failed - own.failed)
    ok = max(0.0, total.ok - own.ok)
    return (failed + PRIOR_RESULTS / 2) / (failed + ok + PRIOR_RESULTS)


def _compute_evidence(ok: bool, peer_rate: float, kind: str) -> float:
    """Return the log-likelihood ratio of a result.

    The ratio is the likelihood on a broken worker divided by that on the peers.
    """
    if ok and kind == LINK_KIND:
        return 0.0
    rate = min(BROKEN_FAILURE_RATE, max(MIN_PEER_FAILURE_RATE, peer_rate))
    if ok:
        return math.log((1 - BROKEN_FAILURE_RATE) / (1 - rate))
    return math.log(BROKEN_FAILURE_RATE / rate)


def _quarantine(shard: ShardHealth, worker: WorkerHealth, now: float) -> None:
    """Quarantine a worker unless too many workers are quarantined already.

    In either case the score is limited to the threshold.
    """
    worker.score = QUARANTINE_SCORE
    allowed = compute_max_quarantined(len(shard.listed or shard.workers))
    if len(_list_quarantined(shard)) >= allowed:
        return
    if now - worker.readmitted_at > RELAPSE_WINDOW_S:
        worker.next_quarantine_s = FIRST_QUARANTINE_S
    worker.quarantined = True
    worker.successes = 0
    _extend_quarantine(worker, now)


def _record_probation_result(
    worker: WorkerHealth, ok: bool, now: float
) -> None:
    """Readmit a worker after enough successes, or quarantine it again."""
    if now < worker.quarantined_until:
        # The task was started before the quarantine.
        return
    if not ok:
        worker.successes = 0
        _extend_quarantine(worker, now)
        return
    worker.successes += 1
    if worker.successes >= READMIT_SUCCESSES:
        _readmit(worker, now)


def _extend_quarantine(worker: WorkerHealth, now: float) -> None:
    """Quarantine a worker from `now`, and double its next quarantine."""
    worker.quarantined_until = now + worker.next_quarantine_s
    worker.next_quarantine_s = min(
        MAX_QUARANTINE_S, worker.next_quarantine_s * 2
    )


def _readmit(worker: WorkerHealth, now: float) -> None:
    worker.quarantined = False
    worker.score = 0.0
    worker.readmitted_at = now


def _record_speed(
    shard: ShardHealth, worker: WorkerHealth, kind: str, run_s: float
) -> None:
    """Update the mean run time of the kind and the worker's slowness."""
    if run_s <= 0:
        return
    log_run_s = math.log(run_s)
    mean_log = shard.log_run_s.setdefault(kind, log_run_s)
    shard.log_run_s[kind] = mean_log + KIND_SMOOTHING * (log_run_s - mean_log)
    slowness = log_run_s - mean_log
    worker.log_slowness += WORKER_SMOOTHING * (slowness - worker.log_slowness)


def _decay(tally: Tally, now: float) -> Tally:
    """Decay the counts in place for the time since they were last decayed."""
    if now > tally.decayed_at:
        factor = 0.5 ** ((now - tally.decayed_at) / TALLY_HALF_LIFE_S)
        tally.ok *= factor
        tally.failed *= factor
        tally.decayed_at = now
    return tally


def _count_result(tally: Tally, ok: bool) -> None:
    if ok:
        tally.ok += 1
    else:
        tally.failed += 1
