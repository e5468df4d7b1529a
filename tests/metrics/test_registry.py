"""Tests of the metrics registry and of the event loop lag."""

import pathlib
import re
import unittest

from pollenladder.core import verdicts
from pollenladder.metrics import lag
from pollenladder.metrics import registry

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "ref" / "metrics.md"
NAME = re.compile(r"`(pollenladder_\w+)(?:\{([a-z, ]+)\})?`")


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = registry.Metrics()

    def get(self, name, **labels):
        return self.metrics.registry.get_sample_value(name, labels)

    def test_reference_page_lists_each_metric_and_its_labels(self):
        documented = {m[1]: m[2] or "" for m in NAME.finditer(PAGE.read_text())}
        # The `_name` of a counter lacks the suffix under which it is exported.
        registered = {
            metric._name
            + ("_total" if metric._type == "counter" else ""): ", ".join(
                metric._labelnames
            )
            for metric in vars(self.metrics).values()
            if hasattr(metric, "_labelnames")
        }
        self.assertEqual(documented, registered)

    def test_ended_tasks_and_answered_jobs_are_counted(self):
        ran = verdicts.Verdict.RAN
        result = verdicts.TaskResult("t", ran, verdicts.Reason.OK)
        self.metrics.count_task(result)
        self.metrics.count_task(result)
        self.metrics.count_job(verdicts.Complete("j", (result,)))
        refused = verdicts.Refused("j", verdicts.Reason.OVERLOAD, 1.0)
        self.metrics.count_job(refused)
        tasks = "pollenladder_tasks_total"
        jobs = "pollenladder_jobs_total"
        self.assertEqual(self.get(tasks, verdict="ran", reason="ok"), 2)
        self.assertEqual(self.get(jobs, outcome="complete", reason="ok"), 1)
        self.assertEqual(
            self.get(jobs, outcome="refused", reason="overload"), 1
        )

    def test_message_of_unknown_kind_is_rejected(self):
        self.metrics.count_message("start", 3)
        self.assertEqual(
            self.get("pollenladder_messages_total", kind="start"), 3
        )
        with self.assertRaises(KeyError):
            self.metrics.count_message("gossip")

    def test_event_loop_lag_is_the_delay_of_the_timer(self):
        times = iter((0.0, lag.SAMPLE_INTERVAL_S + 0.25, 1.0))
        # The second sleep raises StopIteration, which ends the endless loop.
        sleeps = iter((None,))

        def sleep(_):
            next(sleeps)

        with self.assertRaises(StopIteration):
            lag.measure_event_loop_lag(self.metrics, lambda: next(times), sleep)
        name = "pollenladder_event_loop_lag_seconds"
        self.assertEqual(self.get(f"{name}_sum"), 0.25)
        self.assertEqual(self.get(f"{name}_count"), 1)
