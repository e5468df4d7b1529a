"""Find contradictions between declarations that are each well-formed."""

from collections.abc import Iterator
import dataclasses

from pollenladder.conf import documents
from pollenladder.conf import exceptions
from pollenladder.conf import positions
from pollenladder.plans import models


@dataclasses.dataclass(frozen=True)
class Source:
    """A declaration file as text and as model."""

    document: documents.Document
    file: models.CustomersFile | models.PlansFile


def find_problems(sources: list[Source]) -> list[exceptions.Problem]:
    """Return all contradictions within and between files."""
    plans = [s for s in sources if isinstance(s.file, models.PlansFile)]
    lists = [s for s in sources if isinstance(s.file, models.CustomersFile)]
    return [
        *_find_repeated(_list_ids(plans, "plans", "id")),
        *_find_repeated(_list_ids(lists, "customers", "id")),
        *_find_repeated(_list_ids(lists, "operators", "id")),
        *_find_repeated(_list_tokens(lists)),
        *_find_unknown_plans(plans, lists),
        *(problem for s in plans for problem in _check_plans(s)),
    ]


@dataclasses.dataclass(frozen=True)
class _Place:
    """A text that must be unique, and where it stands."""

    text: str
    document: documents.Document
    path: positions.FieldPath


def _list_ids(sources: list[Source], section: str, field: str):
    for source in sources:
        for index, item in enumerate(getattr(source.file, section)):
            path = (section, index, field)
            yield _Place(getattr(item, field), source.document, path)


def _list_tokens(lists: list[Source]) -> Iterator[_Place]:
    """List all token hashes: one token must not stand for two parties."""
    yield from _list_ids(lists, "customers", "token_sha256")
    yield from _list_ids(lists, "operators", "token_sha256")


def _find_repeated(places) -> Iterator[exceptions.Problem]:
    first: dict[str, _Place] = {}
    for place in places:
        earlier = first.setdefault(place.text, place)
        if earlier is place:
            continue
        other = earlier.document.describe_problem(earlier.path, "")
        where = f"{other.file}:{other.line}" if other.line else other.field
        detail = f'"{place.text}" stands already at {where}'
        yield place.document.describe_problem(place.path, detail)


def _find_unknown_plans(
    plans: list[Source], lists: list[Source]
) -> Iterator[exceptions.Problem]:
    known = {plan.id for source in plans for plan in source.file.plans}
    for source in lists:
        for at, customer in enumerate(source.file.customers):
            for index, name in enumerate(customer.plans):
                path = ("customers", at, "plans", index)
                if name not in known:
                    detail = f'names the unknown plan "{name}"'
                    yield source.document.describe_problem(path, detail)
                if name in customer.plans[:index]:
                    detail = f'names the plan "{name}" twice'
                    yield source.document.describe_problem(path, detail)


def _check_plans(source: Source) -> Iterator[exceptions.Problem]:
    for at, plan in enumerate(source.file.plans):
        names = [kind.name for kind in plan.kinds]
        for index, kind in enumerate(plan.kinds):
            path = ("plans", at, "kinds", index)
            if kind.name in names[:index]:
                detail = f'"{kind.name}" is given twice'
                yield source.document.describe_problem((*path, "name"), detail)
            if kind.max_run_ms > plan.deadline_ms:
                detail = f"is above deadline_ms, {plan.deadline_ms}"
                yield source.document.describe_problem(
                    (*path, "max_run_ms"), detail
                )
