"""Clients connect by the hundred and say nothing: are healthy machines still heard?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins.case import run_case
from review.standins.platform import CouldNotRun, Platform, unanswered
from review.standins.record import now

SILENT_CLIENTS = 140  # the page: others connect by the hundred and say nothing
RATE = 25.0  # the page: about 25 set-ups a second reach the busiest scheduler
START_S = 2.5  # a cold start: up to 12 times the work, which is 80 to 250 ms


async def play(platform: Platform, trouble: bool) -> list[str]:
    for machine in platform.machines:
        machine.kind = "node-large"
    await platform.start()
    owner = await platform.owner("depot")
    asked = []
    for at in range(400):
        asked.append(owner.ask("reports", f"{at:016x}", 5000))
        await asyncio.sleep(1 / 80)
    await asyncio.sleep(2)
    standing = sum(bool(each.standing) for each in platform.machines)
    platform.record.line("case", f"{sum(each.stands for each in asked)} tasks stand at {standing} machines")
    if not all(each.stands for each in asked):
        raise CouldNotRun("not all tasks stand")
    for machine in platform.machines:
        machine.start_s = START_S
    began = now()
    silent = [asyncio.create_task(say_nothing(platform)) for _ in range(SILENT_CLIENTS if trouble else 0)]
    others, count = owner, 0
    while now() < began + 15:
        others.ask("reports", f"{1000 + count % 50:016x}", 5000)
        count += 1
        await asyncio.sleep(max(0, began + count / RATE - now()))
    for each in silent:
        each.cancel()
    await asyncio.sleep(8)
    breaches = []
    for each in owner.asked.values():
        machine = platform.machine_of(each.task)
        if each.over and machine is not None:
            when, kind, cause = each.over[0]
            breaches.append(
                f"{each.task}: its owner got a {kind}, cause {cause}, after {when - began:.1f} s;"
                f" it stands at {machine.name}, which was never silent"
            )
    return breaches + [f"no single answer in time: {text}" for text in unanswered(platform.owners)]


async def say_nothing(platform: Platform) -> None:
    """A client that connects, says nothing, and connects again once it is closed."""
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*platform.address)
            await reader.read(1)
        except OSError:
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        await asyncio.sleep(0.1)


run_case(
    Path(__file__).parent,
    play,
    machines=160,
    sockets=256,
)
