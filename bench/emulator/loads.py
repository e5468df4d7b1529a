"""Loads of jobs, generated at random or read from a recording."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import json
import math
import pathlib
import random


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name of the kind and of its queue.
        per_s: Jobs per second at load 1.
        tasks: Median number of tasks in a job.
        max_tasks: Largest number of tasks in a job.
        run_s: Mean run time of a task, in seconds.
        worth: Value of a job of average work that is completed in time.
        priority: Priority of its jobs; 0 is the most urgent.
    """

    name: str
    per_s: float
    tasks: float
    max_tasks: int
    run_s: float
    worth: float
    priority: int


@dataclasses.dataclass(frozen=True)
class Tail:
    """Tasks that take many times as long as declared.

    Attributes:
        share: Share of the jobs, or of the tasks.
        factor: Factor on the run time.
        is_by_task: Whether single tasks are long, instead of whole jobs.
    """

    share: float
    factor: float
    is_by_task: bool = False


@dataclasses.dataclass(frozen=True)
class Wave:
    """A load that rises and falls as a sine.

    Attributes:
        swing: Largest deviation from the mean, as a share of it.
        period_s: Period in seconds.
    """

    swing: float
    period_s: float

    def get_factor(self, at_s: float) -> float:
        """Return the factor on the mean load."""
        return 1.0 + self.swing * math.sin(2 * math.pi * at_s / self.period_s)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and its submission time.

    Attributes:
        at_s: Submission time, in seconds from the start of the load.
        kind: Name of its kind.
        cpu_milli: CPU that each task needs, in thousandths of a core.
        declared_s: Run time of a task as declared by the caller, in seconds.
        runs_s: Actual run time of each task on a healthy worker, in seconds.
        queue: The job's queue; empty if it is named like its kind.
    """

    at_s: float
    kind: str
    cpu_milli: int
    declared_s: float
    runs_s: tuple[float, ...]
    queue: str = ""

    def get_queue(self) -> str:
        """Return the name of the job's queue."""
        return self.queue or self.kind


@dataclasses.dataclass(frozen=True)
class Sizes:
    """The CPU that tasks need, and that workers have.

    Attributes:
        task_cpu_milli: Mean CPU of a task, in thousandths of a core.
        max_task_cpu_milli: Largest CPU of a task, in thousandths of a core.
        worker_cpu_milli: CPU of the workers, in turn, in thousandths of a core.
    """

    task_cpu_milli: int
    max_task_cpu_milli: int
    worker_cpu_milli: tuple[int, ...]


# Request rates of the users' specification: load 1 for 24 workers.
REQUEST_KINDS = (
    Kind("check", 17.2, 8, 32, 0.06, 0.0291, 0),
    Kind("release", 3.12, 4, 16, 0.9, 0.16, 2),
    Kind("lookup", 50.0, 2, 8, 0.2, 0.01, 1),
)
# Sigmas of the log-normal factors on the kind's figures.
JOB_SIGMA = 0.4
TASK_RUN_SIGMA = 0.15
DECLARED_RUN_SIGMA = 0.4
CPU_SIGMA = 0.2
MAX_RUN_FACTOR = 4.0
# Every third worker has one and a half times the CPU of the others.
SIZES = {
    "usual": Sizes(27_000, 41_000, (64_000, 64_000, 96_000)),
    # Two or three tasks fill a worker.
    "tight": Sizes(14_000, 20_000, (32_000, 32_000, 48_000)),
    # Two average tasks do not always fit the smaller workers.
    "tighter": Sizes(16_000, 24_000, (32_000, 32_000, 48_000)),
}
USUAL_SIZES = SIZES["usual"]


