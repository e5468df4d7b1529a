"""What is done to a site, and the times that are measured then."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time

import gevent

from bench.margins import figures
from bench.margins import sites
from standins import site as standin_sites

# Limit for all that is observed after a fault.
OBSERVED_S = 3.0
OBSERVATION_INTERVAL_S = 0.01
# Reading logs takes more time than observing leases.
LOG_INTERVAL_S = 0.1
# For how long runs are observed after the next owner is followed.
ADOPTION_S = 0.5
# Stand-in workers note that a lease has expired with the next call. It is not awaited
# for longer than this.
NOTE_LAPSE_S = 0.3
# An owner is suspended up to this time after the gateway has fallen silent, while the
# lease of the attempt lasts.
MAX_FREEZE_DELAY_S = 0.9

Fault = Callable[[sites.Site, str], None]


@dataclasses.dataclass(frozen=True)
class Case:
    """A case to measure.

    Attributes:
        name: The name of the case.
        prepare: Starts the jobs, before the load begins.
        measure: Brings the fault about and returns what was measured.
    """

    name: str
    prepare: Callable[[sites.Site], list[sites.Job]]
    measure: Callable[[sites.Site, list[sites.Job]], list[figures.Sample]]


def observe(jobs: Sequence[sites.Job], limit_s: float = OBSERVED_S) -> None:
    """Observe the leases of runs until all runs are over, or for a limited time."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        for job in jobs:
            if job.run.ended_s is None:
                job.lease_end_s = job.worker.lease_expires_s
        if all(is_run_over(job) for job in jobs):
            return
        gevent.sleep(OBSERVATION_INTERVAL_S)


