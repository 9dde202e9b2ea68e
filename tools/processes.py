"""Starts Python modules as processes and makes sure that they are stopped."""

from __future__ import annotations

import atexit
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import typing
import urllib.error
import urllib.request
from collections import abc

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_POLL_S = 0.02
_STOP_TIMEOUT_S = 5.0
_LOG_TAIL_BYTES = 4000


class NotReady(Exception):
    """Raised when a process exits early or does not become ready in time."""


class Process:
    """A Python module that runs as a separate process.

    :param module: for example ``standins.engine``
    :param arguments: command-line arguments of the module
    :param log_path: file for standard output and standard error
    """

    def __init__(
        self, module: str, arguments: abc.Sequence[str], log_path: pathlib.Path
    ) -> None:
        self.module = module
        self.arguments = list(arguments)
        self.log_path = log_path
        self._popen: subprocess.Popen[bytes] | None = None
        self._is_paused = False
        self._log_start = 0

    @property
    def pid(self) -> int:
        """Process ID of the current or last run."""
        if self._popen is None:
            raise NotReady(f"{self.module} was never started")
        return self._popen.pid

    @property
    def status(self) -> int | None:
        """Exit status; ``None`` while the process runs."""
        return None if self._popen is None else self._popen.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process is running or paused."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process and append to its log."""
        # This tree takes precedence over an installed copy of another tree.
        path = os.pathsep.join((str(_ROOT / "src"), str(_ROOT)))
        environment = {**os.environ, "PYTHONUNBUFFERED": "1", "PYTHONPATH": path}
        with self.log_path.open("ab") as log:
            self._log_start = log.tell()
            self._popen = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=_ROOT,
                env=environment,
            )
        self._is_paused = False

    def wait_for_line(self, text: str, timeout_s: float = 10.0) -> None:
        """Wait until the log of this run has a line that starts with a text.

        :raises NotReady: when the process exits or the line is not written in time
        """

        def has_line() -> bool:
            data = self.log_path.read_bytes()[self._log_start :]
            lines = data.decode("utf-8", "replace").splitlines()
            return any(line.startswith(text) for line in lines)

        self._wait(has_line, f"no line {text!r}", timeout_s)

    def wait_for_url(self, url: str, timeout_s: float = 15.0) -> None:
        """Wait until a URL returns status 200.

        :raises NotReady: when the process exits or the URL does not do so in time
        """
        self._wait(lambda: answers_ok(url), f"{url} not ready", timeout_s)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self._popen is not None:
            self._popen.kill()
            self._popen.wait()

    def terminate(self) -> None:
        """Send SIGTERM to the process without waiting for it to exit."""
        if self._popen is not None:
            self._popen.terminate()

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its status.

        :raises subprocess.TimeoutExpired: when it does not exit in time
        """
        if self._popen is None:
            raise NotReady(f"{self.module} was never started")
        return self._popen.wait(timeout_s)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)
        self._is_paused = True

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)
        self._is_paused = False

    def end(self) -> None:
        """Stop the process with SIGTERM, and with SIGKILL after a timeout."""
        if self._popen is None or self._popen.poll() is not None:
            return
        if self._is_paused:
            self.resume()
        self._popen.terminate()
        try:
            self._popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def read_log(self) -> str:
        """Return the end of the log."""
        data = self.log_path.read_bytes() if self.log_path.exists() else b""
        return data[-_LOG_TAIL_BYTES:].decode("utf-8", "replace")

    def _wait(
        self, is_done: abc.Callable[[], bool], problem: str, limit_s: float
    ) -> None:
        deadline_s = time.monotonic() + limit_s
        while not is_done():
            if not self.is_running:
                problem = f"ended with status {self.status}"
                break
            if time.monotonic() > deadline_s:
                problem = f"{problem} within {limit_s} s"
                break
            time.sleep(_POLL_S)
        else:
            return
        raise NotReady(f"{self.module}: {problem}; end of its log:\n{self.read_log()}")


class Processes:
    """All processes of a test, demo or measurement; :meth:`close` stops them.

    :param folder: for logs and files; a temporary folder when ``None``
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory(prefix="endivevane-")
            folder = pathlib.Path(self._temporary.name)
        self.folder = folder
        self._processes: list[Process] = []
        # Stops the processes of a run that is interrupted before its own clean-up.
        atexit.register(self.close)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self.close()

    def start(self, module: str, arguments: abc.Sequence[str], name: str) -> Process:
        """Start a module; its log is ``NAME.log`` in the folder."""
        process = Process(module, arguments, self.folder / f"{name}.log")
        self._processes.append(process)
        process.start()
        return process

    def keep_logs(self, name: str) -> pathlib.Path:
        """Copy the logs to a new folder under ``build``, and return it.

        :param name: start of the name of the folder
        """
        parent = _ROOT / "build" / "kept-logs"
        parent.mkdir(parents=True, exist_ok=True)
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"{name}-", dir=parent))
        for path in self.folder.glob("*.log"):
            shutil.copy(path, folder)
        return folder

    def close(self) -> None:
        """Stop all processes in reverse order of their start, and remove the folder."""
        atexit.unregister(self.close)
        running = [item for item in reversed(self._processes) if item.is_running]
        for process in running:
            if process._is_paused:
                process.resume()
            process.terminate()
        for process in running:
            process.end()
        self._processes.clear()
        if self._temporary is not None:
            self._temporary.cleanup()


def answers_ok(url: str, timeout_s: float = 1.0) -> bool:
    """Return whether a URL returns status 200."""
    try:
        with urllib.request.urlopen(url, timeout=timeout_s) as response:
            return bool(response.status == 200)
    except (urllib.error.URLError, OSError):
        return False
