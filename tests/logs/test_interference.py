"""Tests of the list of pairs that slow each other down, from logs."""

import json
import pathlib
import tempfile
import unittest

from pollenladder.logs import events
from pollenladder.logs import explanations
from pollenladder.logs import interference
from tests.management import test_commands

NUMBERS = {"slowdown": 1.5, "lower_bound": 1.2, "overlap": 40.0}


def _change(second: int, change: str, queue: str, group: str = "norte"):
    return explanations.Line(
        f"2026-01-01T00:00:{second:02}.000Z",
        "front-1",
        events.EVENTS["interference_changed"],
        {
            "group": group,
            "queue": queue,
            "neighbour": "noisy",
            "change": change,
            **NUMBERS,
        },
    )


def _claim(second: int, group: str):
    return explanations.Line(
        f"2026-01-01T00:00:{second:02}.000Z",
        "front-2",
        events.EVENTS["ownership_claimed"],
        {"group": group, "epoch": 2, "reason": ""},
    )


def _list_queues(*lines: explanations.Line) -> list[tuple[str, str]]:
    return [(p.group, p.queue) for p in interference.list_pairs(lines)]


class PairsTest(unittest.TestCase):
    """The list shows what counts at the end of the logs, not before."""

    def test_a_dropped_pair_is_not_listed(self):
        lines = (
            _change(3, "dropped", "a"),
            _change(1, "found", "a"),
            _change(2, "found", "b"),
        )
        self.assertEqual(_list_queues(*lines), [("norte", "b")])

    def test_a_new_owner_has_only_the_pairs_that_it_restored(self):
        lines = (
            _change(1, "found", "a"),
            _change(1, "found", "b"),
            _change(1, "found", "a", "sur"),
            _claim(2, "norte"),
            _change(3, "restored", "b"),
        )
        self.assertEqual(_list_queues(*lines), [("norte", "b"), ("sur", "a")])

    def test_a_line_without_a_field_is_skipped(self):
        line = _change(1, "found", "a")
        del line.fields["slowdown"]
        self.assertEqual(_list_queues(line), [])


class CommandTest(unittest.TestCase):
    """The command reads logs without a daemon."""

    def _run(self, options: str, *lines: explanations.Line):
        texts = [
            json.dumps(
                {
                    "time": line.time,
                    "level": "info",
                    "daemon": line.daemon,
                    "event": line.event.name,
                    **line.fields,
                }
            )
            for line in lines
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "day.log")
            path.write_text("\n".join(texts))
            simulation = test_commands.Simulation()
            return simulation.run(f"interference {options} {path}")

    def test_pairs_are_printed(self):
        code, output, _ = self._run("", _change(1, "found", "a"))
        self.assertEqual(code, 0)
        self.assertIn("norte: a beside noisy: x1.50", output)

    def test_no_pairs(self):
        code, output, _ = self._run("", _claim(1, "norte"))
        self.assertEqual(code, 0)
        self.assertIn("no queues", output)

    def test_json(self):
        _, output, _ = self._run("--json", _change(1, "found", "a"))
        self.assertEqual(json.loads(output)[0]["slowdown"], 1.5)

    def test_a_missing_file_is_an_error(self):
        found = test_commands.Simulation().run("interference /nonexistent")
        self.assertEqual(found[0], 2)
