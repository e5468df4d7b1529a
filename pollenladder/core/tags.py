"""The numeric tags of the messages between daemons.

The tag of a removed message must not be reused for another one.
"""

from pollenladder.plans import loans
from pollenladder.wire import codec
from pollenladder.wire import messages

TAGS = (
    (1, messages.Digest),
    (2, messages.JobOffer),
    (3, messages.JobAnswer),
    (4, messages.JobCancel),
    (5, messages.JobQuery),
    (6, messages.JobPending),
    (7, messages.BatchOffer),
    (8, messages.BatchResult),
    (9, messages.BatchCancel),
    (10, messages.BatchQuery),
    (11, messages.BatchPending),
    (12, messages.ShardLoad),
    (13, messages.DeclarationsPush),
    (14, messages.JobLookup),
    (15, messages.JobLookupReply),
    (16, messages.Claim),
    (17, messages.ClaimReply),
    (18, loans.LoanRequest),
    (19, loans.LoanGrant),
    (20, loans.LoanReturn),
    (21, messages.DeclarationsDelta),
    (22, messages.WorkerDrain),
    (23, messages.WorkerDrainReply),
)


def build_codec() -> codec.Codec:
    """Return the codec for the messages on all links."""
    return codec.Codec(TAGS)
