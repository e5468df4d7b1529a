"""What control costs a daemon at the target, line by line."""

from collections.abc import Callable
import dataclasses

from bench.capacity import target
from pollenladder.dispatch import spilling

Slopes = target.Slopes


@dataclasses.dataclass(frozen=True)
class Line:
    """One cost of control of the owner of a shard.

    Attributes:
        name: What it is.
        module: What carries it.
        per_s: How often a second.
        cpu_us: Processor time, us a second.
        octets: Bytes a second, both ways.
        is_steady: Whether it goes on in a steady state; else in some only.
    """

    name: str
    module: str
    per_s: float
    cpu_us: float
    octets: float
    is_steady: bool = True


@dataclasses.dataclass(frozen=True)
class Memory:
    """Memory of one kind of row at a daemon.

    Attributes:
        name: What it is.
        count: How many rows.
        octets: Bytes of all of them.
        is_control: Whether it is there without any job.
    """

    name: str
    count: float
    octets: float
    is_control: bool = True


def list_lines(known: Slopes) -> list[Line]:
    """Return the costs of control of an owner, the first of its centre."""
    layout = target.lay_out(known)
    return [
        _build_base(known, layout),
        _build_plans(known),
        _build_leases(known),
        _build_digests(known, layout),
        *_build_vm_polls(known, layout),
        *_build_declarations(known, layout),
        _build_loans(known),
        _build_loads(known, layout),
    ]


def sum_lines(lines: list[Line], is_steady: bool) -> tuple[float, float]:
    """Return processor time in us a second and bytes a second of lines."""
    chosen = [line for line in lines if line.is_steady or not is_steady]
    return (
        sum(line.cpu_us for line in chosen),
        sum(line.octets for line in chosen),
    )


def list_memory(known: Slopes) -> list[Memory]:
    """Return the memory of an owner of one shard."""
    layout = target.lay_out(known)

    def scale(name: str, count: float) -> float:
        return known[name].slope * count

    plans = target.TEAMS
    running = layout.shard_starts * target.MEAN_RUN_S
    rows = layout.region_shards * plans
    return [
        Memory("the process itself", 1, known["idle_daemons_owner_rss"].fixed),
        Memory(
            "workers of the region",
            layout.region_workers,
            scale("idle_workers_owner_rss", layout.region_workers),
        ),
        Memory(
            "links to daemons",
            layout.links,
            scale("idle_daemons_owner_rss", layout.links),
        ),
        Memory(
            "daemons known",
            layout.daemons,
            scale("memory_peer", layout.daemons),
        ),
        Memory("plans in force", plans, scale("memory_plan", plans)),
        Memory(
            "shares of the region's shards", rows, scale("memory_share", rows)
        ),
        Memory(
            "running tasks of the shard",
            running,
            scale("running_owner_rss", running),
            False,
        ),
        Memory(
            "queued jobs of 100 tasks, at their bound",
            target.QUEUED_JOBS,
            scale("memory_job", target.QUEUED_JOBS),
            False,
        ),
        Memory(
            "keys held, at their bound",
            target.KEYS_PER_SHARD,
            scale("memory_key", target.KEYS_PER_SHARD),
            False,
        ),
    ]


def _build_base(known: Slopes, layout: target.Layout) -> Line:
    cpu_us = known["idle_shards_owner_cpu_us"]
    return Line(
        "ticks over the tables of the region's shards",
        "core.engine, core.leasing",
        0.0,
        cpu_us.slope * layout.region_shards
        + known["idle_daemons_owner_cpu_us"].fixed,
        0.0,
    )


def _build_plans(known: Slopes) -> Line:
    cpu_us = known["idle_plans_owner_cpu_us"].slope * target.TEAMS
    return Line(
        "looks at the plans of the shard",
        "dispatch.sharing, plans.loans",
        0.0,
        max(0.0, cpu_us),
        0.0,
    )


