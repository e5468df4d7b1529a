"""Random jobs to submit, generated from a seed."""

import dataclasses
import random

from bench import layouts

# Ranges of the run times of short and of long tasks.
SHORT_S = (0.05, 1.0)
LONG_S = (2.0, 6.0)
LONG_SHARE = 0.02
JOB_TASKS = (1, 100)
# Declared run times are wrong by a factor of up to 10, both ways.
MAX_DECLARED_ERROR = 10.0
# Arrival rate within a burst over the rate between bursts.
BURST_FACTOR = 4.0
BURST_PERIOD_S = 10.0
BURST_LENGTH_S = 1.5


@dataclasses.dataclass(frozen=True)
class Task:
    """A task with its actual run time and the caller's declarations."""

    kind: str
    run_ms: int
    declared_ms: float
    declared_size: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and its submission time, in seconds from the start of the load."""

    at_s: float
    customer_id: str
    tasks: tuple[Task, ...]


def draw(
    layout: layouts.Layout, load: float, seconds: float, seed: int
) -> list[Arrival]:
    """Generate the arrivals of a run, in order of time.

    Jobs are generated until their total run time reaches the offered load.
    Their times are independent, as in a Poisson process with that number of
    events.

    Args:
        layout: Layout with the slots, the customers and whether arrivals come
            in bursts.
        load: Offered work as a fraction of the capacity of all slots.
        seconds: Length of the run.
        seed: Seed of the random numbers; equal arguments give equal arrivals.
    """
    generator = random.Random(f"{layout.name} {load} {seconds} {seed}")
    customers = list(layout.customer_shares)
    shares = list(layout.customer_shares.values())
    remaining_ms = load * layout.count_slots() * seconds * 1000
    jobs: list[tuple[str, tuple[Task, ...]]] = []
    while remaining_ms > 0:
        customer_id = generator.choices(customers, shares)[0]
        tasks = _draw_tasks(generator, layout.kinds)
        remaining_ms -= sum(task.run_ms for task in tasks)
        jobs.append((customer_id, tasks))
    times = [_draw_time(generator, seconds, layout.bursts) for _ in jobs]
    return [
        Arrival(at_s, customer_id, tasks)
        for at_s, (customer_id, tasks) in zip(sorted(times), jobs, strict=True)
    ]


def _draw_time(generator: random.Random, seconds: float, bursts: bool) -> float:
    """Return a random time; bursts are BURST_FACTOR times as likely."""
    while True:
        at_s = generator.uniform(0, seconds)
        in_burst = at_s % BURST_PERIOD_S < BURST_LENGTH_S
        if not bursts or in_burst or generator.random() < 1 / BURST_FACTOR:
            return at_s


def _draw_tasks(
    generator: random.Random, kinds: tuple[str, ...]
) -> tuple[Task, ...]:
    kind = generator.choice(kinds)
    return tuple(
        _draw_task(generator, kind)
        for _ in range(generator.randint(*JOB_TASKS))
    )


def _draw_task(generator: random.Random, kind: str) -> Task:
    is_long = generator.random() < LONG_SHARE
    run_s = generator.uniform(*(LONG_S if is_long else SHORT_S))
    return Task(
        kind=kind,
        run_ms=max(1, round(run_s * 1000)),
        declared_ms=round(run_s * 1000 * _draw_error(generator), 1),
        declared_size=round(_draw_error(generator), 3),
    )


def _draw_error(generator: random.Random) -> float:
    """Return a random factor between 1/10 and 10, uniform on a log scale."""
    return MAX_DECLARED_ERROR ** generator.uniform(-1, 1)
