"""Find a job wherever it was received: here, or at another daemon."""

from collections.abc import Callable
import dataclasses
from typing import Any

from gevent import event

from pollenladder.core import clocks
from pollenladder.core import engine as engines
from pollenladder.core import mesh as meshes
from pollenladder.core import verdicts
from pollenladder.dispatch import submissions
from pollenladder.gateway import exceptions
from pollenladder.wire import messages

REPLY_MARGIN_S = 1.0


class Lookups:
    """Jobs received here and questions to other daemons."""

    def __init__(
        self,
        daemon_id: str,
        engine: engines.Engine,
        mesh: meshes.Mesh,
        send: Callable[[str, object], bool],
        clock: clocks.Clock,
    ):
        self._daemon_id = daemon_id
        self._engine = engine
        self._mesh = mesh
        self._send = send
        self._clock = clock
        self._asked: dict[int, event.AsyncResult] = {}
        self._requests = 0

    def wait(
        self, job_id: str, customer_id: str, timeout_s: float
    ) -> verdicts.Answer | None:
        """Wait for a job's answer; None if it is still running.

        Raises:
            exceptions.JobUnknownError: No daemon within reach knows it.
        """
        if self._find_receiver(job_id) != self._daemon_id:
            return self._ask(job_id, customer_id, timeout_s, False).answer
        if self._find(job_id, customer_id).answer is None:
            self._engine.wait(job_id, timeout_s)
        return self._find(job_id, customer_id).answer

    def cancel(self, job_id: str, customer_id: str) -> bool:
        """Cancel a job; return whether it was running.

        Raises:
            exceptions.JobUnknownError: No daemon within reach knows it.
        """
        if self._find_receiver(job_id) != self._daemon_id:
            return self._ask(job_id, customer_id, 0.0, True).running
        running = self._find(job_id, customer_id).answer is None
        if running:
            self._engine.cancel(job_id)
        return running

    def describe(self, job_id: str) -> dict[str, Any] | None:
        """Return what is known here of a job, for operators."""
        table = self._engine.submissions
        row = table.pending.get(job_id) or table.answered.get(job_id)
        if row is None:
            return None
        answer = row.answer
        return {
            "job": job_id,
            "customer": row.job.customer_id,
            "plan": row.job.plan_id,
            "tasks": len(row.job.tasks),
            "shard": row.shard_id,
            "owner": row.daemon_id,
            "offers": row.offers,
            "state": type(answer).__name__.lower() if answer else "running",
        }

    def take_message(self, sender: str, message: object) -> None:
        """Handle a question of another daemon, or the answer to one of ours."""
        if isinstance(message, messages.JobLookup):
            self._send(sender, self._answer(message))
        elif isinstance(message, messages.JobLookupReply):
            asked = self._asked.pop(message.request_id, None)
            if asked:
                asked.set(message)

    def _find(self, job_id: str, customer_id: str) -> submissions.Submission:
        row = submissions.find(self._engine.submissions, job_id, customer_id)
        if row is None:
            raise exceptions.JobUnknownError(job_id)
        return row

    def _find_receiver(self, job_id: str) -> str:
        """Return the daemon that issued a job id."""
        return job_id.rsplit("-", 2)[0]

    def _ask(
        self, job_id: str, customer_id: str, wait_s: float, cancel: bool
    ) -> "Found":
        receiver = self._find_receiver(job_id)
        self._requests += 1
        asked = self._asked[self._requests] = event.AsyncResult()
        lookup = messages.JobLookup(
            self._requests, job_id, customer_id, wait_s, cancel
        )
        try:
            if not self._mesh.connect(receiver):
                raise exceptions.JobUnknownError(job_id)
            self._send(receiver, lookup)
            reply = asked.get(timeout=wait_s + REPLY_MARGIN_S)
        except event.Timeout:
            raise exceptions.JobUnknownError(job_id) from None
        finally:
            self._asked.pop(lookup.request_id, None)
        if not reply.known:
            raise exceptions.JobUnknownError(job_id)
        answer = messages.unpack_answer(reply.answer) if reply.answer else None
        return Found(reply.running, answer)

    def _answer(self, lookup: messages.JobLookup) -> messages.JobLookupReply:
        job_id, customer_id = lookup.job_id, lookup.customer_id
        try:
            if lookup.cancel:
                running = self.cancel(job_id, customer_id)
                answer = None
            else:
                answer = self.wait(job_id, customer_id, lookup.wait_s)
                running = answer is None
        except exceptions.JobUnknownError:
            return messages.JobLookupReply(
                lookup.request_id, False, False, None
            )
        packed = messages.pack_answer(answer) if answer else None
        return messages.JobLookupReply(lookup.request_id, True, running, packed)


@dataclasses.dataclass(frozen=True)
class Found:
    """What another daemon said of a job."""

    running: bool
    answer: verdicts.Answer | None
