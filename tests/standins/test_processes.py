"""Tests of the simulated platform and endpoints as processes."""

import json
import os
import unittest
from unittest import mock

from geventhttpclient import client

from standins import processes


def request(port, method, path, body=None):
    http = client.HTTPClient("127.0.0.1", port, network_timeout=30)
    text = b"" if body is None else json.dumps(body).encode()
    try:
        response = http.request(method, path, text)
        return response.status_code, json.loads(response.read())
    finally:
        http.close()


class ProcessTest(unittest.TestCase):
    def start(self, *arguments):
        standin = processes.StandIn(*arguments)
        self.addCleanup(lambda: self.assertEqual(standin.stop(), 0))
        return standin.ready

    def test_platform_announces_its_port_and_lists_vms_with_a_lag(self):
        vm = {
            "vm_id": "w-1",
            "role": "endpoint",
            "data_centre": "a",
            "rack": "r-1",
            "address": "127.0.0.1",
            "port": 7,
        }
        ready = self.start(
            "standins.platform",
            "--vms",
            json.dumps([vm]),
            "--vm-lag-s",
            "1000",
        )
        port = ready["port"]
        request(port, "POST", "/control/vms", {"remove": ["w-1"]})
        _, body = request(port, "GET", "/v1/vms")
        self.assertEqual([row["vm_id"] for row in body["vms"]], ["w-1"])
        request(port, "POST", "/control/faults", {"vm_lag_s": 0})
        _, body = request(port, "GET", "/v1/vms")
        self.assertEqual(body["vms"], [])

    def test_endpoint_hosts_workers_and_control_reaches_one_or_all(self):
        workers = [{"vm_id": "w-1"}, {"vm_id": "w-2", "slots": 3}]
        ready = self.start(
            "standins.endpoint", "--workers", json.dumps(workers)
        )
        port, control = ready["workers"]["w-2"], ready["control_port"]
        lease = {"shard": "s", "holder": "d", "epoch": 1, "ttl_ms": 60000}
        status, body = request(port, "POST", "/v1/lease", lease)
        self.assertEqual((status, body["slots"]), (200, 3))
        # Setting `down` restarts the worker.
        down = {"down": True}
        request(control, "POST", "/control/faults?worker=w-2", down)
        with self.assertRaises(ConnectionRefusedError):
            request(port, "GET", "/v1/usage")
        request(control, "POST", "/control/faults?worker=w-2", {"down": False})
        body = dict(lease, holder="e")
        status, body = request(port, "POST", "/v1/lease", body)
        self.assertTrue(body["granted"], "a restart discards the lease")
        _, counters = request(control, "GET", "/control/counters")
        self.assertEqual(counters["leases"], 2)

    def test_another_event_loop_is_refused(self):
        with (
            mock.patch.dict(os.environ, {"GEVENT_BACKEND": "select"}),
            self.assertRaisesRegex(RuntimeError, "ended with 1"),
        ):
            processes.StandIn("standins.platform")
