"""The HTTP server for callers and operators."""

from pollenladder.gateway import application
from pollenladder.gateway import backend
from pollenladder.gateway import limits
from pollenladder.gateway import listeners
from pollenladder.metrics import registry


def serve(
    address: str,
    port: int,
    source: backend.Backend,
    meters: registry.Metrics,
    bounds: limits.Limits | None = None,
) -> listeners.Server:
    """Listen for callers and operators.

    Args:
        address: An IP number.
        port: 0 takes a free one; see `listeners.Server.port`.
        source: The rest of the daemon.
        meters: Where requests are counted.
        bounds: What callers may make it hold or wait for.

    Raises:
        OSError: The port can't be had.
    """
    bounds = bounds or limits.Limits()
    wsgi = application.make_application(source, bounds, meters)
    return listeners.listen(address, port, wsgi, meters, bounds)
