"""Tests of the message codec and its type converters."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies
import msgpack

from pollenladder.wire import codec
from pollenladder.wire import converters
from pollenladder.wire import exceptions
from tests.wire import samples

# Index of a field of samples.Everything, and values that it must reject.
INVALID_FIELDS = (
    (0, (1, None, "true")),
    (1, (True, 1.0, "1", None)),
    (2, (float("nan"), float("inf"), "0.5", True, None)),
    (3, (b"text", 1, "x" * (converters.MAX_TEXT_CHARS + 1), None)),
    (4, ("raw", None)),
    (6, ("green", 1, None, ["red"])),
    (7, (None, [], ["one"], ["one", 1.0, 2], [1, None], "one")),
    (8, (0, ["one"], False)),
    (9, (None, {}, [None], [["a"]], "ab")),
    (10, ([1], ["a", None], "ab", ["x"] * (converters.MAX_ITEMS + 1))),
    (11, ([], {1: ["a", None]}, {"a": None})),
    (12, (None, [2, [1]], [-1, [1]], [0, [1]], [True, [1]], [0], [1, 1])),
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=14)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=4
        )
    ),
    max_leaves=20,
)
FUZZ = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)


def unpack(message):
    return msgpack.unpackb(samples.MESSAGES.encode(message))


class CodecTest(unittest.TestCase):
    def test_messages_survive_a_round_trip(self):
        for message in (samples.EVERYTHING, samples.Note(-1)):
            decoded = samples.MESSAGES.decode(unpack(message))
            self.assertEqual(decoded, message)
            self.assertEqual(
                [type(v) for v in dataclasses.astuple(decoded)],
                [type(v) for v in dataclasses.astuple(message)],
            )

    def test_wrong_fields_are_rejected(self):
        good = unpack(samples.EVERYTHING)
        for index, values in INVALID_FIELDS:
            for value in values:
                with self.subTest(index=index, value=repr(value)[:30]):
                    bad = [*good[: index + 1], value, *good[index + 2 :]]
                    with self.assertRaises(exceptions.MessageError):
                        samples.MESSAGES.decode(bad)

    def test_arrays_with_invalid_tags_or_lengths_are_rejected(self):
        for values in (
            None,
            {},
            [],
            [9],
            ["2", 1, ""],
            [True, 1, ""],
            [[], 1],
            [2],
            [2, 1],
            [2, 1, "", None],
        ):
            with (
                self.subTest(values=values),
                self.assertRaises(exceptions.MessageError),
            ):
                samples.MESSAGES.decode(values)

    def test_unencodable_messages_raise_encoding_errors(self):
        cases = (
            samples.Inner("not registered"),
            dataclasses.replace(samples.EVERYTHING, payload=2**64),
            dataclasses.replace(samples.EVERYTHING, payload=object()),
            dataclasses.replace(samples.EVERYTHING, payload="\ud800"),
            dataclasses.replace(samples.EVERYTHING, inner=None),
            dataclasses.replace(samples.EVERYTHING, choice=samples.Note(1)),
        )
        for message in cases:
            with (
                self.subTest(message=message),
                self.assertRaises(exceptions.EncodingError),
            ):
                samples.MESSAGES.encode(message)
        self.assertEqual(unpack(samples.Note(1)), [2, 1, ""])

    def test_tags_and_classes_are_registered_once(self):
        registry = codec.Codec([(1, samples.Note)])
        for tag, cls in ((1, samples.Inner), (2, samples.Note)):
            with self.assertRaises(ValueError):
                registry.register(tag, cls)

    def test_types_without_encoding_are_rejected(self):
        for hint in (set[str], dict[int, str], int | str, tuple[int, int]):
            with self.subTest(hint=hint), self.assertRaises(TypeError):
                converters.compile_type(hint, "field")

    @FUZZ
    @hypothesis.given(strategies.lists(JSON, max_size=14))
    def test_fuzzed_values_decode_or_are_rejected(self, values):
        for tag in (1, 2):
            try:
                message = samples.MESSAGES.decode([tag, *values])
            except exceptions.MessageError:
                continue
            self.assertEqual(samples.MESSAGES.decode(unpack(message)), message)
