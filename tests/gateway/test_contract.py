"""Tests of the HTTP interface of callers and operators."""

import json
import unittest

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.gateway import replies
from tests.gateway import fakes
from tests.gateway import raw

Reason = verdicts.Reason
RESULT = verdicts.TaskResult(
    "t-1", verdicts.Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST
)
# Answer, status, outcome, Retry-After.
ANSWERS = (
    (verdicts.Complete("j", ()), 200, "complete", None),
    (verdicts.Failed("j", Reason.TASK_ERROR, (RESULT,)), 502, "failed", None),
    (verdicts.Failed("j", Reason.BUSY, (RESULT,), 2.1), 502, "failed", "3"),
    (verdicts.Failed("j", Reason.KEY_UNKNOWN, ()), 409, "failed", None),
    (verdicts.Refused("j", Reason.KEY_IN_USE, None), 409, "refused", None),
    (verdicts.Refused("j", Reason.ALLOWANCE, 0.2), 429, "refused", "1"),
    (verdicts.Refused("j", Reason.ALLOWANCE, None), 429, "refused", "1"),
    (verdicts.Refused("j", Reason.OVERLOAD, 4.0), 503, "refused", "4"),
    (verdicts.Refused("j", Reason.DRAINING, None), 503, "refused", "1"),
    (verdicts.Refused("j", Reason.NOT_READY, 1.5), 503, "refused", "2"),
    (verdicts.Refused("j", Reason.NEVER_RUNS, None), 422, "refused", None),
)
# Request, status, body.
OPERATORS = (
    (raw.make_request("GET", "/v1/operator/status"), 200, {"daemons": 1}),
    (raw.make_request("GET", "/v1/operator/jobs/d-1-1"), 200, {"job": "d-1-1"}),
    (
        raw.make_request(path="/v1/operator/drain", body={"target": "w-1"}),
        200,
        {"target": "w-1", "draining": True},
    ),
    (raw.make_request("GET", "/healthz"), 200, {"status": "ok"}),
    (raw.make_request("GET", "/readyz"), 200, {"ready": True}),
)


class ReplyTest(unittest.TestCase):
    def test_status_and_retry_after_of_each_answer(self):
        for answer, status, outcome, retry_after in ANSWERS:
            with self.subTest(answer=answer):
                reply = replies.make_answer_reply(answer)
                body = json.loads(reply.body)
                headers = dict(reply.headers)
                self.assertEqual(reply.status, status)
                self.assertEqual(body["outcome"], outcome)
                self.assertEqual(headers.get("Retry-After"), retry_after)
                self.assertEqual(
                    body["retry_after_s"] is None, retry_after is None
                )

    def test_failed_job_reports_the_verdict_of_each_task(self):
        failed = verdicts.Failed("j", Reason.OWNER_LOST, (RESULT,))
        self.assertEqual(
            json.loads(replies.make_answer_reply(failed).body),
            {
                "job": "j",
                "outcome": "failed",
                "reason": "owner_lost",
                "detail": "",
                "retry_after_s": None,
                "tasks": [
                    {
                        "id": "t-1",
                        "verdict": "may_have_run",
                        "reason": "connection_lost",
                        "output": None,
                        "run_ms": 0.0,
                    }
                ],
            },
        )


class GatewayCase(unittest.TestCase):
    bounds = {}

    def setUp(self):
        self.fake = fakes.FakeBackend()
        self.start_server()

    def start_server(self):
        self.server, self.meters = fakes.serve(self.fake, **self.bounds)
        self.addCleanup(self.server.stop_accepting)

    def request(self, method="POST", path="/v1/jobs", body=b"", **changes):
        """Return status, header fields and decoded body of one exchange."""
        request = raw.make_request(method, path, body, **changes)
        status, fields, content = raw.exchange(self.server.port, request)
        return status, fields, json.loads(content)

    def wait_for_jobs(self, count):
        fakes.wait_until(lambda: len(self.fake.jobs) >= count)


