"""Tests of links to other daemons, over loopback."""

import unittest

import gevent

from pollenladder.core import peering
from pollenladder.wire import links
from tests.wire import samples


class Daemon:
    """The links of one daemon, and the events that they reported."""

    def __init__(self, daemon_id):
        self.events = []
        self.peering = peering.Peering(
            samples.RecordingDaemon(daemon_id).settings,
            peering.Callbacks(
                on_message=lambda sender, message: None,
                on_joined=lambda other: self.events.append("joined"),
                on_relinked=lambda other: self.events.append("relinked"),
                reconnect=self.connect,
                on_lost=lambda other: self.events.append("lost"),
                on_closed=lambda reason: None,
                is_needed=lambda other: True,
            ),
        )
        self.peering.server = self.build_server()
        self.port = 0

    def build_server(self):
        own = self.peering._own
        return peering.server.Server(
            own, "127.0.0.1", 0, self.peering._add_link
        )

    def listen(self):
        self.peering.server.start()
        return self.peering.server.port

    def connect(self, daemon_id):
        return self.peering.connect(daemon_id, "127.0.0.1", self.port)


class PeeringTest(unittest.TestCase):
    def setUp(self):
        self.one, self.other = Daemon("one"), Daemon("other")
        self.one.port = self.other.listen()
        self.addCleanup(self.other.peering.close, 0.0)
        self.addCleanup(self.one.peering.close, 0.0)

    def test_concurrent_connects_share_one_link(self):
        attempts = [gevent.spawn(self.one.connect, "other") for _ in range(3)]
        gevent.joinall(attempts, timeout=samples.WAIT_S)
        self.assertEqual([attempt.value for attempt in attempts], [True] * 3)
        self.assertEqual(self.one.events, ["joined"])
        self.assertTrue(self.one.peering.is_linked("other"))

    def test_a_broken_link_is_replaced_by_a_new_one(self):
        self.assertTrue(self.one.connect("other"))
        [peer] = self.one.peering._peers.values()
        peer.open_links[0].close(links.CloseReason.BROKEN)
        self.assertTrue(samples.wait_until(lambda: len(self.one.events) > 1))
        self.assertEqual(self.one.events, ["joined", "relinked"])

    def test_unreachable_daemon_is_reported_as_lost(self):
        self.assertTrue(self.one.connect("other"))
        self.other.peering.close(0.0)
        self.assertTrue(
            samples.wait_until(lambda: "lost" in self.one.events),
            self.one.events,
        )
        self.assertFalse(self.one.connect("other"))
