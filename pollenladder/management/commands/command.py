"""What all commands share: options, errors and output."""

import json
from typing import Any

from cleo import helpers
from cleo.commands import command as cleo_command
from cleo.io.outputs import output

from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.conf import exceptions as conf_exceptions
from pollenladder.management import configuration
from pollenladder.management import environment as environments
from pollenladder.management import exceptions
from pollenladder.management import exit_codes

CONFIG = helpers.option(
    "config",
    None,
    f"Tool's file; also in {configuration.FILE_VARIABLE}.",
    flag=False,
)
PLATFORM = helpers.option(
    "platform", None, "ADDR:PORT of the platform's service.", flag=False
)
DAEMON = helpers.option(
    "daemon",
    None,
    "ADDR:PORT of a daemon's HTTP; may be repeated.",
    flag=False,
    multiple=True,
)
TOKEN = helpers.option(
    "token",
    None,
    f"Operator's token; better in {configuration.TOKEN_VARIABLE}.",
    flag=False,
)
JSON = helpers.option("json", None, "Print JSON.")


class Command(cleo_command.Command):
    """A command whose errors go to standard error and to the exit code."""

    def __init__(self, environment: environments.Environment):
        self.environment = environment
        super().__init__()

    def run_command(self) -> exit_codes.ExitCode:
        """Do what the command is for; return its exit code."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command and turn its errors into exit codes."""
        try:
            return int(self.run_command())
        except conf_exceptions.ConfError as error:
            self.write_problems(error)
            return int(exit_codes.ExitCode.INVALID)
        except exceptions.ToolError as error:
            self.write_error(str(error))
            return int(error.exit_code)
        except audit_exceptions.TableUnavailableError as error:
            self.write_error(str(error))
            return int(exit_codes.ExitCode.UNREACHABLE)
        except KeyboardInterrupt:
            self.write_error("interrupted; what was asked may be done")
            return int(exit_codes.ExitCode.INTERRUPTED)

    def configure_tool(self) -> configuration.Configuration:
        """Return the configuration from this command's options."""
        given = configuration.Given(
            file=self._find_option("config"),
            platform=self._find_option("platform"),
            daemons=tuple(self._find_option("daemon") or ()),
            token=self._find_option("token"),
        )
        return configuration.resolve(given, self.environment.variables)

    def read_number(self, name: str, kind: type = int) -> Any:
        """Return an option as a number that isn't negative, or None.

        Raises:
            exceptions.UsageError: It is no such number.
        """
        text = self.option(name)
        if text is None:
            return None
        try:
            number = kind(text)
        except ValueError:
            number = -1
        if not 0 <= number < float("inf"):
            raise exceptions.UsageError(f'--{name} can\'t be "{text}"')
        return number

    def write(self, *lines: str) -> None:
        """Write lines to standard output as they are."""
        for line in lines:
            self.io.output.write_line(line, type=output.Type.RAW)

    def write_json(self, value: Any) -> None:
        """Write a value to standard output as one line of JSON."""
        self.write(json.dumps(value, ensure_ascii=False))

    def write_error(self, *lines: str) -> None:
        """Write lines to standard error as they are."""
        for line in lines:
            self.io.error_output.write_line(line, type=output.Type.RAW)

    def write_problems(self, error: conf_exceptions.ConfError) -> None:
        """Write the problems of a file with their id and hint."""
        for problem in error.problems:
            self.write_error(f"{problem} [{error.check_id}: {error.hint}]")

    def _find_option(self, name: str) -> Any:
        has = self.definition.has_option(name)
        return self.option(name) if has else None
