"""A job that is sent again on the other side of a cut between data centres."""

import unittest

import gevent

from soak import callers
from soak import clusters
from soak import networks
from soak import resubmissions
from standins import site as sites

DATA_CENTRES = ("norte", "este", "oeste")
WORKERS = 12
CPU_SHARE = 0.015
TIMEOUT_S = 10.0
# Daemons notice a silent peer after 2 s.
NOTICE_S = 4.0
JOBS = 6
RUN_MS = 2700


class CutDataCentresTest(unittest.TestCase):
    def setUp(self):
        self.network = networks.Network()
        self.addCleanup(self.network.close)
        self.cluster = clusters.Cluster(
            self.addCleanup,
            ["d1", "d2", "d3", "d4", "d5", "d6"],
            workers=WORKERS,
            data_centres=DATA_CENTRES,
            cpu_share=CPU_SHARE,
            network=self.network,
        )
        self.cluster.wait_until_ready()
        self.assertTrue(callers.wait_until(self._has_owners, TIMEOUT_S))

    def _has_owners(self) -> bool:
        groups = {
            line["group"]
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
            if line["event"] == "ownership_claimed"
        }
        return all(f"{name}/0" in groups for name in DATA_CENTRES)

    def _submit(self, daemon_id: str) -> list[gevent.Greenlet]:
        """Submit all jobs; the connections stay open until their answers."""
        body = sites.build_job(tasks=1, run_ms=RUN_MS)
        return [
            gevent.spawn(
                self.cluster.submit,
                daemon_id,
                f"{index:016x}",
                body,
                budget_ms=resubmissions.TIME_BUDGET_MS,
            )
            for index in range(JOBS)
        ]

    def _submit_on_both_sides(self, cut_data_centre: str) -> None:
        """Submit jobs in este, whose callers then vanish, and again in norte."""
        cut = networks.Cut(cut_data_centre, networks.Mode.SILENT)
        self.network.begin_cut(cut)
        gevent.sleep(NOTICE_S)
        pending = self._submit("d2")
        gevent.sleep(resubmissions.RESEND_PAUSE_S)
        pending += self._submit("d1")
        gevent.joinall(pending)

    def test_unnoticed_departure_on_the_other_side_of_a_cut(self):
        """Guards against an attempt that lasts beyond the next one's start."""
        self._submit_on_both_sides("este")
        self.assertEqual(self.cluster.site.find_overlaps(), [])

    def test_unnoticed_departure_while_a_third_data_centre_is_cut_off(self):
        """Guards against groups that only an unreachable owner can tell apart."""
        self._submit_on_both_sides("oeste")
        self.assertEqual(self.cluster.site.find_overlaps(), [])
