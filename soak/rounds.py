"""One round of the soak: daemons, callers, faults, and the promises at the end."""

import contextlib
import dataclasses
import json
import pathlib
import random
import shutil
import signal
import time
from typing import Any

import gevent

from soak import callers
from soak import clusters
from soak import configurations
from soak import faults
from soak import promises
from soak import proxies
from standins import site_store
from standins import site_worker

NAMES = ["d1", "d2", "d3", "d4"]
WORKERS = 6
CALLERS_EACH = 3
ROUND_S = 14.0
CHECK_S = 0.5
# After the last fault all daemons are ready, and serve, within this time.
RECOVERY_S = 8.0
STOP_S = 7.0
# A daemon that was told to end still takes new connections for so long.
LAST_CALLERS_S = 2.0


@dataclasses.dataclass(frozen=True)
class Report:
    """What came of a round.

    Attributes:
        seed: It was drawn from this.
        broken: A line for each broken promise.
        answers: Calls by status.
        faults: The faults, in order.
    """

    seed: int
    broken: list[str]
    answers: dict[int, int]
    faults: list[faults.Fault]


class Round:
    """The processes of a round, and what disturbs them."""

    def __init__(self, seed: int, defect: str, stack: contextlib.ExitStack):
        self._source = random.Random(seed)
        self._spans: list[promises.Span] = []
        self._pauses: list[promises.Span] = []
        self._store_spans: list[promises.Span] = []
        self._leaves: list[promises.Leave] = []
        self._leaving: dict[str, float] = {}
        self._links: dict[str, proxies.Proxy] = {}
        # Daemons that were told to end, until they are started again.
        self._ending: dict[str, Any] = {}
        self._add_cleanup = stack.callback
        self.cluster = clusters.Cluster(
            stack.callback, NAMES, WORKERS, defect, self._rewrite
        )
        self._orders: dict[str, proxies.Proxy] = {}
        for worker_id in self.cluster.site.workers:
            self._orders[worker_id] = self._guard(
                self.cluster.site.get_worker_port(worker_id)
            )
            port = self._orders[worker_id].port
            self.cluster.site.list_worker(worker_id, port=port)
        self.callers = callers.Callers(self.cluster, self._source)
        self.configurations = configurations.Configurations(self.cluster)

    def _guard(self, port: int) -> proxies.Proxy:
        proxy = proxies.Proxy(port)
        self._add_cleanup(proxy.close)
        return proxy

    def _rewrite(self, table: str, key: str, value: bytes) -> bytes:
        """Let daemons find each other through proxies."""
        if table != "daemons":
            return value
        row = json.loads(value)
        if key not in self._links:
            self._links[key] = self._guard(row["port"])
        return json.dumps(row | {"port": self._links[key].port}).encode()

    def list_kinds(self) -> dict[str, faults.Kind]:
        """Return what each kind of fault does here."""
        return {
            "kill": faults.Kind(self._kill, self._restart),
            "stop": faults.Kind(self._stop, self._restart),
            "pause": faults.Kind(self._pause, self._resume),
            "clock_jump": faults.Kind(self._jump_clock, self._jump_clock),
            "config_change": faults.Kind(
                lambda target: self.configurations.change(has_added=True),
                lambda target: self.configurations.change(has_added=False),
            ),
            "link_reset": faults.Kind(self._reset_link, _do_nothing),
            "link_silent": self._make_link_trouble(proxies.Mode.SILENT),
            "link_one_way": self._make_link_trouble(proxies.Mode.ONE_WAY),
            "link_slow": self._make_link_trouble(proxies.Mode.DELAY, 0.15),
            "order_reset": faults.Kind(self._reset_order, _do_nothing),
            "order_silent": self._make_order_trouble(proxies.Mode.SILENT),
            "order_one_way": self._make_order_trouble(proxies.Mode.ONE_WAY),
            "order_slow": self._make_order_trouble(proxies.Mode.DELAY, 0.1),
            "store_down": self._make_store_trouble(site_store.Trouble.RESET),
            "store_silent": self._make_store_trouble(site_store.Trouble.SILENT),
            "store_busy": self._make_store_trouble(site_store.Trouble.BUSY),
            "store_garbage": self._make_store_trouble(
                site_store.Trouble.GARBAGE
            ),
            "history_lost": faults.Kind(self._forget_history, _do_nothing),
            "worker_leaves": faults.Kind(self._leave, self._stay),
            "worker_restart": faults.Kind(self._restart_worker, _do_nothing),
            "starts_lost": faults.Kind(self._lose_starts, _do_nothing),
            "starts_late": faults.Kind(self._delay_starts, _do_nothing),
            "worker_fails": self._make_worker_fault("fails_all", True, False),
            "worker_hangs": self._make_worker_fault("hangs", True, False),
            "worker_slow": self._make_worker_fault("slow_factor", 5.0, 1.0),
        }

    def play(self, drawn: list[faults.Fault]) -> list[str]:
        """Let faults come, and return the broken promises."""
        self.cluster.wait_until_ready()
        self.callers.start(CALLERS_EACH)
        probes = [
            gevent.spawn(self.configurations.probe_forever, name)
            for name in NAMES
        ]
        self._add_cleanup(lambda: gevent.killall(probes))
        began_s = time.monotonic()
        events = [gevent.spawn(self._carry_out, fault) for fault in drawn]
        end_s = began_s + ROUND_S
        while time.monotonic() < end_s or not all(e.ready() for e in events):
            gevent.sleep(CHECK_S)
            if broken := self._find_broken():
                return broken
        return self._finish()

    def _finish(self) -> list[str]:
        if not callers.wait_until(self._are_all_ready, RECOVERY_S):
            return ["not all daemons are ready after the last fault"]
        if self.callers.stop(STOP_S):
            return ["calls without an end"]
        last = [self.callers.submit(name, STOP_S) for name in NAMES]
        broken = self._find_broken()
        broken += [
            f"{call.daemon_id} does not serve: {call.reply}"
            for call in last
            if call.reply.state != "completed"
        ]
        return broken

    def _are_all_ready(self) -> bool:
        return all(self.cluster.is_ready(name) for name in NAMES)

    def _find_broken(self) -> list[str]:
        ended = [call for call in self.callers.calls if call.ended_s]
        site = self.cluster.site
        broken = promises.find_broken(site, ended, self._spans)
        broken += promises.find_late_starts(
            site, self._leaves, self._store_spans + self._pauses
        )
        changes, probes = (
            self.configurations.changes,
            self.configurations.probes,
        )
        broken += configurations.find_reverted(changes, probes)
        broken += configurations.find_late(changes, probes, self._was_disturbed)
        return broken

    def _was_disturbed(self, name: str, begin_s: float, end_s: float) -> bool:
        own = [span for span in self._spans if span.daemon_id == name]
        return any(
            span.begin_s < end_s and begin_s < span.end_s + promises.DISTURBED_S
            for span in own + self._store_spans
        )

    def _carry_out(self, fault: faults.Fault) -> None:
        gevent.sleep(fault.at_s)
        kind = self.list_kinds()[fault.kind]
        kind.begin(fault.target)
        gevent.sleep(fault.for_s)
        kind.end(fault.target)

    def _choose(self, target: int) -> str:
        return NAMES[target % len(NAMES)]

    def _disturb(self, name: str, for_s: float) -> None:
        now = time.monotonic()
        self._spans.append(promises.Span(name, now, now + for_s))

    def _kill(self, target: int) -> None:
        name = self._choose(target)
        self._disturb(name, ROUND_S)
        if self._is_running(name):
            self._ending[name] = self.cluster.daemons[name].process
            self.cluster.signal(name, signal.SIGKILL)

    def _stop(self, target: int) -> None:
        name = self._choose(target)
        # New connections are turned away once it has stopped.
        end_s = time.monotonic() + ROUND_S
        begin_s = time.monotonic() + LAST_CALLERS_S
        self._spans.append(promises.Span(name, begin_s, end_s))
        if self._is_running(name):
            self._ending[name] = self.cluster.daemons[name].process
            self.cluster.signal(name, signal.SIGTERM)

    def _restart(self, target: int) -> None:
        name = self._choose(target)
        process = self._ending.pop(name, None)
        if process is None:
            # Another fault that hit it too has started it again.
            return
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGCONT)
        process.wait(timeout=STOP_S)
        self.cluster.start(name)

    def _pause(self, target: int) -> None:
        name = self._choose(target)
        self._disturb(name, ROUND_S)
        self._pauses.append(self._spans[-1])
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGSTOP)

    def _resume(self, target: int) -> None:
        name = self._choose(target)
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGCONT)

    def _jump_clock(self, target: int) -> None:
        name = self._choose(target)
        if self._is_running(name):
            self.cluster.signal(name, signal.SIGUSR1)

    def _leave(self, target: int) -> None:
        worker_id = f"w{target % WORKERS}"
        if worker_id in self._leaving:
            return
        port = self._orders[worker_id].port
        self.cluster.site.list_worker(worker_id, state="draining", port=port)
        self._leaving[worker_id] = time.monotonic()

    def _stay(self, target: int) -> None:
        worker_id = f"w{target % WORKERS}"
        begin_s = self._leaving.pop(worker_id, None)
        if begin_s is None:
            return
        end_s = time.monotonic()
        self._leaves.append(promises.Leave(worker_id, begin_s, end_s))
        port = self._orders[worker_id].port
        self.cluster.site.list_worker(worker_id, port=port)

    def _is_running(self, name: str) -> bool:
        return self.cluster.daemons[name].process.poll() is None

    def _find_link(self, target: int) -> proxies.Proxy | None:
        return self._links.get(self._choose(target))

    def _reset_link(self, target: int) -> None:
        if link := self._find_link(target):
            link.reset_all()

    def _make_link_trouble(
        self, mode: proxies.Mode, delay_s: float = 0.0
    ) -> faults.Kind:
        def begin(target: int) -> None:
            if link := self._find_link(target):
                link.trouble = proxies.Trouble(mode, delay_s)

        def end(target: int) -> None:
            if link := self._find_link(target):
                link.trouble = proxies.Trouble()
                # What was dropped leaves streams that make no sense.
                link.reset_all()

        return faults.Kind(begin, end)

    def _find_order(self, target: int) -> proxies.Proxy:
        return self._orders[f"w{target % WORKERS}"]

    def _reset_order(self, target: int) -> None:
        self._find_order(target).reset_all()

    def _make_order_trouble(
        self, mode: proxies.Mode, delay_s: float = 0.0
    ) -> faults.Kind:
        def begin(target: int) -> None:
            self._find_order(target).trouble = proxies.Trouble(mode, delay_s)

        def end(target: int) -> None:
            self._find_order(target).trouble = proxies.Trouble()
            self._find_order(target).reset_all()

        return faults.Kind(begin, end)

    def _make_store_trouble(self, trouble: site_store.Trouble) -> faults.Kind:
        def begin(target: int) -> None:
            self.cluster.site.store.faults.trouble = trouble
            now = time.monotonic()
            self._store_spans.append(promises.Span("", now, now + ROUND_S))

        def end(target: int) -> None:
            # Also of another trouble that began meanwhile.
            self.cluster.site.store.faults.trouble = site_store.Trouble.NONE
            now = time.monotonic()
            self._store_spans = [
                dataclasses.replace(span, end_s=min(span.end_s, now))
                for span in self._store_spans
            ]

        return faults.Kind(begin, end)

    def _forget_history(self, target: int) -> None:
        self.cluster.site.store.forget_history()

    def _find_worker(self, target: int) -> site_worker.SiteWorker:
        return self.cluster.site.workers[f"w{target % WORKERS}"]

    def _restart_worker(self, target: int) -> None:
        self._find_worker(target).restart()

    def _lose_starts(self, target: int) -> None:
        self._find_worker(target).faults.lost_starts = 3

    def _delay_starts(self, target: int) -> None:
        self._find_worker(target).faults.late_starts = 3

    def _make_worker_fault(
        self, name: str, value: object, sound: object
    ) -> faults.Kind:
        def begin(target: int) -> None:
            setattr(self._find_worker(target).faults, name, value)

        def end(target: int) -> None:
            setattr(self._find_worker(target).faults, name, sound)

        return faults.Kind(begin, end)

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy what the daemons have written."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, daemon in self.cluster.daemons.items():
            shutil.copy(daemon.log, folder / f"{name}.log")


def _do_nothing(target: int) -> None:
    """A fault that is over at once has no end."""


def play(
    seed: int,
    folder: pathlib.Path,
    defect: str = "",
    drawn: list[faults.Fault] | None = None,
) -> Report:
    """Play the round of a seed; keep logs only if a promise is broken.

    Args:
        seed: What the round is drawn from.
        folder: Where logs are kept.
        defect: A guard that the daemons lack.
        drawn: The faults, if they are not to be drawn: which ones a seed gives
            changes with the kinds there are.
    """
    with contextlib.ExitStack() as stack:
        played = Round(seed, defect, stack)
        if drawn is None:
            drawn = faults.draw(seed, sorted(played.list_kinds()))
        broken = played.play(drawn)
        if broken:
            played.keep_logs(folder / f"seed-{seed}{defect and '-' + defect}")
        answers: dict[int, int] = {}
        for call in played.callers.calls:
            status = call.reply.status
            answers[status] = answers.get(status, 0) + 1
    return Report(seed, broken, answers, drawn)
