"""Whether a next owner waits until the leases of the earlier one have expired.

All times count from when the gateway forwards its job to the next owner. The bounds
are computed from the constants, so that a change of one of them is noticed.
"""

import dataclasses
import math
import unittest

from pollenladder.cluster import heartbeats
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs
from pollenladder.service import engine as engines
from pollenladder.service import engine_callbacks

MAX_LEASE_S = 1.0
RESUBMISSIONS_S = (0.2, 1.0, 1.3, 9.0, math.inf)
# A lease of the greatest length on a clock that is as slow as it may be.
LONGEST_S = MAX_LEASE_S / (1 - runs.MAX_CLOCK_DRIFT)
DRIFT_S = LONGEST_S - MAX_LEASE_S


@dataclasses.dataclass(frozen=True)
class Loss:
    """A way in which a gateway comes to forward its job to another owner.

    Attributes:
        name: The name of the case.
        heard_at: When the earlier owner last hears the gateway.
    """

    name: str
    heard_at: float


LOSSES = (
    # The last heartbeat was sent up to an interval before the partition.
    Loss(
        "both are silent to each other",
        heartbeats.MIN_INTERVAL_S - heartbeats.choose_timeout_s(0, True),
    ),
    Loss(
        "a distant owner, both are silent to each other",
        heartbeats.DISTANT_OWNER_INTERVAL_S
        - heartbeats.choose_distant_timeout_s(False, True, 0, 0.0),
    ),
    Loss("only the owner's heartbeats are lost", lease_limits.ARRIVAL_S),
    Loss("the connection is reset", lease_limits.ARRIVAL_S),
    Loss(
        "a new layout, the cancellation is lost with the link",
        lease_limits.ARRIVAL_S,
    ),
)


class HandoverDelayTest(unittest.TestCase):
    """Guards against a second run of a task beside the earlier owner's."""

    def _build_region(self, resubmission_s: float) -> tables.Region:
        engine = engines.Engine(
            MAX_LEASE_S,
            engine_callbacks.Callbacks(
                answer=lambda gateway_id, answer: None,
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: 0.0,
                count=lambda decision: None,
            ),
            lambda: 0.0,
            resubmission_s=resubmission_s,
        )
        engine.claim(1, reads_store=True)
        return engine.region

    def _find_last_renewal(self, loss: Loss, resubmission_s: float) -> float:
        """Return when an owner that is not paused last renews the lease.

        It notices the end of the attempt's lease up to two ticks late, and its stop is
        repeated once, on the next tick.
        """
        lease_s = attempt_leases.choose_lease_s(resubmission_s)
        expired_at = loss.heard_at + lease_s + 2 * engines.TICK_S
        return expired_at + runs.STOP_RETRY_S + engines.TICK_S

    def test_leases_of_an_owner_that_is_not_paused_expire_first(self):
        for loss in LOSSES:
            for resubmission_s in RESUBMISSIONS_S:
                region = self._build_region(resubmission_s)
                end = self._find_last_renewal(loss, resubmission_s) + LONGEST_S
                with self.subTest(loss.name, resubmission_s=resubmission_s):
                    self.assertLess(
                        end, unknown_runs.get_lease_expiry(region, 0.0)
                    )

    def test_leases_of_a_paused_owner_expire_first(self):
        # It ends no attempt in time, but no lease outlasts the limit; see
        # tests.service.test_paused_owner.
        for loss in LOSSES:
            for resubmission_s in RESUBMISSIONS_S:
                region = self._build_region(resubmission_s)
                end = loss.heard_at + region.run_limit_s + DRIFT_S
                with self.subTest(loss.name, resubmission_s=resubmission_s):
                    self.assertLess(
                        end, unknown_runs.get_lease_expiry(region, 0.0)
                    )

    def test_run_is_stopped_well_before_its_task_starts_again(self):
        for resubmission_s in RESUBMISSIONS_S:
            region = self._build_region(resubmission_s)
            self.assertLess(
                attempt_leases.choose_lease_s(resubmission_s)
                + attempt_leases.STOP_ALLOWANCE_S,
                unknown_runs.get_lease_expiry(region, 0.0) - LONGEST_S,
            )
