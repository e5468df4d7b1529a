"""The page's tables and plots, drawn from recorded slopes."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import pathlib
import re

from bench import reports
from bench.capacity import budget
from bench.capacity import faults
from bench.capacity import target

Slopes = target.Slopes

BEGIN = "<!-- table {name} -->"
END = "<!-- end -->"
TABLE = re.compile(r"<!-- table (\w+) -->\n(.*?)<!-- end -->", re.DOTALL)
PLOTTED = ("idle", "job", "vms", "row", "declare", "running")


@dataclasses.dataclass
class Tables:
    """The tables of the page.

    Attributes:
        parts: Their text by name.
        over: What is over its budget.
    """

    parts: dict[str, str]
    over: list[str]


def build_tables(known: Slopes, earlier: Slopes) -> Tables:
    """Return all tables, worked out from the slopes.

    Args:
        known: The slopes of what runs now.
        earlier: Slopes of what ran before the costs were cut.

    Raises:
        KeyError: A slope was never measured.
    """
    over: list[str] = []
    parts = {
        "slopes": draw_slopes(known),
        "layout": _draw_layout(known),
        "roles": _draw_roles(known),
        "control": _draw_control(known, over),
        "memory": _draw_memory(known, over),
        "store": _draw_store(known, over),
        "connections": _draw_connections(known, over),
        "days": _draw_days(known),
        "removed": _draw_removed(known, earlier),
    }
    return Tables(parts, over)


def fill(page: str, tables: Tables) -> str:
    """Return the page with its tables replaced."""

    def replace(match: re.Match) -> str:
        name = match[1]
        text = tables.parts.get(name, match[2].rstrip())
        return f"{BEGIN.format(name=name)}\n{text}\n{END}"

    return TABLE.sub(replace, page)


def list_differences(page: str, tables: Tables) -> list[str]:
    """Return what in the page's tables is not what the slopes give."""
    found = {match[1]: match[2].rstrip() for match in TABLE.finditer(page)}
    faults_found = [
        f"the page has no table {name}"
        for name in tables.parts
        if name not in found
    ]
    for name, text in found.items():
        wanted = tables.parts.get(name, "").splitlines()
        told = text.splitlines()
        faults_found += [
            f"table {name}: {line}" for line in told if line not in wanted
        ]
        faults_found += [
            f"table {name} lacks: {line}" for line in wanted if line not in told
        ]
    return faults_found


def draw_plots(folder: pathlib.Path, known: Slopes) -> None:
    """Draw each kind of slope into a file of its own."""
    for name, slope in known.items():
        if not name.startswith(PLOTTED) or not name.endswith(
            ("_us", "_rss", "link_bytes")
        ):
            continue
        lines = {
            f"repeat {number}": tuple(zip(*points, strict=True))
            for number, points in enumerate(slope.repeats, 1)
        }
        sizes = [size for size, _ in slope.repeats[0]]
        lines["line"] = (sizes, [slope.compute(size) for size in sizes])
        path = folder / f"{name}.png"
        reports.plot_lines(path, name, (slope.size, slope.unit), lines)


