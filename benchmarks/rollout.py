"""Length and cost of updates in emulated time: `python benchmarks/rollout.py`.  Outside CI.

A fleet that takes so many starts at a time; each copy ends and starts within drawn times, cold on a node that
came up lately.  Nothing here is timed but the decisions' own CPU.
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
    """Events by time.  `bad`: a version whose copies end by themselves soon after their start."""

    def __init__(self, slots: int, seed: int, bad: int = -1) -> None:
        self.rollouts = Rollouts(t.RolloutSettings(max_replacing_slots=slots))
        self.random = random.Random(seed)
        self.now, self.bad = 0, bad
        self.tie = counter()
        self.queue: list[tuple[int, int, t.Event]] = []
        self.cpu = 0.0
        self.events = 0
        self.began: dict[int, int] = {}

    def feed(self, event: t.Event) -> None:
        at = time.perf_counter()
        actions = self.rollouts.handle(self.now, event)
        self.cpu += time.perf_counter() - at
        self.events += 1
        for action in actions:
            if isinstance(action, t.StartCopy):
                self.began[action.version] = self.began.get(action.version, 0) + 1
                span = round(START_NS * self.random.uniform(0.7, 1.3))
                node = action.copy % 500
                self.later(span, t.Placed(action.copy, f"n{node}", f"r{node % 20}"))
                if action.version == self.bad:
                    self.later(span + S, t.Ended(action.copy, t.End.DONE))
            elif isinstance(action, t.StopCopy):
                self.later(round(END_NS * self.random.uniform(0.7, 1.3)), t.Ended(action.copy, t.End.DONE))
            elif isinstance(action, t.SetTimer):
                heapq.heappush(self.queue, (action.at_ns, next(self.tie), t.TimerFired()))

    def later(self, span: int, event: t.Event) -> None:
        heapq.heappush(self.queue, (self.now + span, next(self.tie), event))

    def run(self) -> t.ServiceStatus:
        while self.queue:
            self.now, _, event = heapq.heappop(self.queue)
            self.feed(event)
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
            site.feed(t.Declared(rules, 1, limits))
            site.run()
            begun, site.cpu, site.events = site.now, 0.0, 0
            site.feed(t.Declared(rules, 2, limits))
            view = site.run()
            length = (site.now - begun) / S
            best = copies / down * (END_NS + START_NS + HEALTHY_NS) / S
            each = 1e6 * site.cpu / site.events
            print(
                f"{copies:>6} {effect.value:<7} {length:7.1f} s, bound {best:6.1f} s: {best / length:4.0%} "
                f"of the pace; {each:6.1f} us a decision over {site.events} events; {view.new} new"
            )
        failing = Site(copies // 20, 1, bad=2)
        limits = t.Limits(copies // 20, 0, healthy_ns=HEALTHY_NS, failures=5)
        failing.feed(t.Declared(t.ServiceRules("svc", copies, Effect.SAFE), 1, limits))
        failing.run()
        failing.feed(t.Declared(t.ServiceRules("svc", copies, Effect.SAFE), 2, limits))
        view = failing.run()
        print(
            f"{copies:>6} failing version: {view.stage.value} after {failing.began[2]} copies began; "
            f"budget 5 and at most {copies // 20} down"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
