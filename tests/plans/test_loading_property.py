"""Malformed declarations raise a `ConfError` and no other exception."""

import copy
import json
import pathlib
import unittest

import hypothesis
from hypothesis import strategies

from pollenladder.audit import differences
from pollenladder.conf import documents
from pollenladder.conf import exceptions
from pollenladder.plans import loading

EXAMPLE = pathlib.Path(__file__).resolve().parents[2] / "examples" / "dalbit"
TEXTS = {name: (EXAMPLE / name).read_text() for name in loading.FILES}
CANDIDATE = loading.load_directories([EXAMPLE])
ROW = {
    "version": 1,
    "change_id": "c",
    "customers": CANDIDATE.customers,
    "plans": CANDIDATE.plans,
}
FILLING_ALPHABET = "{}[]:,\"'/*\\\n\0 0-e.\ud800"
MAX_EXAMPLES = 300

values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=5,
)
with_settings = hypothesis.settings(
    max_examples=MAX_EXAMPLES, derandomize=True, deadline=None, database=None
)


def list_paths(value, path=()) -> list[tuple]:
    """Return the paths of all fields in a value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    paths = [path]
    for key, item in items:
        nested = isinstance(item, dict | list)
        paths += list_paths(item, (*path, key)) if nested else [(*path, key)]
    return paths


def replace_field(value, path: tuple, new):
    if not path:
        return new
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = new
    return changed


class LoadingPropertyTest(unittest.TestCase):
    @with_settings
    @hypothesis.given(strategies.sampled_from(list_paths(ROW)), values)
    def test_rows_with_one_wrong_field(self, path, new):
        row = replace_field(ROW, path, new)
        try:
            loading.parse_row(row, 3)
        except exceptions.ConfError as error:
            str(error)
        else:
            changes = differences.compare(
                ROW["customers"] | ROW["plans"],
                row["customers"] | row["plans"],
            )
            self.assertIsInstance(differences.summarize(changes), str)

    @with_settings
    @hypothesis.given(
        strategies.sampled_from(sorted(TEXTS)),
        strategies.integers(0, 10_000),
        strategies.integers(0, 30),
        strategies.text(alphabet=FILLING_ALPHABET, max_size=4),
    )
    def test_texts_with_a_part_replaced(self, name, at, length, filling):
        text = TEXTS[name]
        at %= len(text)
        broken = text[:at] + filling + text[at + length :]
        try:
            document = documents.parse_document(name, broken)
            documents.validate_document(loading.FILES[name], document)
        except exceptions.ConfError as error:
            self.assertTrue(error.problems)

    @with_settings
    @hypothesis.given(values)
    def test_reported_lines_contain_the_field(self, value):
        text = json.dumps(value, indent=1)
        document = documents.parse_document("f", text)
        lines = text.splitlines()
        for path, line in document.lines.lines.items():
            if path and isinstance(path[-1], str):
                self.assertIn(json.dumps(path[-1]), lines[line - 1])
