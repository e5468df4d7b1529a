"""Tests of the server under floods, with slow clients and during a drain."""

import contextlib
import unittest

import gevent
from gevent import socket

from pollenladder.gateway import limits
from tests.gateway import fakes
from tests.gateway import raw
from tests.gateway import test_contract

JOB = raw.make_request(body=raw.make_job())


def send_ignoring_errors(sock, data):
    with contextlib.suppress(OSError):
        sock.sendall(data)


def read_until_closed(sock):
    try:
        while sock.recv(4096):
            pass
    except ConnectionResetError:
        return


class FloodTest(test_contract.GatewayCase):
    bounds = {
        "max_connections": 8,
        "max_jobs": 3,
        "max_body_bytes": 20_000,
        "max_held_bytes": 100_000,
        "headers_s": 0.1,
        "body_s": 0.1,
        "idle_s": 0.1,
        "linger_s": 0.1,
    }

    def open_connections(self, count):
        socks = [raw.connect(self.server.port) for _ in range(count)]
        for sock in socks:
            self.addCleanup(sock.close)
        return socks

    def wait_for_connections(self, count):
        fakes.wait_until(lambda: self.server.connections == count)

    def test_connections_over_the_limit_get_503_at_once(self):
        """All connections have a request in progress."""
        self.fake.held = True
        server, meters = fakes.serve(self.fake, max_connections=2)
        self.addCleanup(server.stop_accepting)
        self.server = server
        bodies = [raw.make_job(tasks=[raw.make_task(id=n)]) for n in "abc"]
        jobs = [gevent.spawn(self.request, body=body) for body in bodies]
        self.wait_for_jobs(3)
        self.assertEqual(self.server.connections, 3)
        status, fields, answer = self.request(body=raw.make_job())
        self.assertEqual((status, fields["retry-after"]), (503, "1"))
        self.assertEqual(answer["error"]["code"], "overload")
        self.assertEqual(answer["error"]["field"], "connection")
        self.assertEqual(answer["error"]["retry_after_s"], 1.0)
        for job_id in self.fake.jobs:
            self.fake.finish(job_id)
        for name, job in zip("abc", jobs, strict=True):
            status, _, answer = job.get(timeout=fakes.WAIT_S)
            self.assertEqual(status, 200)
            self.assertEqual(answer["tasks"][0]["id"], name)
        self.assertEqual(meters.connections_refused._value.get(), 1)

    def test_connections_without_requests_give_way_to_callers(self):
        # Guards against a crowd that keeps callers out by connections alone.
        server, meters = fakes.serve(self.fake, max_connections=8, idle_s=60.0)
        self.addCleanup(server.stop_accepting)
        self.server = server
        served = raw.connect(server.port)
        self.addCleanup(served.close)
        served.sendall(raw.make_request(body=raw.make_job()))
        self.assertIn(b" 200 ", served.recv(4096))
        crowd = self.open_connections(12)
        for _ in crowd:
            self.assertEqual(self.request(body=raw.make_job())[0], 200)
        self.assertLessEqual(server.connections, 8)
        # The oldest connections were closed first, but not the one that was served.
        self.assertEqual(crowd[0].recv(1), b"")
        served.sendall(raw.make_request(body=raw.make_job()))
        self.assertIn(b" 200 ", served.recv(4096))
        self.assertEqual(meters.connections_refused._value.get(), 0)

    def test_jobs_over_the_limit_get_503_at_once(self):
        self.fake.held = True
        jobs = [gevent.spawn(self.request, body=raw.make_job()) for _ in "abc"]
        self.wait_for_jobs(3)
        status, fields, answer = self.request(body=raw.make_job())
        self.assertEqual((status, fields["retry-after"]), (503, "1"))
        self.assertEqual(answer["error"]["field"], "request")
        self.assertEqual(len(self.fake.jobs), 3)
        for job_id in self.fake.jobs:
            self.fake.finish(job_id)
        gevent.joinall(jobs, fakes.WAIT_S)
        self.fake.held = False
        self.assertEqual(self.request(body=raw.make_job())[0], 200)

    def test_total_size_of_concurrent_bodies_is_limited(self):
        partial = raw.make_request(body=b"", Content_Length="20000")
        for sock in self.open_connections(5):
            sock.sendall(partial)
        self.wait_for_connections(5)
        status, _, answer = self.request(body=raw.make_job())
        self.assertEqual((status, answer["error"]["code"]), (503, "overload"))
        self.wait_for_connections(0)
        self.assertEqual(self.request(body=raw.make_job())[0], 200)

    def test_jobs_are_served_during_a_flood(self):
        """The flood consists of idle, slow and oversized requests."""
        oversized = raw.make_request(body=b" " * 20_001)
        for wave in (b"", JOB[:30], JOB[:-5], oversized):
            with self.subTest(wave=wave[:40]):
                for sock in self.open_connections(30):
                    sock.sendall(wave)
                statuses = []
                while 200 not in statuses:
                    statuses.append(self.request(body=raw.make_job())[0])
                self.assertLessEqual(set(statuses), {200, 503})
        self.wait_for_connections(0)

    def test_connection_of_a_client_that_does_not_read_is_closed(self):
        task = raw.make_task(payload="x" * 15_000)
        request = raw.make_request(body=raw.make_job(tasks=[task]))
        server, _ = fakes.serve(self.fake, send_s=0.1)
        self.addCleanup(server.stop_accepting)
        with raw.connect(server.port) as sock:
            flood = gevent.spawn(send_ignoring_errors, sock, request * 2000)
            fakes.wait_until(lambda: self.fake.jobs)
            fakes.wait_until(lambda: not server.connections)
            flood.kill()


