"""Measure the event loop's lag and derive the share of jobs to refuse."""

import logging

from pollenladder.cluster import shedding
from pollenladder.logs import lines as logs

LOGGER = logging.getLogger(__name__)

# Weight of the previous mean when a measurement is added.
LAG_DECAY = 0.8


class LoopLag:
    """The lag of this daemon's event loop.

    Attributes:
        lag_s: The exponentially weighted mean lag, in seconds.
        shed_share: The share of new jobs to refuse while this daemon is the
            owner, 0 to 1.
    """

    def __init__(self):
        self.lag_s = 0.0
        self.shed_share = 0.0

    def record(self, late_s: float, is_owner: bool) -> None:
        """Add a measurement of the event loop's lag.

        Args:
            late_s: The measured lag, in seconds.
            is_owner: Whether this daemon is the owner.
        """
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
