"""Fault days with changes of the configuration.  Steps are as in `days`, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from ladderhub.lab.emulator.net import MS, Faults
from ladderhub.lab.mesh.days import Day, Step, get_pairs_between

CHANGES_S = 60
BURST_CHANGES = 10
NO_SLOT = -1  # of senders without a slot: hollow schedulers, which are on the left side of a cut


def _build_changes(count: int, rng: random.Random) -> Day:
    """Builds a day with one change a second for a minute.

    The voters are the first slots; a majority of them is on the left side of the cut.  One scheduler is
    restarted soon after a kill, one is restarted without its record, and one late with an old record."""
    voters = min(5, count) - (min(5, count) + 1) % 2
    left = [*range(voters // 2 + 1), *range(voters, voters + (count - voters) // 2)]
    right = [slot for slot in range(count) if slot not in left]
    killed, paused = rng.sample(range(count), 2)
    deaf, mute = rng.sample(range(count), 2)
    restarted_late = rng.choice(right)
    record_loser = rng.choice([slot for slot in range(count) if slot != restarted_late])
    faults = Faults(loss=0.1, delay_ns=(MS // 2, 20 * MS))
    steps = [
        Step(0.1, "net", value=faults), Step(8, "kill", killed), Step(9.5, "start", killed),
        Step(15, "pause", paused), Step(20, "go_on", paused),
        Step(22, "kill", record_loser), Step(22.5, "forget", record_loser), Step(23.5, "start", record_loser),
        Step(27, "kill", restarted_late), Step(45, "start", restarted_late),
        Step(24, "cut", value=frozenset({(mute, deaf)})), Step(30, "cut", value=frozenset()),
        Step(33, "cut", value=get_pairs_between([*left, NO_SLOT], right)), Step(42, "cut", value=frozenset()),
    ]  # fmt: skip
    steps += [Step(at_s, "change", rng.randrange(count)) for at_s in range(1, CHANGES_S + 1)]
    steps += [Step(46.5, "change", slot, True) for slot in rng.sample(range(count), 2)]
    burst_s = (52.45 + index / BURST_CHANGES for index in range(BURST_CHANGES))
    steps += [Step(at_s, "change", rng.randrange(count)) for at_s in burst_s]
    steps.append(Step(CHANGES_S + 1, "net"))
    return Day(
        "changes", "a change of configuration each second amid faults", steps, CHANGES_S + 1,
        lambda observer, subject: True, load=15.0,
    )  # fmt: skip


def _build_few_changes(count: int, rng: random.Random) -> Day:
    """Builds a short day of 11 seconds for three to five schedulers."""
    killed, paused = rng.sample(range(1, count), 2)
    steps = [
        Step(0.1, "net", value=Faults(loss=0.1, delay_ns=(MS // 2, 20 * MS))),
        Step(2, "kill", killed), Step(3, "start", killed),
        Step(6, "pause", paused), Step(10, "go_on", paused), Step(11, "net"),
    ]  # fmt: skip
    awake = [slot for slot in range(count) if slot != paused]
    steps += [Step(at_s, "change", rng.choice(awake)) for at_s in (0.5, 1.5, 5, 6.5, 8)]
    steps += [Step(4.3, "change", slot, True) for slot in rng.sample(range(count), 2)]
    return Day(
        "few-changes", "changes of configuration amid a kill, a pause and loss", steps, 11,
        lambda observer, subject: True, load=10.0,
    )  # fmt: skip


CHANGE_DAYS: dict[str, Callable[[int, random.Random], Day]] = {
    "changes": _build_changes, "few-changes": _build_few_changes,
}  # fmt: skip
MIN_SCHEDULERS = 3


def draw_change_day(name: str, count: int, seed: int) -> Day:
    """Builds the day with this name for `count` schedulers; raises ValueError if these are too few."""
    if count < MIN_SCHEDULERS:
        raise ValueError(f"schedulers: found {count}; at least {MIN_SCHEDULERS} are meant for {name}")
    return CHANGE_DAYS[name](count, random.Random(f"{name}/{seed}"))
