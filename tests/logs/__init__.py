"""Tests of the log lines, the list of events and the explanations of jobs."""
