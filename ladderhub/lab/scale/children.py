"""Starts and terminates the processes of a scale run, and checks them against the limits of the run."""

from __future__ import annotations

import contextlib
import os
import resource
import signal
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from ladderhub.lab.process import build_module_command
from ladderhub.lab.scale.measure import read_memory_bytes
from ladderhub.lab.scale.plan import ScaleError

TERMINATE_TIMEOUT_S = 10.0
_GIB = 1 << 30


def raise_descriptor_limit() -> None:
    """Raise the soft limit of open descriptors to the hard limit, for this process and those it starts."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


@dataclass(slots=True)
class Child:
    """One process of the run and its log.  A `short_lived` one may exit on its own during the run."""

    name: str
    role: str
    process: subprocess.Popen[bytes]
    log: Path
    short_lived: bool = False

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def is_alive(self) -> bool:
        """Return whether the process is still running."""
        return self.process.poll() is None

    def write_command(self, line: str) -> None:
        """Write one command to the process's standard input; do nothing if it has ended."""
        if self.process.stdin is not None:
            with contextlib.suppress(BrokenPipeError):
                self.process.stdin.write(line.encode() + b"\n")
                self.process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.is_alive():
            self.process.send_signal(number)

    def wait(self, seconds: float) -> bool:
        """Wait for the process to end and return whether it did so within `seconds`."""
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True


class Children:
    """All processes of one run.  `close` terminates them, also after an error."""

    def __init__(self, folder: Path, max_processes: int, max_memory_gib: float, max_seconds: float) -> None:
        self._folder = folder
        self._max_seconds, self._started_s = max_seconds, time.monotonic()
        self._max_processes, self._max_memory_bytes = max_processes, max_memory_gib * _GIB
        self.members: list[Child] = []
        self.peak_processes = self.peak_memory_bytes = 0
        self._guard = subprocess.Popen(
            build_module_command("ladderhub.lab.scale.guard"), stdin=subprocess.PIPE
        )

    def start(self, name: str, role: str, argv: Sequence[str], short_lived: bool = False) -> Child:
        """Start a process with its own log.  Raises `ScaleError` if there would be too many processes."""
        running = sum(child.is_alive() for child in self.members) + 2  # includes this process and the guard
        if running > self._max_processes:
            raise ScaleError(
                f"{running} processes are running", where=name, expected=f"at most {self._max_processes}"
            )
        path = self._folder / f"{name}.log"
        with open(path, "ab") as log:
            process = subprocess.Popen(list(argv), stdin=subprocess.PIPE, stdout=log, stderr=log)
        child = Child(name, role, process, path, short_lived)
        self.members.append(child)
        self.peak_processes = max(self.peak_processes, running + 1)
        assert self._guard.stdin is not None
        self._guard.stdin.write(f"{process.pid}\n".encode())
        self._guard.stdin.flush()
        return child

    def list_by_role(self, role: str) -> list[Child]:
        """Return the processes of one role."""
        return [child for child in self.members if child.role == role]

    def check_limits(self) -> None:
        """Raise `ScaleError` if a process ended unexpectedly, or the run exceeds its time or memory limit."""
        if time.monotonic() - self._started_s > self._max_seconds:
            raise ScaleError(
                "the run takes too long", where=str(self._folder), expected=f"{self._max_seconds:g} s"
            )
        total = read_memory_bytes(os.getpid()) + read_memory_bytes(self._guard.pid)
        for child in self.members:
            if not child.is_alive() and not child.short_lived:
                status = child.process.returncode
                raise ScaleError(f"process exited unexpectedly with status {status}", where=str(child.log))
            total += read_memory_bytes(child.pid)
        self.peak_memory_bytes = max(self.peak_memory_bytes, total)
        if total > self._max_memory_bytes:
            usage = f"the processes use {total / _GIB:.1f} GiB"
            raise ScaleError(
                usage, where=str(self._folder), expected=f"{self._max_memory_bytes / _GIB:.0f} GiB at most"
            )

    def sleep(self, seconds: float) -> None:
        """Sleep, checking the limits every second."""
        deadline = time.monotonic() + seconds
        while (remaining := deadline - time.monotonic()) > 0:
            time.sleep(min(1.0, remaining))
            self.check_limits()

    def terminate(self, children: Sequence[Child], seconds: float = TERMINATE_TIMEOUT_S) -> None:
        """Send SIGTERM to the processes and wait for them; kill those that do not exit in time."""
        for child in children:
            child.signal(signal.SIGTERM)
        deadline = time.monotonic() + seconds
        for child in children:
            if not child.wait(max(0.0, deadline - time.monotonic())):
                child.signal(signal.SIGKILL)
                child.wait(TERMINATE_TIMEOUT_S)
            if child.process.stdin is not None:
                child.process.stdin.close()
            self.members.remove(child)

    def close(self) -> None:
        """Terminate all remaining processes, and the guard."""
        try:
            self.terminate(list(self.members))
        finally:
            assert self._guard.stdin is not None
            self._guard.stdin.close()
            self._guard.wait()
