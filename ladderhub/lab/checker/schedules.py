"""Whole schedulers under random schedules: kills between two actions, pauses, cuts, heavy loss, lost records.

What the search of `ballots` leaves out: timers, checks, the spread, catching up, acting by what was chosen.
Each schedule is drawn from a seed; the judge is that of the emulator."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass

from ladderhub.lab.emulator.net import MS, Faults, S
from ladderhub.lab.emulator.revisions import RevisionSimulation

SCHEDULERS, VOTERS = 5, 3
BEGIN_NS = 5 * S  # a new fleet decides its first revision undisturbed
FAULTS_NS = 12 * S
SETTLE_NS = 14 * S  # without faults: all have to come together
CHANGES, TROUBLES = 10, 14  # in one schedule


@dataclass
class RandomCheckResult:
    schedules: int = 0
    chosen: int = 0  # revisions in all
    seconds: float = 0.0
    violation: str = ""
    seed: str = ""  # of the schedule that broke

    def lines(self) -> Iterator[str]:
        yield f"{self.schedules} schedules, {self.chosen} revisions chosen, {self.seconds:.1f} s"
        if self.violation:
            yield f"BROKEN: {self.violation} in schedule {self.seed}"
        else:
            yield "one order everywhere, nothing acted by that was not chosen, all came together"


def play_schedule(seed: str) -> RevisionSimulation:
    """One schedule, played to its end."""
    drawn = random.Random(seed)
    faults = Faults(
        loss=drawn.choice((0.0, 0.1, 0.3)), doubled=drawn.choice((0.0, 0.2)),
        delay_ns=(MS, drawn.choice((5, 50, 400)) * MS),
    )  # fmt: skip
    play = RevisionSimulation(
        SCHEDULERS, drawn.getrandbits(30), faults, VOTERS, body_bytes=drawn.choice((20, 2000))
    )
    net = play.net
    net.run(net.now + BEGIN_NS)
    play.begin_count()
    forgetful = drawn.randrange(VOTERS)  # the one voter that may lose its record
    for _ in range(CHANGES):
        when = net.now + drawn.randrange(FAULTS_NS)
        net.call_at(when, _apply, play, drawn.randrange(SCHEDULERS), drawn.random() < 0.6)
    for _ in range(TROUBLES):
        net.call_at(net.now + drawn.randrange(FAULTS_NS), _trouble, play, drawn, forgetful)
    net.run(net.now + FAULTS_NS)
    play.net.faults = Faults(loss=0.05, delay_ns=(MS, 20 * MS))
    net.run(net.now + SETTLE_NS)
    play.apply(on_current=True)
    net.run(net.now + 4 * S)
    return play


def _apply(play: RevisionSimulation, at: int, on_current: bool) -> None:
    host = play.hosts[at]
    if host.alive and not host.paused:
        play.apply(at, on_current)


def _trouble(play: RevisionSimulation, drawn: random.Random, forgetful: int) -> None:
    at, span_ns = drawn.randrange(SCHEDULERS), drawn.randrange(20 * MS, 4 * S)
    what = drawn.choice(("kill", "kill", "pause", "cut", "half"))
    if what == "kill":
        keeps = at != forgetful if at < VOTERS else drawn.random() < 0.5
        play.crash(at, span_ns, keeps, actions_left=drawn.randrange(12))
    elif what == "pause":
        play.pause(at, span_ns)
    elif what == "cut":
        play.cut({at}, span_ns, one_sided=drawn.random() < 0.5)
    else:
        play.cut({at, (at + 1) % SCHEDULERS}, span_ns)


def check_randomly(schedules: int, seed: int) -> RandomCheckResult:
    """So many schedules; stops at the first that breaks."""
    found, begun = RandomCheckResult(), time.perf_counter()
    for at in range(schedules):
        name = f"{seed}/{at}"
        play = play_schedule(name)
        verdict = play.close()
        found.schedules += 1
        found.chosen += len(play.judge.chosen)
        faults = [*verdict.violations]
        if verdict.unanswered:
            faults.append(f"{verdict.unanswered} requests without an answer")
        if verdict.differing:
            faults.append(f"{verdict.differing} schedulers without the last revision")
        if faults:
            found.violation, found.seed = faults[0], name
            break
    found.seconds = time.perf_counter() - begun
    return found
