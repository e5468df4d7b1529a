"""Routes the connections that a daemon opens through a simulated network."""

from gevent import socket

from soak import networks
from soak import proxies

# Environment variables of a daemon: the port of `networks.Network`, and the name of
# the daemon's host there.
PORT_VARIABLE = "POLLENLADDER_SOAK_NETWORK_PORT"
HOST_VARIABLE = "POLLENLADDER_SOAK_HOST"


def route_connections(network_port: int, host: str) -> None:
    """Open all connections of this process through a network.

    Args:
        network_port: The port of the network.
        host: The name of this process in the network.
    """
    connect = socket.socket.connect

    def connect_through_network(sock: socket.socket, address: tuple) -> None:
        if sock.family != socket.AF_INET:
            connect(sock, address)
            return
        connect(sock, (proxies.HOST, network_port))
        sock.sendall(f"{host} {address[1]}\n".encode())
        if sock.recv(1) != networks.CONNECTED:
            raise ConnectionRefusedError(f"{address} does not accept")

    socket.socket.connect = connect_through_network
