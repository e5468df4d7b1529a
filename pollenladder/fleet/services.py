"""Select the workers of the services that the configuration names.

Other writers may publish entries like those of workers. An entry of another service
names no worker to use: its address may lead nowhere, and its data centre need not exist.
"""

from collections.abc import Iterable
from collections.abc import Set

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs


def list_names(configuration: jobs.Configuration) -> frozenset[str]:
    """Return the names of the services, also of those without a queue."""
    used = {queue.service for queue in configuration.queues}
    return configuration.services | used


def select_workers(
    listings: Iterable[fleet.Listing], names: Set[str]
) -> tuple[fleet.Listing, ...]:
    """Return the workers of the named services."""
    return tuple(found for found in listings if found.service in names)
