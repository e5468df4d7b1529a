"""Tests of network partitions between two data centres.

They guard against two sides that exceed an allowance together, links that stay
silent, and a shard without an owner when the platform is down as well.
"""

from bench import cluster
from bench import http
from tests.processes import clusters
from tests.processes import declared
from tests.processes import load


class PartitionTest(clusters.ClusterCase):
    HAS_RELAYS = True

    def list_ports_in(self, data_centre):
        return [self.get_port(d) for d in self.list_running(data_centre)]

    def isolate(self, data_centres):
        """Cut off these data centres; reconnect all if there are none."""
        cluster.cut_off(self.test_cluster, data_centres, "silent")

    def wait_for_unreachable(self, data_centres):
        """Wait until the owner of north/0 sees only these as unreachable."""
        within = "north" if data_centres else None
        owner = self.wait_for_owner("north/0", within=within)
        self.wait_until(
            lambda: (
                self.read_status(owner)["unreachable_data_centres"]
                == data_centres
            ),
            f"unreachable data centres {data_centres}",
        )

    def read_max_running(self, plan):
        port = self.test_cluster.endpoint_control_ports[0]
        return http.request_json(port, "/control/plans")["max_running"][plan]

    def test_both_sides_serve_within_the_allowance_when_cut(self):
        north, south = map(self.list_ports_in, ("north", "south"))
        narrow = declared.NARROW
        with load.Load(north, plan=narrow, tasks=1) as busy:
            # The north borrows the share of the allowance that the
            # south does not use.
            self.wait_for_more_jobs(busy, north, 60)
            self.isolate(["south"])
            with load.Load(south, plan=narrow, tasks=1) as late:
                self.wait_for_unreachable(["south"])
                self.wait_for_more_jobs(busy, north)
                self.wait_for_more_jobs(late, south)
                self.isolate([])
                self.wait_for_unreachable([])
                self.wait_for_more_jobs(busy, north)
                self.wait_for_more_jobs(late, south)
        self.check_answers(busy.answers + late.answers)
        self.assertEqual(self.read_max_running(narrow), declared.NARROW_RUNNING)

    def test_links_that_fell_silent_are_replaced(self):
        with load.Load(self.list_ports()) as background:
            self.wait_for_more_jobs(background, self.list_ports())
            cluster.cut_off(self.test_cluster, ["south"], "forget")
            for data_centre in ("north", "south"):
                self.wait_for_more_jobs(
                    background, self.list_ports_in(data_centre)
                )
            self.wait_for_owner("south/0")
            self.wait_for_more_jobs(background, self.list_ports_in("south"))
        self.check_answers(background.answers)

    def test_an_owner_dies_in_a_cut_while_the_platform_is_down(self):
        owner = self.wait_for_owner("north/0")
        others = self.list_ports(excluded_id=owner)
        north = [p for p in self.list_ports_in("north") if p in others]
        south = [p for p in self.list_ports_in("south") if p in others]
        with load.Load(self.list_ports()) as background:
            self.wait_for_more_jobs(background, others)
            cluster.set_platform_faults(self.test_cluster, {"down": True})
            self.isolate(["south"])
            self.group.kill(owner)
            for data_centre in ("north", "south"):
                self.wait_for_owner(f"{data_centre}/0", owner, data_centre)
            self.wait_for_more_jobs(background, north)
            self.wait_for_more_jobs(background, south)
            self.isolate([])
            cluster.set_platform_faults(self.test_cluster, {"down": False})
            self.wait_for_unreachable([])
            self.wait_for_more_jobs(background, others)
        self.check_answers(background.answers, may_close=[self.get_port(owner)])
        self.restart(owner)
