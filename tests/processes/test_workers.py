"""Tests of workers that leave, fall silent or lose replies under load.

They guard against starts on a leaving worker, connections that stay silent, and
answers that call a task not run although it may have run.
"""

from bench import cluster
from bench import http
from tests.processes import clusters
from tests.processes import declared
from tests.processes import load


class WorkerTest(clusters.ClusterCase):
    def choose_worker(self, data_centre):
        return next(
            worker
            for worker in self.test_cluster.workers
            if worker["data_centre"] == data_centre
        )

    def set_faults(self, worker, faults):
        cluster.set_worker_faults(self.test_cluster, [worker["vm_id"]], faults)

    def read_worker(self, worker):
        path = f"/control/counters?worker={worker['vm_id']}"
        return http.request_json(worker["control_port"], path)

    def assert_no_starts(self, worker, background):
        """Check that a worker gets no starts while jobs complete elsewhere."""
        # Starts sent before the change was noticed may still arrive.
        self.wait_for_more_jobs(background, self.list_ports(), 10)
        before = self.read_worker(worker)
        self.wait_for_more_jobs(background, self.list_ports(), 60)
        after = self.read_worker(worker)
        for name in ("starts", "refused"):
            self.assertEqual(after[name], before[name])

    def test_a_worker_that_says_it_leaves_gets_no_more_starts(self):
        worker = self.choose_worker("north")
        with load.Load(self.list_ports()) as background:
            self.wait_for_more_jobs(background, self.list_ports())
            self.set_faults(worker, {"leaving": True})
            self.wait_until(
                lambda: self.shows_leaving(worker),
                "the worker to be leaving in the status",
            )
            self.assert_no_starts(worker, background)
        self.check_answers(background.answers)
        self.assertEqual({a.status for a in background.answers}, {200})

    def test_a_worker_drained_at_any_daemon_gets_no_more_starts(self):
        owner = self.wait_for_owner("south/0")
        asked = [self.find_gateway("north"), self.find_gateway("south")]
        workers = self.test_cluster.workers
        drained = [w for w in workers if w["data_centre"] == "south"][:2]
        with load.Load(self.list_ports(excluded_id=owner)) as background:
            for daemon_id, worker in zip(asked, drained, strict=True):
                self.drain(daemon_id, worker)
                self.assertTrue(self.shows_leaving(worker))
                self.assert_no_starts(worker, background)
            self.group.kill(owner)
            self.wait_for_owner("south/0", excluded_id=owner)
            for worker in drained:
                self.assert_no_starts(worker, background)
        self.check_answers(background.answers)
        self.restart(owner)
        self.wait_until(
            lambda: all(map(self.shows_leaving, drained)),
            "the drained workers to be leaving after the restart",
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
        worker = self.test_cluster.workers[-1]
        with load.Load(self.list_ports()) as background:
            self.wait_for_more_jobs(background, self.list_ports())
            self.set_faults(worker, {"silent_existing": True})
            starts = self.read_worker(worker)["starts"]
            self.wait_until(
                lambda: self.read_worker(worker)["starts"] > starts + 20,
                "starts over new connections",
            )
            self.wait_for_more_jobs(background, self.list_ports())
        self.check_answers(background.answers)

    def test_tasks_whose_replies_were_lost_may_have_run(self):
        worker = self.test_cluster.workers[-1]
        with load.Load(self.list_ports(), tasks=1) as background:
            self.wait_for_more_jobs(background, self.list_ports())
            self.set_faults(worker, {"drop_replies": 5})
            self.wait_until(
                lambda: self.count_uncertain(background.answers) >= 5,
                "answers with may_have_run",
            )
            self.wait_for_more_jobs(background, self.list_ports())
        self.check_answers(background.answers)

    def count_uncertain(self, answers):
        verdicts = [
            task["verdict"]
            for answer in list(answers)
            for task in answer.body.get("tasks") or []
        ]
        return verdicts.count("may_have_run")
