"""Links between daemons over loopback."""

import dataclasses
import unittest
from unittest import mock

import gevent

from bench import ports
from pollenladder.cluster import heartbeats
from pollenladder.cluster import mesh as meshes
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.wire import exceptions
from pollenladder.wire import server
from tests.cluster import samples

WAIT_S = 5.0
MANY = 60


class _Node:
    """A mesh that records its callbacks."""

    def __init__(self, daemon_id: str, port: int):
        self.member = rosters.Member(daemon_id, "127.0.0.1", port, "norte", 1)
        self.roster = rosters.Roster(daemon_id)
        self.received: list[object] = []
        self.linked: list[str] = []
        self.ended: list[str] = []
        self.mesh = meshes.Mesh(
            self.member,
            self.roster,
            meshes.Callbacks(
                on_message=self._handle_message,
                on_link_change=self._record_link_change,
                is_owner=lambda: False,
            ),
            clocks.read_monotonic_s,
        )
        self.mesh.start()

    def _handle_message(self, sender: str, message: object) -> None:
        self.received.append(message)
        now = clocks.read_monotonic_s()
        self.roster.record_heartbeat(sender, message, now)

    def _record_link_change(self, daemon_id: str, is_linked: bool) -> None:
        if is_linked:
            self.linked.append(daemon_id)
        else:
            self.ended.append(daemon_id)

    def add_unlinked_members(self) -> None:
        """Record many daemons that are not linked, as in a large region."""
        for number in range(MANY):
            member = rosters.Member(f"x{number}", "127.0.0.1", 1, "norte", 1)
            self.roster.record_member(member, clocks.read_monotonic_s())


class MeshTest(unittest.TestCase):
    """Links between two daemons."""

    def setUp(self):
        near_port, far_port = ports.find_free_ports(2)
        self.near = _Node("a", near_port)
        self.far = _Node("b", far_port)
        now = clocks.read_monotonic_s()
        self.near.roster.record_member(self.far.member, now)
        self.loops = [gevent.spawn(self.near.mesh.run)]
        self.addCleanup(gevent.killall, self.loops)
        samples.wait_until(
            lambda: "a" in self.far.roster.peers and self.near.linked, WAIT_S
        )

    def _stop_reconnecting(self) -> None:
        """Stop reconnecting, so that a lost link is reported only once."""
        gevent.killall(self.loops)

    def _add_unlinked_members(self) -> None:
        self.near.add_unlinked_members()
        self.far.add_unlinked_members()

    def _exchange_heartbeats(self, is_owner: bool) -> None:
        self.near.mesh.broadcast(samples.build_heartbeat())
        self.far.mesh.broadcast(samples.build_heartbeat(is_owner=is_owner))
        samples.wait_until(
            lambda: self.near.received and self.far.received, WAIT_S
        )

    def test_broadcast_arrives(self):
        self._exchange_heartbeats(is_owner=False)
        self.assertIsInstance(self.near.received[0], messages.Heartbeat)

    def test_owner_always_hears_from_a_daemon_that_has_nothing_to_say(self):
        # Guards against jobs that are stopped as their gateway seems to be gone.
        self._add_unlinked_members()
        self._exchange_heartbeats(is_owner=True)
        self._stop_reconnecting()
        self.loops.append(gevent.spawn(self._keep_sending, self.far, True))
        for _ in range(3):
            before = self.far.mesh.list_read_times()["a"]
            gevent.sleep(1.5 * heartbeats.TO_OWNER_INTERVAL_S)
            self.assertGreater(self.far.mesh.list_read_times()["a"], before)
        self.assertEqual(len(self.far.received), 1)

    def test_large_region_detects_a_silent_owner_soon(self):
        self._add_unlinked_members()
        self._exchange_heartbeats(is_owner=True)
        self._stop_reconnecting()
        gevent.sleep(2 * heartbeats.OWNER_TIMEOUT_S)
        self.assertEqual(self.near.ended, ["b"])

    def test_large_region_tolerates_another_silent_daemon(self):
        self._add_unlinked_members()
        self._exchange_heartbeats(is_owner=False)
        gevent.sleep(2 * heartbeats.OWNER_TIMEOUT_S)
        self.assertEqual(self.near.ended, [])

    def _keep_sending(self, node: _Node, is_owner: bool) -> None:
        while True:
            node.mesh.broadcast(samples.build_heartbeat(is_owner=is_owner))
            gevent.sleep(heartbeats.MIN_INTERVAL_S)

    def test_false_alarm_doubles_the_owner_timeout(self):
        self._exchange_heartbeats(is_owner=True)
        self.loops.append(gevent.spawn(self._keep_sending, self.near, False))
        samples.wait_until(lambda: self.near.ended, WAIT_S)
        samples.wait_until(lambda: len(self.near.linked) == 2, WAIT_S)
        self.near.received.clear()
        late = samples.build_heartbeat(is_owner=True, lag_s=0.2)
        self.far.mesh.broadcast(late)
        samples.wait_until(lambda: self.near.received, WAIT_S)
        gevent.sleep(1.5 * heartbeats.OWNER_TIMEOUT_S)
        self.assertEqual(self.near.ended, ["b"])
        samples.wait_until(lambda: len(self.near.ended) == 2, WAIT_S)