def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition on the logs holds, or for a limited time."""
    end_s = time.monotonic() + OBSERVED_S
    while not condition() and time.monotonic() < end_s:
        gevent.sleep(LOG_INTERVAL_S)


def is_run_over(job: sites.Job) -> bool:
    """Return whether a run has ended, or its lease expired some time ago."""
    has_lapsed = time.monotonic() > job.lease_end_s + NOTE_LAPSE_S
    return job.run.ended_s is not None or has_lapsed


def find_end(job: sites.Job) -> float:
    """Return when a run was over, monotonic, in seconds.

    The stand-in worker may end a run whose lease has expired before.
    """
    if job.run.ended_s is None:
        return job.lease_end_s
    return min(job.run.ended_s, job.lease_end_s)


def describe_end(job: sites.Job) -> str:
    """Return how a run has ended, or that it has not."""
    if job.run.ended_s is None:
        has_lapsed = job.lease_end_s < time.monotonic()
        return "lease expired" if has_lapsed else "still running"
    return job.run.how


def start_at_both(
    site: sites.Site, prefix: str = standin_sites.PREFIX
) -> list[sites.Job]:
    """Start a job in each group through a daemon that owns none."""
    gateway = site.list_idle_daemons("norte")[0]
    return [site.start_job(gateway, group, prefix) for group in sites.GROUPS]


def start_at_one(site: sites.Site) -> list[sites.Job]:
    """Start jobs of one group through a daemon of each data centre."""
    gateways = [site.list_idle_daemons(one)[0] for one in sites.DATA_CENTRES]
    return [site.start_job(gateway, sites.GROUPS[0]) for gateway in gateways]


def cut_from_owners(site: sites.Site, gateway: str) -> None:
    """Cut a gateway off from the owners alone, so that it claims no group."""
    site.cut(gateway, tuple(site.get_owner(group) for group in sites.GROUPS))


def lose_gateway(name: str, fault: Fault) -> Case:
    """Return the case that a gateway is lost while its jobs are under way."""

    def measure(
        site: sites.Site, jobs: list[sites.Job]
    ) -> list[figures.Sample]:
        gateway = jobs[0].gateway
        owners = {job.group: site.get_owner(job.group) for job in jobs}
        fault_s = time.monotonic()
        fault(site, gateway)
        observe(jobs)
        gevent.sleep(0.1)
        site.read_logs()
        samples = []
        for job in jobs:
            last_s = site.links.last_sent_s[gateway, owners[job.group]]
            samples += _measure_end(site, job, name, last_s, fault_s)
        return samples

    return Case(f"gateway {name}", start_at_both, measure)


def _measure_end(
    site: sites.Site, job: sites.Job, name: str, last_s: float, fault_s: float
) -> list[figures.Sample]:
    case = f"gateway {name}"
    how = describe_end(job)
    end_s = find_end(job)
    samples = [
        figures.Sample(f"{case}: last frame to end ({how})", end_s - last_s),
        figures.Sample(f"{case}: loss to end ({how})", end_s - fault_s),
    ]
    removed_s = next(
        (
            line.at_s
            for line in site.find_lines("attempt_removed", fault_s)
            if line.fields["job"] == job.job_id
        ),
        None,
    )
    if removed_s is not None:
        samples += [
            figures.Sample(
                f"{case}: last frame to attempt_removed", removed_s - last_s
            ),
            figures.Sample(
                f"{case}: attempt_removed to end ({how})", end_s - removed_s
            ),
        ]
    return samples


def freeze_both(data_centre: str) -> Case:
    """Return the case that a gateway and then the owner are suspended.

    In the data centre of the owner, two daemons of three are lost then, so that the
    third one claims nothing.

    Args:
        data_centre: The data centre of the gateway.
    """
    name = f"gateway of {data_centre} and owner frozen"
    group = sites.GROUPS[0]

    def prepare(site: sites.Site) -> list[sites.Job]:
        gateway = site.list_idle_daemons(data_centre)[0]
        return [site.start_job(gateway, group)]

    def measure(
        site: sites.Site, jobs: list[sites.Job]
    ) -> list[figures.Sample]:
        (job,) = jobs
        owner = site.get_owner(group)
        site.freeze(job.gateway)
        gevent.sleep(site.rng.uniform(0.0, MAX_FREEZE_DELAY_S))
        fault_s = time.monotonic()
        site.freeze(owner)
        observe(jobs)
        site.read_logs()
        last_s = site.links.last_sent_s[job.gateway, owner]
        lost = _list_losses(site, group, owner, fault_s)
        samples = [
            figures.Sample(
                f"{name}: last frame to end of the lease",
                job.lease_end_s - last_s,
            ),
            figures.Sample(
                f"{name}: last frame to end ({describe_end(job)})",
                find_end(job) - last_s,
            ),
        ]
        if job.run.how == "lapsed":
            late_s = job.run.ended_s - job.lease_end_s
            samples.append(
                figures.Sample("stand-in: end noted after the lease", late_s)
            )
        return samples + _measure_runs(name, jobs, lost)

    return Case(name, prepare, measure)


def leave_callers() -> Case:
    """Return the case that callers leave, and others never notice an answer."""

    def prepare(site: sites.Site) -> list[sites.Job]:
        waiting = start_at_both(site, sites.SHORT_PREFIX)
        return waiting + start_at_both(site) + start_at_both(site)

    def measure(
        site: sites.Site, jobs: list[sites.Job]
    ) -> list[figures.Sample]:
        waiting, leaving = jobs[:2], jobs[2:]
        left_s = {}
        for job in leaving:
            left_s[job.job_id] = time.monotonic()
            job.caller.close()
        observe(jobs, limit_s=sites.SHORT_TIMEOUT_S + OBSERVED_S)
        left = [
            figures.Sample(
                f"caller left: to end ({describe_end(job)})",
                find_end(job) - left_s[job.job_id],
            )
            for job in leaving
        ]
        expired = [
            figures.Sample(
                f"half-open caller: deadline to end ({describe_end(job)})",
                find_end(job) - job.sent_s - sites.SHORT_TIMEOUT_S,
            )
            for job in waiting
        ]
        return left + expired

    return Case("callers", prepare, measure)


def lose_owner(name: str, fault: Fault) -> Case:
    """Return the case that the owner of one group is lost."""
    group = sites.GROUPS[0]

    def measure(
        site: sites.Site, jobs: list[sites.Job]
    ) -> list[figures.Sample]:
        owner = site.get_owner(group)
        observers = [one for one in sites.NAMES if one != owner]
        fault_s = time.monotonic()
        fault(site, owner)

        def have_followed() -> bool:
            site.read_logs()
            return len(_list_next(site, group, owner, fault_s)) == len(
                observers
            )

        observer = gevent.spawn(observe, jobs)
        wait_for(have_followed)
        # Runs that the next owner does not adopt end soon.
        observer.join(ADOPTION_S)
        observer.kill()
        lost = _list_losses(site, group, owner, fault_s)
        found = _list_next(site, group, owner, fault_s)
        samples = _measure_owners(f"owner {name}", lost, found, fault_s)
        missing = len(observers) - len(found)
        samples += [
            figures.Sample(f"owner {name}: none followed in time", OBSERVED_S)
        ] * missing
        return samples + _measure_runs(f"owner {name}", jobs, lost)

    return Case(f"owner {name}", start_at_one, measure)


def _list_losses(
    site: sites.Site, group: str, owner: str, since_s: float
) -> dict[str, float]:
    """Return when each daemon has ceased to follow an owner."""
    losses: dict[str, float] = {}
    for line in site.find_lines("owner_changed", since_s):
        fields = line.fields
        if fields["group"] == group and fields["before"] == owner:
            losses.setdefault(line.daemon_id, line.at_s)
    losses.pop(owner, None)
    return losses


def _list_next(
    site: sites.Site, group: str, owner: str, since_s: float
) -> dict[str, float]:
    """Return when each daemon has begun to follow the next owner."""
    found: dict[str, float] = {}
    for line in site.find_lines("owner_changed", since_s):
        fields = line.fields
        if fields["group"] == group and fields["owner"] not in ("", owner):
            found.setdefault(line.daemon_id, line.at_s)
    found.pop(owner, None)
    return found


def _measure_owners(
    case: str,
    lost: dict[str, float],
    found: dict[str, float],
    fault_s: float,
) -> list[figures.Sample]:
    samples = []
    for name, at_s in lost.items():
        place = _describe_place(name)
        samples.append(
            figures.Sample(
                f"{case}: loss to not followed, {place}", at_s - fault_s
            )
        )
    for name, at_s in found.items():
        place = _describe_place(name)
        samples.append(
            figures.Sample(
                f"{case}: loss to next owner, {place}", at_s - fault_s
            )
        )
        if name in lost:
            samples.append(
                figures.Sample(
                    f"{case}: without an owner, {place}", at_s - lost[name]
                )
            )
    if lost:
        spread_s = max(lost.values()) - min(lost.values())
        samples.append(
            figures.Sample(f"{case}: first to last not following", spread_s)
        )
    return samples


def _describe_place(name: str) -> str:
    is_near = name.startswith(sites.DATA_CENTRES[0])
    return "same data centre" if is_near else "other data centre"


def _measure_runs(
    case: str, jobs: list[sites.Job], lost: dict[str, float]
) -> list[figures.Sample]:
    samples = []
    for job in jobs:
        how = describe_end(job)
        samples.append(
            figures.Sample(
                f"{case}: first not following to end ({how})",
                find_end(job) - min(lost.values(), default=find_end(job)),
            )
        )
    return samples


CASES = (
    lose_gateway("cut off", cut_from_owners),
    lose_gateway("killed", sites.Site.kill),
    lose_gateway("frozen", sites.Site.freeze),
    freeze_both("norte"),
    freeze_both("sur"),
    leave_callers(),
    lose_owner("killed", sites.Site.kill),
    lose_owner("cut off", sites.Site.cut),
    lose_owner("frozen", sites.Site.freeze),
)
