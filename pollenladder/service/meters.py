"""The daemon's metrics, and the HTTP server that exposes them."""

from gevent import pywsgi
import prometheus_client

from pollenladder.jobs import entities as jobs

PORT = 9464
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

    def count_job(self, answer: jobs.Answer, took_s: float) -> None:
        """Count an answered job and record its response time, in seconds."""
        labels = (answer.outcome.value, answer.reason.value)
        counter = self._counters.get(labels)
        if counter is None:
            counter = self._counters[labels] = self._jobs.labels(*labels)
        counter.inc()
        self._response.observe(took_s)


def serve(meters: Meters, address: str) -> None:
    """Start the HTTP server for the metrics.

    Raises:
        OSError: The port cannot be bound.
    """
    application = prometheus_client.make_wsgi_app(meters.registry)
    pywsgi.WSGIServer((address, PORT), application, log=None).start()
