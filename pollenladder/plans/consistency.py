"""Find contradictions between well-formed declaration files."""

from collections.abc import Iterator
import dataclasses

from pollenladder.conf import documents
from pollenladder.conf import exceptions
from pollenladder.conf import positions
from pollenladder.plans import models


@dataclasses.dataclass(frozen=True)
class Source:
    """A declaration file, as parsed document and as validated model."""

    document: documents.Document
    file: models.CustomersFile | models.PlansFile


def find_problems(sources: list[Source]) -> list[exceptions.Problem]:
    """Return all contradictions within and between the files."""
    plan_files = [s for s in sources if isinstance(s.file, models.PlansFile)]
    customer_files = [
        s for s in sources if isinstance(s.file, models.CustomersFile)
    ]
    return [
        *_find_repeated(_list_ids(plan_files, "plans", "id")),
        *_find_repeated(_list_ids(customer_files, "customers", "id")),
        *_find_repeated(_list_ids(customer_files, "operators", "id")),
        *_find_repeated(_list_tokens(customer_files)),
        *_find_unknown_plans(plan_files, customer_files),
        *(problem for s in plan_files for problem in _check_plans(s)),
    ]


@dataclasses.dataclass(frozen=True)
class _Occurrence:
    """An occurrence of a value that must be unique among all files."""

    value: str
    document: documents.Document
    path: positions.FieldPath


def _list_ids(sources: list[Source], section: str, field: str):
    """List the values of one field of all items in a section."""
    for source in sources:
        for index, item in enumerate(getattr(source.file, section)):
            path = (section, index, field)
            yield _Occurrence(getattr(item, field), source.document, path)


def _list_tokens(customer_files: list[Source]) -> Iterator[_Occurrence]:
    """List all token hashes; no two parties may share a token."""
    yield from _list_ids(customer_files, "customers", "token_sha256")
    yield from _list_ids(customer_files, "operators", "token_sha256")


def _find_repeated(occurrences) -> Iterator[exceptions.Problem]:
    first: dict[str, _Occurrence] = {}
    for occurrence in occurrences:
        earlier = first.setdefault(occurrence.value, occurrence)
        if earlier is occurrence:
            continue
        other = earlier.document.describe_problem(earlier.path, "")
        where = f"{other.file}:{other.line}" if other.line else other.field
        detail = f'"{occurrence.value}" is already used at {where}'
        yield occurrence.document.describe_problem(occurrence.path, detail)


def _find_unknown_plans(
    plan_files: list[Source], customer_files: list[Source]
) -> Iterator[exceptions.Problem]:
    known = {plan.id for source in plan_files for plan in source.file.plans}
    for source in customer_files:
        for customer_index, customer in enumerate(source.file.customers):
            for index, name in enumerate(customer.plans):
                path = ("customers", customer_index, "plans", index)
                if name not in known:
                    detail = f'refers to the unknown plan "{name}"'
                    yield source.document.describe_problem(path, detail)
                if name in customer.plans[:index]:
                    detail = f'lists the plan "{name}" twice'
                    yield source.document.describe_problem(path, detail)


def _check_plans(source: Source) -> Iterator[exceptions.Problem]:
    for plan_index, plan in enumerate(source.file.plans):
        names = [kind.name for kind in plan.kinds]
        for index, kind in enumerate(plan.kinds):
            path = ("plans", plan_index, "kinds", index)
            if kind.name in names[:index]:
                detail = f'"{kind.name}" is given twice'
                yield source.document.describe_problem((*path, "name"), detail)
            if kind.max_run_ms > plan.deadline_ms:
                detail = f"is above deadline_ms, {plan.deadline_ms}"
                yield source.document.describe_problem(
                    (*path, "max_run_ms"), detail
                )
