"""Daemons that are killed or paused under load."""

from tests.processes import clusters
from tests.processes import load


class DeathTest(clusters.ClusterCase):
    def test_kill_of_an_owner_under_load(self):
        owner = self.wait_for_owner("north/0")
        others = self.list_ports(but=owner)
        with load.Load(self.list_ports()) as running:
            self.wait_for_more(running, others)
            self.group.kill(owner)
            self.wait_for_owner("north/0", but=owner)
            self.wait_for_more(running, others)
        self.check(running.answers, may_close=[self.get_port(owner)])
        self.restart(owner)

    def test_kill_of_a_gateway_that_owns_nothing(self):
        owner = self.wait_for_owner("north/0")
        gateway = self.find_gateway()
        others, port = self.list_ports(but=gateway), self.get_port(gateway)
        with (
            load.Load(others, tasks=1) as running,
            load.Load([port], callers=8, tasks=20, run_ms=300) as hit,
        ):
            self.wait_for_more(running, others)
            self.wait_for_more(hit, [port], 1)
            self.group.kill(gateway)
            self.wait_for_more(running, others, 100)
        self.wait_until(lambda: not self.count_waiting(owner), "empty queues")
        self.check(running.answers)
        self.check(hit.answers, may_close=[port])
        self.assertLessEqual(
            {answer.status for answer in running.answers}, {200, 503}
        )
        marks = self.read_marks()
        cut_off = [a for a in hit.answers if a.status == load.CLOSED]
        unstarted = [
            mark
            for answer in cut_off
            for mark in answer.marks.values()
            if mark not in marks
        ]
        self.assertTrue(unstarted, "queued jobs of a dead gateway went on")
        self.restart(gateway)

    def find_state(self, asked, daemon_id):
        rows = self.read_status(asked)["daemons"]
        return next(r["state"] for r in rows if r["daemon"] == daemon_id)

    def count_waiting(self, daemon_id):
        plans = self.read_status(daemon_id)["plans"]
        return sum(plan["waiting"] + plan["running"] for plan in plans)

    def test_an_owner_that_was_paused_starts_nothing_any_more(self):
        owner = self.wait_for_owner("south/0")
        others = self.list_ports(but=owner)
        with load.Load(self.list_ports()) as running:
            self.wait_for_more(running, others)
            self.group.freeze(owner)
            self.wait_for_owner("south/0", but=owner)
            self.wait_for_more(running, others)
            self.group.thaw(owner)
            self.wait_for_more(running, [self.get_port(owner)])
        new_owner = self.wait_for_owner("south/0")
        self.wait_until(
            lambda: self.find_state(new_owner, owner) == "live",
            "the paused daemon is seen again",
        )
        self.check(running.answers)
        reasons = {answer.body.get("reason") for answer in running.answers}
        self.assertNotIn("deadline", reasons)
