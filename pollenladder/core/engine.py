"""Feed events to the decisions and carry out the effects they return."""

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

TICK_S = 0.05
IDLE_TICK_S = 0.25
# An owner that is silent past a job's deadline gets this long to answer.
ANSWER_GRACE_S = 0.5


@dataclasses.dataclass(frozen=True)
class Outlets:
    """Functions by which effects leave the engine.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        start: Start a task on a worker, and report by
            `Engine.record_start_outcome` once.
        stop: Stop tasks on a worker.
        on_answered: A job submitted here has its final answer.
    """

    send: Callable[[str, object], bool]
    start: Callable[[tables.StartTask], None]
    stop: Callable[[tables.StopTasks], None]
    on_answered: Callable[[verdicts.Answer], None]


class Engine:
    """The tables of one daemon and the loop that runs the systems.

    Attributes:
        daemon_id: This daemon.
        shards: Tables of each shard of this data centre, by shard id.
        submissions: Jobs that callers sent here.
        shard_directory: Where each shard's owner is.
        declared: The declarations in force here.
    """

    def __init__(
        self,
        *,
        daemon_id: str,
        shard_tables: dict[str, tables.Shard],
        submitted: submissions.Submissions,
        shard_directory: directory.Directory,
        outlets: Outlets,
        clock: clocks.Clock,
    ):
        self.daemon_id = daemon_id
        self.shards = shard_tables
        self.submissions = submitted
        self.shard_directory = shard_directory
        self.declared = declarations.EMPTY
        self._outlets = outlets
        self._clock = clock
        self._woken = event.Event()
        self._next_tick_at = float("-inf")
        self._waiters: dict[str, event.Event] = {}
        self._handlers: dict[type, Callable[[str, Any, float], None]] = {
            messages.JobOffer: self._take_job_offer,
            messages.JobAnswer: self._take_job_answer,
            messages.JobCancel: self._take_job_cancel,
            messages.JobQuery: self._take_job_query,
            messages.JobPending: _ignore,
            messages.BatchOffer: self._take_batch_offer,
            messages.BatchResult: self._take_batch_result,
            messages.BatchCancel: self._take_batch_cancel,
            messages.BatchQuery: self._take_batch_query,
            messages.BatchPending: _ignore,
            messages.ShardLoad: self._take_load,
            loans.LoanRequest: self._take_loan_ask,
            loans.LoanGrant: self._take_loan_grant,
            loans.LoanReturn: self._take_loan_return,
            messages.Claim: self._take_claim,
            messages.ClaimReply: self._take_claim_reply,
        }

    def run(self) -> None:
        """Run the systems whenever something happened, and at each tick."""
        while True:
            self._woken.wait(TICK_S if self._has_jobs() else IDLE_TICK_S)
            self._woken.clear()
            try:
                self._run_systems()
            except Exception:
                LOGGER.exception("a system failed")
            # Let other greenlets bring more events before the next run.
            gevent.sleep(0)

    def submit(self, job: entities.Job) -> None:
        """Take a job from the gateway."""
        self._waiters[job.job_id] = event.Event()
        now = self._clock()
        self.execute(submissions.submit(self.submissions, job, now))
        self._wake_waiters()
        self._woken.set()

    def wait(self, job_id: str, timeout_s: float) -> None:
        """Wait until a job submitted here has its answer, or so long."""
        waiter = self._waiters.get(job_id)
        if waiter:
            waiter.wait(timeout_s)

    def cancel(self, job_id: str) -> None:
        """Ask for a job submitted here to be given up."""
        now = self._clock()
        self.execute(submissions.cancel(self.submissions, job_id, now))
        self._wake_waiters()

    def declare(self, declared: declarations.Declarations) -> bool:
        """Put newer declarations in force; return whether they are newer."""
        if declared.version <= self.declared.version:
            return False
        self.declared = declared
        for shard in self.shards.values():
            shards.apply_declarations(shard, declared, self._clock())
        self._woken.set()
        return True

    def take_message(self, sender: str, message: object) -> bool:
        """Handle a message of a daemon; return whether it is one of ours."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(sender, message, self._clock())
        self._woken.set()
        return True

    def record_start_outcome(
        self, effect: tables.StartTask, result: verdicts.TaskResult
    ) -> None:
        """Take in the end of a start."""
        home = self.shards[effect.home_shard_id]
        now = self._clock()
        self.execute(completion.record_start_outcome(home, effect, result, now))
        self._woken.set()

    def lose_daemon(self, daemon_id: str) -> None:
        """Settle all that was sent to a daemon that is dead or restarted."""
        now = self._clock()
        directory.forget_daemon(self.shard_directory, daemon_id)
        submissions.fail_jobs_of_daemon(self.submissions, daemon_id, now)
        for shard in self.shards.values():
            effects = spilling.settle_lost_batches(shard, daemon_id, now)
            effects += intake.cancel_jobs_of_gateway(shard, daemon_id, now)
            self.execute(effects)
        self._wake_waiters()
        self._woken.set()

    def ask_daemon(self, daemon_id: str) -> None:
        """Ask over a new link about all that was sent over an older one."""
        self.execute(submissions.query_jobs(self.submissions, daemon_id))
        for shard in self.shards.values():
            self.execute(spilling.query_batches(shard, daemon_id))

    def is_involved(self, daemon_id: str) -> bool:
        """Return whether anything is open between a daemon and this one."""
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
        """Have the systems run soon."""
        self._woken.set()

    def execute(self, effects: list[tables.Effect]) -> None:
        """Carry out effects, in order."""
        for effect in effects:
            if isinstance(effect, tables.StartTask):
                self._outlets.start(effect)
            elif isinstance(effect, tables.StopTasks):
                self._outlets.stop(effect)
            else:
                self._send(effect)

    def _send(self, effect: tables.SendMessage) -> None:
        if effect.daemon_id == self.daemon_id:
            # Handled by its own greenlet, so that handlers do not nest.
            gevent.spawn(self.take_message, effect.daemon_id, effect.message)
            return
        if not self._outlets.send(effect.daemon_id, effect.message):
            self._take_unsent(effect.daemon_id, effect.message)

    def _take_unsent(self, daemon_id: str, message: object) -> None:
        """Settle what certainly did not leave this daemon."""
        now = self._clock()
        reason = verdicts.Reason.CONNECTION_LOST
        if isinstance(message, messages.JobOffer):
            job_id = message.job.job_id
            refused = verdicts.Refused(job_id, reason, 1.0, "no link")
            gevent.spawn(self._settle_answer, daemon_id, refused)
        elif isinstance(message, messages.BatchOffer):
            shard = self.shards[message.from_shard_id]
            result = spilling.build_unsent_result(message)
            effects = spilling.record_batch_result(shard, result, now)
            self.execute(effects)
            self._woken.set()

    def _refresh_loads(self, now: float) -> None:
        """Keep the directory right about the shards owned here."""
        for shard in self.shards.values():
            if shard.ownership_is_held(now):
                load = spilling.describe_load(shard, now)
                directory.record_load(
                    self.shard_directory, self.daemon_id, load, now
                )

    def _has_jobs(self) -> bool:
        """Return whether any job or batch is open here."""
        if self.submissions.pending:
            return True
        return bool(next(iter(self.shards.values())).groups)

    def _run_systems(self) -> None:
        now = self._clock()
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_S
            self._refresh_loads(now)
            submissions.expire(self.submissions, now, ANSWER_GRACE_S)
        self.execute(shards.run_dispatch_pass(self.shards.values(), now))
        self.execute(submissions.offer_held(self.submissions, now))
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        for job_id in self.submissions.newly_answered:
            waiter = self._waiters.pop(job_id, None)
            if waiter:
                waiter.set()
            self._outlets.on_answered(self.submissions.answered[job_id].answer)
        self.submissions.newly_answered.clear()

    def _settle_answer(self, sender: str, answer: verdicts.Answer) -> None:
        now = self._clock()
        self.execute(
            submissions.record_answer(self.submissions, sender, answer, now)
        )
        self._wake_waiters()

    def _take_job_offer(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard is None:
            return
        self.execute(intake.handle_job_offer(shard, sender, message, now))

    def _take_job_answer(self, sender, message, now) -> None:
        self._settle_answer(sender, messages.unpack_answer(message))

    def _take_job_cancel(self, sender, message, now) -> None:
        self._cancel(message.shard_id, message.job_ids, now)

    def _take_batch_cancel(self, sender, message, now) -> None:
        self._cancel(message.shard_id, message.batch_ids, now)

    def _cancel(self, shard_id: str, group_ids, now: float) -> None:
        shard = self.shards.get(shard_id)
        if shard:
            effects = intake.cancel_groups(shard, group_ids, now)
            self.execute(effects)

    def _take_job_query(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard:
            effects = intake.answer_query(
                shard, sender, message.job_id, message.task_ids, False, now
            )
            self.execute(effects)

    def _take_batch_query(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard:
            effects = intake.answer_query(
                shard, sender, message.batch_id, message.task_ids, True, now
            )
            self.execute(effects)

    def _take_batch_offer(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard is None:
            return
        self.execute(intake.handle_batch_offer(shard, sender, message, now))

    def _take_batch_result(self, sender, message, now) -> None:
        for shard in self.shards.values():
            if message.batch_id in shard.batches:
                effects = spilling.record_batch_result(shard, message, now)
                self.execute(effects)
                return

    def _take_load(self, sender, message, now) -> None:
        directory.record_load(self.shard_directory, sender, message, now)
        for shard in self.shards.values():
            effects = spilling.answer_load(shard, sender, message, now)
            self.execute(effects)

    def _take_loan_ask(self, sender, message, now) -> None:
        shard = self.shards.get(message.lender_id)
        if shard and shard.ownership_is_held(now):
            granted = loans.grant(shard.ledger, message, now)
            self.execute([tables.SendMessage(sender, granted)])

    def _take_loan_grant(self, sender, message, now) -> None:
        shard = self.shards.get(ledgers.get_borrower_id(message.loan_id))
        if shard:
            loans.accept(shard.ledger, message, now)

    def _take_loan_return(self, sender, message, now) -> None:
        shard = self.shards.get(message.lender_id)
        if shard:
            loans.record_return(shard.ledger, message, now)

    def _take_claim(self, sender, message, now) -> None:
        shard = self.shards.get(message.asked_id)
        reply = sharing.answer_claim(shard, message, now) if shard else None
        if reply:
            self.execute([tables.SendMessage(sender, reply)])

    def _take_claim_reply(self, sender, message, now) -> None:
        shard = self.shards.get(message.shard_id)
        if shard:
            sharing.record_claim_reply(shard, message, now)


def _ignore(sender: str, message: object, now: float) -> None:
    """Do nothing: the message only says that an answer will come."""
