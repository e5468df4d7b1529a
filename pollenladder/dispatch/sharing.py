"""Move allowance between shards: claims of a new owner, loans and returns."""

import collections
import dataclasses

from pollenladder.dispatch import tables
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.plans import takeover
from pollenladder.wire import messages

INTERVAL_S = 0.1
CLAIM_INTERVAL_S = 0.5


def share(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Ask for what is missing and give up what is not needed."""
    if now < shard.next_sharing_at or not shard.ownership_is_held(now):
        return []
    shard.next_sharing_at = now + INTERVAL_S
    effects = _claim(shard, now)
    stalled: collections.Counter[str] = collections.Counter()
    for (_, plan_id), tasks in shard.stalled.items():
        stalled[plan_id] += tasks
    asks = loans.choose_requests(shard.ledger, stalled, now)
    returns = loans.choose_returns(shard.ledger, now)
    for message in [*asks, *returns]:
        effects += _send(shard, message.lender_id, message)
    return effects


def _claim(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Ask the owners that have not answered what they hold from this shard."""
    if now < shard.next_claim_at:
        return []
    shard.next_claim_at = now + CLAIM_INTERVAL_S
    effects: list[tables.Effect] = []
    for asked_id in takeover.list_unanswered_shards(shard.ledger, now):
        claim = messages.Claim(shard.shard_id, shard.ledger.epoch, asked_id)
        effects += _send(shard, asked_id, claim)
    return effects


def answer_claim(
    shard: tables.Shard, claim: messages.Claim, now: float
) -> messages.ClaimReply | None:
    """Say what this shard holds from the claimed one; only its owner can."""
    if not shard.ownership_is_held(now):
        return None
    held = takeover.list_held_from(
        shard.ledger, claim.shard_id, claim.epoch, now
    )
    return messages.ClaimReply(
        claim.shard_id,
        claim.epoch,
        shard.shard_id,
        held is not None,
        tuple(held or ()),
    )


def record_claim_reply(
    shard: tables.Shard, reply: messages.ClaimReply, now: float
) -> None:
    """Take in the answer to a claim of this shard's present epoch."""
    if reply.epoch != shard.ledger.epoch:
        return
    held = reply.held if reply.is_known else None
    takeover.record_claim_reply(shard.ledger, reply.asked_id, held, now)


def get_unit_left_s(
    shard: tables.Shard, unit: ledgers.Unit, now: float
) -> float:
    """Return for how long a unit may be used, as others count it."""
    if not unit.loan_id:
        return shard.ledger.term_s
    row = shard.ledger.accounts[unit.plan_id]
    loan = row.borrowed.get(unit.loan_id)
    return loan.until - now if loan else 0.0


@dataclasses.dataclass(frozen=True)
class AllowanceUse:
    """What a shard holds and uses of a plan.

    Attributes:
        share: Units it may use: its own and borrowed ones, less those lent.
        in_use: Units in use.
        waiting: Tasks that wait.
    """

    share: int
    in_use: int
    waiting: int


def describe_allowance_use(
    shard: tables.Shard, plan_id: str, now: float
) -> AllowanceUse:
    """Return what the shard holds and uses of a plan."""
    row = escrow.refresh_account(shard.ledger, plan_id, now)
    lent = sum(loan.units for loan in row.lent.values())
    borrowed = sum(loan.units for loan in row.borrowed.values())
    waiting = sum(
        line.tasks
        for (_, line_plan_id), line in shard.queue.lines.items()
        if line_plan_id == plan_id
    )
    return AllowanceUse(row.base - lent + borrowed, len(row.units), waiting)


def _send(
    shard: tables.Shard, shard_id: str, message: object
) -> list[tables.Effect]:
    entry = shard.shard_directory.entries.get(shard_id)
    if entry is None:
        return []
    return [tables.SendMessage(entry.daemon_id, message)]
