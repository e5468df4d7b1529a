"""Detect which workers this daemon reaches."""

from collections.abc import Callable
from collections.abc import Iterable
import logging

import gevent
from gevent import socket

from pollenladder.core import clocks
from pollenladder.fleet import entities as fleet
from pollenladder.logs import lines as logs

LOGGER = logging.getLogger(__name__)

PROBES_PER_DATA_CENTRE = 3
CONNECT_TIMEOUT_S = 0.2
# A result is valid for this long. Afterwards, the next call starts a new probe.
RESULT_TTL_S = 0.5


class Reachability:
    """Probes a few workers of each data centre by connecting to them."""

    def __init__(
        self,
        data_centre: str,
        list_workers: Callable[[], Iterable[fleet.Listing]],
        clock: clocks.Clock,
    ):
        self._data_centre = data_centre
        self._list_workers = list_workers
        self._clock = clock
        self._probed_at = float("-inf")
        self._is_isolated = False
        self._reaches_workers = False
        self._is_probing = False

    def is_data_centre_isolated(self) -> bool:
        """Return whether only workers in this data centre are reachable.

        The result is False if no workers in other data centres are known. This
        method never blocks: if there is no valid result, it starts a probe in
        the background and returns False, so that no daemon claims the workers
        without a result.
        """
        return self._is_result_valid() and self._is_isolated

    def reaches_workers(self) -> bool:
        """Return whether any worker is reachable; it never blocks either."""
        return self._is_result_valid() and self._reaches_workers

    def _is_result_valid(self) -> bool:
        if self._clock() - self._probed_at <= RESULT_TTL_S:
            return True
        if not self._is_probing:
            self._is_probing = True
            gevent.spawn(self._probe)
        return False

    def _probe(self) -> None:
        try:
            self._probe_targets()
        finally:
            self._is_probing = False

    def _probe_targets(self) -> None:
        here, elsewhere = self._choose_targets()
        probes = [gevent.spawn(_can_connect, a) for a in here + elsewhere]
        gevent.joinall(probes)
        results = [probe.value for probe in probes]
        reached_here = any(results[: len(here)])
        reached_elsewhere = any(results[len(here) :])
        self._is_isolated = (
            reached_here and bool(elsewhere) and not reached_elsewhere
        )
        self._reaches_workers = reached_here or reached_elsewhere
        self._probed_at = self._clock()
        logs.log(
            LOGGER,
            "reachability_probed",
            here=reached_here,
            elsewhere=reached_elsewhere,
            probes=len(probes),
        )

    def _choose_targets(self) -> tuple[list, list]:
        here: list[tuple[str, int]] = []
        by_data_centre: dict[str, list[tuple[str, int]]] = {}
        for listing in self._list_workers():
            if listing.data_centre == self._data_centre:
                here.append(listing.address)
            else:
                addresses = by_data_centre.setdefault(listing.data_centre, [])
                addresses.append(listing.address)
        elsewhere = []
        for addresses in by_data_centre.values():
            elsewhere += addresses[:PROBES_PER_DATA_CENTRE]
        return here[:PROBES_PER_DATA_CENTRE], elsewhere


def _can_connect(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, CONNECT_TIMEOUT_S).close()
    except OSError:
        return False
    return True
