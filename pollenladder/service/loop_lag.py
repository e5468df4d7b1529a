"""How late the event loop runs, and which part of new jobs that costs."""

import logging

from pollenladder.cluster import shedding
from pollenladder.logs import lines as logs

LOGGER = logging.getLogger(__name__)

LAG_DECAY = 0.8


class LoopLag:
    """The lateness of one daemon's event loop.

    Attributes:
        lag_s: Running mean, in seconds.
        shed_share: The share of new jobs that it does not take as the owner.
    """

    def __init__(self):
        self.lag_s = 0.0
        self.shed_share = 0.0

    def record(self, late_s: float, is_owner: bool) -> None:
        """Note how late the event loop has just run, in seconds."""
        self.lag_s += (1 - LAG_DECAY) * (late_s - self.lag_s)
        before = self.shed_share
        share = shedding.adjust_share(before, late_s) if is_owner else 0.0
        self.shed_share = share
        if bool(share) != bool(before):
            logs.log(
                LOGGER,
                "shedding_changed",
                share=round(share, 3),
                late_s=round(late_s, 3),
                lag_s=round(self.lag_s, 3),
            )
