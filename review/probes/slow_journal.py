"""The journal service breaks off and is slow to answer when asked again: are drains kept?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins.case import run_case
from review.standins.platform import CouldNotRun, Platform, unanswered
from review.standins.record import now

ANSWER_S = 2.0  # from the line `tail N` to the first line of the service
TOLD_AFTER_S = 4.0  # what the journal would have told counts as told no later than this after a break
GRACE_S = 0.55  # `drain-grace-ns` of the settings, and 50 ms
WATCH_S = 16.0  # after the break


async def play(platform: Platform, trouble: bool) -> list[str]:
    await platform.start()
    traffic = asyncio.create_task(keep_asking(platform))
    await asyncio.sleep(3)
    if not any(each.stands for each in platform.owners[0].asked.values()):
        raise CouldNotRun("no task stands")
    began = now()
    if trouble:
        platform.journal.answer_delay_s = ANSWER_S
        platform.journal.break_off()
    await asyncio.sleep(0.3)
    drained = platform.machines[0]
    platform.journal.add([drained.row("draining")])
    await asyncio.sleep(began + WATCH_S - now())
    traffic.cancel()
    late = [
        f"{task} was sent to {drained.name}, {when - began - TOLD_AFTER_S:.1f} s after its drain was told"
        for when, task, _ in drained.setups
        if when > began + TOLD_AFTER_S + GRACE_S
    ]
    asked = [when for when in platform.journal.asked if when > began]
    platform.record.line("case", f"the journal was asked {len(asked)} times after the break")
    await asyncio.sleep(6)
    return late + [f"no single answer in time: {text}" for text in unanswered(platform.owners)]


async def keep_asking(platform: Platform) -> None:
    """Eight set-ups a second."""
    owner, count = await platform.owner("depot"), 0
    while True:
        owner.ask(("reports", "invoicing")[count % 2], f"{count % 17:016x}", 5000)
        count += 1
        await asyncio.sleep(0.125)


run_case(Path(__file__).parent, play)
