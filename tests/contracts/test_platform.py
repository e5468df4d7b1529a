"""Tests of the platform's client against the contract of the platform.

The client runs against the stand-in of the platform, and against a scripted
peer that sends arbitrary bytes. The tests guard against a request that is sent
twice, and against an error that does not tell whether a write may have taken
effect.
"""

import dataclasses
import json
import unittest

import gevent
from geventhttpclient import client as library

from pollenladder.core import entities as core_entities
from pollenladder.core import verdicts
from pollenladder.table import client
from pollenladder.table import entities
from pollenladder.table import exceptions
from standins import platform as standin
from standins import platform_http
from standins import platform_messages
from standins import servers
from tests.contracts import scripted

READ = scripted.READ
CLOSE = scripted.CLOSE
RESET = scripted.RESET
HANG = scripted.HANG
# Timeouts of requests that must get a response, and of those that get none.
LONG_S = 60.0
SHORT_S = 0.1

Check = entities.Check
Write = entities.Write
VM = {
    "vm_id": "w-1",
    "role": "endpoint",
    "data_centre": "ambato",
    "rack": "r-1",
    "address": "127.0.0.1",
    "port": 7000,
    "slots": 8,
    "connections": 64,
}


class PlatformFixture:
    """A running stand-in of the platform with a client."""

    def __init__(self, timeout_s=LONG_S):
        self.now_s = 1000.0
        self.platform = platform_http.Platform(lambda: self.now_s)
        self.server = servers.Server(
            ("127.0.0.1", 0), standin.build_application(self.platform)
        )
        self.server.start()
        self.client = build_client(self.server.server_port, timeout_s)

    def set_faults(self, **faults):
        for name, value in faults.items():
            setattr(self.platform.faults, name, value)

    def change_vms(self, **change):
        message = platform_messages.VmsMessage.model_validate(change)
        self.platform.change_vms(message)

    def read_stored_value(self, key):
        """Return the stored value of a row, bypassing HTTP and faults."""
        row = self.platform._table.get(key)
        return row.value if row else None

    def close(self):
        self.client.close()
        self.server.drop_connections()
        self.server.close()


def build_client(port, timeout_s=LONG_S):
    limits = client.Limits(timeout_s=timeout_s)
    return client.PlatformClient("127.0.0.1", port, limits)


def write(fixture, value, checks=()):
    return fixture.client.transact(list(checks), [Write("k", value)])


def catch_error(call):
    """Return the class of the error that a call raises, or None."""
    try:
        call()
    except exceptions.PlatformError as error:
        return type(error)
    return None


# Each row: faults of the stand-in, the client's timeout, the expected error of
# a write, and whether the write takes effect.
FAULTS = {
    "none": ({}, LONG_S, None, True),
    "slow": ({"slow_s": 0.05}, LONG_S, None, True),
    "slower than the timeout": (
        {"slow_s": 1000},
        SHORT_S,
        exceptions.NoReplyError,
        False,
    ),
    "down": ({"down": True}, LONG_S, exceptions.NoReplyError, False),
    "silent": ({"silent": True}, SHORT_S, exceptions.NoReplyError, False),
    "reply lost after the effect": (
        {"lose_replies": 1},
        LONG_S,
        exceptions.NoReplyError,
        True,
    ),
}

ROW = {"key": "k", "value": 1, "version": 3}
# Each call must raise `NoReplyError` for each of the unusable responses.
CALLS = {
    "get_row": lambda c: c.get_row("k"),
    "list_rows": lambda c: c.list_rows("k"),
    "transact": lambda c: c.transact([], [Write("k", 1)]),
    "put_object": lambda c: c.put_object("o", b"x"),
    "get_object": lambda c: c.get_object("o"),
    "delete_object": lambda c: c.delete_object("o"),
    "list_vms": lambda c: c.list_vms(),
}
UNUSABLE_RESPONSES = {
    "closed": (READ, CLOSE),
    "reset": (READ, RESET),
    "silent": (READ, HANG),
    "garbage": (READ, b"\x00\xff\r\n\r\n"),
    "truncated": (
        READ,
        b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"key":',
        CLOSE,
    ),
    "answered twice": (READ, scripted.build_response(200, b"{}") * 2),
    "500": (READ, scripted.build_response(500, b"")),
    "empty": (READ, scripted.build_response(200, b"")),
    "not JSON": (READ, scripted.build_response(200, b"<html>")),
    "another answer": (READ, scripted.build_response(200, b'{"x":1}')),
    "conflict without a row": (READ, scripted.build_response(409, b"{}")),
}


