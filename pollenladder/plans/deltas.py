"""Build and apply deltas between two versions of the declarations' table row.

The row's value contains lists of entries with ids. A delta contains the new and
changed entries and the ids of removed ones, so that a change of one plan
doesn't send all plans to every daemon.
"""

from typing import Any

# The lists of entries in a row's value, by section and name.
LIST_PATHS = (
    ("customers", "customers"),
    ("customers", "operators"),
    ("plans", "plans"),
)


def build(old: Any, new: Any) -> Any:
    """Return the delta from one value of the row to another, or None.

    Returns:
        `{head, lists}` in JSON values: the new value without its lists, and by
        list the new and changed entries and the removed ids. None if a value
        is malformed, or if applying the delta would not give the new value.
    """
    try:
        delta = _build(old, new)
        return delta if apply(old, delta) == new else None
    except (AttributeError, KeyError, TypeError):
        return None


def apply(old: Any, delta: Any) -> Any:
    """Return the value that results from applying a delta to an older value.

    Raises:
        AttributeError, KeyError, TypeError: The delta doesn't fit the value.
    """
    value = dict(delta["head"])
    for section, name in LIST_PATHS:
        changes = delta["lists"][f"{section}.{name}"]
        entries = _index(old, section, name)
        for entry_id in changes["removed"]:
            del entries[entry_id]
        for entry in changes["set"]:
            entries[entry["id"]] = entry
        value.setdefault(section, {})
        value[section] = value[section] | {name: list(entries.values())}
    return value


def _build(old: Any, new: Any) -> dict[str, Any]:
    head = dict(new)
    lists = {}
    for section, name in LIST_PATHS:
        before, after = _index(old, section, name), _index(new, section, name)
        lists[f"{section}.{name}"] = {
            "set": [
                entry
                for entry_id, entry in after.items()
                if before.get(entry_id) != entry
            ],
            "removed": [key for key in before if key not in after],
        }
        other_fields = {
            key: value for key, value in head[section].items() if key != name
        }
        head[section] = other_fields
    return {"head": head, "lists": lists}


def _index(value: Any, section: str, name: str) -> dict[str, Any]:
    return {entry["id"]: entry for entry in value[section].get(name, [])}
