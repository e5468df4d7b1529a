"""The configuration in force, and its exchange with other daemons."""

from collections.abc import Callable
import dataclasses
import logging

from pollenladder.cluster import messages
from pollenladder.fleet import services
from pollenladder.jobs import entities as jobs
from pollenladder.jobs import routing
from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import rows

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the configurations call.

    Attributes:
        send: Sends a message to a daemon.
        on_change: Called with each configuration that is put in force.
    """

    send: Callable[[str, object], object]
    on_change: Callable[[jobs.Configuration], None]


class Configurations:
    """Puts newer configurations in force, and never an older one.

    Attributes:
        routes: The routes of the configuration in force; None before the first.
    """

    def __init__(self, callbacks: Callbacks):
        self.routes: routing.RoutingTable | None = None
        self._callbacks = callbacks

    @property
    def version(self) -> int:
        """The version in force, 0 if there is none."""
        return self.routes.configuration.version if self.routes else 0

    def list_services(self) -> frozenset[str]:
        """Return the names of the services in force; none without a configuration."""
        if self.routes is None:
            return frozenset()
        return services.list_names(self.routes.configuration)

    def apply(self, found: jobs.Configuration) -> None:
        """Apply a configuration, unless a newer or the same one is in force."""
        before = self.version
        if found.version <= before:
            return
        self.routes = routing.RoutingTable(found)
        self._callbacks.on_change(found)
        logs.log(
            LOGGER,
            "configuration_changed",
            version=found.version,
            before=before,
            queues=len(found.queues),
        )

    def request_newer(self, sender: str, version: int) -> None:
        """Ask a daemon for its configuration if it has a newer one."""
        if version > self.version:
            message = messages.RequestConfiguration(self.version)
            self._callbacks.send(sender, message)

    def push(self, recipient: str, version: int) -> None:
        """Send the configuration in force to a daemon that has an older one."""
        if self.routes is None or version >= self.version:
            return
        found = self.routes.configuration
        message = messages.PushConfiguration(found.version, found.source)
        self._callbacks.send(recipient, message)

    def apply_pushed(self, message: messages.PushConfiguration) -> None:
        """Apply a configuration from another daemon, unless it is invalid."""
        try:
            found = rows.decode_configuration(message.source)
        except exceptions.BadDocumentError as error:
            logs.log(
                LOGGER,
                "configuration_rejected",
                logging.WARNING,
                version=message.version,
                error=str(error)[:200],
            )
            return
        self.apply(found)
