"""Keys of non-idempotent jobs, held by the owner of their home shard.

A key is `<shard>~<epoch>~<window>~<own>`; the first three parts are the stamp that
the owner issued. An owner has every key of its own epoch in the current and the
previous window, so a key it does not hold has never been used. Of any other
epoch or window nothing is known: such a key may have run.
"""

import dataclasses
import enum
import json

import xxhash

from pollenladder.core import entities
from pollenladder.core import verdicts

SEPARATOR = "~"
WINDOW_S = 300.0
MAX_KEYS = 100_000
# Results of tasks kept in answers; beyond them the oldest answers are forgotten.
MAX_HELD_RESULTS = 50_000


@dataclasses.dataclass(frozen=True)
class Key:
    """The parts of a caller's key.

    Attributes:
        shard_id: The home shard.
        epoch: The epoch of the owner that issued the stamp.
        window: The number of the window within the epoch.
        customer_id: Whose key it is; customers do not share keys.
        own: The caller's part.
    """

    shard_id: str
    epoch: int
    window: int
    customer_id: str
    own: str

    @property
    def owner_and_own(self) -> tuple[str, str]:
        """Return what tells the key from others of its window."""
        return self.customer_id, self.own


class KeyState(enum.Enum):
    """What the home of a key says of it."""

    NEW = "new"
    RUNNING = "running"
    ANSWERED = "answered"
    MAY_HAVE_RUN = "may_have_run"
    FULL = "full"


@dataclasses.dataclass
class Entry:
    """A key in use.

    Attributes:
        job_id: The job that has it.
        fingerprint: That job's plan and tasks, digested.
        answer: The job's answer, once there is one.
        is_forgotten: Whether there was one, which is not kept any more.
    """

    job_id: str
    fingerprint: bytes
    answer: verdicts.Answer | None = None
    is_forgotten: bool = False


@dataclasses.dataclass
class KeyTable:
    """Keys of one owner's epoch, by window and own part.

    Attributes:
        shard_id: The home shard.
        epoch: The owner's epoch.
        began_at: When the epoch began, on the owner's clock.
        windows: Entries by window number; the current and the previous one.
        answered: Results kept in each answer, the oldest first.
        held_results: Their sum.
    """

    shard_id: str
    epoch: int
    began_at: float
    windows: dict[int, dict[tuple[str, str], Entry]] = dataclasses.field(
        default_factory=dict
    )
    answered: dict[Key, int] = dataclasses.field(default_factory=dict)
    held_results: int = 0


def parse_key(text: str, customer_id: str) -> Key | None:
    """Return the parts of a key, or None if it has no valid stamp."""
    parts = text.split(SEPARATOR, 3)
    if len(parts) != 4 or not parts[3]:
        return None
    shard_id, epoch, window, own = parts
    if not (epoch.isascii() and epoch.isdigit()):
        return None
    if not (window.isascii() and window.isdigit()):
        return None
    return Key(shard_id, int(epoch), int(window), customer_id, own)


def compute_fingerprint(job: entities.Job) -> bytes:
    """Return a digest of what a job runs, without its callers' hints."""
    tasks = [[task.task_id, task.kind, task.payload] for task in job.tasks]
    text = json.dumps([job.plan_id, tasks], sort_keys=True)
    return xxhash.xxh3_128_digest(text.encode())


def get_window(table: KeyTable, now: float) -> int:
    """Return the number of the current window."""
    return int((now - table.began_at) // WINDOW_S)


def format_stamp(table: KeyTable, now: float) -> str:
    """Return the stamp to issue now."""
    window = get_window(table, now)
    return SEPARATOR.join((table.shard_id, str(table.epoch), str(window)))


def get_stamp_expiry_s(table: KeyTable, now: float) -> float:
    """Return for how long new keys with the current stamp are accepted."""
    ends_at = table.began_at + (get_window(table, now) + 2) * WINDOW_S
    return ends_at - now


def drop_old_windows(table: KeyTable, now: float) -> None:
    """Forget the keys of windows that are no longer accepted."""
    oldest = get_window(table, now) - 1
    for window in [w for w in table.windows if w < oldest]:
        del table.windows[window]
    for key in [k for k in table.answered if k.window < oldest]:
        table.held_results -= table.answered.pop(key)


def use_key(
    table: KeyTable,
    key: Key,
    job_id: str,
    fingerprint: bytes,
    now: float,
) -> tuple[KeyState, Entry | None]:
    """Take a key for a job, or say what became of it.

    Returns:
        NEW and the new entry; RUNNING or ANSWERED and the entry that has the
        key; MAY_HAVE_RUN or FULL and None.
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
        entry = entries[key.owner_and_own] = Entry(job_id, fingerprint)
        return KeyState.NEW, entry
    if entry.is_forgotten:
        return KeyState.MAY_HAVE_RUN, None
    state = KeyState.RUNNING if entry.answer is None else KeyState.ANSWERED
    return state, entry


def release_key(table: KeyTable, key: Key) -> None:
    """Forget a key whose job has certainly not run, so it can be used again."""
    table.windows.get(key.window, {}).pop(key.owner_and_own, None)


def record_answer(table: KeyTable, key: Key, answer: verdicts.Answer) -> None:
    """Keep the final answer of the job that has the key, as long as fits."""
    entry = table.windows.get(key.window, {}).get(key.owner_and_own)
    if entry is None:
        return
    entry.answer = answer
    table.answered[key] = len(getattr(answer, "results", ()))
    table.held_results += table.answered[key]
    while table.held_results > MAX_HELD_RESULTS:
        _forget_oldest(table)


def _forget_oldest(table: KeyTable) -> None:
    """Drop the oldest answer; of its key only "may have run" can be said."""
    key = next(iter(table.answered))
    table.held_results -= table.answered.pop(key)
    entry = table.windows[key.window][key.owner_and_own]
    entry.answer = None
    entry.is_forgotten = True


def relabel(answer: verdicts.Answer, job_id: str) -> verdicts.Answer:
    """Return an answer as that of a job submitted again with the same key."""
    return dataclasses.replace(answer, job_id=job_id)
