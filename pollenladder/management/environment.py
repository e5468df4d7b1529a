"""What the commands need of the outside, replaced in tests."""

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


@dataclasses.dataclass(frozen=True)
class Environment:
    """Functions and variables of the outside.

    Attributes:
        variables: Environment variables.
        open_table: Return the platform's table at an address.
        request: Send one request to a daemon.
        read_wall_s: Seconds since 1970.
        read_monotonic_s: Seconds that never go back.
        sleep: Wait for so many seconds.
        draw_id: Return an id never drawn before.
    """

    variables: Mapping[str, str]
    open_table: Callable[[configuration.Address], tables.Table]
    request: connections.Request
    read_wall_s: clocks.Clock
    read_monotonic_s: clocks.Clock
    sleep: Callable[[float], None]
    draw_id: Callable[[], str]


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
