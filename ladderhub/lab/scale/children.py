"""The processes of a scale run: started, counted against the run's bounds, and ended by their ids."""

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
from ladderhub.lab.scale.measure import memory_bytes
from ladderhub.lab.scale.plan import ScaleError

END_S = 10.0
_GIB = 1 << 30


def raise_descriptor_limit() -> None:
    """Let this process, and those it starts, open as many descriptors as the system allows them."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


@dataclass(slots=True)
class Child:
    """One process of the run and what it writes.  A `brief` one ends by itself."""

    name: str
    role: str
    process: subprocess.Popen[bytes]
    log: Path
    brief: bool = False

    @property
    def pid(self) -> int:
        return self.process.pid

    def alive(self) -> bool:
        return self.process.poll() is None

    def tell(self, line: str) -> None:
        """Write one command to the process's standard input; nothing where it has ended."""
        if self.process.stdin is not None:
            with contextlib.suppress(BrokenPipeError):
                self.process.stdin.write(line.encode() + b"\n")
                self.process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        if self.alive():
            self.process.send_signal(number)

    def wait(self, seconds: float) -> bool:
        """Whether the process ended within so long."""
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True


class Children:
    """All processes of one run.  `close` ends them, whatever happened before."""

    def __init__(
        self, folder: Path, processes_most: int, memory_gib_most: float, seconds_most: float
    ) -> None:
        self._folder = folder
        self._seconds_most, self._began_s = seconds_most, time.monotonic()
        self._processes_most, self._memory_most = processes_most, memory_gib_most * _GIB
        self.members: list[Child] = []
        self.most_processes = self.most_memory_bytes = 0
        self._guard = subprocess.Popen(
            build_module_command("ladderhub.lab.scale.guard"), stdin=subprocess.PIPE
        )

    def start(self, name: str, role: str, argv: Sequence[str], brief: bool = False) -> Child:
        """Start a process whose output goes to a log of its own; `ScaleError` where that is one too many."""
        running = sum(child.alive() for child in self.members) + 2  # this process and the guard too
        if running > self._processes_most:
            raise ScaleError(
                f"{running} processes run", where=name, expected=f"at most {self._processes_most}"
            )
        path = self._folder / f"{name}.log"
        with open(path, "ab") as log:
            process = subprocess.Popen(list(argv), stdin=subprocess.PIPE, stdout=log, stderr=log)
        child = Child(name, role, process, path, brief)
        self.members.append(child)
        self.most_processes = max(self.most_processes, running + 1)
        assert self._guard.stdin is not None
        self._guard.stdin.write(f"{process.pid}\n".encode())
        self._guard.stdin.flush()
        return child

    def of(self, role: str) -> list[Child]:
        return [child for child in self.members if child.role == role]

    def check(self) -> None:
        """`ScaleError` where a process has ended on its own, or all together take more than they may."""
        if time.monotonic() - self._began_s > self._seconds_most:
            raise ScaleError(
                "the run takes too long", where=str(self._folder), expected=f"{self._seconds_most:g} s"
            )
        total = memory_bytes(os.getpid()) + memory_bytes(self._guard.pid)
        for child in self.members:
            if not child.alive() and not child.brief:
                status = child.process.returncode
                raise ScaleError(f"ended by itself with status {status}", where=str(child.log))
            total += memory_bytes(child.pid)
        self.most_memory_bytes = max(self.most_memory_bytes, total)
        if total > self._memory_most:
            held = f"{total / _GIB:.1f} GiB are held"
            raise ScaleError(
                held, where=str(self._folder), expected=f"{self._memory_most / _GIB:.0f} GiB at most"
            )

    def pause(self, seconds: float) -> None:
        """Wait, looking at the bounds each second."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            time.sleep(min(1.0, left))
            self.check()

    def end(self, children: Sequence[Child], seconds: float = END_S) -> None:
        """Ask these processes to end and wait for it; kill those that do not."""
        for child in children:
            child.signal(signal.SIGTERM)
        until = time.monotonic() + seconds
        for child in children:
            if not child.wait(max(0.0, until - time.monotonic())):
                child.signal(signal.SIGKILL)
                child.wait(END_S)
            if child.process.stdin is not None:
                child.process.stdin.close()
            self.members.remove(child)

    def close(self) -> None:
        """End all that still run, and the guard."""
        try:
            self.end(list(self.members))
        finally:
            assert self._guard.stdin is not None
            self._guard.stdin.close()
            self._guard.wait()