class NaiveClient(client.PlatformClient):
    """A faulty client: it uses the library, which resends some requests."""

    def _exchange(self, method, target, body=b"", fields=b""):
        http = library.HTTPClient(*self._address, network_timeout=SHORT_S)
        try:
            response = http.request(method, target, body)
            response.read()
        except Exception as error:
            raise exceptions.NoReplyError(str(error)) from error
        raise exceptions.NoReplyError(f"status {response.status_code}")


def find_failed_calls(build, unusable):
    """Return the calls that fail.

    A call must raise `NoReplyError` and send exactly one request.
    """
    failed = []
    for call_name, call in CALLS.items():
        for name, script in unusable.items():
            peer = scripted.Peer(*script)
            platform = build(peer.port, SHORT_S if HANG in script else LONG_S)
            error = catch_error(lambda call=call, p=platform: call(p))
            peer.stop()
            if (error, peer.requests) != (exceptions.NoReplyError, 1):
                failed.append((call_name, name, error, peer.requests))
    return failed


class WriteTest(unittest.TestCase):
    def run_fault(self, name):
        faults, timeout_s, expected, took_effect = FAULTS[name]
        fixture = PlatformFixture(timeout_s)
        self.addCleanup(fixture.close)
        fixture.set_faults(**faults)
        error = catch_error(lambda: write(fixture, "new"))
        seen = fixture.read_stored_value("k") == "new"
        return (error, seen) == (expected, took_effect), error, seen

    def test_faults(self):
        for name in FAULTS:
            with self.subTest(name):
                is_as_expected, error, seen = self.run_fault(name)
                self.assertTrue(is_as_expected, f"{error}, took effect: {seen}")
                if error is not None and seen:
                    verdict = error.verdict
                    self.assertIs(verdict, verdicts.Verdict.MAY_HAVE_RUN)

    def test_refused_connections_have_no_effect(self):
        fixture = PlatformFixture()
        fixture.close()
        for name, call in CALLS.items():
            with self.subTest(name):
                error = catch_error(lambda call=call: call(fixture.client))
                self.assertIs(error, exceptions.UnreachableError)
                self.assertIs(error.verdict, verdicts.Verdict.NOT_RUN)

    def test_unusable_answers_leave_the_outcome_unknown(self):
        self.assertEqual(
            find_failed_calls(build_client, UNUSABLE_RESPONSES), []
        )

    def test_cases_catch_a_client_that_resends(self):
        def build(port, timeout_s):
            limits = client.Limits(timeout_s=timeout_s)
            return NaiveClient("127.0.0.1", port, limits)

        closed = {"closed": UNUSABLE_RESPONSES["closed"]}
        failed = find_failed_calls(build, closed)
        names = [call_name for call_name, *_ in failed]
        self.assertIn("put_object", names)
        self.assertIn("delete_object", names)


