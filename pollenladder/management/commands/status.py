"""The command `pollenladder status`."""

from pollenladder.management import daemons
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management import rendering
from pollenladder.management import statuses
from pollenladder.management.commands import command

# Tables in the order of the output: title and columns.
TABLES = (
    ("daemons", ["data_centre", "daemon", "state", "version", "last_heard_s"]),
    (
        "workers",
        [
            "data_centre",
            "worker",
            "shard",
            "state",
            "slots",
            "running",
            "quarantined",
            "leaving",
        ],
    ),
    ("plans", ["plan", "allowance", "running", "share", "waiting"]),
    ("shards", ["shard", "owner", "epoch"]),
)


class StatusCommand(command.Command):
    """Show daemons, workers, plans and shards."""

    name = "status"
    description = "Show daemons, workers, plans and shards."
    options = [command.JSON, command.DAEMON, command.TOKEN, command.CONFIG]
    help = """A daemon only knows the workers and the plan usage of its own
shards. Pass all daemons to see the whole system; their statuses are merged.

Examples:
  pollenladder status --daemon 127.0.0.1:7201 --daemon 127.0.0.1:7202
  pollenladder status --json --daemon 127.0.0.1:7201
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print the merged status of all daemons that reply."""
        config = self.configure_tool()
        answers = daemons.fetch_statuses(self.environment, config)
        if not answers.statuses:
            failures = "; ".join(answers.failures)
            if answers.is_forbidden:
                raise exceptions.ForbiddenError(failures)
            raise exceptions.UnreachableError(failures)
        self.write_error(*answers.failures)
        status = statuses.merge_statuses(list(answers.statuses))
        if self.option("json"):
            self.write_json(status.model_dump())
        else:
            self._write_tables(status)
        return exit_codes.ExitCode.OK

    def _write_tables(self, status: statuses.Status) -> None:
        self.write(
            f"reported by {status.daemon} in {status.data_centre}, declarations"
            f" at version {status.version}",
            "",
        )
        values = status.model_dump()
        for name, columns in TABLES:
            self.write(*rendering.render_table(name, columns, values[name]))
        unreachable = status.unreachable_data_centres
        if unreachable:
            self.write(f"unreachable data centres: {', '.join(unreachable)}")
