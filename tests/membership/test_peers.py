"""Tests of the table of daemons."""

import itertools
import unittest

from pollenladder.membership import peers

LIVE = peers.PeerState.LIVE
SUSPECT = peers.PeerState.SUSPECT
LEAVING = peers.PeerState.LEAVING
GONE = peers.PeerState.GONE


def make_peer(daemon_id, data_centre="quito-norte", incarnation=1, state=LIVE):
    return peers.Peer(
        daemon_id, incarnation, data_centre, "127.0.0.1", 7000, state=state
    )


def make_table(*told):
    table = peers.Peers("me", "quito-norte")
    peers.merge(table, told, 0.0)
    return table


class MergeTest(unittest.TestCase):
    def test_rows_end_alike_in_any_order(self):
        told = [
            make_peer("a", incarnation=1, state=GONE),
            make_peer("a", incarnation=2),
            make_peer("a", incarnation=2, state=LEAVING),
            make_peer("a", incarnation=1),
        ]
        for order in itertools.permutations(told):
            row = make_table(*order).rows["a"]
            self.assertEqual((row.incarnation, row.state), (2, LEAVING))

    def test_nothing_is_told_of_oneself_or_of_suspicion(self):
        table = make_table(
            make_peer("me"), make_peer("a"), make_peer("a", state=SUSPECT)
        )
        self.assertEqual(list(table.rows), ["a"])
        self.assertIs(table.rows["a"].state, LIVE)

    def test_own_word_beats_rumour(self):
        table = make_table(make_peer("a", state=GONE))
        peers.record_heard(table, make_peer("a"), 1.0)
        self.assertIs(table.rows["a"].state, LIVE)
        peers.record_heard(table, make_peer("a", incarnation=0), 2.0)
        self.assertEqual(table.rows["a"].incarnation, 1)

    def test_vm_list_removes_only_the_silent(self):
        vms = [make_peer("a", incarnation=0), make_peer("b", incarnation=0)]
        table = make_table()
        peers.merge_vm_list(table, vms, 0.0)
        peers.record_heard(table, make_peer("b"), 9.0)
        peers.merge_vm_list(table, [], 10.0)
        self.assertIs(table.rows["a"].state, GONE)
        self.assertIs(table.rows["b"].state, LIVE)

    def test_stale_vm_list_brings_no_gone_daemon_back(self):
        table = make_table(make_peer("a", state=GONE))
        peers.merge_vm_list(table, [make_peer("a", incarnation=0)], 1.0)
        self.assertIs(table.rows["a"].state, GONE)


class SilenceTest(unittest.TestCase):
    def test_silent_peers_are_suspected_and_heard_ones_live(self):
        table = make_table()
        peers.record_heard(table, make_peer("a"), 1.0)
        peers.expire(table, 2.9)
        self.assertEqual(peers.list_live(table, "quito-norte"), ["a", "me"])
        peers.expire(table, 3.0)
        self.assertEqual(peers.list_live(table, "quito-norte"), ["me"])
        peers.record_alive(table, "a", 4.0)
        self.assertIs(table.rows["a"].state, LIVE)
        peers.record_silent(table, "a", 4.5)
        self.assertIs(table.rows["a"].state, SUSPECT)

    def test_the_long_gone_are_forgotten(self):
        table = make_table(make_peer("a", state=GONE), make_peer("b"))
        peers.expire(table, peers.FORGET_AFTER_S)
        self.assertEqual(list(table.rows), ["b"])


class LinkTest(unittest.TestCase):
    def make_table(self):
        names = ("quito-norte", "quito-sur", "ambato")
        return make_table(
            *(make_peer(f"{n}-{i}", n) for n in names for i in range(4)),
            make_peer("quito-norte-old", "quito-norte", state=GONE),
        )

    def test_all_at_home_and_owners_elsewhere(self):
        table = self.make_table()
        owners = {"quito-sur/0": "quito-sur-3", "ambato/0": "unknown"}
        links = peers.choose_links(table, owners)
        home = [f"quito-norte-{i}" for i in range(4)]
        self.assertEqual([x for x in links if x in home], home)
        self.assertNotIn("quito-norte-old", links)
        sur = [x for x in links if x.startswith("quito-sur")]
        self.assertEqual(sur, ["quito-sur-3"])
        ambato = [x for x in links if x.startswith("ambato")]
        self.assertEqual(len(ambato), peers.FOREIGN_LINKS)

    def test_rumours_are_what_changed(self):
        table = make_table(make_peer("a"), make_peer("b"))
        peers.record_heard(table, make_peer("b", state=LEAVING), 5.0)
        rumours = peers.list_rumours(table, 1.0)
        self.assertEqual([row.daemon_id for row in rumours], ["b"])
