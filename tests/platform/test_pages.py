"""Tests of decoding the store's responses with rows of other writers."""

import unittest

from pollenladder.platform import exceptions
from pollenladder.platform import pages

VALID = b'{"Table":"t","part":"","Key":"b","Value":"b25l","Ver":7}'
DEEP = b"[" * 10_000_000


class DecodePageTest(unittest.TestCase):
    """Each row costs only itself.

    The tests guard against a table that one row keeps from being read.
    """

    def _decode(self, row: bytes) -> list[str]:
        body = b'{"Ver":9,"NowMs":1,"rows":[' + row + b"," + VALID + b"]}"
        page = pages.decode_page(body)
        self.assertEqual(page.ver, 9)
        return [row.key for row in page.rows]

    def test_row_without_a_usable_key(self):
        for row in (
            b"null",
            b"7",
            b"[]",
            b"{}",
            b'{"Table":"t","Ver":1}',
            b'{"Table":"t","Key":5,"Ver":1}',
            b'{"Table":"t","Key":null,"Ver":1}',
            b'{"Table":"t","Key":"\xff\xfe","Ver":1}',
            b'{"Table":"t","Key":"\xed\xa0\x80","Ver":1}',
            b'{"Table":"t","Key":"a","Ver":-1}',
            b'{"Table":"t","Key":"a","Ver":1e400}',
            b'{"Table":"t","Key":"a","Ver":' + b"9" * 5000 + b"}",
        ):
            with self.subTest(row=row[:60]):
                self.assertEqual(self._decode(row), ["", "b"])

    def test_row_with_a_usable_key(self):
        for field in (
            b'"Value":null',
            b'"Value":"\xff"',
            b'"Value":' + b"9" * 100_000,
            b'"Table":null',
            b'"Removed":"yes"',
        ):
            row = b'{"Key":"a","Ver":1,' + field + b"}"
            with self.subTest(field=field[:60]):
                self.assertEqual(self._decode(row), ["a", "b"])

    def test_body_that_is_no_list_of_rows(self):
        for body in (
            b"",
            b"[]",
            b'{"Ver":9,"rows":null}',
            b'{"Ver":9,"rows":[' + VALID,
            b'{"Ver":9,"rows":[{"Key":' + DEEP,
            b'{"Ver":9,"rows":[],"New":' + DEEP,
        ):
            with (
                self.subTest(body=body[:60]),
                self.assertRaises(exceptions.StoreError),
            ):
                pages.decode_page(body)
