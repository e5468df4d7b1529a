"""A simulated cluster of shards that share the allowance of one plan.

The network may lose, repeat and reorder messages. The cluster keeps the tasks
that really run, to be compared with what the ledgers record.
"""

import dataclasses

from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.plans import takeover

PLAN = "checks"
TERM_S = 10.0
MARGIN_S = 0.5
STARTS_PER_S = 1000.0
BURST = 10


@dataclasses.dataclass
class Run:
    """A task that runs until `until`, even if its owner has died."""

    shard_id: str
    unit: ledgers.Unit
    until: float


class Cluster:
    """Shards that share one plan; each owner's clock has its own offset.

    `starts_per_s` and `burst` are those of each unit of the allowance.
    """

    def __init__(
        self,
        shards: int,
        allowance: int,
        max_run_s: float,
        starts_per_s: float = STARTS_PER_S,
        burst: int = BURST,
    ):
        self.starts_per_s = starts_per_s
        self.burst = burst
        self.max_run_s = max_run_s
        self.now = 100.0
        self.allowance = allowance
        self.ids = [f"dc/{i}" for i in range(shards)]
        self.epochs = dict.fromkeys(self.ids, 0)
        self.offsets = {s: 7.0 * i for i, s in enumerate(self.ids)}
        self.ledgers: dict[str, ledgers.Ledger] = {}
        self.runs: list[Run] = []
        self.messages: list[tuple[str, str, object]] = []
        self.partitions: set[frozenset[str]] = set()
        for shard_id in self.ids:
            self.replace(shard_id)
        for shard_id in self.ids:
            self.deliver_worker_grant(shard_id)
        self.settle()

    def clock(self, shard_id):
        return self.now + self.offsets[shard_id]

    def replace(self, shard_id):
        """Replace the shard's owner, which died, by a new one."""
        self.epochs[shard_id] += 1
        self.offsets[shard_id] += 1000.0
        ledger = ledgers.Ledger(shard_id, TERM_S, MARGIN_S)
        others = [other for other in self.ids if other != shard_id]
        now = self.clock(shard_id)
        epoch = self.epochs[shard_id]
        takeover.begin_takeover(ledger, epoch, others, ["w"], now)
        share = escrow.split(self.allowance, self.ids)[shard_id]
        rate, burst = self.starts_per_s * share, self.burst * share
        escrow.set_share(ledger, PLAN, share, rate, burst, now)
        self.ledgers[shard_id] = ledger
        for other in others:
            self.claim(shard_id, other)

    def claim(self, shard_id, other):
        self.send(other, shard_id, ("claim", self.epochs[shard_id]))

    def deliver_worker_grant(self, shard_id):
        """Deliver the worker's lease grant, which lists its running tasks."""
        running = sum(run.shard_id == shard_id for run in self.runs)
        now = self.clock(shard_id)
        takeover.record_worker_reply(
            self.ledgers[shard_id],
            "w",
            {PLAN: running},
            now + self.max_run_s,
            now,
        )

    def send(self, to, sender, message):
        if frozenset((to, sender)) not in self.partitions:
            self.messages.append((to, sender, message))

    def start(self, shard_id, run_s):
        """Start a task of `run_s` seconds; return whether a unit was free."""
        now = self.clock(shard_id)
        unit = escrow.take(self.ledgers[shard_id], PLAN, self.max_run_s, now)
        if unit is not None:
            until = self.now + min(run_s, self.max_run_s)
            self.runs.append(Run(shard_id, unit, until))
            escrow.hold(self.ledgers[shard_id], unit, now + self.max_run_s)
        return unit is not None

    def advance(self, seconds):
        """Advance the time; tasks that end free their units."""
        self.now += seconds
        for run in [run for run in self.runs if run.until <= self.now]:
            self.runs.remove(run)
            ledger = self.ledgers[run.shard_id]
            if ledger.epoch == self.epochs[run.shard_id]:
                account = escrow.refresh_account(
                    ledger, PLAN, self.clock(run.shard_id)
                )
                if account.units.get(run.unit.unit_id) is run.unit:
                    escrow.give_back(ledger, run.unit, self.clock(run.shard_id))

    def tick(self, shard_id, waiting):
        """Send an owner's loan requests, returns and claims that are due."""
        ledger, now = self.ledgers[shard_id], self.clock(shard_id)
        for request in loans.choose_requests(ledger, {PLAN: waiting}, now):
            self.send(request.lender_id, shard_id, request)
        for returned in loans.choose_returns(ledger, now):
            self.send(returned.lender_id, shard_id, returned)
        for other in takeover.list_unanswered_shards(ledger, now):
            self.claim(shard_id, other)

    def deliver(self, index, keep=False):
        """Deliver any one message; with `keep`, it stays to be repeated."""
        if not self.messages:
            return
        index %= len(self.messages)
        entry = self.messages[index] if keep else self.messages.pop(index)
        to, sender, message = entry
        if frozenset((to, sender)) in self.partitions:
            return
        ledger, now = self.ledgers[to], self.clock(to)
        match message:
            case loans.LoanRequest():
                self.send(sender, to, loans.grant(ledger, message, now))
            case loans.LoanGrant():
                loans.accept(ledger, message, now)
            case loans.LoanReturn():
                loans.record_return(ledger, message, now)
            case ("claim", epoch):
                held = takeover.list_held_from(ledger, sender, epoch, now)
                self.send(sender, to, ("held", epoch, held))
            case ("held", epoch, held):
                if epoch == ledger.epoch:
                    takeover.record_claim_reply(ledger, sender, held, now)

    def drop(self, index):
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def settle(self):
        """Deliver all messages, including those sent in reply."""
        for _ in range(10):
            for shard_id in self.ids:
                self.tick(shard_id, 0)
            while self.messages:
                self.deliver(0)
