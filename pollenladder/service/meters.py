"""The daemon's metrics, and the HTTP server that exposes them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import logging

import prometheus_client
from prometheus_client import core

from pollenladder.gateway import limits
from pollenladder.gateway import listeners
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import neighbourhood

PORT = 9464
# Label of the exceptions that are logged without the name of a step.
OTHER_STEP = "other"
RESPONSE_BUCKETS_S = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
)


class Meters:
    """The counters, gauges and histograms of one daemon.

    Attributes:
        registry: The registry of all metrics.
        http_connections: The number of open connections of callers.
        connections_refused: Connections of callers beyond the limit.
        evacuated_data_centres: The number of data centres out of use.
        refused_with_room: Jobs refused while a group reported room for them.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.http_connections = prometheus_client.Gauge(
            "pollenladder_http_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self.connections_refused = prometheus_client.Counter(
            "pollenladder_connections_refused",
            "Connections of callers beyond the bound.",
            registry=self.registry,
        )
        self.evacuated_data_centres = prometheus_client.Gauge(
            "pollenladder_evacuated_data_centres",
            "Data centres that operators have taken out of use.",
            registry=self.registry,
        )
        self.refused_with_room = prometheus_client.Counter(
            "pollenladder_jobs_refused_with_room",
            "Jobs refused while a group reported room for the whole job.",
            registry=self.registry,
        )
        self._decisions = prometheus_client.Counter(
            "pollenladder_overload_decisions",
            "Jobs displaced or deferred by an owner for lack of capacity.",
            ("decision",),
            registry=self.registry,
        )
        self._failures = prometheus_client.Counter(
            "pollenladder_worker_failures",
            "Losses of workers, and what they led to.",
            ("failure",),
            registry=self.registry,
        )
        self._errors = prometheus_client.Counter(
            "pollenladder_unexpected_errors",
            "Steps that failed unexpectedly, after which the daemon went on.",
            ("where",),
            registry=self.registry,
        )
        self._jobs = prometheus_client.Counter(
            "pollenladder_jobs",
            "Jobs answered.",
            ("outcome", "reason"),
            registry=self.registry,
        )
        self._response = prometheus_client.Histogram(
            "pollenladder_response_seconds",
            "Time from a job's arrival to its answer.",
            buckets=RESPONSE_BUCKETS_S,
            registry=self.registry,
        )
        self._counters: dict[tuple[str, str], prometheus_client.Counter] = {}

    def count_decision(self, decision: str) -> None:
        """Count a decision of an owner under overload."""
        self._decisions.labels(decision).inc()

    def count_failure(self, failure: str) -> None:
        """Count a failure of workers."""
        self._failures.labels(failure).inc()

    def count_error(self, where: str) -> None:
        """Count a step that failed unexpectedly."""
        self._errors.labels(where).inc()

    def count_job(self, answer: jobs.Answer, took_s: float) -> None:
        """Count an answered job and record its response time, in seconds."""
        labels = (answer.outcome.value, answer.reason.value)
        counter = self._counters.get(labels)
        if counter is None:
            counter = self._counters[labels] = self._jobs.labels(*labels)
        counter.inc()
        self._response.observe(took_s)


class ErrorCounter(logging.Handler):
    """Logging handler that counts the exceptions that are logged.

    It counts those too that are not written to the log because they repeat.
    """

    def __init__(self, count_error: Callable[[str], None]):
        """Initialize the handler.

        Args:
            count_error: Called with the step that failed.
        """
        super().__init__(logging.ERROR)
        self._count_error = count_error

    def emit(self, record: logging.LogRecord) -> None:
        """Count a record that holds an exception."""
        if record.exc_info:
            fields = getattr(record, "fields", {})
            self._count_error(fields.get("where", OTHER_STEP))


class InterferenceCollector:
    """Metrics of known interference, read when they are requested."""

    def __init__(
        self,
        get_neighbourhoods: Callable[[], Iterable[neighbourhood.Neighbourhood]],
    ):
        """Initialize the collector.

        Args:
            get_neighbourhoods: Returns the state of each group that this daemon
                owns.
        """
        self._get_neighbourhoods = get_neighbourhoods

    def collect(self) -> Iterator[core.Metric]:
        """Yield the metrics."""
        states = list(self._get_neighbourhoods())
        pairs = [p for state in states for p in state.model.pairs.values()]
        yield core.GaugeMetricFamily(
            "pollenladder_interference_pairs",
            "Pairs of queues that slow each other down, in the groups owned.",
            len(pairs),
        )
        yield core.GaugeMetricFamily(
            "pollenladder_interference_max_slowdown",
            "The largest slowdown of a pair; 1 without any.",
            max((pair.slowdown for pair in pairs), default=1.0),
        )
        yield core.GaugeMetricFamily(
            "pollenladder_interference_kinds",
            "Queues about which there is evidence, in the groups owned.",
            sum(len(state.model.evidence) for state in states),
        )
        # Starts at 0 again with each new ownership, as a counter may.
        yield core.CounterMetricFamily(
            "pollenladder_interference_placements",
            "Tasks placed on another worker because of interference.",
            sum(state.changed_placements for state in states),
        )


class WorkerCollector:
    """Metrics of the workers that this daemon owns, read when asked for.

    Args:
        list_speeds: Returns the learned speeds of the workers.
        count_stalled_runs: Returns the number of runs stopped as stalled.
    """

    def __init__(
        self,
        list_speeds: Callable[[], list[float]],
        count_stalled_runs: Callable[[], int],
    ):
        self._list_speeds = list_speeds
        self._count_stalled_runs = count_stalled_runs

    def collect(self) -> Iterator[prometheus_client.Metric]:
        """Yield the metrics."""
        speeds = self._list_speeds() or [1.0]
        gauge = core.GaugeMetricFamily(
            "pollenladder_worker_speed",
            "Learned speed of the slowest and the fastest worker owned.",
            labels=("worker",),
        )
        gauge.add_metric(("slowest",), min(speeds))
        gauge.add_metric(("fastest",), max(speeds))
        yield gauge
        yield core.CounterMetricFamily(
            "pollenladder_stalled_runs",
            "Runs stopped as stalled.",
            value=self._count_stalled_runs(),
        )


def serve(meters: Meters, address: str) -> None:
    """Start the HTTP server for the metrics.

    Raises:
        OSError: The port cannot be bound.
    """
    application = prometheus_client.make_wsgi_app(meters.registry)
    listeners.listen(address, PORT, application, None, limits.PROBES)
