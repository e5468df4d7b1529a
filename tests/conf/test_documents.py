"""Tests of parsing JSON with comments: line numbers and errors."""

import pathlib
import tempfile
import unittest

import json5

from pollenladder.conf import documents
from pollenladder.conf import exceptions
from pollenladder.conf import positions

TEXT = """// A comment with {marks: [1,
{
  /* several
     lines */ plain: 1,
  "quo\\"ted": 'si}ngle',
  list: [
    {id: "a"}, {id: "b",
      inner: [1, 2,
        3]},
  ],
  last: {},
}
"""


class PositionsTest(unittest.TestCase):
    def test_lines_by_path(self):
        found = positions.locate_fields(TEXT)
        cases = (
            ((), 2),
            (("plain",), 4),
            (('quo"ted',), 5),
            (("list",), 6),
            (("list", 0, "id"), 7),
            (("list", 1, "inner"), 8),
            (("list", 1, "inner", 2), 9),
            (("last",), 11),
            (("last", "missing", "deeper"), 11),
        )
        for path, line in cases:
            with self.subTest(path):
                self.assertEqual(found.find_line(path), line)

    def test_both_parsers_return_the_same_value(self):
        # `documents` uses the slower json5 only for texts that json rejects.
        for text in (
            '{"a": 1, /* b */ "c": "// d /* e"} // f',
            '{"a": "x\\"/*", "b": "*/"}',
            "{a: 1, /* b */ c: '// d',}",
            "[1,/**/2, NaN]",
        ):
            with self.subTest(text):
                found = documents.parse_document("f", text).value
                self.assertEqual(repr(found), repr(json5.loads(text)))

    def test_paths_are_formatted_with_dots_and_brackets(self):
        path = ("customers", 0, "plans", 1)
        self.assertEqual(positions.format_path(path), "customers[0].plans[1]")


class MalformedTest(unittest.TestCase):
    def test_each_error_names_its_line(self):
        cases = (
            ("{\n a: 1,\n b: }", "f:3: "),
            ("", "f"),
            ("{a: 1", "f"),
            ("{a: {b: 1,\n b: 2}}", "f:2: a.b: is given twice"),
            ("{a: 1,\n 'a': 2}", "f:2: a: is given twice"),
            ("[" * 100_000, "f"),
            ("[1 / 2]", "f"),
            ("[1 /* 2]", "f"),
            ("[1/**/2]", "f"),
        )
        for text, start in cases:
            with self.subTest(text[:20]):
                with self.assertRaises(exceptions.MalformedError) as caught:
                    documents.parse_document("f", text)
                self.assertTrue(str(caught.exception).startswith(start))

    def test_unreadable_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "latin.json")
            path.write_bytes(b'{a: "\xff"}')
            for file in (path, pathlib.Path(folder, "missing"), folder):
                with (
                    self.subTest(file),
                    self.assertRaises(exceptions.UnreadableError),
                ):
                    documents.read_document(file)
