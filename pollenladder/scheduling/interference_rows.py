"""Encode what was learned about interference for the store.

A row holds the marginal distribution of each coefficient, not the sums of
products, which would be too large. After a hand-over, the estimates and their
errors are the same; only the correlations between neighbours are lost.
"""

import math
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from pollenladder.scheduling import interference

VERSION = 1
# Neighbouring kinds in a row, over all kinds. An entry takes about 35 bytes as
# JSON.
MAX_ENTRIES = 128
# Kinds with longer names are not stored.
MAX_NAME_LENGTH = 200
# Far above what the owner can observe; bounds the influence of a corrupt row.
MAX_EVIDENCE = 1e9
MAX_LOG_SLOWDOWN = 5.0

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
_Index = Annotated[int, msgspec.Meta(ge=0, lt=interference.MAX_KINDS)]
_Evidence = Annotated[float, msgspec.Meta(ge=0, le=MAX_EVIDENCE)]
_Logarithm = Annotated[
    float, msgspec.Meta(ge=-MAX_LOG_SLOWDOWN, le=MAX_LOG_SLOWDOWN)
]


class _Coefficient(msgspec.Struct, array_like=True, frozen=True):
    """A coefficient of one kind.

    Attributes:
        neighbour: Index of the neighbouring kind; None for the worker's load.
        value: Logarithm of the slowdown.
        information: Variance of the response divided by the variance of the
            value, without the prior.
        overlap: Sum of the overlaps, in runs.
        is_pair: Whether the pair counts.
    """

    neighbour: _Index | None
    value: _Logarithm
    information: _Evidence
    overlap: _Evidence
    is_pair: bool


class _Kind(msgspec.Struct, array_like=True, frozen=True):
    """What was learned about one kind.

    Attributes:
        kind: Index of the kind.
        degrees: Number of degrees of freedom that remain.
        variance: Variance of the response around the model.
        coefficients: The coefficients.
    """

    kind: _Index
    degrees: _Evidence
    variance: Annotated[float, msgspec.Meta(gt=0, le=MAX_EVIDENCE)]
    coefficients: Annotated[
        list[_Coefficient],
        msgspec.Meta(max_length=interference.MAX_NEIGHBOURS + 1),
    ]


class _Row(msgspec.Struct, frozen=True):
    """A row; kinds are named once and referred to by index."""

    version: Literal[1]
    names: Annotated[
        list[_Name], msgspec.Meta(max_length=interference.MAX_KINDS)
    ]
    kinds: Annotated[
        list[_Kind], msgspec.Meta(max_length=interference.MAX_KINDS)
    ]


def encode(model: interference.Model) -> dict[str, Any]:
    """Return a model as plain values of bounded size.

    The pairs that count come first, then those with the most overlap. Kinds
    that were not fitted yet are left out.
    """
    names = [n for n in model.seen_at if len(n) <= MAX_NAME_LENGTH]
    indexes = {name: index for index, name in enumerate(names)}
    entries = [
        ((kind, neighbour) in model.pairs, overlap, kind, neighbour)
        for kind, evidence in model.evidence.items()
        for neighbour, overlap in evidence.overlaps.items()
        if kind in indexes
        and neighbour in indexes
        and neighbour in evidence.coefficients
    ]
    kept = {
        (kind, neighbour)
        for _, _, kind, neighbour in sorted(entries)[-MAX_ENTRIES:]
    }
    kinds = [
        _encode_kind(model, kind, kept, indexes)
        for kind in model.evidence
        if any(kind == owner for owner, _ in kept)
    ]
    return msgspec.to_builtins(_Row(VERSION, names, kinds))


