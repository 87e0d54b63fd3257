"""Runners of jobs: `EmulatedRunner` uses timers only, `RealRunner` runs the script as a child process.

`start` takes two callbacks: `on_started` is called once the job runs, `on_ended` with an exit status (256 +
the signal's number if a signal ended it) and a reason of `pbs.names`.
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
KILL_DELAY_NS = 2 * S  # from SIGTERM to SIGKILL
SIGNAL_BASE = 256  # the exit status of a job that a signal ended is this plus the signal's number


@dataclass(slots=True)
class JobSpec:
    """What a runner has to know of a job."""

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
    keep: str = "n"  # which of output (o) and error (e) go to the home directory of the agent's user
    umask: int = -1
    node: str = ""
    mpiprocs: int = 0
    ompthreads: int = 0


class Runner(Protocol):
    """Runs jobs.  Methods that take a job return False if it does not run here."""

    def start(
        self,
        spec: JobSpec,
        duration_factor: float,
        on_started: Callable[[], None],
        on_ended: Callable[[int, str], None],
    ) -> None:
        """Start a job.  An emulated start takes `duration_factor` times the usual time."""
        ...

    def signal(self, job: str, number: int) -> bool:
        """Send a signal to a job."""
        ...

    def stop(self, job: str, reason: str) -> bool:
        """End a job; `on_ended` is called with this reason."""
        ...

    def write_message(self, job: str, text: str, to_error: bool) -> bool:
        """Append a line to the output or the error file of a job."""
        ...

    def kill_all(self) -> None:
        """Kill all jobs without calling `on_ended`."""
        ...


@dataclass(frozen=True, slots=True)
class EmulatedSettings:
    """Durations of emulated jobs: a warm start, the factor of a cold one, and the range of run times."""

    warm_ns: int = 60_000_000
    cold_times: float = 9.0
    life_ns: tuple[int, int] = (5 * S, 20 * S)


class EmulatedRunner:
    """Emulates jobs by timers, with durations from a seeded random generator.

    A job may set its run time by `-v EMULATE_LIFE=seconds` and its exit status by `EMULATE_EXIT`."""

    def __init__(self, loop: Loop, settings: EmulatedSettings, seed: int) -> None:
        self._loop, self.settings, self._random = loop, settings, random.Random(seed)
        self._timers: dict[str, Timer] = {}
        self._end_callbacks: dict[str, Callable[[int, str], None]] = {}

    def start(
        self,
        spec: JobSpec,
        duration_factor: float,
        on_started: Callable[[], None],
        on_ended: Callable[[int, str], None],
    ) -> None:
        span = self.settings.warm_ns * duration_factor * self._random.uniform(0.85, 1.15)
        self._end_callbacks[spec.job] = on_ended
        self._timers[spec.job] = self._loop.call_later(round(span), self._run, spec, on_started)

    def _run(self, spec: JobSpec, on_started: Callable[[], None]) -> None:
        try:
            life = round(float(spec.variables["EMULATE_LIFE"]) * S)
        except (KeyError, ValueError):
            life = self._random.randint(*self.settings.life_ns)
        status, reason = int(spec.variables.get("EMULATE_EXIT", "0") or 0), n.END_DONE
        if spec.walltime_s and life > spec.walltime_s * S:
            life, status, reason = spec.walltime_s * S, SIGNAL_BASE + signal.SIGTERM, n.END_KILLED
        self._timers[spec.job] = self._loop.call_later(life, self._end, spec.job, status, reason)
        on_started()

    def _end(self, job: str, status: int, reason: str) -> None:
        timer, on_ended = self._timers.pop(job, None), self._end_callbacks.pop(job, None)
        if timer is not None and on_ended is not None:
            timer.cancel()
            on_ended(status, reason)

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

    def write_message(self, job: str, text: str, to_error: bool) -> bool:
        return job in self._timers

    def kill_all(self) -> None:
        """Cancel all timers, as if the machine was lost: no end is reported."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        self._end_callbacks.clear()


class _Child:
    """A job that runs as a child process, with its folder in the spool."""

    def __init__(self, spec: JobSpec, on_ended: Callable[[int, str], None], folder: Path) -> None:
        self.spec, self.on_ended, self.folder = spec, on_ended, folder
        self.process: subprocess.Popen[bytes] | None = None
        self.reason = ""
        self.timers: list[Timer] = []
        self.cookie = f"{spec.job}/{spec.run}/{os.urandom(6).hex()}"


