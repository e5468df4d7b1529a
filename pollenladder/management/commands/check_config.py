"""The command `pollenladder check-config`."""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any

from cleo import helpers

from pollenladder.conf import checks
from pollenladder.conf import exceptions as conf_exceptions
from pollenladder.conf import positions
from pollenladder.fleet import configuration_checks
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import regions as fleet_regions
from pollenladder.jobs import configuration_differences
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management.commands import command
from pollenladder.platform import configuration_documents
from pollenladder.platform import exceptions as platform_exceptions
from pollenladder.platform import settings


@dataclasses.dataclass
class _Report:
    """What is found in the documents.

    Attributes:
        version: Version of the configuration; None if it is rejected.
        findings: Names of files and their findings, in the files' names.
        differences: Differences from the version in force; None if it is not
            known.
    """

    version: int | None = None
    findings: list[tuple[str, checks.Finding]] = dataclasses.field(
        default_factory=list
    )
    differences: list[configuration_differences.Difference] | None = None

    def add(self, file: str, findings: Iterable[checks.Finding]) -> None:
        """Add findings with paths of the decoded configuration."""
        for finding in findings:
            path = configuration_documents.name_path(finding.path)
            renamed = dataclasses.replace(finding, path=path)
            self.findings.append((file, renamed))

    def has_errors(self) -> bool:
        """Return whether any finding is an error."""
        return checks.has_errors(finding for _, finding in self.findings)


class CheckConfigCommand(command.Command):
    """Check a configuration of the users' platform before it is written."""

    name = "check-config"
    description = "Check a configuration of the users' platform."
    arguments = [helpers.argument("file", "The configuration document.")]
    options = [
        helpers.option(
            "in-force", None, "The document in force, to compare.", flag=False
        ),
        helpers.option(
            "workers", None, "A JSON list of workers' rows.", flag=False
        ),
        helpers.option(
            "settings",
            None,
            "A daemon's settings file, for the regions of --workers.",
            flag=False,
        ),
        command.JSON,
    ]
    help = """Findings go to standard error, each with an id and a hint.

Examples:
  pollenladder check-config config.json
  pollenladder check-config config.json --in-force old.json --json
  pollenladder check-config config.json --workers servers.json
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Check all documents and report all findings at once."""
        report = _Report()
        workers = self._read_workers(report)
        regions = self._read_regions()
        context = _read_configuration(
            self.argument("file"), report, workers, regions
        )
        if context is not None:
            report.version = context.configuration.version
            findings = configuration_checks.run(context)
            report.add(self.argument("file"), findings)
            self._compare(context, report)
        if self.option("json"):
            self.write_json(_build_json(report))
        else:
            self._write_text(report)
        if report.has_errors():
            return exit_codes.ExitCode.INVALID
        return exit_codes.ExitCode.OK

    def _read_workers(
        self, report: _Report
    ) -> tuple[fleet.Listing, ...] | None:
        path = self.option("workers")
        if not path:
            return None
        source = _read_file(path)
        try:
            workers, findings = configuration_documents.read_workers(source)
        except platform_exceptions.BadDocumentError as error:
            _add_rejection(report, path, source, error)
            return None
        report.add(path, findings)
        return workers

    def _read_regions(self) -> fleet_regions.Regions:
        path = self.option("settings")
        if not path:
            return fleet_regions.NONE
        try:
            return settings.load(path).regions
        except platform_exceptions.SettingsError as error:
            raise exceptions.ToolError(f"--settings: {error}") from error

    def _compare(
        self, context: configuration_checks.Context, report: _Report
    ) -> None:
        path = self.option("in-force")
        if not path:
            return
        before = _read_configuration(path, report)
        if before is None:
            return
        versions = before.configuration, context.configuration
        findings = configuration_differences.check_version(*versions)
        report.add(self.argument("file"), findings)
        report.differences = configuration_differences.compare(*versions)

    def _write_text(self, report: _Report) -> None:
        for file, finding in report.findings:
            field = positions.format_path(finding.path)
            place = f"{file}: {field}" if field else file
            self.write_error(
                f"{finding.level.value}: {place}: {finding.detail}"
                f" [{finding.check_id}: {finding.hint}]"
            )
        for item in report.differences or ():
            subject = f"{item.subject}: " if item.subject else ""
            self.write(f"{subject}{item.change}; {item.effect}")
        if report.differences == []:
            self.write("no differences")
        if not report.has_errors():
            self.write("no errors")


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        detail = error.strerror or "can't be read"
        problem = conf_exceptions.Problem(path, 0, "", detail)
        raise conf_exceptions.UnreadableError(problem) from error


def _read_configuration(
    path: str, report: _Report, *known: Any
) -> configuration_checks.Context | None:
    """Return a configuration, or None if a daemon would reject it."""
    source = _read_file(path)
    try:
        return configuration_documents.read_configuration(source, *known)
    except platform_exceptions.BadDocumentError as error:
        _add_rejection(report, path, source, error)
        return None


def _add_rejection(
    report: _Report,
    path: str,
    source: bytes,
    error: platform_exceptions.BadDocumentError,
) -> None:
    finding = configuration_documents.describe_rejection(error, source)
    report.findings.append((path, finding))


def _build_json(report: _Report) -> dict[str, Any]:
    findings = [
        {
            "file": file,
            "id": finding.check_id,
            "level": finding.level.value,
            "path": positions.format_path(finding.path),
            "detail": finding.detail,
            "hint": finding.hint,
        }
        for file, finding in report.findings
    ]
    differences = None
    if report.differences is not None:
        differences = []
        for item in report.differences:
            path = configuration_documents.name_path(item.path)
            row = dataclasses.asdict(item)
            differences.append(row | {"path": positions.format_path(path)})
    return {
        "version": report.version,
        "findings": findings,
        "differences": differences,
    }
