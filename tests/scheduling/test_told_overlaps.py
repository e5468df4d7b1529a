"""Both owners of an overlap tell the job, in random histories without some rule."""

from collections.abc import Iterator
import itertools
import unittest

from pollenladder.jobs import entities as jobs
from tests.scheduling.overlaps import histories
from tests.scheduling.overlaps import searches
from tests.scheduling.overlaps import twins

# Without each of them, daemons that are parted or restart let runs overlap.
RULES = ("silent", "restarted", "unclaimed", "departed", "unconfirmed")
SEEDS = range(1, 61)
MAX_OVERLAPS_PER_RULE = 3
# Fewer show too little; another rule may make one of these superfluous.
MIN_OVERLAPS = 6
# By then, all records are written.
AFTER_OVERLAP_S = 3.0


class ToldOverlapsTest(unittest.TestCase):
    """Guards against an overlap of which an owner's log does not name the job.

    Without a rule there are overlaps, whatever is done against others.
    """

    def test_both_owners_of_an_overlap_tell_the_job(self):
        found = 0
        for rule in RULES:
            overlaps = itertools.islice(
                _find_overlaps(rule), MAX_OVERLAPS_PER_RULE
            )
            for seed, history in overlaps:
                found += 1
                with self.subTest(rule=rule, seed=seed):
                    self._check_told(history)
        self.assertGreaterEqual(found, MIN_OVERLAPS)

    def _check_told(self, history: histories.History) -> None:
        told = {
            event.fields["epoch"]
            for event in history.events
            if event.name == "attempt_at_owner"
            and event.fields["job"] == jobs.parse_job_id(history.overlap.task)
        }
        self.assertLessEqual(_find_epochs(history), told)


def _find_overlaps(rule: str) -> Iterator[tuple[int, histories.History]]:
    """Yield the seeds and histories with an overlap without a rule."""
    for seed in SEEDS:
        with twins.take_out(rule):
            history = _play(twins.TWINS[rule].draw(seed))
        if history.overlap is not None:
            yield seed, history


def _play(plan: searches.Plan) -> histories.History:
    history = histories.History(plan.seed, plan.shape, plan.faults, plan.habits)
    history.run(AFTER_OVERLAP_S)
    return history


def _find_epochs(history: histories.History) -> set[int]:
    """Return the epochs of the owners that have started the overlapping runs."""
    overlap = history.overlap
    # The last run of the task on each of the workers until the overlap.
    epochs = {
        event.who: event.fields["epoch"]
        for event in history.events
        if event.name == "run_begins"
        and event.at <= overlap.at
        and event.fields["task"] == overlap.task
        and event.who in overlap.workers
    }
    return set(epochs.values())