def _encode_kind(
    model: interference.Model,
    kind: str,
    kept: set[tuple[str, str]],
    indexes: dict[str, int],
) -> _Kind:
    evidence = model.evidence[kind]
    variance = evidence.variance
    ridge = variance / interference.PRIOR_DEVIATION**2
    coefficients = []
    for neighbour, coefficient in evidence.coefficients.items():
        is_load = neighbour == interference.LOAD
        if not is_load and (kind, neighbour) not in kept:
            continue
        information = variance / max(coefficient.error**2, 1e-12) - ridge
        coefficients.append(
            _Coefficient(
                None if is_load else indexes[neighbour],
                round(_bound(coefficient.value, MAX_LOG_SLOWDOWN), 5),
                round(max(0.0, min(information, MAX_EVIDENCE)), 3),
                round(
                    min(evidence.overlaps.get(neighbour, 0.0), MAX_EVIDENCE), 3
                ),
                (kind, neighbour) in model.pairs,
            )
        )
    degrees = max(0.0, evidence.degrees - len(evidence.coefficients))
    return _Kind(
        indexes[kind],
        round(min(degrees, MAX_EVIDENCE), 3),
        round(variance, 7),
        coefficients,
    )


def _bound(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


def decode(row: object, now: float, age_s: float = 0.0) -> interference.Model:
    """Return the model that a row contains.

    Args:
        row: Plain values, as returned by `encode`.
        now: Monotonic time in seconds.
        age_s: Time since the row was encoded, in seconds; its evidence decays
            accordingly.

    Raises:
        ValueError: The row is invalid, or of another version.
    """
    try:
        found = msgspec.convert(row, _Row)
    except msgspec.ValidationError as error:
        raise ValueError(f"invalid interference: {error}") from error
    _check_indexes(found)
    model = interference.Model()
    learned_at = now - max(0.0, age_s)
    model.seen_at = dict.fromkeys(found.names, learned_at)
    for entry in found.kinds:
        kind = found.names[entry.kind]
        evidence = _decode_kind(entry, found.names)
        evidence.decayed_at = learned_at
        model.evidence[kind] = evidence
        for coefficient in entry.coefficients:
            if coefficient.is_pair and coefficient.neighbour is not None:
                key = (kind, found.names[coefficient.neighbour])
                model.pairs[key] = interference.Pair(1.0, 1.0, 0.0)
    interference.fit_all(model, now)
    return model


def _check_indexes(row: _Row) -> None:
    """Raise ValueError if a row contradicts itself."""
    if len(set(row.names)) != len(row.names):
        raise ValueError("invalid interference: a kind is named twice")
    kinds = [entry.kind for entry in row.kinds]
    if len(set(kinds)) != len(kinds):
        raise ValueError("invalid interference: a kind has two entries")
    for entry in row.kinds:
        neighbours = [c.neighbour for c in entry.coefficients]
        if len(set(neighbours)) != len(neighbours):
            raise ValueError("invalid interference: a neighbour is repeated")
        indexes = [entry.kind, *(n for n in neighbours if n is not None)]
        if max(indexes) >= len(row.names):
            raise ValueError("invalid interference: a kind has no name")
        numbers = [entry.degrees, entry.variance]
        for c in entry.coefficients:
            numbers += [c.value, c.information, c.overlap]
        if not all(map(math.isfinite, numbers)):
            raise ValueError("invalid interference: a number is not finite")


def _decode_kind(entry: _Kind, names: list[str]) -> interference.Evidence:
    """Return sums with the stored estimates and errors, uncorrelated."""
    variance = max(entry.variance, interference.MIN_DEVIATION**2)
    ridge = variance / interference.PRIOR_DEVIATION**2
    evidence = interference.Evidence()
    explained = 0.0
    for coefficient in entry.coefficients:
        name = interference.LOAD
        if coefficient.neighbour is not None:
            name = names[coefficient.neighbour]
            evidence.overlaps[name] = coefficient.overlap
        response = (coefficient.information + ridge) * coefficient.value
        evidence.products[name, name] = coefficient.information
        evidence.responses[name] = response
        explained += response * coefficient.value
    evidence.variance = variance
    evidence.degrees = entry.degrees + len(evidence.overlaps) + 1
    evidence.square = explained + variance * max(entry.degrees, 1.0)
    return evidence
