"""Random faults drawn from a seed, with their start times and durations."""

from collections.abc import Callable
import dataclasses
import random

# All faults start in this part of a round; several may be active at once.
FIRST_START_S = 1.0
LAST_START_S = 11.0
# Smallest and largest number of faults in a round.
FAULT_COUNT_RANGE = (4, 9)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault in a round.

    Attributes:
        kind: A key of `rounds.Round.list_kinds`.
        at_s: The start in seconds from the start of the round.
        for_s: The duration in seconds.
        target: A number that selects the daemon or worker; it is taken modulo
            the number of candidates.
    """

    kind: str
    at_s: float
    for_s: float
    target: int


@dataclasses.dataclass(frozen=True)
class Kind:
    """The actions of a kind of fault.

    Attributes:
        begin: Starts the fault; called with the target number.
        end: Ends the fault; called with the target number.
    """

    begin: Callable[[int], None]
    end: Callable[[int], None]


def draw(seed: int, kinds: list[str]) -> list[Fault]:
    """Draw the faults of a round from its seed, in order of start time."""
    rng = random.Random(seed)
    faults = [
        Fault(
            kind=rng.choice(kinds),
            at_s=round(rng.uniform(FIRST_START_S, LAST_START_S), 2),
            for_s=round(rng.uniform(0.2, 3.5), 2),
            target=rng.randrange(1000),
        )
        for _ in range(rng.randint(*FAULT_COUNT_RANGE))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)
