"""A simulated clock, and greenlets that sleep by it in place of gevent's."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import types

import greenlet

# A timer fires up to this much late, as event loops do.
MAX_TIMER_DELAY_S = 0.001
# A process that wakes carries out what is due in any order within this time, which is
# shorter than any of its timers.
WAKE_SPREAD_S = 0.002


@dataclasses.dataclass(eq=False)
class Process:
    """A simulated process.

    Attributes:
        name: The id of the daemon.
        frozen_until: Until when the process does nothing.
        is_alive: Whether the process has not been killed.
    """

    name: str
    frozen_until: float = 0.0
    is_alive: bool = True


class Schedule:
    """Everything that is still to happen, in order of time.

    Attributes:
        now: The simulated time, in seconds.
        random: The source of all delays.
        current: The process that is being simulated; None for the network, the
            workers and the callers.
    """

    def __init__(self, seed: int):
        self.now = 100.0
        self.random = random.Random(seed)
        self.current: Process | None = None
        self._hub = greenlet.getcurrent()
        self._numbers = itertools.count()
        self._due: list[tuple] = []
        self._greenlets: set[greenlet.greenlet] = set()

    def clock(self) -> float:
        """Return the simulated time, in seconds."""
        return self.now

    def call_later(
        self,
        delay_s: float,
        process: Process | None,
        function: Callable,
        *arguments: object,
    ) -> None:
        """Call a function after some time, in a process or outside of all."""
        entry = (
            self.now + delay_s,
            next(self._numbers),
            process,
            function,
            arguments,
        )
        heapq.heappush(self._due, entry)

    def run(self, until: float, is_over: Callable[[], bool]) -> None:
        """Carry out what is due until a time, or until the run is over."""
        while self._due and self._due[0][0] <= until and not is_over():
            at, _, process, function, arguments = heapq.heappop(self._due)
            self.now = max(self.now, at)
            if process is not None:
                if not process.is_alive:
                    continue
                if process.frozen_until > self.now:
                    wait_s = process.frozen_until - self.now
                    wait_s += self.random.uniform(0.0, WAKE_SPREAD_S)
                    self.call_later(wait_s, process, function, *arguments)
                    continue
            self.current = process
            function(*arguments)
        self.current = None

    def close(self) -> None:
        """End all greenlets."""
        for left in list(self._greenlets):
            left.throw()
        self._greenlets.clear()
        self._due.clear()

    def spawn(self, function: Callable, *arguments: object) -> None:
        """Run a function in a greenlet of the current process."""
        spawned = greenlet.greenlet(self._run_greenlet, self._hub)
        self._greenlets.add(spawned)
        self.call_later(0.0, self.current, spawned.switch, function, arguments)

    def sleep(self, delay_s: float) -> None:
        """Suspend the current greenlet; with 0, until the next iteration."""
        process = self.current
        if delay_s:
            delay_s += self.random.uniform(0.0, MAX_TIMER_DELAY_S)
        elif process is not None:
            # After a pause, all that is due is carried out before.
            settled_at = process.frozen_until + WAKE_SPREAD_S
            delay_s = max(0.0, settled_at - self.now)
        self.call_later(delay_s, self.current, greenlet.getcurrent().switch)
        self._hub.switch()

    def build_gevent(self) -> types.SimpleNamespace:
        """Return what takes the place of the module `gevent`."""
        return types.SimpleNamespace(spawn=self.spawn, sleep=self.sleep)

    def build_event_module(self) -> types.SimpleNamespace:
        """Return what takes the place of the module `gevent.event`."""
        return types.SimpleNamespace(Event=lambda: Event(self))

    def suspend(self) -> None:
        """Suspend the current greenlet until something switches to it."""
        self._hub.switch()

    def _run_greenlet(self, function: Callable, arguments: tuple) -> None:
        try:
            function(*arguments)
        finally:
            self._greenlets.discard(greenlet.getcurrent())


class Event:
    """An event that greenlets wait for, as `gevent.event.Event`."""

    def __init__(self, schedule: Schedule):
        self._schedule = schedule
        self._is_set = False
        self._waiting: list[dict] = []

    def is_set(self) -> bool:
        """Return whether the event is set."""
        return self._is_set

    def set(self) -> None:
        """Set the event and wake all that wait for it."""
        self._is_set = True
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            self._schedule.call_later(
                0.0, waiter["process"], self._resume, waiter
            )

    def clear(self) -> None:
        """Clear the event."""
        self._is_set = False

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the event is set; return whether it was."""
        if self._is_set:
            return True
        waiter = {
            "process": self._schedule.current,
            "greenlet": greenlet.getcurrent(),
            "is_over": False,
        }
        self._waiting.append(waiter)
        if timeout_s is not None:
            self._schedule.call_later(
                timeout_s, waiter["process"], self._expire, waiter
            )
        self._schedule.suspend()
        return waiter["was_set"]

    def _resume(self, waiter: dict) -> None:
        if not waiter["is_over"]:
            waiter["is_over"] = waiter["was_set"] = True
            waiter["greenlet"].switch()

    def _expire(self, waiter: dict) -> None:
        if not waiter["is_over"]:
            waiter["is_over"], waiter["was_set"] = True, False
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            waiter["greenlet"].switch()