def draw(
    load: float,
    length_s: float,
    seed: int,
    bursts: Iterable[Sequence[float]] = (),
    wave: Wave | None = None,
    tail: Tail | None = None,
    sizes: Sizes = USUAL_SIZES,
) -> Iterator[Arrival]:
    """Generate random arrivals in order of time.

    Args:
        load: Factor on the rates of `REQUEST_KINDS`.
        length_s: Time span in which jobs are submitted, in seconds.
        seed: Seed of the random number generator.
        bursts: Begin and end of each burst, in seconds, and its factor on the
            rates.
        wave: Variation of the rates over time.
        tail: Tasks that take many times as long as declared.
        sizes: The CPU of the tasks.
    """
    generator = random.Random(seed)
    arrivals = []
    for kind in REQUEST_KINDS:
        at_s = 0.0
        while True:
            factor = load * (wave.get_factor(at_s) if wave else 1.0)
            for begin_s, end_s, burst_factor in bursts:
                factor *= burst_factor if begin_s <= at_s < end_s else 1.0
            at_s += generator.expovariate(kind.per_s * factor)
            if at_s > length_s:
                break
            arrivals.append(_draw_job(generator, kind, at_s, sizes))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    if tail is not None:
        # Drawn separately, so that all else equals the load without a tail.
        generator = random.Random(f"tail {seed}")
        arrivals = [_lengthen(generator, a, tail) for a in arrivals]
    yield from arrivals


def _lengthen(
    generator: random.Random, arrival: Arrival, tail: Tail
) -> Arrival:
    """Return a job of which all or single tasks may be long."""
    draws = [generator.random() for _ in arrival.runs_s]
    if not tail.is_by_task:
        draws = draws[:1] * len(draws)
    runs_s = tuple(
        run_s * (tail.factor if draw < tail.share else 1.0)
        for run_s, draw in zip(arrival.runs_s, draws, strict=True)
    )
    return dataclasses.replace(arrival, runs_s=runs_s)


def _draw_job(
    generator: random.Random, kind: Kind, at_s: float, sizes: Sizes
) -> Arrival:
    tasks = round(kind.tasks * generator.lognormvariate(0, JOB_SIGMA))
    tasks = max(1, min(kind.max_tasks, tasks))
    run_s = kind.run_s * generator.lognormvariate(
        -(JOB_SIGMA**2) / 2, JOB_SIGMA
    )
    run_s = min(run_s, MAX_RUN_FACTOR * kind.run_s)
    cpu = sizes.task_cpu_milli * generator.lognormvariate(0, CPU_SIGMA)
    return Arrival(
        at_s=at_s,
        kind=kind.name,
        cpu_milli=min(sizes.max_task_cpu_milli, int(cpu)),
        declared_s=run_s * generator.lognormvariate(0, DECLARED_RUN_SIGMA),
        runs_s=tuple(
            run_s * generator.lognormvariate(0, TASK_RUN_SIGMA)
            for _ in range(tasks)
        ),
    )


def split_queues(
    arrivals: Iterable[Arrival], queues: int, seed: int
) -> Iterator[Arrival]:
    """Assign the jobs of each kind to several queues at random."""
    generator = random.Random(seed)
    for arrival in arrivals:
        queue = f"{arrival.kind}-{generator.randrange(queues)}"
        yield dataclasses.replace(arrival, queue=queue)


def list_queues(queues: int) -> list[str]:
    """Return the names of the queues that `split_queues` assigns."""
    return [
        f"{kind.name}-{number}"
        for kind in REQUEST_KINDS
        for number in range(queues)
    ]


def write(path: pathlib.Path, arrivals: Iterable[Arrival]) -> None:
    """Write arrivals to a file as JSON lines."""
    lines = [json.dumps(dataclasses.asdict(a)) for a in arrivals]
    path.write_text("\n".join(lines) + "\n")


def read(path: pathlib.Path) -> Iterator[Arrival]:
    """Read the arrivals that `write` wrote.

    Raises:
        ValueError: A line is not a valid arrival.
    """
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            fields = json.loads(line)
            fields["runs_s"] = tuple(fields["runs_s"])
            yield Arrival(**fields)
        except (TypeError, KeyError, ValueError) as error:
            raise ValueError(f"{path}:{number}: not a valid arrival") from error
