"""A machine vanishes for 3.5 s and returns cold: is what stood there released towards its owners?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins.case import run_case
from review.standins.platform import CouldNotRun, Platform, unanswered
from review.standins.record import now

OUTAGE_S = 3.5  # the page: a zone, or three in ten machines, is lost for 5 s and returns cold
NOTICE_S = 1.0  # from the return to the event that tells the new start
TOLD_WITHIN_S = 8.05  # if no release could be sent, within 8 s of its end, and 50 ms
WATCH_S = 20.0  # after the outage began
RELEASE_WITHIN_S = 1.05  # of a release by the machine


async def play(platform: Platform, trouble: bool) -> list[str]:
    await platform.start()
    owner = await platform.owner("depot")
    asked = [owner.ask(("reports", "invoicing")[at % 2], f"{at:016x}", 5000) for at in range(20)]
    await asyncio.sleep(3)
    if not all(each.stands for each in asked):
        raise CouldNotRun("not all tasks stand")
    machine = max(platform.machines, key=lambda each: len(each.standing))
    there = [each for each in asked if each.task in machine.standing]
    began = now()
    traffic = asyncio.create_task(keep_asking(platform))
    if trouble:
        machine.cut_off()
        machine.lose_all()
        await asyncio.sleep(OUTAGE_S)
        machine.come_back_cold()
        await asyncio.sleep(NOTICE_S)
        platform.journal.add([machine.row()])
    await asyncio.sleep(began + WATCH_S - now())
    traffic.cancel()
    breaches = []
    for each in there if trouble else []:
        ended, _ = machine.ends[each.task]
        told = each.over[0][0] - ended if each.over else None
        if told is None or told > TOLD_WITHIN_S:
            when = "not at all" if told is None else f"after {told:.1f} s"
            breaches.append(f"{each.task} {each.klass} ended with {machine.name}; its owner was told {when}")
    rest = [each for each in asked if platform.machine_of(each.task)]
    for each in rest:
        running = platform.machine_of(each.task)
        assert running is not None
        running.finish(each.task)
    await asyncio.sleep(RELEASE_WITHIN_S)
    for each in rest:
        if not each.over:
            breaches.append(f"{each.task} was released by its machine, and its owner was not told in time")
    await asyncio.sleep(1)
    return breaches + [f"no single answer in time: {text}" for text in unanswered(platform.owners)]


async def keep_asking(platform: Platform) -> None:
    """Four set-ups a second, as a background."""
    owner, count = await platform.owner("others"), 0
    while True:
        owner.ask("reports", f"{1000 + count % 7:016x}", 5000)
        count += 1
        await asyncio.sleep(0.25)


run_case(Path(__file__).parent, play)
