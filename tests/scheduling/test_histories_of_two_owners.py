"""Drawn histories of two owners: moves back, claims again, pauses and new links."""

import random
import unittest

from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import recovery
from tests.scheduling import test_two_owners
from tests.scheduling import two_owners

HISTORIES = 1200
EVENTS = 9
OWNERS = ("o1", "o2")
WORKERS = ("w1", "w2")


class History:
    """One history, drawn from a seed."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        rate = self._random.choice((1.0, test_two_owners.SLOW_CLOCK))
        self.simulation = two_owners.OwnersSimulation(rate)
        for worker_id in WORKERS:
            self.simulation.add_worker(worker_id)
        self.simulation.list_workers("o1", ["w1", "w2"])
        self.simulation.run(0.5)
        self.simulation.submit("a1")
        self.simulation.run(0.5)
        self._epoch = 1
        self._events = (
            self._cut_worker,
            self._heal_worker,
            self._claim,
            self._claim,
            self._follow,
            self._follow,
            self._cut_gateway,
            self._heal_gateway,
            self._suspend,
        )

    def play(self) -> list[str]:
        """Play the history; return the tasks that had two runs at a time."""
        for _ in range(EVENTS):
            self._random.choice(self._events)()
            self.simulation.run(
                self._random.choice((0.02, 0.1, 0.3, 0.6, 1.0, 1.4))
            )
        for owner in self.simulation.owners.values():
            owner.is_suspended = False
        self.simulation.run(4.0)
        return self.simulation.overlaps

    def _choose_owner(self) -> str:
        return self._random.choice(list(self.simulation.owners))

    def _cut_worker(self) -> None:
        loss = self._random.choice(list(two_owners.Loss))
        worker_id = self._random.choice(WORKERS)
        self.simulation.cut(self._choose_owner(), worker_id, loss)

    def _heal_worker(self) -> None:
        pairs = [p for p in self.simulation.cuts if p & set(WORKERS)]
        if pairs:
            self.simulation.heal(*self._random.choice(pairs))

    def _claim(self) -> None:
        """Let an owner claim (again), with a higher epoch than all."""
        owner_id = self._random.choice(OWNERS)
        owner = self.simulation.owners.get(owner_id)
        if owner is not None and owner.is_suspended:
            return
        self._epoch += 1
        if owner is None:
            self.simulation.claim(owner_id, self._epoch)
        else:
            now = self.simulation.now
            region = owner.simulation.region
            owner.simulation.region = recovery.rebuild_region(
                region, self._epoch, now
            )
            owner.simulation.region.is_worker_list_current = True
            owner.poll_due_at.clear()
            owner.unanswered.clear()
            owner.simulation.now = now
        self.simulation.list_workers(owner_id, list(WORKERS))

    def _follow(self) -> None:
        self.simulation.followed = self._choose_owner()

    def _cut_gateway(self) -> None:
        owner_id = self._choose_owner()
        pair = frozenset((owner_id, two_owners.GATEWAY_ID))
        if pair not in self.simulation.cuts:
            self.simulation.cut(owner_id, two_owners.GATEWAY_ID)

    def _heal_gateway(self) -> None:
        """Make a new link, as what the cut has lost does not come again."""
        for owner_id, owner in self.simulation.owners.items():
            pair = frozenset((owner_id, two_owners.GATEWAY_ID))
            if pair in self.simulation.cuts:
                self.simulation.heal(*pair)
                gateway_links.record_change(
                    owner.simulation.region,
                    two_owners.GATEWAY_ID,
                    True,
                    self.simulation.now,
                    two_owners.ATTEMPT_LEASE_S,
                )
                self.simulation.gateway.handle_link_change(owner_id)

    def _suspend(self) -> None:
        owner = self.simulation.owners[self._choose_owner()]
        owner.is_suspended = not owner.is_suspended


class HistoriesTest(unittest.TestCase):
    """Guards against two runs of a task at the same time."""

    def test_no_overlap(self):
        found = [seed for seed in range(HISTORIES) if History(seed).play()]
        self.assertEqual(found, [])
