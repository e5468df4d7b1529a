"""Straight lines through measured points, and the file that keeps them."""

from collections.abc import Sequence
import dataclasses
import json
import pathlib
import statistics

# One repeat of a measurement: sizes and what was measured at each.
Points = Sequence[tuple[float, float]]


@dataclasses.dataclass(frozen=True)
class Slope:
    """A measured line `fixed + slope * size`.

    Attributes:
        name: Its name in the arithmetic.
        size: What the sizes count.
        unit: The unit of what was measured.
        fixed: What is spent at size 0; the median over repeats.
        slope: What each further size costs; the median over repeats.
        low: The smallest slope of a repeat.
        high: The largest slope of a repeat.
        fit: The coefficient of determination over all points.
        repeats: The points of each repeat.
        command: What measured it.
        commit: The commit that was measured.
        seed: The seed of the run.
    """

    name: str
    size: str
    unit: str
    fixed: float
    slope: float
    low: float
    high: float
    fit: float
    repeats: list[list[list[float]]]
    command: str = ""
    commit: str = ""
    seed: int = 0

    def compute(self, size: float) -> float:
        """Return what the line gives at a size, never below 0."""
        return max(0.0, self.fixed + self.slope * size)


def fit_line(points: Points) -> tuple[float, float]:
    """Return the constant and the slope of the least-squares line.

    Raises:
        ValueError: The points are at fewer than two sizes.
    """
    if len({size for size, _ in points}) < 2:
        raise ValueError("a line needs two sizes")
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.intercept, line.slope


def fit(name: str, size: str, unit: str, repeats: Sequence[Points]) -> Slope:
    """Return the line through each repeat's points, the median of all.

    Raises:
        ValueError: A repeat has fewer than three sizes.
    """
    if any(len({size for size, _ in points}) < 3 for points in repeats):
        raise ValueError(f"{name}: fewer than three sizes")
    lines = [fit_line(points) for points in repeats]
    steps = [step for _, step in lines]
    fixed = statistics.median(constant for constant, _ in lines)
    slope = statistics.median(steps)
    every = [point for points in repeats for point in points]
    return Slope(
        name,
        size,
        unit,
        fixed,
        slope,
        min(steps),
        max(steps),
        _compute_fit(every, fixed, slope),
        [[list(point) for point in points] for points in repeats],
    )


def read_slopes(path: pathlib.Path) -> dict[str, Slope]:
    """Return the recorded slopes by name; none if there is no file."""
    if not path.exists():
        return {}
    rows = json.loads(path.read_text())
    return {row["name"]: Slope(**row) for row in rows}


def write_slopes(path: pathlib.Path, slopes: dict[str, Slope]) -> None:
    """Write slopes in order of name."""
    rows = [dataclasses.asdict(slopes[name]) for name in sorted(slopes)]
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = ",\n".join(json.dumps(row) for row in rows)
    path.write_text(f"[\n{lines}\n]\n")


def list_faults(slopes: dict[str, Slope]) -> list[str]:
    """Return the slopes that their own points do not give."""
    faults = []
    for slope in slopes.values():
        again = fit(slope.name, slope.size, slope.unit, slope.repeats)
        for field in ("fixed", "slope", "low", "high", "fit"):
            told, found = getattr(slope, field), getattr(again, field)
            if abs(told - found) > 1e-6 * max(1e-9, abs(told), abs(found)):
                faults.append(f"{slope.name}: {field} is {told}, not {found}")
    return faults


def _compute_fit(points: Points, fixed: float, slope: float) -> float:
    mean = statistics.fmean(value for _, value in points)
    around = sum((value - mean) ** 2 for _, value in points)
    left = sum((value - fixed - slope * size) ** 2 for size, value in points)
    return 1.0 - left / around if around else 1.0
