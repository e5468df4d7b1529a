"""The command `pollenladder check`."""

from cleo import helpers

from pollenladder.conf import checks
from pollenladder.conf import documents
from pollenladder.conf import exceptions as conf_exceptions
from pollenladder.conf import loader
from pollenladder.conf import positions
from pollenladder.conf import settings
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management.commands import command
from pollenladder.plans import checks as plan_checks
from pollenladder.plans import declarations
from pollenladder.plans import loading


class CheckCommand(command.Command):
    """Check settings and declarations."""

    name = "check"
    description = "Check settings files and declarations."
    arguments = [
        helpers.argument(
            "directory",
            "Directories with customers.json and plans.json.",
            optional=True,
            multiple=True,
        )
    ]
    options = [
        helpers.option(
            "settings",
            None,
            "Settings file of a daemon; may be repeated.",
            flag=False,
            multiple=True,
        )
    ]
    help = """Findings go to standard error, each with an id and a hint.

Examples:
  pollenladder check examples/dalbit
  pollenladder check --settings examples/dalbit/settings.json examples/dalbit
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Check all files and report all findings at once."""
        paths = self.option("settings")
        directories = self.argument("directory")
        if not paths and not directories:
            raise exceptions.UsageError("give a directory or --settings FILE")
        results = [self._check_settings(path) for path in paths]
        valid_settings = [item for item in results if item is not None]
        is_valid = len(valid_settings) == len(results)
        if directories:
            is_valid &= self._check_declarations(directories, valid_settings)
        if not is_valid:
            return exit_codes.ExitCode.INVALID
        self.write("no errors")
        return exit_codes.ExitCode.OK

    def _check_settings(self, path: str) -> settings.Settings | None:
        """Check a settings file and report its findings.

        Returns:
            The settings, or None if the file has errors.
        """
        try:
            loaded = loader.load(path)
        except conf_exceptions.ConfError as error:
            self.write_problems(error)
            return None
        findings = checks.run(checks.CheckContext(loaded))
        document = documents.read_document(path)
        for finding in findings:
            problem = document.describe_problem(finding.path, finding.detail)
            self._write_finding(str(problem), finding)
        return None if checks.has_errors(findings) else loaded

    def _check_declarations(
        self, directories: list[str], valid_settings: list[settings.Settings]
    ) -> bool:
        """Check declarations together with settings and report the findings.

        Returns:
            Whether the declarations have no errors.
        """
        try:
            declared = loading.load_directories(directories).declarations
        except conf_exceptions.ConfError as error:
            self.write_problems(error)
            return False
        for finding in _list_distinct_findings(declared, valid_settings):
            field = positions.format_path(finding.path)
            self._write_finding(f"{field}: {finding.detail}", finding)
        return True

    def _write_finding(self, text: str, finding: checks.Finding) -> None:
        level = finding.level.value
        self.write_error(
            f"{level}: {text} [{finding.check_id}: {finding.hint}]"
        )


def _list_distinct_findings(
    declared: declarations.Declarations,
    valid_settings: list[settings.Settings],
) -> list[checks.Finding]:
    """Check declarations against each settings; return each finding once."""
    findings = [
        finding
        for item in valid_settings
        for finding in plan_checks.run(declared, item)
    ]
    return list(dict.fromkeys(findings))
