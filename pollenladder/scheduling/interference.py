"""Learn which kinds of tasks slow each other down on one worker.

The tasks of one job are alike. The differences between their run times are
therefore explained, apart from noise, by what ran beside each of them. For each
kind, a ridge regression estimates the natural logarithm of the slowdown per
neighbour of each other kind. The load of the worker is one more feature, so
that a slowdown by any neighbour is not attributed to a certain kind.

Only sums are kept. They decay, and the number of kinds is bounded.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
import statistics

from pollenladder.scheduling import regression

# Name of the feature that measures the load of the worker. It is not a kind.
LOAD = ""
# Bounds memory and the row in the store.
MAX_KINDS = 64
# Neighbouring kinds kept for each kind, those with the most overlap. Bounds the
# time of one fit, which grows with the cube.
MAX_NEIGHBOURS = 32
HALF_LIFE_S = 300.0
# A pair counts only once the lower confidence bound of its slowdown is above
# this, and until the bound falls below `MIN_KEPT_SLOWDOWN`. The gap avoids
# frequent changes near the limit.
MIN_SLOWDOWN = 1.1
MIN_KEPT_SLOWDOWN = 1.05
# Standard errors between the estimate and its lower bound. Each of up to 4,096
# pairs is examined again and again, and a false positive is worse than a missed
# pair.
CONFIDENCE = 4.0
# Overlap with a kind, in runs, below which a pair does not count.
MIN_OVERLAP = 15.0
# Standard deviation of the logarithm of a slowdown before anything is observed.
PRIOR_DEVIATION = 0.4
# Run times of the tasks of one job vary by at least this much, as a standard
# deviation of their logarithm. Avoids false certainty from few runs.
MIN_DEVIATION = 0.05
# A run that differs from the median of its job by more than this factor is
# ignored: its worker is faulty, or its task is of another size.
MAX_RATIO = 4.0
MAX_PREDICTED_SLOWDOWN = 3.0
MIN_FIT_INTERVAL_S = 0.25
# Time between two fits, by the cube of the number of features of the first one.
# Keeps fits below about 1% of a core.
FIT_INTERVAL_S_PER_CUBE = 2.5e-5


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One completed run.

    Attributes:
        worker_id: The worker.
        run_s: Run time in seconds, corrected by the worker's speed.
        overlaps: Mean number of neighbours of each kind during the run.
        load: Mean share of the worker's CPU that the neighbours occupied.
    """

    worker_id: str
    run_s: float
    overlaps: dict[str, float]
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """A kind of task that runs longer beside tasks of another kind.

    Attributes:
        slowdown: Factor on the run time for each neighbour.
        lower_bound: Lower confidence bound of `slowdown`.
        overlap: Evidence: sum of the overlaps of runs, in runs.
    """

    slowdown: float
    lower_bound: float
    overlap: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A pair that was found or dropped.

    Attributes:
        kind: The kind that runs longer.
        neighbour: The kind beside which it does.
        pair: The pair; its last values if it was dropped.
        is_found: Whether the pair counts now.
    """

    kind: str
    neighbour: str
    pair: Pair
    is_found: bool


@dataclasses.dataclass(slots=True)
class Evidence:
    """Decayed sums over the runs of one kind.

    The features are the neighbouring kinds and `LOAD`. All values are deviations
    from the mean of the job.

    Attributes:
        products: Sum of the products of two features, by both names in order.
        responses: Sum of the products of a feature and the response, which is
            the logarithm of the run time.
        square: Sum of the squares of the response.
        degrees: Number of degrees of freedom.
        overlaps: Sum of the overlaps with each kind, in runs.
        decayed_at: When the sums last decayed; monotonic, in seconds.
        variance: Variance of the response around the model of the last fit; 0
            before.
        coefficients: Result of the last fit: the logarithm of the slowdown by
            each neighbouring kind, and by `LOAD` on a full worker.
    """

    products: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    responses: dict[str, float] = dataclasses.field(default_factory=dict)
    square: float = 0.0
    degrees: float = 0.0
    overlaps: dict[str, float] = dataclasses.field(default_factory=dict)
    decayed_at: float = 0.0
    variance: float = 0.0
    coefficients: dict[str, regression.Coefficient] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Model:
    """What was learned about all kinds.

    Attributes:
        evidence: Sums by kind; the next one to be fitted comes first.
        seen_at: When a kind last ran, in order of time.
        pairs: The pairs that count, by kind and neighbour.
        next_fit_at: When the next fit is due; monotonic, in seconds.
    """

    evidence: dict[str, Evidence] = dataclasses.field(default_factory=dict)
    seen_at: dict[str, float] = dataclasses.field(default_factory=dict)
    pairs: dict[tuple[str, str], Pair] = dataclasses.field(default_factory=dict)
    next_fit_at: float = 0.0


def get_slowdown(model: Model, kind: str, neighbours: Iterable[str]) -> float:
    """Return the factor on the run time of a task beside other tasks."""
    slowdown = 1.0
    for neighbour in neighbours:
        pair = model.pairs.get((kind, neighbour))
        if pair:
            slowdown *= pair.slowdown
    return min(slowdown, MAX_PREDICTED_SLOWDOWN)


def get_mean_slowdown(
    model: Model, kind: str, overlaps: dict[str, float]
) -> float:
    """Return the factor on the run time of a run with certain overlaps."""
    exponent = 0.0
    for neighbour, overlap in overlaps.items():
        pair = model.pairs.get((kind, neighbour))
        if pair:
            exponent += overlap * math.log(pair.slowdown)
    return min(math.exp(exponent), MAX_PREDICTED_SLOWDOWN)


def record_job(
    model: Model, kind: str, samples: Sequence[Sample], now: float
) -> list[Change]:
    """Learn from the completed runs of one job.

    A job says nothing unless its tasks ran on at least two workers.

    Args:
        model: The model.
        kind: The kind of the job.
        samples: The runs whose start is known.
        now: Monotonic time in seconds.

    Returns:
        Pairs that no longer count because their kind was dropped.
    """
    samples = _drop_outliers(samples)
    if not kind or len({sample.worker_id for sample in samples}) < 2:
        return []
    _see(model, kind, now)
    for sample in samples:
        for neighbour in sample.overlaps:
            _see(model, neighbour, now)
    evidence = model.evidence.get(kind)
    if evidence is None:
        evidence = model.evidence[kind] = Evidence(decayed_at=now)
    _add_samples(evidence, samples)
    return _drop_old_kinds(model)


def _drop_outliers(samples: Sequence[Sample]) -> list[Sample]:
    valid = [sample for sample in samples if sample.run_s > 0]
    if not valid:
        return []
    usual_s = statistics.median(sample.run_s for sample in valid)
    return [
        sample
        for sample in valid
        if usual_s / MAX_RATIO <= sample.run_s <= usual_s * MAX_RATIO
    ]


def _see(model: Model, kind: str, now: float) -> None:
    model.seen_at.pop(kind, None)
    model.seen_at[kind] = now


def _add_samples(evidence: Evidence, samples: list[Sample]) -> None:
    """Add the deviations of a job's runs from their mean to the sums."""
    count = len(samples)
    totals: dict[str, float] = {}
    response_total = 0.0
    for sample in samples:
        response = math.log(sample.run_s)
        response_total += response
        evidence.square += response * response
        features = _list_features(sample)
        for index, (name, value) in enumerate(features):
            totals[name] = totals.get(name, 0.0) + value
            _add(evidence.responses, name, value * response)
            for other, other_value in features[index:]:
                _add(evidence.products, (name, other), value * other_value)
    evidence.square -= response_total**2 / count
    evidence.degrees += count - 1
    means = sorted(totals.items())
    for index, (name, total) in enumerate(means):
        _add(evidence.responses, name, -total * response_total / count)
        for other, other_total in means[index:]:
            _add(evidence.products, (name, other), -total * other_total / count)
        if name != LOAD:
            _add(evidence.overlaps, name, total)


