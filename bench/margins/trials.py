"""Measure cases on one site, step by step, as the standard input says.

Each site has a process of its own, so that the links and workers of one site do not
delay those of the others. Each line of the input is a `Step` as JSON, and each is
answered with the `Result` of the step on a line of the standard output.
"""

import contextlib
import dataclasses
import json
import random
import sys
import time

import gevent

from bench.margins import cases
from bench.margins import figures
from bench.margins import sites

LAG_INTERVAL_S = 0.005
# A trial does not count if the process with the workers and links was late by more.
MAX_LAG_S = 0.05
MAX_STARTS = 4
LAG_CASE = "measuring process: longest delay of a trial"


@dataclasses.dataclass(frozen=True)
class Step:
    """A step of a trial.

    Attributes:
        name: "prepare", "measure" or "recover".
        case: The name of the case.
    """

    name: str
    case: str


@dataclasses.dataclass
class Result:
    """What was measured.

    Attributes:
        samples: All samples.
        skipped: A line for each trial that does not count, or could not begin or end.
    """

    samples: list[figures.Sample] = dataclasses.field(default_factory=list)
    skipped: list[str] = dataclasses.field(default_factory=list)

    def add(self, other: "Result") -> None:
        """Add another result."""
        self.samples += other.samples
        self.skipped += other.skipped


class Trials:
    """The trials on one site.

    Attributes:
        jobs: The jobs of the current trial; none if it could not begin.
    """

    def __init__(self, site: sites.Site):
        self.jobs: list[sites.Job] = []
        self._site = site

    def run(self, step: Step) -> Result:
        """Run a step and return what it has measured."""
        case = next(case for case in cases.CASES if case.name == step.case)
        result = Result()
        steps = {
            "prepare": self._prepare,
            "measure": self._measure,
            "recover": self._recover,
        }
        try:
            steps[step.name](case, result)
        except sites.NotReadyError as error:
            result.skipped.append(f"{case.name}: {error}")
        return result

    def _prepare(self, case: cases.Case, result: Result) -> None:
        del result
        self.jobs = []
        self.jobs = case.prepare(self._site)

    def _measure(self, case: cases.Case, result: Result) -> None:
        if not self.jobs:
            return
        self._site.read_logs()
        for job in self.jobs:
            self._site.find_run(job)
            if job.run.ended_s is not None:
                raise sites.NotReadyError(
                    f"a run {job.run.how} before the fault"
                )
        delays_s = [0.0]
        lag = gevent.spawn(_measure_lag, delays_s)
        samples = case.measure(self._site, self.jobs)
        lag.kill()
        lag_s = max(delays_s)
        result.samples.append(figures.Sample(LAG_CASE, lag_s))
        if lag_s > MAX_LAG_S:
            result.skipped.append(
                f"{case.name}: measuring process late by {lag_s:.3f} s"
            )
            return
        result.samples += samples

    def _recover(self, case: cases.Case, result: Result) -> None:
        del case, result
        self._site.recover()


def _measure_lag(delays_s: list[float]) -> None:
    """Record by how much this process, with the workers, is late itself."""
    while True:
        due_s = time.monotonic() + LAG_INTERVAL_S
        gevent.sleep(LAG_INTERVAL_S)
        delays_s.append(time.monotonic() - due_s)


def encode_result(result: Result) -> str:
    """Return a result as a line of JSON."""
    return json.dumps(dataclasses.asdict(result))


def decode_result(line: str) -> Result:
    """Return the result in a line of JSON."""
    fields = json.loads(line)
    samples = [figures.Sample(**sample) for sample in fields["samples"]]
    return Result(samples, fields["skipped"])


def start_site(stack: contextlib.ExitStack, seed: int) -> sites.Site:
    """Start a site in which each group is owned in its own data centre.

    On a busy machine, a daemon may claim all groups before its peers have started.
    Then the site starts anew.

    Args:
        stack: Ends the processes of the site.
        seed: The seed of the site.

    Raises:
        NotReadyError: The site was not settled in time, several times in a row.
    """
    for _ in range(MAX_STARTS):
        with contextlib.ExitStack() as own_stack:
            site = sites.Site(own_stack.callback, random.Random(seed))
            with contextlib.suppress(sites.NotReadyError):
                site.wait_until_settled()
                stack.push(own_stack.pop_all())
                return site
    raise sites.NotReadyError(f"not settled in {MAX_STARTS} starts")


def main(seed: int) -> None:
    """Run the steps in the standard input until it ends."""
    with contextlib.ExitStack() as stack:
        trials = Trials(start_site(stack, seed))
        print(encode_result(Result()), flush=True)
        read_line = sys.stdin.readline
        # Links and workers go on while a thread waits for the next step.
        while line := gevent.get_hub().threadpool.apply(read_line):
            result = trials.run(Step(**json.loads(line)))
            print(encode_result(result), flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]))
