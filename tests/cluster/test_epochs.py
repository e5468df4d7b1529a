"""Epochs grow and differ, even if wall clocks jump or differ."""

import unittest
import zlib

from pollenladder.cluster import epochs

NOW_S = 1_800_000_000.0


class EpochTest(unittest.TestCase):
    """Epochs of daemons whose wall clocks jump."""

    def test_later_epoch_is_higher(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        self.assertGreater(epochs.make_epoch("b", NOW_S + 0.01, 0), first)

    def test_epoch_is_higher_after_the_clock_went_back(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        second = epochs.make_epoch("b", NOW_S - 3600.0, first)
        self.assertGreater(second, first)

    def test_clock_before_the_origin_gives_a_positive_epoch(self):
        self.assertGreater(epochs.make_epoch("a", 0.0, 0), 0)

    def test_skipping_ahead_exceeds_epochs_made_by_others_since(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        other = epochs.make_epoch("b", NOW_S + 5.0, 0)
        self.assertGreater(epochs.skip_ahead(first), other)

    def test_later_claim_has_the_higher_epoch_on_a_clock_that_is_behind(self):
        # The daemons know of the same earlier epoch, but not of each other's claims.
        known = epochs.make_epoch("c", NOW_S + 5.0, 0)
        for first_id, later_id in (("a", "b"), ("b", "a")):
            first = epochs.make_epoch(
                first_id, NOW_S, epochs.advance(known, 1.0)
            )
            later = epochs.make_epoch(
                later_id, NOW_S - 2.0, epochs.advance(known, 1.1)
            )
            with self.subTest(later_id=later_id):
                self.assertGreater(later, first)

    def test_no_epoch_is_known_at_first(self):
        self.assertEqual(epochs.advance(0, 1e9), 0)

    def test_daemons_that_claim_at_once_have_different_epochs(self):
        # The first two ids have the same hash.
        ids = ["front-sur-2", "front-norte-2"]
        ids += [f"front-{place}-{n}" for place in "abcde" for n in range(40)]
        made = {epochs.make_epoch(i, NOW_S, 0, ids) for i in ids}
        self.assertEqual(len(made), len(ids))

    def test_more_daemons_than_numbers_have_an_epoch(self):
        ids = [f"d{n}" for n in range(2 * epochs.DAEMON_NUMBERS)]
        self.assertGreater(epochs.make_epoch(ids[-1], NOW_S, 0, ids), 0)


class EpochsOfManyDaemonsTest(unittest.TestCase):
    """Guards against equal epochs, and against a lead that only grows."""

    def test_daemons_that_know_different_ones_have_different_numbers(self):
        by_number: dict[int, list[str]] = {}
        for index in range(4000):
            name = f"front-{index}"
            number = zlib.crc32(name.encode()) % epochs.DAEMON_NUMBERS
            by_number.setdefault(number, []).append(name)
        equal = []
        for number in range(epochs.DAEMON_NUMBERS - 1):
            same, after = by_number[number], by_number[number + 1]
            if len(same) < 2 or not after:
                continue
            first, second = sorted(same)[:2]
            third = max(after)
            # The second daemon does not know the third one, and conversely.
            wall_s = 1_800_000_000.0
            one = epochs.make_epoch(second, wall_s, 0, {first})
            other = epochs.make_epoch(third, wall_s, 0, set())
            if one == other:
                equal.append((first, second, third))
        self.assertEqual(equal[:1], [])

    def test_epochs_return_to_the_wall_clock(self):
        # A clock that was a day ahead once, and is right since; a claim each hour.
        wall_s = 1_800_000_000.0
        highest = epochs.make_epoch("a", wall_s + 86_400, 0)
        for hour in range(1, 49):
            highest = epochs.make_epoch(
                "a", wall_s + hour * 3600, epochs.advance(highest, 3600)
            )
        newcomer = epochs.make_epoch("b", wall_s + 48 * 3600 + 1, 0)
        self.assertGreater(newcomer, highest)
