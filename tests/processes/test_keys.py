"""Tests that resubmit jobs with an idempotency key through other daemons.

They guard against a second run of a task when the caller retries, also after
the owner of the key was killed or paused.
"""

import concurrent.futures

from tests.processes import clusters
from tests.processes import declared
from tests.processes import load


class KeyTest(clusters.ClusterCase):
    def build_job(self, port, run_ms):
        """Return a job with a key that contains a stamp issued by a daemon."""
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
        self.check_answers(answers)

    def send_twice(self, first, second, body, between):
        """Submit a job, call a function once it runs, and submit it again.

        Args:
            first: The port of the first submission.
            second: The port of the second submission.
            body: The job.
            between: Called after all tasks have started and before the second
                submission.
        """
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
            self.fail(
                f"answered before all its starts were seen: {sent.result()}"
            )

    def test_resubmission_through_another_daemon_while_it_runs(self):
        first, second = self.list_ports()[:2]
        body = self.build_job(first, 800)
        answers = self.send_twice(first, second, body, lambda: None)
        self.assertEqual([a.status for a in answers], [200, 200])
        self.check_once(body, answers)

    def test_resubmission_through_another_daemon_after_it_ended(self):
        first, second = self.list_ports()[:2]
        body = self.build_job(first, 50)
        answers = [load.send(first, body), load.send(second, body)]
        self.assertEqual([a.status for a in answers], [200, 200])
        self.check_once(body, answers)

    def test_resubmission_after_its_owner_died(self):
        owner = self.lose_owner(self.group.kill)
        self.restart(owner)

    def test_resubmission_after_its_owner_was_paused(self):
        owner = self.lose_owner(self.group.freeze)
        self.group.thaw(owner)
        self.wait_for_answers([self.get_port(owner)])

    def lose_owner(self, stop):
        """Stop the owner of a running job's key and submit the job again.

        Return the id of the stopped owner.
        """
        owner = self.wait_for_owner("north/0")
        ports = self.list_ports(excluded_id=owner)[:2]
        body = self.build_job(ports[0], 1200)
        self.assertEqual(owner, self.wait_for_owner(body["key"].split("~")[0]))

        def replace():
            stop(owner)
            self.wait_for_owner("north/0", excluded_id=owner)
            self.wait_for_answers(ports)

        answers = self.send_twice(*ports, body, replace)
        self.assertEqual([a.status for a in answers], [502, 409], answers)
        self.check_once(body, answers)
        return owner
