"""The command `pollenladder interference`."""

import dataclasses
import pathlib

from cleo import helpers

from pollenladder.logs import interference
from pollenladder.management import exit_codes
from pollenladder.management import logs
from pollenladder.management.commands import command


class InterferenceCommand(command.Command):
    """List the queues whose tasks slow each other down."""

    name = "interference"
    description = "List the queues whose tasks slow each other down, from logs."
    arguments = [
        helpers.argument("files", "Logs of daemons.", multiple=True),
    ]
    options = [command.JSON]
    help = """Examples:
  pollenladder interference front-1.log front-2.log
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print one line for each pair that counts at the end of the logs."""
        lines = []
        for name in self.argument("files"):
            lines += logs.read_lines(pathlib.Path(name), self.write_error)
        pairs = interference.list_pairs(lines)
        if self.option("json"):
            self.write_json([dataclasses.asdict(pair) for pair in pairs])
            return exit_codes.ExitCode.OK
        for pair in pairs:
            self.write(
                f"{pair.group}: {pair.queue} beside {pair.neighbour}: "
                f"x{pair.slowdown:.2f} (at least x{pair.lower_bound:.2f}, "
                f"{pair.overlap:.0f} runs), since {pair.since} on {pair.daemon}"
            )
        if not pairs:
            self.write("no queues are known to slow each other down")
        return exit_codes.ExitCode.OK
