"""An unreadable entry among the workers; then all daemons are killed.

After the restart, no daemon serves any more. With `ENTRY=0` the daemons are
killed all the same, but there is no such entry.
"""

import json
import os
import pathlib
import signal

import gevent

from review import cases
from review import rig as rigs

RECOVERY_S = 12.0
DOWN_S = 1.3
ROUNDS = 8
# The rule compares with a quarter of the requests.
SERVED_SHARE = 0.25


def run(record: rigs.Record, has_trouble: bool) -> bool:
    """Run the case; return whether less than a quarter is served."""
    rig = rigs.Rig(record)
    try:
        rig.start_all()
        before = _measure_share(rig)
        if before < SERVED_SHARE:
            raise rigs.CannotRunError(f"share served before: {before}")
        if has_trouble and os.environ.get("ENTRY", "1") != "0":
            _write_unreadable_entry(rig)
        gevent.sleep(rigs.CONTACT_S)
        if has_trouble:
            _kill_and_restart(rig)
        gevent.sleep(RECOVERY_S)
        share = _measure_share(rig)
        ready = [d.name for d in rig.daemons if rig.is_ready(d)]
        record.write(f"served before {before:.2f}, after {share:.2f}")
        record.write(f"ready: {ready}")
        rig.write_runs()
        return share < SERVED_SHARE
    finally:
        rig.close()


def _write_unreadable_entry(rig: rigs.Rig) -> None:
    """Write an entry whose address is text that can't be read."""
    entry = json.loads(rig.build_entry(rig.workers["w0"], 1))
    entry["Addr"] = "127.0.\ufffd\ufffd:8169"
    rig.record.write(f"entry of another writer, servers/other: {entry}")
    rig.store.put("servers", "other", json.dumps(entry).encode())


def _kill_and_restart(rig: rigs.Rig) -> None:
    for daemon in rig.daemons:
        rig.signal(daemon, signal.SIGKILL)
    gevent.sleep(DOWN_S)
    for daemon in rig.daemons:
        rig.start(daemon)


def _measure_share(rig: rigs.Rig) -> float:
    """Send jobs to all daemons; return the share that is completed."""
    served = 0
    for _ in range(ROUNDS):
        calls = [
            gevent.spawn(
                rig.call,
                daemon,
                "POST",
                rig.prefixes[0] + rigs.make_job_id(),
                rigs.build_job(tasks=2, run_ms=60),
            )
            for daemon in rig.daemons
        ]
        gevent.joinall(calls)
        served += sum(c.value.state == "completed" for c in calls)
    return served / (ROUNDS * len(rig.daemons))


if __name__ == "__main__":
    cases.main(pathlib.Path(__file__).parent, run)
