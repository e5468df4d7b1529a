"""Child processes of a run, addressed by name and signalled by process id."""

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
    """A child process, with its command and environment for a restart."""

    name: str
    command: list[str]
    env: dict[str, str]
    log: pathlib.Path
    popen: subprocess.Popen


class Group:
    """The child processes of a run. It never stops any other process."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.children: dict[str, Child] = {}

    def start(
        self, name: str, command: list[str], env: dict[str, str] | None = None
    ) -> Child:
        """Start a command; its output goes to `<folder>/<name>.log`."""
        log = self.folder / f"{name}.log"
        # Otherwise the output of an earlier run in the same folder would be
        # read as that of this process.
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
        """Send SIGKILL to a process and wait until it has exited."""
        popen = self.children[name].popen
        popen.kill()
        popen.wait()

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.children[name].popen.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        self.children[name].popen.send_signal(signal.SIGCONT)

    def terminate(self, name: str, timeout_s: float) -> int | None:
        """Send SIGTERM; return the exit code, None if it is still running."""
        popen = self.children[name].popen
        popen.terminate()
        try:
            return popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def is_running(self, name: str) -> bool:
        """Return whether a process has not exited."""
        return self.children[name].popen.poll() is None

    def get_pid(self, name: str) -> int:
        """Return the id of a process."""
        return self.children[name].popen.pid

    def read_tail(self, name: str, size: int = 2000) -> str:
        """Return the last characters of a process's log."""
        return self.children[name].log.read_text(errors="replace")[-size:]

    def stop_all(self) -> None:
        """Stop all processes of the group, the last started first.

        Paused processes are resumed, as they can't handle SIGTERM. A process
        that still runs after STOP_TIMEOUT_S is killed.
        """
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
    """Provide a group that is stopped on exit, also on errors and signals."""
    group = Group(folder)
    previous_handlers = {
        number: signal.signal(number, _raise_system_exit)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }
    try:
        yield group
    finally:
        group.stop_all()
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


def _raise_system_exit(number: int, frame: object) -> None:
    del frame
    raise SystemExit(128 + number)
