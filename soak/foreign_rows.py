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
    "Seq": 1,
}
_VARIANTS = (
    {"Addr": "127.0.\ufffd\ufffd:8169"},
    {"Addr": "localhost:80"},
    {"Zone": 5000 * "n"},
    {"Capacity": {"Cpu": 2**53, "MemMb": 2**53}},
    {"State": "\ufffd"},
)


def build(variant: int) -> bytes:
    """Return the value of a row; any number selects a variant."""
    changes = _VARIANTS[variant % len(_VARIANTS)]
    return json.dumps(_ROW | changes).encode()
