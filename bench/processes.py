"""Child processes of a run: started by name, stopped by process id."""

from collections.abc import Iterator
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import time

from standins import parents

STOP_TIMEOUT_S = 5.0


@dataclasses.dataclass
class Child:
    """A started process and the command that starts it again."""

    name: str
    command: list[str]
    env: dict[str, str]
    log: pathlib.Path
    popen: subprocess.Popen


class Group:
    """The processes of one run; stops only those it started itself."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.children: dict[str, Child] = {}

    def start(
        self, name: str, command: list[str], env: dict[str, str] | None = None
    ) -> Child:
        """Start a command; its output goes to `<folder>/<name>.log`."""
        log = self.folder / f"{name}.log"
        # An earlier run in the same folder must not be taken for this one.
        log.unlink(missing_ok=True)
        full_env = os.environ | {"PYTHONUNBUFFERED": "1"} | (env or {})
        popen = self._open(command, full_env, log)
        child = Child(name, command, full_env, log, popen)
        self.children[name] = child
        return child

    def restart(self, name: str) -> Child:
        """Kill a process if it still runs and start its command again."""
        child = self.children[name]
        if child.popen.poll() is None:
            self.kill(name)
        child.popen = self._open(child.command, child.env, child.log)
        return child

    def kill(self, name: str) -> None:
        """End a process without notice and wait until it is gone."""
        popen = self.children[name].popen
        popen.kill()
        popen.wait()

    def freeze(self, name: str) -> None:
        """Pause a process."""
        self.children[name].popen.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        self.children[name].popen.send_signal(signal.SIGCONT)

    def terminate(self, name: str, timeout_s: float) -> int | None:
        """Ask a process to end; return its exit code, None if it stays."""
        popen = self.children[name].popen
        popen.terminate()
        try:
            return popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def is_running(self, name: str) -> bool:
        """Return whether the process has not ended."""
        return self.children[name].popen.poll() is None

    def get_pid(self, name: str) -> int:
        """Return the process id."""
        return self.children[name].popen.pid

    def read_tail(self, name: str, size: int = 2000) -> str:
        """Return the last characters that the process has written."""
        return self.children[name].log.read_text(errors="replace")[-size:]

    def stop_all(self) -> None:
        """End every process of the group, the last started first."""
        running = [
            child.popen
            for child in reversed(self.children.values())
            if child.popen.poll() is None
        ]
        for popen in running:
            popen.send_signal(signal.SIGCONT)
            popen.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for popen in running:
            _wait_or_kill(popen, deadline_s - time.monotonic())

    def _open(
        self, command: list[str], env: dict[str, str], log: pathlib.Path
    ) -> subprocess.Popen:
        with log.open("ab") as output:
            return subprocess.Popen(
                command,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
                preexec_fn=parents.end_with_parent,
            )


def _wait_or_kill(popen: subprocess.Popen, timeout_s: float) -> None:
    try:
        popen.wait(max(0.0, timeout_s))
    except subprocess.TimeoutExpired:
        popen.kill()
        popen.wait()


@contextlib.contextmanager
def open_group(folder: pathlib.Path) -> Iterator[Group]:
    """Give a group that is stopped at the end, on errors and on signals."""
    group = Group(folder)
    before = {
        number: signal.signal(number, _exit)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }
    try:
        yield group
    finally:
        group.stop_all()
        for number, handler in before.items():
            signal.signal(number, handler)


def _exit(number: int, frame: object) -> None:
    del frame
    raise SystemExit(128 + number)
