"""The HTTP server for callers and operators."""

from pollenladder.gateway import application
from pollenladder.gateway import backend
from pollenladder.gateway import limits
from pollenladder.gateway import listeners
from pollenladder.metrics import registry


def serve(
    address: str,
    port: int,
    gateway_backend: backend.Backend,
    meters: registry.Metrics,
    bounds: limits.Limits | None = None,
) -> listeners.Server:
    """Start the HTTP server for callers and operators.

    Args:
        address: The IP address to listen on.
        port: The port to listen on; 0 selects a free port, which
            `listeners.Server.port` returns.
        gateway_backend: The functions of the daemon that handlers call.
        meters: The metrics that requests update.
        bounds: Limits of the server; None for the defaults.

    Raises:
        OSError: The server can't listen on this address and port.
    """
    bounds = bounds or limits.Limits()
    wsgi = application.make_application(gateway_backend, bounds, meters)
    return listeners.listen(address, port, wsgi, meters, bounds)
