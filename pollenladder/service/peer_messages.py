"""Pass the messages of other daemons to the components that handle them."""

from collections.abc import Callable
import dataclasses

from pollenladder.cluster import messages
from pollenladder.service import configurations
from pollenladder.service import gateway as gateways
from pollenladder.service import groups
from pollenladder.service import job_exchange


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the receiver calls.

    Attributes:
        send: Sends a message to a daemon.
        on_heartbeat: Called with the sender and each heartbeat.
        on_job_cancelled: Called with a job's id and the sender that knows now that
            it was cancelled.
    """

    send: Callable[[str, object], object]
    on_heartbeat: Callable[[str, messages.Heartbeat], None]
    on_job_cancelled: Callable[[str, str], None]


class Receiver:
    """The messages of other daemons."""

    def __init__(
        self,
        exchange: job_exchange.JobExchange,
        gateway: gateways.Gateway,
        known: configurations.Configurations,
        all_groups: groups.Groups,
        callbacks: Callbacks,
    ):
        self._exchange = exchange
        self._gateway = gateway
        self._configurations = known
        self._groups = all_groups
        self._callbacks = callbacks

    def handle(self, sender: str, message: object) -> None:
        """Handle a message of any type."""
        if isinstance(message, messages.Heartbeat):
            self._handle_heartbeat(sender, message)
        elif isinstance(message, messages.Submit):
            self._handle_submit(sender, message)
        elif isinstance(message, messages.Answered):
            self._gateway.handle_answer(message.answer, sender)
        elif isinstance(message, messages.CancelAttempt):
            self._exchange.cancel_attempt_here(
                message.job_id, message.attempt, message.reason, sender
            )
        elif isinstance(message, messages.CancelJob):
            self._exchange.cancel_job_here(message.job_id)
            reply = messages.JobCancelled(message.job_id)
            self._callbacks.send(sender, reply)
        elif isinstance(message, messages.JobCancelled):
            self._callbacks.on_job_cancelled(message.job_id, sender)
        elif isinstance(message, messages.Release):
            self._exchange.release_here(
                message.group, message.job_id, message.attempt
            )
        elif isinstance(message, messages.Reserve):
            self._exchange.reserve_here(message, sender)
        elif isinstance(message, messages.Reserved):
            self._gateway.handle_reserved(message, sender)
        elif isinstance(message, messages.RunsElsewhere):
            self._exchange.record_elsewhere_here(message)
        elif isinstance(message, messages.TasksCrashed):
            self._gateway.handle_crashes(
                message.job_id, message.attempt, message.crashes
            )
        elif isinstance(message, messages.NotOwner):
            self._gateway.handle_not_owner(
                message.job_id, message.attempt, sender
            )
        elif isinstance(message, messages.RequestConfiguration):
            self._configurations.push(sender, message.version)
        elif isinstance(message, messages.PushConfiguration):
            self._configurations.apply_pushed(message)
        elif isinstance(message, messages.RequestLayout):
            self._push_layout(sender, message.version)
        elif isinstance(message, messages.PushLayout):
            self._groups.apply_layout(message.layout)

    def _handle_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> None:
        self._callbacks.on_heartbeat(sender, heartbeat)
        version = self._groups.layout.version
        if heartbeat.layout_version > version:
            self._callbacks.send(sender, messages.RequestLayout(version))
        self._configurations.request_newer(sender, heartbeat.config_version)

    def _handle_submit(self, sender: str, message: messages.Submit) -> None:
        submission = message.submission
        if not self._exchange.submit_here(message.group, submission, sender):
            reply = messages.NotOwner(submission.job_id, submission.attempt)
            self._callbacks.send(sender, reply)

    def _push_layout(self, sender: str, version: int) -> None:
        """Send the layout in force to a daemon that has an older one."""
        layout = self._groups.layout
        if version < layout.version:
            self._callbacks.send(sender, messages.PushLayout(layout))
