"""Tests of the tool's configuration, and of its HTTP clients on sockets."""

import json
import pathlib
import tempfile
import unittest
import urllib.parse

import gevent
from gevent import pywsgi
from gevent import server

from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.audit import tables
from pollenladder.conf import exceptions as conf_exceptions
from pollenladder.core import verdicts
from pollenladder.management import configuration
from pollenladder.management import connections
from pollenladder.management import exceptions
from tests import fakes

MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class ConfigurationTest(unittest.TestCase):
    def test_options_override_variables_and_variables_the_file(self):
        text = """{platform: "127.0.0.1:1", // a comment
            daemons: ["[::1]:2"], token: "file"}"""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "tool.json")
            path.write_text(text)
            variables = {configuration.FILE_VARIABLE: str(path)}
            found = configuration.resolve(
                configuration.CommandLineOptions(), variables
            )
            self.assertEqual(str(found.platform), "127.0.0.1:1")
            self.assertEqual(str(found.daemons[0]), "[::1]:2")
            self.assertEqual(found.token, "file")
            variables[configuration.TOKEN_VARIABLE] = "variable"
            found = configuration.resolve(
                configuration.CommandLineOptions(), variables
            )
            self.assertEqual(found.token, "variable")
            options = configuration.CommandLineOptions(
                None, "10.0.0.1:9", (), "option"
            )
            found = configuration.resolve(options, variables)
            self.assertEqual(str(found.platform), "10.0.0.1:9")
            self.assertEqual(found.token, "option")
            path.write_text('{\n daemon: "x"}')
            with self.assertRaises(conf_exceptions.InvalidError) as caught:
                configuration.resolve(options, variables)
            self.assertIn("tool.json:2: daemon", str(caught.exception))

    def test_invalid_addresses(self):
        for text in ("", "1", ":1", "host:1", "127.0.0.1:x", "127.0.0.1:65536"):
            with self.subTest(text), self.assertRaises(exceptions.UsageError):
                options = configuration.CommandLineOptions(daemons=(text,))
                configuration.resolve(options, {})


class TableTest(unittest.TestCase):
    """Tests of the table client against a server that follows design.md."""

    def setUp(self):
        self.fake = fakes.FakeTable()
        self.broken: tuple[str, str] | None = None
        served = pywsgi.WSGIServer(("127.0.0.1", 0), self.serve, log=None)
        served.start()
        self.addCleanup(served.stop, 1)
        self.address = configuration.Address("127.0.0.1", served.server_port)
        self.table = connections.open_table(self.address)

    def serve(self, environ, start_response):
        status, body = self.broken or self.answer(environ)
        start_response(status, [("Content-Type", "application/json")])
        return [body.encode()]

    def answer(self, environ) -> tuple[str, str]:
        path = environ["PATH_INFO"]
        if path == "/v1/table":
            query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
            limit = int(query["limit"])
            rows = self.fake.scan(query["prefix"], query["after"], limit)
            return "200 OK", json.dumps({"rows": [vars(r) for r in rows]})
        if path == "/v1/transactions":
            body = json.load(environ["wsgi.input"])
            reply = self.fake.commit(
                tables.Transaction(
                    {c["key"]: c["version"] for c in body["checks"]},
                    {w["key"]: w["value"] for w in body["writes"]},
                )
            )
            if isinstance(reply, tables.Committed):
                return "200 OK", json.dumps({"versions": reply.versions})
            conflict = {"conflict": reply.key, "version": reply.version}
            return "409 Conflict", json.dumps(conflict)
        row = self.fake.read(path.removeprefix("/v1/table/"))
        if row is None:
            return "404 Not Found", "{}"
        return "200 OK", json.dumps(vars(row))

    def test_rows_and_transactions(self):
        self.assertIsNone(self.table.read("a/b c"))
        create = tables.Transaction({"a/b c": 0}, {"a/b c": {"x": 1}})
        self.assertEqual(
            self.table.commit(create), tables.Committed({"a/b c": 1})
        )
        self.assertEqual(
            self.table.commit(create), tables.Conflicted("a/b c", 1)
        )
        row = tables.Row("a/b c", {"x": 1}, 1)
        self.assertEqual(self.table.read("a/b c"), row)
        self.assertEqual(self.table.scan("a/", "a/a", 9), [row])
        self.assertEqual(self.table.scan("a/", "a/b c", 9), [])

    def test_malformed_responses(self):
        write = tables.Transaction({}, {"k": 1})
        for broken in (
            ("500 Internal Server Error", "{}"),
            ("200 OK", "not json"),
            ("200 OK", '{"rows": 1, "versions": 1}'),
            ("200 OK", ""),
            ("200 OK", '{"versions": {"other": 1}}'),
            ("409 Conflict", "[]"),
        ):
            self.broken = broken
            with self.subTest(broken):
                reply = self.table.commit(write)
                self.assertIsInstance(reply, tables.Unanswered)
                self.assertIs(reply.verdict, MAY_HAVE_RUN)
                for read in (
                    lambda: self.table.read("k"),
                    lambda: self.table.scan("", "", 1),
                ):
                    with self.assertRaises(
                        audit_exceptions.TableUnavailableError
                    ):
                        read()


class BrokenServerTest(unittest.TestCase):
    def ask(self, handle) -> verdicts.Verdict:
        served = server.StreamServer(("127.0.0.1", 0), handle)
        served.start()
        self.addCleanup(served.stop, 1)
        return self.ask_port(served.server_port)

    def ask_port(self, port: int) -> verdicts.Verdict:
        address = configuration.Address("127.0.0.1", port)
        table = connections.open_table(address)
        reply = table.commit(tables.Transaction({}, {"k": 1}))
        self.assertIsInstance(reply, tables.Unanswered)
        return reply.verdict

    def test_a_failure_after_the_connect_may_have_run(self):
        truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"
        for sent in (b"", b"garbage\r\n\r\n", truncated):
            with self.subTest(sent):

                def handle(connection, _, sent=sent):
                    connection.recv(65536)
                    connection.sendall(sent)

                self.assertIs(self.ask(handle), MAY_HAVE_RUN)

    def test_a_timeout_may_have_run(self):
        original_s = connections.REQUEST_TIMEOUT_S
        self.addCleanup(setattr, connections, "REQUEST_TIMEOUT_S", original_s)
        connections.REQUEST_TIMEOUT_S = 0.05
        verdict = self.ask(lambda connection, _: gevent.sleep(0.5))
        self.assertIs(verdict, MAY_HAVE_RUN)

    def test_a_refused_connection_has_not_run(self):
        served = server.StreamServer(("127.0.0.1", 0), lambda *_: None)
        served.start()
        port = served.server_port
        served.stop()
        self.assertIs(self.ask_port(port), verdicts.Verdict.NOT_RUN)
