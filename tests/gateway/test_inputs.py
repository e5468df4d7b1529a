"""Invalid requests get a typed error and do not affect other requests."""

import json
import unittest

import gevent
import hypothesis
from hypothesis import strategies

from pollenladder.gateway import handlers
from tests.gateway import fakes
from tests.gateway import raw

MAX_BODY_BYTES = 64 * 1024
FUZZ = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)


def job(**changes):
    """Return a request that submits a valid job with changed fields."""
    return raw.make_request(body=raw.make_job(**changes))


def task(**changes):
    """Return a request that submits one valid task with changed fields."""
    return job(tasks=[raw.make_task(**changes)])


def body(content):
    """Return a request that submits a job with the given body."""
    return raw.make_request(body=content)


def post(**changes):
    """Return a request that submits a valid job, with changed parts."""
    return raw.make_request(**({"body": raw.make_job()} | changes))


def drain(**changes):
    """Return an operator's drain request with changed parts."""
    return raw.make_request(
        path="/v1/operator/drain", **({"token": "ops"} | changes)
    )


def with_payload(text):
    """Return a request that submits a task with a payload in raw JSON."""
    content = json.dumps(raw.make_job(tasks=[raw.make_task(payload="@")]))
    return body(content.replace('"@"', text).encode())


def make_tasks(count):
    return [raw.make_task(id=f"t-{n}") for n in range(count)]


def get(path, **changes):
    return raw.make_request("GET", path, **changes)


