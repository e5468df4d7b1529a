"""The metrics that a daemon exports under `/metrics`."""

from collections.abc import Callable

import prometheus_client

from pollenladder.core import verdicts

# Upper bounds of the histograms' buckets, in seconds.
RESPONSE_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
LAG_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)
# Values of the label `kind` of `messages_total`. The offer of a job to an owner
# counts as "hand_on"; an offloaded batch and its result count as "spill".
MESSAGE_KINDS = (
    "start",
    "lease",
    "hand_on",
    "answer",
    "spill",
    "loan",
    "heartbeat",
    "plans",
    "platform",
    "http_answer",
    "cancel",
    "inquiry",
    "probe",
    "stop",
)


class Metrics:
    """The counters, gauges and histograms of one daemon.

    Every label has a fixed set of values, so requests cannot increase the
    number of time series.

    Attributes:
        registry: The Prometheus registry of all metrics.
        jobs: Jobs answered.
        tasks: Tasks ended.
        starts: Starts sent to endpoints.
        messages: Messages sent, by kind.
        link_messages: Messages over peer links, by direction.
        link_frames: Frames over peer links, by direction.
        link_bytes: Bytes over peer links, by direction.
        link_closes: Peer links closed, by reason.
        http_requests: HTTP requests answered, by status.
        connections_refused: HTTP connections beyond the limit on open ones.
        queue_tasks: Tasks queued in the shards that this daemon owns.
        running_tasks: Running tasks of the owned shards.
        slots: Slots of the workers in the owned shards.
        shares: Allowance of the owned shards over all plans, by state: "held"
            (may be used) or "taken" (in use).
        quarantined_workers: Quarantined workers in the owned shards.
        plans_version: Version of the declarations in force.
        peers: Daemons with an open link.
        http_connections: Open HTTP connections.
        http_jobs: Callers waiting for an answer.
        response: Time from a submission to its answer, in seconds.
        event_loop_lag: Delay of an event loop timer, in seconds.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._make_counters()
        self._make_gauges()
        self._make_histograms()
        self._cache_increments()
        prometheus_client.ProcessCollector(registry=self.registry)

    def _make_counters(self) -> None:
        def make(name: str, help_text: str, *labels: str):
            return prometheus_client.Counter(
                f"pollenladder_{name}",
                help_text,
                labels,
                registry=self.registry,
            )

        self.jobs = make("jobs_total", "Jobs answered.", "outcome", "reason")
        self.tasks = make("tasks_total", "Tasks ended.", "verdict", "reason")
        self.starts = make("starts_total", "Starts sent to endpoints.")
        self.messages = make("messages_total", "Messages sent.", "kind")
        self.link_messages = make(
            "link_messages_total", "Messages over peer links.", "direction"
        )
        self.link_frames = make(
            "link_frames_total", "Frames over peer links.", "direction"
        )
        self.link_bytes = make(
            "link_bytes_total", "Bytes over peer links.", "direction"
        )
        self.link_closes = make(
            "link_closes_total", "Peer links ended.", "reason"
        )
        self.http_requests = make(
            "http_requests_total", "HTTP requests answered.", "status"
        )
        self.connections_refused = make(
            "connections_refused_total", "HTTP connections beyond the bound."
        )

    def _make_gauges(self) -> None:
        def make(name: str, help_text: str, *labels: str):
            return prometheus_client.Gauge(
                f"pollenladder_{name}",
                help_text,
                labels,
                registry=self.registry,
            )

        self.queue_tasks = make("queue_tasks", "Tasks queued here.")
        self.running_tasks = make("running_tasks", "Tasks running from here.")
        self.slots = make("slots", "Slots of the workers owned here.")
        self.shares = make(
            "shares", "Allowance held here over all plans.", "state"
        )
        self.quarantined_workers = make(
            "quarantined_workers", "Workers owned here in quarantine."
        )
        self.plans_version = make("plans_version", "Version in force here.")
        self.peers = make("peers", "Peers with a live link.")
        self.http_connections = make(
            "http_connections", "Open HTTP connections."
        )
        self.http_jobs = make("http_jobs", "Callers waiting for an answer.")

    def _make_histograms(self) -> None:
        def make(name: str, help_text: str, buckets: tuple[float, ...]):
            return prometheus_client.Histogram(
                f"pollenladder_{name}",
                help_text,
                buckets=buckets,
                registry=self.registry,
            )

        self.response = make(
            "response_seconds",
            "Time from a submission to its answer.",
            RESPONSE_BUCKETS_S,
        )
        self.event_loop_lag = make(
            "event_loop_lag_seconds",
            "How late a timer of the event loop fires.",
            LAG_BUCKETS_S,
        )

    def _cache_increments(self) -> None:
        """Look up the time series of each message kind once.

        A label lookup costs more than the increment itself. The series of
        `tasks` are looked up when they are first incremented.
        """
        self._increment_messages = {
            kind: self.messages.labels(kind=kind).inc for kind in MESSAGE_KINDS
        }
        self._increment_tasks: dict[tuple[str, str], Callable[[], None]] = {}

    def count_message(self, kind: str, amount: int = 1) -> None:
        """Count sent messages.

        Raises:
            KeyError: The kind is not one of `MESSAGE_KINDS`.
        """
        self._increment_messages[kind](amount)

    def count_task(self, result: verdicts.TaskResult) -> None:
        """Count an ended task by its verdict and reason."""
        labels = (result.verdict.value, result.reason.value)
        increment = self._increment_tasks.get(labels)
        if increment is None:
            increment = self._increment_tasks[labels] = self.tasks.labels(
                *labels
            ).inc
        increment()

    def count_job(self, answer: verdicts.Answer) -> None:
        """Count an answered job by its outcome and reason."""
        outcome = type(answer).__name__.lower()
        reason = getattr(answer, "reason", verdicts.Reason.OK).value
        self.jobs.labels(outcome=outcome, reason=reason).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        return prometheus_client.generate_latest(self.registry)
