"""Defects to inject into the daemon, which the soak test must detect.

Each defect disables one safeguard of the daemon by replacing a function.
"""

from collections.abc import Callable
import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.platform import rows
from pollenladder.platform import workers
from pollenladder.scheduling import crashes
from pollenladder.scheduling import intake
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import order_replies
from pollenladder.scheduling import runs
from pollenladder.scheduling import unknown_runs
from pollenladder.service import configurations
from pollenladder.service import dispatcher
from pollenladder.service import gateway
from soak import foreign_rows


def _forget_other_owners() -> None:
    """Start tasks at once even if an earlier owner may have started them."""
    unknown_runs.knows_all_runs = lambda region, now: True


def _retry_without_reply() -> None:
    """Treat a start without a reply as a start that was not sent."""
    handle = order_replies.handle_start_reply

    def handle_as_not_sent(region, order, reply, now):
        if reply is fleet.StartReply.NO_REPLY:
            reply = fleet.StartReply.NOT_SENT
        handle(region, order, reply, now)

    order_replies.handle_start_reply = handle_as_not_sent


def _send_no_epoch() -> None:
    """Send worker requests with epoch 1, so that older owners aren't fenced."""
    for name in ("start", "stop", "poll"):
        setattr(workers.WorkerClient, name, _drop_epoch(name))


def _drop_epoch(name: str) -> Callable:
    call = getattr(workers.WorkerClient, name)
    epoch_index = {"start": 4, "stop": 2, "poll": 0}[name]

    def call_without_epoch(client, *arguments):
        changed = list(arguments)
        changed[epoch_index] = 1
        return call(client, *changed)

    return call_without_epoch


def _refuse_what_has_begun() -> None:
    """Answer "not run" for a job that an earlier owner may have started."""
    submit = intake.submit

    def submit_as_new(region, submission, gateway_id, now):
        changed = dataclasses.replace(submission, may_have_begun=False)
        submit(region, changed, gateway_id, now)

    intake.submit = submit_as_new
    runs.has_runs = lambda region, job_id: False


def _lapse_too_early() -> None:
    """Treat the leases of runs on a silent worker as expired at once."""
    maintenance.have_leases_expired = lambda worker, now: True


def _complete_too_early() -> None:
    """Answer a job as soon as its first task is done."""
    job_ends.finish_if_complete.__globals__["tables"].Job.is_complete = (
        lambda job: any(task.took_s for task in job.tasks)
    )


def _keep_jobs_of_lost_owners() -> None:
    """Do not forward open jobs when the link to their owner is lost."""
    gateway.Gateway.handle_link_lost = lambda own, daemon_id: None
    gateway.Gateway.forward_open_jobs = lambda own: None


def _heed_no_leaving() -> None:
    """Treat draining workers as ready ones."""
    decode = rows.decode_worker

    def decode_as_ready(worker_id, value):
        return dataclasses.replace(decode(worker_id, value), is_draining=False)

    rows.decode_worker = decode_as_ready


def _miss_configurations() -> None:
    """Apply only the first configuration."""
    apply = configurations.Configurations.apply

    def apply_first(own, found):
        if own.routes is None:
            apply(own, found)

    configurations.Configurations.apply = apply_first


def _fail_on_foreign_rows() -> None:
    """Let a row of another writer raise an unexpected exception."""
    decode = rows.decode_worker

    def decode_or_fail(worker_id, value):
        if worker_id == foreign_rows.KEY:
            raise ZeroDivisionError
        return decode(worker_id, value)

    rows.decode_worker = decode_or_fail


def _drop_callers_at_stop() -> None:
    """Exit at once on a stop request, without waiting for open calls."""
    dispatcher.Dispatcher._shut_down = lambda own, server: None


def _take_refusals_for_crashes() -> None:
    """Take a refusal for a crash, which nothing takes back."""
    record = crashes.record_crash

    def record_for_good(region, worker, evidence, now):
        record(region, worker, fleet.ProcessEnd.REPLACED, now)

    crashes.record_crash = record_for_good
    fleet.Worker.has_closed_connections = lambda own: True


DEFECTS: dict[str, Callable[[], None]] = {
    "forget_other_owners": _forget_other_owners,
    "retry_without_reply": _retry_without_reply,
    "send_no_epoch": _send_no_epoch,
    "refuse_what_has_begun": _refuse_what_has_begun,
    "lapse_too_early": _lapse_too_early,
    "complete_too_early": _complete_too_early,
    "keep_jobs_of_lost_owners": _keep_jobs_of_lost_owners,
    "heed_no_leaving": _heed_no_leaving,
    "miss_configurations": _miss_configurations,
    "fail_on_foreign_rows": _fail_on_foreign_rows,
    "drop_callers_at_stop": _drop_callers_at_stop,
    "take_refusals_for_crashes": _take_refusals_for_crashes,
}
