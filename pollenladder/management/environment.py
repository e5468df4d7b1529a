"""External dependencies of the commands, which tests replace."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import os
import uuid

import gevent

from pollenladder.audit import tables
from pollenladder.core import clocks
from pollenladder.management import configuration
from pollenladder.management import connections
from pollenladder.platform import store as stores


@dataclasses.dataclass(frozen=True)
class Environment:
    """Functions and variables that commands use to reach the outside world.

    Attributes:
        variables: Environment variables.
        open_table: Returns the platform's table at an address.
        request: Sends one request to a daemon.
        read_wall_s: Returns the wall-clock time, in seconds since 1970.
        read_monotonic_s: Returns the monotonic time, in seconds.
        sleep: Waits for a number of seconds.
        draw_id: Returns a new unique id.
        open_store: Returns the client of the users' platform's store, at an IP
            address and port.
    """

    variables: Mapping[str, str]
    open_table: Callable[[configuration.Address], tables.Table]
    request: connections.Request
    read_wall_s: clocks.Clock
    read_monotonic_s: clocks.Clock
    sleep: Callable[[float], None]
    draw_id: Callable[[], str]
    open_store: Callable[[tuple[str, int]], stores.Store] = stores.Store


def build_environment() -> Environment:
    """Return the environment of this process."""
    return Environment(
        variables=os.environ,
        open_table=connections.open_table,
        request=connections.request,
        read_wall_s=clocks.read_wall_s,
        read_monotonic_s=clocks.read_monotonic_s,
        sleep=gevent.sleep,
        draw_id=lambda: uuid.uuid4().hex,
    )
