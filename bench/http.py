"""Blocking HTTP requests to stand-ins and daemons on loopback."""

import json
from typing import Any
import urllib.error
import urllib.request

from bench import ports

TIMEOUT_S = 5.0


def request_json(
    port: int,
    path: str,
    body: Any = None,
    *,
    token: str | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Any:
    """Send a GET, or a POST if there is a body, and return the JSON answer.

    Raises:
        OSError: There was no answer, or its status is 400 or above.
    """
    return json.loads(request_text(port, path, body, token, timeout_s))


def request_text(
    port: int,
    path: str,
    body: Any = None,
    token: str | None = None,
    timeout_s: float = TIMEOUT_S,
) -> str:
    """Send a request like `request_json` and return the body as text."""
    url = f"http://{ports.HOST}:{port}{path}"
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    if token is not None:
        headers["Authorization"] = f"Bearer {token}"
    request = urllib.request.Request(url, data, headers)
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return response.read().decode()


def answers_ok(port: int, path: str) -> bool:
    """Return whether a GET is answered with a status below 400."""
    try:
        request_text(port, path, timeout_s=1.0)
    except OSError:
        return False
    return True
