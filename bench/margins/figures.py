"""Samples of times, and the figures that are told of them."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class Sample:
    """One measured time.

    Attributes:
        case: What was done, and what the time is from and to.
        seconds: The time.
    """

    case: str
    seconds: float


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of the samples of one case, in seconds.

    Attributes:
        case: What was done, and what the time is from and to.
        count: The number of samples.
        median: The median.
        p95: The 95th percentile: the nearest rank, never between two samples.
        worst: The longest time.
    """

    case: str
    count: int
    median: float
    p95: float
    worst: float


def summarize(samples: Iterable[Sample]) -> list[Figures]:
    """Return the figures of each case, in the order of their first samples."""
    times: dict[str, list[float]] = {}
    for sample in samples:
        times.setdefault(sample.case, []).append(sample.seconds)
    return [_summarize_case(case, sorted(s)) for case, s in times.items()]


def _summarize_case(case: str, ordered: Sequence[float]) -> Figures:
    return Figures(
        case,
        len(ordered),
        _choose(ordered, 0.5),
        _choose(ordered, 0.95),
        ordered[-1],
    )


def _choose(ordered: Sequence[float], share: float) -> float:
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
