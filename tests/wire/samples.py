"""Sample messages, and daemons that record what their links receive."""

import dataclasses
import enum
import time
from typing import Any

import gevent

from pollenladder.wire import codec
from pollenladder.wire import handshake
from pollenladder.wire import links
from pollenladder.wire import server

SECRET = b"secret of the tests"
# Limit for conditions that hold within milliseconds unless a test fails.
WAIT_S = 20.0


class Colour(enum.Enum):
    RED = "red"
    BLUE = "blue"


@dataclasses.dataclass(frozen=True)
class Inner:
    name: str
    share: float | None = None


@dataclasses.dataclass(frozen=True)
class Other:
    count: int


@dataclasses.dataclass(frozen=True)
class Everything:
    flag: bool
    number: int
    ratio: float
    text: str
    raw: bytes
    payload: Any
    colour: Colour
    inner: Inner
    maybe: Inner | None
    several: tuple[Inner, ...]
    names: list[str]
    by_name: dict[str, Inner]
    choice: Inner | Other


@dataclasses.dataclass(frozen=True)
class Note:
    number: int
    text: str = ""


EVERYTHING = Everything(
    True,
    7,
    0.5,
    "text",
    b"raw",
    {"a": [1, None, "x"]},
    Colour.BLUE,
    Inner("one", 1.0),
    None,
    (Inner("two"),),
    ["a", "b"],
    {"three": Inner("three")},
    Other(3),
)
MESSAGES = codec.Codec([(1, Everything), (2, Note)])


def make_hello(daemon_id: str) -> handshake.Hello:
    """Return a hello of incarnation 1 with peer port 1 and HTTP port 2."""
    return handshake.Hello(daemon_id, 1, "quito-norte", "127.0.0.1", 1, 2)


class RecordingDaemon:
    """A daemon that records its links, received messages and close reasons."""

    def __init__(self, daemon_id: str, **changes: Any):
        self.received = []
        self.closed = []
        self.links = []
        self.settings = dataclasses.replace(
            server.Settings(
                make_hello(daemon_id),
                SECRET,
                MESSAGES,
                self._record_message,
                lambda link, reason: self.closed.append(reason),
                links.Limits(peer_timeout_s=WAIT_S),
            ),
            **changes,
        )

    def _record_message(self, link: links.Link, message: Any) -> None:
        self.received.append(message)

    def listen(self) -> server.Server:
        listener = server.Server(
            self.settings, "127.0.0.1", 0, self.links.append
        )
        listener.start()
        return listener


def wait_until(condition: Any) -> bool:
    """Wait up to `WAIT_S` for a condition and return whether it holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < deadline:
        gevent.sleep(0.002)
    return bool(condition())
