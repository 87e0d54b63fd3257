"""A new configuration moves discovery; at the new address it is crowded and answers each call after 1.8 s."""

from __future__ import annotations

import os
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
WATCH_S = 20.0


def case(record: Record, started: list[Any]) -> tuple[int, str]:
    machines = Machines(record, 4)
    started.append(machines)
    old = Journal(record, "old journal", 1)
    new = Journal(record, "new journal", 1, delay_s=CALL_S if TROUBLE else 0.0)
    scheduler = Scheduler(record, machines, old.address)
    started.append(scheduler)
    owner = front(record, scheduler)
    asked: list[tuple[float, str]] = []

    def serve(span_s: float) -> None:
        """Ten tasks a second, each of which ends after a second."""
        until = time.time() + span_s
        while time.time() < until:
            number = len(asked)
            asked.append((time.time(), owner.setup("orders", f"key-{number}", f"s{number % 8}")))
            for at, task in asked:
                if time.time() > at + 1 and machines.runs(task):
                    machines.end(task)
            time.sleep(0.1)

    serve(3.0)
    record("the configuration names the new journal service")
    scheduler.write_config(journal=new.address)
    moved_at = time.time()
    scheduler.signal(signal.SIGHUP)
    old.move_away()
    serve(0.5)
    record("m0 drains: the new journal service has event 2")
    new.events.append(event(2, [machines.row("m0", "draining")]))
    serve(WATCH_S)
    limit = moved_at + TOLD_S + GRACE_S + SLACK_S
    late = [row for row in machines.find("setup", machine="m0") if row["at"] > limit]
    wait_for(lambda: scheduler.child.poll() is None, 1, "the scheduler")
    if late:
        return BROKEN, (
            f"BROKEN: {len(late)} set-ups came to m0 later than {GRACE_S} s after it was told as draining, "
            f"the last {late[-1]['at'] - moved_at - TOLD_S:.1f} s after that"
        )
    last = max((row["at"] for row in machines.find("setup", machine="m0")), default=moved_at)
    return HELD, f"HELD: the last set-up came to m0 {last - moved_at:.2f} s after SIGHUP"


play(os.path.dirname(os.path.abspath(__file__)), case)
