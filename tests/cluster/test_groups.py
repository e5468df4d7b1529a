"""Layouts of groups, and the group of each worker."""

import unittest

from pollenladder.cluster import groups

CORES = 1.0
MAX_WORKERS = int(groups.WORKERS_PER_CORE * CORES)
UNKNOWN = groups.Layout()
SPLIT = groups.Layout(1, {"norte": 1, "sur": 2})


class ChooseLayoutTest(unittest.TestCase):
    """How many groups the workers need."""

    def _choose(
        self, workers: dict[str, int], layout: groups.Layout = UNKNOWN
    ) -> groups.Layout:
        return groups.choose_layout(layout, workers, CORES)

    def test_few_workers_are_one_group(self):
        layout = self._choose({"norte": MAX_WORKERS - 1, "sur": 1})
        self.assertEqual(layout, groups.Layout(1, {}))

    def test_more_workers_are_split_by_data_centre(self):
        layout = self._choose({"norte": MAX_WORKERS - 1, "sur": 2})
        self.assertEqual(layout.parts, {"norte": 1, "sur": 1})

    def test_large_data_centre_is_split_further(self):
        layout = self._choose({"norte": 4 * MAX_WORKERS, "sur": 10})
        self.assertEqual(layout.parts, {"norte": 4, "sur": 1})

    def test_groups_keep_enough_workers_for_wide_jobs(self):
        # So small an owner could carry four workers only.
        layout = groups.choose_layout(
            groups.Layout(), {"norte": 2 * groups.MIN_GROUP_WORKERS}, 0.05
        )
        self.assertEqual(layout.parts, {"norte": 2})

    def test_layout_that_suffices_stays(self):
        self.assertIs(self._choose({"norte": 9, "sur": 9}, SPLIT), SPLIT)

    def test_layout_only_grows(self):
        layout = self._choose({"norte": 2 * MAX_WORKERS, "sur": 1}, SPLIT)
        self.assertEqual(layout, groups.Layout(2, {"norte": 2, "sur": 2}))

    def test_target_of_15_000_workers(self):
        workers = {f"dc{number}": 588 for number in range(26)}
        layout = groups.choose_layout(groups.Layout(), workers, 2.0)
        names = groups.list_groups(layout)
        self.assertEqual(len(names), 26 * 4)


class FindGroupTest(unittest.TestCase):
    """The group of a worker."""

    def test_every_worker_belongs_to_a_group_of_its_data_centre(self):
        names = groups.list_groups(SPLIT)
        found = set()
        for number in range(100):
            group = groups.find_group(SPLIT, "sur", f"w{number}")
            self.assertEqual(groups.get_data_centre(group), "sur")
            found.add(group)
        self.assertEqual(found, {"sur/0", "sur/1"})
        self.assertLessEqual(found, set(names))

    def test_region_that_is_not_split(self):
        group = groups.find_group(groups.Layout(1), "sur", "w1")
        self.assertEqual(group, groups.REGION_GROUP)
        self.assertEqual(groups.get_data_centre(group), "")
