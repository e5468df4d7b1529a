"""What a played load has earned, whole and by kind."""

from collections.abc import Iterable
import dataclasses

from bench.emulator import loads
from bench.emulator import worlds
from pollenladder.jobs import entities as jobs

# A job is worth a fixed part, and the rest by its work, up to a bound.
FIXED_SHARE = 0.3
MAX_WORTH = 4.0


@dataclasses.dataclass(frozen=True)
class Tally:
    """What was earned.

    Attributes:
        worth: Share of all worth that was earned.
        by_kind: The same for each kind.
        refused: Share of the jobs that were refused.
        late: Share of the jobs that were completed late.
        refusal_p99_s: The slowest refusal but one in a hundred.
        widest: Share of jobs in time of the largest tenth of each kind, by
            kind.
    """

    worth: float
    by_kind: dict[str, float]
    refused: float
    late: float
    refusal_p99_s: float
    widest: dict[str, float]


def count(outcomes: Iterable[worlds.Outcome]) -> Tally:
    """Tally what became of jobs."""
    outcomes = list(outcomes)
    owed: dict[str, float] = {}
    earned: dict[str, float] = {}
    for outcome in outcomes:
        kind = outcome.arrival.kind
        worth = _measure_worth(outcome.arrival)
        owed[kind] = owed.get(kind, 0.0) + worth
        share = outcome.get_share()
        earned[kind] = earned.get(kind, 0.0) + share * worth
    refused = [o for o in outcomes if o.outcome is jobs.Outcome.REFUSED]
    late = [o for o in outcomes if 0.0 < o.get_share() < 1.0]
    waits = sorted(o.took_s for o in refused)
    return Tally(
        worth=sum(earned.values()) / max(sum(owed.values()), 1e-9),
        by_kind={kind: earned[kind] / owed[kind] for kind in owed},
        refused=len(refused) / max(1, len(outcomes)),
        late=len(late) / max(1, len(outcomes)),
        refusal_p99_s=waits[int(0.99 * (len(waits) - 1))] if waits else 0.0,
        widest={kind: _measure_widest(outcomes, kind) for kind in owed},
    )


def _measure_worth(arrival: loads.Arrival) -> float:
    kind = next(k for k in loads.SHEET if k.name == arrival.kind)
    work = sum(arrival.runs_s) * arrival.cpu_milli
    mean = kind.tasks * kind.run_s * loads.CPU_MEAN_MILLI
    factor = FIXED_SHARE + (1 - FIXED_SHARE) * work / mean
    return kind.worth * min(factor, MAX_WORTH)


def _measure_widest(outcomes: list[worlds.Outcome], kind: str) -> float:
    """Return the share in time of the largest tenth of a kind."""
    own = [o for o in outcomes if o.arrival.kind == kind]
    own.sort(key=lambda o: sum(o.arrival.runs_s) * o.arrival.cpu_milli)
    widest = own[-max(1, len(own) // 10) :]
    return sum(o.get_share() == 1.0 for o in widest) / len(widest)