class CallersTest(GatewayCase):
    def test_answer_has_every_task_and_its_payload(self):
        tasks = [
            raw.make_task(
                id=f"t-{n}", payload={"n": n, "name": "\u00f1"}, declared_ms=n
            )
            for n in range(100)
        ]
        body = raw.make_job(tasks=tasks, deadline_ms=1500.0, key=fakes.KEY)
        status, _, answer = self.request(body=body)
        self.assertEqual(status, 200)
        self.assertEqual(
            [t["id"] for t in answer["tasks"]], [t["id"] for t in tasks]
        )
        self.assertEqual(answer["tasks"][7]["output"], tasks[7]["payload"])
        self.assertEqual(answer["tasks"][7]["run_ms"], 50.0)
        job = self.fake.jobs[answer["job"]]
        self.assertEqual(
            (job.customer_id, job.plan_id, job.deadline_s, job.key),
            ("red-andina", "training", 1.5, fakes.KEY),
        )
        self.assertEqual(
            job.tasks[3],
            entities.Task(
                "t-3", "session-check", tasks[3]["payload"], 3.0, 0.0
            ),
        )

    def test_deadline_defaults_to_that_of_the_plan(self):
        _, _, answer = self.request(body=raw.make_job())
        self.assertEqual(self.fake.jobs[answer["job"]].deadline_s, 30.0)

    def test_only_the_customer_of_a_job_can_fetch_or_cancel_it(self):
        self.fake.held = True
        body = raw.make_job(wait=False)
        status, _, answer = self.request(body=body)
        path = f"/v1/jobs/{answer['job']}"
        self.assertEqual((status, answer["state"]), (202, "running"))
        self.assertEqual(self.request("GET", path)[0], 202)
        self.assertEqual(self.request("GET", path + "?wait_ms=5")[0], 202)
        self.assertEqual(self.request("GET", path, token="dalbit")[0], 404)
        self.assertEqual(self.request("DELETE", path, token="dalbit")[0], 404)
        expected = {"job": answer["job"], "cancelled": True}
        self.assertEqual(self.request("DELETE", path)[2], expected)
        self.assertFalse(self.request("DELETE", path)[2]["cancelled"])
        self.assertEqual(self.request("GET", path)[2]["outcome"], "complete")

    def test_job_continues_after_its_caller_disconnects(self):
        self.fake.held = True
        with raw.connect(self.server.port) as sock:
            sock.sendall(raw.make_request(body=raw.make_job()))
            self.wait_for_jobs(1)
        (job_id,) = self.fake.jobs
        self.fake.finish(job_id)
        status, _, answer = self.request("GET", f"/v1/jobs/{job_id}")
        self.assertEqual((status, answer["outcome"]), (200, "complete"))

    def test_issue_stamp(self):
        expected = {"stamp": "quito-norte/0~1~2", "expires_in_s": 60.0}
        self.assertEqual(self.request(path="/v1/stamps")[2], expected)
        self.assertEqual(self.request(path="/v1/stamps", body=b"{}")[0], 200)
        self.fake.stamp = None
        status, fields, answer = self.request(path="/v1/stamps")
        self.assertEqual((status, fields["retry-after"]), (503, "1"))
        self.assertEqual(answer["error"]["code"], "not_ready")

    def test_key_with_an_issued_stamp_is_accepted(self):
        tasks = [raw.make_task(kind="module-release")]
        stamp = self.request(path="/v1/stamps")[2]["stamp"]
        body = raw.make_job(tasks=tasks, key=f"{stamp}~pedido~7")
        self.assertEqual(self.request(body=body)[0], 200)

    def test_token_is_rejected_once_its_customer_is_removed(self):
        self.assertEqual(self.request(body=raw.make_job())[0], 200)
        changed = fakes.make_declarations(version=2)
        del changed.customers["red-andina"]
        self.fake.declarations = changed
        self.assertEqual(self.request(body=raw.make_job())[0], 401)

    def test_each_request_on_one_connection_gets_its_own_answer(self):
        with raw.connect(self.server.port) as sock:
            for n in range(50):
                task = raw.make_task(payload=n)
                body = raw.make_job(tasks=[task])
                sock.sendall(raw.make_request(body=body))
                _, _, content = raw.read_response(sock)
                output = json.loads(content)["tasks"][0]["output"]
                self.assertEqual(output, n)

    def test_chunked_bodies_are_accepted(self):
        body = raw.encode(raw.make_job())
        parts = b"".join(b"%x\r\n%c\r\n" % (1, byte) for byte in body)
        status, _, _ = self.request(
            body=parts + b"0\r\n\r\n",
            Transfer_Encoding="chunked",
            Content_Length=None,
        )
        self.assertEqual(status, 200)

    def test_internal_error_reveals_no_detail(self):
        self.fake.failure = ValueError("secret")
        with self.assertLogs("pollenladder.gateway", "ERROR"):
            status, _, answer = self.request(body=raw.make_job())
        self.assertEqual((status, answer["error"]["code"]), (500, "internal"))
        self.assertNotIn("secret", json.dumps(answer))

    def test_accepted_job_is_never_reported_as_unknown(self):
        self.fake.submit = lambda job: None
        self.start_server()
        with self.assertLogs("pollenladder.gateway", "ERROR"):
            status, _, _ = self.request(body=raw.make_job())
        self.assertEqual(status, 500)


class OperatorsTest(GatewayCase):
    def test_reply_to_each_request(self):
        self.request(body=raw.make_job())
        for request, status, body in OPERATORS:
            with self.subTest(request=request[:40]):
                request = request.replace(b"Bearer red-andina", b"Bearer ops")
                got = raw.exchange(self.server.port, request)
                self.assertEqual((got[0], json.loads(got[2])), (status, body))
        self.assertEqual(self.fake.drained, ["w-1"])

    def test_unready_daemon_reports_the_reason(self):
        self.fake.unready = "no declarations yet"
        status, fields, answer = self.request("GET", "/readyz", token=None)
        self.assertEqual((status, fields["retry-after"]), (503, "1"))
        self.assertEqual(answer["reason"], "no declarations yet")

    def test_metrics_count_replies(self):
        self.request(body=raw.make_job())
        self.request(body=b"")
        request = raw.make_request("GET", "/metrics", token=None)
        _, fields, content = raw.exchange(self.server.port, request)
        lines = content.decode().splitlines()
        self.assertIn("text/plain", fields["content-type"])
        for line in (
            'pollenladder_http_requests_total{status="200"} 1.0',
            'pollenladder_http_requests_total{status="400"} 1.0',
            'pollenladder_messages_total{kind="http_answer"} 2.0',
            "pollenladder_response_seconds_count 2.0",
            "pollenladder_http_jobs 0.0",
        ):
            self.assertIn(line, lines)