def format_number(value: float) -> str:
    """Return a number to three digits, in full."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{round(value):,}"
    return f"{value:.3g}"


def _draw(columns: Sequence[str], rows: Iterable[Sequence]) -> str:
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    for row in rows:
        cells = [
            cell if isinstance(cell, str) else format_number(cell)
            for cell in row
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _mark(name: str, value: float, limit: float, over: list[str]) -> str:
    if value <= limit:
        return "within"
    over.append(name)
    return f"**OVER** by {value / limit:.3g} times"


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
            f"{format_number(one.low)} to {format_number(one.high)}",
            f"{one.fit:.3f}",
            one.commit,
        ]
        for one in sorted(known.values(), key=lambda one: one.name)
    ]
    return _draw(columns, rows)


def _draw_layout(known: Slopes) -> str:
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
    return _draw(["at the target", "jobs of 100", "jobs of 10"], rows)


def _draw_roles(known: Slopes) -> str:
    layout = target.lay_out(known)
    jobs = target.STARTS_PER_S / target.JOB_TASKS / layout.daemons
    shard_jobs = layout.shard_starts / target.JOB_TASKS
    running = layout.shard_starts * target.MEAN_RUN_S
    offer = known["job_offer_bytes"].compute(target.JOB_TASKS)
    answer = known["job_answer_bytes"].compute(target.JOB_TASKS)
    rows = [
        [
            "gateway",
            f"{format_number(jobs)} jobs/s, each held until its answer",
            2 * jobs,
            jobs * (offer + answer),
            jobs * target.JOB_TASKS * layout.gateway_us / target.US_PER_S,
            "gateway.server, dispatch.submissions",
        ],
        [
            "owner and placer",
            f"{target.WORKERS_PER_SHARD} workers, {format_number(running)} "
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
    return _draw(columns, rows)


def _sum_reader_us(known: Slopes) -> float:
    lines = budget.list_lines(known)
    return sum(one.cpu_us for one in lines if "reader only" in one.name)


def _draw_control(known: Slopes, over: list[str]) -> str:
    lines = budget.list_lines(known)
    rows = [
        [
            line.name if line.is_steady else f"{line.name} (at times)",
            f"`{line.module}`",
            line.per_s,
            line.cpu_us / target.US_PER_S * 100,
            line.octets,
            _mark(
                f"{line.name}: bytes",
                line.octets,
                target.BUDGET_BYTES,
                over,
            )
            if line.cpu_us <= target.BUDGET_CPU_US
            else _mark(
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
                _mark(name, value, limit, over),
            ]
        )
    columns = ["line", "module", "a second", "% of a core", "bytes/s", ""]
    return _draw(columns, rows)


def _draw_memory(known: Slopes, over: list[str]) -> str:
    lines = budget.list_memory(known)
    rows = [
        [line.name, line.count, line.octets / target.MIB, ""] for line in lines
    ]
    control = sum(line.octets for line in lines if line.is_control)
    whole = sum(line.octets for line in lines)
    mark = _mark("memory of control", control, target.BUDGET_MEMORY, over)
    rows.append(["**control: the first six**", "", control / target.MIB, mark])
    rows.append(["**all**", "", whole / target.MIB, ""])
    return _draw(["rows", "count", "MiB", ""], rows)


def _draw_store(known: Slopes, over: list[str]) -> str:
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
        ("apply: read, check, confirm", 3 * changes, "platform.changes"),
    ]
    rows = [
        [name, f"`{module}`", per_s, _mark(name, per_s, 2000, over)]
        for name, per_s, module in reads
    ]
    total = sum(per_s for _, per_s, _ in reads)
    mark = _mark("store reads", total, target.STORE_READS_PER_S, over)
    rows.append(["**all reads**", "", total, mark])
    mark = _mark("store writes", changes, target.STORE_WRITES_PER_S, over)
    rows.append(["**all writes**: applies", "`audit.commits`", changes, mark])
    return _draw(["request", "module", "a second", ""], rows)


def _draw_connections(known: Slopes, over: list[str]) -> str:
    layout = target.lay_out(known)
    starts = layout.shard_starts / target.WORKERS_PER_SHARD
    slots = starts * target.MEAN_RUN_S
    rows = [
        ["tasks running on a worker, the mean", slots, ""],
        [
            "connections of its owner, one a running task and 2 for control",
            slots + 2,
            _mark("connections of a worker", slots + 2, 64, over),
        ],
        ["the same while two daemons think that they own it", slots + 4, ""],
        ["connections of all other daemons", 0, ""],
        ["accelerators of a worker, the mean", 35 / 15, ""],
    ]
    return _draw(["a worker", "count", ""], rows)


def _draw_days(known: Slopes) -> str:
    rows = [
        [day.name, day.messages, day.octets, day.cpu_us / 1e6, day.effect]
        for day in faults.list_days(known)
    ]
    columns = ["event", "messages", "bytes", "cpu s, all daemons", "effect"]
    return _draw(columns, rows)


def _draw_removed(known: Slopes, earlier: Slopes) -> str:
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
    return _draw(["cost", "slope", "before", "after", "times less"], cells)
