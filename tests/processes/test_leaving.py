"""Tests that terminate daemons under load.

They guard against requests that are cut off while a daemon shuts down.
"""

from tests.processes import clusters
from tests.processes import load


class LeavingTest(clusters.ClusterCase):
    def leave(self, daemon_id):
        """Terminate a daemon under load; check that no request is cut off."""
        others = self.list_ports(excluded_id=daemon_id)
        port = self.get_port(daemon_id)
        with (
            load.Load(others) as background,
            load.Load([port], stops_when_refused=True) as leaving,
        ):
            self.wait_for_more_jobs(background, others)
            self.wait_for_more_jobs(leaving, [port])
            self.assertEqual(self.group.terminate(daemon_id, 60), 0)
            self.wait_for_more_jobs(background, others)
        answers = background.answers + leaving.answers
        self.check_answers(answers, may_close=())
        self.assertLessEqual(
            {a.status for a in answers},
            {200, 503},
            [a for a in answers if a.status == 502],
        )

    def test_an_owner_leaves(self):
        owner = self.wait_for_owner("north/0")
        self.leave(owner)
        self.wait_for_owner("north/0", excluded_id=owner)
        self.restart(owner)

    def test_a_gateway_leaves(self):
        owner = self.wait_for_owner("south/0")
        gateway = self.find_gateway()
        self.leave(gateway)
        self.assertEqual(self.wait_for_owner("south/0"), owner)
        self.restart(gateway)