class TableTest(unittest.TestCase):
    def setUp(self):
        self.fixture = PlatformFixture()
        self.addCleanup(self.fixture.close)
        self.client = self.fixture.client

    def test_rows_and_versions(self):
        self.assertIsNone(self.client.get_row("a/b c?&%/ü"))
        versions = self.client.transact(
            [Check("a/b c?&%/ü", 0)], [Write("a/b c?&%/ü", {"x": [1, None]})]
        )
        row = self.client.get_row("a/b c?&%/ü")
        self.assertEqual(row.value, {"x": [1, None]})
        self.assertEqual(versions, {row.key: row.version})

    def test_checks(self):
        first = write(self.fixture, 1, [Check("k", 0)])["k"]
        second = write(self.fixture, 2, [Check("k", first)])["k"]
        self.assertGreater(second, first)
        for name, check, version in (
            ("stale version", Check("k", first), second),
            ("expected no row", Check("k", 0), second),
            ("expected a row", Check("other", 5), 0),
        ):
            with self.subTest(name):
                with self.assertRaises(exceptions.ConflictError) as caught:
                    write(self.fixture, 3, [check])
                error = caught.exception
                self.assertEqual(
                    (error.key, error.version), (check.key, version)
                )
                self.assertEqual(self.fixture.read_stored_value("k"), 2)

    def test_a_duplicate_of_a_checked_transaction_conflicts(self):
        write(self.fixture, 1, [Check("k", 0)])
        error = catch_error(lambda: write(self.fixture, 1, [Check("k", 0)]))
        self.assertIs(error, exceptions.ConflictError)

    def test_a_recreated_row_never_gets_an_old_version(self):
        old = write(self.fixture, 1)["k"]
        self.assertEqual(write(self.fixture, None), {"k": 0})
        self.assertIsNone(self.client.get_row("k"))
        write(self.fixture, 2)
        error = catch_error(lambda: write(self.fixture, 3, [Check("k", old)]))
        self.assertIs(error, exceptions.ConflictError)

    def test_a_transaction_is_atomic(self):
        writes = [Write("a", 1), Write("b", 2)]
        error = catch_error(
            lambda: self.client.transact([Check("c", 9)], writes)
        )
        self.assertIs(error, exceptions.ConflictError)
        self.assertEqual(self.client.list_rows(""), [])

    def test_lists_by_prefix_and_page(self):
        keys = ["a/1", "a/2", "a/3", "b/1"]
        self.client.transact([], [Write(key, key) for key in reversed(keys)])
        for arguments, expected in (
            (("a/",), keys[:3]),
            (("a/", "a/1"), keys[1:3]),
            (("a/", "", 2), keys[:2]),
            (("a/", "a/3"), []),
            (("",), keys),
        ):
            rows = self.client.list_rows(*arguments)
            self.assertEqual([row.key for row in rows], expected)

    def test_invalid_requests_are_refused(self):
        twice = [Write("k", 1), Write("k", 2)]
        error = catch_error(lambda: self.client.transact([], twice))
        self.assertIs(error, exceptions.RequestRefusedError)
        self.assertIs(error.verdict, verdicts.Verdict.NOT_RUN)

    def test_counters(self):
        write(self.fixture, 1)
        self.client.get_row("k")
        self.client.list_vms()
        counters = dataclasses.asdict(self.fixture.platform.counters)
        expected = {"reads": 1, "writes": 1, "vms_reads": 1, "lost": 0}
        self.assertEqual(counters, expected)

    def test_no_more_connections_than_the_limit(self):
        self.fixture.set_faults(slow_s=0.02)
        jobs = [gevent.spawn(self.client.get_row, "k") for _ in range(20)]
        gevent.joinall(jobs, raise_error=True)
        self.assertEqual(self.client._connections.opened, 4)


class ObjectTest(unittest.TestCase):
    def test_objects_and_entity_tags(self):
        fixture = PlatformFixture()
        self.addCleanup(fixture.close)
        store = fixture.client
        self.assertIsNone(store.get_object("a/b"))
        first = store.put_object("a/b", b"\x00one")
        second = store.put_object("a/b", b"two", first)
        with self.assertRaises(exceptions.EtagMismatchError):
            store.put_object("a/b", b"three", first)
        with self.assertRaises(exceptions.EtagMismatchError):
            store.delete_object("a/b", first)
        expected = entities.Object(b"two", second)
        self.assertEqual(store.get_object("a/b"), expected)
        self.assertTrue(store.delete_object("a/b", second))
        self.assertFalse(store.delete_object("a/b"))


class VmListTest(unittest.TestCase):
    def setUp(self):
        self.fixture = PlatformFixture()
        self.addCleanup(self.fixture.close)

    def test_changes_appear_after_the_lag(self):
        self.fixture.set_faults(vm_lag_s=30)
        self.fixture.change_vms(set=[VM], at_once=True)
        self.fixture.change_vms(set=[VM | {"state": "leaving"}])
        first = self.fixture.client.list_vms()
        self.fixture.now_s += 30
        second = self.fixture.client.list_vms()
        self.assertGreater(second.version, first.version)
        expected = core_entities.Vm(
            "w-1",
            core_entities.VmRole.ENDPOINT,
            "ambato",
            "r-1",
            "127.0.0.1",
            7000,
            slots=8,
            connections=64,
        )
        self.assertEqual(first.vms, (expected,))
        self.assertIs(second.vms[0].state, core_entities.VmState.LEAVING)

    def test_invalid_vm_lists_are_rejected(self):
        for field, value in (
            ("role", "king"),
            ("state", "gone"),
            ("address", "worker.example"),
            ("port", 70000),
            ("slots", -1),
            ("vm_id", ""),
        ):
            with self.subTest(field):
                rows = {"version": 1, "vms": [VM | {field: value}]}
                body = json.dumps(rows).encode()
                peer = scripted.Peer(READ, scripted.build_response(200, body))
                self.addCleanup(peer.stop)
                error = catch_error(build_client(peer.port).list_vms)
                self.assertIs(error, exceptions.NoReplyError)
