"""Decoding of the workers' table."""

import functools

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_tables
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.service import row_decoding


def decode_changes(
    snapshot: stores.Snapshot, decoder: row_decoding.RowDecoder
) -> worker_tables.RowChanges:
    """Decode rows in the order of their changes; the last one counts."""
    listed: dict[str, fleet.Listing] = {}
    removed: dict[str, bool] = {}
    undecodable: dict[str, bool] = {}
    for row in snapshot.rows:
        found = None
        if not row.is_removed:
            found = decoder.decode(
                row, functools.partial(rows.decode_worker, row.key)
            )
        if found is not None:
            listed[row.key] = found
        is_undecodable = found is None and not row.is_removed
        if row.is_removed or row.key in removed:
            removed[row.key] = row.is_removed
        if is_undecodable or row.key in undecodable:
            undecodable[row.key] = is_undecodable
    return worker_tables.RowChanges(listed, removed, undecodable)