class ForgottenPeersTest(unittest.TestCase):
    """Two daemons that have forgotten each other, with a network that is whole."""

    def setUp(self):
        near_port, far_port = ports.find_free_ports(2)
        self.near = _Node("a", near_port)
        self.far = _Node("b", far_port)
        now = clocks.read_monotonic_s()
        lost_at = now - rosters.FORGET_AFTER_S - 1.0
        for node, other in ((self.near, self.far), (self.far, self.near)):
            node.roster.record_member(other.member, lost_at)
            node.roster.forget_lost(now)
            self.assertEqual(node.roster.peers, {})

    def _run(self, node: _Node) -> None:
        loop = gevent.spawn(node.mesh.run)
        self.addCleanup(loop.kill)

    def _wait_for_links(self) -> None:
        for node, other in ((self.near, "b"), (self.far, "a")):
            samples.wait_until(
                lambda node=node, other=other: (
                    other in node.roster.peers
                    and node.roster.peers[other].is_linked
                ),
                WAIT_S,
            )

    def test_both_are_linked_again(self):
        self._run(self.near)
        self._run(self.far)
        self._wait_for_links()

    def test_one_that_looks_for_the_other_suffices(self):
        self._run(self.near)
        self._wait_for_links()

    def test_one_of_the_larger_id_that_looks_for_the_other_suffices(self):
        self._run(self.far)
        self._wait_for_links()


class ReplacedDaemonTest(unittest.TestCase):
    """A daemon that has the address of one that is gone, whose row is left."""

    def test_daemon_does_not_connect_to_itself(self):
        node = _Node("b", ports.find_free_ports(1)[0])
        gone = dataclasses.replace(node.member, daemon_id="c")
        node.roster.record_member(gone, clocks.read_monotonic_s())
        loop = gevent.spawn(node.mesh.run)
        self.addCleanup(loop.kill)
        gevent.sleep(3 * meshes.CONNECT_RETRY_S)
        self.assertEqual(node.linked, [])


class StartingMachineTest(unittest.TestCase):
    """Load: all machines lose power and start one after another.

    Guards against links that wait for the time limit of an attempt that began
    before the peer's machine was up. Until they are made, no daemon claims the
    workers, and jobs are refused.
    """

    def test_lost_requests_for_a_connection_are_soon_repeated(self):
        node = _Node("a", ports.find_free_ports(1)[0])
        peer = rosters.Member("b", "127.0.0.1", 1, "norte", 1)
        node.roster.record_member(peer, clocks.read_monotonic_s())
        limits_s = []

        def time_out(settings, address, port, limit_s):
            limits_s.append(limit_s)
            gevent.sleep(limit_s)
            raise exceptions.ConnectTimeoutError(address)

        with mock.patch.object(server, "connect", time_out):
            loop = gevent.spawn(node.mesh.run)
            self.addCleanup(loop.kill)
            samples.wait_until(lambda: len(limits_s) >= 5, WAIT_S)
            loop.kill()
        self.assertEqual(limits_s[:5], [0.05, 0.1, 0.2, 0.3, 0.3])

    def test_restarted_daemon_is_tried_at_the_first_interval(self):
        roster = rosters.Roster("a")
        roster.record_member(rosters.Member("b", "", 1, "norte", 1), 0.0)
        roster.peers["b"].connect_timeouts = 5
        roster.record_member(rosters.Member("b", "", 1, "norte", 2), 1.0)
        self.assertEqual(roster.peers["b"].connect_timeouts, 0)
