"""Loads of jobs: drawn from kinds of request, or recorded."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import random


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its name, which is its queue's.
        per_s: Jobs a second.
        tasks: Mean number of tasks.
        max_tasks: The largest number of tasks.
        run_s: Mean run time of a task.
        worth: What a job of mean work in time is worth.
        priority: 0 is the most urgent.
    """

    name: str
    per_s: float
    tasks: float
    max_tasks: int
    run_s: float
    worth: float
    priority: int


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job that comes.

    Attributes:
        at_s: When.
        kind: The name of its kind.
        cpu_milli: What each task takes.
        declared_s: Declared run time of a task.
        runs_s: What each task really takes on a sound worker.
    """

    at_s: float
    kind: str
    cpu_milli: int
    declared_s: float
    runs_s: tuple[float, ...]


# The users' sheet at load 1 for 24 workers.
SHEET = (
    Kind("check", 17.2, 8, 32, 0.06, 0.0291, 0),
    Kind("release", 3.12, 4, 16, 0.9, 0.16, 2),
    Kind("lookup", 50.0, 2, 8, 0.2, 0.01, 1),
)
SPREAD = 0.4
UNEVEN = 0.15
DECLARED_OFF = 0.4
CPU_MEAN_MILLI = 27_000
CPU_SPREAD = 0.2
CPU_MAX_MILLI = 41_000
MAX_RUN_FACTOR = 4.0


def draw(
    load: float,
    length_s: float,
    seed: int,
    bursts: tuple[tuple[float, float, float], ...] = (),
) -> Iterator[Arrival]:
    """Draw arrivals in order of time.

    Args:
        load: Times the sheet's rates.
        length_s: How long jobs come.
        seed: Of the random numbers.
        bursts: Begin, end and factor of each burst.
    """
    source = random.Random(seed)
    arrivals = []
    for kind in SHEET:
        at_s = 0.0
        while True:
            factor = load
            for begin_s, end_s, times in bursts:
                factor *= times if begin_s <= at_s < end_s else 1.0
            at_s += source.expovariate(kind.per_s * factor)
            if at_s > length_s:
                break
            arrivals.append(_draw_job(source, kind, at_s))
    yield from sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_job(source: random.Random, kind: Kind, at_s: float) -> Arrival:
    tasks = round(kind.tasks * source.lognormvariate(0, SPREAD))
    tasks = max(1, min(kind.max_tasks, tasks))
    run_s = kind.run_s * source.lognormvariate(-(SPREAD**2) / 2, SPREAD)
    run_s = min(run_s, MAX_RUN_FACTOR * kind.run_s)
    cpu = CPU_MEAN_MILLI * source.lognormvariate(0, CPU_SPREAD)
    return Arrival(
        at_s=at_s,
        kind=kind.name,
        cpu_milli=min(CPU_MAX_MILLI, int(cpu)),
        declared_s=run_s * source.lognormvariate(0, DECLARED_OFF),
        runs_s=tuple(
            run_s * source.lognormvariate(0, UNEVEN) for _ in range(tasks)
        ),
    )


def write(path: pathlib.Path, arrivals: Iterable[Arrival]) -> None:
    """Record arrivals, one JSON line each."""
    lines = [json.dumps(dataclasses.asdict(a)) for a in arrivals]
    path.write_text("\n".join(lines) + "\n")


def read(path: pathlib.Path) -> Iterator[Arrival]:
    """Return recorded arrivals.

    Raises:
        ValueError: A line holds none.
    """
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            found = json.loads(line)
            found["runs_s"] = tuple(found["runs_s"])
            yield Arrival(**found)
        except (TypeError, KeyError, ValueError) as error:
            raise ValueError(f"{path}:{number}: no arrival") from error
