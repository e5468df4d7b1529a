"""Relays between data centres, and to the platform, that can be cut.

`python -m bench.relays SETUP` serves, for each data centre, a platform whose
VM list names a relay for each daemon and worker of another data centre.
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
        one: The data centre at one end.
        other: The one at the other end.
        sockets: Both ends here.
        is_silent: Whether all that is sent is dropped from now on.
    """

    one: str
    other: str
    sockets: list[socket.socket]
    is_silent: bool = False


class Cuts:
    """Which data centres are cut off now.

    Attributes:
        cut_off: Their names.
        mode: `silent` drops what is sent, `closed` closes connections.
        links: Open connections.
    """

    def __init__(self):
        self.cut_off: set[str] = set()
        self.mode = "silent"
        self.links: list[Link] = []

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two data centres can't reach each other."""
        return one != other and bool({one, other} & self.cut_off)

    def change(self, data_centres: list[str], mode: str) -> None:
        """Cut these off from now on; connections cut before are closed."""
        healed = self.cut_off - set(data_centres)
        self.cut_off, self.mode = set(data_centres), mode
        for link in list(self.links):
            closes = mode == "closed" and self.is_cut(link.one, link.other)
            if closes or {link.one, link.other} & healed:
                close_all(link.sockets)

    def forget(self, data_centres: list[str]) -> None:
        """Let the connections that these have now fall silent for good."""
        for link in self.links:
            ends = {link.one, link.other}
            link.is_silent = link.is_silent or bool(ends & set(data_centres))


def close_all(sockets: list[socket.socket]) -> None:
    """Close sockets that others may be reading."""
    for one in sockets:
        try:
            one.shutdown(socket.SHUT_RDWR)
        except OSError:
            continue


def serve_relay(cuts: Cuts, one: str, other: str, port: int) -> int:
    """Relay connections of one data centre to a port in another.

    Returns:
        The port that the relay listens on.
    """

    def handle(near: socket.socket, address: object) -> None:
        del address
        if cuts.is_cut(one, other) and cuts.mode == "closed":
            near.close()
            return
        far = socket.create_connection((ports.HOST, port))
        link = Link(one, other, [near, far])
        cuts.links.append(link)
        try:
            gevent.joinall(
                [
                    gevent.spawn(pump, cuts, link, near, far),
                    gevent.spawn(pump, cuts, link, far, near),
                ]
            )
        finally:
            cuts.links.remove(link)
            near.close()
            far.close()

    stream = server.StreamServer((ports.HOST, 0), handle)
    stream.start()
    return stream.server_port


def pump(
    cuts: Cuts, link: Link, source: socket.socket, target: socket.socket
) -> None:
    """Copy bytes until the source ends; drop them while there is a cut."""
    source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while chunk := source.recv(CHUNK_BYTES):
            if not (link.is_silent or cuts.is_cut(link.one, link.other)):
                target.sendall(chunk)
    except OSError:
        pass
    close_all([source, target])


def serve_platform(
    cuts: Cuts, data_centre: str, platform_port: int, relays: dict[str, int]
) -> int:
    """Serve the platform as one data centre sees it.

    Args:
        cuts: The cuts.
        data_centre: Whose platform this is.
        platform_port: The platform itself.
        relays: The relay's port by the id of each VM elsewhere.
    """
    client = geventhttpclient.HTTPClient(
        ports.HOST, platform_port, concurrency=100, network_timeout=TIMEOUT_S
    )

    def application(environ: dict[str, Any], start_response: Any) -> list:
        if cuts.is_cut(data_centre, "platform"):
            gevent.sleep(TIMEOUT_S if cuts.mode == "silent" else 0)
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
    """Return a VM list that names relays for the VMs elsewhere."""
    answer = json.loads(body)
    for vm in answer["vms"]:
        vm["port"] = relays.get(vm["vm_id"], vm["port"])
    return json.dumps(answer).encode()


def serve_control(cuts: Cuts) -> int:
    """Serve `POST /control/cut` and return the port.

    The mode `forget` cuts nothing off: connections that are open fall silent.
    """

    def application(environ: dict[str, Any], start_response: Any) -> list:
        message = json.loads(environ["wsgi.input"].read())
        if message["mode"] == "forget":
            cuts.forget(message["data_centres"])
        else:
            cuts.change(message["data_centres"], message["mode"])
        start_response("200 OK", [("Content-Type", "application/json")])
        return [b"{}"]

    web = gateway.NoDelayServer((ports.HOST, 0), application, log=None)
    web.start()
    return web.server_port


def main(arguments: list[str]) -> int:
    """Serve until killed."""
    setup = json.loads(pathlib.Path(arguments[0]).read_text())
    cuts = Cuts()
    platforms = {}
    for one in setup["data_centres"]:
        relays = {
            vm["vm_id"]: serve_relay(cuts, one, vm["data_centre"], vm["port"])
            for vm in setup["vms"]
            if vm["data_centre"] != one
        }
        platforms[one] = serve_platform(
            cuts, one, setup["platform_port"], relays
        )
    ready = {
        "ready": True,
        "platforms": platforms,
        "control_port": serve_control(cuts),
    }
    print(json.dumps(ready), flush=True)
    while True:
        gevent.sleep(3600)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
