"""Declared customers and plans, as the daemons keep them in memory."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of task that the customers of a plan may run.

    Attributes:
        name: The kind's name.
        idempotent: Whether running it twice is harmless.
        max_run_s: Maximum run time in seconds; the endpoint stops a task that
            exceeds it.
    """

    name: str
    idempotent: bool
    max_run_s: float


@dataclasses.dataclass(frozen=True)
class Allowance:
    """Limits of a plan, for all data centres together.

    Attributes:
        running_tasks: Maximum number of tasks that run at the same time.
        starts_per_s: Sustained rate of task starts per second.
        burst: Task starts that may exceed the rate at once.
    """

    running_tasks: int
    starts_per_s: float
    burst: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """A plan and its allowance.

    Attributes:
        plan_id: The plan's id.
        allowance: Limits for all customers of the plan together.
        deadline_s: Maximum time until a job is answered, in seconds.
        weight: The plan's relative share of a congested data centre.
        kinds: The kinds of task that may be run, by name.
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
    """All plans, customers and operators at one version.

    Attributes:
        version: Increases by one with each accepted change; 0 means that
            nothing has been declared yet.
        plans: Plans by id.
        customers: Customers by id.
        operators: Operators by id.
    """

    version: int
    plans: dict[str, Plan]
    customers: dict[str, Customer]
    operators: dict[str, Operator]


EMPTY = Declarations(0, {}, {}, {})
