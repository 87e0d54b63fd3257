"""Two runners behind one interface: emulated work, and the script as a child process.

A runner is told `start` and answers by calls: `started` once the work runs, `ended` with an exit status
(256 + signal where a signal ended it) and a reason of `pbs.names`.
"""

from __future__ import annotations

import contextlib
import os
import random
import signal
import subprocess
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Protocol

from ladderhub.loop import Loop, Timer
from ladderhub.pbs import names as n

S = 1_000_000_000
KILL_DELAY_NS = 2 * S
SIGNAL_BASE = 256


@dataclass(slots=True)
class Work:
    """A job as a runner sees it."""

    job: str
    run: int
    name: str
    queue: str
    owner: str
    script: bytes
    cores: float
    memory_gib: float
    walltime_s: int = 0
    variables: dict[str, str] = field(default_factory=dict)
    output: str = ""
    error: str = ""
    join: str = "n"
    shell: str = ""
    keep: str = "n"  # which of output (o) and error (e) stay in the home folder of the agent's user
    umask: int = -1
    node: str = ""
    mpiprocs: int = 0
    ompthreads: int = 0


class Runner(Protocol):
    def start(
        self, work: Work, slowness: float, started: Callable[[], None], ended: Callable[[int, str], None]
    ) -> None: ...

    def signal(self, job: str, number: int) -> bool: ...

    def stop(self, job: str, reason: str) -> bool: ...

    def message(self, job: str, text: str, to_error: bool) -> bool: ...

    def abandon(self) -> None: ...


@dataclass(frozen=True, slots=True)
class EmulatedSettings:
    """Times of emulated work: a warm start's, a cold one's multiple, and the range of lives."""

    warm_ns: int = 60_000_000
    cold_times: float = 9.0
    life_ns: tuple[int, int] = (5 * S, 20 * S)


