"""Exchange of allowance between shards: claims, loans and returns."""

import collections
import dataclasses

from pollenladder.dispatch import tables
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import loans
from pollenladder.plans import takeover
from pollenladder.wire import messages

# Time between two rounds of loan requests and returns.
SHARING_INTERVAL_S = 0.1
# Time after which an unanswered claim is sent again.
CLAIM_INTERVAL_S = 0.5


def balance_allowance(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Send unanswered claims, request missing loans, and return unused ones.

    Returns:
        Claims of a new owner, loan requests and loan returns to send.
    """
    if now < shard.next_sharing_at or not shard.ownership_is_held(now):
        return []
    shard.next_sharing_at = now + SHARING_INTERVAL_S
    effects = _send_claims(shard, now)
    awaiting_allowance: collections.Counter[str] = collections.Counter()
    for (_, plan_id), tasks in shard.awaiting_allowance.items():
        awaiting_allowance[plan_id] += tasks
    requests = loans.choose_requests(shard.ledger, awaiting_allowance, now)
    returns = loans.choose_returns(shard.ledger, now)
    for message in [*requests, *returns]:
        effects += _send(shard, message.lender_id, message)
    return effects


def _send_claims(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Send this owner's claim to the shards that have not answered it yet.

    The claim asks which units of this shard they hold.
    """
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
    """Answer a claim: report which units of the claimed shard this one holds.

    From then on, this shard refuses grants and tasks of the claimed shard's
    earlier owners.

    Returns:
        The reply, or None if this daemon doesn't own the asked shard.
    """
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
    """Record the reply to a claim; replies to earlier epochs are ignored."""
    if reply.epoch != shard.ledger.epoch:
        return
    held = reply.held if reply.is_known else None
    takeover.record_claim_reply(shard.ledger, reply.asked_id, held, now)


def get_unit_remaining_s(
    shard: tables.Shard, unit: ledgers.Unit, now: float
) -> float:
    """Return how many more seconds an offloaded task may use a unit.

    A borrowed unit may be used until its loan ends. An own unit may be used for
    one loan term, after which a new owner of this shard assumes that it is
    free.
    """
    if not unit.loan_id:
        return shard.ledger.term_s
    account = shard.ledger.accounts[unit.plan_id]
    loan = account.borrowed.get(unit.loan_id)
    return loan.until - now if loan else 0.0


@dataclasses.dataclass(frozen=True)
class AllowanceUse:
    """A shard's use of a plan's allowance.

    Attributes:
        share: Units that the shard may use: its own and borrowed ones, less
            those lent.
        in_use: Units in use.
        waiting: Number of waiting tasks of the plan.
    """

    share: int
    in_use: int
    waiting: int


def describe_allowance_use(
    shard: tables.Shard, plan_id: str, now: float
) -> AllowanceUse:
    """Return the shard's share of a plan's allowance and the part in use."""
    account = escrow.refresh_account(shard.ledger, plan_id, now)
    lent = sum(loan.units for loan in account.lent.values())
    borrowed = sum(loan.units for loan in account.borrowed.values())
    waiting = sum(
        flow.tasks
        for (_, flow_plan_id), flow in shard.queue.flows.items()
        if flow_plan_id == plan_id
    )
    return AllowanceUse(
        account.base - lent + borrowed, len(account.units), waiting
    )


def _send(
    shard: tables.Shard, shard_id: str, message: object
) -> list[tables.Effect]:
    """Return the message to a shard's owner; nothing if it is unknown."""
    entry = shard.shard_directory.entries.get(shard_id)
    if entry is None:
        return []
    return [tables.SendMessage(entry.daemon_id, message)]
