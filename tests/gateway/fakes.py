"""A fake backend without a dispatcher, and a server that uses it."""

import contextlib
import itertools

import gevent
from gevent import event
import geventhttpclient

from pollenladder.core import verdicts
from pollenladder.gateway import backend
from pollenladder.gateway import exceptions
from pollenladder.gateway import limits
from pollenladder.gateway import server
from pollenladder.gateway import tokens
from pollenladder.metrics import registry
from pollenladder.plans import declarations

WAIT_S = 20.0
KEY = "quito-norte/0~1700000000000~3~order-1"


def make_declarations(version=1):
    kinds = {
        "session-check": declarations.Kind("session-check", True, 2.0),
        "module-release": declarations.Kind("module-release", False, 2.0),
    }
    allowance = declarations.Allowance(10, 10.0, 10)
    plan = declarations.Plan("training", allowance, 30.0, 1.0, kinds)
    other = declarations.Plan("storefront", allowance, 30.0, 1.0, kinds)

    def make_customer(name, *plan_ids):
        return declarations.Customer(name, plan_ids, tokens.hash_token(name))

    return declarations.Declarations(
        version,
        {"training": plan, "storefront": other},
        {
            "red-andina": make_customer("red-andina", "training", "withdrawn"),
            "dalbit": make_customer("dalbit", "storefront"),
        },
        {"ops": declarations.Operator("ops", tokens.hash_token("ops"))},
    )


class FakeBackend:
    """A backend that answers each job at once, or when a test finishes it.

    Attributes:
        jobs: Submitted jobs by id.
        held: Whether jobs are not answered before `finish` is called.
        stamp: The stamp to issue, or None.
        unready: The reason why the daemon is not ready, or None.
        drained: The ids whose drain was requested.
        failure: An exception that `submit` raises, or None.
        answer: Called with a job; returns its answer.
    """

    def __init__(self):
        self.jobs = {}
        self.held = False
        self.declarations = make_declarations()
        self.stamp = backend.Stamp("quito-norte/0~1~2", 60.0)
        self.unready = None
        self.drained = []
        self.failure = None
        self.answer = self.complete
        self._answers = {}
        self._counter = itertools.count(1)

    def complete(self, job):
        ran = verdicts.Verdict.RAN
        results = [
            verdicts.TaskResult(
                task.task_id, ran, verdicts.Reason.OK, task.payload, 0.05
            )
            for task in job.tasks
        ]
        return verdicts.Complete(job.job_id, tuple(results))

    def submit(self, job):
        if self.failure:
            raise self.failure
        self.jobs[job.job_id] = job
        self._answers[job.job_id] = event.AsyncResult()
        if not self.held:
            self.finish(job.job_id)

    def finish(self, job_id):
        self._answers[job_id].set(self.answer(self.jobs[job_id]))

    def wait(self, job_id, customer_id, wait_s):
        job = self.jobs.get(job_id)
        if job is None or job.customer_id != customer_id:
            raise exceptions.JobUnknownError(job_id)
        with contextlib.suppress(gevent.Timeout):
            return self._answers[job_id].get(timeout=wait_s)
        return None

    def cancel(self, job_id, customer_id):
        running = self.wait(job_id, customer_id, 0) is None
        if running:
            self.finish(job_id)
        return running

    def drain(self, target):
        self.drained.append(target)
        return target == "w-1"

    def find_job(self, job_id):
        return {"job": job_id} if job_id in self.jobs else None

    def make_backend(self):
        return backend.Backend(
            lambda: f"d-1-{next(self._counter)}",
            self.submit,
            self.wait,
            self.cancel,
            lambda: self.stamp,
            lambda: self.declarations,
            lambda: {"daemons": 1},
            self.drain,
            self.find_job,
            lambda: self.unready,
        )


def serve(fake, **bounds):
    """Return a server that uses a fake backend, and its metrics."""
    metrics = registry.Metrics()
    bounds = limits.Limits(**bounds)
    return server.serve(
        "127.0.0.1", 0, fake.make_backend(), metrics, bounds
    ), metrics


def connect(port, customer="red-andina"):
    """Return a client that sends the token of a customer, if one is given."""
    headers = {"Authorization": f"Bearer {customer}"} if customer else {}
    return geventhttpclient.HTTPClient(
        "127.0.0.1",
        port,
        headers=headers,
        connection_timeout=WAIT_S,
        network_timeout=WAIT_S,
    )


def wait_until(condition):
    """Wait until a condition is true; fail after `WAIT_S` seconds."""
    with gevent.Timeout(WAIT_S, AssertionError("condition not met in time")):
        while not condition():
            gevent.sleep(0.001)
