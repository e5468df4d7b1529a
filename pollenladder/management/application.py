"""The command-line tool `pollenladder`."""

import sys

from cleo import application as cleo_application
from cleo import exceptions as cleo_exceptions
from cleo.io.inputs import argv_input
from cleo.io.inputs import input as cleo_input
from cleo.io.outputs import output as cleo_output
from cleo.io.outputs import stream_output

from pollenladder.conf import loops
from pollenladder.management import environment as environments
from pollenladder.management import exit_codes
from pollenladder.management.commands import apply
from pollenladder.management.commands import check
from pollenladder.management.commands import check_config
from pollenladder.management.commands import diff
from pollenladder.management.commands import drain
from pollenladder.management.commands import evacuate
from pollenladder.management.commands import explain
from pollenladder.management.commands import history
from pollenladder.management.commands import interference
from pollenladder.management.commands import job
from pollenladder.management.commands import losses
from pollenladder.management.commands import status

VERSION = "0.1.0"
COMMANDS = (
    check.CheckCommand,
    check_config.CheckConfigCommand,
    diff.DiffCommand,
    apply.ApplyCommand,
    history.HistoryCommand,
    status.StatusCommand,
    drain.DrainCommand,
    evacuate.EvacuateCommand,
    job.JobCommand,
    explain.ExplainCommand,
    interference.InterferenceCommand,
    losses.LossesCommand,
)


def build_application(
    environment: environments.Environment,
) -> cleo_application.Application:
    """Return the tool's application with all commands registered."""
    application = cleo_application.Application("pollenladder", VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command(environment))
    return application


def run(
    environment: environments.Environment,
    arguments: cleo_input.Input,
    output: cleo_output.Output,
    error_output: cleo_output.Output,
) -> int:
    """Run one command line; return its exit code."""
    application = build_application(environment)
    try:
        return application.run(arguments, output, error_output)
    except cleo_exceptions.CleoError as error:
        error_output.write_line(str(error), type=cleo_output.Type.RAW)
        return int(exit_codes.ExitCode.USAGE)


def main() -> int:
    """Run the tool with the arguments of this process.

    Returns:
        The exit code.
    """
    loops.pin_loop()
    arguments = argv_input.ArgvInput()
    arguments.set_stream(sys.stdin)
    return run(
        environments.build_environment(),
        arguments,
        stream_output.StreamOutput(sys.stdout),
        stream_output.StreamOutput(sys.stderr),
    )
