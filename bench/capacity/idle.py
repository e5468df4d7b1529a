"""What idle daemons spend, against workers, daemons, plans and listed VMs."""

from collections.abc import Callable
from collections.abc import Iterator
import time

from bench import cluster
from bench import declarations
from bench import http
from bench.capacity import samples
from bench.capacity import sizes
from bench.capacity import slopes

WORKERS = (8, 32, 96, 192)
DAEMONS = (2, 4, 8, 16)
CENTRES = (2, 4, 8)
SHARDS = (1, 6, 19)
PLANS = (1, 140, 420)
LISTED = (0, 2000, 8000, 16000)
WINDOW_S = 10.0
SETTLE_S = 4.0
ROLES = ("owner", "other")
ELSEWHERE = "elsewhere"

# A size, the running cluster at that size.
Step = tuple[int, cluster.Cluster]


def measure_all(repeats: int, only: str = "") -> list[slopes.Slope]:
    """Return the slopes of idle daemons.

    Args:
        repeats: Intervals at each size.
        only: Measure just the ones whose name begins so.
    """
    found = []
    for name, size, walk in (
        ("idle_workers", "workers of the daemon's shards", _walk_workers),
        ("idle_daemons", "daemons of the data centre", _walk_daemons),
        ("idle_centres", "data centres of one daemon", _walk_centres),
        ("idle_shards", "shards of the data centre", _walk_shards),
        ("idle_plans", "plans", _walk_plans),
        ("idle_vms", "VMs listed elsewhere", _walk_listed),
    ):
        if name.startswith(only):
            found += _measure(name, size, walk, repeats)
    return found


def _measure(
    name: str,
    size: str,
    walk: Callable[[], Iterator[Step]],
    repeats: int,
) -> list[slopes.Slope]:
    rows: dict[tuple[str, str], list[list[tuple[float, float]]]] = {}
    for count, running in walk():
        chosen = sizes.choose_daemons(running)
        for repeat in range(repeats):
            spent = sizes.observe(running, chosen, WINDOW_S)
            for role, one in zip(ROLES, spent, strict=True):
                for unit, value in _list_values(role, one):
                    key = (f"{name}_{role}_{unit}", unit)
                    points = rows.setdefault(key, [[] for _ in range(repeats)])
                    points[repeat].append((count, value))
    return [
        slopes.fit(key, size, unit, points)
        for (key, unit), points in rows.items()
    ]


def _list_values(role: str, spent: sizes.Spent) -> list[tuple[str, float]]:
    values = [("cpu_us", spent.cpu_us), ("rss", spent.rss)]
    if role == ROLES[0]:
        values += [
            ("link_bytes", spent.link_bytes),
            ("leases", spent.messages.get("lease", 0.0)),
            ("digests", spent.messages.get("heartbeat", 0.0)),
        ]
    return values


def _walk_workers() -> Iterator[Step]:
    for count in WORKERS:
        with sizes.run_cluster(sizes.build_layout(workers=count)) as running:
            yield count, running


def _walk_daemons() -> Iterator[Step]:
    for count in DAEMONS:
        layout = sizes.build_layout(workers=4, daemons=count)
        with sizes.run_cluster(layout) as running:
            yield count, running


def _walk_centres() -> Iterator[Step]:
    for count in CENTRES:
        others = tuple(f"south-{number}" for number in range(1, count))
        layout = sizes.build_layout(
            workers=count, daemons=count, centres=(sizes.CENTRE, *others)
        )
        with sizes.run_cluster(layout) as running:
            yield count, running


def _walk_shards() -> Iterator[Step]:
    layout = sizes.build_layout(workers=2 * SHARDS[-1], daemons=2)
    for count in SHARDS:
        with sizes.run_cluster(layout, shards=count) as running:
            yield count, running


def _walk_plans() -> Iterator[Step]:
    layout = sizes.build_layout(workers=4, daemons=2)
    with sizes.run_cluster(layout) as running:
        for version, count in enumerate(PLANS, 2):
            row = samples.build_row(count)
            customers = declarations.build_customers(layout)
            plans = declarations.build_plans(layout)
            customers["customers"] += row["customers"]["customers"]
            plans["plans"] += row["plans"]["plans"]
            port = running.platform_port
            declarations.write_row(port, customers, plans, version)
            time.sleep(SETTLE_S)
            yield count, running


def _walk_listed() -> Iterator[Step]:
    layout = sizes.build_layout(workers=4, daemons=2)
    with sizes.run_cluster(layout) as running:
        known = 0
        for count in LISTED:
            rows = [samples.build_vm(n, ELSEWHERE) for n in range(known, count)]
            port = running.platform_control_port
            http.request_json(
                port, "/control/vms", {"set": rows, "remove": []}, timeout_s=60
            )
            known = count
            time.sleep(SETTLE_S)
            yield count, running
