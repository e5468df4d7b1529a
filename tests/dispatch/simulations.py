"""Fixtures for dispatch tests: plans, jobs, shards and a simulation.

In the simulation, messages between daemons may be lost, delayed or repeated,
daemons may die, and the runs of each task are counted.
"""

import collections
import dataclasses
import math

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
from pollenladder.membership import leases
from pollenladder.plans import declarations
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.wire import messages

TERM_S = 10.0
MAX_RUN_S = 2.0
RAN = verdicts.Verdict.RAN
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
# Outcomes of a start: its verdict, its reason, and whether the task has run.
START_OUTCOMES = {
    "ok": (RAN, verdicts.Reason.OK, True),
    "error": (RAN, verdicts.Reason.TASK_ERROR, True),
    "busy": (NOT_RUN, verdicts.Reason.BUSY, False),
    "lost_reply": (MAY_HAVE_RUN, verdicts.Reason.NO_REPLY, True),
    "lost_request": (MAY_HAVE_RUN, verdicts.Reason.NO_REPLY, False),
}


def make_plan(plan_id="p", running=1000, rate=1e5, burst=1000, **changes):
    kinds = {"k": declarations.Kind("k", True, MAX_RUN_S)}
    allowance = declarations.Allowance(running, rate, burst)
    plan = declarations.Plan(plan_id, allowance, 5.0, 1.0, kinds)
    return dataclasses.replace(plan, **changes)


def make_job(job_id, tasks=1, customer="c", plan="p", key=None, **changes):
    rows = tuple(
        entities.Task(f"t{i}", "k", f"{key or job_id}/{i}")
        for i in range(tasks)
    )
    job = entities.Job(job_id, customer, plan, rows, 5.0, key)
    return dataclasses.replace(job, **changes)


def become_owner(shard, epoch, now):
    """Give a daemon live leases on all workers, and end the takeover."""
    state = shard.ownership
    state.epoch, state.phase = epoch, leases.Phase.OWNER
    for worker_id in shard.workers:
        row = leases.WorkerLease(worker_id, epoch=epoch, lease_until=math.inf)
        state.leases[worker_id] = row
    shards.become_owner(shard, now)
    escrow.end_takeover(shard.ledger, now)


def make_shard(
    shard_id="dc/0",
    daemon="d",
    ids=(),
    shard_directory=None,
    workers=2,
    sibling=None,
    **limits,
):
    """Return a shard that is owned with epoch 1 since time 100."""
    shard = shards.build(
        shard_id=shard_id,
        daemon_id=daemon,
        incarnation="1",
        limits=tables.Limits(**limits),
        shard_directory=shard_directory or directory.Directory(),
        all_shard_ids=ids or (shard_id,),
        loan_term_s=TERM_S,
        loan_margin_s=1.0,
        sibling=sibling,
    )
    for i in range(workers):
        worker_id = f"{shard_id}w{i}"
        shard.workers[worker_id] = tables.Worker(worker_id, 2)
    declared = declarations.Declarations(1, {"p": make_plan()}, {}, {})
    shards.apply_declarations(shard, declared, 100.0)
    become_owner(shard, 1, 100.0)
    return shard


def get_target(message):
    """Return the id of the shard that a message is addressed to, or None."""
    if isinstance(message, messages.Claim):
        return message.asked_id
    if isinstance(message, loans.LoanGrant):
        return ledgers.get_borrower_id(message.loan_id)
    if isinstance(message, loans.LoanRequest | loans.LoanReturn):
        return message.lender_id
    return getattr(message, "shard_id", None)


