"""Every event that a daemon logs, with its fields.

Fields keep their names across events; a suffix gives the unit (`_s` seconds, `_ms`
milliseconds). `job`, `task`, `run` and `worker` are ids and numbers as workers and
callers know them; `peer`, `owner`, `gateway`, `sender` and `rival` are daemons.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """What an event is about."""

    PROCESS = "process"
    DEPENDENCY = "dependency"
    CONFIGURATION = "configuration"
    OWNERSHIP = "ownership"
    WORKER = "worker"
    RUN = "run"
    JOB = "job"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event.

    Attributes:
        name: Its name, the field `event` of its lines.
        kind: What it is about.
        meaning: What has happened, in a few words.
        fields: What its lines carry besides time, level and daemon.
    """

    name: str
    kind: Kind
    meaning: str
    fields: tuple[str, ...] = ()


_RUN_FIELDS = ("job", "task", "run", "worker")

_ALL = (
    Event("started", Kind.PROCESS, "it serves", ("data_centre", "incarnation")),
    Event("stopping", Kind.PROCESS, "it was told to stop", ("open_jobs",)),
    Event(
        "stopped",
        Kind.PROCESS,
        "it ends",
        ("drained", "open_jobs", "took_s"),
    ),
    Event("reloaded", Kind.PROCESS, "settings were read again", ("changed",)),
    Event("reload_failed", Kind.PROCESS, "settings are bad", ("error",)),
    Event(
        "greenlet_failed",
        Kind.PROCESS,
        "a part of it ended by an error",
        ("greenlet",),
    ),
    Event("log_lines_dropped", Kind.PROCESS, "lines were left out", ("lines",)),
    Event("store_lost", Kind.DEPENDENCY, "the store fails", ("calls",)),
    Event("store_regained", Kind.DEPENDENCY, "it answers again", ("calls",)),
    Event(
        "store_failed",
        Kind.DEPENDENCY,
        "the call by which it was lost",
        ("what", "error"),
    ),
    Event(
        "history_lost",
        Kind.DEPENDENCY,
        "a table is read whole, as changes were forgotten",
        ("table", "version"),
    ),
    Event(
        "row_rejected",
        Kind.DEPENDENCY,
        "a row of the store is of no use",
        ("key", "version", "error"),
    ),
    Event("link_made", Kind.DEPENDENCY, "a peer is linked", ("peer",)),
    Event("link_ended", Kind.DEPENDENCY, "a peer is not linked", ("peer",)),
    Event("link_lost", Kind.DEPENDENCY, "why a link ended", ("peer", "reason")),
    Event(
        "daemon_found",
        Kind.DEPENDENCY,
        "a peer was found in the store",
        ("peer", "incarnation"),
    ),
    Event(
        "daemon_forgotten",
        Kind.DEPENDENCY,
        "a peer was away for long",
        ("peer",),
    ),
    Event(
        "reachability_probed",
        Kind.DEPENDENCY,
        "whether workers are reached here and in other data centres",
        ("here", "elsewhere", "probes"),
    ),
    Event(
        "configuration_changed",
        Kind.CONFIGURATION,
        "a newer one is in force",
        ("version", "before", "queues"),
    ),
    Event(
        "configuration_rejected",
        Kind.CONFIGURATION,
        "a peer sent one that can't be read",
        ("version", "error"),
    ),
    Event(
        "owner_changed",
        Kind.OWNERSHIP,
        "another owner, or none, is followed",
        ("owner", "before"),
    ),
    Event(
        "ownership_claimed",
        Kind.OWNERSHIP,
        "it orders the workers from now on",
        ("epoch", "reason"),
    ),
    Event(
        "ownership_resigned",
        Kind.OWNERSHIP,
        "it orders no worker any more",
        ("epoch", "reason", "owner"),
    ),
    Event(
        "owner_suspected_falsely",
        Kind.OWNERSHIP,
        "an owner that was taken for lost was only slow",
        ("peer", "lag_s", "alarms"),
    ),
    Event(
        "shedding_changed",
        Kind.OWNERSHIP,
        "the owner falls behind, or no more, and a share of new jobs is refused",
        ("share", "late_s", "lag_s"),
    ),
    Event(
        "fenced",
        Kind.OWNERSHIP,
        "a worker has seen a higher epoch than ours",
        ("worker", "epoch"),
    ),
    Event("worker_listed", Kind.WORKER, "it is new in the list", ("worker",)),
    Event("worker_unlisted", Kind.WORKER, "it is not listed", ("worker",)),
    Event("worker_draining", Kind.WORKER, "it gets no new work", ("worker",)),
    Event(
        "worker_lapsed",
        Kind.WORKER,
        "its entry went without a farewell",
        ("worker",),
    ),
    Event(
        "worker_lost",
        Kind.WORKER,
        "it gets no new work, as looks got no reply",
        ("worker", "missed_looks", "runs"),
    ),
    Event(
        "worker_reached",
        Kind.WORKER,
        "it answers, for the first time or again",
        ("worker", "runs", "ends"),
    ),
    Event(
        "worker_restarted",
        Kind.WORKER,
        "another incarnation; earlier runs are gone",
        ("worker", "born_ms", "runs"),
    ),
    Event(
        "worker_fenced",
        Kind.WORKER,
        "it obeys another owner",
        ("worker", "epoch"),
    ),
    Event(
        "look_missed",
        Kind.WORKER,
        "a look got no usable reply",
        ("worker", "error", "missed"),
    ),
    Event(
        "order_dropped",
        Kind.WORKER,
        "an order to a worker that is gone",
        ("worker", "order"),
    ),
    Event(
        "run_adopted",
        Kind.RUN,
        "a run of an earlier owner goes on",
        _RUN_FIELDS,
    ),
    Event(
        "run_failed",
        Kind.RUN,
        "it failed; the worker or its job is blamed",
        (*_RUN_FIELDS, "failures_in_row", "blamed"),
    ),
    Event(
        "run_moved",
        Kind.RUN,
        "it made too little progress and is stopped",
        (*_RUN_FIELDS, "percent", "elapsed_s", "expected_s"),
    ),
    Event(
        "start_not_confirmed",
        Kind.RUN,
        "a start was turned away or got no reply",
        (*_RUN_FIELDS, "reply"),
    ),
    Event(
        "task_requeued",
        Kind.RUN,
        "its run is over without success; it waits again",
        (*_RUN_FIELDS, "reason"),
    ),
    Event(
        "orphan_stopped",
        Kind.RUN,
        "a run that no job here wants is stopped",
        ("task", "worker"),
    ),
    Event(
        "job_admitted",
        Kind.JOB,
        "the owner takes it",
        (
            "job",
            "queue",
            "tasks",
            "expected_s",
            "wait_s",
            "latest_start_s",
            "jobs",
        ),
    ),
    Event(
        "job_refused",
        Kind.JOB,
        "the owner turns it away when it comes; it has not run",
        (
            "job",
            "queue",
            "tasks",
            "reason",
            "wait_s",
            "allowed_s",
            "jobs",
            "pressure",
        ),
    ),
    Event(
        "job_rejected",
        Kind.JOB,
        "the gateway turns away what it can't read or run",
        ("job", "queue", "status", "reason"),
    ),
    Event(
        "job_rejoined",
        Kind.JOB,
        "it came again while it was under way",
        ("job", "gateway"),
    ),
    Event(
        "job_handed_on_again",
        Kind.JOB,
        "another owner gets it",
        ("job", "owner", "age_s"),
    ),
    Event(
        "job_ended",
        Kind.JOB,
        "the owner is done with it",
        ("job", "queue", "outcome", "reason", "took_s", "in_time"),
    ),
    Event(
        "job_answered",
        Kind.JOB,
        "the gateway answers its caller",
        (
            "job",
            "queue",
            "outcome",
            "reason",
            "owner",
            "took_s",
            "retry_after_s",
        ),
    ),
    Event(
        "answer_repeated",
        Kind.JOB,
        "it came again after its end",
        ("job", "gateway"),
    ),
    Event(
        "cancel_ignored",
        Kind.JOB,
        "a gateway gave up what another one has by now",
        ("job", "gateway"),
    ),
    Event(
        "answer_not_sent",
        Kind.JOB,
        "its gateway is not linked",
        ("job", "peer"),
    ),
    Event(
        "answer_without_caller",
        Kind.JOB,
        "nobody waits for it here any more",
        ("job", "outcome"),
    ),
    Event(
        "refusal_ignored",
        Kind.JOB,
        "an owner refused what it has not, or not alone, any more",
        ("job", "sender", "owner", "times_handed_on"),
    ),
)

EVENTS = {event.name: event for event in _ALL}


def write_page() -> str:
    """Return the reference page of all events."""
    lines = [
        "# Events in the logs",
        "",
        "Each line is a JSON object with `time`, `level`, `daemon` and `event`;"
        " the rest stands here. Written by `pollenladder.logs.events`; a test"
        " compares.",
    ]
    for kind in Kind:
        lines += ["", f"## {kind.value}", "", "| event | says | fields |"]
        lines.append("|---|---|---|")
        for event in _ALL:
            if event.kind is kind:
                fields = ", ".join(f"`{name}`" for name in event.fields)
                row = f"| `{event.name}` | {event.meaning} | {fields} |"
                lines.append(row)
    return "\n".join(lines) + "\n"
