"""Submits jobs at a given rate, in a separate process so that it does not delay the measured ones.

`python -m ladderhub.lab.scale.load PLAN OUT` submits in an open loop until SIGTERM or the end of its standard
input, each job over its own connection as `qsub` does, and then writes a `LoadResult` to OUT.  Lifetimes of
jobs are drawn from an exponential distribution, so that the number of running jobs is constant on average
once the initial fill is over.
"""

from __future__ import annotations

import math
import os
import random
import signal
import sys
import time
from pathlib import Path

import msgspec

from ladderhub.lab.client import Submission, build_job_attributes
from ladderhub.loop import Loop
from ladderhub.loop.core import READ

S = 1_000_000_000
STOP_TIMEOUT_S = 5
SCRIPT = b"#!/bin/sh\nexec true\n"


class ClassPlan(msgspec.Struct):
    """The jobs of one class."""

    name: str
    share: float
    services: int
    cores: list[float]
    memory_gib: float


class LoadPlan(msgspec.Struct):
    """The jobs that one process submits.  During the first `fill_s` the rate is `fill_times` as high."""

    targets: list[tuple[str, int]]
    rate: float
    fill_s: float
    fill_times: float
    life_s: float
    life_least_s: float
    classes: list[ClassPlan]
    teams: list[str]
    seed: int


class SentJob(msgspec.Struct, array_like=True):
    """One acknowledged job, with times of the machine's monotonic clock."""

    klass: str
    due_ns: int
    acknowledged_ns: int


class LoadResult(msgspec.Struct):
    """The result of a load process.

    `jobs` are the acknowledged jobs by identifier.  `unsubmitted` has the class and due time of the others,
    `said` the number of each of the server's answers to them."""

    jobs: dict[str, SentJob] = {}
    unsubmitted: list[tuple[str, int]] = []
    said: dict[str, int] = {}


def compute_fill_factor(fill_s: float, life_s: float) -> float:
    """Return the factor of the rate during the fill after which as many jobs run as in the steady state."""
    return 1.0 / -math.expm1(-fill_s / life_s)


class Generator:
    """Submits jobs until it is stopped."""

    def __init__(self, loop: Loop, plan: LoadPlan) -> None:
        self._loop, self._plan = loop, plan
        self._rng = random.Random(plan.seed)
        self._started_ns = time.monotonic_ns()
        self._pending = 0
        self._stopped = False
        self._shares = [each.share for each in plan.classes]
        self.result = LoadResult()

    def start(self) -> None:
        """Schedule the first submission."""
        self._schedule(self._started_ns)

    def stop(self) -> None:
        """Stop submitting; the loop ends once all submissions are answered, or after `STOP_TIMEOUT_S`."""
        if self._stopped:
            return
        self._stopped = True
        self._loop.call_later(STOP_TIMEOUT_S * S, self._loop.stop)
        self._stop_if_idle()

    def _stop_if_idle(self) -> None:
        if self._stopped and not self._pending:
            self._loop.stop()

    def _schedule(self, previous_due_ns: int) -> None:
        """Schedule the next submission relative to the previous due time: delays must not lower the rate."""
        is_filling = previous_due_ns - self._started_ns < self._plan.fill_s * S
        rate = self._plan.rate * (self._plan.fill_times if is_filling else 1.0)
        due_ns = previous_due_ns + round(S / rate * self._rng.expovariate(1.0))
        self._loop.call_later(max(0, due_ns - time.monotonic_ns()), self._submit, due_ns)

    def _submit(self, due_ns: int) -> None:
        if self._stopped:
            return
        self._schedule(due_ns)
        plan, rng = self._plan, self._rng
        klass = rng.choices(plan.classes, self._shares)[0]
        service = f"{klass.name}-{rng.randrange(klass.services)}"
        life_s = max(plan.life_least_s, rng.expovariate(1.0 / plan.life_s))
        cores, team = rng.choice(klass.cores), rng.choice(plan.teams)
        attrs = build_job_attributes("job", service, cores, klass.memory_gib, life_s, team)
        target = rng.choice(plan.targets)
        self._pending += 1

        def on_answered(job: str, answer: str) -> None:
            self._pending -= 1
            if job:
                self.result.jobs[job] = SentJob(klass.name, due_ns, time.monotonic_ns())
            else:
                self.result.unsubmitted.append((klass.name, due_ns))
                self.result.said[answer] = self.result.said.get(answer, 0) + 1
            self._stop_if_idle()

        Submission(self._loop, target, klass.name, attrs, SCRIPT, on_answered)


def main() -> None:
    """Submit jobs until SIGTERM or the end of the standard input."""
    plan: LoadPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LoadPlan)
    loop = Loop(trouble=lambda where, error: print(f"{where}: {error!r}", file=sys.stderr, flush=True))
    generator = Generator(loop, plan)
    loop.on_signal(signal.SIGTERM, generator.stop)
    loop.on_signal(signal.SIGINT, generator.stop)

    def on_input(_: int) -> None:
        if not os.read(sys.stdin.fileno(), 4096):
            loop.watch(sys.stdin.fileno(), 0, on_input)
            generator.stop()

    loop.watch(sys.stdin.fileno(), READ, on_input)
    generator.start()
    loop.run()
    Path(sys.argv[2]).write_bytes(msgspec.json.encode(generator.result))


if __name__ == "__main__":
    main()
