"""`pollenladder status`."""

from typing import Any

from pollenladder.management import daemons
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management import rendering
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
    description = "Show daemons, workers, plans and shards as a daemon sees."
    options = [command.JSON, command.DAEMON, command.TOKEN, command.CONFIG]
    help = """The first daemon given that answers is shown.

Examples:
  pollenladder status --daemon 127.0.0.1:7201
  pollenladder status --json --daemon 127.0.0.1:7201
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print the status of the first daemon that answers."""
        config = self.configure_tool()
        status = daemons.fetch_first(
            self.environment, config, "GET", daemons.STATUS_PATH
        )
        if not isinstance(status, dict):
            raise exceptions.UnreachableError("the answer is not a status")
        if self.option("json"):
            self.write_json(status)
        else:
            self._write_tables(status)
        return exit_codes.ExitCode.OK

    def _write_tables(self, status: dict[str, Any]) -> None:
        self.write(
            f"seen by {status.get('daemon')} in {status.get('data_centre')},"
            f" declarations at version {status.get('version')}",
            "",
        )
        for name, columns in TABLES:
            rows = [r for r in status.get(name, []) if isinstance(r, dict)]
            rows.sort(key=lambda row, c=columns: _sort_key(row, c))
            self.write(*rendering.render_table(name, columns, rows))
        cut = status.get("unreachable_data_centres", [])
        if cut:
            self.write(f"unreachable data centres: {', '.join(cut)}")


def _sort_key(row: dict[str, Any], columns: list[str]) -> list[str]:
    return [str(row.get(column, "")) for column in columns[:2]]