class DrainTest(test_contract.GatewayCase):
    def drain(self):
        return gevent.spawn(self.server.drain, fakes.WAIT_S)

    def test_drain_completes_requests_in_progress(self):
        self.fake.held = True
        waiting = gevent.spawn(self.request, body=raw.make_job())
        self.wait_for_jobs(1)
        partial = raw.connect(self.server.port)
        self.addCleanup(partial.close)
        partial.sendall(JOB[:50])
        idle = raw.connect(self.server.port)
        self.addCleanup(idle.close)
        fakes.wait_until(lambda: self.server.connections == 3)
        queued = raw.connect_without_accept(self.server.port)
        self.addCleanup(queued.close)
        queued.sendall(JOB)
        self.server.stop_accepting()
        drain = self.drain()
        with self.assertRaises(ConnectionRefusedError):
            raw.connect(self.server.port)
        partial.sendall(JOB[50:])
        idle.sendall(JOB)
        self.wait_for_jobs(4)
        self.assertFalse(drain.ready())
        for job_id in self.fake.jobs:
            self.fake.finish(job_id)
        status, fields, _ = waiting.get(timeout=fakes.WAIT_S)
        self.assertEqual((status, fields["connection"]), (200, "close"))
        for sock in (partial, idle, queued):
            status, fields, _ = raw.read_response(sock)
            self.assertEqual((status, fields["connection"]), (200, "close"))
        self.assertTrue(drain.get(timeout=fakes.WAIT_S))

    def test_request_that_arrives_as_its_idle_connection_closes_is_served(self):
        with raw.connect(self.server.port) as sock:
            fakes.wait_until(lambda: self.server._listener.idle_handlers)
            sock.sendall(JOB)
            self.server._close_idle()
            self.assertEqual(raw.read_response(sock)[0], 200)

    def test_idle_connections_do_not_delay_the_drain(self):
        with raw.connect(self.server.port) as sock:
            sock.sendall(JOB)
            self.assertEqual(raw.read_response(sock)[0], 200)
            self.assertTrue(self.drain().get(timeout=fakes.WAIT_S))
            self.assertEqual(sock.recv(10), b"")

    def test_drain_returns_false_after_its_timeout(self):
        self.fake.held = True
        waiting = gevent.spawn(self.request, body=raw.make_job())
        self.wait_for_jobs(1)
        self.assertFalse(self.server.drain(0.05))
        self.fake.finish(*self.fake.jobs)
        self.assertEqual(waiting.get(timeout=fakes.WAIT_S)[0], 200)


class ConnectionTest(test_contract.GatewayCase):
    def test_accepted_sockets_set_nodelay(self):
        with raw.connect(self.server.port):
            fakes.wait_until(lambda: self.server.connections)
            (handler,) = self.server._listener.idle_handlers
            option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertTrue(handler.socket.getsockopt(*option))


class LingerTest(test_contract.GatewayCase):
    bounds = {"linger_s": fakes.WAIT_S}

    def test_client_can_send_the_rest_of_its_body_after_the_error(self):
        request = raw.make_request(body=b" " * 3_000_000)
        with raw.connect(self.server.port) as sock:
            sock.sendall(request[:1000])
            self.assertEqual(raw.read_response(sock)[0], 413)
            sock.sendall(request[1000:])


class LimitsTest(unittest.TestCase):
    def test_default_limits_fit_a_small_vm(self):
        bounds = limits.Limits()
        self.assertLessEqual(bounds.max_held_bytes, 64 * 1024 * 1024)
        self.assertGreaterEqual(bounds.max_held_bytes, bounds.max_body_bytes)
