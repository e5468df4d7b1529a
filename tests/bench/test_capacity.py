"""Tests of the capacity page's arithmetic."""

import dataclasses
import pathlib
import tempfile
import unittest

from bench.capacity import budget
from bench.capacity import pages
from bench.capacity import slopes
from bench.capacity import target

LINE = [(1, 12.0), (10, 30.0), (100, 210.0)]


def build_slope(name, fixed, slope):
    return slopes.fit(
        name, "x", "us", [[(x, fixed + slope * x) for x in (1, 10, 100)]]
    )


class Flat(dict):
    """Slopes that cost nothing unless they are set."""

    def __missing__(self, name):
        return build_slope(name, 0.0, 0.0)


def build_known(**lines):
    known = Flat(
        {name: build_slope(name, *line) for name, line in lines.items()}
    )
    known.setdefault("job_owner_us", build_slope("job_owner_us", 1000, 300))
    known.setdefault("job_gateway_us", build_slope("job_gateway_us", 1000, 40))
    return known


class SlopeTest(unittest.TestCase):
    def test_a_line_is_the_median_of_its_repeats(self):
        steeper = [(size, 3 * value) for size, value in LINE]
        found = slopes.fit("s", "x", "us", [LINE, LINE, steeper])
        self.assertAlmostEqual(found.fixed, 10.0)
        self.assertAlmostEqual(found.slope, 2.0)
        self.assertAlmostEqual(found.high, 6.0)
        self.assertAlmostEqual(found.compute(1000), 2010.0)
        self.assertLess(found.fit, 0.9)

    def test_a_line_needs_three_sizes(self):
        for points in (LINE[:2], [LINE[0]] * 3):
            with self.assertRaises(ValueError):
                slopes.fit("s", "x", "us", [points])

    def test_a_falling_line_never_costs_less_than_nothing(self):
        self.assertEqual(build_slope("s", 1.0, -1.0).compute(50), 0.0)

    def test_recorded_slopes_are_those_of_their_points(self):
        known = {"s": slopes.fit("s", "x", "us", [LINE])}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "slopes.json"
            slopes.write_slopes(path, known)
            self.assertEqual(slopes.list_faults(slopes.read_slopes(path)), [])
        for field in ("fixed", "slope", "low", "high", "fit"):
            wrong = {"s": dataclasses.replace(known["s"], **{field: 0.5})}
            self.assertEqual(len(slopes.list_faults(wrong)), 1, field)


class TargetTest(unittest.TestCase):
    def test_daemons_follow_from_the_cost_of_a_start(self):
        layout = target.lay_out(build_known(), 100)
        self.assertEqual((layout.workers, layout.shards), (577, 494))
        self.assertAlmostEqual(layout.owner_us, 310.0)
        self.assertAlmostEqual(layout.gateway_us, 50.0)
        # 890,000 starts of 360 us on cores busy for 0.7, in 26 data centres.
        self.assertEqual(layout.centre_daemons, 18 + 1)
        # Those of 26 / 9 data centres, and 2 each way in each of the others.
        self.assertEqual(layout.links, round(19 * 26 / 9 - 1 + 4 * 26 * 8 / 9))

    def test_small_jobs_need_more_daemons(self):
        sizes = [target.lay_out(build_known(), n).daemons for n in (100, 10, 1)]
        self.assertEqual(sizes, sorted(sizes))
        self.assertGreater(sizes[1], sizes[0])


class BudgetTest(unittest.TestCase):
    def find(self, known, start):
        lines = budget.list_lines(known)
        return next(one for one in lines if one.name.startswith(start))

    def test_lines_scale_with_the_target(self):
        known = build_known(
            idle_workers_owner_leases=(5.0, 1.0),
            idle_workers_owner_cpu_us=(900.0, 150.0),
            lease_bytes=(400.0, 100.0),
            declare_us=(10.0, 2.0),
        )
        leases = self.find(known, "lease")
        self.assertAlmostEqual(leases.per_s, 32.0)
        self.assertAlmostEqual(leases.cpu_us, 4800.0)
        self.assertAlmostEqual(leases.octets, 12_800.0)
        shares = self.find(known, "declarations, changed: shares")
        expected = 5600 / 86400 * 494 / 9 * (10 + 2 * 494)
        self.assertAlmostEqual(shares.cpu_us, expected, places=3)

    def test_lines_at_times_are_not_in_the_steady_sum(self):
        known = build_known(load_message_bytes=(0.0, 60.0))
        lines = budget.list_lines(known)
        self.assertEqual(budget.sum_lines(lines, True), (0.0, 0.0))
        self.assertAlmostEqual(
            budget.sum_lines(lines, False)[1], 493 * 50 * 60 * 32 / 494
        )


class PageTest(unittest.TestCase):
    def build(self, **lines):
        earlier = build_known(
            declare_us=(0, 1),
            vms_parse_bytes=(0, 1),
            push_bytes=(0, 1),
            push_us=(0, 1),
            idle_vms_owner_cpu_us=(0, 1),
            idle_vms_other_cpu_us=(0, 1),
        )
        known = build_known(
            **{name: (1, 1) for name in earlier if name not in build_known()},
            poll_bytes=(1, 1),
            delta_bytes=(1, 1),
            delta_us=(1, 1),
            **lines,
        )
        return pages.build_tables(known, earlier)

    def test_a_page_agrees_until_a_figure_differs(self):
        tables = self.build()
        names = [
            f"<!-- table {name} -->\n<!-- end -->" for name in tables.parts
        ]
        page = pages.fill("\n\n".join(names), tables)
        self.assertEqual(pages.list_differences(page, tables), [])
        self.assertEqual(pages.fill(page, tables), page)
        other = self.build(poll_us=(0, 5000))
        self.assertTrue(pages.list_differences(page, other))
        for wrong in (
            page.replace("| 494 |", "| 495 |", 1),
            page.replace("<!-- table store -->", "", 1),
        ):
            self.assertNotEqual(wrong, page)
            self.assertTrue(pages.list_differences(wrong, tables))

    def test_what_is_over_is_named(self):
        name = "lease renewals of idle workers, and looks at them: bytes"
        over = self.build(lease_bytes=(400, 0)).over
        self.assertNotIn(name, over)
        over = self.build(
            lease_bytes=(400, 0), idle_workers_owner_leases=(0, 1)
        ).over
        self.assertIn(name, over)
        self.assertIn("all steady lines: bytes", over)
