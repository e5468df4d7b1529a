"""The command `pollenladder apply`."""

import datetime

from cleo import helpers

from pollenladder.audit import commits
from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.audit import proposals
from pollenladder.audit import spread
from pollenladder.audit import tables
from pollenladder.core import verdicts
from pollenladder.management import configuration
from pollenladder.management import daemons
from pollenladder.management import declarations_row
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management import rendering
from pollenladder.management import statuses
from pollenladder.management.commands import command
from pollenladder.plans import loading

DEFAULT_WAIT_S = 10.0
POLL_INTERVAL_S = 0.25
COMMIT_RETRY_PAUSE_S = 0.5


class ApplyCommand(command.Command):
    """Apply declarations and wait until they are in force."""

    name = "apply"
    description = "Apply declarations and wait until they are in force."
    arguments = [
        helpers.argument(
            "directory",
            "Directories with customers.json and plans.json, merged.",
            multiple=True,
        )
    ]
    options = [
        helpers.option(
            "expect-version",
            None,
            "Apply only to this version, as `diff` showed it.",
            flag=False,
        ),
        helpers.option(
            "wait-s",
            None,
            "Wait at most so many seconds until it is in force.",
            flag=False,
            default=str(DEFAULT_WAIT_S),
        ),
        helpers.option("no-wait", None, "End once the change is accepted."),
        command.PLATFORM,
        command.DAEMON,
        command.TOKEN,
        command.CONFIG,
    ]
    help = """The files replace all declarations, so name every directory of the
platform. "accepted" means that the change is in the platform's table and will
not be undone; "in force" means that every daemon uses it. If the change is not
in force in time, the daemons and data centres that lag behind are listed.

Examples:
  pollenladder apply --platform 127.0.0.1:7001 --daemon 127.0.0.1:7201 \\
      examples/red-andina examples/dalbit
  pollenladder apply --expect-version 7 --no-wait examples/dalbit
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Commit the change, and wait until all daemons use it."""
        config = self.configure_tool()
        config.get_token()
        should_wait = not self.option("no-wait")
        if should_wait:
            config.get_daemons()
        wait_s = self.read_number("wait-s", float)
        expected = self.read_number("expect-version")
        candidate = loading.load_directories(self.argument("directory"))
        version = self._commit(config, candidate, expected)
        if not should_wait:
            return exit_codes.ExitCode.OK
        return self._wait_until_in_force(config, version, wait_s)

    def _commit(
        self,
        config: configuration.Configuration,
        candidate: loading.Candidate,
        expected: int | None,
    ) -> int:
        """Commit the candidate unless it equals the declarations in force.

        Args:
            config: Configuration of the tool.
            candidate: The declarations to apply.
            expected: Version that the table must have, or None for any.

        Returns:
            The version of the table that contains the candidate.
        """
        table = self.environment.open_table(config.get_platform())
        row = declarations_row.read_row(table)
        operator = declarations_row.identify_operator(
            config.get_token(), row, candidate
        )
        try:
            proposals.check_expected(row, expected)
        except audit_exceptions.VersionMismatchError as error:
            raise exceptions.ConflictError(f"not applied: {error}") from error
        if row is not None and not proposals.compare_with_row(row, candidate):
            self.write(f"no change: version {row.version} is identical")
            return row.version
        proposal = self._propose(row, candidate, operator)
        version = self._commit_proposal(proposal, table)
        change_id = proposal.record.change_id
        self.write(f"accepted as version {version}, change {change_id}")
        return version

    def _propose(
        self,
        row: tables.Row | None,
        candidate: loading.Candidate,
        operator: str,
    ) -> proposals.Proposal:
        """Build the proposal that replaces a row by the candidate."""
        now = datetime.datetime.fromtimestamp(
            self.environment.read_wall_s(), datetime.UTC
        )
        return proposals.propose(
            row,
            candidate,
            operator=operator,
            change_id=self.environment.draw_id(),
            applied_at=now.isoformat(timespec="seconds"),
        )

    def _commit_proposal(
        self, proposal: proposals.Proposal, table: tables.Table
    ) -> int:
        """Commit a proposal and return the version that it was accepted as.

        Raises:
            exceptions.ConflictError: Another change was committed first.
            exceptions.UnreachableError: The platform can't be reached.
            exceptions.UnsettledError: The outcome of the commit is unknown.
        """
        outcome = commits.commit(
            proposal,
            table,
            lambda: self.environment.sleep(COMMIT_RETRY_PAUSE_S),
        )
        if isinstance(outcome, proposals.Superseded):
            raise exceptions.ConflictError(
                _describe_conflict(proposal, outcome)
            )
        if isinstance(outcome, commits.Unsettled):
            change_id = proposal.record.change_id
            if outcome.verdict is verdicts.Verdict.NOT_RUN:
                raise exceptions.UnreachableError(
                    f"not applied: {outcome.detail}"
                )
            raise exceptions.UnsettledError(
                f"change {change_id} may have been accepted:"
                f" {outcome.detail}; search `history` for it, or apply again"
            )
        return outcome.version

    def _wait_until_in_force(
        self, config: configuration.Configuration, version: int, wait_s: float
    ) -> exit_codes.ExitCode:
        """Poll the daemons until the version is in force or the wait is over.

        The daemons and data centres that lag behind are then written to
        standard error.
        """
        end_s = self.environment.read_monotonic_s() + wait_s
        while True:
            answers = daemons.fetch_statuses(self.environment, config)
            views = map(statuses.build_view, answers.statuses)
            found = spread.measure_spread(views, version)
            if found.is_everywhere:
                centres = ", ".join(found.data_centres)
                count = len(found.daemons)
                self.write(f"in force in all {count} daemons: {centres}")
                return exit_codes.ExitCode.OK
            if self.environment.read_monotonic_s() >= end_s:
                self._write_lagging(version, found)
                return exit_codes.ExitCode.NOT_IN_FORCE
            self.environment.sleep(POLL_INTERVAL_S)

    def _write_lagging(self, version: int, found: spread.Spread) -> None:
        self.write_error(f"version {version} is not yet in force everywhere:")
        if not found.lagging:
            self.write_error("no daemon answered with its status")
        self.write_error(*rendering.render_lagging(found.lagging))


def _describe_conflict(
    proposal: proposals.Proposal, outcome: proposals.Superseded
) -> str:
    by = f" by {outcome.operator}" if outcome.operator else ""
    return (
        f"not applied: the change is based on version {proposal.base}, but the"
        f" table now has version {outcome.version}, changed{by}; run `diff`"
    )
