"""List the pairs of queues that slow each other down, from logs of daemons."""

from collections.abc import Iterable
import dataclasses

from pollenladder.logs import explanations

CHANGED = "interference_changed"
DROPPED = "dropped"
CLAIMED = "ownership_claimed"


@dataclasses.dataclass(frozen=True)
class Pair:
    """A queue whose tasks run longer beside those of another one.

    Attributes:
        group: The group of workers whose owner knows the pair.
        queue: The queue.
        neighbour: The other queue.
        slowdown: Factor on the run time for each neighbour.
        lower_bound: Lower confidence bound of the slowdown.
        overlap: Evidence: sum of the overlaps of runs, in runs.
        since: When the owner logged the pair.
        daemon: The owner.
    """

    group: str
    queue: str
    neighbour: str
    slowdown: float
    lower_bound: float
    overlap: float
    since: str
    daemon: str


def list_pairs(lines: Iterable[explanations.Line]) -> list[Pair]:
    """Return the pairs that count after the last line.

    A new owner logs the pairs that it has taken over, so those of the owner
    before it no longer count. Lines that lack a field are skipped.
    """
    pairs: dict[tuple[str, str, str], Pair] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if line.event.name == CLAIMED:
            group = line.fields.get("group")
            pairs = {key: p for key, p in pairs.items() if key[0] != group}
        elif line.event.name == CHANGED:
            _apply_change(pairs, line)
    return [pairs[key] for key in sorted(pairs)]


def _apply_change(
    pairs: dict[tuple[str, str, str], Pair], line: explanations.Line
) -> None:
    fields = line.fields
    try:
        pair = Pair(
            str(fields["group"]),
            str(fields["queue"]),
            str(fields["neighbour"]),
            float(fields["slowdown"]),
            float(fields["lower_bound"]),
            float(fields["overlap"]),
            line.time,
            line.daemon,
        )
        is_dropped = fields["change"] == DROPPED
    except (KeyError, TypeError, ValueError):
        return
    key = (pair.group, pair.queue, pair.neighbour)
    pairs.pop(key, None)
    if not is_dropped:
        pairs[key] = pair
