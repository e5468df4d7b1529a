"""Every reader of documents of other writers either decodes or rejects a document.

The tests guard against a daemon that ends, or a loop that fails, because of one odd
document. They run in greenlets, as in daemons, with little and with much of the
recursion limit used.
"""

from collections.abc import Callable
import unittest

import gevent
import hypothesis
from hypothesis import strategies as st

from pollenladder.http import responses
from pollenladder.platform import callers
from pollenladder.platform import exceptions
from pollenladder.platform import pages
from pollenladder.platform import rows
from pollenladder.platform import workers
from soak import foreign_rows

FRAMES = (0, 800)
# Beyond what a row holds: a worker's reply, or a store that does not limit rows.
MANY = 10_000_000
HUGE = (
    b"[" * MANY,
    b'{"a":' * MANY,
    b'{"Running":' + b"[" * MANY,
    b'{"New":' + b"[" * MANY + b"]" * MANY + b"}",
    b'{"ClockMs":' + b"9" * MANY + b"}",
    b'{"rows":' + b"[" * MANY,
)
ANY_JSON = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.text(max_size=3).map(lambda text: f'"{ascii(text)[1:-1]}"'),
        st.sampled_from(["1e400", "-0", "-0.0", "NaN", "9" * 400, "9" * 5000]),
        st.integers(-(2**70), 2**70),
    ).map(lambda value: "null" if value is None else str(value).lower()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3).map(lambda v: f"[{','.join(v)}]"),
        st.dictionaries(
            st.sampled_from(
                [
                    "Service",
                    "Addr",
                    "Zone",
                    "State",
                    "Capacity",
                    "Seq",
                    "Ver",
                    "rows",
                    "Key",
                    "ClockMs",
                    "born",
                    "Running",
                    "Ended",
                    "Version",
                    "Services",
                    "Routes",
                    "version",
                    "parts",
                    "daemon_id",
                    "epoch",
                    "speeds",
                    "learned_at_s",
                    "durations",
                    "interference",
                ]
            ),
            inner,
            max_size=6,
        ).map(
            lambda v: "{" + ",".join(f'"{k}":{v[k]}' for k in v) + "}",
        ),
    ),
    max_leaves=12,
)


def _read_poll(source: bytes) -> object:
    response = responses.Response(200, {}, source, True)
    return workers._read_poll_response(response)


def _read_start(source: bytes) -> object:
    response = responses.Response(409, {}, source, True)
    return workers._read_start_response(response)


READERS: dict[str, Callable[[bytes], object]] = {
    "worker": lambda source: rows.decode_worker("w1", source),
    "daemon": rows.decode_member,
    "layout": rows.decode_layout,
    "ownership": rows.decode_ownership,
    "learned": rows.decode_learned,
    "configuration": rows.decode_configuration,
    "page": pages.decode_page,
    "poll": _read_poll,
    "start": _read_start,
    "job": callers.decode_job,
}


def _call(depth: int, function: Callable[[], object]) -> object:
    return function() if depth == 0 else _call(depth - 1, function)


def _read_all(source: bytes, frames: int) -> list[str]:
    """Let all readers read a document; return the unexpected errors."""
    failures = []
    for name, read in READERS.items():
        try:
            _call(frames, lambda read=read: read(source))
        except exceptions.PlatformError:
            pass
        except Exception as error:
            failures.append(f"{name}: {error!r:.200}")
    return failures


class OddDocumentsTest(unittest.TestCase):
    """All readers read the same documents."""

    def _check(self, source: bytes) -> None:
        for frames in FRAMES:
            with self.subTest(source=source[:60], frames=frames):
                reader = gevent.spawn(_read_all, source, frames)
                self.assertEqual(reader.get(), [])

    def test_rows_of_other_writers(self):
        for source in foreign_rows.list_values():
            self._check(source)

    def test_documents_that_are_nested_or_long_beyond_any_row(self):
        for source in HUGE:
            self._check(source)

    def test_depths_around_the_limit(self):
        # Also where the limit is reached within the handling of an error.
        for depth in (*range(100, 1100, 50), *range(980, 1001)):
            self._check(b'{"New":' + b"[" * depth + b"]" * depth + b"}")

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(ANY_JSON)
    def test_any_document(self, source: str):
        self.assertEqual(_read_all(source.encode(), 0), [])
