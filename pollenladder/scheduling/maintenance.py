"""What the owner does from time to time, whether anything happens or not."""

from collections.abc import Iterable

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import intake
from pollenladder.scheduling import placement
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

ORPHAN_ENDS_KEPT_S = 3.0
# A worker whose entry has lapsed may be cut off, and obey another owner there.
LAPSED_WORKER_S = 30.0
# A gateway that is cut off hands its jobs to another owner, which starts them
# anew once a lease has lapsed; by then nothing of them may run here.
GATEWAY_GRACE_S = 0.5


def step(region: tables.Region, now: float) -> None:
    """Expire jobs, settle lapsed runs, send stops again, place again."""
    intake.expire(region, now)
    _abandon_lost_gateways(region, now)
    for worker in list(region.workers.values()):
        _settle(region, worker, now)
        if not worker.is_listed and not worker.runs:
            region.remove_worker(worker.listing.worker_id)
    _forget_orphan_ends(region, now)
    placement.place(region, now)


def mark_gateway_lost(
    region: tables.Region, gateway_id: str, now: float
) -> None:
    """Note that the link to a gateway has ended."""
    region.lost_gateways[gateway_id] = now


def mark_gateway_connected(region: tables.Region, gateway_id: str) -> None:
    """Note that there is a link to a gateway again."""
    region.lost_gateways.pop(gateway_id, None)


def _abandon_lost_gateways(region: tables.Region, now: float) -> None:
    """Stop the jobs whose gateways may have handed them to another owner."""
    lost = {
        gateway_id
        for gateway_id, at in region.lost_gateways.items()
        if now > at + GATEWAY_GRACE_S
    }
    if not lost:
        return
    for job in list(region.jobs.values()):
        if job.gateway_id in lost:
            outcome = jobs.Outcome.CANCELLED
            reason = jobs.Reason.GATEWAY_LOST
            intake.end_job(region, job, outcome, reason, now)


def update_workers(
    region: tables.Region,
    listings: Iterable[fleet.Listing],
    last_expired_at: float,
    now: float,
    is_full_list: bool = False,
) -> None:
    """Take the newest list of workers.

    Args:
        region: The tables.
        listings: The workers.
        last_expired_at: When an entry last lapsed without a farewell.
        now: Monotonic time in seconds.
        is_full_list: Whether all have just been read.
    """
    region.is_worker_list_current |= is_full_list
    region.unseen_until = last_expired_at + LAPSED_WORKER_S
    listed = {listing.worker_id: listing for listing in listings}
    for worker_id, listing in listed.items():
        worker = region.workers.get(worker_id)
        if worker is None:
            region.add_worker(fleet.Worker(listing))
            region.log_event("worker_listed", worker=worker_id)
        else:
            _update(region, worker, listing)
    for worker_id, worker in region.workers.items():
        if worker.is_listed and worker_id not in listed:
            worker.is_listed = False
            region.note_change(worker)
            region.log_event("worker_unlisted", worker=worker_id)
    _note_capacities(region)
    placement.place(region, now)


def _note_capacities(region: tables.Region) -> None:
    """Note which sizes of workers each service has."""
    sizes: dict[str, set[jobs.Resources]] = {}
    for worker in region.workers.values():
        listing = worker.listing
        sizes.setdefault(listing.service, set()).add(listing.capacity)
    region.capacities = {name: tuple(own) for name, own in sizes.items()}


def _update(
    region: tables.Region, worker: fleet.Worker, listing: fleet.Listing
) -> None:
    if listing.is_draining and not worker.listing.is_draining:
        region.log_event("worker_draining", worker=listing.worker_id)
    worker.take_listing(listing)
    worker.is_listed = True
    region.note_change(worker)


def _settle(region: tables.Region, worker: fleet.Worker, now: float) -> None:
    lapsed = have_leases_expired(worker, now)
    for run in list(worker.runs.values()):
        if lapsed and not worker.is_reachable:
            runs.release(region, worker, run, "lapsed")
        elif run.state is fleet.RunState.STOPPING:
            if now >= run.next_stop_at:
                runs.stop(region, run, now)
        elif run.is_orphan and now > run.sent_at + runs.ORPHAN_GRACE_S:
            region.log_event(
                "orphan_stopped", task=run.task, worker=run.worker_id
            )
            runs.stop(region, run, now)


def have_leases_expired(worker: fleet.Worker, now: float) -> bool:
    """Return whether every lease on a worker must have lapsed."""
    if not worker.is_synced:
        return False
    clock_s = now + worker.clock_ahead_s
    return clock_s > worker.lease_until_s + _get_margin_s(worker)


def _get_margin_s(worker: fleet.Worker) -> float:
    return runs.LAPSE_MARGIN_S + runs.MAX_CLOCK_DRIFT


def _forget_orphan_ends(region: tables.Region, now: float) -> None:
    old = now - ORPHAN_ENDS_KEPT_S
    for name, at in list(region.orphan_ends.items()):
        if at > old:
            break
        del region.orphan_ends[name]
