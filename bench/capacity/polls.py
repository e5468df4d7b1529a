"""What it costs to ask the platform for what has not changed."""

import json

from bench import ports
from bench.capacity import samples
from bench.capacity import slopes
from bench.capacity import timing
from pollenladder.http import exchanges
from pollenladder.table import client
from standins import platform as standin
from standins import platform_http
from standins import platform_messages
from standins import servers

COUNTS = (1, 10, 100)
VMS = 1000
ETAG = '"0123456789abcdef0123456789abcdef"'


def measure_all(repeats: int) -> list[slopes.Slope]:
    """Return processor time and bytes of polls that find nothing new.

    The stand-in runs in this process and its part is in the time as well.
    """
    platform = platform_http.Platform(lambda: 0.0)
    rows = [samples.build_vm(number) for number in range(VMS)]
    message = platform_messages.VmsMessage.model_validate_json(
        json.dumps({"set": rows, "remove": [], "at_once": True})
    )
    platform.change_vms(message)
    application = standin.build_application(platform)
    server = servers.Server((ports.HOST, 0), application)
    server.start()
    reader = client.PlatformClient(ports.HOST, server.server_port)

    def poll(count: int) -> None:
        for _ in range(count):
            reader.list_vms(["elsewhere"])

    points = [
        [(n, timing.time_us(lambda n=n: poll(n))) for n in COUNTS]
        for _ in range(repeats)
    ]
    reader.close()
    server.close()
    octets = [(n, float(n * _count_bytes())) for n in COUNTS]
    return [
        slopes.fit("poll_us", "polls", "us", points),
        slopes.fit("poll_bytes", "polls", "bytes", [octets]),
    ]


def _count_bytes() -> int:
    """Return the bytes of a request and of "not modified"."""
    place = ("10.0.0.1", 8080)
    head = exchanges.build_head(place, "GET", "/v1/vms?data_centre=elsewhere")
    fields = f"If-None-Match: {ETAG}\r\n".encode()
    request = exchanges.build_request(head, b"", fields)
    reply = servers.Reply(304, b"", (("ETag", ETAG),))
    return len(request) + len(servers.render(reply, close=False))
