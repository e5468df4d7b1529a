"""Callers that submit their jobs again after a connection breaks."""

import dataclasses
import json

from pollenladder.jobs import entities as jobs
from pollenladder.service import open_jobs
from tests.scheduling.overlaps import daemons
from tests.scheduling.overlaps import schedules

MAX_SUBMISSIONS = 4
BUDGET_S = 9.0
# Outcomes for which a caller gets a 504.
UNKNOWN_OUTCOMES = (jobs.Outcome.GIVEN_UP, jobs.Outcome.CANCELLED)


@dataclasses.dataclass(frozen=True)
class Habits:
    """When callers return, and whether gateways notice that they have left.

    Attributes:
        min_return_s: Shortest time after which a caller submits its job again.
        max_return_s: Longest time.
        unseen_share: Share of the broken connections whose gateway does not notice,
            as the other end is gone without a reset.
        stays: Whether callers return to daemons of one data centre.
    """

    min_return_s: float = daemons.RESUBMISSION_S
    max_return_s: float = daemons.RESUBMISSION_S
    unseen_share: float = 0.0
    stays: bool = False


BY_PROTOCOL = Habits()
EARLY = Habits(min_return_s=0.0)
UNSEEN = Habits(unseen_share=0.5)
EARLY_NEARBY = Habits(min_return_s=0.0, stays=True)
UNSEEN_NEARBY = Habits(unseen_share=0.5, stays=True)


@dataclasses.dataclass(frozen=True)
class Request:
    """A job that a caller submits, and when its connections break.

    Attributes:
        job_id: The job's id.
        at: When it is submitted first.
        tasks: The number of tasks.
        cpu_milli: What a task needs, in thousandths of a core.
        run_s: How long a task runs.
        gateways: The daemons to which it is submitted, in turn.
        breaks_after_s: After how long each connection breaks; infinite if it
            does not.
        returns_after_s: After how long the job is submitted again, each time.
        is_seen: Whether the gateway notices that the connection has broken, each
            time.
    """

    job_id: str
    at: float
    tasks: int
    cpu_milli: int
    run_s: float
    gateways: tuple[str, ...]
    breaks_after_s: tuple[float, ...]
    returns_after_s: tuple[float, ...]
    is_seen: tuple[bool, ...]


class Connection:
    """A caller's connection to a gateway.

    Attributes:
        is_broken: Whether the connection has broken.
        is_seen: Whether the gateway notices it.
        job: The open job that it waits for.
    """

    def __init__(self):
        self.is_broken = False
        self.is_seen = True
        self.job: open_jobs.OpenJob | None = None

    def has_left(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self.is_broken and self.is_seen


class Caller:
    """One caller, with one job."""

    def __init__(
        self,
        request: Request,
        schedule: schedules.Schedule,
        all_daemons: dict[str, daemons.Daemon],
        record,
    ):
        """Submit the job when it is due.

        Args:
            request: The job.
            schedule: What is still to happen.
            all_daemons: The daemons by id, as they are at any time.
            record: Records an event of the history, with its fields.
        """
        self._request = request
        self._schedule = schedule
        self._daemons = all_daemons
        self._record = record
        self._submissions = 0
        self._connection = Connection()
        self._process: schedules.Process | None = None
        wait_s = request.at - schedule.now
        schedule.call_later(wait_s, None, self._submit)

    def handle_kill(self, process: schedules.Process) -> None:
        """Break the connection if it leads to a process that was killed."""
        if process is self._process:
            self._break(self._connection)

    def _submit(self) -> None:
        if self._submissions == MAX_SUBMISSIONS:
            return
        request = self._request
        number = self._submissions
        self._submissions += 1
        daemon = self._daemons[request.gateways[number]]
        if not daemon.process.is_alive:
            # The connection is refused.
            self._return_later()
            return
        self._connection = connection = Connection()
        self._process = daemon.process
        self._record(
            "submitted",
            job=request.job_id,
            gateway=daemon.process.name,
            run_s=round(request.run_s, 2),
        )
        self._schedule.call_later(
            0.0, daemon.process, self._arrive, daemon, connection
        )
        after_s = request.breaks_after_s[number]
        self._schedule.call_later(after_s, None, self._break, connection)

    def _arrive(self, daemon: daemons.Daemon, connection: Connection) -> None:
        """Submit the job at the gateway, in its process."""
        if connection.is_broken:
            return
        connection.job = daemon.gateway.submit(
            self._build_submission(), connection.has_left
        )
        self._schedule.spawn(self._wait, connection)

    def _wait(self, connection: Connection) -> None:
        """Wait for the answer, in the process of the gateway."""
        job = connection.job
        if not isinstance(job.answered, schedules.Event):
            # In place of gevent's.
            job.answered = schedules.Event(self._schedule)
        if job.answer is None:
            job.answered.wait()
        self._schedule.call_later(0.0, None, self._handle_answer, connection)

    def _handle_answer(self, connection: Connection) -> None:
        if connection is not self._connection or connection.is_broken:
            return
        outcome = connection.job.answer.outcome
        self._record(
            "answered", job=self._request.job_id, outcome=outcome.value
        )
        self._process = None
        connection.is_broken = True
        if outcome in UNKNOWN_OUTCOMES:
            self._return_later()

    def _break(self, connection: Connection) -> None:
        if connection.is_broken or connection is not self._connection:
            return
        connection.is_broken = True
        connection.is_seen = self._request.is_seen[self._submissions - 1]
        self._record(
            "connection_broken",
            job=self._request.job_id,
            gateway=self._process.name,
        )
        daemon = self._daemons[self._process.name]
        if self._request.is_seen[self._submissions - 1]:
            self._schedule.call_later(
                0.0, self._process, self._leave, daemon, connection
            )
        self._process = None
        self._return_later()

    def _return_later(self) -> None:
        """Submit the job again after a while."""
        after_s = self._request.returns_after_s[self._submissions - 1]
        self._schedule.call_later(after_s, None, self._submit)

    def _leave(self, daemon: daemons.Daemon, connection: Connection) -> None:
        """Make the gateway notice that the caller has left."""
        job = connection.job
        if job is not None and job.answer is None:
            daemon.gateway.remove_waiter(job, connection.has_left)

    def _build_submission(self) -> jobs.Submission:
        request = self._request
        work = {"cpu_milli": request.cpu_milli, "run_s": request.run_s}
        return jobs.Submission(
            job_id=request.job_id,
            queue="lookup",
            service="training",
            priority=1,
            max_attempts=3,
            stretch=4.0,
            slack_s=3.0,
            age_s=0.0,
            budget_s=BUDGET_S,
            spec=json.dumps(work),
            tasks=request.tasks,
            cpu_milli=request.cpu_milli,
            memory_mb=64,
            gpus=0,
            estimate_s=request.run_s,
            may_have_begun=False,
            first_run=1,
        )
