"""Check every model with SPIN, and that each guard in it is necessary.

Each model is searched exhaustively within the bounds stated in its head
comment. A twin is the same model with one guard removed by a macro; its search
must find a violation. The exit code is 1 if any search ends otherwise, or if
SPIN or gcc is missing.
"""

import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent
BUILD = ROOT / "build"
TOOLS = ("spin", "gcc")
TWIN = re.compile(r"^#if(?:n)?def (NAIVE_\w+)", re.MULTILINE)
STATES = re.compile(r"(\d+) states, stored")
ERRORS = re.compile(r"errors: (\d+)")
# Messages of a search that was not exhaustive, which proves nothing.
INCOMPLETE = ("max search depth too small", "out of memory", "aborting")
TIMEOUT_S = 300
MAX_DEPTH = 100_000
HASH_BITS = 23
ROW = "{:<14} {:<16} {:>10} {:>7}  {}"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of the search of one model or twin.

    Attributes:
        states: The number of states stored.
        violated: Whether an assertion was violated.
        finished: Whether the search was exhaustive or found a violation.
        seconds: The time taken, including the build.
        detail: The end of the tools' output if the search did not finish.
    """

    states: int
    violated: bool
    finished: bool
    seconds: float
    detail: str = ""


def list_models() -> list[pathlib.Path]:
    """Return the paths of the models, sorted."""
    return sorted(ROOT.glob("*.pml"))


def list_twins(model: pathlib.Path) -> list[str]:
    """Return the macros of a model that each remove one guard, sorted."""
    return sorted(set(TWIN.findall(model.read_text())))


def check(model: pathlib.Path, twin: str = "") -> Outcome:
    """Build and run the search of a model or of one of its twins."""
    started_at = time.monotonic()
    folder = BUILD / "-".join(filter(None, (model.stem, twin)))
    folder.mkdir(parents=True, exist_ok=True)
    # The search of a twin is short, so it is built without optimisation, which
    # shortens the build.
    optimise = "-O0" if twin else "-O2"
    define = [f"-D{twin}"] if twin else []
    commands = (
        ["spin", *define, "-a", str(model)],
        ["gcc", "-w", optimise, "-DSAFETY", "-o", "pan", "pan.c"],
        ["./pan", f"-m{MAX_DEPTH}", f"-w{HASH_BITS}"],
    )
    for command in commands:
        try:
            done = subprocess.run(
                command,
                cwd=folder,
                capture_output=True,
                text=True,
                check=False,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return Outcome(0, False, False, TIMEOUT_S, "timeout")
        if done.returncode:
            break
    output = done.stdout + done.stderr
    return _read_outcome(output, time.monotonic() - started_at)


def judge(outcome: Outcome, twin: str) -> str:
    """Return the result text, which starts with a capital if unexpected."""
    if not outcome.finished:
        return f"NOT FINISHED: {outcome.detail}"
    if twin:
        return "violation found" if outcome.violated else "NO VIOLATION FOUND"
    return "VIOLATED" if outcome.violated else "holds"


def main() -> int:
    """Check all models, print a table and return the exit code."""
    missing = [tool for tool in TOOLS if shutil.which(tool) is None]
    if missing:
        print(f"models: not run, missing: {', '.join(missing)}")
        return 1
    print(ROW.format("model", "guard removed", "states", "s", "result"))
    unexpected = 0
    for model in list_models():
        for twin in ("", *list_twins(model)):
            outcome = check(model, twin)
            result = judge(outcome, twin)
            unexpected += result[0].isupper()
            seconds = f"{outcome.seconds:.1f}"
            guard = twin.removeprefix("NAIVE_").lower() or "-"
            print(
                ROW.format(model.stem, guard, outcome.states, seconds, result),
                flush=True,
            )
    print(f"models: {unexpected} unexpected")
    return 1 if unexpected else 0


def _read_outcome(output: str, seconds: float) -> Outcome:
    errors = ERRORS.search(output)
    states = STATES.search(output)
    violated = "assertion violated" in output
    is_exhaustive = not any(text in output for text in INCOMPLETE)
    finished = errors is not None and states is not None and is_exhaustive
    if finished and int(errors[1]) and not violated:
        finished = False
    return Outcome(
        states=int(states[1]) if states else 0,
        violated=violated,
        finished=finished,
        seconds=seconds,
        detail="" if finished else output[-500:].replace(os.linesep, " "),
    )


if __name__ == "__main__":
    sys.exit(main())
