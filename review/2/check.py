"""A machine is cut off for 6 s: is what its owner ended meanwhile cut there, and does it run once?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins.case import run_case
from review.standins.platform import CouldNotRun, Platform, unanswered
from review.standins.record import now

CUT_OFF_S = 6.0  # the page: for 6 s a zone is partitioned, or a fifth of the machines fall silent
OWNER_ENDS_S = 4.0  # after the cut began
SETTLE_S = 3.0  # how long an owner waits before it asks again for a task that must not be started twice
WATCH_S = 24.0  # after the cut began: 18 s after its end; the longest limit of the page for an end is 8 s


async def play(platform: Platform, trouble: bool) -> list[str]:
    await platform.start()
    owner = await platform.owner("depot")
    asked = [owner.ask(("reports", "invoicing")[at % 2], f"{at:016x}", 5000) for at in range(20)]
    await asyncio.sleep(3)
    if not all(each.stands for each in asked):
        raise CouldNotRun("not all tasks stand")
    machine = max(platform.machines, key=lambda each: len(each.standing))  # one of five
    there = [each for each in asked if each.task in machine.standing]
    ended = [each for each in there if each.klass == "invoicing"][:2]
    others = [each for each in there if each not in ended]
    began = now()
    if trouble:
        machine.cut_off()
    await asyncio.sleep(OWNER_ENDS_S)
    for each in ended:
        owner.release(each)
    await asyncio.sleep(began + CUT_OFF_S - now())
    if trouble:
        machine.rejoin()
    await asyncio.sleep(began + OWNER_ENDS_S + SETTLE_S + 0.2 - now())
    for each in ended:
        if each.task in owner.confirmed:
            owner.ask(each.klass, f"{asked.index(each):016x}", 5000, key=each.key)
    await asyncio.sleep(began + WATCH_S - now())
    for each in others:
        if each.over and each.task in machine.standing:
            told = f"told its owner after {each.over[0][0] - began:.1f} s that {each.task} is over; it stands"
            platform.record.line("noted", f"the scheduler {told}")
    breaches = []
    for each in ended:
        if each.task in machine.standing:
            heard = "confirmed" if each.task in owner.confirmed else "did not confirm"
            breaches.append(
                f"{each.task} {each.klass}: its owner ended it, the scheduler {heard} that; it still stands"
                f" at {machine.name}, reachable for {WATCH_S - CUT_OFF_S:.0f} s, where no release came"
            )
        copies = [
            (one.name, standing.task)
            for one in platform.machines
            for standing in one.standing.values()
            if standing.key == each.key
        ]
        if len(copies) > 1:
            breaches.append(f"key {each.key} {each.klass} (unsafe) stands twice at the same time: {copies}")
    return breaches + [f"no single answer in time: {text}" for text in unanswered(platform.owners)]


run_case(Path(__file__).parent, play)