def _list_features(sample: Sample) -> list[tuple[str, float]]:
    """Return the features of a run, ordered by name."""
    features = [(LOAD, sample.load), *sample.overlaps.items()]
    return sorted(feature for feature in features if feature[1])


def _add(sums: dict, key: object, value: float) -> None:
    sums[key] = sums.get(key, 0.0) + value


def _drop_old_kinds(model: Model) -> list[Change]:
    """Drop the least recently seen kinds beyond `MAX_KINDS`."""
    changes = []
    while len(model.seen_at) > MAX_KINDS:
        kind = next(iter(model.seen_at))
        del model.seen_at[kind]
        model.evidence.pop(kind, None)
        for evidence in model.evidence.values():
            _drop_feature(evidence, kind)
        for key in [key for key in model.pairs if kind in key]:
            changes.append(Change(*key, model.pairs.pop(key), False))
    return changes


def _drop_feature(evidence: Evidence, name: str) -> None:
    if name not in evidence.overlaps:
        return
    del evidence.overlaps[name]
    evidence.responses.pop(name, None)
    evidence.coefficients.pop(name, None)
    for key in [key for key in evidence.products if name in key]:
        del evidence.products[key]


def fit_next(model: Model, now: float) -> list[Change]:
    """Fit the kind whose last fit is the longest ago, if a fit is due.

    Returns:
        Pairs that were found or dropped.
    """
    if now < model.next_fit_at or not model.evidence:
        return []
    kind = next(iter(model.evidence))
    evidence = model.evidence.pop(kind)
    model.evidence[kind] = evidence
    _decay(evidence, now)
    for name in sorted(evidence.overlaps, key=evidence.overlaps.get)[
        :-MAX_NEIGHBOURS
    ]:
        _drop_feature(evidence, name)
    interval_s = FIT_INTERVAL_S_PER_CUBE * (len(evidence.overlaps) + 1) ** 3
    model.next_fit_at = now + max(MIN_FIT_INTERVAL_S, interval_s)
    _fit(evidence)
    return _update_pairs(model, kind)


