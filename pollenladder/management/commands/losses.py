"""The command `pollenladder losses`."""

import dataclasses
import pathlib

from cleo import helpers

from pollenladder.logs import losses
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management import logs
from pollenladder.management.commands import command

DEFAULT_WINDOW_S = 2.0


class LossesCommand(command.Command):
    """Count the jobs that were not served in time."""

    name = "losses"
    description = "Count the jobs that were not served in time, from logs."
    arguments = [
        helpers.argument("files", "Logs of daemons.", multiple=True),
    ]
    options = [
        command.JSON,
        helpers.option(
            "window",
            description="Length of the windows, in seconds.",
            flag=False,
            default=str(DEFAULT_WINDOW_S),
        ),
    ]
    help = """Examples:
  pollenladder losses front-1.log front-2.log
  pollenladder losses --window 60 *.log
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print one line for each window, queue and reason."""
        window_s = self._read_window_s()
        lines = []
        for name in self.argument("files"):
            lines += logs.read_lines(pathlib.Path(name), self.write_error)
        report = losses.count_losses(lines, window_s)
        if self.option("json"):
            self.write_json(dataclasses.asdict(report))
            return exit_codes.ExitCode.OK
        for loss in report.losses:
            self.write(
                f"{loss.begin} {loss.queue}: {loss.jobs} {loss.outcome}, "
                f"{loss.reason}"
            )
        lost = sum(loss.jobs for loss in report.losses)
        self.write(f"{lost} of {report.answered} jobs not served in time")
        return exit_codes.ExitCode.OK

    def _read_window_s(self) -> float:
        text = self.option("window")
        try:
            window_s = float(text)
        except ValueError:
            window_s = 0.0
        if not 0.0 < window_s < float("inf"):
            raise exceptions.UsageError(f"--window: not a duration: {text}")
        return window_s
