"""Daemons that were cut off from each other until they had forgotten each other."""

from collections.abc import Iterable
import unittest

from pollenladder.cluster import roster as rosters
from tests.scheduling.overlaps import faults
from tests.scheduling.overlaps import histories
from tests.scheduling.overlaps import shapes

SEEDS = range(1, 4)
# Long enough for daemons to forget each other, once they have noticed the cut.
CUT_S = rosters.FORGET_AFTER_S + 4.0
# Even without its row, a daemon would be tried for a part of this time.
LONG_CUT_S = rosters.ROWLESS_RETRY_LIMIT_S + 2 * rosters.FORGET_AFTER_S
# Within this time after a cut, all daemons follow one owner again.
RECOVERY_S = 6.0
WATCHED_S = 6.0
REGION = shapes.Shape(("ambato", "quito", "manta"))
ISOLATED = "front-manta-1"


class ForgottenDaemonsTest(unittest.TestCase):
    """Cuts between daemons that all reach the store and the workers.

    Guards against daemons that never connect to each other again, so that two of
    them claim the workers by turns.
    """

    def test_data_centre_that_was_cut_off_follows_the_owner_again(self):
        inside = tuple(
            name
            for name, centre in REGION.list_daemons().items()
            if centre == "manta"
        )
        self._check_reunion(inside)

    def test_daemon_that_was_cut_off_follows_the_owner_again(self):
        self._check_reunion((ISOLATED,))

    def test_daemon_that_was_cut_off_for_long_follows_the_owner_again(self):
        self._check_reunion((ISOLATED,), LONG_CUT_S, SEEDS[:1])

    def _check_reunion(
        self,
        inside: tuple[str, ...],
        cut_s: float = CUT_S,
        seeds: Iterable[int] = SEEDS,
    ) -> None:
        names = tuple(REGION.list_daemons())
        outside = tuple(name for name in names if name not in inside)
        for seed in seeds:
            cut = faults.Fault(
                faults.Kind.CUT, faults.BEGIN_AT, cut_s, inside, outside
            )
            recovered_at = faults.BEGIN_AT + cut_s + RECOVERY_S
            history = histories.History(
                seed, REGION, [cut], end_at=recovered_at + WATCHED_S
            )
            history.run()
            with self.subTest(seed=seed):
                self.assertIsNone(history.overlap)
                self.assertTrue(_list(history, "daemon_forgotten"))
                self.assertEqual(len(_list_owners(history)), 1)
                claims = _list(history, "ownership_claimed")
                late = [claim for claim in claims if claim.at > recovered_at]
                self.assertEqual(late, [])


def _list(history: histories.History, name: str) -> list[histories.Event]:
    return [event for event in history.events if event.name == name]


def _list_owners(history: histories.History) -> set[str]:
    """Return the owners that the daemons follow at the end."""
    followed = {
        event.who: event.fields["owner"]
        for event in _list(history, "owner_changed")
    }
    return set(followed.values())
