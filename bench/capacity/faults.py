"""What the failures of ordinary days cost at the target."""

import dataclasses

from bench.capacity import target

Slopes = target.Slopes

QUORUM_ROUNDS = 1.0
CLAIM_BYTES = 60
HOUR_S = 3600.0
SUSPECT_S = 5.0


@dataclasses.dataclass(frozen=True)
class Day:
    """One kind of failure.

    Attributes:
        name: What happens.
        messages: Messages that it causes, summed over all daemons.
        octets: Their bytes.
        cpu_us: Processor time of all daemons together.
        effect: What callers notice.
    """

    name: str
    messages: float
    octets: float
    cpu_us: float
    effect: str


def list_days(known: Slopes) -> list[Day]:
    """Return the failures of the target page with what each causes."""
    layout = target.lay_out(known)
    worker = _lose_workers(known, layout, 1)
    owner = _lose_owner(known, layout)
    entries = layout.daemons / (target.WORKERS + layout.daemons)
    return [
        dataclasses.replace(worker, name="one worker fails"),
        dataclasses.replace(owner, name="one owner fails"),
        _mix(
            f"a day's {target.FAILED_VMS_PER_DAY} failures",
            worker,
            owner,
            target.FAILED_VMS_PER_DAY,
            entries,
        ),
        _mix(
            f"a day's {target.REPLACED_VMS_PER_DAY} replaced, drained first",
            _drain_worker(known, layout),
            owner,
            target.REPLACED_VMS_PER_DAY,
            entries,
        ),
        dataclasses.replace(
            _lose_workers(known, layout, target.WORKERS_PER_RACK),
            name=f"a rack of {target.WORKERS_PER_RACK} workers",
        ),
        _lose_centre(known, layout),
        _cut_regions(known, layout),
    ]


def _reread(
    known: Slopes, layout: target.Layout, changes: float, daemons: float
) -> tuple[float, float, float]:
    """Return messages, bytes and us of reading a changed VM list."""
    listed = layout.region_workers + layout.daemons
    reads = changes * daemons
    return (
        2 * reads,
        known["vms_parse_bytes"].compute(listed) * reads,
        known["vms_parse_us"].compute(listed) * reads,
    )


def _lose_workers(known: Slopes, layout: target.Layout, count: int) -> Day:
    # Those of a rack leave the list between two polls, and others join it.
    sent, octets, cpu_us = _reread(known, layout, 2, layout.region_daemons)
    running = layout.shard_starts / target.WORKERS_PER_SHARD
    running *= target.MEAN_RUN_S * count
    return Day(
        "",
        sent,
        octets,
        cpu_us,
        f"{running:.0f} running tasks end as may have run; "
        "their jobs fail whole",
    )


def _drain_worker(known: Slopes, layout: target.Layout) -> Day:
    sent, octets, cpu_us = _reread(known, layout, 3, layout.region_daemons)
    return Day("", sent, octets, cpu_us, "none")


def _lose_owner(known: Slopes, layout: target.Layout) -> Day:
    sent, octets, cpu_us = _reread(known, layout, 2, layout.daemons)
    leases = target.WORKERS_PER_SHARD * QUORUM_ROUNDS
    claims = 2 * (layout.shards - 1)
    digests = 2 * layout.links
    running = layout.shard_starts * target.MEAN_RUN_S
    return Day(
        "",
        sent + 2 * leases + claims + digests,
        octets
        + leases * known["lease_bytes"].fixed
        + claims * CLAIM_BYTES
        + digests * known["digest_bytes"].compute(1),
        cpu_us
        + claims * known["loan_us"].slope
        + digests * known["digest_us"].compute(1),
        f"{running:.0f} running tasks; its shard starts nothing for about "
        "two lease terms",
    )


def _mix(name: str, worker: Day, owner: Day, count: int, entries: float) -> Day:
    """Return the sum of failures of workers and of entry VMs."""

    def add(one: float, other: float) -> float:
        return count * ((1 - entries) * one + entries * other)

    return Day(
        name,
        add(worker.messages, owner.messages),
        add(worker.octets, owner.octets),
        add(worker.cpu_us, owner.cpu_us),
        f"{count * (1 - entries):.0f} times a worker, "
        f"{count * entries:.0f} times an entry VM",
    )


def _lose_centre(known: Slopes, layout: target.Layout) -> Day:
    others = layout.daemons - layout.centre_daemons
    sent, octets, cpu_us = _reread(known, layout, 1, others)
    owners = layout.centre_shards * (target.CENTRES - 1)
    tries = owners * target.FAR_LINKS * 3
    part = 100 / target.CENTRES
    return Day(
        "a data centre",
        sent + tries,
        octets,
        cpu_us,
        f"{part:.1f}% of starts and of each allowance are gone until it is "
        "back; shares are not dealt anew",
    )


def _cut_regions(known: Slopes, layout: target.Layout) -> Day:
    """Count an hour in which one region reaches no other."""
    inside = target.CENTRES / target.REGIONS
    outside = target.CENTRES - inside
    owners = layout.centre_shards * (inside * outside + outside * inside)
    tries = owners * HOUR_S / SUSPECT_S
    pushes = inside * target.FAR_LINKS
    whole = known["push_bytes"].compute(target.TEAMS)
    return Day(
        "an hour's cut between one region and all others",
        tries + pushes,
        tries * 60 + pushes * whole,
        tries * known["poll_us"].slope,
        "both sides go on with their own shares; changes are in force in "
        "the region seconds after the heal",
    )
