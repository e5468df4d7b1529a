"""The tables of the capacity page, one function each."""

from bench.capacity import budget
from bench.capacity import drawing
from bench.capacity import faults
from bench.capacity import target

Slopes = target.Slopes


def draw_slopes(known: Slopes) -> str:
    """Return the table of all slopes."""
    columns = [
        "slope",
        "against",
        "unit",
        "at 0",
        "each",
        "spread",
        "fit",
        "commit",
    ]
    rows = [
        [
            f"`{one.name}`",
            one.size,
            one.unit,
            one.fixed,
            one.slope,
            f"{drawing.format_number(one.low)} to {drawing.format_number(one.high)}",
            f"{one.fit:.3f}",
            one.commit,
        ]
        for one in sorted(known.values(), key=lambda one: one.name)
    ]
    return drawing.draw_table(columns, rows)


def draw_layout(known: Slopes) -> str:
    """Return the table of the daemons and shards that the target needs."""
    big = target.lay_out(known, target.JOB_TASKS)
    small = target.lay_out(known, target.SMALL_JOB_TASKS)
    rows = [
        [name, getattr(big, field), getattr(small, field)]
        for name, field in (
            ("workers of a data centre", "workers"),
            ("shards of a data centre", "centre_shards"),
            ("shards of all data centres", "shards"),
            ("shards of a region", "region_shards"),
            ("workers of a region", "region_workers"),
            ("owner, us a start", "owner_us"),
            ("gateway, us a start", "gateway_us"),
            ("starts a second of a shard", "shard_starts"),
            ("cores a shard's owner needs", "shard_cores"),
            ("daemons of a data centre", "centre_daemons"),
            ("daemons of a region", "region_daemons"),
            ("daemons of all data centres", "daemons"),
            ("links of an owner", "links"),
        )
    ]
    return drawing.draw_table(
        ["at the target", "jobs of 100", "jobs of 10"], rows
    )


def draw_roles(known: Slopes) -> str:
    """Return the table of what each role costs."""
    layout = target.lay_out(known)
    jobs = target.STARTS_PER_S / target.JOB_TASKS / layout.daemons
    shard_jobs = layout.shard_starts / target.JOB_TASKS
    running = layout.shard_starts * target.MEAN_RUN_S
    offer = known["job_offer_bytes"].compute(target.JOB_TASKS)
    answer = known["job_answer_bytes"].compute(target.JOB_TASKS)
    rows = [
        [
            "gateway",
            f"{drawing.format_number(jobs)} jobs/s, each held until its answer",
            2 * jobs,
            jobs * (offer + answer),
            jobs * target.JOB_TASKS * layout.gateway_us / target.US_PER_S,
            "gateway.server, dispatch.submissions",
        ],
        [
            "owner and placer",
            f"{target.WORKERS_PER_SHARD} workers, {drawing.format_number(running)} "
            "running tasks",
            2 * layout.shard_starts + 2 * shard_jobs,
            shard_jobs * (offer + answer),
            layout.shard_cores,
            "dispatch.shard, dispatch.placement, core.starts",
        ],
        [
            "plan reader, one a data centre",
            f"{target.TEAMS} plans",
            target.ROW_POLLS_PER_S
            + target.count_plan_changes_per_s() * layout.links,
            target.count_plan_changes_per_s()
            * layout.links
            * known["delta_bytes"].compute(1),
            _sum_reader_us(known) / target.US_PER_S,
            "core.polling, platform.rereads",
        ],
        [
            "peer",
            f"{layout.links} links, {layout.daemons} daemons known",
            known["idle_daemons_owner_digests"].slope * layout.links,
            known["idle_daemons_owner_link_bytes"].slope * layout.links,
            known["idle_daemons_owner_cpu_us"].slope
            * layout.links
            / target.US_PER_S,
            "core.mesh, core.peering, wire.links",
        ],
    ]
    columns = [
        "role",
        "state",
        "messages/s",
        "peer bytes/s",
        "cores",
        "carried by",
    ]
    return drawing.draw_table(columns, rows)


def _sum_reader_us(known: Slopes) -> float:
    lines = budget.list_lines(known)
    return sum(one.cpu_us for one in lines if "reader only" in one.name)


def draw_control(known: Slopes, over: list[str]) -> str:
    """Return the table of each cost of control against its budget."""
    lines = budget.list_lines(known)
    rows = [
        [
            line.name if line.is_steady else f"{line.name} (at times)",
            f"`{line.module}`",
            line.per_s,
            line.cpu_us / target.US_PER_S * 100,
            line.octets,
            drawing.mark(
                f"{line.name}: bytes",
                line.octets,
                target.BUDGET_BYTES,
                over,
            )
            if line.cpu_us <= target.BUDGET_CPU_US
            else drawing.mark(
                f"{line.name}: processor time",
                line.cpu_us,
                target.BUDGET_CPU_US,
                over,
            ),
        ]
        for line in lines
    ]
    cpu_us, octets = budget.sum_lines(lines, True)
    for name, value, limit in (
        ("all steady lines: processor time", cpu_us, target.BUDGET_CPU_US),
        ("all steady lines: bytes", octets, target.BUDGET_BYTES),
    ):
        rows.append(
            [
                f"**{name}**",
                "",
                "",
                cpu_us / target.US_PER_S * 100 if "time" in name else "",
                octets if "bytes" in name else "",
                drawing.mark(name, value, limit, over),
            ]
        )
    columns = ["line", "module", "a second", "% of a core", "bytes/s", ""]
    return drawing.draw_table(columns, rows)


