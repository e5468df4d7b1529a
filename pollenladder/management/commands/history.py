"""The command `pollenladder history`."""

from cleo import helpers

from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.audit import records
from pollenladder.management import declarations_row
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management import rendering
from pollenladder.management.commands import command

DEFAULT_RECORDS = 10
MAX_RECORDS = 1000


class HistoryCommand(command.Command):
    """Show the audit trail of configuration changes."""

    name = "history"
    description = "Show who changed what, when, and to which version."
    options = [
        helpers.option(
            "last",
            None,
            f"How many changes, up to {MAX_RECORDS}.",
            flag=False,
            default=str(DEFAULT_RECORDS),
        ),
        helpers.option("changes", None, "Show each field, before and after."),
        command.JSON,
        command.PLATFORM,
        command.CONFIG,
    ]
    help = """Changes are listed from the oldest to the latest.

Examples:
  pollenladder history --platform 127.0.0.1:7001
  pollenladder history --last 1 --changes
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print the latest records of the audit trail."""
        count = self.read_number("last")
        if not 1 <= count <= MAX_RECORDS:
            raise exceptions.UsageError(
                f"--last must be between 1 and {MAX_RECORDS}"
            )
        config = self.configure_tool()
        table = self.environment.open_table(config.get_platform())
        row = declarations_row.read_row(table)
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
