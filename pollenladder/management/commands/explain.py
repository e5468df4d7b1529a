"""The command `pollenladder explain`."""

import dataclasses
import pathlib

from cleo import helpers

from pollenladder.logs import attempt_timelines
from pollenladder.logs import explanations
from pollenladder.management import exit_codes
from pollenladder.management import logs
from pollenladder.management.commands import command


class ExplainCommand(command.Command):
    """Explain the outcome of a request from the logs of daemons."""

    name = "explain"
    description = "Tell what became of a request, from logs."
    arguments = [
        helpers.argument("job", "The request's id."),
        helpers.argument("files", "Logs of daemons.", multiple=True),
    ]
    options = [command.JSON]
    help = """Examples:
  pollenladder explain 5c0e7a21d94b36f8 front-1.log front-2.log
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Print the lines about the job ordered by time, and the cause.

        What daemons tell of attempts whose place was in doubt is also put in order.
        """
        lines = []
        for name in self.argument("files"):
            lines += logs.read_lines(pathlib.Path(name), self.write_error)
        explanation = explanations.explain_job(self.argument("job"), lines)
        if explanation is None:
            self.write_error(f"no line mentions job {self.argument('job')}")
            return exit_codes.ExitCode.UNKNOWN_TARGET
        if self.option("json"):
            self.write_json(_render(explanation))
        else:
            self._show(explanation)
        return exit_codes.ExitCode.OK

    def _show(self, explanation: explanations.Explanation) -> None:
        """Print an explanation; `~` marks the lines of its context."""
        marked = [(line, " ") for line in explanation.lines]
        marked += [(line, "~") for line in explanation.context]
        for line, mark in sorted(marked, key=lambda pair: pair[0].time):
            fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
            self.write(
                f"{line.time} {mark} {line.daemon} {line.event.name}: "
                f"{line.event.meaning} ({fields})"
            )
        facts = attempt_timelines.list_facts(explanation.lines)
        if facts:
            self.write("attempts:")
        for fact in facts:
            self.write(
                f"{fact.time}   {fact.daemon} {fact.attempt}: {fact.text}"
            )
        self.write(f"cause: {explanation.cause}")


def _render(explanation: explanations.Explanation) -> dict:
    """Return an explanation as a JSON value."""

    def render_line(line: explanations.Line) -> dict:
        return {
            "time": line.time,
            "daemon": line.daemon,
            "event": line.event.name,
            **line.fields,
        }

    return {
        "job": explanation.job,
        "cause": explanation.cause,
        "lines": [render_line(line) for line in explanation.lines],
        "context": [render_line(line) for line in explanation.context],
        "attempts": [
            dataclasses.asdict(fact)
            for fact in attempt_timelines.list_facts(explanation.lines)
        ],
    }
