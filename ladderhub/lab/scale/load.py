"""Jobs submitted at a rate, in a process of its own, so that its work delays nobody that is measured.

`python -m ladderhub.lab.scale.load PLAN OUT` submits in an open loop until SIGTERM or the end of its standard
input, each job over a connection of its own as `qsub` does, and then writes `Sent` to OUT.  Lives of jobs are
drawn from an exponential distribution, so that as many run at any time after the filling as are wanted.
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
SETTLE_S = 5
SCRIPT = b"#!/bin/sh\nexec true\n"


class ClassPlan(msgspec.Struct):
    """Jobs of one class."""

    name: str
    share: float
    services: int
    cores: list[float]
    memory_gib: float


class LoadPlan(msgspec.Struct):
    """What one process submits.  During the first `fill_s` jobs come `fill_times` as often."""

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
    """One acknowledged job; moments of the machine's monotonic clock."""

    klass: str
    due_ns: int
    acknowledged_ns: int


class Sent(msgspec.Struct):
    """What was submitted: acknowledged jobs by their identifiers; when others were due, by class, and what
    the server said to those."""

    jobs: dict[str, SentJob] = {}
    unsubmitted: list[tuple[str, int]] = []
    said: dict[str, int] = {}


def fill_times(fill_s: float, life_s: float) -> float:
    """By how much more often jobs have to come during the filling, so that as many run after it as later."""
    return 1.0 / -math.expm1(-fill_s / life_s)


class Generator:
    """Submits until told to stop."""

    def __init__(self, loop: Loop, plan: LoadPlan) -> None:
        self._loop, self._plan = loop, plan
        self._chance = random.Random(plan.seed)
        self._began_ns = time.monotonic_ns()
        self._pending = 0
        self._stopped = False
        self._shares = [each.share for each in plan.classes]
        self.sent = Sent()

    def start(self) -> None:
        self._schedule(self._began_ns)

    def stop(self) -> None:
        """Submit nothing more; the loop ends when the last submission is answered, or soon after."""
        if self._stopped:
            return
        self._stopped = True
        self._loop.call_later(SETTLE_S * S, self._loop.stop)
        self._end_if_settled()

    def _end_if_settled(self) -> None:
        if self._stopped and not self._pending:
            self._loop.stop()

    def _schedule(self, before_ns: int) -> None:
        """The next moment follows from the planned one before, however late that one came."""
        filling = before_ns - self._began_ns < self._plan.fill_s * S
        rate = self._plan.rate * (self._plan.fill_times if filling else 1.0)
        due_ns = before_ns + round(S / rate * self._chance.expovariate(1.0))
        self._loop.call_later(max(0, due_ns - time.monotonic_ns()), self._submit, due_ns)

    def _submit(self, due_ns: int) -> None:
        if self._stopped:
            return
        self._schedule(due_ns)
        plan, chance = self._plan, self._chance
        klass = chance.choices(plan.classes, self._shares)[0]
        service = f"{klass.name}-{chance.randrange(klass.services)}"
        life_s = max(plan.life_least_s, chance.expovariate(1.0 / plan.life_s))
        cores, team = chance.choice(klass.cores), chance.choice(plan.teams)
        attrs = build_job_attributes("job", service, cores, klass.memory_gib, life_s, team)
        target = chance.choice(plan.targets)
        self._pending += 1

        def done(job: str, said: str) -> None:
            self._pending -= 1
            if job:
                self.sent.jobs[job] = SentJob(klass.name, due_ns, time.monotonic_ns())
            else:
                self.sent.unsubmitted.append((klass.name, due_ns))
                self.sent.said[said] = self.sent.said.get(said, 0) + 1
            self._end_if_settled()

        Submission(self._loop, target, klass.name, attrs, SCRIPT, done)


def main() -> None:
    plan: LoadPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LoadPlan)
    loop = Loop(trouble=lambda where, fault: print(f"{where}: {fault!r}", file=sys.stderr, flush=True))
    generator = Generator(loop, plan)
    loop.on_signal(signal.SIGTERM, generator.stop)
    loop.on_signal(signal.SIGINT, generator.stop)

    def input_ended(_: int) -> None:
        if not os.read(sys.stdin.fileno(), 4096):
            loop.watch(sys.stdin.fileno(), 0, input_ended)
            generator.stop()

    loop.watch(sys.stdin.fileno(), READ, input_ended)
    generator.start()
    loop.run()
    Path(sys.argv[2]).write_bytes(msgspec.json.encode(generator.sent))


if __name__ == "__main__":
    main()
