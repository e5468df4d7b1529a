"""The command `pollenladder diff`."""

import dataclasses

from cleo import helpers

from pollenladder.audit import proposals
from pollenladder.management import declarations_row
from pollenladder.management import exit_codes
from pollenladder.management import rendering
from pollenladder.management.commands import command
from pollenladder.plans import loading


class DiffCommand(command.Command):
    """Show what `apply` would change."""

    name = "diff"
    description = "Show what `apply` would change."
    arguments = [
        helpers.argument(
            "directory",
            "Directories with customers.json and plans.json.",
            multiple=True,
        )
    ]
    options = [
        helpers.option("exit-code", None, "Exit with 9 if anything differs."),
        command.JSON,
        command.PLATFORM,
        command.CONFIG,
    ]
    help = """Pass the version shown to `apply --expect-version`.

Examples:
  pollenladder diff --platform 127.0.0.1:7001 examples/red-andina
  pollenladder diff --exit-code examples/red-andina examples/dalbit
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Compare the files with the declarations in the table."""
        candidate = loading.load_directories(self.argument("directory"))
        config = self.configure_tool()
        table = self.environment.open_table(config.get_platform())
        row = declarations_row.read_row(table)
        changes = proposals.compare_with_row(row, candidate)
        version = row.version if row else 0
        if self.option("json"):
            items = [dataclasses.asdict(change) for change in changes]
            self.write_json({"version": version, "changes": items})
        else:
            self.write(f"version {version}, {len(changes)} changes")
            self.write(*rendering.render_changes(changes))
        if changes and self.option("exit-code"):
            return exit_codes.ExitCode.DIFFERENT
        return exit_codes.ExitCode.OK
