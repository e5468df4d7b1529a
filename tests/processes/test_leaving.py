"""Daemons that are told to leave under load."""

from tests.processes import clusters
from tests.processes import load


class LeavingTest(clusters.ClusterCase):
    def leave(self, daemon_id):
        """Tell a loaded daemon to leave; no request in flight is cut off."""
        others = self.list_ports(but=daemon_id)
        port = self.get_port(daemon_id)
        with (
            load.Load(others) as running,
            load.Load([port], stops_when_closed=True) as leaving,
        ):
            self.wait_for_more(running, others)
            self.wait_for_more(leaving, [port])
            self.assertEqual(self.group.terminate(daemon_id, 60), 0)
            self.wait_for_more(running, others)
        answers = running.answers + leaving.answers
        self.check(answers, may_close=())
        self.assertLessEqual(
            {a.status for a in answers},
            {200, 503},
            [a for a in answers if a.status == 502],
        )

    def test_an_owner_leaves(self):
        owner = self.wait_for_owner("north/0")
        self.leave(owner)
        self.wait_for_owner("north/0", but=owner)
        self.restart(owner)

    def test_a_gateway_leaves(self):
        owner = self.wait_for_owner("south/0")
        gateway = self.find_gateway()
        self.leave(gateway)
        self.assertEqual(self.wait_for_owner("south/0"), owner)
        self.restart(gateway)