class EmulatedRunner:
    """Work that is only timers, drawn from a seeded generator.

    A job says by `-v EMULATE_LIFE=seconds` how long it lives and by `EMULATE_EXIT` how it exits."""

    def __init__(self, loop: Loop, settings: EmulatedSettings, seed: int) -> None:
        self._loop, self.settings, self._random = loop, settings, random.Random(seed)
        self._timers: dict[str, Timer] = {}
        self._ends: dict[str, Callable[[int, str], None]] = {}

    def start(
        self, work: Work, slowness: float, started: Callable[[], None], ended: Callable[[int, str], None]
    ) -> None:
        span = self.settings.warm_ns * slowness * self._random.uniform(0.85, 1.15)
        self._ends[work.job] = ended
        self._timers[work.job] = self._loop.call_later(round(span), self._runs, work, started)

    def _runs(self, work: Work, started: Callable[[], None]) -> None:
        try:
            life = round(float(work.variables["EMULATE_LIFE"]) * S)
        except (KeyError, ValueError):
            life = self._random.randint(*self.settings.life_ns)
        status, reason = int(work.variables.get("EMULATE_EXIT", "0") or 0), n.END_DONE
        if work.walltime_s and life > work.walltime_s * S:
            life, status, reason = work.walltime_s * S, SIGNAL_BASE + signal.SIGTERM, n.END_KILLED
        self._timers[work.job] = self._loop.call_later(life, self._end, work.job, status, reason)
        started()

    def _end(self, job: str, status: int, reason: str) -> None:
        timer, ended = self._timers.pop(job, None), self._ends.pop(job, None)
        if timer is not None and ended is not None:
            timer.cancel()
            ended(status, reason)

    def signal(self, job: str, number: int) -> bool:
        if job not in self._timers:
            return False
        if number in (signal.SIGTERM, signal.SIGKILL, signal.SIGINT):
            self._loop.call_soon(self._end, job, SIGNAL_BASE + number, n.END_DONE)
        return True

    def stop(self, job: str, reason: str) -> bool:
        if job not in self._timers:
            return False
        self._loop.call_soon(self._end, job, SIGNAL_BASE + signal.SIGTERM, reason)
        return True

    def message(self, job: str, text: str, to_error: bool) -> bool:
        return job in self._timers

    def abandon(self) -> None:
        """The machine is gone: nothing ends, nothing is told."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        self._ends.clear()


class _Child:
    def __init__(self, work: Work, ended: Callable[[int, str], None], folder: Path) -> None:
        self.work, self.ended, self.folder = work, ended, folder
        self.process: subprocess.Popen[bytes] | None = None
        self.reason = ""
        self.timers: list[Timer] = []
        self.cookie = f"{work.job}/{work.run}/{os.urandom(6).hex()}"


class RealRunner:
    """The script as a child in a session of its own, under the agent's own user."""

    def __init__(self, loop: Loop, spool: Path) -> None:
        self._loop, self._spool = loop, spool
        self._children: dict[str, _Child] = {}

    def start(
        self, work: Work, slowness: float, started: Callable[[], None], ended: Callable[[int, str], None]
    ) -> None:
        folder = Path(tempfile.mkdtemp(prefix="job-", dir=self._spool))
        child = _Child(work, ended, folder)
        script = folder / "script"
        script.write_bytes(work.script)
        script.chmod(0o700)
        # One line for each process that may be started there, as `mpiexec` reads it.
        nodefile = folder / "nodes"
        nodefile.write_text(f"{work.node}\n" * max(1, work.mpiprocs))
        home = work.variables.get("PBS_O_WORKDIR", "")
        home = home if os.path.isdir(home) else str(folder)
        environment = dict(os.environ) | work.variables | {
            "PBS_JOBID": work.job, "PBS_JOBNAME": work.name, "PBS_QUEUE": work.queue,
            "PBS_ENVIRONMENT": "PBS_BATCH", "PBS_JOBDIR": str(folder), "PBS_JOBCOOKIE": child.cookie,
            "NCPUS": f"{work.cores:g}", "PBS_NODEFILE": str(nodefile),
            "OMP_NUM_THREADS": str(work.ompthreads or max(1, int(work.cores))),
        }  # fmt: skip
        try:
            with contextlib.ExitStack() as stack:
                out, error = self._outputs(work, home, stack)
                child.process = self._loop.spawn(
                    [work.shell or "/bin/sh", str(script)],
                    lambda status: self._ended(child, status),
                    stdin=subprocess.DEVNULL, stdout=out, stderr=error, cwd=home, env=environment,
                    start_new_session=True, umask=work.umask,
                )  # fmt: skip
        except OSError as fault:
            self._forget(child)
            self._loop.call_soon(ended, n.JOB_EXEC_RETRY, f"could not start: {fault.strerror}")
            return
        self._children[work.job] = child
        if work.walltime_s:
            child.timers.append(self._loop.call_later(work.walltime_s * S, self.stop, work.job, n.END_KILLED))
        started()

    def _outputs(self, work: Work, home: str, stack: contextlib.ExitStack) -> tuple[IO[bytes], IO[bytes]]:
        number = work.job.split(".")[0]
        paths = []
        for wanted, letter in ((work.output, "o"), (work.error, "e")):
            path = wanted.split(":", 1)[-1] if ":" in wanted.split("/")[0] else wanted
            if letter in work.keep:
                path = os.path.expanduser(f"~/{work.name}.{letter}{number}")
            path = os.path.join(home, path) if path else os.path.join(home, f"{work.name}.{letter}{number}")
            paths.append(os.path.join(path, f"{number}.{letter.upper()}U") if os.path.isdir(path) else path)
        if work.join in ("oe", "eo"):
            path = paths[0] if work.join == "oe" else paths[1]
            both: IO[bytes] = stack.enter_context(open(path, "ab"))  # noqa: SIM115
            return both, both
        out, error = (stack.enter_context(open(path, "ab")) for path in paths)  # noqa: SIM115
        return out, error

    def _ended(self, child: _Child, status: int) -> None:
        # What the script left in the background goes with it.
        self._kill(child, signal.SIGKILL)
        for timer in child.timers:
            timer.cancel()
        self._forget(child)
        if self._children.pop(child.work.job, None) is not None:
            child.ended(SIGNAL_BASE - status if status < 0 else status, child.reason or n.END_DONE)

    def _forget(self, child: _Child) -> None:
        with contextlib.suppress(OSError):
            (child.folder / "script").unlink()
            (child.folder / "nodes").unlink()
            child.folder.rmdir()

    def _kill(self, child: _Child, number: int) -> None:
        """Signal the job's session, and what left it but still bears its mark."""
        if child.process is not None:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(child.process.pid, number)
        if number != signal.SIGKILL:
            return
        mark = f"PBS_JOBCOOKIE={child.cookie}".encode()
        for entry in os.listdir("/proc"):
            if entry.isdigit() and int(entry) != os.getpid():
                with contextlib.suppress(OSError):
                    if mark in Path("/proc", entry, "environ").read_bytes().split(b"\0"):
                        os.kill(int(entry), number)

    def signal(self, job: str, number: int) -> bool:
        child = self._children.get(job)
        if child is None:
            return False
        self._kill(child, number)
        return True

    def stop(self, job: str, reason: str) -> bool:
        child = self._children.get(job)
        if child is None:
            return False
        if not child.reason:
            child.reason = reason
            self._kill(child, signal.SIGTERM)
            child.timers.append(self._loop.call_later(KILL_DELAY_NS, self._kill, child, signal.SIGKILL))
        return True

    def message(self, job: str, text: str, to_error: bool) -> bool:
        child = self._children.get(job)
        if child is None:
            return False
        work = child.work
        home = work.variables.get("PBS_O_WORKDIR", str(child.folder))
        with contextlib.ExitStack() as stack:
            out, error = self._outputs(work, home, stack)
            (error if to_error else out).write(text.encode() + b"\n")
        return True

    def abandon(self) -> None:
        for child in self._children.values():
            self._kill(child, signal.SIGKILL)
        self._children.clear()
