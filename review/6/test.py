"""A planned restart while owners stop their services: what the scheduler confirmed as ended runs on."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from bed import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Journal,
    Machines,
    NotRun,
    Record,
    Scheduler,
    front,
    play,
    wait_for,
)

MACHINES, SOCKETS = 400, 256  # the pages: 400 machines, "256 to 1,024 descriptors"
TASKS = 480
STOPPED = 0.5  # "owners stop 10 to 58% of the services and ask for all their tasks again"
# After SIGTERM; the pages: for 0.4 to 0.6 s requests keep coming on open connections.
ENDS_S, LATEST_S = 0.4, 0.6
AGAIN_S = 10.0  # when the owners ask again; the pages: 0.75 to 2.7 s
WATCH_S = 8.0
KILL_S = (
    0.7 + 3.0
)  # "SIGKILL arrives no sooner than the longest deadline (3 s at most) plus 0.7 s after SIGTERM"


def case(record: Record, started: list[Any]) -> tuple[int, str]:
    machines = Machines(record, MACHINES, per_process=MACHINES)
    started.append(machines)
    journal = Journal(record, "journal", 1)
    scheduler = Scheduler(record, machines, journal.address, sockets=SOCKETS)
    started.append(scheduler)
    owner = front(record, scheduler)
    keys: dict[str, str] = {}  # by task
    for number in range(TASKS):
        key = f"key-{number}"
        keys[owner.setup("billing", key, f"b{number}", cores=60, memory=1)] = key
        time.sleep(0.01)
    wait_for(lambda: all(owner.find("answer", t) or owner.find("release", t) for t in keys), 10, "answers")
    standing = [task for task in keys if owner.find("answer", task)]
    record(f"{len(standing)} tasks stand on {len({machines.where(task) for task in standing})} machines")
    for _ in range(8):
        owner.ping()
        time.sleep(0.5)
    stopped_at = time.time()
    if TROUBLE:
        scheduler.signal(signal.SIGTERM)
    ended = standing[: round(len(standing) * STOPPED)]
    for number, task in enumerate(ended):
        time.sleep(max(0.0, stopped_at + ENDS_S * number / len(ended) - time.time()))
        owner.release(task, 31)
    if TROUBLE and time.time() > stopped_at + LATEST_S:
        raise NotRun("the last end left too late")
    if TROUBLE:
        wait_for(lambda: scheduler.child.poll() is not None, KILL_S + 2, "the end of the scheduler")
        record(f"the scheduler ended {time.time() - stopped_at:.2f} s after SIGTERM")
        if scheduler.child.returncode:
            return NOT_RUN, f"the scheduler ended with status {scheduler.child.returncode}"
    else:
        wait_for(lambda: all(owner.find("released", task) for task in ended), 5, "the confirmations")
    confirmed = [task for task in ended if owner.find("released", task)]
    record(f"ended by their owners: {len(ended)}, confirmed by the scheduler: {len(confirmed)}")
    if TROUBLE:
        scheduler.start()
        owner = front(record, scheduler)
        for task in standing:
            if task not in confirmed:
                owner.setup("billing", keys[task], f"b{keys[task][4:]}", task, machines.where(task), cores=60,
                            memory=1)  # fmt: skip
    while time.time() < stopped_at + AGAIN_S:
        owner.ping()
        time.sleep(0.5)
    again = {owner.setup("billing", keys[t], f"b{keys[t][4:]}", cores=60, memory=1): t for t in confirmed}
    until = time.time() + WATCH_S
    while time.time() < until:
        owner.ping()
        time.sleep(0.5)
    twice = [old for new, old in again.items() if machines.runs(new) and machines.runs(old)]
    if twice:
        return BROKEN, (
            f"BROKEN: {len(twice)} unsafe tasks run twice: their owners ended them, the scheduler confirmed "
            f"that, and {WATCH_S + AGAIN_S:.0f} s later the first copies still run, as of {keys[twice[0]]}"
        )
    if len(confirmed) < len(ended):
        return NOT_RUN, "the case could not run: the scheduler did not confirm all ends"
    return HELD, f"HELD: {len(confirmed)} tasks were ended by their owners, none runs twice"


play(Path(__file__).resolve().with_name("record.txt"), case)
