"""Fault days of membership: which faults are injected when, and which living members may be reported gone.

A fault day is a list of steps for a number of schedulers, drawn from a seed.  The steps are all that its
executor needs.  After the last fault the network has no faults, and all views must become equal."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import MS, Faults

Pairs = frozenset[tuple[int, int]]
GoneRule = Callable[[int, int], bool]
HARMLESS_PAUSE_S = 3.0  # a member that pauses no longer than this must not be reported gone


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a fault day: `what` is done at `at_s` to the scheduler in `slot`.

    `what` is one of:
    - `start`, `kill`, `leave` (SIGTERM), `pause`, `go_on`.
    - `cut`: messages between the pairs (from, to) of slots in `value` are lost from now on.
    - `net`: other network faults, in `value`.
    - `twin`: starts a second process in `slot` with the name of slot `value`.
    - `usurp`: starts a scheduler with a new name at the address of slot `value`.
    - `back`: starts the scheduler with a clock set back and an empty spool.
    - `hold` and `release`: keeps copies of the messages that `slot` sends, and sends them late.
    - `noise`: sends datagrams that are not valid messages.
    - `change`: an operator requests another policy.  With `value` True, it is based on the revision in force
      there and loses if another change is chosen first.
    - `forget`: deletes the record of revisions in the spool of `slot`, which is not running."""

    at_s: float
    what: str
    slot: int = -1
    value: Any = None


@dataclass
class Day:
    """A fault day.

    `may_report_gone(observer, subject)`: whether the observer may report the living subject as gone."""

    name: str
    description: str
    steps: list[Step]
    last_fault_s: float  # time of the last fault
    may_report_gone: GoneRule = field(default=lambda observer, subject: False)
    can_run_processes: bool = True  # False: only in simulation
    excluded: frozenset[int] = frozenset()  # slots whose process lives but is not a member at the end
    load: float = 0.0  # jobs submitted per second during the day


def get_all_pairs(slots: Iterable[int]) -> set[tuple[int, int]]:
    """Returns all ordered pairs of different slots."""
    members = list(slots)
    return {(slot, other) for slot in members for other in members if slot != other}


def get_pairs_between(left: Iterable[int], right: Iterable[int]) -> Pairs:
    """Returns the pairs in both directions between two sets of slots."""
    left_slots, right_slots = list(left), list(right)
    return frozenset(
        {(slot, other) for slot in left_slots for other in right_slots}
        | {(other, slot) for slot in left_slots for other in right_slots}
    )


def _build_pauses(count: int, rng: random.Random) -> Day:
    steps, at_s = [], 0.0
    for _ in range(12):
        at_s += rng.uniform(0.2, 1.5)
        slot, span = rng.randrange(count), rng.uniform(0.5, HARMLESS_PAUSE_S)
        steps += [Step(at_s, "pause", slot), Step(at_s + span, "go_on", slot)]
    return Day("pauses", "pauses of 0.5 to 3 s", steps, at_s + HARMLESS_PAUSE_S)


