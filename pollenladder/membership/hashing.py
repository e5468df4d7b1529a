"""Rendezvous hashing, and the assignment of workers to shards."""

from collections.abc import Iterable
from collections.abc import Mapping
import re

import xxhash

TRAILING_NUMBER = re.compile(r"^(.*?)(\d*)$", re.DOTALL)
HASH_RANGE = 2**64


def hash_text(*parts: str) -> int:
    """Return a 64-bit hash of the parts that is the same on every machine."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def compute_fraction(*parts: str) -> float:
    """Return a number in [0, 1) that is determined by the parts alone."""
    return hash_text(*parts) / HASH_RANGE


def rank_daemons(shard_id: str, daemon_ids: Iterable[str]) -> list[str]:
    """Return the daemons in rendezvous order for a shard, first choice first.

    Args:
        shard_id: The shard.
        daemon_ids: The candidates; repeated ids count once.

    Returns:
        Each id once. Removing one id leaves the order of the others unchanged.
    """
    return sorted(set(daemon_ids), key=lambda d: (-hash_text(shard_id, d), d))


def list_shards(data_centres: Mapping[str, int]) -> list[str]:
    """Return all shard ids, sorted.

    Args:
        data_centres: Number of shards by data centre.
    """
    names = data_centres.items()
    return sorted(f"{name}/{i}" for name, count in names for i in range(count))


def find_shard(worker_id: str, data_centre: str, shards: int) -> str:
    """Return the id of a worker's shard, independent of the other workers.

    Workers whose ids differ only in a trailing number are assigned to the
    shards in turn, so that even a small number of them is split evenly.

    Args:
        worker_id: The worker.
        data_centre: The worker's data centre.
        shards: Number of shards of that data centre, at least 1.
    """
    prefix, number = TRAILING_NUMBER.match(worker_id).groups()
    index = (hash_text(data_centre, prefix) + int(number or 0)) % shards
    return f"{data_centre}/{index}"
