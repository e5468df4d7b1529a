"""The engine: passes events to the decision functions, executes their effects.

The functions in `pollenladder.dispatch` decide without any input or output.
They change the tables and return effects: messages to send, and tasks to start
or to stop.
"""

from collections.abc import Callable
import dataclasses
import logging
from typing import Any

import gevent
from gevent import event

from pollenladder.core import clocks
from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import directory
from pollenladder.dispatch import intake
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import sharing
from pollenladder.dispatch import spilling
from pollenladder.dispatch import submissions
from pollenladder.dispatch import tables
from pollenladder.plans import declarations
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.wire import messages

LOGGER = logging.getLogger(__name__)

# The longest time between two dispatch passes.
TICK_S = 0.05
# The same while no job is open.
IDLE_TICK_S = 0.25
# Time after a job's deadline in which its owner may still answer.
ANSWER_GRACE_S = 0.5


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that the engine calls to execute effects.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        start: Start a task on a worker, and report the outcome by one call of
            `Engine.record_start_outcome`.
        stop: Stop tasks on a worker.
        on_answered: Called with the final answer of each job submitted to this
            daemon.
    """

    send: Callable[[str, object], bool]
    start: Callable[[tables.StartTask], None]
    stop: Callable[[tables.StopTasks], None]
    on_answered: Callable[[verdicts.Answer], None]


class Engine:
    """The tables of one daemon and the loop that runs dispatch passes on them.

    A dispatch pass covers the tables of all shards. It runs whenever events
    have changed them, and periodically.

    Attributes:
        daemon_id: This daemon.
        shards: Tables of each shard of this region, by shard id.
        submissions: Jobs that callers submitted to this daemon.
        shard_directory: The owner and the load of each known shard.
        declared: The declarations in force on this daemon.
    """

    def __init__(
        self,
        *,
        daemon_id: str,
        shard_tables: dict[str, tables.Shard],
        submitted: submissions.Submissions,
        shard_directory: directory.Directory,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self.daemon_id = daemon_id
        self.shards = shard_tables
        self.submissions = submitted
        self.shard_directory = shard_directory
        self.declared = declarations.EMPTY
        self._callbacks = callbacks
        self._clock = clock
        self._wake_event = event.Event()
        self._next_tick_at = float("-inf")
        self._waiters: dict[str, event.Event] = {}
        self._handlers: dict[type, Callable[[str, Any, float], None]] = {
            messages.JobOffer: self._handle_job_offer,
            messages.JobAnswer: self._handle_job_answer,
            messages.JobCancel: self._handle_job_cancel,
            messages.JobQuery: self._handle_job_query,
            messages.JobPending: _ignore,
            messages.BatchOffer: self._handle_batch_offer,
            messages.BatchResult: self._handle_batch_result,
            messages.BatchCancel: self._handle_batch_cancel,
            messages.BatchQuery: self._handle_batch_query,
            messages.BatchPending: _ignore,
            messages.ShardLoad: self._handle_load,
            loans.LoanRequest: self._handle_loan_request,
            loans.LoanGrant: self._handle_loan_grant,
            loans.LoanReturn: self._handle_loan_return,
            messages.Claim: self._handle_claim,
            messages.ClaimReply: self._handle_claim_reply,
        }

    def run(self) -> None:
        """Run a dispatch pass after events and at each tick; never return."""
        while True:
            self._wake_event.wait(
                TICK_S if self._has_open_jobs() else IDLE_TICK_S
            )
            self._wake_event.clear()
            try:
                self._run_pass()
            except Exception:
                LOGGER.exception("dispatch pass failed")
            # Let other greenlets deliver more events before the next run.
            gevent.sleep(0)

    def submit(self, job: entities.Job) -> None:
        """Accept a job from the gateway."""
        self._waiters[job.job_id] = event.Event()
        now = self._clock()
        self.execute(submissions.submit(self.submissions, job, now))
        self._notify_waiters()
        self._wake_event.set()

    def wait(self, job_id: str, timeout_s: float) -> None:
        """Wait for the answer of a job submitted here, up to the timeout."""
        waiter = self._waiters.get(job_id)
        if waiter:
            waiter.wait(timeout_s)

    def cancel(self, job_id: str) -> None:
        """Cancel a job submitted here."""
        now = self._clock()
        self.execute(submissions.cancel(self.submissions, job_id, now))
        self._notify_waiters()

    def declare(self, declared: declarations.Declarations) -> bool:
        """Put declarations in force if they are newer; return whether so."""
        if declared.version <= self.declared.version:
            return False
        self.declared = declared
        for shard in self.shards.values():
            shards.apply_declarations(shard, declared, self._clock())
        self._wake_event.set()
        return True

    def handle_message(self, sender: str, message: object) -> bool:
        """Handle a message; return False if another component handles it."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(sender, message, self._clock())
        self._wake_event.set()
        return True

    def record_start_outcome(
        self, effect: tables.StartTask, result: verdicts.TaskResult
    ) -> None:
        """Record how a start ended."""
        home = self.shards[effect.home_shard_id]
        now = self._clock()
        self.execute(completion.record_start_outcome(home, effect, result, now))
        self._wake_event.set()

    def handle_daemon_lost(self, daemon_id: str) -> None:
        """Resolve the jobs and batches that involve a lost daemon.

        A daemon that restarted is lost too: it has forgotten all of them.
        """
        now = self._clock()
        directory.forget_daemon(self.shard_directory, daemon_id)
        submissions.fail_jobs_of_daemon(self.submissions, daemon_id, now)
        for shard in self.shards.values():
            effects = spilling.settle_lost_batches(shard, daemon_id, now)
            effects += intake.cancel_jobs_of_gateway(shard, daemon_id, now)
            self.execute(effects)
        self._notify_waiters()
        self._wake_event.set()

    def query_daemon(self, daemon_id: str) -> None:
        """Query a daemon over a new link about the requests sent to it.

        Messages sent over the previous link may be lost.
        """
        self.execute(submissions.query_jobs(self.submissions, daemon_id))
        for shard in self.shards.values():
            self.execute(spilling.query_batches(shard, daemon_id))

    def has_open_work_with(self, daemon_id: str) -> bool:
        """Return whether a job or batch that involves a daemon is open."""
        if any(
            row.daemon_id == daemon_id
            for row in self.submissions.pending.values()
        ):
            return True
        shard = next(iter(self.shards.values()))
        if any(b.daemon_id == daemon_id for b in shard.batches.values()):
            return True
        return any(
            group.reply_to == daemon_id or daemon_id in group.followers.values()
            for group in shard.groups.values()
        )

    def wake(self) -> None:
        """Run a dispatch pass as soon as possible."""
        self._wake_event.set()

    def execute(self, effects: list[tables.Effect]) -> None:
        """Execute effects, in order."""
        for effect in effects:
            if isinstance(effect, tables.StartTask):
                self._callbacks.start(effect)
            elif isinstance(effect, tables.StopTasks):
                self._callbacks.stop(effect)
            else:
                self._send(effect)

    def _send(self, effect: tables.SendMessage) -> None:
        if effect.daemon_id == self.daemon_id:
            # Handled in a separate greenlet, so that handlers do not nest.
            gevent.spawn(self.handle_message, effect.daemon_id, effect.message)
            return
        if not self._callbacks.send(effect.daemon_id, effect.message):
            self._handle_unsent(effect.daemon_id, effect.message)

    def _handle_unsent(self, daemon_id: str, message: object) -> None:
        """Resolve an offer that certainly did not leave this daemon."""
        now = self._clock()
        reason = verdicts.Reason.CONNECTION_LOST
        if isinstance(message, messages.JobOffer):
            job_id = message.job.job_id
            refused = verdicts.Refused(job_id, reason, 1.0, "no link")
            gevent.spawn(self._record_answer, daemon_id, refused)
        elif isinstance(message, messages.BatchOffer):
            shard = self.shards[message.from_shard_id]
            result = spilling.build_unsent_result(message)
            effects = spilling.record_batch_result(shard, result, now)
            self.execute(effects)
            self._wake_event.set()

    def _refresh_loads(self, now: float) -> None:
        """Update the directory's entries of the shards owned here."""
        for shard in self.shards.values():
            if shard.ownership_is_held(now):
                load = spilling.describe_load(shard, now)
                directory.record_load(
                    self.shard_directory, self.daemon_id, load, now
                )

    def _has_open_jobs(self) -> bool:
        """Return whether any job or batch is open here."""
        if self.submissions.pending:
            return True
        return bool(next(iter(self.shards.values())).groups)

    def _run_pass(self) -> None:
        now = self._clock()
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_S
            self._refresh_loads(now)
            submissions.expire(self.submissions, now, ANSWER_GRACE_S)
        self.execute(shards.run_dispatch_pass(self.shards.values(), now))
        self.execute(submissions.offer_held(self.submissions, now))
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        for job_id in self.submissions.newly_answered:
            waiter = self._waiters.pop(job_id, None)
            if waiter:
                waiter.set()
            self._callbacks.on_answered(
                self.submissions.answered[job_id].answer
            )
        self.submissions.newly_answered.clear()

    def _record_answer(self, sender: str, answer: verdicts.Answer) -> None:
        now = self._clock()
        self.execute(
            submissions.record_answer(self.submissions, sender, answer, now)
        )
        self._notify_waiters()

    def _handle_job_offer(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard is None:
            return
        self.execute(intake.handle_job_offer(shard, sender, message, now))

    def _handle_job_answer(self, sender, message, now) -> None:
        self._record_answer(sender, messages.unpack_answer(message))

    def _handle_job_cancel(self, sender, message, now) -> None:
        self._cancel(message.shard_id, message.job_ids, now)

    def _handle_batch_cancel(self, sender, message, now) -> None:
        self._cancel(message.shard_id, message.batch_ids, now)

    def _cancel(self, shard_id: str, group_ids, now: float) -> None:
        shard = self.shards.get(shard_id)
        if shard:
            effects = intake.cancel_groups(shard, group_ids, now)
            self.execute(effects)

    def _handle_job_query(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard:
            effects = intake.answer_query(
                shard, sender, message.job_id, message.task_ids, False, now
            )
            self.execute(effects)

    def _handle_batch_query(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard:
            effects = intake.answer_query(
                shard, sender, message.batch_id, message.task_ids, True, now
            )
            self.execute(effects)

    def _handle_batch_offer(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard is None:
            return
        self.execute(intake.handle_batch_offer(shard, sender, message, now))

    def _handle_batch_result(self, sender, message, now) -> None:
        for shard in self.shards.values():
            if message.batch_id in shard.batches:
                effects = spilling.record_batch_result(shard, message, now)
                self.execute(effects)
                return

    def _handle_load(self, sender, message, now) -> None:
        directory.record_load(self.shard_directory, sender, message, now)
        for shard in self.shards.values():
            effects = spilling.answer_load(shard, sender, message, now)
            self.execute(effects)

    def _handle_loan_request(self, sender, message, now) -> None:
        shard = self.shards.get(message.lender_id)
        if shard and shard.ownership_is_held(now):
            granted = loans.grant(shard.ledger, message, now)
            self.execute([tables.SendMessage(sender, granted)])

    def _handle_loan_grant(self, sender, message, now) -> None:
        shard = self.shards.get(ledgers.get_borrower_id(message.loan_id))
        if shard:
            loans.accept(shard.ledger, message, now)

    def _handle_loan_return(self, sender, message, now) -> None:
        shard = self.shards.get(message.lender_id)
        if shard:
            loans.record_return(shard.ledger, message, now)

    def _handle_claim(self, sender, message, now) -> None:
        shard = self.shards.get(message.asked_id)
        reply = sharing.answer_claim(shard, message, now) if shard else None
        if reply:
            self.execute([tables.SendMessage(sender, reply)])

    def _handle_claim_reply(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard:
            sharing.record_claim_reply(shard, message, now)


def _ignore(sender: str, message: object, now: float) -> None:
    """Ignore a message that only announces a later answer."""