def _build_long_pause(count: int, rng: random.Random) -> Day:
    slots = rng.sample(range(count), max(1, count // 8))
    steps = [Step(1, "pause", slot) for slot in slots]
    steps += [Step(1 + rng.uniform(9, 14), "go_on", slot) for slot in slots]
    rule: GoneRule = lambda observer, subject: subject in slots  # noqa: E731
    return Day("long-pause", "pauses far beyond what is borne: the sleeper is the sick one", steps, 15, rule)


def _build_simultaneous_pauses(count: int, rng: random.Random) -> Day:
    steps = []
    for at_s in (1.0, 5.0, 9.0):
        for slot in rng.sample(range(count), count // 2):
            steps += [Step(at_s, "pause", slot), Step(at_s + rng.uniform(0.3, 1.5), "go_on", slot)]
    return Day("crowded", "half of all stand still for up to 1.5 s at once, again and again", steps, 11)


def _build_loss(count: int, rng: random.Random) -> Day:
    faults = Faults(loss=0.3, duplicated=0.1, delay_ns=(MS, 500 * MS))
    burst_faults = Faults(loss=1.0)
    steps = [Step(0.5, "net", value=faults)]
    for at_s in (4.0, 8.0, 12.0):
        steps += [Step(at_s, "net", value=burst_faults), Step(at_s + 1, "net", value=faults)]
    about = "30 % lost, 10 % doubled, up to 500 ms late, and bursts of 1 s in which all is lost"
    return Day("loss", about, [*steps, Step(15, "net")], 15)


def _build_one_way_cut(count: int, rng: random.Random) -> Day:
    slot, other = rng.sample(range(count), 2)
    steps = [Step(1, "cut", value=frozenset({(slot, other)})), Step(14, "cut", value=frozenset())]
    return Day("one-way", "one hears another that does not hear it", steps, 14)


def _build_single_listener(count: int, rng: random.Random) -> Day:
    slot, listener = rng.sample(range(count), 2)
    lost = frozenset((slot, other) for other in range(count) if other not in (slot, listener))
    steps = [Step(1, "cut", value=lost), Step(16, "cut", value=frozenset())]
    rule: GoneRule = lambda observer, subject: subject == slot  # noqa: E731
    return Day("reaches-one", "what one sends comes to one other alone", steps, 16, rule)


def _build_ring(count: int, rng: random.Random) -> Day:
    kept = {(slot, (slot + 1) % count) for slot in range(count)}
    lost = frozenset(get_all_pairs(range(count)) - kept)
    steps = [Step(1, "cut", value=lost), Step(13, "cut", value=frozenset())]
    return Day("ring", "each hears its neighbour alone", steps, 13)


def _build_one_sided_cut(count: int, rng: random.Random, deaf: bool = False) -> Day:
    slot = rng.randrange(count)
    lost = frozenset((other, slot) if deaf else (slot, other) for other in range(count) if other != slot)
    steps = [Step(1, "cut", value=lost), Step(14, "cut", value=frozenset())]
    rule: GoneRule = lambda observer, subject: subject == slot  # noqa: E731
    about = "one is heard by all and hears nobody" if deaf else "one hears all and is heard by nobody"
    return Day("deaf" if deaf else "mute", about, steps, 14, rule)


def _build_halves(count: int, rng: random.Random, lost_memory: bool = False) -> Day:
    left = range(count // 2)  # contains all seeds, which are the first slots
    right = range(count // 2, count)
    steps = [Step(1, "cut", value=get_pairs_between(left, right))]
    if lost_memory:
        for index, slot in enumerate([*left, *right]):
            steps += [Step(11 + index * 0.05, "kill", slot), Step(11.5 + index * 0.05, "start", slot)]
    last_fault_s = 15.0
    rule: GoneRule = lambda observer, subject: (observer in left) != (subject in left)  # noqa: E731
    about = "two halves, all seeds in one" + (", both started again" if lost_memory else "")
    steps.append(Step(last_fault_s, "cut", value=frozenset()))
    return Day("halves-anew" if lost_memory else "halves", about, steps, last_fault_s, rule)


def _build_isolation(count: int, rng: random.Random) -> Day:
    slot = rng.randrange(count)
    others = [other for other in range(count) if other != slot]
    steps = [Step(1, "cut", value=get_pairs_between([slot], others)), Step(12, "cut", value=frozenset())]
    rule: GoneRule = lambda observer, subject: slot in (observer, subject)  # noqa: E731
    return Day("alone", "one is cut off both ways", steps, 12, rule)


def _build_restarts(count: int, rng: random.Random) -> Day:
    steps, at_s = [], 1.0
    for slot in rng.sample(range(count), min(5, count)):
        steps += [Step(at_s, "kill", slot), Step(at_s + 0.1, "start", slot)]
        at_s += rng.uniform(0.1, 2)
    return Day("restart", "killed and started again at the same address within 100 ms", steps, at_s)


def _build_duplicate_name(count: int, rng: random.Random) -> Day:
    slot = rng.randrange(count)
    steps = [Step(1, "twin", count, slot)]
    return Day("twin", "two processes by mistake under one name", steps, 2, excluded=frozenset({count}))


def _build_address_takeover(count: int, rng: random.Random) -> Day:
    slot = rng.randrange(count)
    steps = [Step(1, "kill", slot), Step(1.2, "usurp", count, slot)]
    return Day("usurp", "an address taken over by another scheduler", steps, 2)


def _build_clock_set_back(count: int, rng: random.Random) -> Day:
    slot = rng.randrange(count)
    steps = [Step(1, "kill", slot), Step(1.2, "back", slot)]
    return Day(
        "clock-back",
        "started again with a clock set back and nothing kept",
        steps,
        2,
        can_run_processes=False,
    )


def _build_late_messages(count: int, rng: random.Random) -> Day:
    slot = rng.randrange(count)
    steps = [
        Step(0.5, "hold", slot), Step(4, "kill", slot), Step(4.1, "start", slot), Step(7, "release", slot),
        Step(9, "kill", slot), Step(9.5, "release", slot), Step(18, "release", slot), Step(19, "start", slot),
    ]  # fmt: skip
    return Day("late-word", "messages of an earlier life come late", steps, 19)


def _build_mass_kill(count: int, rng: random.Random, back: bool = False) -> Day:
    slots = rng.sample(range(count), count * 7 // 10)
    steps = [Step(1, "kill", slot) for slot in slots]
    if back:
        steps += [Step(3 + rng.random(), "start", slot) for slot in slots]
    name = "storm-back" if back else "storm"
    return Day(name, "70 % killed at once" + (", all back soon" if back else ""), steps, 4 if back else 1)


def _build_full_restart(count: int, rng: random.Random) -> Day:
    whole = range(count)
    steps = [Step(0.5, "kill", slot) for slot in whole]
    steps += [Step(1 + rng.random(), "start", slot) for slot in whole]
    return Day("births", "all killed, then all started within a second", steps, 2)


def _build_rolling_restart(count: int, rng: random.Random) -> Day:
    steps, at_s = [], 1.0
    for slot in range(count):
        steps += [Step(at_s, "leave", slot), Step(at_s + 0.8, "start", slot)]
        at_s += 0.5
    return Day("rolling", "a rolling restart", steps, at_s + 0.8)


def _build_noise(count: int, rng: random.Random) -> Day:
    steps = [Step(1 + index * 0.25, "noise", rng.randrange(count), index) for index in range(24)]
    return Day("noise", "spoilt, cut, foreign, oversized and hostile datagrams", steps, 8)


def _build_random_mixture(count: int, rng: random.Random) -> Day:
    """Combines the steps of two other days; the rule follows from the faults drawn."""
    builders: list[Callable[[int, random.Random], Day]] = [
        _build_restarts, _build_pauses, _build_loss, _build_one_sided_cut, _build_halves, _build_mass_kill,
    ]  # fmt: skip
    chosen_builders = rng.sample(builders, 2)
    days = [make(count, rng) for make in chosen_builders]
    steps = sorted((step for day in days for step in day.steps), key=lambda step: step.at_s)
    # Members tolerate less of a pause, a cut and loss together than of each alone, so any member that is
    # affected may be reported gone.
    disturbed = {step.slot for step in steps if step.what in ("pause", "kill")}
    has_network_faults = any(step.what in ("cut", "net") for step in steps)
    rule: GoneRule = lambda observer, subject: has_network_faults or subject in disturbed  # noqa: E731
    last_fault_s = max(day.last_fault_s for day in days)
    about = " and ".join(day.name for day in days)
    return Day(
        "drawn",
        about,
        [*steps, Step(last_fault_s, "net"), Step(last_fault_s, "cut", value=frozenset())],
        last_fault_s,
        rule,
    )


DAYS: dict[str, Callable[[int, random.Random], Day]] = {
    "pauses": _build_pauses, "long-pause": _build_long_pause, "crowded": _build_simultaneous_pauses,
    "loss": _build_loss, "one-way": _build_one_way_cut, "reaches-one": _build_single_listener,
    "ring": _build_ring, "mute": _build_one_sided_cut,
    "deaf": lambda count, rng: _build_one_sided_cut(count, rng, deaf=True),
    "alone": _build_isolation, "halves": _build_halves,
    "halves-anew": lambda count, rng: _build_halves(count, rng, lost_memory=True),
    "restart": _build_restarts, "twin": _build_duplicate_name, "usurp": _build_address_takeover,
    "clock-back": _build_clock_set_back, "late-word": _build_late_messages,
    "storm": _build_mass_kill,
    "storm-back": lambda count, rng: _build_mass_kill(count, rng, back=True),
    "births": _build_full_restart, "rolling": _build_rolling_restart,
    "noise": _build_noise, "drawn": _build_random_mixture,
}  # fmt: skip


def draw_day(name: str, count: int, seed: int) -> Day:
    """Builds the day with this name for `count` schedulers; raises ValueError if there is no such day."""
    if name not in DAYS:
        raise ValueError(f"day: found {name!r}; one of {', '.join(DAYS)} is meant")
    return DAYS[name](count, random.Random(f"{name}/{seed}"))
