"""Decoding of the store's responses that contain rows.

Other writers choose the contents of some rows. A row that cannot be decoded must not
keep the others in the same response from being read.
"""

import msgspec

from pollenladder.platform import exceptions
from pollenladder.platform import messages

_PAGE_DECODER = msgspec.json.Decoder(messages.Rows)
_RAW_PAGE_DECODER = msgspec.json.Decoder(messages.RawRows)
_ROW_DECODER = msgspec.json.Decoder(messages.Row)
_ADDRESS_DECODER = msgspec.json.Decoder(messages.RowAddress)

# Stands for a row of which not even the key can be decoded. Its empty value is
# rejected by the reader.
UNDECODABLE_ROW = messages.Row(table="", key="", ver=0)


def decode_page(body: bytes) -> messages.Rows:
    """Return the rows of a response, in order.

    A row whose value cannot be decoded gets an empty one, which its reader
    rejects. One whose key cannot be decoded becomes `UNDECODABLE_ROW`.

    Raises:
        exceptions.StoreError: The body is not a list of rows.
    """
    try:
        return _PAGE_DECODER.decode(body)
    except messages.DECODE_ERRORS:
        # Decoding all rows at once costs less, and nearly always succeeds.
        return _decode_each_row(body)


def _decode_each_row(body: bytes) -> messages.Rows:
    try:
        page = _RAW_PAGE_DECODER.decode(body)
    except messages.DECODE_ERRORS as error:
        raise exceptions.StoreError(str(error)) from error
    rows = tuple(_decode_row(source) for source in page.rows)
    return messages.Rows(page.ver, rows, page.has_more)


def _decode_row(source: msgspec.Raw) -> messages.Row:
    try:
        return _ROW_DECODER.decode(source)
    except messages.DECODE_ERRORS:
        return _decode_address(source)


def _decode_address(source: msgspec.Raw) -> messages.Row:
    try:
        found = _ADDRESS_DECODER.decode(source)
    except messages.DECODE_ERRORS:
        return UNDECODABLE_ROW
    return messages.Row(table="", key=found.key, ver=found.ver, part=found.part)
