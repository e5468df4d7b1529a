"""Rows that another writer puts among those of the workers.

They are like the rows of workers, but none can be used.
"""

import json

from standins import site as sites

KEY = "foreign"
_ROW = {
    "Service": sites.SERVICE,
    "Addr": f"{sites.HOST}:9",
    "Zone": "norte",
    "State": "ready",
    "Capacity": {"Cpu": 64_000, "MemMb": 131_072, "Gpu": 0},
    "Slots": 8,
    "Seq": 1,
}
_CHANGES = (
    {"Addr": "127.0.\ufffd\ufffd:8169"},
    {"Addr": "localhost:80"},
    {"Zone": 5000 * "n"},
    {"Capacity": {"Cpu": 2**53, "MemMb": 2**53}},
    {"State": "\ufffd"},
    {"Service": "unknown", "Zone": "unknown"},
    {"Addr": f"{sites.HOST}:65536"},
    {"Addr": f"{sites.HOST}:99999999999"},
    {"Addr": f"{sites.HOST}:0"},
    {"Addr": f"{sites.HOST}:-1"},
    {"Addr": f"{sites.HOST}: 80"},
    {"Addr": f"{sites.HOST}:\uff18\uff10"},
    {"Addr": "1." * 400 + "1:80"},
    {"Addr": "1." * 32_000 + "1:80"},
    {"Addr": "[::1]:80"},
    {"Capacity": {"Cpu": 2**63, "MemMb": 1}},
    {"Capacity": {"Cpu": -1, "MemMb": 1}},
    {"Seq": 10**19},
    {"Seq": 10**399},
    {"ColdLeftMs": 1e308},
    {"Zone": "\ud800"},
    {"Zone": "\x00"},
)
# Replaces a part of a row that is text in `json`, so that the value may be what
# Python's encoder doesn't write.
_NUMBERS = (
    b"1e400",
    b"-1e400",
    b"NaN",
    b"Infinity",
    b"9" * 5000,
    b"9" * 60_000,
)
_DEPTHS = (1000, 10_000)
_SOURCES = (
    b"",
    b"null",
    b"\xff\xfe",
    b"\x00",
    b'{"Service":"\xc0\xaf"}',
    b"{" * 60_000,
    b" " * 60_000,
)


def build(variant: int) -> bytes:
    """Return the value of a row; any number selects a variant."""
    return _VALUES[variant % len(_VALUES)]


def list_values() -> tuple[bytes, ...]:
    """Return the values of all variants."""
    return _VALUES


def _build_row(changes: dict[str, object]) -> bytes:
    return json.dumps(_ROW | changes).encode()


def _add_field(name: bytes, value: bytes) -> bytes:
    """Return a row with one more field, which may be there already."""
    return _build_row({})[:-1] + b',"' + name + b'":' + value + b"}"


def _nest(depth: int) -> tuple[bytes, bytes]:
    return b"[" * depth + b"]" * depth, b'{"a":' * depth + b"1" + b"}" * depth


def _list_values() -> tuple[bytes, ...]:
    values = [_build_row(changes) for changes in _CHANGES]
    values += [_add_field(b"Seq", number) for number in _NUMBERS]
    values += [_add_field(b"ColdLeftMs", number) for number in _NUMBERS]
    for name in (b"New", b"Capacity", b"Labels"):
        values += [
            _add_field(name, value) for d in _DEPTHS for value in _nest(d)
        ]
    values += [value for d in _DEPTHS for value in _nest(d)]
    return (*values, *_SOURCES)


_VALUES = _list_values()
