"""A soak round on three data centres, each with a group of workers of its own.

Callers send jobs again, and data centres are cut off. The round counts the tasks that
had two runs at the same time.
"""

import contextlib
import dataclasses
import datetime
import os
import pathlib
import random
import time

import gevent

from soak import callers
from soak import clusters
from soak import faults
from soak import network_faults
from soak import networks
from soak import overlaps
from soak import process_faults
from soak import resubmissions

DATA_CENTRES = ("norte", "este", "oeste")
DAEMONS = 9
WORKERS = 24
# So small that one owner could not carry the workers of all data centres.
CPU_SHARE = 0.03
CALLERS_PER_DAEMON = 4
OWNERS_TIMEOUT_S = 20.0
SETTLING_S = 2.0
STOP_TIMEOUT_S = 5.0
# Faults begin this long after each other and may overlap.
FIRST_FAULT_S = 2.0
FAULT_INTERVAL_RANGE_S = (0.3, 3.0)
FAULT_RANGE_S = (0.3, 6.0)
# Kinds are drawn with these weights.
WEIGHTS = {
    "cut_silent": 4,
    "cut_outgoing": 2,
    "cut_incoming": 2,
    "cut_reset": 2,
    "pair_reset": 1,
    "freeze": 3,
    "kill": 2,
    "stop": 1,
    "slow": 3,
}


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of a round.

    Attributes:
        seed: The seed of the round.
        violations: A line for each pair of concurrent runs of a task.
        tasks: The number of tasks of which a run was started.
        answers: Number of requests by how they ended.
        faults: The faults, in order of start time.
        load: The load of the machine at the end, over one minute.
    """

    seed: int
    violations: list[str]
    tasks: int
    answers: dict[str, int]
    faults: list[faults.Fault]
    load: float


def draw_faults(seed: int, round_s: float) -> list[faults.Fault]:
    """Draw the faults of a round from its seed, in order of start time."""
    rng = random.Random(seed)
    found = []
    at_s = FIRST_FAULT_S
    while at_s < round_s:
        (kind,) = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
        for_s = round(rng.uniform(*FAULT_RANGE_S), 2)
        target = rng.randrange(1000)
        found.append(faults.Fault(kind, round(at_s, 2), for_s, target))
        at_s += rng.uniform(*FAULT_INTERVAL_RANGE_S)
    return found


class Round:
    """The processes of a round, its callers and its faults."""

    def __init__(self, seed: int, break_mode: str, stack: contextlib.ExitStack):
        rng = random.Random(seed)
        self._network = networks.Network()
        stack.callback(self._network.close)
        self.cluster = clusters.Cluster(
            stack.callback,
            [f"d{index}" for index in range(1, DAEMONS + 1)],
            WORKERS,
            data_centres=DATA_CENTRES,
            cpu_share=CPU_SHARE,
            network=self._network,
        )
        self.callers = resubmissions.Callers(self.cluster, rng, break_mode)
        self._kinds = network_faults.list_kinds(self.cluster, self._network)
        self._kinds |= process_faults.list_kinds(self.cluster, rng)
        self._began_s = 0.0
        self._began_at = datetime.datetime.now(datetime.UTC)
        self._fault_times: list[str] = []

    def run(self, planned_faults: list[faults.Fault], round_s: float) -> None:
        """Inject faults while callers send jobs."""
        self.cluster.wait_until_ready()
        if not callers.wait_until(self._has_owners, OWNERS_TIMEOUT_S):
            raise AssertionError("not every data centre has an owner")
        gevent.sleep(SETTLING_S)
        self._began_s = time.monotonic()
        self._began_at = datetime.datetime.now(datetime.UTC)
        self.callers.start(CALLERS_PER_DAEMON)
        events = [gevent.spawn(self._inject, fault) for fault in planned_faults]
        gevent.sleep(round_s)
        self.callers.stop(STOP_TIMEOUT_S)
        gevent.joinall(events)

    def _has_owners(self) -> bool:
        groups = {
            line["group"]
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
            if line["event"] == "ownership_claimed"
        }
        return all(f"{name}/0" in groups for name in DATA_CENTRES)

    def _inject(self, fault: faults.Fault) -> None:
        gevent.sleep(fault.at_s)
        kind = self._kinds[fault.kind]
        begin_s = time.monotonic() - self._began_s
        kind.begin(fault.target)
        gevent.sleep(fault.for_s)
        kind.end(fault.target)
        end_s = time.monotonic() - self._began_s
        self._fault_times.append(
            f"{begin_s:.3f} to {end_s:.3f} s: {fault.kind} {fault.target}"
        )

    def count_tasks(self) -> int:
        """Return the number of tasks of which a run was started."""
        workers = self.cluster.site.workers.values()
        return len({run.task for w in workers for run in w.list_runs()})

    def describe_overlaps(self, folder: pathlib.Path) -> list[str]:
        """Return a line for each overlap; keep the logs if there are any."""
        site = self.cluster.site
        found = site.find_overlaps()
        if not found:
            return []
        self.cluster.keep_logs(folder)
        lines = {d: self.cluster.read_log(d) for d in self.cluster.daemons}
        described = overlaps.describe(
            found, site, self.callers.requests, lines, self._began_s
        )
        jobs = sorted({o.first.task.partition(".")[0] for o in found})
        record = [*described, "", *self._fault_times]
        for job_id in jobs:
            record += ["", f"job {job_id}"]
            record += overlaps.collect_history(job_id, lines, self._began_at)
        (folder / "overlaps.txt").write_text("\n".join(record) + "\n")
        return described


def run(
    seed: int,
    folder: pathlib.Path,
    break_mode: str,
    round_s: float,
    planned_faults: list[faults.Fault] | None = None,
) -> Report:
    """Run the round of a seed and keep the logs if a task ran twice at once.

    Args:
        seed: The seed of the round.
        folder: The folder to which logs are copied.
        break_mode: How callers break connections: a key of
            `resubmissions.BREAKS`.
        round_s: The time for which callers send jobs, in seconds.
        planned_faults: The faults, or None to draw them from the seed.
    """
    if planned_faults is None:
        planned_faults = draw_faults(seed, round_s)
    with contextlib.ExitStack() as stack:
        current = Round(seed, break_mode, stack)
        current.run(planned_faults, round_s)
        load, _, _ = os.getloadavg()
        return Report(
            seed,
            current.describe_overlaps(folder / f"seed-{seed}-{break_mode}"),
            current.count_tasks(),
            current.callers.count_ends(),
            planned_faults,
            round(load, 1),
        )
