"""The target's sizes, and the daemons that follow from them."""

import dataclasses
import math

from bench.capacity import slopes
from pollenladder.dispatch import keys

Slopes = dict[str, slopes.Slope]

DAY_S = 86_400
US_PER_S = 1_000_000
MIB = 1024 * 1024

WORKERS = 15_000
ACCELERATORS = 35_000
STARTS_PER_S = 890_000
TEAMS = 140
REGIONS = 9
CENTRES = 26
CHANGES_PER_DAY = 5_600
IN_FORCE_S = 4.0
FAILED_VMS_PER_DAY = 96
REPLACED_VMS_PER_DAY = 1_000

BUDGET_CPU_US = 15_000
BUDGET_BYTES = 2_000
BUDGET_MEMORY = 128 * MIB
STORE_READS_PER_S = 2_000
STORE_WRITES_PER_S = 300

# How the target is laid out, and what is not measured here.
JOB_TASKS = 100
SMALL_JOB_TASKS = 10
WORKERS_PER_SHARD = 32
WORKERS_PER_RACK = 40
BUSY_PART = 0.7
MEAN_RUN_S = 0.5
FAR_LINKS = 2
ROW_POLLS_PER_S = 1.0
VM_POLLS_PER_S = 0.4
LOAN_TERM_S = 15.0
ANNOUNCES_PER_S = 50.0
KEYS_PER_SHARD = keys.MAX_KEYS
QUEUED_JOBS = 2_000


@dataclasses.dataclass(frozen=True)
class Layout:
    """The daemons and shards of the target.

    Attributes:
        workers: Workers of a data centre.
        centre_shards: Shards of a data centre.
        shards: Shards of all data centres.
        region_workers: Workers of a region, which its daemons all keep.
        region_shards: Shards of a region, likewise.
        region_daemons: Daemons of a region.
        owner_us: Processor time of an owner for a start.
        gateway_us: Processor time of a gateway for a start.
        shard_starts: Starts a second of a shard.
        shard_cores: Cores that a shard's owner needs for them.
        centre_daemons: Daemons of a data centre, one a core.
        daemons: Daemons of all data centres.
        far_links: Links of an owner with owners in other regions.
        links: All links of an owner.
    """

    workers: int
    centre_shards: int
    shards: int
    region_workers: float
    region_shards: float
    region_daemons: float
    owner_us: float
    gateway_us: float
    shard_starts: float
    shard_cores: float
    centre_daemons: int
    daemons: int
    far_links: float
    links: int


def lay_out(known: Slopes, job_tasks: int = JOB_TASKS) -> Layout:
    """Return how many daemons carry the target with jobs of a size."""
    workers = math.ceil(WORKERS / CENTRES)
    centre_shards = math.ceil(workers / WORKERS_PER_SHARD)
    shards = centre_shards * CENTRES
    owner_us = known["job_owner_us"].compute(job_tasks) / job_tasks
    gateway_us = known["job_gateway_us"].compute(job_tasks) / job_tasks
    cores = STARTS_PER_S * (owner_us + gateway_us) / US_PER_S
    centre_daemons = math.ceil(cores / BUSY_PART / CENTRES)
    centre_daemons = max(centre_daemons, centre_shards)
    region_centres = CENTRES / REGIONS
    region_daemons = centre_daemons * region_centres
    far_links = 2 * FAR_LINKS * (CENTRES - region_centres)
    shard_starts = STARTS_PER_S / shards
    return Layout(
        workers=workers,
        centre_shards=centre_shards,
        shards=shards,
        region_workers=WORKERS / REGIONS,
        region_shards=shards / REGIONS,
        region_daemons=region_daemons,
        owner_us=owner_us,
        gateway_us=gateway_us,
        shard_starts=shard_starts,
        shard_cores=shard_starts * owner_us / US_PER_S,
        centre_daemons=centre_daemons,
        daemons=centre_daemons * CENTRES,
        far_links=far_links,
        links=round(region_daemons - 1 + far_links),
    )


def count_vm_changes_per_s(layout: Layout) -> float:
    """Return changes a second of the VM list as one region sees it.

    Each VM that fails or is replaced leaves the list and another joins. All
    entry VMs are listed everywhere, endpoints only in their region.
    """
    changes = 2 * (FAILED_VMS_PER_DAY + REPLACED_VMS_PER_DAY) / DAY_S
    listed = WORKERS + layout.daemons
    return changes * (layout.region_workers + layout.daemons) / listed


def count_plan_changes_per_s() -> float:
    """Return changes a second of the declarations."""
    return CHANGES_PER_DAY / DAY_S
