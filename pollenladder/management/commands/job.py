"""The command `pollenladder job`."""

import urllib.parse

from cleo import helpers

from pollenladder.management import daemons
from pollenladder.management import exit_codes
from pollenladder.management import rendering
from pollenladder.management.commands import command


class JobCommand(command.Command):
    """Show what a daemon knows about a job."""

    name = "job"
    description = "Show what is known of a job, as JSON."
    arguments = [helpers.argument("job", "The job's id.")]
    options = [command.DAEMON, command.TOKEN, command.CONFIG]
    help = """Examples:
  pollenladder job quito-norte-1-18c0f2-42 --daemon 127.0.0.1:7201
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print the job as reported by the first daemon that knows it."""
        job = urllib.parse.quote(self.argument("job"), safe="")
        found = daemons.fetch_first(
            self.environment,
            self.configure_tool(),
            "GET",
            f"/v1/operator/jobs/{job}",
        )
        self.write(rendering.render_json(found))
        return exit_codes.ExitCode.OK
