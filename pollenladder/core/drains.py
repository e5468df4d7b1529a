"""Drains of workers, which an operator may request from any daemon.

The request is forwarded to the owner of the worker's shard. The owner notifies
the other daemons of its region, because one of them may own the shard next.
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
# Request id of a notification, which gets no reply.
NO_REPLY_ID = 0


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that `WorkerDrains` calls.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        connect: Connect to a daemon; return whether there is a link.
        list_linked: Return the daemons of this region with an open link.
        find_shard: Return the shard of a worker in the VM list, or None.
    """

    send: Callable[[str, object], bool]
    connect: Callable[[str], bool]
    list_linked: Callable[[], Iterable[str]]
    find_shard: Callable[[str], str | None]


class WorkerDrains:
    """The workers of this region that operators drain.

    Attributes:
        workers: The ids of these workers.
    """

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self.workers: set[str] = set()
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._callbacks = callbacks
        self._clock = clock
        self._pending_replies: dict[int, event.AsyncResult] = {}
        self._last_request_id = NO_REPLY_ID

    def drain(self, worker_id: str) -> bool:
        """Stop starting tasks on a worker.

        Returns:
            False if the worker is neither in the VM list of this region nor
            known to an owner in another region.

        Raises:
            exceptions.RequestError: The owner of the worker's shard did not
                confirm the drain.
        """
        shard_id = self._callbacks.find_shard(worker_id)
        if shard_id is None:
            return self._request_from_remote_owners(worker_id)
        if self._owns(shard_id):
            self._record_and_notify(worker_id, "")
            return True
        owner = self._shard_directory.entries.get(shard_id)
        if owner is None or not self._request(owner.daemon_id, worker_id):
            raise exceptions.RequestError(
                503,
                "not_ready",
                "target",
                "the owner of the worker's shard did not confirm; ask again",
                RETRY_AFTER_S,
            )
        if shard_id in self._shards:
            self._record(worker_id)
        return True

    def handle_message(self, sender: str, message: object) -> bool:
        """Handle a message about drains; return False if it is another one."""
        if isinstance(message, messages.WorkerDrain):
            self._handle_drain(sender, message)
            return True
        if isinstance(message, messages.WorkerDrainReply):
            pending = self._pending_replies.pop(message.request_id, None)
            if pending:
                pending.set(message.is_owner)
            return True
        return False

    def send_all(self, daemon_id: str) -> None:
        """Notify a newly linked daemon of this region of all drains."""
        for worker_id in sorted(self.workers):
            notification = messages.WorkerDrain(NO_REPLY_ID, worker_id)
            self._callbacks.send(daemon_id, notification)

    def apply_vm_list(self, listed_ids: set[str]) -> None:
        """Forget drains of unlisted workers, and mark the others as leaving.

        The VM list may have added rows of drained workers to the tables.

        Args:
            listed_ids: The workers in the VM list.
        """
        self.workers &= listed_ids
        for shard in self._shards.values():
            for worker_id in self.workers & shard.workers.keys():
                shard.workers[worker_id].leaving = True

    def _owns(self, shard_id: str) -> bool:
        shard = self._shards.get(shard_id)
        return shard is not None and shard.ownership_is_held(self._clock())

    def _request_from_remote_owners(self, worker_id: str) -> bool:
        """Request the drain from owners in other regions.

        Their workers are not in this daemon's VM list.
        """
        owners = {
            entry.daemon_id
            for entry in self._shard_directory.entries.values()
            if entry.shard_id not in self._shards
        }
        return any(self._request(owner, worker_id) for owner in sorted(owners))

    def _request(self, daemon_id: str, worker_id: str) -> bool:
        """Request a drain; return whether the daemon confirmed it as owner."""
        if not self._callbacks.connect(daemon_id):
            return False
        self._last_request_id += 1
        request_id = self._last_request_id
        pending = self._pending_replies[request_id] = event.AsyncResult()
        self._callbacks.send(
            daemon_id, messages.WorkerDrain(request_id, worker_id)
        )
        try:
            return pending.get(timeout=REPLY_TIMEOUT_S)
        except event.Timeout:
            return False
        finally:
            self._pending_replies.pop(request_id, None)

    def _handle_drain(self, sender: str, message: messages.WorkerDrain) -> None:
        self._record_and_notify(message.worker_id, sender)
        if message.request_id == NO_REPLY_ID:
            return
        shard_id = self._callbacks.find_shard(message.worker_id)
        is_owner = shard_id is not None and self._owns(shard_id)
        reply = messages.WorkerDrainReply(message.request_id, is_owner)
        self._callbacks.send(sender, reply)

    def _record_and_notify(self, worker_id: str, sender: str) -> None:
        """Record a drain; if it is new, notify the region except the sender."""
        if worker_id in self.workers:
            return
        self._record(worker_id)
        for daemon_id in self._callbacks.list_linked():
            if daemon_id != sender:
                notification = messages.WorkerDrain(NO_REPLY_ID, worker_id)
                self._callbacks.send(daemon_id, notification)

    def _record(self, worker_id: str) -> None:
        """Record a drain and mark the worker as leaving in the tables."""
        self.workers.add(worker_id)
        for shard in self._shards.values():
            if worker_id in shard.workers:
                shard.workers[worker_id].leaving = True
