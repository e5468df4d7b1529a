"""Jobs that must not run twice, submitted again through other daemons."""

import concurrent.futures

from tests.processes import clusters
from tests.processes import declared
from tests.processes import load


class KeyTest(clusters.ClusterCase):
    def build_job(self, port, run_ms):
        """Return a job with a key whose stamp a daemon has issued."""
        status, answer = load.post(port, "/v1/stamps", {})
        self.assertEqual(status, 200, answer)
        body = load.build_body(declared.WIDE, 2, run_ms, "charge")
        return body | {
            "key": f"{answer['stamp']}~{body['tasks'][0]['payload']['mark']}"
        }

    def check_once(self, body, answers):
        marks = self.read_marks()
        for task in body["tasks"]:
            self.assertLessEqual(marks.get(task["payload"]["mark"], 0), 1)
        self.check(answers)

    def send_twice(self, first, second, body, between):
        """Send a job, call a function, and send it again elsewhere."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = pool.submit(load.send, first, body)
            self.wait_for_start(sent, body)
            between()
            again = load.send(second, body)
            return [sent.result(), again]

    def wait_for_start(self, sent, body):
        marks = {task["payload"]["mark"] for task in body["tasks"]}
        self.wait_until(
            lambda: sent.done() or marks <= self.read_marks().keys(), "starts"
        )
        if sent.done():
            self.fail(f"answered before it ended: {sent.result()}")

    def test_again_through_another_daemon_while_it_runs(self):
        first, second = self.list_ports()[:2]
        body = self.build_job(first, 800)
        answers = self.send_twice(first, second, body, lambda: None)
        self.assertEqual([a.status for a in answers], [200, 200])
        self.check_once(body, answers)

    def test_again_through_another_daemon_after_it_ended(self):
        first, second = self.list_ports()[:2]
        body = self.build_job(first, 50)
        answers = [load.send(first, body), load.send(second, body)]
        self.assertEqual([a.status for a in answers], [200, 200])
        self.check_once(body, answers)

    def test_again_after_its_owner_died(self):
        owner = self.lose_owner(self.group.kill)
        self.restart(owner)

    def test_again_after_its_owner_was_paused(self):
        owner = self.lose_owner(self.group.freeze)
        self.group.thaw(owner)
        self.wait_for_answers([self.get_port(owner)])

    def lose_owner(self, stop):
        """Lose the owner of a key that runs, and submit it again."""
        owner = self.wait_for_owner("north/0")
        ports = self.list_ports(but=owner)[:2]
        body = self.build_job(ports[0], 1200)
        self.assertEqual(owner, self.wait_for_owner(body["key"].split("~")[0]))

        def replace():
            stop(owner)
            self.wait_for_owner("north/0", but=owner)
            self.wait_for_answers(ports)

        answers = self.send_twice(*ports, body, replace)
        self.assertEqual([a.status for a in answers], [502, 409], answers)
        self.check_once(body, answers)
        return owner
