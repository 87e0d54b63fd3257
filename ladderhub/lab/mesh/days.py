"""Fault days of membership: what is done when, and what each case's own rule lets members say of living ones.

A day is a list of steps for so many schedulers, drawn from a seed; who plays it is told by the steps alone.
After the last fault the network is whole again and all views have to be equal."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import MS, Faults

Pairs = frozenset[tuple[int, int]]
Allowed = Callable[[int, int], bool]
OK_S = 3.0  # a pause as long as this costs nobody its place


@dataclass(frozen=True, slots=True)
class Step:
    """`what` is done at `at_s` to the scheduler in slot `who`.

    start, kill, leave (SIGTERM), pause, go_on; `cut`: pairs (from, to) of slots whose messages are lost from
    now on; `net`: other faults; `twin`: a second process with the name of slot `value`, in slot `who`;
    `usurp`: a scheduler of a new name at the address of slot `value`; `back`: start with a clock set back and
    an empty spool; `hold` and `release`: keep copies of what `who` sends, and send them late; `noise`:
    datagrams that are no messages; `change`: an operator asks there for another policy, with `value` True for
    one made from the revision in force there, which loses where another comes first; `forget`: the record of
    revisions in the spool of `who`, which does not run, is lost."""

    at_s: float
    what: str
    who: int = -1
    value: Any = None


@dataclass
class Day:
    """`may_go(observer, subject)`: may this one say of that living one that it is gone?"""

    name: str
    description: str
    steps: list[Step]
    last_s: float  # of the last fault
    may_go: Allowed = field(default=lambda observer, subject: False)
    can_run_processes: bool = True  # can be played with real processes
    out: frozenset[int] = frozenset()  # slots that are not in at the end though their process lives
    load: float = 0.0  # jobs a second, submitted over the whole day


def all_pairs(slots: Iterable[int]) -> set[tuple[int, int]]:
    names = list(slots)
    return {(a, b) for a in names for b in names if a != b}


def between(left: Iterable[int], right: Iterable[int]) -> Pairs:
    one, two = list(left), list(right)
    return frozenset({(a, b) for a in one for b in two} | {(b, a) for a in one for b in two})


def _pauses(count: int, rng: random.Random) -> Day:
    steps, at = [], 0.0
    for _ in range(12):
        at += rng.uniform(0.2, 1.5)
        who, span = rng.randrange(count), rng.uniform(0.5, OK_S)
        steps += [Step(at, "pause", who), Step(at + span, "go_on", who)]
    return Day("pauses", "pauses of 0.5 to 3 s", steps, at + OK_S)


def _long_pause(count: int, rng: random.Random) -> Day:
    who = rng.sample(range(count), max(1, count // 8))
    steps = [Step(1, "pause", each) for each in who]
    steps += [Step(1 + rng.uniform(9, 14), "go_on", each) for each in who]
    rule: Allowed = lambda observer, subject: subject in who  # noqa: E731
    return Day("long-pause", "pauses far beyond what is borne: the sleeper is the sick one", steps, 15, rule)


def _storm_of_pauses(count: int, rng: random.Random) -> Day:
    steps = []
    for at in (1.0, 5.0, 9.0):
        for who in rng.sample(range(count), count // 2):
            steps += [Step(at, "pause", who), Step(at + rng.uniform(0.3, 1.5), "go_on", who)]
    return Day("crowded", "half of all stand still for up to 1.5 s at once, again and again", steps, 11)


def _loss(count: int, rng: random.Random) -> Day:
    bad = Faults(loss=0.3, doubled=0.1, delay_ns=(MS, 500 * MS))
    burst = Faults(loss=1.0)
    steps = [Step(0.5, "net", value=bad)]
    for at in (4.0, 8.0, 12.0):
        steps += [Step(at, "net", value=burst), Step(at + 1, "net", value=bad)]
    about = "30 % lost, 10 % doubled, up to 500 ms late, and bursts of 1 s in which all is lost"
    return Day("loss", about, [*steps, Step(15, "net")], 15)


def _one_way(count: int, rng: random.Random) -> Day:
    a, b = rng.sample(range(count), 2)
    steps = [Step(1, "cut", value=frozenset({(a, b)})), Step(14, "cut", value=frozenset())]
    return Day("one-way", "one hears another that does not hear it", steps, 14)


def _reaches_one(count: int, rng: random.Random) -> Day:
    a, c = rng.sample(range(count), 2)
    lost = frozenset((a, b) for b in range(count) if b not in (a, c))
    steps = [Step(1, "cut", value=lost), Step(16, "cut", value=frozenset())]
    rule: Allowed = lambda observer, subject: subject == a  # noqa: E731
    return Day("reaches-one", "what one sends comes to one other alone", steps, 16, rule)


def _ring(count: int, rng: random.Random) -> Day:
    kept = {(at, (at + 1) % count) for at in range(count)}
    lost = frozenset(all_pairs(range(count)) - kept)
    steps = [Step(1, "cut", value=lost), Step(13, "cut", value=frozenset())]
    return Day("ring", "each hears its neighbour alone", steps, 13)


def _one_sided(count: int, rng: random.Random, deaf: bool = False) -> Day:
    a = rng.randrange(count)
    lost = frozenset((b, a) if deaf else (a, b) for b in range(count) if b != a)
    steps = [Step(1, "cut", value=lost), Step(14, "cut", value=frozenset())]
    rule: Allowed = lambda observer, subject: subject == a  # noqa: E731
    about = "one is heard by all and hears nobody" if deaf else "one hears all and is heard by nobody"
    return Day("deaf" if deaf else "mute", about, steps, 14, rule)


def _halves(count: int, rng: random.Random, lost_memory: bool = False) -> Day:
    left = range(count // 2)  # the seeds are the first slots: all on this side
    right = range(count // 2, count)
    steps = [Step(1, "cut", value=between(left, right))]
    if lost_memory:
        for at, who in enumerate([*left, *right]):
            steps += [Step(11 + at * 0.05, "kill", who), Step(11.5 + at * 0.05, "start", who)]
    last = 15.0
    rule: Allowed = lambda observer, subject: (observer in left) != (subject in left)  # noqa: E731
    about = "two halves, all seeds in one" + (", both started again" if lost_memory else "")
    steps.append(Step(last, "cut", value=frozenset()))
    return Day("halves-anew" if lost_memory else "halves", about, steps, last, rule)


def _alone(count: int, rng: random.Random) -> Day:
    a = rng.randrange(count)
    others = [at for at in range(count) if at != a]
    steps = [Step(1, "cut", value=between([a], others)), Step(12, "cut", value=frozenset())]
    rule: Allowed = lambda observer, subject: a in (observer, subject)  # noqa: E731
    return Day("alone", "one is cut off both ways", steps, 12, rule)


def _restart(count: int, rng: random.Random) -> Day:
    steps, at = [], 1.0
    for who in rng.sample(range(count), min(5, count)):
        steps += [Step(at, "kill", who), Step(at + 0.1, "start", who)]
        at += rng.uniform(0.1, 2)
    return Day("restart", "killed and started again at the same address within 100 ms", steps, at)


def _twin(count: int, rng: random.Random) -> Day:
    who = rng.randrange(count)
    steps = [Step(1, "twin", count, who)]
    return Day("twin", "two processes by mistake under one name", steps, 2, out=frozenset({count}))


def _usurp(count: int, rng: random.Random) -> Day:
    who = rng.randrange(count)
    steps = [Step(1, "kill", who), Step(1.2, "usurp", count, who)]
    return Day("usurp", "an address taken over by another scheduler", steps, 2)


def _clock_back(count: int, rng: random.Random) -> Day:
    who = rng.randrange(count)
    steps = [Step(1, "kill", who), Step(1.2, "back", who)]
    return Day(
        "clock-back",
        "started again with a clock set back and nothing kept",
        steps,
        2,
        can_run_processes=False,
    )


def _late_word(count: int, rng: random.Random) -> Day:
    who = rng.randrange(count)
    steps = [
        Step(0.5, "hold", who), Step(4, "kill", who), Step(4.1, "start", who), Step(7, "release", who),
        Step(9, "kill", who), Step(9.5, "release", who), Step(18, "release", who), Step(19, "start", who),
    ]  # fmt: skip
    return Day("late-word", "messages of an earlier life come late", steps, 19)


def _storm(count: int, rng: random.Random, back: bool = False) -> Day:
    who = rng.sample(range(count), count * 7 // 10)
    steps = [Step(1, "kill", each) for each in who]
    if back:
        steps += [Step(3 + rng.random(), "start", each) for each in who]
    name = "storm-back" if back else "storm"
    return Day(name, "70 % killed at once" + (", all back soon" if back else ""), steps, 4 if back else 1)


def _births(count: int, rng: random.Random) -> Day:
    whole = range(count)
    steps = [Step(0.5, "kill", who) for who in whole]
    steps += [Step(1 + rng.random(), "start", who) for who in whole]
    return Day("births", "all killed, then all started within a second", steps, 2)


def _rolling(count: int, rng: random.Random) -> Day:
    steps, at = [], 1.0
    for who in range(count):
        steps += [Step(at, "leave", who), Step(at + 0.8, "start", who)]
        at += 0.5
    return Day("rolling", "a rolling restart", steps, at + 0.8)


def _noise(count: int, rng: random.Random) -> Day:
    steps = [Step(1 + at * 0.25, "noise", rng.randrange(count), at) for at in range(24)]
    return Day("noise", "spoilt, cut, foreign, oversized and hostile datagrams", steps, 8)


def _drawn(count: int, rng: random.Random) -> Day:
    """A mixture; what it may say follows from what is done."""
    parts: list[Callable[[int, random.Random], Day]] = [_restart, _pauses, _loss, _one_sided, _halves, _storm]
    chosen = rng.sample(parts, 2)
    days = [make(count, rng) for make in chosen]
    steps = sorted((step for day in days for step in day.steps), key=lambda step: step.at_s)
    # A pause, a cut or loss together bear less than each alone: whoever is touched may be told gone.
    touched = {step.who for step in steps if step.what in ("pause", "kill")}
    netted = any(step.what in ("cut", "net") for step in steps)
    rule: Allowed = lambda observer, subject: netted or subject in touched  # noqa: E731
    last = max(day.last_s for day in days)
    about = " and ".join(day.name for day in days)
    return Day("drawn", about, [*steps, Step(last, "net"), Step(last, "cut", value=frozenset())], last, rule)


DAYS: dict[str, Callable[[int, random.Random], Day]] = {
    "pauses": _pauses, "long-pause": _long_pause, "crowded": _storm_of_pauses, "loss": _loss,
    "one-way": _one_way, "reaches-one": _reaches_one, "ring": _ring, "mute": _one_sided,
    "deaf": lambda count, rng: _one_sided(count, rng, deaf=True),
    "alone": _alone, "halves": _halves,
    "halves-anew": lambda count, rng: _halves(count, rng, lost_memory=True),
    "restart": _restart, "twin": _twin, "usurp": _usurp, "clock-back": _clock_back, "late-word": _late_word,
    "storm": _storm,
    "storm-back": lambda count, rng: _storm(count, rng, back=True), "births": _births, "rolling": _rolling,
    "noise": _noise, "drawn": _drawn,
}  # fmt: skip


def draw_day(name: str, count: int, seed: int) -> Day:
    """The day of this name for so many schedulers; ValueError where there is none."""
    if name not in DAYS:
        raise ValueError(f"day: found {name!r}; one of {', '.join(DAYS)} is meant")
    return DAYS[name](count, random.Random(f"{name}/{seed}"))
