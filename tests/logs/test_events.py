"""Tests that the list of events matches the code that logs them."""

import ast
import pathlib
import unittest

from pollenladder.logs import events

ROOT = pathlib.Path(__file__).resolve().parents[2]
PACKAGES = ("service", "scheduling", "cluster")
# Events that the log handler writes itself, without a call of the log function.
BY_HANDLER = {"greenlet_failed", "log_lines_dropped", "unexpected_error"}
PAGE = ROOT / "docs" / "ref" / "events.md"


def _find_calls() -> dict[str, list[tuple[str, ...]]]:
    """Return the fields of each call that logs an event, by event name.

    The calls are found in the syntax trees of the packages that log events.
    """
    found: dict[str, list[tuple[str, ...]]] = {}
    for package in PACKAGES:
        for path in (ROOT / "pollenladder" / package).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call):
                    continue
                text = ast.unparse(node.func)
                # Position of the event's name among the arguments.
                index = {"logs.log": 1, "region.log_event": 0}.get(text)
                if index is None:
                    continue
                name = node.args[index]
                if isinstance(name, ast.Constant):
                    fields = tuple(k.arg for k in node.keywords)
                    found.setdefault(name.value, []).append(fields)
    return found


class EventsTest(unittest.TestCase):
    """Tests that compare the logged events with the listed ones."""

    def setUp(self):
        self.calls = _find_calls()

    def test_every_logged_event_is_listed_with_its_fields(self):
        for name, calls in self.calls.items():
            for fields in calls:
                with self.subTest(event=name):
                    listed = set(events.EVENTS[name].fields)
                    self.assertEqual(set(fields), listed)

    def test_every_listed_event_is_logged(self):
        self.assertEqual(set(events.EVENTS), set(self.calls) | BY_HANDLER)

    def test_the_page_is_up_to_date(self):
        self.assertEqual(PAGE.read_text(), events.write_page())
