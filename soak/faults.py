"""Faults from outside, drawn from a seed and carried out in their time."""

from collections.abc import Callable
import dataclasses
import random

# Time in which all faults begin; several may be in progress at once.
FIRST_S = 1.0
LAST_S = 11.0
FAULTS = (4, 9)


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: A name in `KINDS`.
        at_s: When it begins, from the start of the round.
        for_s: How long it lasts.
        target: A number that chooses whom it hits.
    """

    kind: str
    at_s: float
    for_s: float
    target: int


@dataclasses.dataclass(frozen=True)
class Kind:
    """What a kind of fault does.

    Attributes:
        begin: Called with the target's number.
        end: Likewise, when it is over.
    """

    begin: Callable[[int], None]
    end: Callable[[int], None]


def draw(seed: int, kinds: list[str]) -> list[Fault]:
    """Return the faults of a round, in order of time."""
    source = random.Random(seed)
    faults = [
        Fault(
            kind=source.choice(kinds),
            at_s=round(source.uniform(FIRST_S, LAST_S), 2),
            for_s=round(source.uniform(0.2, 3.5), 2),
            target=source.randrange(1000),
        )
        for _ in range(source.randint(*FAULTS))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)
