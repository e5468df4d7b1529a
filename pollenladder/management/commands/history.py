"""`pollenladder history`."""

from cleo import helpers

from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.audit import records
from pollenladder.management import declared
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management import rendering
from pollenladder.management.commands import command

DEFAULT_LAST = 10
MAX_LAST = 1000


class HistoryCommand(command.Command):
    """Show the audit trail."""

    name = "history"
    description = "Show who changed what, when, and to which version."
    options = [
        helpers.option(
            "last",
            None,
            f"How many changes, up to {MAX_LAST}.",
            flag=False,
            default=str(DEFAULT_LAST),
        ),
        helpers.option("changes", None, "Show each field, before and after."),
        command.JSON,
        command.PLATFORM,
        command.CONFIG,
    ]
    help = """The oldest comes first.

Examples:
  pollenladder history --platform 127.0.0.1:7001
  pollenladder history --last 1 --changes
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print the latest records."""
        count = self.read_number("last")
        if not 1 <= count <= MAX_LAST:
            raise exceptions.UsageError(f"--last goes from 1 to {MAX_LAST}")
        config = self.configure_tool()
        table = self.environment.open_table(config.get_platform())
        row = declared.read_row(table)
        version = row.version if row else 0
        try:
            latest = records.read_latest(table, version, count)
        except audit_exceptions.RecordInvalidError as error:
            raise exceptions.ToolError(f"audit trail: {error}") from error
        if self.option("json"):
            self.write_json([records.build_value(item) for item in latest])
            return exit_codes.ExitCode.OK
        for item in latest:
            lines = rendering.render_record(item, self.option("changes"))
            self.write(*lines)
        return exit_codes.ExitCode.OK