# One character more than `limits.MAX_ID_CHARS`.
LONG = "x" * 129
# A task of a kind that is not idempotent, which needs a key.
RELEASE = [raw.make_task(kind="module-release")]
# Each row: the name, the request, the expected status, how the error code starts
# and a part of the field that the error names.
CASES = (
    ("empty body", body(b""), 400, "not_json", "body"),
    ("not JSON", body(b"plan=training"), 400, "not_json", "body"),
    ("half JSON", body(b'{"plan": "trai'), 400, "not_json", "body"),
    ("two values", body(b"{}{}"), 400, "not_json", "body"),
    ("not UTF-8", body(b'{"plan": "\xff"}'), 400, "not_json", "body"),
    ("lone surrogate", body(b'{"plan": "\\ud800"}'), 400, "not_json", "body"),
    ("deep lists", body(b"[" * 20_000), 400, "not_json", "body"),
    ("deep maps", body(b'{"a":' * 9_000), 400, "not_json", "body"),
    ("a list", body([]), 400, "invalid", "body"),
    ("null", body(b"null"), 400, "invalid", "body"),
    ("a number", body(b"1"), 400, "invalid", "body"),
    ("no plan", job(plan=None), 400, "missing", "plan"),
    ("plan a number", job(plan=1), 400, "invalid", "plan"),
    ("plan empty", job(plan=""), 400, "invalid", "plan"),
    ("plan long", job(plan=LONG), 400, "invalid", "plan"),
    ("plan unknown", job(plan="no"), 400, "unknown_plan", "plan"),
    ("another's plan", job(plan="storefront"), 400, "unknown_plan", "plan"),
    ("plan withdrawn", job(plan="withdrawn"), 400, "unknown_plan", "plan"),
    ("no tasks", job(tasks=None), 400, "missing", "tasks"),
    ("tasks a map", job(tasks={}), 400, "invalid", "tasks"),
    ("0 tasks", job(tasks=[]), 400, "too_short", "tasks"),
    ("101 tasks", job(tasks=make_tasks(101)), 400, "too_long", "tasks"),
    ("task null", job(tasks=[None]), 400, "invalid", "tasks.0"),
    ("task a text", job(tasks=["t-1"]), 400, "invalid", "tasks.0"),
    ("no id", job(tasks=[{"kind": "k"}]), 400, "missing", "tasks.0.id"),
    ("id empty", task(id=""), 400, "invalid", "tasks.0.id"),
    ("id long", task(id=LONG), 400, "invalid", "tasks.0.id"),
    ("id a number", task(id=1), 400, "invalid", "tasks.0.id"),
    ("id with a newline", task(id="a\nb"), 400, "invalid", "tasks.0.id"),
    ("id ends a line", task(id="a\n"), 400, "invalid", "tasks.0.id"),
    (
        "repeated ids",
        job(tasks=make_tasks(3) + [raw.make_task(id="t-1")]),
        400,
        "repeated",
        "tasks.3.id",
    ),
    ("no kind", job(tasks=[{"id": "t"}]), 400, "missing", "tasks.0.kind"),
    ("kind null", task(kind=None), 400, "invalid", "tasks.0.kind"),
    ("kind unknown", task(kind="no"), 400, "unknown_kind", "tasks.0.kind"),
    ("ms negative", task(declared_ms=-1), 400, "invalid", "declared_ms"),
    ("ms a text", task(declared_ms="1"), 400, "invalid", "declared_ms"),
    ("ms a bool", task(declared_ms=True), 400, "invalid", "declared_ms"),
    ("ms NaN", task(declared_ms=float("nan")), 400, "invalid", "declared_ms"),
    ("ms huge", task(declared_ms=1e300), 400, "invalid", "declared_ms"),
    ("size negative", task(declared_size=-5), 400, "invalid", "declared_size"),
    ("size NaN", task(declared_size=float("nan")), 400, "invalid", "size"),
    ("size inf", task(declared_size=float("inf")), 400, "invalid", "size"),
    ("payload NaN", with_payload("[NaN]"), 400, "invalid", "tasks.0.payload"),
    ("payload inf", with_payload('{"a": 1e400}'), 400, "invalid", "payload"),
    ("payload -inf", with_payload("-Infinity"), 400, "invalid", "payload"),
    ("payload 2**64", with_payload(str(2**64)), 400, "invalid", "payload"),
    ("payload small", with_payload(str(-(2**63) - 1)), 400, "invalid", "load"),
    ("task field", task(prio=1), 400, "unknown_field", "tasks.0.prio"),
    ("job field", job(priority=1), 400, "unknown_field", "priority"),
    ("deadline 0", job(deadline_ms=0), 400, "invalid", "deadline_ms"),
    ("deadline < 0", job(deadline_ms=-1), 400, "invalid", "deadline_ms"),
    ("deadline text", job(deadline_ms="5"), 400, "invalid", "deadline_ms"),
    ("deadline long", job(deadline_ms=30001), 400, "too_long", "deadline_ms"),
    ("wait a text", job(wait="no"), 400, "invalid", "wait"),
    ("key needed", job(tasks=RELEASE), 400, "missing", "key"),
    ("key a number", job(key=7), 400, "invalid", "key"),
    ("key bare", job(key="order-1"), 400, "invalid", "key"),
    ("key no own", job(key="s~1~2~"), 400, "invalid", "key"),
    ("key epoch", job(key="s~x~2~own"), 400, "invalid", "key"),
    ("key window", job(key="s~1~-2~own"), 400, "invalid", "key"),
    ("key digits", job(key="s~\u0661~2~own"), 400, "invalid", "key"),
    ("key line", job(key="s~1~2~own\n"), 400, "invalid", "key"),
    ("key long", job(key="s~1~2~" + "x" * 300), 400, "invalid", "key"),
    ("no type", post(Content_Type=None), 415, "media_type", "Content-Type"),
    ("text", post(Content_Type="text/plain"), 415, "media_type", "Content"),
    (
        "oversized",
        body(b" " * (MAX_BODY_BYTES + 1)),
        413,
        "too_large",
        "body",
    ),
    (
        "announced too large",
        post(Content_Length=str(10**15)),
        413,
        "too_large",
        "body",
    ),
    (
        "chunks too large",
        post(
            Content_Length=None,
            Transfer_Encoding="chunked",
            body=b"20000\r\n" + b" " * 0x20000 + b"\r\n0\r\n\r\n",
        ),
        413,
        "too_large",
        "body",
    ),
    (
        "bad chunks",
        post(
            Content_Length=None, Transfer_Encoding="chunked", body=b"zz\r\n\r\n"
        ),
        400,
        "incomplete",
        "body",
    ),
    (
        "unknown encoding",
        post(Transfer_Encoding="gzip"),
        400,
        "encoding",
        "Transfer-Encoding",
    ),
    ("no token", post(token=None), 401, "token_missing", "Authorization"),
    ("basic", post(Authorization="Basic eDp5"), 401, "token_missing", "Auth"),
    ("no scheme", post(Authorization="dalbit"), 401, "token_missing", "Auth"),
    ("wrong token", post(token="nobody"), 401, "token_unknown", "Auth"),
    ("long token", post(token="x" * 5000), 401, "token_unknown", "Auth"),
    ("token Latin-1", post(token="se\xf1or"), 401, "token_unknown", "Auth"),
    ("an operator's", post(token="ops"), 403, "wrong_role", "Authorization"),
    ("no such path", get("/v1/job"), 404, "unknown", "path"),
    ("odd path", get("/v1/%00/../jobs"), 404, "unknown", "path"),
    ("no such job", get("/v1/jobs/d-9-9"), 404, "unknown", "job"),
    ("no job id", get("/v1/jobs/"), 404, "unknown", "job"),
    ("long job id", get("/v1/jobs/" + LONG), 404, "unknown", "job"),
    ("cancel none", post(method="DELETE", path="/v1/jobs/x"), 404, "un", "job"),
    ("wait text", get("/v1/jobs/x?wait_ms=1s"), 400, "invalid", "wait_ms"),
    ("wait < 0", get("/v1/jobs/x?wait_ms=-1"), 400, "invalid", "wait_ms"),
    ("wait long", get("/v1/jobs/x?wait_ms=60001"), 400, "invalid", "wait_ms"),
    ("wait twice", get("/v1/jobs/x?wait_ms=1&wait_ms=2"), 400, "inv", "wait"),
    ("parameter", get("/v1/jobs/x?until=1"), 400, "unknown_field", "until"),
    ("many", get("/v1/jobs/x?" + "a=1&" * 99), 400, "invalid", "query"),
    ("method", post(method="PUT"), 405, "method", "method"),
    ("no method", post(method="BREW"), 405, "method", "method"),
    ("stamp body", post(path="/v1/stamps", body=b"x" * 1025), 413, "too", "b"),
    ("status, no operator", get("/v1/operator/status"), 403, "wrong", "Auth"),
    (
        "status, nobody",
        get("/v1/operator/status", token=None),
        401,
        "token_missing",
        "Authorization",
    ),
    ("drain, no operator", drain(token="dalbit"), 403, "wrong_role", "Auth"),
    ("drain nothing", drain(body={}), 400, "missing", "target"),
    ("drain a list", drain(body={"target": []}), 400, "invalid", "target"),
    ("drain more", drain(body={"target": "w-1", "x": 1}), 400, "unknown", "x"),
    ("drain unknown", drain(body={"target": "w-9"}), 404, "unknown", "target"),
    ("drain long", drain(body=b" " * 1025), 413, "too_large", "body"),
    (
        "job, operator",
        get("/v1/operator/jobs/x", token="ops"),
        404,
        "unknown",
        "job",
    ),
    ("not HTTP", b"\x16\x03\x01\x02\x00\r\n\r\n", 400, "bad_", "request"),
    ("wrong version", b"GET / HTTP/3.0\r\n\r\n", 400, "bad_", "request"),
    ("length -1", post(Content_Length="-1"), 400, "bad_request", "request"),
    ("length text", post(Content_Length="1x"), 400, "bad_request", "request"),
    (
        "two lengths",
        post(Content_Length="1\r\nContent-Length: 2"),
        400,
        "bad_request",
        "request",
    ),
    ("length 1_0", post(Content_Length="1_0"), 400, "bad_request", "request"),
    ("many fields", post(**{f"X{n}": "1" for n in range(200)}), 400, "b", "r"),
    ("long field", post(X="x" * 70_000), 431, "too_long", "headers"),
    ("long path", get("/" + "x" * 9000), 414, "too_long", "path"),
)
# Requests that end or stall before they are complete: name, request, field.
PARTIAL = (
    ("half a body", post(Content_Length="9999"), "body"),
    ("no body", raw.make_request(Content_Length="10"), "body"),
    (
        "half a chunk",
        post(Content_Length=None, Transfer_Encoding="chunked", body=b"ff\r\n{"),
        "body",
    ),
)


