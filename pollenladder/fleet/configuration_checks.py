"""Checks of a configuration that a daemon would accept.

An error is a mistake that makes a queue unusable in part or in whole; a warning
may be intended. The paths of findings are those of `entities.Configuration`,
such as `queues[3].prefix`.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import re

from pollenladder.conf import checks
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import regions as fleet_regions
from pollenladder.jobs import entities
from pollenladder.jobs import routing

# Characters that no host name in a request contains.
_NOT_IN_HOSTS = re.compile(r"[\s/]")


@dataclasses.dataclass(frozen=True)
class Context:
    """Input of the checks.

    Attributes:
        configuration: The configuration to check.
        attempts: The attempts of each queue as declared, which the
            configuration contains only after they were raised to 1.
        services: Names of the declared services; None if their list has an
            unexpected form.
        smallest_body_bytes: Size of the smallest request body with a job.
        workers: The listed workers; None if they are not known.
        regions: The regions of the data centres.
    """

    configuration: entities.Configuration
    attempts: tuple[int, ...]
    services: tuple[str, ...] | None
    smallest_body_bytes: int
    workers: tuple[fleet.Listing, ...] | None = None
    regions: fleet_regions.Regions = fleet_regions.NONE


Check = Callable[[Context], Iterable[checks.Finding]]


def run(context: Context) -> list[checks.Finding]:
    """Run all checks and return their findings."""
    return [finding for check in CHECKS for finding in check(context)]


def _check_names(context: Context) -> Iterable[checks.Finding]:
    first: dict[str, int] = {}
    for index, queue in enumerate(context.configuration.queues):
        earlier = first.setdefault(queue.name, index)
        if earlier != index:
            yield checks.Finding(
                "platform.E002",
                ("queues", index, "name"),
                f'"{queue.name}" is also the name of entry {earlier}',
                "give each queue a unique name; pending jobs are counted by it",
            )


def _check_reachable(context: Context) -> Iterable[checks.Finding]:
    """Check that the daemon's routing table leads to each queue."""
    table = routing.RoutingTable(context.configuration)
    for index, queue in enumerate(context.configuration.queues):
        found = table.find(queue.host, queue.prefix)
        if (
            found is None
            or found.host.lower() != queue.host.lower()
            or _NOT_IN_HOSTS.search(queue.host)
        ):
            yield checks.Finding(
                "platform.E004",
                ("queues", index, "host"),
                f'no request matches the host "{queue.host}"',
                "give a name without port, scheme and path; ports are ignored",
            )
        elif found is not queue:
            yield checks.Finding(
                "platform.E003",
                ("queues", index, "prefix"),
                f'"{queue.prefix}" on host "{queue.host}" already leads to'
                f' the earlier queue "{found.name}"',
                "remove one of the two, or change its host or prefix",
            )
        # The path of a request always begins with a slash.
        if queue.prefix and not queue.prefix.startswith("/"):
            yield checks.Finding(
                "platform.E004",
                ("queues", index, "prefix"),
                f'no path begins with "{queue.prefix}"',
                "begin the prefix with a slash",
            )


def _check_services(context: Context) -> Iterable[checks.Finding]:
    declared = context.services
    if declared is None:
        yield checks.Finding(
            "platform.W001",
            ("services",),
            "is not a list of services, so all cold starts are ignored",
            "give a list of objects with a name",
        )
    # A document may omit the services; then none can be missing.
    if not declared:
        return
    queues = context.configuration.queues
    for index, queue in enumerate(queues):
        if queue.service not in declared:
            yield checks.Finding(
                "platform.E005",
                ("queues", index, "service"),
                f'"{queue.service}" is not a declared service',
                "declare the service, or correct the name",
            )
    used = {queue.service for queue in queues}
    for index, name in enumerate(declared):
        if name not in used:
            yield checks.Finding(
                "platform.W002",
                ("services", index),
                f'no queue uses the service "{name}"',
                "remove it, or add a queue that uses it",
            )


def _check_workers(context: Context) -> Iterable[checks.Finding]:
    if context.workers is None:
        return
    centres: dict[str, set[str]] = {}
    for worker in context.workers:
        if not worker.is_draining:
            centres.setdefault(worker.service, set()).add(worker.data_centre)
    for index, queue in enumerate(context.configuration.queues):
        if queue.service not in centres:
            yield checks.Finding(
                "platform.W003",
                ("queues", index, "service"),
                f'the service "{queue.service}" has no workers',
                "start workers first, or correct the name",
            )
        elif not any(
            context.regions.allow(queue.allowed_regions, centre)
            for centre in centres[queue.service]
        ):
            yield checks.Finding(
                "platform.W004",
                ("queues", index, "allowed_regions"),
                f'the service "{queue.service}" has no workers in'
                f" {', '.join(queue.allowed_regions)}",
                "allow a region that has workers of the service",
            )


def _check_times(context: Context) -> Iterable[checks.Finding]:
    for index, queue in enumerate(context.configuration.queues):
        path = ("queues", index)
        if queue.timeout_s <= 0:
            yield checks.Finding(
                "platform.E006",
                (*path, "timeout_s"),
                f"is {queue.timeout_s * 1000:g} ms, which leaves no time to jobs"
                " without a deadline of their own",
                "give the time that callers wait, in ms",
            )
        elif queue.timeout_s < queue.slack_s:
            yield checks.Finding(
                "platform.W005",
                (*path, "timeout_s"),
                f"of {queue.timeout_s * 1000:g} ms is below the fixed part of"
                f" the objective, {queue.slack_s * 1000:g} ms",
                "raise it, or lower the objective",
            )
        if queue.stretch < 1:
            yield checks.Finding(
                "platform.E008",
                (*path, "stretch"),
                f"is {queue.stretch:g}, so the objective is shorter than the"
                " run time of long tasks",
                "give at least 1",
            )


def _check_attempts(context: Context) -> Iterable[checks.Finding]:
    for index, attempts in enumerate(context.attempts):
        if attempts < 1:
            yield checks.Finding(
                "platform.W006",
                ("queues", index, "max_attempts"),
                f"is {attempts}; daemons use 1",
                "give at least 1",
            )


def _check_body_limit(context: Context) -> Iterable[checks.Finding]:
    limit = context.configuration.max_body_bytes
    if limit < context.smallest_body_bytes:
        yield checks.Finding(
            "platform.E007",
            ("max_body_bytes",),
            f"is {limit}, so every job is too long",
            f"the smallest job takes {context.smallest_body_bytes} bytes;"
            " give the size of the largest",
        )


def _check_priorities(context: Context) -> Iterable[checks.Finding]:
    priorities = {q.priority for q in context.configuration.queues}
    # The same priority in all queues is usual, but a negative one suggests
    # that it is meant as an order, in which 0 is the most urgent.
    if len(priorities) == 1 and min(priorities) < 0:
        yield checks.Finding(
            "platform.W007",
            ("queues", 0, "priority"),
            f"is {min(priorities)} in all queues, so it orders nothing",
            "give 0 to the most urgent queues and more to others;"
            " priorities are not used yet",
        )


CHECKS: tuple[Check, ...] = (
    _check_names,
    _check_reachable,
    _check_services,
    _check_workers,
    _check_times,
    _check_attempts,
    _check_body_limit,
    _check_priorities,
)
