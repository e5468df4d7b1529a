"""TCP relays that simulate network partitions between data centres.

`python -m bench.relays SETUP` serves a proxy of the platform for each data
centre. In the VM list of this proxy, every daemon and worker of another data
centre has the port of a relay.
"""

import dataclasses
import json
import pathlib
import sys
from typing import Any

import gevent
from gevent import server
from gevent import socket
import geventhttpclient

from bench import ports
from bench.baselines import gateway

CHUNK_BYTES = 65536
TIMEOUT_S = 30.0


@dataclasses.dataclass(eq=False)
class Link:
    """A connection through a relay.

    Attributes:
        one: Data centre that opened the connection.
        other: Data centre that accepted it.
        sockets: The relay's sockets to both ends.
        is_silent: Whether all further data is dropped, for good.
    """

    one: str
    other: str
    sockets: list[socket.socket]
    is_silent: bool = False


class Partition:
    """The current network partition.

    Attributes:
        cut_off: Names of the data centres that are cut off.
        mode: `silent` drops data, `closed` closes connections.
        links: Open connections through the relays.
    """

    def __init__(self):
        self.cut_off: set[str] = set()
        self.mode = "silent"
        self.links: list[Link] = []

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two data centres are cut off from each other."""
        return one != other and bool({one, other} & self.cut_off)

    def change(self, data_centres: list[str], mode: str) -> None:
        """Replace the data centres that are cut off.

        Connections of data centres that are no longer cut off are closed, as
        data on them may have been dropped.
        """
        rejoined = self.cut_off - set(data_centres)
        self.cut_off, self.mode = set(data_centres), mode
        for link in list(self.links):
            closes = mode == "closed" and self.is_cut(link.one, link.other)
            if closes or {link.one, link.other} & rejoined:
                close_all(link.sockets)

    def silence_links(self, data_centres: list[str]) -> None:
        """Drop all further data on the open connections of data centres."""
        for link in self.links:
            ends = {link.one, link.other}
            link.is_silent = link.is_silent or bool(ends & set(data_centres))


def close_all(sockets: list[socket.socket]) -> None:
    """Shut sockets down, which also ends reads in other greenlets."""
    for one in sockets:
        try:
            one.shutdown(socket.SHUT_RDWR)
        except OSError:
            continue


def serve_relay(partition: Partition, one: str, other: str, port: int) -> int:
    """Start a relay from one data centre to a port in another.

    Returns:
        Port of the relay.
    """

    def handle(near: socket.socket, address: object) -> None:
        del address
        if partition.is_cut(one, other) and partition.mode == "closed":
            near.close()
            return
        far = socket.create_connection((ports.HOST, port))
        link = Link(one, other, [near, far])
        partition.links.append(link)
        try:
            gevent.joinall(
                [
                    gevent.spawn(pump, partition, link, near, far),
                    gevent.spawn(pump, partition, link, far, near),
                ]
            )
        finally:
            partition.links.remove(link)
            near.close()
            far.close()

    stream = server.StreamServer((ports.HOST, 0), handle)
    stream.start()
    return stream.server_port


def pump(
    partition: Partition,
    link: Link,
    source: socket.socket,
    target: socket.socket,
) -> None:
    """Copy bytes until the source closes; drop them during a partition."""
    source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while chunk := source.recv(CHUNK_BYTES):
            if not (link.is_silent or partition.is_cut(link.one, link.other)):
                target.sendall(chunk)
    except OSError:
        pass
    close_all([source, target])


def serve_platform(
    partition: Partition,
    data_centre: str,
    platform_port: int,
    relays: dict[str, int],
) -> int:
    """Start a proxy of the platform for one data centre; return its port.

    Args:
        partition: The current partition.
        data_centre: Data centre whose daemons use the proxy.
        platform_port: Port of the platform.
        relays: Port of the relay to each VM of other data centres, by VM id.
    """
    client = geventhttpclient.HTTPClient(
        ports.HOST, platform_port, concurrency=100, network_timeout=TIMEOUT_S
    )

    def application(environ: dict[str, Any], start_response: Any) -> list:
        if partition.is_cut(data_centre, "platform"):
            gevent.sleep(TIMEOUT_S if partition.mode == "silent" else 0)
            raise ConnectionResetError
        path = environ["PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        response = client.request(
            environ["REQUEST_METHOD"], path, environ["wsgi.input"].read()
        )
        body = bytes(response.read())
        if environ["PATH_INFO"] == "/v1/vms" and response.status_code == 200:
            body = rewrite_vms(body, relays)
        status = f"{response.status_code} {response.status_message}"
        start_response(status, [("Content-Type", "application/json")])
        return [body]

    web = gateway.NoDelayServer((ports.HOST, 0), application, log=None)
    web.start()
    return web.server_port


def rewrite_vms(body: bytes, relays: dict[str, int]) -> bytes:
    """Replace ports in a VM list by those of relays."""
    answer = json.loads(body)
    for vm in answer["vms"]:
        vm["port"] = relays.get(vm["vm_id"], vm["port"])
    return json.dumps(answer).encode()


def serve_control(partition: Partition) -> int:
    """Start a server of `POST /control/cut` and return its port.

    The mode `forget` doesn't change who is cut off. It drops all further data
    on the connections that are open now.
    """

    def application(environ: dict[str, Any], start_response: Any) -> list:
        message = json.loads(environ["wsgi.input"].read())
        if message["mode"] == "forget":
            partition.silence_links(message["data_centres"])
        else:
            partition.change(message["data_centres"], message["mode"])
        start_response("200 OK", [("Content-Type", "application/json")])
        return [b"{}"]

    web = gateway.NoDelayServer((ports.HOST, 0), application, log=None)
    web.start()
    return web.server_port


def main(arguments: list[str]) -> int:
    """Serve until killed."""
    setup = json.loads(pathlib.Path(arguments[0]).read_text())
    partition = Partition()
    platforms = {}
    for one in setup["data_centres"]:
        relays = {
            vm["vm_id"]: serve_relay(
                partition, one, vm["data_centre"], vm["port"]
            )
            for vm in setup["vms"]
            if vm["data_centre"] != one
        }
        platforms[one] = serve_platform(
            partition, one, setup["platform_port"], relays
        )
    ready = {
        "ready": True,
        "platforms": platforms,
        "control_port": serve_control(partition),
    }
    print(json.dumps(ready), flush=True)
    while True:
        gevent.sleep(3600)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
