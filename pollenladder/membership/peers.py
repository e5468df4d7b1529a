"""The table of daemons, and whom to connect to.

Rows come from the VM list, from hints in the settings and from what peers tell
in their hellos. No daemon is special: any one that is known leads to the others.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import math

from pollenladder.membership import hashing

# Links to daemons of a data centre none of whose shard owners is known.
FOREIGN_LINKS = 2
SUSPECT_AFTER_S = 2.0
# Longer than the VM list lags, so that it brings no gone daemon back.
FORGET_AFTER_S = 300.0


class PeerState(enum.Enum):
    """What is known of a daemon's life.

    Attributes:
        LIVE: It was heard lately, or is listed and was never heard.
        SUSPECT: It has been silent.
        LEAVING: It takes no new work.
        GONE: It has left, or is no longer listed and silent.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


# Of two rows of one incarnation, the later in this order counts.
PRECEDENCE = (
    PeerState.LIVE,
    PeerState.SUSPECT,
    PeerState.LEAVING,
    PeerState.GONE,
)


@dataclasses.dataclass
class Peer:
    """One daemon.

    Attributes:
        daemon_id: The daemon.
        incarnation: Grows with each start of it; 0 if not known.
        data_centre: Where it is.
        address: An IP number.
        port: Its port for peers.
        http_port: Its port for callers.
        state: Its state as its own words or the VM list tell.
        last_heard: When it was last heard itself; -inf if never.
        changed_at: When its row last changed.
        listed: Whether the VM list has it.
    """

    daemon_id: str
    incarnation: int
    data_centre: str
    address: str
    port: int
    http_port: int = 0
    state: PeerState = PeerState.LIVE
    last_heard: float = -math.inf
    changed_at: float = -math.inf
    listed: bool = False


@dataclasses.dataclass
class Peers:
    """All daemons known to this one, without itself.

    Attributes:
        daemon_id: This daemon.
        data_centre: Where it is.
        rows: By daemon id.
    """

    daemon_id: str
    data_centre: str
    rows: dict[str, Peer] = dataclasses.field(default_factory=dict)


def merge(table: Peers, told: Iterable[Peer], now: float) -> list[str]:
    """Take over what a hint or another peer tells.

    A later incarnation replaces a row. Within one incarnation only its own word
    or a later state (live, suspect, leaving, gone) changes the row, so that
    rows told in any order end alike; suspicion is each daemon's own matter and
    is not taken over.

    Returns:
        Ids of the daemons whose rows are new or changed.
    """
    changed = []
    for peer in told:
        if peer.daemon_id == table.daemon_id:
            continue
        row = table.rows.get(peer.daemon_id)
        if row is not None and not _supersedes(peer, row):
            continue
        is_same = row is not None and row.incarnation == peer.incarnation
        table.rows[peer.daemon_id] = dataclasses.replace(
            peer,
            changed_at=now,
            last_heard=row.last_heard if is_same else -math.inf,
            listed=row is not None and row.listed,
        )
        changed.append(peer.daemon_id)
    return changed


def merge_vm_list(table: Peers, listed: Iterable[Peer], now: float) -> None:
    """Take over the daemons of the VM list, which lags.

    A daemon that is not listed any more and is silent is gone; a daemon that is
    heard lives, whatever the list says.
    """
    by_id = {peer.daemon_id: peer for peer in listed}
    merge(table, by_id.values(), now)
    for row in table.rows.values():
        vm = by_id.get(row.daemon_id)
        was_listed, row.listed = row.listed, vm is not None
        is_silent = now - row.last_heard >= SUSPECT_AFTER_S
        if was_listed and not row.listed and is_silent:
            _set_state(row, PeerState.GONE, now)


def record_heard(table: Peers, peer: Peer, now: float) -> None:
    """Note a hello or a heartbeat of the daemon itself; its word counts."""
    row = table.rows.get(peer.daemon_id)
    if row is not None and row.incarnation > peer.incarnation:
        return
    changed_at = now
    if row is not None and _is_same(row, peer):
        changed_at = row.changed_at
    table.rows[peer.daemon_id] = dataclasses.replace(
        peer,
        last_heard=now,
        changed_at=changed_at,
        listed=row.listed if row else False,
    )


def record_alive(table: Peers, daemon_id: str, now: float) -> None:
    """Note any frame of a daemon."""
    row = table.rows.get(daemon_id)
    if row is None:
        return
    row.last_heard = now
    if row.state is PeerState.SUSPECT:
        _set_state(row, PeerState.LIVE, now)


def record_silent(table: Peers, daemon_id: str, now: float) -> None:
    """Note that a daemon cannot be reached."""
    row = table.rows.get(daemon_id)
    if row is not None and row.state is PeerState.LIVE:
        _set_state(row, PeerState.SUSPECT, now)


def expire(table: Peers, now: float) -> None:
    """Suspect the daemons that fell silent; forget those long gone."""
    for row in list(table.rows.values()):
        if row.state is PeerState.LIVE and row.last_heard > -math.inf:
            if now - row.last_heard >= SUSPECT_AFTER_S:
                _set_state(row, PeerState.SUSPECT, now)
        elif row.state in (PeerState.GONE, PeerState.SUSPECT):
            is_old = now - row.changed_at >= FORGET_AFTER_S
            if is_old and not row.listed:
                del table.rows[row.daemon_id]


def list_live(table: Peers, data_centre: str) -> list[str]:
    """Return the live daemons of a data centre, this one included, sorted."""
    found = [
        row.daemon_id
        for row in table.rows.values()
        if row.data_centre == data_centre and row.state is PeerState.LIVE
    ]
    if data_centre == table.data_centre:
        found.append(table.daemon_id)
    return sorted(found)


def choose_links(table: Peers, owners: Mapping[str, str]) -> list[str]:
    """Return the daemons to have a link to, sorted.

    Args:
        table: The peers.
        owners: The daemon last known to own each shard, by shard id.

    Returns:
        All daemons of the own data centre; of each other one the owners of its
        shards, or a few by rendezvous hashing while none of them is known.
    """
    usable = [
        row for row in table.rows.values() if row.state is not PeerState.GONE
    ]
    owner_ids = set(owners.values())
    chosen = set()
    foreign: dict[str, list[str]] = {}
    for row in usable:
        if row.data_centre == table.data_centre:
            chosen.add(row.daemon_id)
        else:
            foreign.setdefault(row.data_centre, []).append(row.daemon_id)
    for ids in foreign.values():
        known = owner_ids.intersection(ids)
        ranked = hashing.rank_daemons(table.daemon_id, ids)
        chosen |= known or set(ranked[:FOREIGN_LINKS])
    return sorted(chosen)


def list_rumours(table: Peers, since: float) -> list[Peer]:
    """Return the rows that changed at `since` or later, for a hello."""
    rows = table.rows.values()
    return sorted(
        (row for row in rows if row.changed_at >= since),
        key=lambda row: row.daemon_id,
    )


def _supersedes(told: Peer, row: Peer) -> bool:
    if told.incarnation != row.incarnation:
        return told.incarnation > row.incarnation
    if told.state is PeerState.SUSPECT:
        return False
    return PRECEDENCE.index(told.state) > PRECEDENCE.index(row.state)


def _is_same(row: Peer, peer: Peer) -> bool:
    return (row.incarnation, row.state, row.address, row.port) == (
        peer.incarnation,
        peer.state,
        peer.address,
        peer.port,
    )


def _set_state(row: Peer, state: PeerState, now: float) -> None:
    row.state = state
    row.changed_at = now
