"""Checks revisions on whole schedulers under random faults.

The faults are kills between two actions, pauses, cuts, heavy loss and lost records.  This covers what the
search in `ballots` leaves out: timers, checks of bodies, dissemination, catching up and the activation of
chosen revisions.  Each schedule is drawn from a seed and judged by the emulator's judge."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass

from ladderhub.lab.emulator.net import MS, Faults, S
from ladderhub.lab.emulator.revisions import RevisionSimulation

SCHEDULERS, VOTERS = 5, 3
START_UP_NS = 5 * S  # without faults: a new fleet chooses its first revision
FAULTS_NS = 12 * S
SETTLE_NS = 14 * S  # without faults: all schedulers have to converge
CHANGE_COUNT, FAULT_COUNT = 10, 14  # in one schedule


@dataclass
class RandomCheckResult:
    """What was checked, and the first violation with the seed of its schedule, if there was one."""

    schedules: int = 0
    chosen: int = 0  # revisions in all schedules
    seconds: float = 0.0
    violation: str = ""
    seed: str = ""  # of the schedule with the violation

    def lines(self) -> Iterator[str]:
        """Yields the lines of the report."""
        yield f"{self.schedules} schedules, {self.chosen} revisions chosen, {self.seconds:.1f} s"
        if self.violation:
            yield f"BROKEN: {self.violation} in schedule {self.seed}"
        else:
            yield "one order everywhere, nothing acted by that was not chosen, all came together"


def run_schedule(seed: str) -> RevisionSimulation:
    """Runs one schedule to its end."""
    rng = random.Random(seed)
    faults = Faults(
        loss=rng.choice((0.0, 0.1, 0.3)), duplicated=rng.choice((0.0, 0.2)),
        delay_ns=(MS, rng.choice((5, 50, 400)) * MS),
    )  # fmt: skip
    simulation = RevisionSimulation(
        SCHEDULERS, rng.getrandbits(30), faults, VOTERS, body_bytes=rng.choice((20, 2000))
    )
    net = simulation.net
    net.run(net.now + START_UP_NS)
    simulation.start_traffic_count()
    erasable_voter = rng.randrange(VOTERS)  # the only voter that may lose its record
    for _ in range(CHANGE_COUNT):
        when = net.now + rng.randrange(FAULTS_NS)
        net.call_at(when, _request_change, simulation, rng.randrange(SCHEDULERS), rng.random() < 0.6)
    for _ in range(FAULT_COUNT):
        net.call_at(net.now + rng.randrange(FAULTS_NS), _inject_fault, simulation, rng, erasable_voter)
    net.run(net.now + FAULTS_NS)
    simulation.net.faults = Faults(loss=0.05, delay_ns=(MS, 20 * MS))
    net.run(net.now + SETTLE_NS)
    simulation.request_change(on_current=True)
    net.run(net.now + 4 * S)
    return simulation


def _request_change(simulation: RevisionSimulation, index: int, on_current: bool) -> None:
    host = simulation.hosts[index]
    if host.alive and not host.paused:
        simulation.request_change(index, on_current)


def _inject_fault(simulation: RevisionSimulation, rng: random.Random, erasable_voter: int) -> None:
    index, span_ns = rng.randrange(SCHEDULERS), rng.randrange(20 * MS, 4 * S)
    what = rng.choice(("kill", "kill", "pause", "cut", "half"))
    if what == "kill":
        keep_disk = index != erasable_voter if index < VOTERS else rng.random() < 0.5
        simulation.crash(index, span_ns, keep_disk, actions_left=rng.randrange(12))
    elif what == "pause":
        simulation.pause(index, span_ns)
    elif what == "cut":
        simulation.cut({index}, span_ns, one_sided=rng.random() < 0.5)
    else:
        simulation.cut({index, (index + 1) % SCHEDULERS}, span_ns)


def check_randomly(schedules: int, seed: int) -> RandomCheckResult:
    """Runs this many schedules; stops at the first violation."""
    result, started_s = RandomCheckResult(), time.perf_counter()
    for index in range(schedules):
        name = f"{seed}/{index}"
        simulation = run_schedule(name)
        verdict = simulation.build_verdict()
        result.schedules += 1
        result.chosen += len(simulation.judge.chosen)
        faults = [*verdict.violations]
        if verdict.unanswered:
            faults.append(f"{verdict.unanswered} requests without an answer")
        if verdict.differing:
            faults.append(f"{verdict.differing} schedulers without the last revision")
        if faults:
            result.violation, result.seed = faults[0], name
            break
    result.seconds = time.perf_counter() - started_s
    return result