def _decay(evidence: Evidence, now: float) -> None:
    factor = 0.5 ** (max(0.0, now - evidence.decayed_at) / HALF_LIFE_S)
    evidence.decayed_at = now
    evidence.square *= factor
    evidence.degrees *= factor
    for sums in (evidence.products, evidence.responses, evidence.overlaps):
        for key in sums:
            sums[key] *= factor


def fit_all(model: Model, now: float) -> None:
    """Fit all kinds at once, as after a hand-over."""
    for kind, evidence in model.evidence.items():
        _decay(evidence, now)
        _fit(evidence)
        _update_pairs(model, kind)


def _fit(evidence: Evidence) -> None:
    """Update the coefficients.

    The variance of the fit before is used, as it changes slowly and each fit
    takes milliseconds with many kinds. The first fit is repeated.
    """
    names = sorted({*evidence.overlaps, LOAD})
    products = [
        [evidence.products.get((min(a, b), max(a, b)), 0.0) for b in names]
        for a in names
    ]
    responses = [evidence.responses.get(name, 0.0) for name in names]
    repetitions = 1 if evidence.variance else 2
    if not evidence.variance:
        evidence.variance = _bound_variance(evidence.square, evidence.degrees)
    for _ in range(repetitions):
        found = regression.fit(
            products, responses, evidence.variance, PRIOR_DEVIATION
        )
        explained = sum(
            c.value * response
            for c, response in zip(found, responses, strict=True)
        )
        evidence.variance = _bound_variance(
            evidence.square - explained, evidence.degrees - len(names)
        )
    evidence.coefficients = dict(zip(names, found, strict=True))


def _bound_variance(square: float, degrees: float) -> float:
    return max(square / max(degrees, 1.0), MIN_DEVIATION**2)


def _update_pairs(model: Model, kind: str) -> list[Change]:
    """Replace the pairs of a kind by those that count now."""
    before = {
        neighbour: pair
        for (owner, neighbour), pair in model.pairs.items()
        if owner == kind
    }
    changes = []
    overlaps = model.evidence[kind].overlaps
    coefficients = model.evidence[kind].coefficients
    for neighbour, coefficient in coefficients.items():
        if neighbour == LOAD:
            continue
        lower = coefficient.value - CONFIDENCE * coefficient.error
        pair = Pair(
            math.exp(coefficient.value), math.exp(lower), overlaps[neighbour]
        )
        is_known = neighbour in before
        limit = MIN_KEPT_SLOWDOWN if is_known else MIN_SLOWDOWN
        if pair.lower_bound > limit and (
            is_known or pair.overlap >= MIN_OVERLAP
        ):
            model.pairs[kind, neighbour] = pair
            if not is_known:
                changes.append(Change(kind, neighbour, pair, True))
            before.pop(neighbour, None)
    for neighbour, pair in before.items():
        del model.pairs[kind, neighbour]
        changes.append(Change(kind, neighbour, pair, False))
    return changes
