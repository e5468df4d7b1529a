"""Tests of `bench.disruptions` and the command that reports them."""

import argparse
import io
import json
import pathlib
import tempfile
import unittest

import msgspec

from bench.commands import disruptions
from bench.disruptions import listings
from bench.disruptions import plans

# The forms in which the listing of the users' bench names variants.
LISTING = """\
Each entry has 'at' and 'kind'.
'plan' holds planned work, 'faults' the rest.
For machines, 'how' may also hold turn (those cut off least), leader or follower \
(it doesn't lead; with power also wipe). After these may stand meet (a change), \
hard and, for roll_term, busy (each is stopped). Cuts are silent unless 'how' \
holds reset or refuse.
closing = { kind = kill_all | off_all, down_s } strikes at the end (with a lost \
disk, others too; how timed: 5 to 400 ms after; how taken: after work)

lost: x (.5) of the answers
leave: share leave (half); how once: they stay; prompt: jobs are cancelled
cut: share (.1); how: all (from all), servers (share of them; with reborn they crash)
late: x of the orders; how: orders | cloud (calls to it) | all
grey: how: errors shed, slow (x (8) times), + one_zone (in to_zone)
lying: say well (how: errors hang), or say ill (how: bad)
ack: loses power; how: kill, taken (at work; + gone: for good)
store: how nodes: for some (busy 503, many 429; leader: first; revoke, in cuts: away). \
Else: the store; how: silent, and lapse (leases end); log, tables: with a share
history: how: drain (in the gap); log, how: rebalance (all), rewind (back)
herd: how: power; on core: all, with how off they lose power for for_s
"""
VARIANTS = {
    plans.ANY_KIND: {
        *("turn", "leader", "follower", "wipe"),
        *("meet", "hard", "busy", "reset", "refuse"),
    },
    "kill_all": {"timed", "taken"},
    "off_all": {"timed", "taken"},
    "lost": set(),
    "leave": {"once", "prompt"},
    "cut": {"all", "servers", "reborn"},
    "late": {"orders", "cloud", "all"},
    "grey": {"errors", "shed", "slow", "one_zone"},
    "lying": {"errors", "hang", "bad"},
    "ack": {"kill", "taken", "gone"},
    "store": {"nodes", "busy", "many", "leader", "revoke", "silent", "lapse"},
    "history": {"drain", "rebalance", "rewind"},
    "herd": {"power", "off"},
}
SITE = """\
name = "site"
machines = [{ class = "front", count = 2 }]
troubles = [{ kind = "late", x = 0.1 }]
[[day]]
closing = { kind = "kill_all", down_s = 1.0, how = "taken" }
plan = [{ at = 1.0, kind = "herd", how = "power" }]
[[further]]
faults = [{ at = 1.0, kind = "cut", how = "servers reset" }]
"""
DAY = 'name = "day"\nfaults = [{ at = 5.0, kind = "leave", how = "once" }]\n'
HUNT = {"cmd": "hunt", "days": [{"name": "x", "troubles": ["lost"]}, {}]}
SCORE = {"cmd": "score", "days": [{"name": "x", "troubles": ["grey"]}]}


class ListingTest(unittest.TestCase):
    def test_variants_of_each_kind(self):
        # A variant that is not found would never be reported as missing.
        found = listings.parse(LISTING)
        for kind, variants in VARIANTS.items():
            with self.subTest(kind):
                self.assertEqual(
                    {d.variant for d in found if d.kind == kind} - {""},
                    variants,
                )

    def test_each_is_listed_once(self):
        # One that is listed twice would count twice.
        found = listings.parse(LISTING)
        self.assertEqual(len(found), len(set(found)))
        kinds = {d.kind for d in found if not d.variant}
        self.assertEqual(kinds, VARIANTS.keys() - {plans.ANY_KIND})


class FilesTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name: str, text: str) -> pathlib.Path:
        path = self.folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
        return path

    def test_site(self):
        # A site's own days, planned work and final faults count like its list.
        found = plans.read_file(self.write("site.toml", SITE))
        for disruption in (
            plans.Disruption("late"),
            plans.Disruption("kill_all", "taken"),
            plans.Disruption("herd", "power"),
            plans.Disruption("cut", "servers"),
            plans.Disruption(plans.ANY_KIND, "reset"),
        ):
            self.assertIn(disruption, found)

    def test_day_without_a_table(self):
        # Some day files hold the day at their top level.
        found = plans.read_file(self.write("day.toml", DAY))
        self.assertIn(plans.Disruption("leave", "once"), found)

    def test_invalid_file(self):
        # A file that isn't a day is reported, not taken for an empty one.
        path = self.write("bad.toml", 'faults = ["cut"]\n')
        with self.assertRaises(msgspec.DecodeError):
            plans.read_file(path)

    def test_only_hunts_of_the_journal_count(self):
        # A score plays a site's own days and draws nothing.
        paths = [
            self.write("1.json", json.dumps(HUNT)),
            self.write("2.json", json.dumps(SCORE)),
        ]
        self.assertEqual(plans.read_hunts(paths), {plans.Disruption("lost")})

    def test_report_names_what_occurs_nowhere(self):
        # The report would be of no use if it listed a disruption that is played.
        self.write("days/day.toml", DAY)
        self.write("journal/1.json", json.dumps(HUNT))
        options = argparse.Namespace(
            sites=[self.write("site.toml", SITE)],
            kinds=io.StringIO(LISTING),
            days=self.folder / "days",
            journal=self.folder / "journal",
            out=self.folder / "out",
        )
        result = disruptions.run(options, self.folder).result
        self.assertIn("leave prompt", result["nowhere"])
        self.assertNotIn("leave once", result["nowhere"])
        self.assertNotIn("lost", result["nowhere"])
        self.assertIn("lost", result["missing"]["site"])
        self.assertIn("leave", result["missing"]["hunts"])
