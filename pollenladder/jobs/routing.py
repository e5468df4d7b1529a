"""Map requests to queues by host and path."""

from collections.abc import Iterable

from pollenladder.jobs import entities


class RoutingTable:
    """The queues of one configuration, indexed by host.

    Attributes:
        configuration: The configuration that the table was built from.
    """

    def __init__(self, configuration: entities.Configuration):
        self.configuration = configuration
        self._by_host = _group_by_host(configuration.queues)

    def find(self, host: str, path: str) -> entities.Queue | None:
        """Return the queue of a request, or None.

        If several queues of the host have a prefix of the path, the longest
        prefix wins. The port and the case of the host are ignored.
        """
        for queue in self._by_host.get(_strip_port(host), ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def _group_by_host(
    queues: Iterable[entities.Queue],
) -> dict[str, list[entities.Queue]]:
    """Return each host's queues, sorted by decreasing prefix length."""
    by_host: dict[str, list[entities.Queue]] = {}
    for queue in queues:
        by_host.setdefault(queue.host.lower(), []).append(queue)
    for group in by_host.values():
        group.sort(key=lambda queue: -len(queue.prefix))
    return by_host


def _strip_port(host: str) -> str:
    """Return a Host header's value in lower case and without the port."""
    name, _, _ = host.partition(":")
    return name.lower()
