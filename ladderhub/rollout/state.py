"""What the rollout decisions share: services, copies, timers, and the changes that may be made to them."""

from __future__ import annotations

import heapq
from enum import Enum
from typing import NamedTuple

from ladderhub.interface import Effect
from ladderhub.rollout import types as t
from ladderhub.rollout.pace import StartPace
from ladderhub.rollout.service import Service
from ladderhub.rollout.types import CopyState


class TimerKind(Enum):
    """What comes due."""

    HEALTHY = "a copy may have run for long enough"
    BACKOFF = "a slot may be filled again"
    WAVE = "the next wave may begin"
    REPEATS = "repeats of a stopped copy are discarded no longer"


class Timer(NamedTuple):
    """In order of time, then of setting; `number` is a slot's or a copy's."""

    at_ns: int
    order: int
    kind: TimerKind
    service: str
    number: int


class RolloutState:
    """All services of one scheduler.  Every change that others must hear of adds to `actions`."""

    def __init__(self, settings: t.RolloutSettings) -> None:
        self.settings = settings
        self.services: dict[str, Service] = {}
        self.copies: dict[int, tuple[Service, t.Copy]] = {}  # those that may be alive, by number
        self.pace = StartPace()
        self.actions: list[t.Action] = []
        self.next_copy = 1
        self._timers: list[Timer] = []  # a heap
        self._timers_set = 0

    # --- services -------------------------------------------------------------------------------------------

    def begin_update(self, service: Service, version: int, limits: t.Limits) -> None:
        service.begin_update(version, limits)
        self.note(service, "begins", f"version {version} in place of {service.previous}")

    def pause(self, service: Service, why: str) -> None:
        service.stage, service.why = t.Stage.PAUSED, why
        service.reclassify_all()
        self.note(service, "paused", why)
        self.keep(service)

    def forget_removed(self, service: Service) -> None:
        if service.removed and not service.alive:
            del self.services[service.rules.name]
            self.note(service, "removed", "no copy is alive")
            self.keep(service)

    def note(self, service: Service, what: str, text: str) -> None:
        self.actions.append(t.Note(service.rules.name, what, text))

    def keep(self, service: Service) -> None:
        """What is declared of the service has changed and must last."""
        self.actions.append(t.Keep(service.rules.name))

    # --- copies ---------------------------------------------------------------------------------------------

    def add(self, service: Service, copy: t.Copy) -> None:
        slot = service.slots[copy.slot]
        slot.copies.append(copy)
        service.alive += 1
        self.pace.pending += copy.state is CopyState.ASKED
        self.copies[copy.number] = (service, copy)
        service.reclassify(slot)

    def transition(self, service: Service, copy: t.Copy, state: CopyState) -> None:
        """The only place where a copy changes its state."""
        if not copy.state.may_become(state):
            raise RuntimeError(f"copy {copy.number}: {copy.state.value} to {state.value}")
        self.pace.pending += (state is CopyState.ASKED) - (copy.state is CopyState.ASKED)
        copy.state = state
        slot = service.slots[copy.slot]
        if state is CopyState.ENDED:
            slot.copies.remove(copy)
            service.alive -= 1
            del self.copies[copy.number]
        if state is CopyState.HEALTHY:
            slot.settled, slot.back_ns = copy.version, 0
        service.reclassify(slot)

    def runs(self, now: int, service: Service, copy: t.Copy) -> None:
        copy.placed_ns = now
        self.transition(service, copy, CopyState.RUNNING)
        self.set_timer(now + service.limits.healthy_ns, TimerKind.HEALTHY, service, copy.number)

    def start(self, now: int, service: Service, slot: t.Slot, version: int) -> None:
        copy = t.Copy(self.next_copy, slot.index, version, CopyState.ASKED, now)
        self.next_copy += 1
        if version == service.version and service.stage is t.Stage.GOING:
            service.tried.append(now)
        self.add(service, copy)
        self.actions.append(t.StartCopy(copy.number, service.rules.name, slot.index, version))

    def stop(self, now: int, service: Service, copy: t.Copy) -> None:
        if copy.state in (CopyState.STOPPING, CopyState.UNKNOWN):
            return
        copy.stopped_ns = now
        self.transition(service, copy, CopyState.STOPPING)
        self.actions.append(t.StopCopy(copy.number))
        if service.rules.effect is Effect.KEYED:
            self.set_timer(now + service.rules.repeat_ns, TimerKind.REPEATS, service, copy.slot)

    # --- time -----------------------------------------------------------------------------------------------

    def set_timer(self, at_ns: int, kind: TimerKind, service: Service, number: int) -> None:
        self._timers_set += 1
        heapq.heappush(self._timers, Timer(at_ns, self._timers_set, kind, service.rules.name, number))

    def next_timer_ns(self) -> int | None:
        return self._timers[0].at_ns if self._timers else None

    def pop_due_timer(self, now: int) -> Timer | None:
        """The earliest timer that is due, taken out."""
        if self._timers and self._timers[0].at_ns <= now:
            return heapq.heappop(self._timers)
        return None