class BadInputTest(unittest.TestCase):
    """Each request is sent while another customer waits for a job."""

    def setUp(self):
        self.fake = fakes.FakeBackend()
        self.server, _ = fakes.serve(
            self.fake,
            max_body_bytes=MAX_BODY_BYTES,
            body_s=0.05,
            headers_s=0.05,
            linger_s=0.2,
        )
        self.addCleanup(self.server.stop_accepting)
        self.fake.held = True
        wanted = raw.make_job(plan="storefront")
        request = raw.make_request(body=wanted, token="dalbit")
        self.other = gevent.spawn(raw.exchange, self.server.port, request)
        fakes.wait_until(lambda: self.fake.jobs)

    def check_other_job_completes(self):
        """Check that only the other customer's job exists, and complete it."""
        self.assertFalse(self.other.ready())
        self.assertEqual(len(self.fake.jobs), 1)
        (job_id,) = self.fake.jobs
        self.fake.finish(job_id)
        status, _, answer = self.other.get(timeout=fakes.WAIT_S)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(answer)["job"], job_id)

    def check_error(self, response, status, code, field):
        got, fields, content = response
        self.assertEqual(got, status, content)
        self.assertEqual(fields["content-type"], raw.JSON)
        error = json.loads(content)["error"]
        self.assertTrue(error["code"].startswith(code), error)
        self.assertIn(field, error["field"])
        self.assertTrue(error["detail"])

    def test_what_a_client_sends_is_logged_in_short(self):
        # Guards against clients that fill the log, whose lines others need.
        line = b"\x00" * 8000 + b"\r\n\r\n"
        with self.assertLogs(handlers.LOGGER, "INFO") as found:
            raw.exchange(self.server.port, line)
        (record,) = found.records
        self.assertLess(len(record.getMessage()), 300)
        self.check_other_job_completes()

    def test_each_invalid_request_gets_a_typed_error(self):
        for name, request, status, code, field in CASES:
            with self.subTest(name):
                response = raw.exchange(self.server.port, request)
                self.check_error(response, status, code, field)
                self.assertFalse(self.other.ready())
        self.check_other_job_completes()

    def test_incomplete_requests_get_an_error(self):
        for name, request, field in PARTIAL:
            for end in (False, True):
                with self.subTest(name, end=end):
                    response = raw.exchange(self.server.port, request, end)
                    self.check_error(response, 400 if end else 408, "", field)
                    self.assertEqual(response[1]["connection"], "close")
        stalled = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
        response = raw.exchange(self.server.port, stalled)
        self.check_error(response, 408, "timeout", "headers")
        self.check_other_job_completes()

    def test_connection_stays_open_after_an_error(self):
        with raw.connect(self.server.port) as sock:
            for request in (job(plan="no"), post(token="nobody", body=b"")):
                sock.sendall(request)
                status, fields, _ = raw.read_response(sock)
                self.assertIn(status, (400, 401))
                self.assertNotIn("connection", fields)
        self.check_other_job_completes()

    @FUZZ
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=6),
            lambda inner: (
                strategies.lists(inner, max_size=4)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ("plan", "tasks", "id", "kind", "payload", "key", "x")
                    ),
                    inner,
                )
            ),
            max_leaves=12,
        )
    )
    def test_fuzzed_bodies_are_errors(self, value):
        response = raw.exchange(
            self.server.port, body(json.dumps(value).encode())
        )
        self.check_error(response, 400, "", "")
        self.assertFalse(self.other.ready())

    @FUZZ
    @hypothesis.given(strategies.data())
    def test_fuzzed_requests_are_answered_or_closed(self, data):
        whole = job()
        at = data.draw(strategies.integers(0, len(whole) - 1))
        size = data.draw(strategies.integers(0, 8))
        noise = data.draw(strategies.binary(max_size=8))
        request = whole[:at] + noise + whole[at + size :]
        before = len(self.fake.jobs)
        self.fake.held = False
        status, _, content = raw.exchange(self.server.port, request, True)
        self.fake.held = True
        self.assertIn(
            status, (None, 200, 400, 401, 404, 405, 408, 413, 414, 415)
        )
        self.assertEqual(len(self.fake.jobs) - before, status == 200, content)
        self.assertFalse(self.other.ready())
