"""Reports of a run as Markdown, plots and JSON."""

from collections.abc import Sequence
import dataclasses
import json
import pathlib
import platform
import subprocess
import sys
import time
from typing import Any


@dataclasses.dataclass
class Report:
    """A report to which a run adds its results.

    Attributes:
        folder: Folder of the report's files.
        name: Name of the files without extension.
        title: Heading of the report.
        result: Result that is written as JSON and printed to stdout.
        parts: Markdown sections.
    """

    folder: pathlib.Path
    name: str
    title: str
    result: dict[str, Any]
    parts: list[str] = dataclasses.field(default_factory=list)

    def add_table(
        self, heading: str, columns: Sequence[str], rows: Sequence[Sequence]
    ) -> None:
        """Add a table and print it to stderr."""
        lines = [
            f"## {heading}",
            "",
            "| " + " | ".join(columns) + " |",
            "|" + "---|" * len(columns),
        ]
        lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
        self.add_text("\n".join(lines))

    def add_text(self, text: str) -> None:
        """Add a paragraph and print it to stderr."""
        self.parts.append(text)
        print(text + "\n", file=sys.stderr, flush=True)

    def finish(self) -> None:
        """Write the report and print the result to stdout as a line of JSON."""
        self.folder.mkdir(parents=True, exist_ok=True)
        head = f"# {self.title}\n\n{describe_run()}"
        text = "\n\n".join([head, *self.parts]) + "\n"
        (self.folder / f"{self.name}.md").write_text(text)
        (self.folder / f"{self.name}.json").write_text(
            json.dumps(self.result, indent=1) + "\n"
        )
        print(json.dumps(self.result))


def read_commit() -> str:
    """Return the short id of the current commit."""
    return subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()


def describe_run() -> str:
    """Return the command, the commit, the date and the Python version."""
    commit = read_commit()
    command = "scripts/bench " + " ".join(sys.argv[1:])
    date = time.strftime("%Y-%m-%d %H:%M")
    return (
        f"- command: `{command}`\n- commit: {commit}\n- date: {date}\n"
        f"- Python {platform.python_version()}, task run times not scaled"
    )


def plot_lines(
    path: pathlib.Path,
    title: str,
    axes: tuple[str, str],
    lines: dict[str, tuple[Sequence[float], Sequence[float]]],
    scales: tuple[str, str] = ("linear", "linear"),
) -> None:
    """Plot named lines and save the figure to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(7, 4.5))
    for name, (xs, ys) in lines.items():
        axis.plot(xs, ys, marker=".", label=name)
    axis.set(title=title, xlabel=axes[0], ylabel=axes[1])
    axis.set_xscale(scales[0])
    axis.set_yscale(scales[1])
    axis.grid(visible=True, alpha=0.3)
    axis.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
