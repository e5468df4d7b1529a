"""The command `pollenladder drain`."""

from cleo import helpers

from pollenladder.management import daemons
from pollenladder.management import exit_codes
from pollenladder.management.commands import command


class DrainCommand(command.Command):
    """Start the drain of a worker or a daemon."""

    name = "drain"
    description = "Start the drain of a worker or a daemon."
    arguments = [helpers.argument("target", "Id of the worker or daemon.")]
    options = [command.DAEMON, command.TOKEN, command.CONFIG]
    help = """To drain a daemon, pass its own address, as a daemon only drains
itself. The command returns when the drain has begun; `status` shows when it is
done.

Examples:
  pollenladder drain quito-norte-w03 --daemon 127.0.0.1:7201
  pollenladder drain quito-norte-1 --daemon 127.0.0.1:7201
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Send the request to the daemons until one knows the target."""
        target = self.argument("target")
        daemons.fetch_first(
            self.environment,
            self.configure_tool(),
            "POST",
            "/v1/operator/drain",
            {"target": target},
        )
        self.write(f"drain of {target} has begun")
        return exit_codes.ExitCode.OK
