"""The faults of a history, drawn from its seed."""

import dataclasses
import enum
import random

from tests.scheduling.overlaps import shapes
from tests.scheduling.overlaps import stores

# When the daemons have started and an owner has claimed the workers.
BEGIN_AT = 102.5
# The faults begin within this time.
FAULTS_S = 2.5
MAX_FAULTS = 6
# The times between the first and the last begin of a history, at most.
SERIES_S = (0.7, 1.4, FAULTS_S)
# Share of the faults of a daemon that hit one of the first owners.
OWNERS_SHARE = 0.5


class Kind(enum.Enum):
    """What fails.

    Attributes:
        CUT: Some machines and others do not reach each other.
        ONE_WAY_CUT: Some machines do not reach others.
        RESETS: Links between daemons are reset, once or several times.
        WORKER_RESETS: Connections of some daemons to some workers are reset.
        FREEZE: A daemon does nothing for a while.
        KILL: A daemon is killed and started again.
        WORKER_KILL: A worker is killed and started again.
        BROKEN_CALLERS: The connections of a gateway's callers break.
        HELD_UP_ORDERS: Some orders to workers are carried out late.
        LOST_REPORTS: A worker cannot report to the store, so that its row may expire.
        DRAIN: A worker drains, leaves, and comes back under its id.
        STOP: A daemon is stopped in order and started again.
    """

    CUT = "cut"
    ONE_WAY_CUT = "one_way_cut"
    RESETS = "resets"
    WORKER_RESETS = "worker_resets"
    FREEZE = "freeze"
    KILL = "kill"
    WORKER_KILL = "worker_kill"
    BROKEN_CALLERS = "broken_callers"
    HELD_UP_ORDERS = "held_up_orders"
    LOST_REPORTS = "lost_reports"
    DRAIN = "drain"
    STOP = "stop"


_WEIGHTS = {
    Kind.CUT: 8,
    Kind.ONE_WAY_CUT: 3,
    Kind.RESETS: 4,
    Kind.WORKER_RESETS: 1,
    Kind.FREEZE: 4,
    Kind.KILL: 2,
    Kind.WORKER_KILL: 1,
    Kind.BROKEN_CALLERS: 3,
    Kind.HELD_UP_ORDERS: 2,
    Kind.LOST_REPORTS: 2,
    Kind.DRAIN: 2,
    Kind.STOP: 2,
}


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: What fails.
        at: When it begins.
        lasts_s: How long it lasts.
        here: The machines that are affected, or the senders.
        there: The others, or the receivers.
    """

    kind: Kind
    at: float
    lasts_s: float
    here: tuple[str, ...]
    there: tuple[str, ...] = ()


def draw(seed: int, shape: shapes.Shape) -> list[Fault]:
    """Return the faults of a history, in order of time."""
    source = random.Random(f"faults {seed}")
    count = source.randint(1, MAX_FAULTS)
    kinds = source.choices(list(_WEIGHTS), list(_WEIGHTS.values()), k=count)
    lasts_s = source.choice(SERIES_S)
    first_at = BEGIN_AT + source.uniform(0.0, FAULTS_S - lasts_s)
    found = [
        _draw_fault(
            source, kind, shape, first_at + source.uniform(0.0, lasts_s)
        )
        for kind in kinds
    ]
    return sorted(found, key=lambda fault: fault.at)


def _draw_fault(
    source: random.Random, kind: Kind, shape: shapes.Shape, at: float
) -> Fault:
    daemons = list(shape.list_daemons())
    workers = list(shape.list_workers())
    if kind in (Kind.CUT, Kind.ONE_WAY_CUT):
        here, there = _draw_sides(source, shape)
        return Fault(kind, at, source.uniform(0.2, 3.0), here, there)
    if kind is Kind.RESETS:
        here, there = _split(source, daemons)
        lasts_s = source.choice((0.0, 0.0, 1.0, 2.0))
        return Fault(kind, at, lasts_s, here, there)
    if kind is Kind.WORKER_RESETS:
        chosen = tuple(source.sample(workers, 2))
        return Fault(kind, at, 0.0, (_choose_daemon(source, shape),), chosen)
    if kind is Kind.FREEZE:
        lasts_s = source.uniform(0.2, 2.0)
        return Fault(kind, at, lasts_s, (_choose_daemon(source, shape),))
    if kind is Kind.WORKER_KILL:
        lasts_s = source.uniform(0.2, 1.5)
        return Fault(kind, at, lasts_s, (source.choice(workers),))
    if kind in (Kind.LOST_REPORTS, Kind.DRAIN):
        lasts_s = source.uniform(1.0, 4.0)
        return Fault(kind, at, lasts_s, (source.choice(workers),))
    if kind is Kind.HELD_UP_ORDERS:
        return Fault(kind, at, source.uniform(0.2, 2.0), ())
    lasts_s = source.uniform(0.2, 1.5)
    return Fault(kind, at, lasts_s, (_choose_daemon(source, shape),))


def _choose_daemon(source: random.Random, shape: shapes.Shape) -> str:
    """Return a daemon; the first one of a data centre owns its group at first."""
    daemons = list(shape.list_daemons())
    if source.random() < OWNERS_SHARE:
        daemons = daemons[:: shape.daemons]
    return source.choice(daemons)


def _draw_sides(
    source: random.Random, shape: shapes.Shape
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the two sides of a cut.

    It separates a data centre, a random set of machines, or some daemons from some
    workers. It may also separate some machines only, while the others reach both sides.
    """
    daemons, workers = shape.list_daemons(), shape.list_workers()
    centres = daemons | workers
    draw = source.random()
    if draw < 0.3:
        name = source.choice(shape.data_centres)
        here = [machine for machine in centres if centres[machine] == name]
        there = [machine for machine in centres if centres[machine] != name]
        return tuple(here), (*there, stores.STORE_ID)
    if draw < 0.5:
        return _split(source, [*centres, stores.STORE_ID])
    if draw < 0.65:
        here, _ = _split(source, list(daemons))
        there, _ = _split(source, list(workers))
        return here, there
    if draw < 0.85:
        return _split(source, list(daemons))
    chosen = source.sample([*centres, stores.STORE_ID], source.randint(2, 6))
    return _split(source, chosen)


def _split(
    source: random.Random, machines: list[str]
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    shuffled = source.sample(machines, len(machines))
    position = source.randint(1, len(machines) - 1)
    return tuple(shuffled[:position]), tuple(shuffled[position:])
