"""Days on which the configuration changes, amid faults.  Steps are as in `days`; chance is from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from ladderhub.lab.emulator.net import MS, Faults
from ladderhub.lab.mesh.days import Day, Step, between

CHANGES_S = 60
CHANGES_AT_ONCE = 10
NOBODY = -1  # the slot of senders that have none: hollow schedulers stand on the left


def _changes(count: int, rng: random.Random) -> Day:
    """A change a second for a minute.  The voters are the first slots, a majority of them on the left.

    One is started anew at once, one without its record, and one comes back from an old record."""
    voters = min(5, count) - (min(5, count) + 1) % 2
    left = [*range(voters // 2 + 1), *range(voters, voters + (count - voters) // 2)]
    right = [slot for slot in range(count) if slot not in left]
    killed, paused = rng.sample(range(count), 2)
    deaf, mute = rng.sample(range(count), 2)
    old = rng.choice(right)
    forgetful = rng.choice([slot for slot in range(count) if slot != old])
    bad = Faults(loss=0.1, delay_ns=(MS // 2, 20 * MS))
    steps = [
        Step(0.1, "net", value=bad), Step(8, "kill", killed), Step(9.5, "start", killed),
        Step(15, "pause", paused), Step(20, "go_on", paused),
        Step(22, "kill", forgetful), Step(22.5, "forget", forgetful), Step(23.5, "start", forgetful),
        Step(27, "kill", old), Step(45, "start", old),
        Step(24, "cut", value=frozenset({(mute, deaf)})), Step(30, "cut", value=frozenset()),
        Step(33, "cut", value=between([*left, NOBODY], right)), Step(42, "cut", value=frozenset()),
    ]  # fmt: skip
    steps += [Step(at, "change", rng.randrange(count)) for at in range(1, CHANGES_S + 1)]
    steps += [Step(46.5, "change", slot, True) for slot in rng.sample(range(count), 2)]
    at_once = (52.45 + at / CHANGES_AT_ONCE for at in range(CHANGES_AT_ONCE))
    steps += [Step(at, "change", rng.randrange(count)) for at in at_once]
    steps.append(Step(CHANGES_S + 1, "net"))
    return Day(
        "changes", "a change of configuration each second amid faults", steps, CHANGES_S + 1,
        lambda observer, subject: True, load=15.0,
    )  # fmt: skip


def _few_changes(count: int, rng: random.Random) -> Day:
    """The same in small: a dozen seconds, for three to five."""
    killed, paused = rng.sample(range(1, count), 2)
    steps = [
        Step(0.1, "net", value=Faults(loss=0.1, delay_ns=(MS // 2, 20 * MS))),
        Step(2, "kill", killed), Step(3, "start", killed),
        Step(6, "pause", paused), Step(10, "go_on", paused), Step(11, "net"),
    ]  # fmt: skip
    awake = [slot for slot in range(count) if slot != paused]
    steps += [Step(at, "change", rng.choice(awake)) for at in (0.5, 1.5, 5, 6.5, 8)]
    steps += [Step(4.3, "change", slot, True) for slot in rng.sample(range(count), 2)]
    return Day(
        "few-changes", "changes of configuration amid a kill, a pause and loss", steps, 11,
        lambda observer, subject: True, load=10.0,
    )  # fmt: skip


CHANGE_DAYS: dict[str, Callable[[int, random.Random], Day]] = {
    "changes": _changes, "few-changes": _few_changes,
}  # fmt: skip
LEAST_SCHEDULERS = 3


def draw_change_day(name: str, count: int, seed: int) -> Day:
    """The day of this name for so many schedulers; ValueError where there is none for so few."""
    if count < LEAST_SCHEDULERS:
        raise ValueError(f"schedulers: found {count}; at least {LEAST_SCHEDULERS} are meant for {name}")
    return CHANGE_DAYS[name](count, random.Random(f"{name}/{seed}"))
