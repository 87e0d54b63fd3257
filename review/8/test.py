"""A connection to a machine is reset with the end of a task on it; another one to that machine stays up."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from bed import (
    BROKEN,
    HELD,
    SLACK_S,
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
from proxy import Proxy

IDLE_S = 6.0  # the connection that is reset has carried nothing for so long
LIMIT_S = 8.0 + SLACK_S  # "and, if no release could be sent, within 8 s of its end"
WATCH_S = 25.0


def case(record: Record, started: list[Any]) -> tuple[int, str]:
    machines = Machines(record, 4)
    started.append(machines)
    proxies = {name: Proxy(record, machines, name) for name in machines.addresses}
    journal = Journal(record, "journal", 1)
    scheduler = Scheduler(record, machines, journal.address)
    started.append(scheduler)
    owner = front(record, scheduler)
    tasks = [owner.setup("billing", f"key-{number}", "b1") for number in range(16)]
    wait_for(lambda: all(owner.find("answer", task) for task in tasks), 10, "the answers")

    others: list[str] = []

    def go_on(span_s: float) -> None:
        """The front tests the scheduler, and two short tasks a second come and go."""
        until = time.time() + span_s
        while time.time() < until:
            owner.ping()
            others.append(owner.setup("orders", f"short-{len(others)}", "o1"))
            if len(others) > 2 and machines.runs(others[-3]):
                machines.end(others[-3])
            time.sleep(0.5)

    go_on(IDLE_S + 2)
    # A connection that has carried nothing for a while, to a machine to which another one is up.
    for proxy in proxies.values():
        pairs = [pair for pair in proxy.pairs if not pair.over]
        idle = [pair for pair in pairs if time.time() - pair.last_used > IDLE_S and pair.setups]
        if idle and len(pairs) > 1:
            break
    else:
        raise NotRun("no machine has two connections, one of them idle")
    pair, task = idle[0], idle[0].setups[-1]
    record(f"{proxy.name} has {len(pairs)} connections; that of task {task} is idle")
    pair.doomed = TROUBLE
    machines.end(task)
    wait_for(lambda: machines.find("ended", task=task), 5, "the end of the task")
    ended_at = machines.find("ended", task=task)[0]["at"]
    go_on(WATCH_S)
    told = owner.find("release", task)
    again = machines.find("told again", task=task)
    record(f"connections of the scheduler to {proxy.name} since the end: {len(proxy.pairs) - len(pairs)}")
    if not told:
        return BROKEN, (
            f"BROKEN: task {task} ended at {proxy.name} and its owner heard no release for {WATCH_S:.0f} s; "
            f"the machine had {len(again)} new connections to tell it on"
        )
    after = told[0][0] - ended_at
    if after > LIMIT_S:
        return BROKEN, f"BROKEN: the release came {after:.1f} s after the end"
    return HELD, f"HELD: the release came {after:.3f} s after the end"


play(Path(__file__).resolve().with_name("record.txt"), case)
