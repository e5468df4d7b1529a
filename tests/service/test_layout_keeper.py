"""Who chooses the layout of groups, and when."""

import unittest

from pollenladder.cluster import groups
from pollenladder.cluster import roster as rosters
from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.service import layout_keeper
from tests.cluster import samples

ONE = groups.Layout(1, {})
ROW = 5


class LayoutKeeperTest(unittest.TestCase):
    """The daemon "b" and its peer "c"."""

    def setUp(self):
        self.applied: list[groups.Layout] = []
        self.written: list[tuple[groups.Layout, int]] = []
        self.is_keeper = False
        self.workers = 10
        self.roster = rosters.Roster("b")
        self.keeper = layout_keeper.LayoutKeeper(
            "b",
            1.0,
            self.roster,
            layout_keeper.Callbacks(
                get_layout=self._get_layout,
                apply_layout=self._apply,
                write_layout=lambda *written: self.written.append(written),
                list_workers=self._list_workers,
                is_keeper=lambda: self.is_keeper,
            ),
        )
        self._link("c")

    def _link(self, name: str, **changes: object) -> None:
        member = rosters.Member(name, "10.0.0.1", 1, "norte", 1)
        self.roster.record_member(member, 0.0)
        self.roster.record_link_state(name, True, 0.0)
        self.roster.record_heartbeat(
            name, samples.build_heartbeat(**changes), 0.0
        )

    def _apply(self, layout: groups.Layout) -> None:
        if layout.version > self._get_layout().version:
            self.applied.append(layout)

    def _get_layout(self) -> groups.Layout:
        return self.applied[-1] if self.applied else groups.Layout()

    def _list_workers(self) -> list[fleet.Listing]:
        capacity = jobs.Resources(1000, 1000)
        return [
            fleet.Listing(
                f"w{n}", ("10.0.0.1", 1), f"dc{n % 2}", "s", capacity, False
            )
            for n in range(self.workers)
        ]

    def test_first_layout_is_stored_and_applied_once_read_back(self):
        self.keeper.update(groups.Layout(), 0)
        self.assertEqual(self.written, [(ONE, 0)])
        self.assertEqual(self.applied, [])
        self.keeper.update(ONE, ROW)
        self.assertEqual(self.applied, [ONE])
        self.assertEqual(len(self.written), 1)

    def test_first_layout_is_chosen_by_the_smallest_id(self):
        self._link("a")
        self.keeper.update(groups.Layout(), 0)
        self.assertEqual(self.written, [])

    def test_nothing_is_chosen_without_workers(self):
        self.workers = 0
        self.keeper.update(groups.Layout(), 0)
        self.assertEqual(self.written, [])

    def test_lost_row_does_not_replace_the_layout_in_force(self):
        self.keeper.update(ONE, ROW)
        self.keeper.update(groups.Layout(), 0)
        self.assertEqual(self.written, [])

    def test_keeper_stores_the_layout_in_force_again(self):
        # Guards against a row that stays invalid: daemons that have not read a
        # layout read the table four times a second.
        self.is_keeper = True
        self.keeper.update(groups.Layout(3, {}), ROW)
        self.keeper.update(groups.Layout(), ROW + 1)
        self.assertEqual(self.written, [(groups.Layout(3, {}), ROW + 1)])

    def test_keeper_does_not_build_on_an_older_layout(self):
        self.is_keeper = True
        self.keeper.update(groups.Layout(3, {}), ROW)
        self.keeper.update(ONE, ROW + 1)
        self.assertEqual(self.written, [(groups.Layout(3, {}), ROW + 1)])

    def test_keeper_replaces_a_layout_that_no_longer_suffices(self):
        self.workers = int(3 * groups.WORKERS_PER_CORE)
        self.keeper.update(ONE, ROW)
        self.assertEqual(self.written, [])
        self.assertFalse(self.keeper.needs_change())
        self.is_keeper = True
        self.assertTrue(self.keeper.needs_change())
        self.keeper.update(ONE, ROW)
        ((layout, version),) = self.written
        self.assertEqual((layout.version, version), (2, ROW))
        self.assertEqual(layout.parts.keys(), {"dc0", "dc1"})

    def test_layout_follows_the_largest_daemon(self):
        self.workers = int(3 * groups.WORKERS_PER_CORE)
        self.is_keeper = True
        self._link("d", processor_cores=4.0)
        self.keeper.update(ONE, ROW)
        self.assertEqual(self.written, [])
