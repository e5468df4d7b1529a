"""Drain workers on an operator's word, whichever daemon that reaches.

The owner of the worker's shard has to know; it tells the other daemons of its
region, as one of them may own the shard next.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from gevent import event

from pollenladder.core import clocks
from pollenladder.dispatch import directory
from pollenladder.dispatch import tables
from pollenladder.gateway import exceptions
from pollenladder.wire import messages

REPLY_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1
# Nobody waits for the reply to a message with this request id.
NO_REPLY = 0


@dataclasses.dataclass(frozen=True)
class Outlets:
    """Functions that drains call.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        connect: Link to a daemon; return whether there is a link.
        list_linked: Return the linked daemons of this region.
        find_shard: Return the shard of a listed worker, or None.
    """

    send: Callable[[str, object], bool]
    connect: Callable[[str], bool]
    list_linked: Callable[[], Iterable[str]]
    find_shard: Callable[[str], str | None]


class Drains:
    """Workers of this region that operators drain.

    Attributes:
        workers: Their ids.
    """

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        outlets: Outlets,
        clock: clocks.Clock,
    ):
        self.workers: set[str] = set()
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._outlets = outlets
        self._clock = clock
        self._asked: dict[int, event.AsyncResult] = {}
        self._requests = NO_REPLY

    def drain(self, worker_id: str) -> bool:
        """Have no more tasks started on a worker.

        Returns:
            False if no such worker is listed, nor known to another region.

        Raises:
            exceptions.RequestError: The owner of its shard did not confirm.
        """
        shard_id = self._outlets.find_shard(worker_id)
        if shard_id is None:
            return self._ask_far(worker_id)
        if self._owns(shard_id):
            self._mark(worker_id, "")
            return True
        owner = self._shard_directory.entries.get(shard_id)
        if owner is None or not self._ask(owner.daemon_id, worker_id):
            raise exceptions.RequestError(
                503,
                "not_ready",
                "target",
                "the owner of the worker's shard did not confirm; ask again",
                RETRY_AFTER_S,
            )
        if shard_id in self._shards:
            self._note(worker_id)
        return True

    def take_message(self, sender: str, message: object) -> bool:
        """Handle a message about drains; return whether it is one."""
        if isinstance(message, messages.WorkerDrain):
            self._take_drain(sender, message)
            return True
        if isinstance(message, messages.WorkerDrainReply):
            asked = self._asked.pop(message.request_id, None)
            if asked:
                asked.set(message.is_owner)
            return True
        return False

    def tell(self, daemon_id: str) -> None:
        """Tell a daemon of this region, newly linked, of all drains."""
        for worker_id in sorted(self.workers):
            told = messages.WorkerDrain(NO_REPLY, worker_id)
            self._outlets.send(daemon_id, told)

    def apply(self, listed_ids: set[str]) -> None:
        """Mark workers in the tables after the VM list was read."""
        self.workers &= listed_ids
        for shard in self._shards.values():
            for worker_id in self.workers & shard.workers.keys():
                shard.workers[worker_id].leaving = True

    def _owns(self, shard_id: str) -> bool:
        shard = self._shards.get(shard_id)
        return shard is not None and shard.ownership_is_held(self._clock())

    def _ask_far(self, worker_id: str) -> bool:
        """Ask the owners in other regions, whose workers are not listed here."""
        owners = {
            entry.daemon_id
            for entry in self._shard_directory.entries.values()
            if entry.shard_id not in self._shards
        }
        return any(self._ask(owner, worker_id) for owner in sorted(owners))

    def _ask(self, daemon_id: str, worker_id: str) -> bool:
        """Ask the owner; return whether it says that it is and has done so."""
        if not self._outlets.connect(daemon_id):
            return False
        self._requests += 1
        request_id = self._requests
        asked = self._asked[request_id] = event.AsyncResult()
        self._outlets.send(
            daemon_id, messages.WorkerDrain(request_id, worker_id)
        )
        try:
            return asked.get(timeout=REPLY_TIMEOUT_S)
        except event.Timeout:
            return False
        finally:
            self._asked.pop(request_id, None)

    def _take_drain(self, sender: str, message: messages.WorkerDrain) -> None:
        self._mark(message.worker_id, sender)
        if message.request_id == NO_REPLY:
            return
        shard_id = self._outlets.find_shard(message.worker_id)
        is_owner = shard_id is not None and self._owns(shard_id)
        reply = messages.WorkerDrainReply(message.request_id, is_owner)
        self._outlets.send(sender, reply)

    def _mark(self, worker_id: str, sender: str) -> None:
        """Mark a worker, and pass on what is news here."""
        if worker_id in self.workers:
            return
        self._note(worker_id)
        for daemon_id in self._outlets.list_linked():
            if daemon_id != sender:
                told = messages.WorkerDrain(NO_REPLY, worker_id)
                self._outlets.send(daemon_id, told)

    def _note(self, worker_id: str) -> None:
        self.workers.add(worker_id)
        for shard in self._shards.values():
            if worker_id in shard.workers:
                shard.workers[worker_id].leaving = True
