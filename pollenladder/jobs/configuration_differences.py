"""Differences between two configurations, and their effects.

Changed values apply to jobs that are submitted from then on: a job keeps the
values with which it was submitted.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from pollenladder.conf import checks
from pollenladder.conf import positions
from pollenladder.jobs import entities
from pollenladder.jobs import routing


@dataclasses.dataclass(frozen=True)
class Difference:
    """A value that differs.

    Attributes:
        path: Path of the value in the new configuration, as in the findings of
            `configuration_checks`; of a queue that ends, in the old one.
        subject: The queue or service; empty if the value belongs to none.
        change: What differs.
        effect: What will happen.
    """

    path: positions.FieldPath
    subject: str
    change: str
    effect: str


def check_version(
    before: entities.Configuration, after: entities.Configuration
) -> Iterable[checks.Finding]:
    """Check that daemons will apply the new configuration."""
    if after.version > before.version or _is_same(before, after):
        return
    yield checks.Finding(
        "platform.E009",
        ("version",),
        f"{after.version} is not above {before.version}, the one in force, so"
        " daemons ignore the change",
        f"give at least {before.version + 1}",
    )


def compare(
    before: entities.Configuration, after: entities.Configuration
) -> list[Difference]:
    """Return the differences from the version in force to a new one."""
    return [
        *_compare_sets_of_queues(before, after),
        *_compare_queues(before, after),
        *_compare_limits(before, after),
        *_compare_cold_starts(before, after),
    ]


def _is_same(
    before: entities.Configuration, after: entities.Configuration
) -> bool:
    return dataclasses.replace(after, source=before.source) == before


def _index(
    configuration: entities.Configuration,
) -> dict[str, tuple[int, entities.Queue]]:
    """Return the first queue of each name, with its index."""
    found: dict[str, tuple[int, entities.Queue]] = {}
    for index, queue in enumerate(configuration.queues):
        found.setdefault(queue.name, (index, queue))
    return found


def _compare_sets_of_queues(
    before: entities.Configuration, after: entities.Configuration
) -> Iterator[Difference]:
    old, new = _index(before), _index(after)
    routes = routing.RoutingTable(after)
    for name, (index, queue) in old.items():
        if name not in new:
            effect = f"new jobs {_describe_requests(routes, queue)}"
            path = ("queues", index)
            yield Difference(path, name, "the queue ends", effect)
    earlier = routing.RoutingTable(before)
    for name, (index, queue) in new.items():
        if name not in old:
            address = queue.host + queue.prefix
            effect = f"{address} is accepted"
            found = earlier.find(queue.host, queue.prefix)
            if found is not None:
                effect = f"takes over {address} from {found.name}"
            path = ("queues", index)
            yield Difference(path, name, "the queue is new", effect)


def _describe_requests(
    routes: routing.RoutingTable, queue: entities.Queue
) -> str:
    """Return what becomes of requests to the address of an earlier queue."""
    found = routes.find(queue.host, queue.prefix)
    if found is None:
        return "get the response 404"
    # The rest of the path after the prefix is the job's id.
    rest = queue.prefix[len(found.prefix) :]
    if rest and not rest.isalnum():
        return f"reach {found.name} and get the response 400"
    return f"go to {found.name}"


def _compare_queues(
    before: entities.Configuration, after: entities.Configuration
) -> Iterator[Difference]:
    old = _index(before)
    routes = routing.RoutingTable(after)
    for name, (index, queue) in _index(after).items():
        if name not in old or old[name][1] == queue:
            continue
        earlier = old[name][1]
        path = ("queues", index)
        if (earlier.host, earlier.prefix) != (queue.host, queue.prefix):
            change = (
                f"the address changes from {earlier.host}{earlier.prefix} to"
                f" {queue.host}{queue.prefix}"
            )
            requests = _describe_requests(routes, earlier)
            effect = f"requests to the old address {requests}"
            yield Difference(path, name, change, effect)
        for field, describe in _FIELDS.items():
            values = getattr(earlier, field), getattr(queue, field)
            if values[0] != values[1]:
                change, effect = describe(*values)
                yield Difference((*path, field), name, change, effect)


def _compare_limits(
    before: entities.Configuration, after: entities.Configuration
) -> Iterator[Difference]:
    old, new = before.max_body_bytes, after.max_body_bytes
    if old != new:
        effect = f"bodies of more than {new} bytes get the response 413"
        change = f"the body limit {_verb(old, new)} from {old} to {new} bytes"
        yield Difference(("max_body_bytes",), "", change, effect)


def _compare_cold_starts(
    before: entities.Configuration, after: entities.Configuration
) -> Iterator[Difference]:
    old, new = before.cold_starts, after.cold_starts
    for name in sorted(old.keys() | new.keys()):
        values = old.get(name, 0.0), new.get(name, 0.0)
        if values[0] != values[1]:
            change = f"cold starts change from {values[0]:g} to {values[1]:g} s"
            effect = f"workers count as slow for {values[1]:g} s after a start"
            yield Difference(("services",), name, change, effect)


def _verb(before: float, after: float) -> str:
    return "falls" if after < before else "rises"


def _describe_timeout(before: float, after: float) -> tuple[str, str]:
    word = "shorter" if after < before else "longer"
    change = (
        f"the timeout becomes {word}, {after * 1000:g} instead of"
        f" {before * 1000:g} ms"
    )
    return change, (
        f"jobs without a deadline of their own are given up after"
        f" {after * 1000:g} ms"
    )


def _describe_priority(before: int, after: int) -> tuple[str, str]:
    change = f"the priority changes from {before} to {after}"
    return change, "no effect, because priorities are not used yet"


def _describe_service(before: str, after: str) -> tuple[str, str]:
    change = f"the queue moves from service {before} to {after}"
    return change, f"new jobs run only on workers of {after}"


def _describe_stretch(before: float, after: float) -> tuple[str, str]:
    change = f"the stretch {_verb(before, after)} from {before:g} to {after:g}"
    return change, _describe_objective(before, after)


def _describe_slack(before: float, after: float) -> tuple[str, str]:
    change = (
        f"the fixed part of the objective {_verb(before, after)} from"
        f" {before * 1000:g} to {after * 1000:g} ms"
    )
    return change, _describe_objective(before, after)


def _describe_objective(before: float, after: float) -> str:
    word = "less" if after < before else "more"
    return f"new jobs have {word} time to end in time"


def _describe_attempts(before: int, after: int) -> tuple[str, str]:
    change = f"the attempts change from {before} to {after}"
    return change, f"a job fails once one of its tasks failed {after} times"


def _describe_advice(before: bool, after: bool) -> tuple[str, str]:
    if after:
        return "the queue needs advice", "new jobs get the response 503"
    return "the queue needs no advice", "new jobs are accepted"


def _describe_regions(
    before: tuple[str, ...], after: tuple[str, ...]
) -> tuple[str, str]:
    old, new = ", ".join(before) or "all", ", ".join(after) or "all"
    change = f"the allowed regions change from {old} to {new}"
    return change, f"new jobs run only on workers of these regions: {new}"


_FIELDS: dict[str, Callable[..., tuple[str, str]]] = {
    "service": _describe_service,
    "timeout_s": _describe_timeout,
    "priority": _describe_priority,
    "stretch": _describe_stretch,
    "slack_s": _describe_slack,
    "max_attempts": _describe_attempts,
    "needs_advice": _describe_advice,
    "allowed_regions": _describe_regions,
}
