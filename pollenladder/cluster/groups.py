"""Split the workers of a region into groups, each with an owner of its own.

A small region is one group. If its workers are too many for one owner, each
data centre has one or more groups of its own, and a worker belongs to the group
that its id hashes to. All daemons follow the same layout, which is stored in
the platform's store. It only ever grows, so that workers seldom change their
group.
"""

from collections.abc import Mapping
import dataclasses
import math
import zlib

# The group of a region that is not split.
REGION_GROUP = "region"
# Workers that an owner serves with one core of standard speed, with half of the
# core to spare.
WORKERS_PER_CORE = 75.0
# A data centre is split only into groups of at least this many workers, as jobs
# with many tasks need many workers.
MIN_GROUP_WORKERS = 16
# Most groups of one data centre, and of all.
MAX_PARTS = 1024
MAX_GROUPS = 16 * MAX_PARTS


@dataclasses.dataclass(frozen=True)
class Layout:
    """How the workers are split into groups.

    Attributes:
        version: Increases with each change; 0 if no layout is known.
        parts: The number of groups of each data centre. Empty if the region is
            one group.
    """

    version: int = 0
    parts: dict[str, int] = dataclasses.field(default_factory=dict)


def find_group(layout: Layout, data_centre: str, worker_id: str) -> str:
    """Return the name of the group that a worker belongs to."""
    if not layout.parts:
        return REGION_GROUP
    parts = layout.parts.get(data_centre, 1)
    return f"{data_centre}/{zlib.crc32(worker_id.encode()) % parts}"


def list_groups(layout: Layout) -> list[str]:
    """Return the names of all groups of a layout, sorted."""
    if not layout.parts:
        return [REGION_GROUP]
    return sorted(
        f"{data_centre}/{part}"
        for data_centre, parts in layout.parts.items()
        for part in range(parts)
    )


def list_shrunk_groups(before: Layout, after: Layout) -> list[str]:
    """Return the groups of both layouts that lose workers to other groups."""
    return [
        name
        for name in list_groups(after)
        if before.parts.get(get_data_centre(name), 1)
        < after.parts.get(get_data_centre(name), 1)
        and name in list_groups(before)
    ]


def get_data_centre(group: str) -> str:
    """Return the data centre of a group, or "" for the group of a region."""
    return group.rpartition("/")[0]


def choose_layout(
    layout: Layout, workers: Mapping[str, int], owner_cores: float
) -> Layout:
    """Return the layout that the workers need, or the current one.

    Args:
        layout: The current layout.
        workers: The number of workers of each data centre.
        owner_cores: The processor capacity of an owner, in cores.
    """
    max_workers = WORKERS_PER_CORE * owner_cores
    if not layout.parts and sum(workers.values()) <= max_workers:
        parts = {}
    else:
        parts = layout.parts | {
            data_centre: max(
                layout.parts.get(data_centre, 1),
                _count_parts(count, max_workers),
            )
            for data_centre, count in workers.items()
        }
    if layout.version and parts == layout.parts:
        return layout
    return Layout(layout.version + 1, parts)


def _count_parts(workers: int, max_workers: float) -> int:
    """Return the number of groups of a data centre, a power of two."""
    needed = min(workers / max_workers, workers / MIN_GROUP_WORKERS)
    return min(MAX_PARTS, 2 ** max(0, round(math.log2(max(1.0, needed)))))
