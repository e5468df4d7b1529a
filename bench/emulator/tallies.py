"""Statistics of a simulated load, in total and by kind of request."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from bench.emulator import loads
from bench.emulator import simulations
from pollenladder.jobs import entities as jobs

# Factors on the value of a job of average work: a job's value has a fixed part
# and a part proportional to its work, and MAX_WORTH_FACTOR caps their sum.
FIXED_WORTH_SHARE = 0.3
MAX_WORTH_FACTOR = 4.0


@dataclasses.dataclass(frozen=True)
class Tally:
    """Statistics of the outcomes of a load.

    Attributes:
        worth: Earned share of the total value of all jobs.
        by_kind: Earned share of the total value, by kind.
        in_time: Share of the jobs that were completed in time.
        served: Share of the jobs that were completed before their deadline,
            late ones included.
        refused: Share of the jobs that were refused.
        late: Share of the jobs that were completed late but still earned a
            part of their value.
        refusal_p99_s: 99th percentile of the time to a refusal, in seconds.
        widest: Share of the jobs completed in time among the tenth with the
            most work, by kind.
    """

    worth: float
    by_kind: dict[str, float]
    in_time: float
    served: float
    refused: float
    late: float
    refusal_p99_s: float
    widest: dict[str, float]


def count(
    outcomes: Iterable[simulations.Outcome],
    sizes: loads.Sizes = loads.USUAL_SIZES,
) -> Tally:
    """Compute the statistics of outcomes.

    Args:
        outcomes: The outcomes.
        sizes: The CPU of the tasks in the load.
    """
    outcomes = list(outcomes)
    total: dict[str, float] = {}
    earned: dict[str, float] = {}
    for outcome in outcomes:
        kind = outcome.arrival.kind
        worth = _measure_worth(outcome.arrival, sizes)
        total[kind] = total.get(kind, 0.0) + worth
        share = outcome.get_earned_share()
        earned[kind] = earned.get(kind, 0.0) + share * worth
    refused = [o for o in outcomes if o.outcome is jobs.Outcome.REFUSED]
    late = [o for o in outcomes if 0.0 < o.get_earned_share() < 1.0]
    waits = sorted(o.took_s for o in refused)
    return Tally(
        worth=sum(earned.values()) / max(sum(total.values()), 1e-9),
        by_kind={kind: earned[kind] / total[kind] for kind in total},
        in_time=_measure_share(outcomes, lambda o: o.get_earned_share() == 1.0),
        served=_measure_share(
            outcomes, lambda o: o.outcome is jobs.Outcome.COMPLETED
        ),
        refused=len(refused) / max(1, len(outcomes)),
        late=len(late) / max(1, len(outcomes)),
        refusal_p99_s=waits[int(0.99 * (len(waits) - 1))] if waits else 0.0,
        widest={kind: _measure_largest(outcomes, kind) for kind in total},
    )


def _measure_share(
    outcomes: list[simulations.Outcome],
    is_counted: Callable[[simulations.Outcome], bool],
) -> float:
    return sum(map(is_counted, outcomes)) / max(1, len(outcomes))


def _measure_worth(arrival: loads.Arrival, sizes: loads.Sizes) -> float:
    kind = next(k for k in loads.REQUEST_KINDS if k.name == arrival.kind)
    work = sum(arrival.runs_s) * arrival.cpu_milli
    mean = kind.tasks * kind.run_s * sizes.task_cpu_milli
    factor = FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * work / mean
    return kind.worth * min(factor, MAX_WORTH_FACTOR)


def _measure_largest(outcomes: list[simulations.Outcome], kind: str) -> float:
    """Return the share completed in time of the largest tenth of a kind."""
    of_kind = [o for o in outcomes if o.arrival.kind == kind]
    of_kind.sort(key=lambda o: sum(o.arrival.runs_s) * o.arrival.cpu_milli)
    largest = of_kind[-max(1, len(of_kind) // 10) :]
    return sum(o.get_earned_share() == 1.0 for o in largest) / len(largest)
