"""Evacuation requests on their way from the store to an owner's decisions."""

import types
import unittest
from unittest import mock

import msgpack

from pollenladder.cluster import groups as layouts
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations
from pollenladder.fleet import regions
from pollenladder.fleet import worker_lists
from pollenladder.jobs import entities as jobs
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.scheduling import effects
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import tables
from pollenladder.service import engine as engines
from pollenladder.service import engine_callbacks
from pollenladder.service import evacuations as followers
from pollenladder.service import feeds
from pollenladder.service import job_exchange
from pollenladder.service import membership as memberships
from pollenladder.service import sessions
from tests.cluster import samples
from tests.scheduling import simulations

ROW = stores.Row("evacuate/norte", b"{}", 5)


class ScriptedStore:
    """A store that gives one prepared response to each call.

    Attributes:
        calls: Calls made so far, by kind.
        waits_s: How long each call for changes was to wait.
    """

    def __init__(self, *responses: stores.Snapshot | Exception):
        self.calls: dict[str, int] = {}
        self.waits_s: list[float] = []
        self._responses = list(responses)

    def read_table(self, table: str) -> stores.Snapshot:
        """Return the next response."""
        return self._next()

    def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> stores.Snapshot:
        """Return the next response."""
        self.waits_s.append(wait_s)
        return self._next()

    def _next(self) -> stores.Snapshot:
        if not self._responses:
            raise EOFError
        response = self._responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


class OperatorRowsTest(unittest.TestCase):
    """The set of evacuated data centres follows the rows of the store."""

    def setUp(self):
        self.is_confirmed = True
        self.store = ScriptedStore()

    def _follow(
        self, *responses: stores.Snapshot | Exception
    ) -> list[evacuations.EvacuatedSet]:
        """Return the sets that a daemon reads from some responses."""
        self.store = ScriptedStore(*responses)
        found: list[evacuations.EvacuatedSet] = []

        def handle(known: evacuations.EvacuatedSet) -> bool:
            found.append(known)
            return self.is_confirmed

        follower = feeds.Feeds(
            self.store,
            rosters.Member("d1", "10.0.0.1", 1, "norte", 1),
            feeds.Callbacks(
                on_configuration=lambda configuration: None,
                on_workers=lambda *workers: None,
                on_member=lambda member: None,
                on_layout=lambda *layout: None,
                get_epochs=dict,
                on_evacuated=lambda known, began_at: handle(known),
            ),
            lambda: 100.0,
            worker_lists.ListHistory(),
            report_interval_s=1.5,
        )
        with self.assertRaises(EOFError):
            follower.run_configuration()
        return found

    def test_row_that_is_added_and_deleted(self):
        deleted = stores.Row(ROW.key, b"", 6, is_removed=True)
        found = self._follow(
            stores.Snapshot(4, ()),
            stores.Snapshot(5, (ROW,)),
            stores.Snapshot(6, (deleted,)),
        )
        sets = [(known.version, known.data_centres) for known in found]
        self.assertEqual(sets, [(4, ()), (5, ("norte",)), (6, ())])

    def test_row_deleted_while_the_history_was_lost(self):
        # No feed reports the deletion; only the full read shows it.
        found = self._follow(
            stores.Snapshot(5, (ROW,)),
            exceptions.HistoryLostError("gone"),
            stores.Snapshot(9, ()),
        )
        sets = [known.data_centres for known in found]
        self.assertEqual(sets, [("norte",), ()])

    def test_unconfirmed_set_is_read_again_without_a_wait(self):
        # A daemon that was paused starts nothing until then.
        self.is_confirmed = False
        self._follow(stores.Snapshot(4, ()), stores.Snapshot(5, ()))
        self.assertEqual(self.store.waits_s, [0.0, 0.0])
        self.is_confirmed = True
        self._follow(stores.Snapshot(4, ()))
        self.assertEqual(self.store.waits_s, [feeds.CONFIGURATION_WAIT_S])

    def test_row_added_during_an_outage_of_the_store(self):
        found = self._follow(
            stores.Snapshot(4, ()),
            exceptions.StoreError("down"),
            stores.Snapshot(9, (ROW,)),
        )
        sets = [known.data_centres for known in found]
        self.assertEqual(sets, [(), ("norte",)])

    def test_other_and_invalid_rows_are_left_out(self):
        # A name without a bound would break the heartbeats.
        invalid = ("evacuate/", "evacuate/" + "x" * 5000, "evacuated", "config")
        found = self._follow(
            stores.Snapshot(
                5, (ROW, *(stores.Row(key, b"{}", 5) for key in invalid))
            )
        )
        self.assertEqual([known.data_centres for known in found], [("norte",)])

    def test_key_names_the_data_centre(self):
        self.assertEqual(rows.decode_evacuation("evacuate/a/b"), "a/b")


