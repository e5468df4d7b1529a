"""Load declarations from files or from the platform's table."""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any

from pollenladder.conf import documents
from pollenladder.conf import exceptions as conf_exceptions
from pollenladder.plans import consistency
from pollenladder.plans import declarations
from pollenladder.plans import exceptions
from pollenladder.plans import models

CUSTOMERS_FILE = "customers.json"
PLANS_FILE = "plans.json"
# Key of the table row that holds the declarations in force.
ROW_KEY = "declarations/current"
MS_PER_S = 1000.0

# Model of each declaration file, by file name.
FILES = {CUSTOMERS_FILE: models.CustomersFile, PLANS_FILE: models.PlansFile}


@dataclasses.dataclass(frozen=True)
class Candidate:
    """Declarations read from files, not yet applied.

    Attributes:
        customers: Value of customers.json, merged over all directories.
        plans: Value of plans.json, merged over all directories.
        declarations: The same in the form that daemons use. The version is 0,
            because a version is assigned when they are applied.
    """

    customers: dict[str, Any]
    plans: dict[str, Any]
    declarations: declarations.Declarations


def load_directories(paths: Iterable[str | pathlib.Path]) -> Candidate:
    """Read and merge the declarations of one or more directories.

    Args:
        paths: Directories, each with both files. Ids must be unique across all
            directories.

    Raises:
        conf.exceptions.ConfError: A file is unreadable, malformed or invalid,
            or the files contradict each other.
    """
    directories = [pathlib.Path(path) for path in paths]
    files = [path / name for path in directories for name in FILES]
    sources = _read_sources(files)
    return _build_candidate(sources)


def parse_row(value: Any, version: int) -> declarations.Declarations:
    """Return the declarations in a table row.

    Args:
        value: The row's value, as written by the command line tool.
        version: The version that the returned declarations get. The version
            inside the row is validated, but not used.

    Raises:
        conf.exceptions.ConfError: The row is invalid.
    """
    document = documents.Document(ROW_KEY, value)
    row = documents.validate_document(models.Row, document)
    sections = (
        (models.CustomersFile, "customers", row.customers),
        (models.PlansFile, "plans", row.plans),
    )
    sources = []
    for model, name, section in sections:
        inner = documents.Document(f"{ROW_KEY} {name}", section)
        file = documents.validate_document(model, inner)
        sources.append(consistency.Source(inner, file))
    built = _build_candidate(sources).declarations
    return dataclasses.replace(built, version=version)


def _read_sources(files: list[pathlib.Path]) -> list[consistency.Source]:
    """Read all files.

    Raises:
        conf.exceptions.ConfError: At least one file can't be used. The error
            has the problems of all files and the class of the last one found.
    """
    sources, problems = [], []
    for path in files:
        try:
            document = documents.read_document(path)
            file = documents.validate_document(FILES[path.name], document)
            sources.append(consistency.Source(document, file))
        except conf_exceptions.ConfError as error:
            problems.extend(error.problems)
            failure = type(error)
    if problems:
        raise failure(*problems)
    return sources


def _build_candidate(sources: list[consistency.Source]) -> Candidate:
    """Check the sources against each other, and merge them.

    Raises:
        DeclarationsError: The sources contradict each other.
    """
    problems = consistency.find_problems(sources)
    if problems:
        raise exceptions.DeclarationsError(*problems)
    customers = {"customers": [], "operators": []}
    plans: dict[str, list] = {"plans": []}
    for source in sources:
        is_plans = isinstance(source.file, models.PlansFile)
        target = plans if is_plans else customers
        for name in target:
            target[name].extend(source.document.value.get(name, []))
    return Candidate(customers, plans, _build_declarations(sources))


def _build_declarations(
    sources: list[consistency.Source],
) -> declarations.Declarations:
    """Convert validated files to declarations of version 0."""
    plans = [
        _build_plan(plan)
        for source in sources
        if isinstance(source.file, models.PlansFile)
        for plan in source.file.plans
    ]
    customer_files = [
        source.file
        for source in sources
        if isinstance(source.file, models.CustomersFile)
    ]
    customers = [
        declarations.Customer(c.id, tuple(c.plans), c.token_sha256)
        for file in customer_files
        for c in file.customers
    ]
    operators = [
        declarations.Operator(o.id, o.token_sha256)
        for file in customer_files
        for o in file.operators
    ]
    return declarations.Declarations(
        version=0,
        plans={plan.plan_id: plan for plan in plans},
        customers={c.customer_id: c for c in customers},
        operators={o.operator_id: o for o in operators},
    )


def _build_plan(plan: models.Plan) -> declarations.Plan:
    """Convert a validated plan, with its times in seconds."""
    kinds = [
        declarations.Kind(k.name, k.idempotent, k.max_run_ms / MS_PER_S)
        for k in plan.kinds
    ]
    return declarations.Plan(
        plan_id=plan.id,
        allowance=declarations.Allowance(**plan.allowance.model_dump()),
        deadline_s=plan.deadline_ms / MS_PER_S,
        weight=plan.weight,
        kinds={kind.name: kind for kind in kinds},
    )