def _build_leases(known: Slopes) -> Line:
    workers = target.WORKERS_PER_SHARD
    per_s = known["idle_workers_owner_leases"].slope * workers
    return Line(
        "lease renewals of idle workers, and looks at them",
        "core.leasing",
        per_s,
        known["idle_workers_owner_cpu_us"].slope * workers,
        per_s * known["lease_bytes"].fixed,
    )


def _build_digests(known: Slopes, layout: target.Layout) -> Line:
    links = layout.links
    return Line(
        "digests over all links",
        "core.daemon, core.mesh",
        known["idle_daemons_owner_digests"].slope * links,
        known["idle_daemons_owner_cpu_us"].slope * links,
        known["idle_daemons_owner_link_bytes"].slope * links,
    )


def _build_vm_polls(known: Slopes, layout: target.Layout) -> list[Line]:
    listed = layout.region_workers + layout.daemons
    changes = target.count_vm_changes_per_s(layout)
    polls = target.VM_POLLS_PER_S
    return [
        Line(
            "VM list, unchanged",
            "core.polling, platform.rereads",
            polls,
            known["poll_us"].slope * polls,
            known["poll_bytes"].slope * polls,
        ),
        Line(
            "VM list, changed",
            "core.polling, core.workers",
            changes,
            known["vms_parse_us"].compute(listed) * changes,
            known["vms_parse_bytes"].compute(listed) * changes,
        ),
    ]


def _build_declarations(known: Slopes, layout: target.Layout) -> list[Line]:
    changes = target.count_plan_changes_per_s()
    plans = target.TEAMS
    polls = target.ROW_POLLS_PER_S

    def compute(name: str, size: float = plans) -> float:
        return known[name].compute(size) * changes

    # Readers of other data centres that are linked tell of it as well.
    copies = 1 + layout.far_links / layout.centre_shards
    shares_us = compute("declare_us", layout.shards) * layout.region_shards
    return [
        Line(
            "declarations, unchanged (reader only)",
            "core.polling, platform.rereads",
            polls,
            known["poll_us"].slope * polls,
            known["poll_bytes"].slope * polls,
        ),
        Line(
            "declarations, changed: read (reader only)",
            "core.polling, plans.loading",
            changes,
            compute("row_parse_us"),
            compute("row_parse_bytes"),
        ),
        Line(
            "declarations, changed: taken from readers",
            "core.polling, plans.deltas",
            changes * copies,
            compute("row_parse_us") + compute("delta_us", 1) / 2 * copies,
            compute("delta_bytes", 1) * copies,
        ),
        Line(
            "declarations, changed: pushed to all links (reader only)",
            "core.polling, plans.deltas",
            changes * layout.links,
            compute("delta_us", 1) / 2 * layout.links,
            compute("delta_bytes", 1) * layout.links,
        ),
        Line(
            "declarations, changed: shares of the region's shards",
            "dispatch.shard, plans.escrow",
            changes * layout.region_shards,
            shares_us,
            0.0,
        ),
    ]


def _build_loans(known: Slopes) -> Line:
    per_s = 2 * target.TEAMS / (target.LOAN_TERM_S / 2)
    return Line(
        "loans, if each plan keeps one here",
        "plans.loans",
        per_s,
        known["loan_us"].slope * per_s,
        known["loan_bytes"].slope * per_s,
        False,
    )


def _build_loads(known: Slopes, layout: target.Layout) -> Line:
    crowd = max(1.0, layout.shards / spilling.FULL_RATE_SHARDS)
    per_s = (layout.shards - 1) * target.ANNOUNCES_PER_S / crowd
    return Line(
        "load messages, if tasks wait here and nowhere else",
        "dispatch.spilling",
        per_s,
        known["load_message_us"].slope * per_s,
        known["load_message_bytes"].slope * per_s,
        False,
    )


def list_over(
    lines: list[Line], limit: float, read: Callable[[Line], float]
) -> list[str]:
    """Return the names of lines that are over a budget by themselves."""
    return [line.name for line in lines if read(line) > limit]
