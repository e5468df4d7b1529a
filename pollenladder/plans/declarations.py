"""Declared customers and plans as the daemons hold them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of task that a plan may run.

    Attributes:
        name: The kind's name.
        idempotent: Whether running it twice is harmless.
        max_run_s: The endpoint stops a task that runs longer, in seconds.
    """

    name: str
    idempotent: bool
    max_run_s: float


@dataclasses.dataclass(frozen=True)
class Allowance:
    """What a plan may use, over all data centres together.

    Attributes:
        running_tasks: Tasks running at any moment.
        starts_per_s: Task starts a second in the long run.
        burst: Task starts that may come at once above the rate.
    """

    running_tasks: int
    starts_per_s: float
    burst: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """A plan and its allowance.

    Attributes:
        plan_id: The plan's id.
        allowance: What all customers of the plan may use together.
        deadline_s: The longest time to an answer, in seconds.
        weight: The plan's part of a congested data centre, against others.
        kinds: The kinds of task it may run, by name.
    """

    plan_id: str
    allowance: Allowance
    deadline_s: float
    weight: float
    kinds: dict[str, Kind]


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer, the plans it may use, and the hash of its token."""

    customer_id: str
    plan_ids: tuple[str, ...]
    token_sha256: str


@dataclasses.dataclass(frozen=True)
class Operator:
    """An operator and the hash of its token."""

    operator_id: str
    token_sha256: str


@dataclasses.dataclass(frozen=True)
class Declarations:
    """Both lists at one version.

    Attributes:
        version: Grows by one with each accepted change; 0 is "none yet".
        plans: Plans by id.
        customers: Customers by id.
        operators: Operators by id.
    """

    version: int
    plans: dict[str, Plan]
    customers: dict[str, Customer]
    operators: dict[str, Operator]


EMPTY = Declarations(0, {}, {}, {})
