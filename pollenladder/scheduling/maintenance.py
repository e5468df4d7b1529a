"""Periodic work of the owner, and changes of its workers."""

from collections.abc import Iterable

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import warmup
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import attempt_logs
from pollenladder.scheduling import displacement
from pollenladder.scheduling import effects
from pollenladder.scheduling import evacuation
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import lease_expiry
from pollenladder.scheduling import placement
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import worker_losses

ORPHAN_END_RETENTION_S = 3.0


def step(region: tables.Region, now: float) -> None:
    """Run one round of maintenance.

    Ends jobs that are out of time, releases runs with expired leases, repeats
    unconfirmed stop orders, and places waiting tasks. A part that fails
    unexpectedly does not hold up the others.
    """
    for decision, decide in _PARTS:
        region.decide(decision, "", decide, region, now)
    placement.place(region, now)


def _check_workers(region: tables.Region, now: float) -> None:
    for worker_id, worker in list(region.workers.items()):
        region.decide(
            effects.Decision.WORKER_CHECK,
            worker_id,
            _check_worker,
            region,
            worker,
            now,
        )


def _check_worker(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    _check_runs(region, worker, now)
    worker_losses.report_held_runs(region, worker, now)
    if not worker.is_listed and not worker.runs:
        region.remove_worker(worker.listing.worker_id)


def update_workers(
    region: tables.Region,
    listings: Iterable[fleet.Listing],
    now: float,
    is_full_list: bool = False,
) -> None:
    """Apply the newest list of workers.

    Args:
        region: The region.
        listings: The workers' entries.
        now: Monotonic time in seconds.
        is_full_list: Whether all entries have just been read from the store.
    """
    # A read that was begun before the claim may lack workers that an earlier
    # owner has used since.
    region.is_worker_list_current |= (
        is_full_list and region.list_history.read_at >= region.owned_since
    )
    listed = {listing.worker_id: listing for listing in listings}
    for worker_id, listing in listed.items():
        worker = region.workers.get(worker_id)
        if worker is None:
            worker = fleet.Worker(listing)
            worker.guards_capacity = (
                listing.service not in region.unguarded_services
            )
            _update_warmup(region, worker, listing, now)
            region.add_worker(worker)
            region.log_event("worker_listed", worker=worker_id)
        else:
            if listing.cold_left_s != worker.listing.cold_left_s:
                # An entry that has not changed was published some time ago.
                _update_warmup(region, worker, listing, now)
            _update_worker(region, worker, listing)
    for worker_id, worker in region.workers.items():
        if worker.is_listed and worker_id not in listed:
            worker.is_listed = False
            region.record_worker_change(worker)
            region.crashes.forget_worker(worker_id, now)
            region.log_event("worker_unlisted", worker=worker_id)
    _update_capacities(region)
    evacuation.mark_workers(region)
    evacuation.end_unservable_jobs(region, now)
    placement.place(region, now)


def _update_capacities(region: tables.Region) -> None:
    """Collect the number of workers and their distinct capacities by service."""
    sizes: dict[str, set[jobs.Resources]] = {}
    counts: dict[str, int] = {}
    for worker in region.workers.values():
        listing = worker.listing
        sizes.setdefault(listing.service, set()).add(listing.capacity)
        counts[listing.service] = (
            counts.get(listing.service, 0) + worker.is_listed
        )
    region.worker_counts = counts
    region.capacities = {name: tuple(group) for name, group in sizes.items()}


def _update_worker(
    region: tables.Region, worker: fleet.Worker, listing: fleet.Listing
) -> None:
    if listing.is_draining and not worker.listing.is_draining:
        region.log_event("worker_draining", worker=listing.worker_id)
    worker.update_listing(listing)
    worker.guards_capacity = listing.service not in region.unguarded_services
    worker.is_listed = True
    region.record_worker_change(worker)


def update_services(
    region: tables.Region,
    cold_starts: dict[str, float],
    unguarded: frozenset[str],
) -> None:
    """Apply what the configuration says about services.

    Args:
        region: The region.
        cold_starts: The times for which workers are cold, in seconds, by service.
        unguarded: The services whose workers do not reject what exceeds their
            capacity.
    """
    region.cold_starts = cold_starts
    region.unguarded_services = unguarded
    for worker in region.workers.values():
        service = worker.listing.service
        worker.cold_start_s = cold_starts.get(service, 0.0)
        worker.guards_capacity = service not in unguarded


def _update_warmup(
    region: tables.Region,
    worker: fleet.Worker,
    listing: fleet.Listing,
    now: float,
) -> None:
    cold_start_s = region.cold_starts.get(listing.service, 0.0)
    warmup.update(worker, listing.cold_left_s, cold_start_s, now)


def _check_runs(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Release expired runs, repeat stop orders, and stop unclaimed orphans."""
    if not worker.is_reachable and now > lease_expiry.find_expiry(worker):
        worker_losses.release_expired(region, worker, now)
        return
    for run in list(worker.runs.values()):
        if run.state is fleet.RunState.STOPPING:
            if now >= run.next_stop_at:
                runs.stop(region, run, now)
        elif run.is_orphan and now > run.claim_by:
            region.log_event(
                "orphan_stopped",
                task=run.task,
                run=run.number,
                worker=run.worker_id,
                granted_until_s=round(worker.granted_until_s, 3),
                clock_s=round(now + worker.clock_ahead_s, 3),
            )
            attempt_doubts.record_unclaimed_run(region, run, now)
            runs.stop(region, run, now)


def _delete_old_orphan_ends(region: tables.Region, now: float) -> None:
    # Entries are stored in order of insertion, the oldest first.
    oldest = now - ORPHAN_END_RETENTION_S
    for name, at in list(region.orphan_ends.items()):
        if at > oldest:
            break
        del region.orphan_ends[name]


# The parts of a round of maintenance, in order.
_PARTS = (
    (effects.Decision.FAILED_JOBS, job_ends.end_failed_jobs),
    (effects.Decision.EXPIRY, job_ends.expire),
    (effects.Decision.EVACUATION, evacuation.end_unservable_jobs),
    (effects.Decision.DISPLACEMENT, displacement.remove_late_jobs),
    (effects.Decision.LOST_GATEWAYS, gateway_links.remove_unconfirmed),
    (effects.Decision.WORKER_CHECK, _check_workers),
    (effects.Decision.ORPHAN_ENDS, _delete_old_orphan_ends),
    (effects.Decision.ATTEMPT_RECORDS, attempt_logs.write),
)
