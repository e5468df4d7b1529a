"""The decisions without one of the rules that keep runs apart.

The search has to find an overlap in each of these, or it shows nothing.
"""

from collections.abc import Iterator
import contextlib
from unittest import mock

from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import candidates
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import tables


def _choose_expiry(
    region: tables.Region, worker: fleet.Worker, now: float
) -> float:
    """Return until when runs get a lease, also beside unclaimed ones."""
    expiry = now + region.max_lease_s
    for run in worker.runs.values():
        expiry = min(expiry, lease_limits._find_run_limit(region, run))
    return expiry


def _is_available(worker: fleet.Worker, now: float) -> bool:
    return candidates.is_usable(worker, now)


def _can_run(worker: fleet.Worker, now: float) -> bool:
    return candidates._is_ready(worker, now)


_PARTS_WITHOUT_UNCONFIRMED = tuple(
    part
    for part in maintenance._PARTS
    if part[1] is not gateway_links.remove_unconfirmed
)

# The functions that replace others, by the rule that is taken out.
TWINS = {
    "unclaimed": (
        (lease_limits, "choose_expiry", _choose_expiry),
        (candidates, "is_available", _is_available),
        (candidates, "can_run", _can_run),
    ),
    "unconfirmed": ((maintenance, "_PARTS", _PARTS_WITHOUT_UNCONFIRMED),),
}


@contextlib.contextmanager
def take_out(rule: str | None) -> Iterator[None]:
    """Take a rule out of the decisions; none if it is None."""
    with contextlib.ExitStack() as stack:
        for target, name, value in TWINS.get(rule, ()):
            stack.enter_context(mock.patch.object(target, name, value))
        yield
