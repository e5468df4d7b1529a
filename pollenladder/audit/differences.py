"""The difference between two states of the declarations."""

from collections.abc import Iterator
import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class Change:
    """A field whose value differs.

    Attributes:
        path: The path of the field, such as `plans.gold.allowance.burst`.
            Items of lists are named by id instead of index.
        before: The old JSON value; None if there was none.
        after: The new JSON value; None if there is none.
    """

    path: str
    before: Any
    after: Any


# Names of lists whose items have an id, and the field that holds the id.
ID_FIELDS = {
    "customers": "id",
    "operators": "id",
    "plans": "id",
    "kinds": "name",
}


def compare(before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    """Return the changes from one state of the files to another.

    Args:
        before: The old values of customers.json and plans.json, merged into
            one object; empty if there are no declarations yet.
        after: The new values, merged in the same way.
    """
    return list(_compare("", _key_lists_by_id(before), _key_lists_by_id(after)))


def summarize(changes: list[Change]) -> str:
    """Return one line that lists the added, removed and changed paths."""
    added = [c.path for c in changes if c.before is None]
    removed = [c.path for c in changes if c.after is None]
    changed = [
        c.path for c in changes if c.before is not None and c.after is not None
    ]
    groups = (("add", added), ("remove", removed), ("change", changed))
    return "; ".join(
        f"{verb} {', '.join(paths)}" for verb, paths in groups if paths
    )


def _key_lists_by_id(value: Any, name: str = "") -> Any:
    """Replace each list of items with ids by an object keyed by id."""
    if isinstance(value, dict):
        return {key: _key_lists_by_id(item, key) for key, item in value.items()}
    field = ID_FIELDS.get(name)
    is_list = isinstance(value, list)
    if not is_list or not all(isinstance(item, dict) for item in value):
        return value
    if field is None:
        return value
    return {item[field]: _key_lists_by_id(item) for item in value}


def _compare(path: str, before: Any, after: Any) -> Iterator[Change]:
    """Yield the changes of the value at a path, field by field."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before != after:
            yield Change(path, before, after)
        return
    missing_value = None if path else {}
    for key in [*before, *(key for key in after if key not in before)]:
        inner_path = f"{path}.{key}" if path else key
        old, new = before.get(key, missing_value), after.get(key, missing_value)
        yield from _compare(inner_path, old, new)