def draw_memory(known: Slopes, over: list[str]) -> str:
    """Return the table of the memory of a daemon."""
    lines = budget.list_memory(known)
    rows = [
        [line.name, line.count, line.octets / target.MIB, ""] for line in lines
    ]
    control = sum(line.octets for line in lines if line.is_control)
    whole = sum(line.octets for line in lines)
    mark = drawing.mark(
        "memory of control", control, target.BUDGET_MEMORY, over
    )
    rows.append(["**control: the first six**", "", control / target.MIB, mark])
    rows.append(["**all**", "", whole / target.MIB, ""])
    return drawing.draw_table(["rows", "count", "MiB", ""], rows)


def draw_store(known: Slopes, over: list[str]) -> str:
    """Return the table of the requests to the platform."""
    layout = target.lay_out(known)
    changes = target.count_plan_changes_per_s()
    reads = [
        (
            "VM list, each daemon",
            layout.daemons * target.VM_POLLS_PER_S,
            "core.polling",
        ),
        (
            "declarations, a reader a data centre",
            target.CENTRES * target.ROW_POLLS_PER_S,
            "core.polling",
        ),
        (
            "declarations, each daemon, while no owner of a first shard is "
            "heard of",
            layout.daemons * target.ROW_POLLS_PER_S,
            "core.polling",
        ),
        ("apply: read, check, confirm", 3 * changes, "audit.commits"),
    ]
    rows = [
        [
            name,
            f"`{module}`",
            per_s,
            drawing.mark(name, per_s, target.STORE_READS_PER_S, over),
        ]
        for name, per_s, module in reads
    ]
    total = sum(per_s for _, per_s, _ in reads)
    mark = drawing.mark("store reads", total, target.STORE_READS_PER_S, over)
    rows.append(["**all reads**", "", total, mark])
    mark = drawing.mark(
        "store writes", changes, target.STORE_WRITES_PER_S, over
    )
    rows.append(["**all writes**: applies", "`audit.commits`", changes, mark])
    return drawing.draw_table(["request", "module", "a second", ""], rows)


def draw_connections(known: Slopes, over: list[str]) -> str:
    """Return the table of the connections of a worker."""
    layout = target.lay_out(known)
    starts = layout.shard_starts / target.WORKERS_PER_SHARD
    slots = starts * target.MEAN_RUN_S
    rows = [
        ["tasks running on a worker, the mean", slots, ""],
        [
            "connections of its owner, one a running task and 2 for control",
            slots + 2,
            drawing.mark("connections of a worker", slots + 2, 64, over),
        ],
        ["the same while two daemons think that they own it", slots + 4, ""],
        ["connections of all other daemons", 0, ""],
        ["accelerators of a worker, the mean", 35 / 15, ""],
    ]
    return drawing.draw_table(["a worker", "count", ""], rows)


def draw_days(known: Slopes) -> str:
    """Return the table of what failures cost."""
    rows = [
        [day.name, day.messages, day.octets, day.cpu_us / 1e6, day.effect]
        for day in faults.list_days(known)
    ]
    columns = ["event", "messages", "bytes", "cpu s, all daemons", "effect"]
    return drawing.draw_table(columns, rows)


def draw_removed(known: Slopes, earlier: Slopes) -> str:
    """Return the table of costs before and after they were cut."""
    layout = target.lay_out(known)
    changes = target.count_plan_changes_per_s()
    polls = target.VM_POLLS_PER_S
    listed = target.WORKERS + layout.daemons

    def scale(table: Slopes, name: str, size: float, times: float) -> float:
        return table[name].compute(size) * times

    rows = [
        (
            "shares of the region's shards at each change, us a second",
            "declare_us",
            layout.shards,
            changes * layout.region_shards,
        ),
        (
            "an idle owner with the VMs of all data centres listed, us a "
            "second",
            "idle_vms_owner_cpu_us",
            target.WORKERS,
            1.0,
        ),
        (
            "an idle other daemon, likewise",
            "idle_vms_other_cpu_us",
            target.WORKERS,
            1.0,
        ),
    ]
    cells = []
    for name, slope, size, times in rows:
        before = scale(earlier, slope, size, times)
        after = scale(known, slope, size, times)
        cells.append([name, f"`{slope}`", before, after, before / after])
    before = earlier["vms_parse_bytes"].compute(listed) * polls
    after = known["poll_bytes"].slope * polls + known[
        "vms_parse_bytes"
    ].compute(
        layout.region_workers + layout.daemons
    ) * target.count_vm_changes_per_s(layout)
    cells.append(
        [
            "VM list, bytes a second of each daemon",
            "`vms_parse_bytes`, `poll_bytes`",
            before,
            after,
            before / after,
        ]
    )
    links = layout.links * changes
    for unit in ("bytes", "us"):
        before = earlier[f"push_{unit}"].compute(target.TEAMS) * links
        after = known[f"delta_{unit}"].compute(1) * links
        cells.append(
            [
                f"a change told to all links of its reader, {unit} a second",
                f"`push_{unit}`, `delta_{unit}`",
                before,
                after,
                before / after,
            ]
        )
    return drawing.draw_table(
        ["cost", "slope", "before", "after", "times less"], cells
    )
