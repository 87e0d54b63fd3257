"""Duration and processor time of updates in simulated time: `python benchmarks/rollout.py`.  Not run in CI.

The fleet replaces a limited number of copies at a time; each copy takes random times to end and to start.
Only the processor time of the rollout decisions is measured.
"""

from __future__ import annotations

import heapq
import random
import sys
import time
from itertools import count as counter

from ladderhub.interface import Effect
from ladderhub.rollout import Rollouts
from ladderhub.rollout import types as t

S, MS = t.SECOND_NS, 1_000_000
END_NS, START_NS, HEALTHY_NS = 100 * MS, 400 * MS, 5 * S


class Site:
    """A simulated site.  The copies of `bad_version` end by themselves soon after their start."""

    def __init__(self, slots: int, seed: int, bad_version: int = -1) -> None:
        self.rollouts = Rollouts(t.RolloutSettings(max_replacing_slots=slots))
        self.random = random.Random(seed)
        self.now, self.bad_version = 0, bad_version
        self.sequence = counter()
        self.queue: list[tuple[int, int, t.Event]] = []
        self.cpu_s = 0.0
        self.events = 0
        self.start_counts: dict[int, int] = {}

    def handle_event(self, event: t.Event) -> None:
        """Pass an event to the rollouts, measure it, and schedule the results of its actions."""
        at = time.perf_counter()
        actions = self.rollouts.handle(self.now, event)
        self.cpu_s += time.perf_counter() - at
        self.events += 1
        for action in actions:
            if isinstance(action, t.StartCopy):
                self.start_counts[action.version] = self.start_counts.get(action.version, 0) + 1
                span = round(START_NS * self.random.uniform(0.7, 1.3))
                node = action.copy % 500
                self.schedule(span, t.Placed(action.copy, f"n{node}", f"r{node % 20}"))
                if action.version == self.bad_version:
                    self.schedule(span + S, t.Ended(action.copy, t.End.DONE))
            elif isinstance(action, t.StopCopy):
                self.schedule(round(END_NS * self.random.uniform(0.7, 1.3)), t.Ended(action.copy, t.End.DONE))
            elif isinstance(action, t.SetTimer):
                heapq.heappush(self.queue, (action.at_ns, next(self.sequence), t.TimerFired()))

    def schedule(self, span: int, event: t.Event) -> None:
        """Schedule an event after this span in ns."""
        heapq.heappush(self.queue, (self.now + span, next(self.sequence), event))

    def run(self) -> t.ServiceStatus:
        """Run until the update ends; return the status of the service."""
        while self.queue:
            self.now, _, event = heapq.heappop(self.queue)
            self.handle_event(event)
            if self.rollouts.services["svc"].stage is not t.Stage.GOING:
                break
        return self.rollouts.get_status(self.now, "svc")


def main() -> int:
    for copies in (200, 2000, 10_000):
        for effect in (Effect.SAFE, Effect.UNSAFE):
            down = copies // 20
            limits = t.Limits(down, 0, healthy_ns=HEALTHY_NS, failures=5)
            rules = t.ServiceRules("svc", copies, effect)
            site = Site(down, 1)
            site.handle_event(t.Declared(rules, 1, limits))
            site.run()
            begun, site.cpu_s, site.events = site.now, 0.0, 0
            site.handle_event(t.Declared(rules, 2, limits))
            status = site.run()
            length = (site.now - begun) / S
            best = copies / down * (END_NS + START_NS + HEALTHY_NS) / S
            each = 1e6 * site.cpu_s / site.events
            print(
                f"{copies:>6} {effect.value:<7} {length:7.1f} s, bound {best:6.1f} s: {best / length:4.0%} "
                f"of the pace; {each:6.1f} us a decision over {site.events} events; {status.new} new"
            )
        failing = Site(copies // 20, 1, bad_version=2)
        limits = t.Limits(copies // 20, 0, healthy_ns=HEALTHY_NS, failures=5)
        failing.handle_event(t.Declared(t.ServiceRules("svc", copies, Effect.SAFE), 1, limits))
        failing.run()
        failing.handle_event(t.Declared(t.ServiceRules("svc", copies, Effect.SAFE), 2, limits))
        status = failing.run()
        print(
            f"{copies:>6} failing version: {status.stage.value} after "
            f"{failing.start_counts[2]} copies began; budget 5 and at most {copies // 20} down"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
