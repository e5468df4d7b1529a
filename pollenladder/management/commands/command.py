"""Base class of all commands: shared options, error handling and output."""

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
    """Base of all commands.

    Errors are written to standard error and determine the exit code.
    """

    def __init__(self, environment: environments.Environment):
        self.environment = environment
        super().__init__()

    def run_command(self) -> exit_codes.ExitCode:
        """Execute the command and return its exit code.

        Subclasses implement this.
        """
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command; report its errors and convert them to exit codes."""
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
            self.write_error("interrupted; the request may have been executed")
            return int(exit_codes.ExitCode.INTERRUPTED)

    def configure_tool(self) -> configuration.Configuration:
        """Return the configuration that results from this command's options."""
        options = configuration.CommandLineOptions(
            file=self._find_option("config"),
            platform=self._find_option("platform"),
            daemons=tuple(self._find_option("daemon") or ()),
            token=self._find_option("token"),
        )
        return configuration.resolve(options, self.environment.variables)

    def read_number(self, name: str, kind: type = int) -> Any:
        """Return an option as a non-negative finite number.

        Args:
            name: Name of the option.
            kind: `int` or `float`.

        Returns:
            The number, or None if the option is missing.

        Raises:
            exceptions.UsageError: The value is not such a number.
        """
        text = self.option(name)
        if text is None:
            return None
        try:
            number = kind(text)
        except ValueError:
            number = -1
        if not 0 <= number < float("inf"):
            raise exceptions.UsageError(
                f'--{name} must be a non-negative number, not "{text}"'
            )
        return number

    def write(self, *lines: str) -> None:
        """Write lines to standard output without interpreting markup."""
        for line in lines:
            self.io.output.write_line(line, type=output.Type.RAW)

    def write_json(self, value: Any) -> None:
        """Write a value to standard output as one line of JSON."""
        self.write(json.dumps(value, ensure_ascii=False))

    def write_error(self, *lines: str) -> None:
        """Write lines to standard error without interpreting markup."""
        for line in lines:
            self.io.error_output.write_line(line, type=output.Type.RAW)

    def write_problems(self, error: conf_exceptions.ConfError) -> None:
        """Write the problems of a file to standard error, with id and hint."""
        for problem in error.problems:
            self.write_error(f"{problem} [{error.check_id}: {error.hint}]")

    def _find_option(self, name: str) -> Any:
        """Return an option's value, or None if the command lacks the option."""
        is_defined = self.definition.has_option(name)
        return self.option(name) if is_defined else None
