"""A new configuration moves discovery; at the new address it is crowded and answers each call after 1.8 s."""

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
    SLACK_S,
    TROUBLE,
    Journal,
    Machines,
    Record,
    Scheduler,
    event,
    front,
    play,
    wait_for,
)

CALL_S = 1.8  # from a call to the first line of its answer
TOLD_S = 4.0  # "what the journal service has to tell counts as told 4 s after SIGHUP"
GRACE_S = 0.5  # drain-grace-ns of the settings
LIFE_S = 3.0  # of a task
DRAIN_S = 6.0  # from the drain, as it counts as told, to the end of the machine's process
WATCH_S = 6.0  # after that


def case(record: Record, started: list[Any]) -> tuple[int, str]:
    machines = Machines(record, 4)
    started.append(machines)
    old = Journal(record, "old journal", 1)
    new = Journal(record, "new journal", 1, delay_s=CALL_S if TROUBLE else 0.0)
    scheduler = Scheduler(record, machines, old.address)
    started.append(scheduler)
    owner = front(record, scheduler)
    asked: list[tuple[float, str]] = []
    stopped: list[str] = []

    def serve(until: float) -> None:
        """Ten tasks a second, each of which runs for some seconds."""
        while time.time() < until:
            number = len(asked)
            asked.append((time.time(), owner.setup("billing", f"key-{number}", f"s{number % 8}")))
            for at, task in asked:
                gone = not machines.runs(task) or machines.where(task) in stopped
                if time.time() > at + LIFE_S and not gone:
                    machines.end(task)
            time.sleep(0.1)

    serve(time.time() + 3.0)
    record("the configuration names the new journal service")
    scheduler.write_config(journal=new.address)
    moved_at = time.time()
    scheduler.signal(signal.SIGHUP)
    old.move_away()
    serve(moved_at + 0.5)
    record("m0 drains: the new journal service has event 2")
    new.events.append(event(2, [machines.row("m0", "draining")]))
    serve(moved_at + TOLD_S + DRAIN_S)
    stopped.append("m0")
    there = [task for _, task in asked if machines.runs(task) and machines.where(task) == "m0"]
    machines.stop("m0")
    new.events.append(event(3, [machines.row("m0", "gone")]))
    serve(moved_at + TOLD_S + DRAIN_S + WATCH_S)
    wait_for(lambda: scheduler.child.poll() is None, 1, "the scheduler")
    limit = moved_at + TOLD_S + GRACE_S + SLACK_S
    late = {row["task"]: row["at"] for row in machines.find("setup", machine="m0") if row["at"] > limit}
    if late:
        lost = [task for task in there if task in late and owner.find("answer", task)]
        after = max(late.values()) - moved_at - TOLD_S
        return BROKEN, (
            f"BROKEN: {len(late)} set-ups came to m0 later than {GRACE_S} s after its drain counted as told, "
            f"the last {after:.1f} s after; {len(lost)} of them were answered and then lost with m0"
        )
    last = max((row["at"] for row in machines.find("setup", machine="m0")), default=moved_at)
    return HELD, f"HELD: the last set-up came to m0 {last - moved_at:.2f} s after SIGHUP"


play(Path(__file__).resolve().with_name("record.txt"), case)
