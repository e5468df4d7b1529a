"""Tests of the order of what daemons tell of a job's attempts."""

import datetime
import json
import unittest

from pollenladder.logs import attempt_timelines
from pollenladder.logs import explanations

BEGIN = datetime.datetime(2026, 12, 7, 15, 50, tzinfo=datetime.UTC)


def _build_line(
    at_s: float, daemon: str, event: str, **fields: object
) -> explanations.Line:
    time = BEGIN + datetime.timedelta(seconds=at_s)
    base = {
        "time": time.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        "level": "INFO",
        "daemon": daemon,
        "event": event,
    }
    return explanations.parse_line(json.dumps(base | fields), "test")


OWNER_1 = _build_line(
    5.0,
    "c-1",
    "attempt_at_owner",
    job="a1",
    attempt=1,
    gateway="a-12",
    group="aarau-c",
    epoch=4,
    origin="new",
    doubts={"gateway_lost": 0.5, "link_changed": 0.7},
    arrived_ago_s=1.5,
    heard_ago_s=1.2,
    removed_ago_s=0.5,
    removal="gateway_lost",
    first_start_ago_s=1.4,
    first_run=1,
    first_worker="w1",
    lease_left_s=0.25,
    runs_over_ago_s=0.25,
)
OWNER_2 = _build_line(
    4.5,
    "a-1",
    "attempt_at_owner",
    job="a1",
    attempt=2,
    gateway="a-1",
    group="bern-a",
    epoch=9,
    origin="new",
    doubts={"home_group_passed_over": 0.4},
    arrived_ago_s=0.4,
    first_start_ago_s=0.35,
    first_run=1,
    first_worker="w9",
)
GATEWAY = _build_line(
    5.1,
    "a-12",
    "attempt_at_gateway",
    job="a1",
    attempt=1,
    doubts={"link_changed": 0.1},
    arrived_ago_s=1.7,
    forwards=[["c-1", "aarau-c", 1.65]],
    deadline_left_s=0.3,
    last_request_ago_s=None,
    ended_ago_s=1.1,
    outcome="cancelled",
    reason="caller_left",
)


class AttemptTimelineTest(unittest.TestCase):
    """An overlap that two owners and a gateway have told of."""

    def _list_texts(self, *lines: explanations.Line) -> list[str]:
        return [
            f"{fact.time[17:23]} {fact.daemon} {fact.text}"
            for fact in attempt_timelines.list_facts(lines)
        ]

    def test_what_three_daemons_tell_is_in_order(self):
        expected = [
            "03.400 a-12 comes from its caller",
            "03.450 a-12 forwarded to c-1 for 'aarau-c'",
            "03.500 c-1 comes from a-12 to the owner of 'aarau-c', epoch 4: new",
            "03.600 c-1 first start: run 1 on w1",
            "03.800 c-1 last contact with a-12",
            "04.000 a-12 answered: cancelled, caller_left",
            "04.100 a-1 comes from a-1 to the owner of 'bern-a', epoch 9: new",
            "04.100 a-1 doubt: home_group_passed_over",
            "04.150 a-1 first start: run 1 on w9",
            "04.300 c-1 doubt: link_changed",
            "04.500 c-1 doubt: gateway_lost",
            "04.500 c-1 removed: gateway_lost",
            "04.750 c-1 no run is left",
            "05.000 a-12 doubt: link_changed",
            "05.250 c-1 end of the leases of its runs",
            "05.400 a-12 deadline",
        ]
        self.assertEqual(self._list_texts(OWNER_2, OWNER_1, GATEWAY), expected)

    def test_only_the_last_line_of_a_daemon_about_an_attempt_counts(self):
        # Ages are rounded, so two lines would give the same fact twice.
        again = _build_line(
            6.001, "c-1", "attempt_at_owner", **(OWNER_1.fields)
        )
        found = self._list_texts(OWNER_1, again)
        self.assertEqual(found[0][:6], "04.501")
        self.assertEqual(len(found), len({text[7:] for text in found}))

    def test_resignation_has_no_outcome(self):
        line = _build_line(
            1.0,
            "c-1",
            "attempt_at_owner",
            attempt=1,
            ended_ago_s=0.5,
            outcome=None,
            reason="resigned",
        )
        self.assertEqual(
            self._list_texts(line), ["00.500 c-1 job ends: resigned"]
        )

    def test_line_without_fields_tells_nothing(self):
        line = _build_line(1.0, "c-1", "attempt_at_owner", job="a1")
        self.assertEqual(self._list_texts(line), [])

    def test_other_lines_tell_nothing(self):
        line = _build_line(1.0, "c-1", "job_admitted", job="a1", attempt=1)
        self.assertEqual(self._list_texts(line), [])
