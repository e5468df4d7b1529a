"""Requests and responses as bytes, also requests that clients never send."""

import contextlib
import json
import socket as stdlib_socket

from gevent import socket

from tests.gateway import fakes

JSON = "application/json"


def make_job(**changes):
    """Return a valid submission with changed fields; None drops a field."""
    job = {
        "plan": "training",
        "tasks": [{"id": "t-1", "kind": "session-check"}],
    } | changes
    return {name: value for name, value in job.items() if value is not None}


def make_task(**changes):
    return {"id": "t-1", "kind": "session-check"} | changes


def encode(body):
    if isinstance(body, bytes):
        return body
    return json.dumps(body).encode()


def make_request(
    method="POST", path="/v1/jobs", body=b"", token="red-andina", **fields
):
    """Return a request as bytes; a header field of None is left out."""
    body = encode(body)
    headers = {
        "Host": "daemon",
        "Content-Type": JSON,
        "Content-Length": str(len(body)),
        "Authorization": f"Bearer {token}" if token else None,
    } | {name.replace("_", "-"): value for name, value in fields.items()}
    lines = [f"{n}: {v}" for n, v in headers.items() if v is not None]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""])
    return head.encode("latin-1") + body


def read_response(sock):
    """Read a response; return status, lower-case header fields and body.

    The status is None if the connection is closed without a response.
    """
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while b"\r\n\r\n" not in received:
            data = sock.recv(65536)
            if not data:
                break
            received += data
    head, _, body = received.partition(b"\r\n\r\n")
    status, *lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines)
    while len(body) < int(fields.get("content-length", 0)):
        data = sock.recv(65536)
        if not data:
            break
        body += data
    return int(status.split()[1]) if status else None, fields, body


def connect(port):
    return socket.create_connection(("127.0.0.1", port), fakes.WAIT_S)


def connect_without_accept(port):
    """Connect without letting the server's greenlet run and accept."""
    blocking = stdlib_socket.create_connection(("127.0.0.1", port))
    return socket.socket(fileno=blocking.detach())


def exchange(port, request, shut_down_sending=False):
    """Send bytes on a new connection and return the response.

    Args:
        port: The server's port.
        request: The bytes to send.
        shut_down_sending: Whether to shut down the socket for sending after
            the request.
    """
    with connect(port) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(request)
            if shut_down_sending:
                sock.shutdown(socket.SHUT_WR)
        return read_response(sock)