class HeartbeatTest(unittest.TestCase):
    """Daemons tell each other of a change at once."""

    def setUp(self):
        self.now = 100.0
        self.known = evacuations.Evacuations()
        self.changes: list[str] = []
        self.follower = followers.Follower(
            self.known,
            followers.Callbacks(
                on_change=lambda: self.changes.append("changed"),
                set_gauge=lambda number: None,
            ),
            lambda: self.now,
        )
        self.sent: list[tuple[messages.Heartbeat, list[str]]] = []
        roster = rosters.Roster("b")
        for name, data_centre in (("near", "norte"), ("far", "sur")):
            member = rosters.Member(name, "10.0.0.1", 1, data_centre, 1)
            roster.record_member(member, self.now)
            roster.record_link_state(name, True, self.now)
        roster.limit_near("norte")
        self.membership = memberships.Membership(
            1.0,
            roster,
            memberships.Callbacks(
                broadcast=lambda *sent: self.sent.append(sent),
                on_forgotten=lambda daemon_id: None,
                reads_store=lambda within_s: False,
                get_version=lambda: 1,
                get_layout_version=lambda: 1,
                list_crashing_queues=dict,
                is_leaving=lambda: False,
            ),
            lambda: self.now,
            worker_lists.ListHistory(),
            self.known,
        )
        self.membership.send_heartbeat_if_needed()
        self.sent.clear()

    def test_daemon_without_the_store_learns_and_passes_on(self):
        norte = evacuations.EvacuatedSet(7, ("norte",))
        heartbeat = samples.build_heartbeat(evacuated=norte)
        self.follower.handle_heartbeat("near", heartbeat)
        self.follower.handle_heartbeat("near", heartbeat)
        self.assertEqual(self.changes, ["changed"])
        self.membership.send_heartbeat_if_needed()
        ((sent, names),) = self.sent
        self.assertEqual(sent.evacuated, norte)
        self.assertEqual(set(names), {"near", "far"})

    def test_version_alone_is_no_reason_for_a_heartbeat(self):
        # The store's version changes many times a second.
        found = evacuations.EvacuatedSet(8, ())
        self.follower.handle_read(found, self.now)
        self.membership.send_heartbeat_if_needed()
        self.assertEqual(self.sent, [])

    def test_heartbeat_survives_the_codec(self):
        norte = evacuations.EvacuatedSet(7, ("norte", "sur"))
        heartbeat = samples.build_heartbeat(evacuated=norte)
        codec = messages.build_codec()
        packed = msgpack.unpackb(codec.encode(heartbeat))
        self.assertEqual(codec.decode(packed), heartbeat)


class EngineTest(unittest.TestCase):
    """A daemon that becomes the owner applies the set that it knows."""

    def test_claim_after_the_evacuation(self):
        known = evacuations.Evacuations()
        known.record_read(evacuations.EvacuatedSet(1, ("norte",)), 99.0, 99.0)
        answers = []
        engine = engines.Engine(
            simulations.LEASE_S,
            engine_callbacks.Callbacks(
                answer=lambda gateway_id, answer: answers.append(answer),
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: 0.0,
                count=lambda decision: None,
            ),
            lambda: 100.0,
            evacuations=known,
        )
        listings = [simulations.build_listing("w1")]
        engine.update_workers(listings, True, {})
        engine.claim(1, reads_store=True)
        self.assertTrue(engine.region.workers["w1"].is_evacuated)
        engine.submit(simulations.build_submission("a1"), "g1")
        self.assertEqual([a.reason.value for a in answers], ["no_workers"])


class SessionTest(unittest.TestCase):
    """An order that was decided on before a pause of the process."""

    def test_order_is_not_sent_after_a_pause(self):
        # Its lease would begin only now, so it would not bound the delay.
        limits = evacuations.build_limits(5.0, simulations.LEASE_S)
        known = evacuations.Evacuations(limits)
        region = tables.Region(1, 0.0, simulations.LEASE_S, evacuations=known)
        listing = simulations.build_listing("w1")
        maintenance.update_workers(region, [listing], float("-inf"), 1.0)
        callbacks = sessions.Callbacks(
            on_event=lambda: None,
            on_fenced=lambda worker_id: None,
            get_lag_s=lambda: 0.0,
        )
        now = 1.0
        worker = region.workers["w1"]
        session = sessions.Session(region, worker, callbacks, lambda: now)
        order = effects.StartRun("w1", "a1.0.0.0", 1, "(spec)")
        run = fleet.Run(
            order.task,
            order.number,
            order.worker_id,
            jobs.Resources(),
            fleet.RunState.STARTING,
            sent_at=now,
            expected_s=0.1,
        )
        region.add_run(worker, run)
        with mock.patch.object(session, "_client") as client:
            client.start.return_value = fleet.StartReply.STARTED
            known.is_current(now)
            session._start_run(order)
            client.start.assert_called_once()
            now += limits.max_pause_s + 0.1
            # The order itself is not outdated.
            run.state = fleet.RunState.STARTING
            run.sent_at = now
            session._start_run(order)
            client.start.assert_called_once()


class GroupChoiceTest(unittest.TestCase):
    """The groups to which a gateway sends a refused job."""

    def _choose_group(self, allowed: tuple[str, ...]) -> str:
        load = fleet.ServiceLoad(64_000, 64_000, 0.0)
        state = types.SimpleNamespace(loads={simulations.SERVICE: load})
        exchange = job_exchange.JobExchange(
            rosters.Member("d1", "10.0.0.1", 1, "norte", 1),
            types.SimpleNamespace(
                groups=dict.fromkeys(("norte/0", "sur/0", "este/0"))
            ),
            types.SimpleNamespace(get_group_state=lambda name: state),
            None,
            lambda answer, sender: None,
            lambda: 100.0,
            regions.Regions("andes", {"sur": "costa"}),
        )
        submission = simulations.build_submission("a1", allowed_regions=allowed)
        return exchange.choose_group(submission, frozenset({"este/0"}), False)

    def test_group_outside_the_allowed_regions_is_left_out(self):
        # It would refuse, and a gateway tries only a few groups.
        self.assertEqual(self._choose_group(()), "norte/0")
        self.assertEqual(self._choose_group(("costa",)), "sur/0")
        self.assertEqual(self._choose_group(("selva",)), "")

    def test_group_of_a_region_has_no_data_centre(self):
        self.assertEqual(layouts.get_data_centre(layouts.REGION_GROUP), "")
