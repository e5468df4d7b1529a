"""Measure a case on several sites at once, beside busy processes."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import pathlib
import subprocess
import sys
import time

from bench.margins import busy
from bench.margins import trials

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Time from the start of the load to the fault.
WARM_UP_S = 0.7
END_TIMEOUT_S = 10.0


@contextlib.contextmanager
def start_sites(count: int, seed: int) -> Iterator[list[subprocess.Popen]]:
    """Start sites, each in a process, and wait until they are settled."""
    started = [_start_site(seed * 1000 + index) for index in range(count)]
    try:
        for site in started:
            _read_result(site)
        yield started
    finally:
        for site in started:
            site.stdin.close()
        for site in started:
            site.wait(END_TIMEOUT_S)
            site.stdout.close()


def _start_site(seed: int) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "bench.margins.trials", str(seed)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def run(
    started: Sequence[subprocess.Popen], case: str, load: int
) -> trials.Result:
    """Measure a case once on each site, beside a number of busy processes."""
    result = _run_step(started, trials.Step("prepare", case))
    with busy.keep_busy(load):
        time.sleep(WARM_UP_S)
        result.add(_run_step(started, trials.Step("measure", case)))
    result.add(_run_step(started, trials.Step("recover", case)))
    return result


def _run_step(
    started: Sequence[subprocess.Popen], step: trials.Step
) -> trials.Result:
    for site in started:
        site.stdin.write(json.dumps(dataclasses.asdict(step)) + "\n")
        site.stdin.flush()
    result = trials.Result()
    for site in started:
        result.add(_read_result(site))
    return result


def _read_result(site: subprocess.Popen) -> trials.Result:
    line = site.stdout.readline()
    if not line:
        raise RuntimeError(f"a site ended with {site.wait(END_TIMEOUT_S)}")
    return trials.decode_result(line)