class DispatchSimulation:
    """Daemons that own shards and serve as gateways; the first owns two shards.

    Attributes:
        now: Monotonic time in seconds.
        ids: Ids of all shards.
        names: Ids of all daemons.
        dead: Daemons that have been killed.
        in_transit: Messages on their way, as (receiver, sender, message).
        starts: Starts without an outcome, as (daemon, effect).
        stops: Stops sent to workers.
        sent: Number of messages sent by type.
        runs: Number of runs of each task by start id.
        jobs: Submitted jobs by id.
        answers: Final answers by job id, in order.
        owned: One shard of each daemon, by daemon.
        gateways: The submissions of each daemon, by daemon.
    """

    def __init__(self, daemons=3, **limits):
        self.now = 110.0
        self.ids = ("dc0/0", *(f"dc{i}/0" for i in range(1, daemons)), "dc0/1")
        self.names = [f"d{i}" for i in range(daemons)]
        self.dead = set()
        self.in_transit = []
        self.starts = []
        self.stops = []
        self.sent = collections.Counter()
        self.runs = collections.Counter()
        self.jobs = {}
        self.answers = collections.defaultdict(list)
        self.owned = {}
        self.gateways = {}
        for name, shard_id in zip(self.names, self.ids, strict=False):
            shard_directory = directory.Directory()
            shard = make_shard(
                shard_id, name, self.ids, shard_directory, **limits
            )
            self.owned[name] = shard
            data_centre = shard.data_centre
            self.gateways[name] = submissions.Submissions(
                data_centre, shard_directory, 60.0
            )
        first = self.owned["d0"]
        make_shard(
            "dc0/1", "d0", self.ids, first.shard_directory, 1, first, **limits
        )
        self.exchange_loads()

    def exchange_loads(self):
        """Let all live daemons receive the loads of all owned shards."""
        for sender in self.list_live():
            for shard in self.owned[sender].local_shards.values():
                load = spilling.describe_load(shard, self.now)
                for name in self.list_live():
                    shard_directory = self.owned[name].shard_directory
                    directory.record_load(
                        shard_directory, sender, load, self.now
                    )

    def list_live(self):
        return [name for name in self.names if name not in self.dead]

    def submit(self, name, job):
        self.jobs[job.job_id] = job
        gateway = self.gateways[name]
        self.execute(name, submissions.submit(gateway, job, self.now))

    def cancel(self, name, job_id):
        self.execute(
            name, submissions.cancel(self.gateways[name], job_id, self.now)
        )

    def execute(self, name, effects):
        """Carry out a daemon's effects and collect its new answers."""
        for effect in effects:
            if isinstance(effect, tables.StartTask):
                self.starts.append((name, effect))
            elif isinstance(effect, tables.StopTasks):
                self.stops.append(effect)
            else:
                self.sent[type(effect.message)] += 1
                self.in_transit.append((effect.daemon_id, name, effect.message))
        gateway = self.gateways[name]
        for job_id in gateway.newly_answered:
            self.answers[job_id].append(gateway.answered[job_id].answer)
        gateway.newly_answered.clear()

    def tick(self, name):
        """Run one dispatch pass and the gateway's expiry at a daemon."""
        if name in self.dead:
            return
        shard, gateway = self.owned[name], self.gateways[name]
        owned = shard.local_shards.values()
        self.execute(name, shards.run_dispatch_pass(owned, self.now))
        self.execute(name, submissions.offer_held(gateway, self.now))
        submissions.expire(gateway, self.now, 0.5)
        self.execute(name, [])

    def deliver(self, index=0, repeat=False):
        """Deliver one message, which stays in transit if it is repeated."""
        if not self.in_transit:
            return
        index %= len(self.in_transit)
        item = self.in_transit[index] if repeat else self.in_transit.pop(index)
        if item[0] not in self.dead:
            self.execute(item[0], self.handle(*item))

    def handle(self, name, sender, message):
        """Return the effects of a message that a daemon receives."""
        shard, gateway, now = self.owned[name], self.gateways[name], self.now
        shard = shard.local_shards.get(get_target(message), shard)
        match message:
            case messages.JobOffer():
                return intake.handle_job_offer(shard, sender, message, now)
            case messages.JobAnswer():
                answer = messages.unpack_answer(message)
                return submissions.record_answer(gateway, sender, answer, now)
            case messages.JobCancel(_, ids) | messages.BatchCancel(_, ids):
                return intake.cancel_groups(shard, ids, now)
            case messages.JobQuery(_, group_id, task_ids):
                return intake.answer_query(
                    shard, sender, group_id, task_ids, False, now
                )
            case messages.BatchQuery(_, group_id, task_ids):
                return intake.answer_query(
                    shard, sender, group_id, task_ids, True, now
                )
            case messages.BatchOffer():
                return intake.handle_batch_offer(shard, sender, message, now)
            case messages.BatchResult():
                return spilling.record_batch_result(shard, message, now)
            case messages.ShardLoad():
                directory.record_load(
                    shard.shard_directory, sender, message, now
                )
                return spilling.answer_load(shard, sender, message, now)
            case loans.LoanRequest():
                granted = loans.grant(shard.ledger, message, now)
                return [tables.SendMessage(sender, granted)]
            case loans.LoanGrant():
                loans.accept(shard.ledger, message, now)
            case loans.LoanReturn():
                loans.record_return(shard.ledger, message, now)
            case messages.Claim():
                reply = sharing.answer_claim(shard, message, now)
                return [tables.SendMessage(sender, reply)] if reply else []
            case messages.ClaimReply():
                sharing.record_claim_reply(shard, message, now)
        return []

    def finish_start(self, index=0, end="ok"):
        """End one start; count its run even if the owner gets no reply."""
        if not self.starts:
            return
        name, effect = self.starts.pop(index % len(self.starts))
        verdict, reason, ran = START_OUTCOMES[end]
        self.runs[effect.start_id] += ran
        output = effect.task.payload if end == "ok" else None
        result = verdicts.TaskResult(
            effect.task.task_id, verdict, reason, output, 0.1
        )
        if name not in self.dead:
            home = self.owned[name].local_shards[effect.home_shard_id]
            outcome = completion.record_start_outcome(
                home, effect, result, self.now
            )
            self.execute(name, outcome)

    def reconnect(self, a, b, lost=lambda i: True):
        """Break and restore the link of two daemons.

        Args:
            a: One daemon.
            b: The other daemon.
            lost: Whether the link loses its i-th message; others arrive late.
        """
        between = [
            f for f in self.in_transit if set(f[:2]) == {a, b} and a != b
        ]
        for i, item in enumerate(between):
            if lost(i):
                self.in_transit.remove(item)
        for name, other in ((a, b), (b, a)):
            if a == b or {a, b} & self.dead:
                return
            gateway = self.gateways[name]
            self.execute(name, submissions.query_jobs(gateway, other))
            for shard in self.owned[name].local_shards.values():
                self.execute(name, spilling.query_batches(shard, other))

    def kill(self, dead):
        """End a daemon; the tasks that it started continue on the workers."""
        self.dead.add(dead)
        for name in self.list_live():
            self.declare_dead(name, dead)

    def declare_dead(self, name, other):
        """Let a daemon treat another as dead, whether or not it is."""
        self.in_transit = [
            f for f in self.in_transit if set(f[:2]) != {name, other}
        ]
        shard = self.owned[name]
        directory.forget_daemon(shard.shard_directory, other)
        submissions.fail_jobs_of_daemon(self.gateways[name], other, self.now)
        effects = []
        for owned in shard.local_shards.values():
            effects += spilling.settle_lost_batches(owned, other, self.now)
            effects += intake.cancel_jobs_of_gateway(owned, other, self.now)
        self.execute(name, effects)

    def run_to_end(self, end="ok"):
        """Deliver all messages and end all starts while time passes."""
        for _ in range(60):
            while self.in_transit:
                self.deliver()
            for name in self.list_live():
                self.tick(name)
            while self.starts:
                self.finish_start(0, end)
            self.now += 0.25
