"""A data centre that is cut off from the other and from the platform."""

from bench import cluster
from bench import http
from tests.processes import clusters
from tests.processes import declared
from tests.processes import load


class PartitionTest(clusters.ClusterCase):
    CUT = True

    def list_ports_in(self, data_centre):
        return [self.get_port(d) for d in self.list_running(data_centre)]

    def cut(self, data_centres):
        cluster.cut_off(self.running, data_centres, "silent")

    def wait_for_view(self, data_centres):
        """Wait until the owner in the north misses just these."""
        among = "north" if data_centres else None
        owner = self.wait_for_owner("north/0", among=among)
        self.wait_until(
            lambda: (
                self.read_status(owner)["unreachable_data_centres"]
                == data_centres
            ),
            f"the view without {data_centres}",
        )

    def read_max_running(self, plan):
        port = self.running.endpoint_control_ports[0]
        return http.request_json(port, "/control/plans")["max_running"][plan]

    def test_both_sides_serve_within_the_allowance_when_cut(self):
        north, south = map(self.list_ports_in, ("north", "south"))
        narrow = declared.NARROW
        with load.Load(north, plan=narrow, tasks=1) as busy:
            # The north borrows what the south does not use.
            self.wait_for_more(busy, north, 60)
            self.cut(["south"])
            with load.Load(south, plan=narrow, tasks=1) as late:
                self.wait_for_view(["south"])
                self.wait_for_more(busy, north)
                self.wait_for_more(late, south)
                self.cut([])
                self.wait_for_view([])
                self.wait_for_more(busy, north)
                self.wait_for_more(late, south)
        self.check(busy.answers + late.answers)
        self.assertEqual(self.read_max_running(narrow), declared.NARROW_RUNNING)

    def test_links_that_fell_silent_are_replaced(self):
        with load.Load(self.list_ports()) as running:
            self.wait_for_more(running, self.list_ports())
            cluster.cut_off(self.running, ["south"], "forget")
            for data_centre in ("north", "south"):
                self.wait_for_more(running, self.list_ports_in(data_centre))
            self.wait_for_owner("south/0")
            self.wait_for_more(running, self.list_ports_in("south"))
        self.check(running.answers)

    def test_an_owner_dies_in_a_cut_while_the_platform_is_down(self):
        owner = self.wait_for_owner("north/0")
        others = self.list_ports(but=owner)
        north = [p for p in self.list_ports_in("north") if p in others]
        south = [p for p in self.list_ports_in("south") if p in others]
        with load.Load(self.list_ports()) as running:
            self.wait_for_more(running, others)
            cluster.set_platform_faults(self.running, {"down": True})
            self.cut(["south"])
            self.group.kill(owner)
            for data_centre in ("north", "south"):
                self.wait_for_owner(f"{data_centre}/0", owner, data_centre)
            self.wait_for_more(running, north)
            self.wait_for_more(running, south)
            self.cut([])
            cluster.set_platform_faults(self.running, {"down": False})
            self.wait_for_view([])
            self.wait_for_more(running, others)
        self.check(running.answers, may_close=[self.get_port(owner)])
        self.restart(owner)
