"""Jobs to submit, drawn from a seed."""

import dataclasses
import random

from bench import layouts

SHORT_S = (0.05, 1.0)
LONG_S = (2.0, 6.0)
LONG_SHARE = 0.02
JOB_TASKS = (1, 100)
DECLARED_ERROR = 10.0
BURST_FACTOR = 4.0
BURST_PERIOD_S = 10.0
BURST_LENGTH_S = 1.5


@dataclasses.dataclass(frozen=True)
class Task:
    """One task of a job: what it takes and what the caller says it takes."""

    kind: str
    run_ms: int
    declared_ms: float
    declared_size: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and when it is submitted, in seconds from the start."""

    at_s: float
    customer_id: str
    tasks: tuple[Task, ...]


def draw(
    layout: layouts.Layout, load: float, seconds: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of a run, in order of time.

    Jobs are drawn until their run times fill the offered load; their times are
    then those of a Poisson process with that many events.

    Args:
        layout: Gives the slots, the customers and whether there are bursts.
        load: Offered work as a part of the slots' capacity.
        seconds: Length of the run.
        seed: Equal arguments give equal arrivals.
    """
    source = random.Random(f"{layout.name} {load} {seconds} {seed}")
    customers = list(layout.customer_shares)
    shares = list(layout.customer_shares.values())
    left_ms = load * layout.count_slots() * seconds * 1000
    jobs: list[tuple[str, tuple[Task, ...]]] = []
    while left_ms > 0:
        customer_id = source.choices(customers, shares)[0]
        tasks = _draw_tasks(source, layout.kinds)
        left_ms -= sum(task.run_ms for task in tasks)
        jobs.append((customer_id, tasks))
    times = [_draw_time(source, seconds, layout.bursts) for _ in jobs]
    return [
        Arrival(at_s, customer_id, tasks)
        for at_s, (customer_id, tasks) in zip(sorted(times), jobs, strict=True)
    ]


def _draw_time(source: random.Random, seconds: float, bursts: bool) -> float:
    """Return a time, more often within a burst."""
    while True:
        at_s = source.uniform(0, seconds)
        in_burst = at_s % BURST_PERIOD_S < BURST_LENGTH_S
        if not bursts or in_burst or source.random() < 1 / BURST_FACTOR:
            return at_s


def _draw_tasks(
    source: random.Random, kinds: tuple[str, ...]
) -> tuple[Task, ...]:
    kind = source.choice(kinds)
    return tuple(
        _draw_task(source, kind) for _ in range(source.randint(*JOB_TASKS))
    )


def _draw_task(source: random.Random, kind: str) -> Task:
    is_long = source.random() < LONG_SHARE
    run_s = source.uniform(*(LONG_S if is_long else SHORT_S))
    return Task(
        kind=kind,
        run_ms=max(1, round(run_s * 1000)),
        declared_ms=round(run_s * 1000 * _draw_error(source), 1),
        declared_size=round(_draw_error(source), 3),
    )


def _draw_error(source: random.Random) -> float:
    """Return a factor from a tenth to ten."""
    return DECLARED_ERROR ** source.uniform(-1, 1)
