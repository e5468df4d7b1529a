"""Workers that leave, fall silent or lose replies, under load."""

from bench import cluster
from bench import http
from tests.processes import clusters
from tests.processes import declared
from tests.processes import load


class WorkerTest(clusters.ClusterCase):
    def choose_worker(self, data_centre):
        return next(
            worker
            for worker in self.running.workers
            if worker["data_centre"] == data_centre
        )

    def set_faults(self, worker, faults):
        cluster.set_worker_faults(self.running, [worker["vm_id"]], faults)

    def read_worker(self, worker):
        path = f"/control/counters?worker={worker['vm_id']}"
        return http.request_json(worker["control_port"], path)

    def assert_no_starts(self, worker, running):
        """Check that a worker gets no start while others get many."""
        # Those sent before it was noticed arrive meanwhile.
        self.wait_for_more(running, self.list_ports(), 10)
        before = self.read_worker(worker)
        self.wait_for_more(running, self.list_ports(), 60)
        after = self.read_worker(worker)
        for name in ("starts", "refused"):
            self.assertEqual(after[name], before[name])

    def test_a_worker_that_says_it_leaves_gets_no_more_starts(self):
        worker = self.choose_worker("north")
        with load.Load(self.list_ports()) as running:
            self.wait_for_more(running, self.list_ports())
            self.set_faults(worker, {"leaving": True})
            self.wait_until(
                lambda: self.shows_leaving(worker), "the mark in the status"
            )
            self.assert_no_starts(worker, running)
        self.check(running.answers)
        self.assertEqual({a.status for a in running.answers}, {200})

    def test_a_worker_drained_at_any_daemon_gets_no_more_starts(self):
        owner = self.wait_for_owner("south/0")
        asked = [self.find_gateway("north"), self.find_gateway("south")]
        workers = self.running.workers
        drained = [w for w in workers if w["data_centre"] == "south"][:2]
        with load.Load(self.list_ports(but=owner)) as running:
            for daemon_id, worker in zip(asked, drained, strict=True):
                self.drain(daemon_id, worker)
                self.assertTrue(self.shows_leaving(worker))
                self.assert_no_starts(worker, running)
            self.group.kill(owner)
            self.wait_for_owner("south/0", but=owner)
            for worker in drained:
                self.assert_no_starts(worker, running)
        self.check(running.answers)
        self.restart(owner)
        self.wait_until(
            lambda: all(map(self.shows_leaving, drained)), "the marks kept"
        )

    def drain(self, asked, worker):
        answer = http.request_json(
            self.get_port(asked),
            "/v1/operator/drain",
            {"target": worker["vm_id"]},
            token=declared.OPERATOR_TOKEN,
        )
        self.assertTrue(answer["draining"])

    def shows_leaving(self, worker):
        owner = self.wait_for_owner(f"{worker['data_centre']}/0")
        rows = self.read_status(owner)["workers"]
        return any(
            row["worker"] == worker["vm_id"] and row["leaving"] for row in rows
        )

    def test_connections_that_fell_silent_are_replaced(self):
        worker = self.running.workers[-1]
        with load.Load(self.list_ports()) as running:
            self.wait_for_more(running, self.list_ports())
            self.set_faults(worker, {"silent_existing": True})
            starts = self.read_worker(worker)["starts"]
            self.wait_until(
                lambda: self.read_worker(worker)["starts"] > starts + 20,
                "starts over new connections",
            )
            self.wait_for_more(running, self.list_ports())
        self.check(running.answers)

    def test_tasks_whose_replies_were_lost_may_have_run(self):
        worker = self.running.workers[-1]
        with load.Load(self.list_ports(), tasks=1) as running:
            self.wait_for_more(running, self.list_ports())
            self.set_faults(worker, {"drop_replies": 5})
            self.wait_until(
                lambda: self.count_uncertain(running.answers) >= 5,
                "answers that say so",
            )
            self.wait_for_more(running, self.list_ports())
        self.check(running.answers)

    def count_uncertain(self, answers):
        verdicts = [
            task["verdict"]
            for answer in list(answers)
            for task in answer.body.get("tasks") or []
        ]
        return verdicts.count("may_have_run")
