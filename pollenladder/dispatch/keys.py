"""Idempotency keys of jobs, stored by the owner of their home shard.

A key is `<shard>~<epoch>~<window>~<own part>`. The first three parts are the
stamp that the owner issued; the caller chooses the last. An owner stores every
used key whose stamp has its epoch and the current or the previous window, so
any other key with such a stamp is unused. Nothing is known of keys with other
stamps: their jobs may have run.
"""

import dataclasses
import enum
import json

import xxhash

from pollenladder.core import entities
from pollenladder.core import verdicts

SEPARATOR = "~"
# A stamp accepts new keys during its own window and the next one.
WINDOW_S = 300.0
# Keys stored in all windows together.
MAX_KEYS = 100_000
# Task results stored in answers; beyond this the oldest answers are deleted.
MAX_HELD_RESULTS = 50_000


@dataclasses.dataclass(frozen=True)
class Key:
    """The parts of a caller's key.

    Attributes:
        shard_id: The home shard.
        epoch: The epoch of the owner that issued the stamp.
        window: The number of the window within the epoch.
        customer_id: The customer; equal keys of two customers are distinct.
        own_part: The part that the caller chose.
    """

    shard_id: str
    epoch: int
    window: int
    customer_id: str
    own_part: str

    @property
    def owner_and_own(self) -> tuple[str, str]:
        """Return the customer id and own part, unique within a window."""
        return self.customer_id, self.own_part


class KeyState(enum.Enum):
    """What the owner of a key's home shard knows of the key.

    Attributes:
        NEW: The key was unused and now belongs to the job.
        RUNNING: The key's job has no answer yet.
        ANSWERED: The answer of the key's job is stored.
        MAY_HAVE_RUN: The key's job may have run; its answer isn't stored.
        FULL: The key is unused, but no more keys can be stored.
    """

    NEW = "new"
    RUNNING = "running"
    ANSWERED = "answered"
    MAY_HAVE_RUN = "may_have_run"
    FULL = "full"


@dataclasses.dataclass
class KeyEntry:
    """A used key.

    Attributes:
        job_id: The job that used it first.
        fingerprint: Digest of that job's plan and tasks.
        answer: The job's answer, once there is one.
        is_answer_forgotten: Whether the job's answer has been deleted to save
            memory.
    """

    job_id: str
    fingerprint: bytes
    answer: verdicts.Answer | None = None
    is_answer_forgotten: bool = False


@dataclasses.dataclass
class KeyTable:
    """The keys of one epoch of a shard.

    Attributes:
        shard_id: The home shard.
        epoch: The owner's epoch.
        began_at: The start of the epoch on the owner's monotonic clock, in
            seconds.
        windows: Entries of the current and the previous window, by window
            number, then by customer id and own part.
        result_counts: Number of results in each stored answer by key, the
            oldest answer first.
        held_results: Sum of the result counts.
    """

    shard_id: str
    epoch: int
    began_at: float
    windows: dict[int, dict[tuple[str, str], KeyEntry]] = dataclasses.field(
        default_factory=dict
    )
    result_counts: dict[Key, int] = dataclasses.field(default_factory=dict)
    held_results: int = 0


def parse_key(text: str, customer_id: str) -> Key | None:
    """Return the parsed key, or None if it has no well-formed stamp."""
    parts = text.split(SEPARATOR, 3)
    if len(parts) != 4 or not parts[3]:
        return None
    shard_id, epoch, window, own_part = parts
    if not (epoch.isascii() and epoch.isdigit()):
        return None
    if not (window.isascii() and window.isdigit()):
        return None
    return Key(shard_id, int(epoch), int(window), customer_id, own_part)


def compute_fingerprint(job: entities.Job) -> bytes:
    """Return a digest of a job's plan, task ids, kinds and payloads.

    Run times and sizes that the caller declares are left out.
    """
    tasks = [[task.task_id, task.kind, task.payload] for task in job.tasks]
    text = json.dumps([job.plan_id, tasks], sort_keys=True)
    return xxhash.xxh3_128_digest(text.encode())


def get_window(table: KeyTable, now: float) -> int:
    """Return the number of the current window."""
    return int((now - table.began_at) // WINDOW_S)


def format_stamp(table: KeyTable, now: float) -> str:
    """Return the stamp of the current window."""
    window = get_window(table, now)
    return SEPARATOR.join((table.shard_id, str(table.epoch), str(window)))


def get_stamp_expiry_s(table: KeyTable, now: float) -> float:
    """Return how many seconds new keys with the current stamp are accepted."""
    ends_at = table.began_at + (get_window(table, now) + 2) * WINDOW_S
    return ends_at - now


def drop_old_windows(table: KeyTable, now: float) -> None:
    """Delete the keys of windows that are no longer accepted."""
    oldest = get_window(table, now) - 1
    for window in [w for w in table.windows if w < oldest]:
        del table.windows[window]
    for key in [k for k in table.result_counts if k.window < oldest]:
        table.held_results -= table.result_counts.pop(key)


def use_key(
    table: KeyTable,
    key: Key,
    job_id: str,
    fingerprint: bytes,
    now: float,
) -> tuple[KeyState, KeyEntry | None]:
    """Assign an unused key to a job, or return the state of a used one.

    Args:
        table: The keys of the home shard.
        key: The key.
        job_id: The job that comes with the key.
        fingerprint: Digest of that job.
        now: Monotonic time in seconds.

    Returns:
        NEW and the new entry; RUNNING or ANSWERED and the entry of the job
        that used the key first; MAY_HAVE_RUN or FULL and None.
    """
    drop_old_windows(table, now)
    current = get_window(table, now)
    if key.shard_id != table.shard_id or key.epoch != table.epoch:
        return KeyState.MAY_HAVE_RUN, None
    if not current - 1 <= key.window <= current:
        return KeyState.MAY_HAVE_RUN, None
    entries = table.windows.setdefault(key.window, {})
    entry = entries.get(key.owner_and_own)
    if entry is None:
        if sum(map(len, table.windows.values())) >= MAX_KEYS:
            return KeyState.FULL, None
        entry = entries[key.owner_and_own] = KeyEntry(job_id, fingerprint)
        return KeyState.NEW, entry
    if entry.is_answer_forgotten:
        return KeyState.MAY_HAVE_RUN, None
    state = KeyState.RUNNING if entry.answer is None else KeyState.ANSWERED
    return state, entry


def release_key(table: KeyTable, key: Key) -> None:
    """Delete a key whose job has certainly not run, so it can be reused."""
    table.windows.get(key.window, {}).pop(key.owner_and_own, None)


def record_answer(table: KeyTable, key: Key, answer: verdicts.Answer) -> None:
    """Store the final answer of the key's job.

    The oldest stored answers are deleted while there are too many results.
    """
    entry = table.windows.get(key.window, {}).get(key.owner_and_own)
    if entry is None:
        return
    entry.answer = answer
    table.result_counts[key] = len(getattr(answer, "results", ()))
    table.held_results += table.result_counts[key]
    while table.held_results > MAX_HELD_RESULTS:
        _forget_oldest(table)


def _forget_oldest(table: KeyTable) -> None:
    """Delete the oldest answer; its key then reads as "may have run"."""
    key = next(iter(table.result_counts))
    table.held_results -= table.result_counts.pop(key)
    entry = table.windows[key.window][key.owner_and_own]
    entry.answer = None
    entry.is_answer_forgotten = True


def copy_for_job(answer: verdicts.Answer, job_id: str) -> verdicts.Answer:
    """Return a copy of an answer for a job resubmitted with the same key."""
    return dataclasses.replace(answer, job_id=job_id)
