"""The difference between two states of the declarations."""

from collections.abc import Iterator
import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class Change:
    """A field that differs.

    Attributes:
        path: Such as `plans.gold.allowance.burst`; ids stand for indexes.
        before: Any JSON value; None if there was none.
        after: Any JSON value; None if there is none.
    """

    path: str
    before: Any
    after: Any


# Lists whose items have an identity, and the field that holds it.
IDENTITIES = {
    "customers": "id",
    "operators": "id",
    "plans": "id",
    "kinds": "name",
}


def compare(before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    """Return the changes between the files as they were and as they will be.

    Args:
        before: The values of customers.json and plans.json, merged into one
            object; empty for "none yet".
        after: The same, later.
    """
    return list(_compare("", _index(before), _index(after)))


def summarize(changes: list[Change]) -> str:
    """Return one line that names what was added, removed and changed."""
    added = [c.path for c in changes if c.before is None]
    removed = [c.path for c in changes if c.after is None]
    changed = [
        c.path for c in changes if c.before is not None and c.after is not None
    ]
    parts = (("add", added), ("remove", removed), ("change", changed))
    return "; ".join(
        f"{verb} {', '.join(paths)}" for verb, paths in parts if paths
    )


def _index(value: Any, name: str = "") -> Any:
    """Turn lists of items with an identity into objects by identity."""
    if isinstance(value, dict):
        return {key: _index(item, key) for key, item in value.items()}
    field = IDENTITIES.get(name)
    is_list = isinstance(value, list)
    if not is_list or not all(isinstance(item, dict) for item in value):
        return value
    if field is None:
        return value
    return {item[field]: _index(item) for item in value}


def _compare(path: str, before: Any, after: Any) -> Iterator[Change]:
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before != after:
            yield Change(path, before, after)
        return
    absent = None if path else {}
    for key in [*before, *(key for key in after if key not in before)]:
        inner = f"{path}.{key}" if path else key
        old, new = before.get(key, absent), after.get(key, absent)
        yield from _compare(inner, old, new)
