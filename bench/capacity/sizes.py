"""Small clusters of chosen sizes, and what their daemons spend."""

from collections.abc import Iterator
import contextlib
import dataclasses
import math
import pathlib
import tempfile
import time

from bench import cluster
from bench import declarations
from bench import http
from bench import layouts
from bench import processes
from bench import requests
from bench.capacity import readings

WORKERS_PER_SHARD = 32
WARM_UP_S = 4.0
OWNER_TIMEOUT_S = 20.0
CENTRE = "north"


@dataclasses.dataclass(frozen=True)
class Spent:
    """What a daemon spent in an interval.

    Attributes:
        cpu_us: Processor time a second, in us.
        rss: Memory held at the end, in bytes.
        link_bytes: Bytes a second over peer links, both ways.
        messages: Messages sent a second, by kind.
    """

    cpu_us: float
    rss: float
    link_bytes: float
    messages: dict[str, float]


def build_layout(
    *,
    workers: int,
    daemons: int = 1,
    centres: tuple[str, ...] = (CENTRE,),
    slots: int = 8,
) -> layouts.Layout:
    """Return a layout with one customer."""
    return layouts.Layout(
        name="capacity",
        data_centres=centres,
        daemons=daemons,
        workers=workers,
        workers_per_rack=40,
        slots=slots,
        connections=2 * slots + 64,
        client_latency_s=0.0,
        customer_shares={"first": 1.0},
        kinds=("lookup",),
    )


@contextlib.contextmanager
def run_cluster(
    layout: layouts.Layout, shards: int = 0
) -> Iterator[cluster.Cluster]:
    """Give a running cluster whose shards all have owners.

    Args:
        layout: The sizes.
        shards: Shards of each data centre; by default by its workers.
    """
    local = math.ceil(layout.workers / len(layout.data_centres))
    shards = shards or math.ceil(local / WORKERS_PER_SHARD)
    centres = {
        name: {"shards": shards, "region": name} for name in layout.data_centres
    }
    settings = {"data_centres": centres, "shards_per_owner": 1}
    with (
        tempfile.TemporaryDirectory(prefix="capacity-") as folder,
        processes.open_group(pathlib.Path(folder)) as group,
    ):
        running = cluster.start(group, layout, overrides=settings)
        wanted = shards * len(layout.data_centres)
        cluster.wait_until(
            lambda: len(find_owners(running)) == wanted,
            "owners of all shards",
            OWNER_TIMEOUT_S,
        )
        time.sleep(WARM_UP_S)
        yield running


def find_owners(running: cluster.Cluster) -> dict[str, str]:
    """Return the owner of each shard that the first daemon knows of."""
    token = requests.make_token(declarations.OPERATOR_ID)
    port = running.daemons[0]["http_port"]
    status = http.request_json(port, "/v1/operator/status", token=token)
    return {row["shard"]: row["owner"] for row in status["shards"]}


def choose_daemons(running: cluster.Cluster) -> tuple[str, str]:
    """Return the owner of the first shard and a daemon that owns none.

    The second is the first itself if there is no other.
    """
    owners = find_owners(running)
    owner = owners[f"{CENTRE}/0"]
    for row in running.daemons:
        if row["data_centre"] == CENTRE and row["vm_id"] != owner:
            return owner, row["vm_id"]
    return owner, owner


def observe(
    running: cluster.Cluster, daemon_ids: tuple[str, ...], seconds: float
) -> list[Spent]:
    """Return what each daemon spends in an interval that begins now."""
    before = [readings.read_begin(running, one) for one in daemon_ids]
    time.sleep(seconds)
    after = [readings.read_end(running, one) for one in daemon_ids]
    return [compare(*pair) for pair in zip(before, after, strict=True)]


def compare(before: readings.Reading, after: readings.Reading) -> Spent:
    """Return what was spent a second between two readings."""
    seconds = after.at_s - before.at_s
    kinds = {
        kind: (total - before.messages.get(kind, 0.0)) / seconds
        for kind, total in after.messages.items()
    }
    return Spent(
        (after.cpu_s - before.cpu_s) / seconds * 1_000_000,
        float(after.rss),
        (after.link_bytes - before.link_bytes) / seconds,
        kinds,
    )
