"""Reference of all log events of a daemon and their fields.

A field has the same name in all events. A suffix gives its unit: `_s` for
seconds, `_ms` for milliseconds. `job`, `task`, `run` and `worker` hold the ids
and numbers that callers and workers use. `attempt` is the random number that a
gateway gives to what it has accepted and not answered yet. `peer`, `owner`, `gateway` and
`sender` hold ids of daemons.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """Subject of an event."""

    PROCESS = "process"
    DEPENDENCY = "dependency"
    CONFIGURATION = "configuration"
    OWNERSHIP = "ownership"
    WORKER = "worker"
    RUN = "run"
    JOB = "job"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Description of a log event.

    Attributes:
        name: Value of the field `event` in log lines.
        kind: Subject of the event.
        meaning: What the event reports, in a few words.
        fields: Fields of a log line besides `time`, `level`, `daemon` and
            `event`.
        has_reserve: Whether its lines have a limit of their own; see `lines`.
    """

    name: str
    kind: Kind
    meaning: str
    fields: tuple[str, ...] = ()
    has_reserve: bool = False


_RUN_FIELDS = ("job", "task", "run", "worker")

_ALL = (
    Event(
        "started",
        Kind.PROCESS,
        "the daemon accepts requests",
        ("data_centre", "incarnation"),
    ),
    Event(
        "stopping",
        Kind.PROCESS,
        "the daemon begins a graceful shutdown",
        ("open_jobs",),
    ),
    Event(
        "stopped",
        Kind.PROCESS,
        "the daemon exits",
        ("drained", "open_jobs", "took_s"),
    ),
    Event(
        "reloaded", Kind.PROCESS, "the settings were read again", ("changed",)
    ),
    Event(
        "reload_failed",
        Kind.PROCESS,
        "the settings could not be loaded",
        ("error",),
    ),
    Event(
        "greenlet_failed",
        Kind.PROCESS,
        "a greenlet ended with an unhandled exception",
        ("greenlet", "error", "repeated"),
    ),
    Event(
        "unexpected_error",
        Kind.PROCESS,
        "a step failed with an unexpected exception, and the daemon went on",
        ("where", "subject", "error", "repeated"),
    ),
    Event(
        "log_lines_dropped",
        Kind.PROCESS,
        "log lines were dropped",
        ("lines",),
    ),
    Event(
        "store_lost",
        Kind.DEPENDENCY,
        "calls to the store fail",
        ("calls",),
    ),
    Event(
        "store_regained",
        Kind.DEPENDENCY,
        "calls to the store succeed again",
        ("calls",),
    ),
    Event(
        "store_failed",
        Kind.DEPENDENCY,
        "the failed call that precedes store_lost",
        ("what", "error"),
    ),
    Event(
        "history_lost",
        Kind.DEPENDENCY,
        "the store no longer has the changes; the whole table is read again",
        ("table", "version"),
    ),
    Event(
        "worker_list_gap",
        Kind.DEPENDENCY,
        "workers may have come and gone unseen since the last read of the list",
        ("gap_s",),
    ),
    Event(
        "worker_list_inherited",
        Kind.DEPENDENCY,
        "a peer that has known the list of workers for longer told its age",
        ("peer", "known_s", "expired_ago_s"),
    ),
    Event(
        "row_rejected",
        Kind.DEPENDENCY,
        "a row of the store is invalid",
        ("key", "version", "error", "omitted"),
    ),
    Event(
        "link_made",
        Kind.DEPENDENCY,
        "the link to a peer is established",
        ("peer",),
    ),
    Event(
        "link_ended",
        Kind.DEPENDENCY,
        "the link to a peer is closed",
        ("peer",),
    ),
    Event(
        "link_lost",
        Kind.DEPENDENCY,
        "the reason why the link to a peer was closed",
        ("peer", "reason"),
    ),
    Event(
        "daemon_found",
        Kind.DEPENDENCY,
        "a peer was found in the store",
        ("peer", "incarnation"),
    ),
    Event(
        "daemon_forgotten",
        Kind.DEPENDENCY,
        "a peer without a link for 15 s no longer counts, but is tried",
        ("peer",),
    ),
    Event(
        "reachability_probed",
        Kind.DEPENDENCY,
        "whether workers are reachable here and in other data centres",
        ("here", "elsewhere", "probes"),
    ),
    Event(
        "configuration_changed",
        Kind.CONFIGURATION,
        "a newer configuration is in force",
        ("version", "before", "queues"),
    ),
    Event(
        "evacuation_changed",
        Kind.CONFIGURATION,
        "other data centres are taken out of use than before",
        ("data_centres", "version", "source"),
    ),
    Event(
        "configuration_rejected",
        Kind.CONFIGURATION,
        "a peer sent an invalid configuration",
        ("version", "error"),
    ),
    Event(
        "owner_changed",
        Kind.OWNERSHIP,
        "the daemon follows another owner of a group, or none",
        ("group", "owner", "before"),
    ),
    Event(
        "ownership_claimed",
        Kind.OWNERSHIP,
        "the daemon becomes the owner of a group",
        ("group", "epoch", "reason"),
    ),
    Event(
        "ownership_resigned",
        Kind.OWNERSHIP,
        "the daemon is no longer the owner of a group",
        ("group", "epoch", "reason", "owner", "successor"),
    ),
    Event(
        "owner_suspected_falsely",
        Kind.OWNERSHIP,
        "an owner that was considered lost was only slow",
        ("peer", "lag_s", "alarms"),
    ),
    Event(
        "shedding_changed",
        Kind.OWNERSHIP,
        "an overloaded owner starts or stops refusing a share of new jobs",
        ("share", "late_s", "lag_s"),
    ),
    Event(
        "fenced",
        Kind.OWNERSHIP,
        "a worker has seen a higher epoch than this owner's",
        ("group", "worker", "epoch"),
    ),
    Event(
        "layout_changed",
        Kind.OWNERSHIP,
        "the daemon applies another layout of groups",
        ("version", "before", "groups"),
    ),
    Event(
        "layout_not_written",
        Kind.OWNERSHIP,
        "another daemon has stored a layout meanwhile",
        ("version",),
    ),
    Event(
        "worker_listed",
        Kind.WORKER,
        "the worker was added to the list",
        ("worker",),
    ),
    Event(
        "worker_unlisted",
        Kind.WORKER,
        "the worker was removed from the list",
        ("worker",),
    ),
    Event(
        "worker_draining",
        Kind.WORKER,
        "the worker drains and gets no new work",
        ("worker",),
    ),
    Event(
        "worker_lapsed",
        Kind.WORKER,
        "the worker's entry disappeared, cannot be decoded or names a service that is not configured, and the worker may still execute runs",
        ("worker",),
    ),
    Event(
        "worker_end_unknown",
        Kind.WORKER,
        "the entry of a draining worker disappeared, and this daemon does not know whether the worker has left",
        ("worker",),
    ),
    Event(
        "worker_lost",
        Kind.WORKER,
        "the worker gets no new work, as polls got no reply",
        ("worker", "missed_looks", "runs", "causes"),
    ),
    Event(
        "lost_runs_held",
        Kind.WORKER,
        "a worker has been lost for longer than any lease, and its runs still "
        "hold their tasks",
        ("worker", "runs", "lost_s", "lease_left_s"),
    ),
    Event(
        "leases_expired",
        Kind.WORKER,
        "the runs on a lost worker are released; times by the worker's clock, the "
        "later one also covers leases that an earlier owner may have granted",
        ("worker", "runs", "granted_until_s", "lease_until_s", "clock_s"),
    ),
    Event(
        "run_on_lost_worker",
        Kind.RUN,
        "the run was on a worker when it was lost",
        (*_RUN_FIELDS, "queue", "state", "age_s"),
    ),
    Event(
        "worker_reached",
        Kind.WORKER,
        "the worker replies, for the first time or again",
        ("worker", "runs", "ends"),
    ),
    Event(
        "worker_restarted",
        Kind.WORKER,
        "the worker has a new incarnation; earlier runs are lost",
        ("worker", "born_ms", "runs"),
    ),
    Event(
        "worker_fenced",
        Kind.WORKER,
        "the worker accepts orders from another owner only",
        ("worker", "epoch"),
    ),
    Event(
        "look_missed",
        Kind.WORKER,
        "a poll got no valid reply",
        ("worker", "error", "cause", "missed"),
    ),
    Event(
        "order_dropped",
        Kind.WORKER,
        "an order was dropped, as its worker is no longer known",
        ("worker", "order"),
    ),
    Event(
        "worker_crashed",
        Kind.WORKER,
        "the worker's process has ended, and all of its runs with it",
        ("worker", "evidence", "runs"),
    ),
    Event(
        "crash_found_late",
        Kind.WORKER,
        "another process answers in place of a worker that was lost in silence, so its "
        "last tasks are suspected",
        ("worker", "tasks"),
    ),
    Event(
        "task_suspected",
        Kind.RUN,
        "the worker crashed soon after it had started the task",
        (*_RUN_FIELDS, "queue", "suspicions", "age_s"),
    ),
    Event(
        "suspicion_withdrawn",
        Kind.RUN,
        "the worker's process answers again, so the task has not crashed it",
        ("job", "task", "worker", "suspicions"),
    ),
    Event(
        "worker_reserved",
        Kind.WORKER,
        "the worker gets no new tasks until a suspected task can run on it alone",
        ("job", "task", "worker", "runs"),
    ),
    Event(
        "queue_crashes_workers",
        Kind.WORKER,
        "tasks of the queue crash workers; it may use only some of them at a time",
        ("queue", "group", "workers_down"),
    ),
    Event(
        "run_adopted",
        Kind.RUN,
        "a run that an earlier owner started continues",
        _RUN_FIELDS,
    ),
    Event(
        "run_failed",
        Kind.RUN,
        "the run failed; the failure counts against the worker or the job",
        (*_RUN_FIELDS, "failures_in_row", "blamed"),
    ),
    Event(
        "run_moved",
        Kind.RUN,
        "the run made too little progress and is stopped",
        (*_RUN_FIELDS, "percent", "elapsed_s", "expected_s"),
    ),
    Event(
        "interference_changed",
        Kind.RUN,
        "tasks of a queue were found to run longer beside those of another "
        "one, or no longer",
        (
            "group",
            "queue",
            "neighbour",
            "change",
            "slowdown",
            "lower_bound",
            "overlap",
        ),
    ),
    Event(
        "long_task_kept",
        Kind.RUN,
        "the run is as slow as an earlier one elsewhere, so it is not moved",
        (*_RUN_FIELDS, "percent"),
    ),
    Event(
        "learned_state_read",
        Kind.OWNERSHIP,
        "a new owner has read what the one before has learned; `rejected` says "
        "why it starts anew",
        ("group", "rejected"),
    ),
    Event(
        "learned_state_not_written",
        Kind.OWNERSHIP,
        "what the owner has learned could not be stored; it tries again",
        ("group", "error"),
    ),
    Event(
        "worker_speed_changed",
        Kind.WORKER,
        "the speed learned for the worker has changed by more than a tenth",
        ("worker", "speed", "before"),
    ),
    Event(
        "start_not_confirmed",
        Kind.RUN,
        "the worker rejected a start or did not reply",
        (*_RUN_FIELDS, "reply"),
    ),
    Event(
        "start_outdated",
        Kind.RUN,
        "a start was not sent, as it was decided too long ago or is not wanted"
        " any more",
        ("worker", "task", "run", "age_s"),
    ),
    Event(
        "task_requeued",
        Kind.RUN,
        "the run ended without success; the task is queued again",
        (*_RUN_FIELDS, "reason"),
    ),
    Event(
        "orphan_stopped",
        Kind.RUN,
        "a run that no job of this owner needs is stopped; times by the worker's "
        "clock",
        ("task", "run", "worker", "granted_until_s", "clock_s"),
    ),
    Event(
        "job_admitted",
        Kind.JOB,
        "the owner admits the job",
        (
            "job",
            "queue",
            "tasks",
            "expected_s",
            "wait_s",
            "latest_start_s",
            "jobs",
            "attempt",
        ),
    ),
    Event(
        "job_refused",
        Kind.JOB,
        "the owner refuses the job on arrival; no task has run",
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
        "job_refused_with_room",
        Kind.JOB,
        "the gateway answers a refusal while a group reports room for the job",
        ("job", "queue", "reason", "group", "was_asked", "groups_asked"),
    ),
    Event(
        "job_displaced",
        Kind.JOB,
        "a waiting job can no longer start in time, and leaves the queue early",
        ("job", "queue", "wait_s", "left_s"),
    ),
    Event(
        "job_deferred",
        Kind.JOB,
        "the job can't be in time and is served late, on capacity left over",
        ("job", "queue", "wait_s", "latest_start_s"),
    ),
    Event(
        "job_rejected",
        Kind.JOB,
        "the gateway rejects a request that is invalid or can't be run",
        ("job", "queue", "status", "reason"),
    ),
    Event(
        "job_rejoined",
        Kind.JOB,
        "the job was submitted again while in progress",
        ("job", "attempt", "gateway", "attempts"),
    ),
    Event(
        "tasks_held_back",
        Kind.JOB,
        "tasks of an earlier owner wait, as unlisted workers may run them",
        ("job", "tasks", "reason", "wait_s"),
    ),
    Event(
        "task_cleared",
        Kind.JOB,
        "a task of an earlier owner starts, as no run of it is left",
        ("job", "task", "run", "worker", "reason"),
    ),
    Event(
        "job_handed_on_again",
        Kind.JOB,
        "the gateway forwards the job again",
        ("job", "attempt", "owner", "age_s"),
    ),
    Event(
        "job_runs_elsewhere",
        Kind.JOB,
        "a job that another group may run was submitted again",
        ("job", "attempt", "gateway"),
    ),
    Event(
        "job_sent_to_another_group",
        Kind.JOB,
        "a group has refused the job, and another one is asked",
        ("job", "attempt", "group", "before", "reason"),
    ),
    Event(
        "group_passed_over",
        Kind.JOB,
        "the job goes to another group, as its first one has no owner",
        ("job", "attempt", "group", "before", "knowledge", "waited_s"),
    ),
    Event(
        "job_in_two_groups",
        Kind.JOB,
        "the job ends in a group, as another group may execute it",
        ("job", "attempt", "group", "other"),
    ),
    Event(
        "job_ended",
        Kind.JOB,
        "the owner has finished the job",
        ("job", "queue", "outcome", "reason", "took_s", "in_time"),
    ),
    Event(
        "job_answered",
        Kind.JOB,
        "the gateway answers the caller",
        (
            "job",
            "queue",
            "outcome",
            "reason",
            "group",
            "owner",
            "took_s",
            "retry_after_s",
            "attempt",
        ),
    ),
    Event(
        "answer_repeated",
        Kind.JOB,
        "the job was submitted again after its end",
        ("job", "attempt", "gateway"),
    ),
    Event(
        "attempt_removed",
        Kind.JOB,
        "an attempt waits for the job no longer; `left` others do",
        ("job", "attempt", "gateway", "reason", "left"),
    ),
    Event(
        "attempt_moved",
        Kind.JOB,
        "the gateway cancels an attempt at `before`, as `owner` has it now",
        ("job", "attempt", "owner", "before"),
    ),
    Event(
        "attempt_at_owner",
        Kind.JOB,
        "what an owner knows of an attempt, with `doubts`: why it is told, and "
        "since when; times in seconds before the line",
        (
            "job",
            "attempt",
            "gateway",
            "group",
            "epoch",
            "origin",
            "doubts",
            "arrived_ago_s",
            "forwarded_ago_s",
            "heard_ago_s",
            "removed_ago_s",
            "removal",
            "attempts",
            "starts",
            "first_start_ago_s",
            "first_worker",
            "first_run",
            "last_start_ago_s",
            "last_worker",
            "last_run",
            "runs",
            "lease_left_s",
            "runs_over_ago_s",
            "ended_ago_s",
            "outcome",
            "reason",
        ),
        has_reserve=True,
    ),
    Event(
        "attempt_at_gateway",
        Kind.JOB,
        "what a gateway knows of an attempt, with `doubts`: why it is told, and "
        "since when; times in seconds before the line",
        (
            "job",
            "attempt",
            "doubts",
            "arrived_ago_s",
            "deadline_left_s",
            "requests",
            "last_request_ago_s",
            "callers",
            "callers_left",
            "forwards",
            "forwarded",
            "owner",
            "owners_not_told",
            "ended_ago_s",
            "outcome",
            "reason",
        ),
        has_reserve=True,
    ),
    Event(
        "attempt_records_omitted",
        Kind.JOB,
        "attempts of which more was known than may be logged",
        ("records",),
        has_reserve=True,
    ),
    Event(
        "attempt_leases_expired",
        Kind.JOB,
        "nothing was heard from a gateway, so its attempts end here",
        ("gateway", "attempts", "silent_s"),
    ),
    Event(
        "cancel_ignored",
        Kind.JOB,
        "a gateway cancelled an attempt that no owner here knows",
        ("job", "attempt", "gateway", "reason"),
    ),
    Event(
        "cancel_not_sent",
        Kind.JOB,
        "an owner can't be told that the attempt was cancelled",
        ("job", "attempt", "owner", "reason"),
    ),
    Event(
        "answer_not_sent",
        Kind.JOB,
        "there is no link to the attempt's gateway",
        ("job", "attempt", "outcome", "peer"),
    ),
    Event(
        "answer_without_caller",
        Kind.JOB,
        "no caller waits for the job here any more",
        ("job", "attempt", "outcome", "sender"),
    ),
    Event(
        "answer_for_another_attempt",
        Kind.JOB,
        "an answer for an attempt before the one that is open here",
        ("job", "attempt", "open_attempt", "outcome", "reason", "sender"),
    ),
    Event(
        "rejection_ignored",
        Kind.JOB,
        "a daemon that does not own the group rejects what is not open at it",
        ("job", "attempt", "sender"),
    ),
    Event(
        "refusal_ignored",
        Kind.JOB,
        "a refusal from an earlier owner, or of a job forwarded more than once",
        ("job", "attempt", "sender", "owner", "times_handed_on"),
    ),
)

EVENTS = {event.name: event for event in _ALL}
RESERVED = frozenset(event.name for event in _ALL if event.has_reserve)


def write_page() -> str:
    """Return the reference page of all events."""
    lines = [
        "# Events in the logs",
        "",
        "Each line is a JSON object with `time`, `level`, `daemon` and `event`;"
        " the other fields are listed here. The page is generated by"
        " `pollenladder.logs.events`, and a test checks that it is up to date.",
    ]
    for kind in Kind:
        lines += ["", f"## {kind.value}", "", "| event | meaning | fields |"]
        lines.append("|---|---|---|")
        for event in _ALL:
            if event.kind is kind:
                fields = ", ".join(f"`{name}`" for name in event.fields)
                row = f"| `{event.name}` | {event.meaning} | {fields} |"
                lines.append(row)
    return "\n".join(lines) + "\n"