class RealRunner:
    """Runs each script as a child process in its own session, as the agent's user."""

    def __init__(self, loop: Loop, spool: Path) -> None:
        self._loop, self._spool = loop, spool
        self._children: dict[str, _Child] = {}

    def start(
        self,
        spec: JobSpec,
        duration_factor: float,
        on_started: Callable[[], None],
        on_ended: Callable[[int, str], None],
    ) -> None:
        folder = Path(tempfile.mkdtemp(prefix="job-", dir=self._spool))
        child = _Child(spec, on_ended, folder)
        script = folder / "script"
        script.write_bytes(spec.script)
        script.chmod(0o700)
        # One line for each process that may be started on the node, as `mpiexec` reads it.
        nodefile = folder / "nodes"
        nodefile.write_text(f"{spec.node}\n" * max(1, spec.mpiprocs))
        workdir = spec.variables.get("PBS_O_WORKDIR", "")
        workdir = workdir if os.path.isdir(workdir) else str(folder)
        environment = dict(os.environ) | spec.variables | {
            "PBS_JOBID": spec.job, "PBS_JOBNAME": spec.name, "PBS_QUEUE": spec.queue,
            "PBS_ENVIRONMENT": "PBS_BATCH", "PBS_JOBDIR": str(folder), "PBS_JOBCOOKIE": child.cookie,
            "NCPUS": f"{spec.cores:g}", "PBS_NODEFILE": str(nodefile),
            "OMP_NUM_THREADS": str(spec.ompthreads or max(1, int(spec.cores))),
        }  # fmt: skip
        try:
            with contextlib.ExitStack() as stack:
                out, error = self._open_outputs(spec, workdir, stack)
                child.process = self._loop.spawn(
                    [spec.shell or "/bin/sh", str(script)],
                    lambda status: self._on_exit(child, status),
                    stdin=subprocess.DEVNULL, stdout=out, stderr=error, cwd=workdir, env=environment,
                    start_new_session=True, umask=spec.umask,
                )  # fmt: skip
        except OSError as fault:
            self._delete_files(child)
            self._loop.call_soon(on_ended, n.JOB_EXEC_RETRY, f"could not start: {fault.strerror}")
            return
        self._children[spec.job] = child
        if spec.walltime_s:
            child.timers.append(self._loop.call_later(spec.walltime_s * S, self.stop, spec.job, n.END_KILLED))
        on_started()

    def _open_outputs(
        self, spec: JobSpec, workdir: str, stack: contextlib.ExitStack
    ) -> tuple[IO[bytes], IO[bytes]]:
        number = spec.job.split(".")[0]
        paths = []
        for requested, letter in ((spec.output, "o"), (spec.error, "e")):
            path = requested.split(":", 1)[-1] if ":" in requested.split("/")[0] else requested
            if letter in spec.keep:
                path = os.path.expanduser(f"~/{spec.name}.{letter}{number}")
            path = (
                os.path.join(workdir, path)
                if path
                else os.path.join(workdir, f"{spec.name}.{letter}{number}")
            )
            paths.append(os.path.join(path, f"{number}.{letter.upper()}U") if os.path.isdir(path) else path)
        if spec.join in ("oe", "eo"):
            path = paths[0] if spec.join == "oe" else paths[1]
            both: IO[bytes] = stack.enter_context(open(path, "ab"))  # noqa: SIM115
            return both, both
        out, error = (stack.enter_context(open(path, "ab")) for path in paths)  # noqa: SIM115
        return out, error

    def _on_exit(self, child: _Child, status: int) -> None:
        # Also end the processes that the script left in the background.
        self._send_signal(child, signal.SIGKILL)
        for timer in child.timers:
            timer.cancel()
        self._delete_files(child)
        if self._children.pop(child.spec.job, None) is not None:
            child.on_ended(SIGNAL_BASE - status if status < 0 else status, child.reason or n.END_DONE)

    def _delete_files(self, child: _Child) -> None:
        with contextlib.suppress(OSError):
            (child.folder / "script").unlink()
            (child.folder / "nodes").unlink()
            child.folder.rmdir()

    def _send_signal(self, child: _Child, number: int) -> None:
        """Signal the job's process group; SIGKILL also goes to processes that left it but have its cookie."""
        if child.process is not None:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(child.process.pid, number)
        if number != signal.SIGKILL:
            return
        cookie_entry = f"PBS_JOBCOOKIE={child.cookie}".encode()
        for entry in os.listdir("/proc"):
            if entry.isdigit() and int(entry) != os.getpid():
                with contextlib.suppress(OSError):
                    if cookie_entry in Path("/proc", entry, "environ").read_bytes().split(b"\0"):
                        os.kill(int(entry), number)

    def signal(self, job: str, number: int) -> bool:
        child = self._children.get(job)
        if child is None:
            return False
        self._send_signal(child, number)
        return True

    def stop(self, job: str, reason: str) -> bool:
        child = self._children.get(job)
        if child is None:
            return False
        if not child.reason:
            child.reason = reason
            self._send_signal(child, signal.SIGTERM)
            child.timers.append(
                self._loop.call_later(KILL_DELAY_NS, self._send_signal, child, signal.SIGKILL)
            )
        return True

    def write_message(self, job: str, text: str, to_error: bool) -> bool:
        child = self._children.get(job)
        if child is None:
            return False
        spec = child.spec
        workdir = spec.variables.get("PBS_O_WORKDIR", str(child.folder))
        with contextlib.ExitStack() as stack:
            out, error = self._open_outputs(spec, workdir, stack)
            (error if to_error else out).write(text.encode() + b"\n")
        return True

    def kill_all(self) -> None:
        for child in self._children.values():
            self._send_signal(child, signal.SIGKILL)
        self._children.clear()
