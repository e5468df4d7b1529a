"""Validation models of the two declaration files and of the table row."""

from typing import Annotated
from typing import Any

import pydantic

from pollenladder.conf import documents
from pollenladder.conf import models

# Limits the burst as well.
MAX_RUNNING_TASKS = 10_000_000
MAX_STARTS_PER_S = 10_000_000.0
# One hour; limits run times and deadlines.
MAX_MS = 3_600_000

Id = models.Id
Sha256 = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Milliseconds = Annotated[int, pydantic.Field(ge=1, le=MAX_MS)]
Tasks = Annotated[int, pydantic.Field(ge=1, le=MAX_RUNNING_TASKS)]


class Kind(documents.Border):
    """See `declarations.Kind`."""

    name: Id
    idempotent: bool
    max_run_ms: Milliseconds


class Allowance(documents.Border):
    """See `declarations.Allowance`."""

    running_tasks: Tasks
    starts_per_s: Annotated[float, pydantic.Field(gt=0, le=MAX_STARTS_PER_S)]
    burst: Tasks


class Plan(documents.Border):
    """See `declarations.Plan`."""

    id: Id
    allowance: Allowance
    deadline_ms: Milliseconds
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)]
    kinds: Annotated[list[Kind], pydantic.Field(min_length=1)]


class Customer(documents.Border):
    """See `declarations.Customer`."""

    id: Id
    plans: Annotated[list[Id], pydantic.Field(min_length=1)]
    token_sha256: Sha256


class Operator(documents.Border):
    """See `declarations.Operator`."""

    id: Id
    token_sha256: Sha256


class PlansFile(documents.Border):
    """Contents of plans.json."""

    plans: list[Plan]


class CustomersFile(documents.Border):
    """Contents of customers.json."""

    customers: list[Customer]
    operators: list[Operator] = []


class Row(documents.Border):
    """Value of the table row that holds the declarations in force.

    Attributes:
        version: The version of the declarations.
        change_id: Id of the change that wrote the row.
        customers: Contents of customers.json, validated as `CustomersFile`.
        plans: Contents of plans.json, validated as `PlansFile`.
    """

    version: Annotated[int, pydantic.Field(ge=1)]
    change_id: str
    customers: dict[str, Any]
    plans: dict[str, Any]
