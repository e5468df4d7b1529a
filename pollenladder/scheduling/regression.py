"""Ridge regression from sums of products, for a few dozen features."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Coefficient:
    """A coefficient with a normal prior around 0.

    Attributes:
        value: Mean of the coefficient.
        error: Standard error of the coefficient.
    """

    value: float
    error: float


def fit(
    products: list[list[float]],
    responses: list[float],
    variance: float,
    prior_deviation: float,
) -> list[Coefficient]:
    """Return the coefficients of a linear model.

    Args:
        products: Sum of the products of each pair of features, as a symmetric
            matrix.
        responses: Sum of the products of each feature and the response.
        variance: Variance of the response around the model.
        prior_deviation: Standard deviation of each coefficient if nothing was
            observed.
    """
    size = len(responses)
    ridge = variance / prior_deviation**2
    matrix = [list(row) for row in products]
    for index in range(size):
        matrix[index][index] += ridge
    inverse = _invert(matrix)
    return [
        Coefficient(
            sum(a * b for a, b in zip(row, responses, strict=True)),
            math.sqrt(max(0.0, variance * row[index])),
        )
        for index, row in enumerate(inverse)
    ]


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a symmetric, positive definite matrix."""
    size = len(matrix)
    rows = [
        list(row) + [float(i == index) for i in range(size)]
        for index, row in enumerate(matrix)
    ]
    for index in range(size):
        pivot = rows[index][index]
        top = [value / pivot for value in rows[index]]
        rows[index] = top
        for other in range(size):
            factor = rows[other][index]
            if other != index and factor:
                rows[other] = [
                    a - factor * b
                    for a, b in zip(rows[other], top, strict=True)
                ]
    return [row[size:] for row in rows]
