"""Tests of decoding rows of the store, including rows of other writers."""

import json
import unittest
from unittest import mock

from pollenladder.cluster import epochs
from pollenladder.cluster import roster
from pollenladder.platform import exceptions
from pollenladder.platform import rows

ENTRY = {
    "Service": "training",
    "Addr": "10.0.0.9:8080",
    "Zone": "norte",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "Capacity": {"Cpu": 64_000, "MemMb": 1000, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "ClockMs": 1,
    "Seq": 4,
}
ROUTE = {
    "Name": "r",
    "Host": "h.example",
    "Prefix": "/a/",
    "TimeoutMs": 1500,
    "SloMs": 60,
    "Priority": 2,
    "Service": "training",
    "Attempts": 4,
    "Stretch": 1.6,
}


class WorkerRowTest(unittest.TestCase):
    """A worker's row is decoded or rejected."""

    def test_ready_worker(self):
        found = rows.decode_worker("w1", json.dumps(ENTRY).encode())
        self.assertEqual(found.address, ("10.0.0.9", 8080))
        self.assertEqual(found.capacity.cpu_milli, 64_000)
        self.assertFalse(found.is_draining)

    def test_draining_worker(self):
        entry = json.dumps(ENTRY | {"State": "draining"}).encode()
        self.assertTrue(rows.decode_worker("w1", entry).is_draining)

    def test_cold_worker(self):
        entry = json.dumps(ENTRY | {"ColdLeftMs": 2500}).encode()
        self.assertEqual(rows.decode_worker("w1", entry).cold_left_s, 2.5)
        without = {k: ENTRY[k] for k in ENTRY if k != "ColdLeftMs"}
        for left in (without, ENTRY | {"ColdLeftMs": -1}):
            # A worker must not be lost because of a detail.
            entry = json.dumps(left).encode()
            self.assertEqual(rows.decode_worker("w1", entry).cold_left_s, 0.0)

    def test_invalid_rows(self):
        cases = (
            b"",
            b"\xff\xfe",
            b"[]",
            # Deep nesting must not end the daemon's feed.
            b'{"New":' + b"[" * 100_000,
            b'"ready"',
            json.dumps(ENTRY | {"State": "tired"}).encode(),
            json.dumps(ENTRY | {"Addr": "nowhere"}).encode(),
            json.dumps(ENTRY | {"Addr": 7}).encode(),
            json.dumps(ENTRY | {"Capacity": None}).encode(),
            json.dumps({k: ENTRY[k] for k in ENTRY if k != "Addr"}).encode(),
        )
        for source in cases:
            with (
                self.subTest(source=source[:80]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_worker("w1", source)

    def test_fields_that_may_be_missing(self):
        # Guards against a worker that is lost because of a detail. Some writers
        # send null for an empty list.
        for name in ("Version", "Slots", "Seq", "Labels", "ColdLeftMs"):
            with self.subTest(name=name):
                entry = {k: ENTRY[k] for k in ENTRY if k != name}
                source = json.dumps(entry).encode()
                self.assertTrue(rows.decode_worker("w1", source))
        source = json.dumps(ENTRY | {"Labels": None}).encode()
        self.assertTrue(rows.decode_worker("w1", source))

    def test_row_that_is_too_long(self):
        # Guards against rows of another writer that keep the event loop busy.
        for changes in (
            {"New": "x" * rows.MAX_WORKER_BYTES},
            {"Addr": "1." * rows.MAX_WORKER_BYTES + ":80"},
        ):
            source = json.dumps(ENTRY | changes).encode()
            with (
                mock.patch.object(rows, "_WORKER_DECODER") as decoder,
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_worker("w1", source)
            decoder.decode.assert_not_called()

    def test_fields_of_another_type(self):
        # Guards against a row of another writer that is used because only its
        # unused fields show that it does not describe a worker.
        too_large = int("9" * 400)
        cases = (
            {"Slots": None},
            {"Slots": "8"},
            {"Slots": -1},
            {"Slots": 8.5},
            {"Seq": None},
            {"Seq": "4"},
            {"Seq": 1e308},
            {"Seq": too_large},
            {"Version": None},
            {"Version": 7},
            {"Labels": "a"},
            {"Labels": [7]},
            {"ColdLeftMs": None},
            {"ColdLeftMs": "0"},
            {"ColdLeftMs": 1e308},
            {"ColdLeftMs": too_large},
            {"Capacity": {"Cpu": 2**63, "MemMb": 1}},
            {"Capacity": {"Cpu": -1, "MemMb": 1}},
            {"Capacity": {"Cpu": 1.0, "MemMb": 1}},
            {"Capacity": {"Cpu": True, "MemMb": 1}},
        )
        for changes in cases:
            source = json.dumps(ENTRY | changes).encode()
            with (
                self.subTest(changes=str(changes)[:80]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_worker("w1", source)

    def test_numbers_that_are_no_json(self):
        # Python's encoder writes some of them, and converts no more than 4300
        # digits.
        source = json.dumps(ENTRY)
        for number in (
            "NaN",
            "Infinity",
            "-Infinity",
            "1e400",
            "-1e400",
            "9" * 5000,
            "9" * 100_000,
        ):
            for old in ('"Slots": 8', '"ColdLeftMs": 0', '"Cpu": 64000'):
                self.assertIn(old, source)
                name, _ = old.split(" ")
                changed = source.replace(old, f"{name} {number}").encode()
                with (
                    self.subTest(name=name, number=number[:20]),
                    self.assertRaises(exceptions.BadDocumentError),
                ):
                    rows.decode_worker("w1", changed)

    def test_texts_that_cannot_be_used(self):
        # Guards against a text that fails only where it becomes an address, a
        # header or a part of a message, outside of the handling of the row.
        cases = (
            {"Addr": "127.0.\ufffd\ufffd:8169"},
            {"Addr": "host.example:80"},
            {"Addr": "[::1]:80"},
            {"Addr": "10.0.0.256:80"},
            {"Addr": "10.0.0.1\r\n:80"},
            {"Addr": "10.0.0.9:0"},
            {"Addr": "10.0.0.9:65536"},
            {"Addr": "10.0.0.9:-1"},
            {"Addr": "10.0.0.9:99999999999"},
            {"Addr": "10.0.0.9:0080"},
            {"Addr": "10.0.0.9: 80"},
            {"Addr": "10.0.0.9:80 "},
            {"Addr": "10.0.0.9:80\n"},
            {"Addr": "10.0.0.9:\uff18\uff10"},
            {"Addr": "\uff11\uff10.0.0.9:80"},
            {"Addr": "1." * 400 + "1:80"},
            {"Addr": ":80"},
            {"Addr": "::1:80"},
            {"Addr": "10.0.0.9:8_0"},
            {"Addr": "10.0.0.9:\u0668\u0660"},
            {"Zone": ""},
            {"Zone": "nor\ufffd"},
            {"Zone": "n" * 5000},
            {"Service": "a\nb"},
            {"Service": "s" * 5000},
            {"Capacity": {"Cpu": 2**50, "MemMb": 1}},
        )
        for changes in cases:
            source = json.dumps(ENTRY | changes).encode()
            with (
                self.subTest(changes=str(changes)[:80]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_worker("w1", source)

    def test_ids_that_fit_no_header(self):
        # Guards against an id that adds a header to the requests to a worker.
        source = json.dumps(ENTRY).encode()
        for worker_id in ("", "w 1", "w\r\nX: y", "w\ufffd", "w" * 201):
            with (
                self.subTest(worker_id=worker_id[:20]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_worker(worker_id, source)


class DaemonRowTest(unittest.TestCase):
    """Rows that only daemons write are checked all the same."""

    def test_invalid_members(self):
        # Guards against a row to which no connection can even be tried.
        member = {
            "daemon_id": "d",
            "address": "10.0.0.1",
            "port": 80,
            "data_centre": "norte",
            "incarnation": 1,
        }
        self.assertTrue(rows.decode_member(json.dumps(member).encode()))
        cases = (
            {"address": "10.0.\ufffd"},
            {"port": 70_000},
            {"port": -1},
            {"daemon_id": "\n"},
            {"data_centre": "n" * 5000},
            {"incarnation": 10**30},
        )
        for changes in cases:
            source = json.dumps(member | changes).encode()
            with (
                self.subTest(changes=str(changes)[:80]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_member(source)

    def test_invalid_layouts(self):
        # Guards against more groups than a daemon has memory for, and against a
        # version above which the next layout would be rejected.
        for layout in (
            {"version": 0},
            {"version": 10**30},
            {"version": 2**53},
            {"version": 1, "parts": {"norte": 0}},
            {"version": 1, "parts": {"norte": 10**9}},
            {"version": 1, "parts": {f"z{n}": 1000 for n in range(20)}},
            {"version": 1, "parts": {5000 * "n": 1}},
        ):
            with (
                self.subTest(layout=str(layout)[:80]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_layout(json.dumps(layout).encode())

    def test_epoch_that_no_daemon_makes(self):
        # Guards against claims above it: their rows would be rejected, so that a
        # daemon that starts later would be fenced by all workers for good.
        usual = epochs.make_epoch("d", 1_800_000_000.0, 0)
        for epoch in (0, 1, usual, epochs.skip_ahead(usual, 100)):
            row = rows.encode_ownership("d", epoch)
            self.assertEqual(rows.decode_ownership(row), epoch)
        for epoch in (-1, 2**53 - 1, 2**53, 2**62):
            row = rows.encode_ownership("d", epoch)
            with (
                self.subTest(epoch=epoch),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_ownership(row)

    def test_epoch_that_fits_no_message(self):
        source = b'{"daemon_id":"d","epoch":1' + 30 * b"0" + b"}"
        with self.assertRaises(exceptions.BadDocumentError):
            rows.decode_ownership(source)


class ConfigurationRowTest(unittest.TestCase):
    """Field names and units are converted; milliseconds become seconds."""

    def test_queue(self):
        source = json.dumps({"Version": 7, "Routes": [ROUTE]}).encode()
        found = rows.decode_configuration(source)
        (queue,) = found.queues
        self.assertEqual(found.version, 7)
        self.assertEqual(queue.slack_s, 0.06)
        self.assertEqual(queue.max_attempts, 4)
        self.assertFalse(queue.needs_advice)

    def test_unknown_fields_are_ignored(self):
        route = ROUTE | {"New": {"deep": 1}, "Advice": {"DecideMs": 5}}
        source = json.dumps({"Version": 7, "Routes": [route]}).encode()
        (queue,) = rows.decode_configuration(source).queues
        self.assertTrue(queue.needs_advice)

    def test_allowed_regions(self):
        # Some writers send null for an empty list.
        cases = (
            ({}, ()),
            ({"AllowedRegions": None}, ()),
            ({"AllowedRegions": ["andes"]}, ("andes",)),
        )
        for fields, expected in cases:
            with self.subTest(fields=fields):
                config = {"Version": 7, "Routes": [ROUTE | fields]}
                source = json.dumps(config).encode()
                (queue,) = rows.decode_configuration(source).queues
                self.assertEqual(queue.allowed_regions, expected)

    def test_times_for_which_workers_are_cold(self):
        services = [{"Name": "a", "ColdStartS": 8}, {"Name": "b"}]
        cases = ((services, {"a": 8.0}), ([], {}), ({"a": 8}, {}), (None, {}))
        for value, expected in cases:
            with self.subTest(value=value):
                config = {"Version": 7, "Services": value}
                source = json.dumps(config).encode()
                found = rows.decode_configuration(source)
                self.assertEqual(found.cold_starts, expected)

    def test_invalid_documents(self):
        # Deep nesting must not end the daemon's feed with a RecursionError.
        deep = b'{"Version":7,"Services":' + b"[" * 100_000
        for source in (b"", b"{}", b'{"Version":0}', b'{"Version":"7"}', deep):
            with (
                self.subTest(source=source[:80]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_configuration(source)


class MemberRowTest(unittest.TestCase):
    """A daemon's row is encoded and decoded."""

    def test_round_trip(self):
        member = roster.Member("d1", "10.0.0.1", 7720, "norte", 5)
        self.assertEqual(rows.decode_member(rows.encode_member(member)), member)

    def test_row_of_another_writer(self):
        with self.assertRaises(exceptions.BadDocumentError):
            rows.decode_member(b'{"daemon_id": 5}')
