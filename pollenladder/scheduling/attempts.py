"""The attempts that wait for a job.

A caller whose connection breaks submits its job again, through any gateway, while
the attempt before may still be open. The job goes on as long as an attempt waits
for it, and each attempt gets an answer of its own.
"""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt that waits for a job. Times are monotonic, in seconds.

    The attempt is unconfirmed after a change of the link to its gateway, until the
    gateway forwards it again. The cancellation of the attempt may have been lost
    with the link.

    Attributes:
        number: The attempt's number; see `jobs.Answer`.
        gateway_id: The daemon to which its answer is sent.
        first_run: The lowest run number of the attempt's last forward.
        unconfirmed_since: When the gateway was last heard before the link first
            changed after the last forward; infinite if it has not.
        confirm_by: Until when the gateway has to forward the attempt again.
        link_changed_at: When the link first changed after the last forward.
    """

    number: int
    gateway_id: str
    first_run: int
    unconfirmed_since: float = math.inf
    confirm_by: float = math.inf
    link_changed_at: float = math.inf
