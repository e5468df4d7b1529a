"""What changes between two versions of the declarations' row.

A row has lists of entries with ids. A delta holds the entries that are new or
changed and the ids of those that are gone, so that a change of one plan does
not send all of them to every daemon.
"""

from typing import Any

# Where the lists are in a row's value.
LISTS = (
    ("customers", "customers"),
    ("customers", "operators"),
    ("plans", "plans"),
)


def build(old: Any, new: Any) -> Any:
    """Return the delta that makes one row's value the other, or None.

    Returns:
        `{head, lists}` in JSON values: the value without its lists, and by
        list the changed entries and the ids removed. None if the values are
        too unlike each other to be told so.
    """
    try:
        delta = _build(old, new)
        return delta if apply(old, delta) == new else None
    except (AttributeError, KeyError, TypeError):
        return None


def apply(old: Any, delta: Any) -> Any:
    """Return the row's value that a delta makes of an older one.

    Raises:
        AttributeError, KeyError, TypeError: It is a delta of another value.
    """
    value = dict(delta["head"])
    for part, name in LISTS:
        changes = delta["lists"][f"{part}.{name}"]
        entries = _index(old, part, name)
        for entry_id in changes["removed"]:
            del entries[entry_id]
        for entry in changes["set"]:
            entries[entry["id"]] = entry
        value.setdefault(part, {})
        value[part] = value[part] | {name: list(entries.values())}
    return value


def _build(old: Any, new: Any) -> dict[str, Any]:
    head = dict(new)
    lists = {}
    for part, name in LISTS:
        before, after = _index(old, part, name), _index(new, part, name)
        lists[f"{part}.{name}"] = {
            "set": [
                entry
                for entry_id, entry in after.items()
                if before.get(entry_id) != entry
            ],
            "removed": [key for key in before if key not in after],
        }
        rest = {key: value for key, value in head[part].items() if key != name}
        head[part] = rest
    return {"head": head, "lists": lists}


def _index(value: Any, part: str, name: str) -> dict[str, Any]:
    return {entry["id"]: entry for entry in value[part].get(name, [])}
