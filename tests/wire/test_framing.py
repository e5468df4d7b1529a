"""Tests of the framing of byte streams."""

import unittest

import hypothesis
from hypothesis import strategies
import msgpack

from pollenladder.wire import exceptions
from pollenladder.wire import framing

FUZZ = hypothesis.settings(
    derandomize=True, max_examples=400, deadline=None, database=None
)
INVALID_BODIES = (
    b"",
    b"\xc1",
    b"\x01",
    b"\x80",
    b"\xa1x",
    b"\x92\x01",
    b"\x90\x90",
    b"\xdd\xff\xff\xff\xff",
    b"\x91\xa1\xff",
    b"\x91\x81\x01\x01",
    b"\x91" * 5000,
)


class FramingTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        strategies.lists(strategies.lists(strategies.binary(), max_size=4)),
        strategies.integers(1, 17),
    )
    def test_frames_split_at_any_byte_are_reassembled(self, batches, step):
        stream = b"".join(
            framing.pack_batch([msgpack.packb(m) for m in batch])
            for batch in batches
        )
        frames = framing.FrameBuffer(1 << 20)
        bodies = []
        for start in range(0, len(stream), step):
            bodies += frames.feed(stream[start : start + step])
        frames.finish()
        self.assertEqual([framing.unpack_batch(b) for b in bodies], batches)

    def test_an_oversized_frame_is_rejected_by_its_header(self):
        frames = framing.FrameBuffer(100)
        self.assertEqual(frames.feed(framing.HEADER.pack(100)), [])
        frames = framing.FrameBuffer(100)
        with self.assertRaises(exceptions.OversizedFrameError):
            frames.feed(framing.HEADER.pack(101))

    def test_a_stream_that_ends_within_a_frame_is_truncated(self):
        frame = framing.pack_batch([msgpack.packb("message")])
        for size in range(1, len(frame)):
            frames = framing.FrameBuffer(100)
            self.assertEqual(frames.feed(frame[:size]), [])
            with self.assertRaises(exceptions.TruncatedFrameError):
                frames.finish()

    def test_garbage_is_rejected(self):
        for body in INVALID_BODIES:
            with (
                self.subTest(body=body[:8]),
                self.assertRaises(exceptions.GarbageFrameError),
            ):
                framing.unpack_batch(body)

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=64))
    def test_fuzzed_bodies_are_arrays_or_garbage(self, body):
        try:
            messages = framing.unpack_batch(body)
        except exceptions.GarbageFrameError:
            return
        self.assertIs(type(messages), list)
