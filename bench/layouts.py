"""Sizes of the clusters that are measured."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Layout:
    """Number and location of the machines of a cluster, and its load.

    Attributes:
        name: Name of the layout.
        data_centres: Names of the data centres.
        daemons: Number of daemons, assigned to the data centres in turn.
        workers: Number of workers, assigned to the data centres in turn.
        workers_per_rack: Number of workers that share a rack.
        slots: Number of tasks that a worker runs at once.
        connections: Number of connections that a worker accepts.
        client_latency_s: One-way latency between callers and daemons, in
            seconds.
        customer_shares: Fraction of the load that each customer sends.
        kinds: Names of the kinds of task, all idempotent.
        bursts: Whether arrivals come in bursts.
    """

    name: str
    data_centres: tuple[str, ...]
    daemons: int
    workers: int
    workers_per_rack: int
    slots: int
    connections: int
    client_latency_s: float
    customer_shares: dict[str, float]
    kinds: tuple[str, ...]
    bursts: bool = False

    def count_slots(self) -> int:
        """Return the number of tasks that all workers run at once."""
        return self.workers * self.slots


RED_ANDINA = Layout(
    name="red_andina",
    data_centres=("quito-norte", "quito-sur", "ambato"),
    daemons=7,
    workers=24,
    workers_per_rack=8,
    slots=8,
    connections=64,
    client_latency_s=0.003,
    customer_shares={
        "centre-quito": 0.4,
        "centre-ambato": 0.2,
        "centre-loja": 0.1,
        "centre-cuenca": 0.1,
        "centre-ibarra": 0.1,
        "centre-manta": 0.1,
    },
    kinds=("session-check", "roster-lookup"),
)

DALBIT = Layout(
    name="dalbit",
    data_centres=("seoul-a", "seoul-b", "seoul-c", "seoul-d"),
    daemons=6,
    workers=24,
    workers_per_rack=6,
    slots=8,
    connections=64,
    client_latency_s=0.001,
    customer_shares={
        "folk-collection": 0.5,
        "shop-prints": 0.2,
        "shop-ceramics": 0.2,
        "shop-catalogues": 0.1,
    },
    kinds=("stock-hold", "price-quote"),
    bursts=True,
)

SMALL = Layout(
    name="small",
    data_centres=("north", "south"),
    daemons=2,
    workers=4,
    workers_per_rack=2,
    slots=4,
    connections=64,
    client_latency_s=0.0,
    customer_shares={"first": 0.7, "second": 0.3},
    kinds=("lookup",),
)

DEMO = Layout(
    name="demo",
    data_centres=("quito-norte", "seoul-a"),
    daemons=4,
    workers=24,
    workers_per_rack=6,
    slots=8,
    connections=64,
    client_latency_s=0.003,
    customer_shares={
        "centro-quito": 0.3,
        "centro-ambato": 0.1,
        "centro-sierra-sur": 0.1,
        "folk-collection": 0.3,
        "ceramics-museum": 0.1,
        "print-gallery": 0.1,
    },
    kinds=("any",),
)

ALL = {layout.name: layout for layout in (RED_ANDINA, DALBIT, SMALL)}
