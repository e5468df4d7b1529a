"""`pollenladder status`."""

from pollenladder.management import daemons
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management import rendering
from pollenladder.management import statuses
from pollenladder.management.commands import command

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
    help = """A daemon knows the workers and the use of plans of its own shards
only. Give all daemons to see the whole; what they say is put together.

Examples:
  pollenladder status --daemon 127.0.0.1:7201 --daemon 127.0.0.1:7202
  pollenladder status --json --daemon 127.0.0.1:7201
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print what the daemons that answer say together."""
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
            f"seen by {status.daemon} in {status.data_centre}, declarations at"
            f" version {status.version}",
            "",
        )
        values = status.model_dump()
        for name, columns in TABLES:
            self.write(*rendering.render_table(name, columns, values[name]))
        cut = status.unreachable_data_centres
        if cut:
            self.write(f"unreachable data centres: {', '.join(cut)}")
