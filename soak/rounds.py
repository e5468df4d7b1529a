"""A soak round: start daemons and callers, inject faults, check invariants."""

import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import time
from typing import Any

import gevent

from pollenladder.platform import rows
from soak import callers
from soak import clusters
from soak import configurations
from soak import crowds
from soak import faults
from soak import foreign_rows
from soak import invariants
from soak import last_jobs
from soak import proxies
from standins import site as sites
from standins import site_store
from standins import site_worker

DAEMON_IDS = ["d1", "d2", "d3", "d4"]
WORKER_COUNT = 6
CALLERS_PER_DAEMON = 3
# CPU of a worker whose capacity has shrunk, in thousandths of a core.
SHRUNKEN_CPU = 24_000
ROUND_S = 14.0
CHECK_INTERVAL_S = 0.5
# Run times of the jobs whose callers declare none.
UNDECLARED_RUN_TIMES_MS = (60, 300, 900)
# After the last fault all daemons must be ready within this time, and then
# complete a job.
RECOVERY_TIMEOUT_S = 8.0
# Limit for open calls, for the final jobs and for the exit of a stopped daemon.
STOP_TIMEOUT_S = 7.0
# Workers that are cut off in turn: how many, each for how long, and the time
# between two of them. Several are cut off at once.
CUT_COUNT = 9
CUT_S = 1.6
CUT_INTERVAL_S = 0.5
# A daemon still accepts new connections for this long after SIGTERM.
STOP_ACCEPT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of a round.

    Attributes:
        seed: The seed of the round.
        violations: A line for each violated invariant.
        answers: Number of calls by reply status.
        faults: The faults, in order of start time.
    """

    seed: int
    violations: list[str]
    answers: dict[int, int]
    faults: list[faults.Fault]


class Round:
    """The processes of a round and the faults that are injected into them."""

    def __init__(self, seed: int, defect: str, stack: contextlib.ExitStack):
        self._rng = random.Random(seed)
        self._disturbances: list[invariants.Disturbance] = []
        self._pauses: list[invariants.Disturbance] = []
        self._store_disturbances: list[invariants.Disturbance] = []
        self._drains: list[invariants.Drain] = []
        self._drain_starts_s: dict[str, float] = {}
        self._crowds: dict[int, list[gevent.Greenlet]] = {}
        self._peer_proxies: dict[str, proxies.Proxy] = {}
        # Processes that were killed or stopped, by daemon, until the restart.
        self._ended_processes: dict[str, Any] = {}
        self._add_cleanup = stack.callback
        self.cluster = clusters.Cluster(
            stack.callback,
            DAEMON_IDS,
            WORKER_COUNT,
            defect,
            self._redirect_to_proxy,
        )
        self._worker_proxies: dict[str, proxies.Proxy] = {}
        for worker_id in self.cluster.site.workers:
            self._worker_proxies[worker_id] = self._add_proxy(
                self.cluster.site.get_worker_port(worker_id)
            )
            port = self._worker_proxies[worker_id].port
            self.cluster.site.list_worker(worker_id, port=port)
        site = self.cluster.site
        site.on_crash = lambda worker_id: self._worker_proxies[worker_id].crash(
            site.crash_down_s
        )
        self.callers = callers.Callers(self.cluster, self._rng)
        self.configurations = configurations.Configurations(self.cluster)

    def _add_proxy(self, port: int) -> proxies.Proxy:
        proxy = proxies.Proxy(port)
        self._add_cleanup(proxy.close)
        return proxy

    def _redirect_to_proxy(self, table: str, key: str, value: bytes) -> bytes:
        """Replace the port of a daemon in the store by that of a proxy.

        Daemons read the peer ports of each other from the store, so all peer
        links lead through proxies.
        """
        if table != rows.DAEMONS_TABLE or key == rows.LAYOUT_KEY:
            return value
        row = json.loads(value)
        if key not in self._peer_proxies:
            self._peer_proxies[key] = self._add_proxy(row["port"])
        return json.dumps(row | {"port": self._peer_proxies[key].port}).encode()

    def list_kinds(self) -> dict[str, faults.Kind]:
        """Return the kinds of faults by name."""
        return {
            "kill": faults.Kind(self._kill, self._restart),
            "stop": faults.Kind(self._stop, self._restart),
            "pause": faults.Kind(self._pause, self._resume),
            "clock_jump": faults.Kind(self._jump_clock, self._jump_clock),
            "config_change": faults.Kind(
                lambda target: self.configurations.change(has_added=True),
                lambda target: self.configurations.change(has_added=False),
            ),
            "link_reset": faults.Kind(
                self._reset_peer_connections, _do_nothing
            ),
            "link_silent": self._make_peer_impairment(proxies.Mode.SILENT),
            "link_one_way": self._make_peer_impairment(proxies.Mode.ONE_WAY),
            "link_slow": self._make_peer_impairment(proxies.Mode.DELAY, 0.15),
            "order_reset": faults.Kind(
                self._reset_worker_connections, _do_nothing
            ),
            "order_cuts": faults.Kind(self._cut_workers_in_turn, _do_nothing),
            "order_silent": self._make_worker_impairment(proxies.Mode.SILENT),
            "order_one_way": self._make_worker_impairment(proxies.Mode.ONE_WAY),
            "order_slow": self._make_worker_impairment(proxies.Mode.DELAY, 0.1),
            "store_down": self._make_store_fault(site_store.FailureMode.RESET),
            "store_silent": self._make_store_fault(
                site_store.FailureMode.SILENT
            ),
            "store_busy": self._make_store_fault(site_store.FailureMode.BUSY),
            "store_garbage": self._make_store_fault(
                site_store.FailureMode.GARBAGE
            ),
            "history_lost": faults.Kind(self._forget_history, _do_nothing),
            "worker_leaves": faults.Kind(self._drain_worker, self._end_drain),
            "worker_restart": faults.Kind(self._restart_worker, _do_nothing),
            "worker_crash": faults.Kind(self._crash_worker, _do_nothing),
            "worker_shrinks": faults.Kind(
                self._shrink_worker, self._grow_worker
            ),
            "crashing_job": faults.Kind(self._submit_crashing_job, _do_nothing),
            "undeclared_jobs": faults.Kind(
                self._submit_undeclared_jobs, _do_nothing
            ),
            "foreign_row": faults.Kind(
                self._write_foreign_row, self._remove_foreign_row
            ),
            "row_expires": faults.Kind(self._expire_row, self._renew_row),
            "client_crowd": faults.Kind(self._send_crowd, self._end_crowd),
            "starts_lost": faults.Kind(self._lose_starts, _do_nothing),
            "starts_late": faults.Kind(self._delay_starts, _do_nothing),
            "worker_fails": self._make_worker_fault("fails_all", True, False),
            "worker_hangs": self._make_worker_fault("hangs", True, False),
            "worker_slow": self._make_worker_fault("slow_factor", 5.0, 1.0),
        }

    def run(self, planned_faults: list[faults.Fault]) -> list[str]:
        """Inject faults while callers submit jobs.

        Args:
            planned_faults: The faults to inject.

        Returns:
            A line for each violation; the round ends early at the first check
            that finds one.
        """
        self.cluster.wait_until_ready()
        self.callers.start(CALLERS_PER_DAEMON)
        probes = [
            gevent.spawn(self.configurations.probe_forever, name)
            for name in DAEMON_IDS
        ]
        self._add_cleanup(lambda: gevent.killall(probes))
        began_s = time.monotonic()
        events = [gevent.spawn(self._inject, fault) for fault in planned_faults]
        end_s = began_s + ROUND_S
        while time.monotonic() < end_s or not all(e.ready() for e in events):
            gevent.sleep(CHECK_INTERVAL_S)
            if violations := self._find_violations():
                return violations
        return self._finish()

    def _finish(self) -> list[str]:
        if not callers.wait_until(self._are_all_ready, RECOVERY_TIMEOUT_S):
            return ["not all daemons are ready after the last fault"]
        if self.callers.stop(STOP_TIMEOUT_S):
            return ["some calls did not end"]
        last = [
            last_jobs.submit_until_served(self.callers, name, STOP_TIMEOUT_S)
            for name in DAEMON_IDS
        ]
        violations = self._find_violations()
        lines = {name: self.cluster.read_log(name) for name in DAEMON_IDS}
        violations += invariants.find_unexpected_errors(lines)
        violations += invariants.find_unfounded_crashes(
            self.cluster.site, lines
        )
        violations += [
            f"{call.daemon_id} does not serve: {call.reply}"
            for call in last
            if call.reply.state != "completed"
        ]
        return violations

    def _are_all_ready(self) -> bool:
        return all(self.cluster.is_ready(name) for name in DAEMON_IDS)

    def _find_violations(self) -> list[str]:
        ended = [call for call in self.callers.calls if call.ended_s]
        site = self.cluster.site
        violations = invariants.find_violations(site, ended, self._disturbances)
        violations += invariants.find_starts_while_draining(
            site, self._drains, self._store_disturbances + self._pauses
        )
        changes, probes = (
            self.configurations.changes,
            self.configurations.probes,
        )
        violations += configurations.find_reverted(changes, probes)
        violations += configurations.find_late_changes(
            changes, probes, self._was_disturbed
        )
        return violations

    def _was_disturbed(self, name: str, begin_s: float, end_s: float) -> bool:
        own = [
            disturbance
            for disturbance in self._disturbances
            if disturbance.daemon_id == name
        ]
        return any(
            disturbance.begin_s < end_s
            and begin_s < disturbance.end_s + invariants.DISTURBANCE_GRACE_S
            for disturbance in own + self._store_disturbances
        )

    def _inject(self, fault: faults.Fault) -> None:
        gevent.sleep(fault.at_s)
        kind = self.list_kinds()[fault.kind]
        kind.begin(fault.target)
        gevent.sleep(fault.for_s)
        kind.end(fault.target)

    def _choose_daemon(self, target: int) -> str:
        return DAEMON_IDS[target % len(DAEMON_IDS)]

    def _record_disturbance(self, name: str, for_s: float) -> None:
        now = time.monotonic()
        self._disturbances.append(
            invariants.Disturbance(name, now, now + for_s)
        )

    def _kill(self, target: int) -> None:
        name = self._choose_daemon(target)
        self._record_disturbance(name, ROUND_S)
        if self._is_running(name):
            self._ended_processes[name] = self.cluster.daemons[name].process
            self.cluster.signal(name, signal.SIGKILL)

    def _stop(self, target: int) -> None:
        name = self._choose_daemon(target)
        # New connections fail from when the daemon stops accepting them.
        end_s = time.monotonic() + ROUND_S
        begin_s = time.monotonic() + STOP_ACCEPT_S
        self._disturbances.append(invariants.Disturbance(name, begin_s, end_s))
        if self._is_running(name):
            self._ended_processes[name] = self.cluster.daemons[name].process
            self.cluster.signal(name, signal.SIGTERM)

    def _restart(self, target: int) -> None:
        name = self._choose_daemon(target)
        process = self._ended_processes.pop(name, None)
        if process is None:
            # Another fault on the same daemon has already restarted it.
            return
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGCONT)
        process.wait(timeout=STOP_TIMEOUT_S)
        self.cluster.start(name)

    def _pause(self, target: int) -> None:
        name = self._choose_daemon(target)
        self._record_disturbance(name, ROUND_S)
        self._pauses.append(self._disturbances[-1])
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGSTOP)

    def _resume(self, target: int) -> None:
        name = self._choose_daemon(target)
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGCONT)

    def _jump_clock(self, target: int) -> None:
        name = self._choose_daemon(target)
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGUSR1)

    def _drain_worker(self, target: int) -> None:
        worker_id = f"w{target % WORKER_COUNT}"
        if worker_id in self._drain_starts_s:
            return
        self._drain_starts_s[worker_id] = time.monotonic()
        self._list_worker(worker_id)

    def _end_drain(self, target: int) -> None:
        worker_id = f"w{target % WORKER_COUNT}"
        begin_s = self._drain_starts_s.pop(worker_id, None)
        if begin_s is None:
            return
        end_s = time.monotonic()
        self._drains.append(invariants.Drain(worker_id, begin_s, end_s))
        self._list_worker(worker_id)

    def _list_worker(self, worker_id: str) -> None:
        """Write the row of a worker, as its report would."""
        is_draining = worker_id in self._drain_starts_s
        self.cluster.site.list_worker(
            worker_id,
            state="draining" if is_draining else "ready",
            port=self._worker_proxies[worker_id].port,
        )

    def _expire_row(self, target: int) -> None:
        """Remove the row of a worker that goes on, as after lost reports.

        A draining worker has reported too recently for that.
        """
        worker_id = f"w{target % WORKER_COUNT}"
        if worker_id not in self._drain_starts_s:
            store = self.cluster.site.store
            store.remove_row(rows.WORKERS_TABLE, worker_id)

    def _renew_row(self, target: int) -> None:
        self._list_worker(f"w{target % WORKER_COUNT}")

    def _send_crowd(self, target: int) -> None:
        """Send heads without end to a daemon, over many connections."""
        daemon = self.cluster.daemons[self._choose_daemon(target)]
        crowd = gevent.spawn(crowds.send_endless_heads, daemon.ports[0])
        self._crowds.setdefault(target, []).append(crowd)
        self._add_cleanup(crowd.kill)

    def _end_crowd(self, target: int) -> None:
        gevent.killall(self._crowds.pop(target, []))

    def _is_running(self, name: str) -> bool:
        return self.cluster.daemons[name].process.poll() is None

    def _find_peer_proxy(self, target: int) -> proxies.Proxy | None:
        return self._peer_proxies.get(self._choose_daemon(target))

    def _reset_peer_connections(self, target: int) -> None:
        if proxy := self._find_peer_proxy(target):
            proxy.reset_all()

    def _make_peer_impairment(
        self, mode: proxies.Mode, delay_s: float = 0.0
    ) -> faults.Kind:
        def begin(target: int) -> None:
            if proxy := self._find_peer_proxy(target):
                proxy.impairment = proxies.Impairment(mode, delay_s)

        def end(target: int) -> None:
            if proxy := self._find_peer_proxy(target):
                proxy.impairment = proxies.Impairment()
                # Dropped data leaves the streams of the connections corrupt.
                proxy.reset_all()

        return faults.Kind(begin, end)

    def _find_worker_proxy(self, target: int) -> proxies.Proxy:
        return self._worker_proxies[f"w{target % WORKER_COUNT}"]

    def _reset_worker_connections(self, target: int) -> None:
        self._find_worker_proxy(target).reset_all()

    def _cut_workers_in_turn(self, target: int) -> None:
        """Reset and refuse connections to one worker after the other."""
        for index in range(CUT_COUNT):
            self._find_worker_proxy(target + index).partition(CUT_S)
            gevent.sleep(CUT_INTERVAL_S)

    def _make_worker_impairment(
        self, mode: proxies.Mode, delay_s: float = 0.0
    ) -> faults.Kind:
        def begin(target: int) -> None:
            self._find_worker_proxy(target).impairment = proxies.Impairment(
                mode, delay_s
            )

        def end(target: int) -> None:
            self._find_worker_proxy(target).impairment = proxies.Impairment()
            self._find_worker_proxy(target).reset_all()

        return faults.Kind(begin, end)

    def _make_store_fault(self, trouble: site_store.FailureMode) -> faults.Kind:
        def begin(target: int) -> None:
            self.cluster.site.store.faults.trouble = trouble
            now = time.monotonic()
            self._store_disturbances.append(
                invariants.Disturbance("", now, now + ROUND_S)
            )

        def end(target: int) -> None:
            # This also ends another store fault that began meanwhile.
            self.cluster.site.store.faults.trouble = site_store.FailureMode.NONE
            now = time.monotonic()
            self._store_disturbances = [
                dataclasses.replace(
                    disturbance, end_s=min(disturbance.end_s, now)
                )
                for disturbance in self._store_disturbances
            ]

        return faults.Kind(begin, end)

    def _forget_history(self, target: int) -> None:
        self.cluster.site.store.discard_history()

    def _find_worker(self, target: int) -> site_worker.SiteWorker:
        return self.cluster.site.workers[f"w{target % WORKER_COUNT}"]

    def _restart_worker(self, target: int) -> None:
        self._find_worker(target).restart()

    def _crash_worker(self, target: int) -> None:
        self.cluster.site.crash_worker(f"w{target % WORKER_COUNT}")

    def _resize_worker(self, target: int, cpu: int) -> None:
        worker = self._find_worker(target)
        worker.cpu = cpu
        self._list_worker(worker.worker_id)

    def _shrink_worker(self, target: int) -> None:
        self._resize_worker(target, SHRUNKEN_CPU)

    def _grow_worker(self, target: int) -> None:
        self._resize_worker(target, self._find_worker(target).max_cpu)

    def _submit_crashing_job(self, target: int) -> None:
        job_id = f"{self._rng.getrandbits(64):016x}"
        body = sites.build_job(tasks=4, crashing_task=0)
        name = self._choose_daemon(target)
        submission = gevent.spawn(self.cluster.submit, name, job_id, body)
        self._add_cleanup(submission.kill)

    def _submit_undeclared_jobs(self, target: int) -> None:
        """Submit jobs whose caller declares no run time."""
        name = self._choose_daemon(target)
        for run_ms in UNDECLARED_RUN_TIMES_MS:
            job = json.loads(sites.build_job(tasks=1, run_ms=run_ms))
            del job["Steps"][0]["EstimateMs"]
            job_id = f"{self._rng.getrandbits(64):016x}"
            body = json.dumps(job).encode()
            submission = gevent.spawn(self.cluster.submit, name, job_id, body)
            self._add_cleanup(submission.kill)

    def _write_foreign_row(self, target: int) -> None:
        row = foreign_rows.build(target)
        store = self.cluster.site.store
        store.put(rows.WORKERS_TABLE, foreign_rows.KEY, row)

    def _remove_foreign_row(self, target: int) -> None:
        store = self.cluster.site.store
        store.remove_row(rows.WORKERS_TABLE, foreign_rows.KEY)

    def _lose_starts(self, target: int) -> None:
        self._find_worker(target).faults.lost_starts = 3

    def _delay_starts(self, target: int) -> None:
        self._find_worker(target).faults.late_starts = 3

    def _make_worker_fault(
        self, name: str, value: object, normal: object
    ) -> faults.Kind:
        def begin(target: int) -> None:
            setattr(self._find_worker(target).faults, name, value)

        def end(target: int) -> None:
            setattr(self._find_worker(target).faults, name, normal)

        return faults.Kind(begin, end)


def _do_nothing(target: int) -> None:
    """End a fault that has no lasting effect."""


def run(
    seed: int,
    folder: pathlib.Path,
    defect: str = "",
    planned_faults: list[faults.Fault] | None = None,
) -> Report:
    """Run the round of a seed and keep the logs if an invariant is violated.

    Args:
        seed: The seed of the round.
        folder: The folder to which logs are copied.
        defect: The name of a defect to inject; see `soak.defects`.
        planned_faults: The faults to inject, or None to draw them from the
            seed. The faults of a seed change whenever a kind of fault is
            added, so recorded rounds list their faults.
    """
    with contextlib.ExitStack() as stack:
        current = Round(seed, defect, stack)
        if planned_faults is None:
            planned_faults = faults.draw(seed, sorted(current.list_kinds()))
        violations = current.run(planned_faults)
        if violations:
            current.cluster.keep_logs(
                folder / f"seed-{seed}{defect and '-' + defect}"
            )
        answers: dict[int, int] = {}
        for call in current.callers.calls:
            status = call.reply.status
            answers[status] = answers.get(status, 0) + 1
    return Report(seed, violations, answers, planned_faults)
