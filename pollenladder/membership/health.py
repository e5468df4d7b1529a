"""Workers judged by the outcomes of their tasks against those of their peers.

Each failure adds to a worker's score by how much likelier it is at a broken
worker than at the worker's peers with the same kind of task; each success takes
from it. A kind that fails everywhere thus tells nothing of the worker.
"""

from collections.abc import Iterable
import dataclasses
import math

from pollenladder.core import verdicts

BROKEN_FAILURE_RATE = 0.95
MIN_PEER_FAILURE_RATE = 0.02
QUARANTINE_SCORE = 11.0
# Pseudo-results of a kind that nothing is known of, half of them failed.
PRIOR_RESULTS = 2.0
HALF_LIFE_S = 20.0

FIRST_PROBE_S = 2.0
MAX_PROBE_S = 30.0
READMIT_SUCCESSES = 3
# A worker quarantined again within this time waits longer than the last time.
RELAPSE_S = 120.0
MAX_QUARANTINED_PART = 1 / 4

KIND_SMOOTHING = 0.01
WORKER_SMOOTHING = 0.05
# Within this ratio to its peers a worker counts as being as fast as they are.
SPEED_DEADBAND = 0.75
MIN_SPEED = 0.05

# Failures of the way to the worker are judged together, whatever the kind.
LINK = ""
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
    """Results in recent times; older ones weigh less.

    Attributes:
        ok: Decayed number of successes.
        failed: Decayed number of failures.
        at: When the numbers were last decayed.
    """

    ok: float = 0.0
    failed: float = 0.0
    at: float = 0.0


@dataclasses.dataclass
class HealthRow:
    """What is known of one worker.

    Attributes:
        worker_id: The worker.
        score: Evidence that it is broken; 0 or more.
        tallies: Its results by kind.
        quarantined: Whether it is in quarantine or on probation.
        until: In quarantine until then, on probation afterwards.
        probe_s: The wait before its next probation.
        successes: Successes in a row on probation.
        readmitted_at: When it last left probation.
        log_slowness: Smoothed log of run time over that of its peers.
    """

    worker_id: str
    score: float = 0.0
    tallies: dict[str, Tally] = dataclasses.field(default_factory=dict)
    quarantined: bool = False
    until: float = -math.inf
    probe_s: float = FIRST_PROBE_S
    successes: int = 0
    readmitted_at: float = -math.inf
    log_slowness: float = 0.0


@dataclasses.dataclass
class ShardHealth:
    """The workers of one shard.

    Attributes:
        rows: By worker id.
        tallies: Results of all workers by kind.
        log_run_s: Smoothed log of the run time by kind.
        listed: Workers of the shard as last given.
    """

    rows: dict[str, HealthRow] = dataclasses.field(default_factory=dict)
    tallies: dict[str, Tally] = dataclasses.field(default_factory=dict)
    log_run_s: dict[str, float] = dataclasses.field(default_factory=dict)
    listed: frozenset[str] = frozenset()


def set_workers(table: ShardHealth, worker_ids: Iterable[str]) -> None:
    """Take over a new list of the shard's workers; forget all others."""
    table.listed = frozenset(worker_ids)
    table.rows = {w: r for w, r in table.rows.items() if w in table.listed}
    quarantined = _list_quarantined(table)
    for row in quarantined[compute_max_quarantined(len(table.listed)) :]:
        _readmit(row, row.until)


def compute_max_quarantined(workers: int) -> int:
    """Return how many of the workers may be in quarantine at once."""
    return max(1, int(workers * MAX_QUARANTINED_PART))


def record_result(
    table: ShardHealth,
    worker_id: str,
    kind: str,
    reason: verdicts.Reason,
    run_s: float,
    now: float,
) -> None:
    """Judge a worker by the end of a task that was sent to it.

    Args:
        table: The shard's workers.
        worker_id: Where the task was sent.
        kind: The task's kind.
        reason: How it ended; those that say nothing of the worker's health
            (busy, fenced, leaving, stopped) are ignored.
        run_s: Run time in seconds; used if the task succeeded.
        now: Monotonic time in seconds.
    """
    if table.listed and worker_id not in table.listed:
        return
    row = table.rows.setdefault(worker_id, HealthRow(worker_id))
    if reason is verdicts.Reason.OK:
        _record_speed(table, row, kind, run_s)
        _record_outcome(table, row, LINK, True, now)
        _record_outcome(table, row, kind, True, now)
    elif reason is verdicts.Reason.TASK_ERROR:
        _record_outcome(table, row, LINK, True, now)
        _record_outcome(table, row, kind, False, now)
    elif reason in LINK_FAILURES:
        _record_outcome(table, row, LINK, False, now)


def list_usable(
    table: ShardHealth, worker_ids: Iterable[str], now: float
) -> list[str]:
    """Return those of the workers that may be given a task now, sorted."""
    return sorted(w for w in worker_ids if get_task_limit(table, w, 1, now) > 0)


