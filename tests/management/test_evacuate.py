"""Tests of the command `evacuate` against the stand-in of the store."""

import json
import unittest

from cleo.io.inputs import string_input
from cleo.io.outputs import buffered_output

from pollenladder.management import application
from pollenladder.management import environment as environments
from pollenladder.management import exit_codes
from standins import site as sites
from standins import site_store

KEY = "evacuate/norte"


class EvacuateTest(unittest.TestCase):
    """A site with a worker in one data centre."""

    def setUp(self):
        self.site = sites.Site()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.site.add_worker("w1", "norte")

    def _run(self, arguments: str) -> tuple[int, str, str]:
        output = buffered_output.BufferedOutput()
        error_output = buffered_output.BufferedOutput()
        platform = f"--platform {sites.HOST}:{self.site.store_port}"
        code = application.run(
            environments.build_environment(),
            string_input.StringInput(f"evacuate {arguments} {platform}"),
            output,
            error_output,
        )
        return code, output.fetch(), error_output.fetch()

    def test_request_list_and_return(self):
        self.assertEqual(self._run("norte")[0], exit_codes.ExitCode.OK)
        self.assertEqual(self.site.store.get("op", KEY), b"{}")
        _, text, _ = self._run("--json")
        self.assertEqual(json.loads(text), {"evacuated": ["norte"]})
        self.assertEqual(self._run("norte --return")[0], 0)
        self.assertIsNone(self.site.store.get("op", KEY))
        self.assertEqual(self._run(""), (0, "", ""))

    def test_misspelled_data_centre(self):
        # A request for an unknown name would be accepted and do nothing.
        code, _, error = self._run("nort")
        self.assertEqual(code, exit_codes.ExitCode.UNKNOWN_TARGET)
        self.assertIn("norte", error)
        self.assertIsNone(self.site.store.get("op", "evacuate/nort"))
        self.assertEqual(self._run("nort --force")[0], 0)
        self.assertIsNotNone(self.site.store.get("op", "evacuate/nort"))

    def test_lost_response_is_unsettled(self):
        self.site.store.faults.lost_replies = 1
        code, _, error = self._run("norte")
        self.assertEqual(code, exit_codes.ExitCode.UNSETTLED)
        self.assertIn("repeat", error)

    def test_store_that_refuses(self):
        self.site.store.faults.trouble = site_store.FailureMode.BUSY
        code, _, _ = self._run("norte")
        self.assertEqual(code, exit_codes.ExitCode.UNREACHABLE)

    def test_usage(self):
        self.assertEqual(self._run("--return")[0], exit_codes.ExitCode.USAGE)
        self.assertEqual(self._run("x" * 300)[0], exit_codes.ExitCode.USAGE)
