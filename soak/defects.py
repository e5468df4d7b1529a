"""Guards taken out of the daemon, to show that the soak notices."""

from collections.abc import Callable
import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.platform import rows
from pollenladder.platform import workers
from pollenladder.scheduling import intake
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from pollenladder.service import dispatcher
from pollenladder.service import gateway


def _forget_other_owners() -> None:
    """Start tasks at once that an earlier owner may have begun."""
    runs.knows_all_runs = lambda region, now: True


def _retry_without_reply() -> None:
    """Take a start without a reply for one that was not sent."""
    read = replies.handle_start_reply

    def take(region, order, reply, now):
        if reply is fleet.StartReply.NO_REPLY:
            reply = fleet.StartReply.NOT_SENT
        read(region, order, reply, now)

    replies.handle_start_reply = take


def _send_no_epoch() -> None:
    """Order workers without the epoch that fences out older owners."""
    for name in ("start", "stop", "poll"):
        setattr(workers.WorkerClient, name, _drop_epoch(name))


def _drop_epoch(name: str) -> Callable:
    call = getattr(workers.WorkerClient, name)
    place = {"start": 4, "stop": 2, "poll": 0}[name]

    def order(client, *arguments):
        changed = list(arguments)
        changed[place] = 1
        return call(client, *changed)

    return order


def _refuse_what_has_begun() -> None:
    """Answer "not run" for a job that an earlier owner may have begun."""
    submit = intake.submit

    def forget(region, submission, gateway_id, now):
        known = dataclasses.replace(submission, may_have_begun=False)
        submit(region, known, gateway_id, now)

    intake.submit = forget
    runs.has_runs = lambda region, job_id: False


def _lapse_too_early() -> None:
    """Take runs on a silent worker for lapsed at once."""
    maintenance.have_leases_expired = lambda worker, now: True


def _complete_too_early() -> None:
    """Answer a job when its first task is done."""
    intake.finish_if_complete.__globals__["tables"].Job.is_complete = (
        lambda job: any(task.took_s for task in job.tasks)
    )


def _keep_jobs_of_lost_owners() -> None:
    """Hand no job on when its owner is gone."""
    gateway.Gateway.handle_link_lost = lambda own, daemon_id: None
    gateway.Gateway.forward_open_jobs = lambda own: None


def _heed_no_leaving() -> None:
    """Take workers that leave for others."""
    decode = rows.decode_worker

    def read(worker_id, value):
        return dataclasses.replace(decode(worker_id, value), is_draining=False)

    rows.decode_worker = read


def _miss_configurations() -> None:
    """Put only the first configuration in force."""
    take = dispatcher.Dispatcher._apply_configuration

    def take_first(own, found):
        if own._routes is None:
            take(own, found)

    dispatcher.Dispatcher._apply_configuration = take_first


def _drop_callers_at_stop() -> None:
    """End at once when told to stop."""
    dispatcher.Dispatcher._shut_down = lambda own, server: None


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
    "drop_callers_at_stop": _drop_callers_at_stop,
}