def get_task_limit(
    table: ShardHealth, worker_id: str, slots: int, now: float
) -> int:
    """Return how many tasks the worker may run at once.

    Returns:
        0 in quarantine, 1 on probation, else `slots`.
    """
    row = table.rows.get(worker_id)
    if row is None or not row.quarantined:
        return slots
    return min(1, slots) if now >= row.until else 0


def get_speed(table: ShardHealth, worker_id: str) -> float:
    """Return the worker's speed against its peers, 1.0 being as fast."""
    row = table.rows.get(worker_id)
    if row is None:
        return 1.0
    speed = math.exp(-row.log_slowness)
    if speed >= SPEED_DEADBAND:
        return 1.0
    return max(MIN_SPEED, speed)


def is_quarantined(table: ShardHealth, worker_id: str) -> bool:
    """Return whether the worker is in quarantine or on probation."""
    row = table.rows.get(worker_id)
    return row is not None and row.quarantined


def list_quarantined(table: ShardHealth) -> list[str]:
    """Return the workers in quarantine or on probation, sorted."""
    return sorted(row.worker_id for row in _list_quarantined(table))


def _list_quarantined(table: ShardHealth) -> list[HealthRow]:
    rows = [row for row in table.rows.values() if row.quarantined]
    return sorted(rows, key=lambda row: (-row.score, row.worker_id))


def _record_outcome(
    table: ShardHealth, row: HealthRow, kind: str, ok: bool, now: float
) -> None:
    total = _decay(table.tallies.setdefault(kind, Tally(at=now)), now)
    own = _decay(row.tallies.setdefault(kind, Tally(at=now)), now)
    peer_rate = _compute_peer_rate(total, own)
    _add(total, ok)
    _add(own, ok)
    if row.quarantined:
        # The failure of a kind that fails everywhere ends no probation.
        if not ok and peer_rate > 1 / 2:
            return
        # Successes of the link alone prove nothing.
        if not (ok and kind == LINK):
            _record_probe(row, ok, now)
        return
    row.score = max(0.0, row.score + _weigh(ok, peer_rate, kind))
    if row.score >= QUARANTINE_SCORE:
        _quarantine(table, row, now)


def _compute_peer_rate(total: Tally, own: Tally) -> float:
    """Return the failure rate of all other workers, smoothed."""
    failed = max(0.0, total.failed - own.failed)
    ok = max(0.0, total.ok - own.ok)
    return (failed + PRIOR_RESULTS / 2) / (failed + ok + PRIOR_RESULTS)


def _weigh(ok: bool, peer_rate: float, kind: str) -> float:
    """Return the log-likelihood of a broken worker over that of its peers."""
    if ok and kind == LINK:
        return 0.0
    rate = min(BROKEN_FAILURE_RATE, max(MIN_PEER_FAILURE_RATE, peer_rate))
    if ok:
        return math.log((1 - BROKEN_FAILURE_RATE) / (1 - rate))
    return math.log(BROKEN_FAILURE_RATE / rate)


def _quarantine(table: ShardHealth, row: HealthRow, now: float) -> None:
    row.score = QUARANTINE_SCORE
    allowed = compute_max_quarantined(len(table.listed or table.rows))
    if len(_list_quarantined(table)) >= allowed:
        return
    if now - row.readmitted_at > RELAPSE_S:
        row.probe_s = FIRST_PROBE_S
    row.quarantined = True
    row.successes = 0
    _postpone_probe(row, now)


def _record_probe(row: HealthRow, ok: bool, now: float) -> None:
    if now < row.until:
        # The task was started before the quarantine.
        return
    if not ok:
        row.successes = 0
        _postpone_probe(row, now)
        return
    row.successes += 1
    if row.successes >= READMIT_SUCCESSES:
        _readmit(row, now)


def _postpone_probe(row: HealthRow, now: float) -> None:
    row.until = now + row.probe_s
    row.probe_s = min(MAX_PROBE_S, row.probe_s * 2)


def _readmit(row: HealthRow, now: float) -> None:
    row.quarantined = False
    row.score = 0.0
    row.readmitted_at = now


def _record_speed(
    table: ShardHealth, row: HealthRow, kind: str, run_s: float
) -> None:
    if run_s <= 0:
        return
    log_run_s = math.log(run_s)
    usual = table.log_run_s.setdefault(kind, log_run_s)
    table.log_run_s[kind] = usual + KIND_SMOOTHING * (log_run_s - usual)
    slowness = log_run_s - usual
    row.log_slowness += WORKER_SMOOTHING * (slowness - row.log_slowness)


def _decay(tally: Tally, now: float) -> Tally:
    if now > tally.at:
        factor = 0.5 ** ((now - tally.at) / HALF_LIFE_S)
        tally.ok *= factor
        tally.failed *= factor
        tally.at = now
    return tally


def _add(tally: Tally, ok: bool) -> None:
    if ok:
        tally.ok += 1
    else:
        tally.failed += 1
