"""Faults of daemon processes: frozen, killed, stopped, or short of processor time."""

from collections.abc import Callable
import random
import signal
import subprocess
from typing import Any

import gevent

from soak import clusters
from soak import faults

# A stopped daemon that takes longer is killed before it is restarted.
EXIT_TIMEOUT_S = 5.0
# A slow daemon gets the processor for this long in each period.
RUNNING_RANGE_S = (0.005, 0.03)
PERIOD_RANGE_S = (0.1, 0.4)


def list_kinds(
    cluster: clusters.Cluster, rng: random.Random
) -> dict[str, faults.Kind]:
    """Return the kinds of faults by name.

    Args:
        cluster: The daemons.
        rng: The source of the periods of slow daemons.
    """
    names = list(cluster.daemons)
    slow: dict[int, gevent.Greenlet] = {}
    ended: dict[int, Any] = {}

    def send(target: int, number: signal.Signals) -> None:
        name = names[target % len(names)]
        if cluster.daemons[name].process.poll() is None:
            cluster.signal(name, number)

    def make_signal(number: signal.Signals) -> Callable[[int], None]:
        return lambda target: send(target, number)

    def make_end(number: signal.Signals) -> Callable[[int], None]:
        def end(target: int) -> None:
            name = names[target % len(names)]
            ended[target] = cluster.daemons[name].process
            send(target, number)

        return end

    def restart(target: int) -> None:
        send(target, signal.SIGCONT)
        name = names[target % len(names)]
        process = ended.pop(target)
        try:
            process.wait(timeout=EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        # Another fault may have restarted the daemon meanwhile.
        if cluster.daemons[name].process is process:
            cluster.start(name)

    def alternate(target: int) -> None:
        while True:
            send(target, signal.SIGSTOP)
            gevent.sleep(rng.uniform(*PERIOD_RANGE_S))
            send(target, signal.SIGCONT)
            gevent.sleep(rng.uniform(*RUNNING_RANGE_S))

    def begin_slow(target: int) -> None:
        slow[target] = gevent.spawn(alternate, target)

    def end_slow(target: int) -> None:
        slow.pop(target).kill()
        send(target, signal.SIGCONT)

    resume = make_signal(signal.SIGCONT)
    return {
        "freeze": faults.Kind(make_signal(signal.SIGSTOP), resume),
        "kill": faults.Kind(make_end(signal.SIGKILL), restart),
        "stop": faults.Kind(make_end(signal.SIGTERM), restart),
        "slow": faults.Kind(begin_slow, end_slow),
    }
