"""`pollenladder explain`."""

import pathlib

from cleo import helpers

from pollenladder.logs import exceptions as log_exceptions
from pollenladder.logs import stories
from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management.commands import command


class ExplainCommand(command.Command):
    """Tell from daemons' logs what became of a request, and why."""

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
        """Print the story in order of time, and its cause."""
        lines = []
        for name in self.argument("files"):
            lines += self._read(pathlib.Path(name))
        story = stories.build_story(self.argument("job"), lines)
        if story is None:
            self.write_error(f"no line touches {self.argument('job')}")
            return exit_codes.ExitCode.UNKNOWN_TARGET
        if self.option("json"):
            self.write_json(_render(story))
        else:
            self._show(story)
        return exit_codes.ExitCode.OK

    def _read(self, path: pathlib.Path) -> list[stories.Line]:
        """Return a file's lines; one that can't be read is told and left."""
        try:
            texts = path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise exceptions.UsageError(f"{path}: {error.strerror}") from error
        lines = []
        for number, text in enumerate(texts, 1):
            try:
                lines.append(stories.read_line(text, f"{path}:{number}"))
            except log_exceptions.BadLogError as error:
                self.write_error(str(error))
        return lines

    def _show(self, story: stories.Story) -> None:
        marked = [(line, " ") for line in story.lines]
        marked += [(line, "~") for line in story.context]
        for line, mark in sorted(marked, key=lambda pair: pair[0].time):
            fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
            self.write(
                f"{line.time} {mark} {line.daemon} {line.event.name}: "
                f"{line.event.meaning} ({fields})"
            )
        self.write(f"cause: {story.cause}")


def _render(story: stories.Story) -> dict:
    def render_line(line: stories.Line) -> dict:
        return {
            "time": line.time,
            "daemon": line.daemon,
            "event": line.event.name,
            **line.fields,
        }

    return {
        "job": story.job,
        "cause": story.cause,
        "lines": [render_line(line) for line in story.lines],
        "context": [render_line(line) for line in story.context],
    }
