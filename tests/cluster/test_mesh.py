"""Links between daemons over loopback."""

import unittest

import gevent

from bench import ports
from pollenladder.cluster import cadence
from pollenladder.cluster import mesh as meshes
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from tests.cluster import samples

WAIT_S = 5.0
MANY = 60


class _End:
    """A mesh and what it was told."""

    def __init__(self, daemon_id: str, port: int):
        self.member = rosters.Member(daemon_id, "127.0.0.1", port, "norte", 1)
        self.roster = rosters.Roster(daemon_id)
        self.heard: list[object] = []
        self.linked: list[str] = []
        self.ended: list[str] = []
        self.mesh = meshes.Mesh(
            self.member,
            self.roster,
            meshes.Handlers(
                on_message=self._take_message,
                on_change=self._note_change,
            ),
            clocks.read_monotonic_s,
        )
        self.mesh.start()

    def _take_message(self, sender: str, message: object) -> None:
        self.heard.append(message)
        now = clocks.read_monotonic_s()
        self.roster.record_beat(sender, message, now)

    def _note_change(self, daemon_id: str, is_linked: bool) -> None:
        if is_linked:
            self.linked.append(daemon_id)
        else:
            self.ended.append(daemon_id)

    def crowd(self) -> None:
        """Know of many daemons that are not linked."""
        for number in range(MANY):
            member = rosters.Member(f"x{number}", "127.0.0.1", 1, "norte", 1)
            self.roster.learn(member, clocks.read_monotonic_s())


class MeshTest(unittest.TestCase):
    """Two daemons."""

    def setUp(self):
        near_port, far_port = ports.find_free_ports(2)
        self.near = _End("a", near_port)
        self.far = _End("b", far_port)
        now = clocks.read_monotonic_s()
        self.near.roster.learn(self.far.member, now)
        self.loops = [gevent.spawn(self.near.mesh.run)]
        self.addCleanup(gevent.killall, self.loops)
        samples.wait_until(
            lambda: "a" in self.far.roster.peers and self.near.linked, WAIT_S
        )

    def _stop_reconnecting(self) -> None:
        """Let a link that is lost stay lost, so that a loss is told once."""
        gevent.killall(self.loops)

    def _crowd(self) -> None:
        self.near.crowd()
        self.far.crowd()

    def _beat(self, is_owner: bool) -> None:
        self.near.mesh.broadcast(samples.build_beat())
        self.far.mesh.broadcast(samples.build_beat(is_owner=is_owner))
        samples.wait_until(lambda: self.near.heard and self.far.heard, WAIT_S)

    def test_a_broadcast_arrives(self):
        self._beat(is_owner=False)
        self.assertIsInstance(self.near.heard[0], messages.Beat)

    def test_a_silent_owner_is_lost_soon_in_a_large_region(self):
        self._crowd()
        self._beat(is_owner=True)
        self._stop_reconnecting()
        gevent.sleep(2 * cadence.OWNER_SILENCE_S)
        self.assertEqual(self.near.ended, ["b"])

    def test_another_silent_daemon_is_not(self):
        self._crowd()
        self._beat(is_owner=False)
        gevent.sleep(2 * cadence.OWNER_SILENCE_S)
        self.assertEqual(self.near.ended, [])

    def _keep_beating(self) -> None:
        while True:
            self.near.mesh.broadcast(samples.build_beat())
            gevent.sleep(cadence.FULL_BEAT_S)

    def test_an_owner_that_was_only_slow_is_waited_for_longer(self):
        self._beat(is_owner=True)
        self.loops.append(gevent.spawn(self._keep_beating))
        samples.wait_until(lambda: self.near.ended, WAIT_S)
        samples.wait_until(lambda: len(self.near.linked) == 2, WAIT_S)
        self.near.heard.clear()
        late = samples.build_beat(is_owner=True, lag_s=0.2)
        self.far.mesh.broadcast(late)
        samples.wait_until(lambda: self.near.heard, WAIT_S)
        gevent.sleep(1.5 * cadence.OWNER_SILENCE_S)
        self.assertEqual(self.near.ended, ["b"])
        samples.wait_until(lambda: len(self.near.ended) == 2, WAIT_S)
