"""Shared state of the rollout decisions: services, copies and timers, and the operations on them."""

from __future__ import annotations

import heapq
from enum import Enum
from typing import NamedTuple

from ladderhub.interface import Effect
from ladderhub.rollout import types as t
from ladderhub.rollout.service import Service
from ladderhub.rollout.start_limiter import StartLimiter
from ladderhub.rollout.types import CopyState


class TimerKind(Enum):
    """What happens when a timer is due."""

    HEALTHY = "a copy may have run for long enough"
    BACKOFF = "a slot may be filled again"
    WAVE = "the next wave may begin"
    DEDUPE_WINDOW = "repeats of a stopped copy are discarded no longer"


class Timer(NamedTuple):
    """A timer, ordered by time, then by when it was set; `number` is that of a slot or a copy."""

    at_ns: int
    sequence: int
    kind: TimerKind
    service: str
    number: int


class RolloutState:
    """All services of one scheduler.  Operations append the actions that they require to `actions`."""

    def __init__(self, settings: t.RolloutSettings) -> None:
        self.settings = settings
        self.services: dict[str, Service] = {}
        self.copies: dict[int, tuple[Service, t.Copy]] = {}  # copies that may be alive, by number
        self.start_limiter = StartLimiter()
        self.actions: list[t.Action] = []
        self.next_copy = 1
        self._timers: list[Timer] = []  # a heap
        self._timer_count = 0

    # --- services -------------------------------------------------------------------------------------------

    def begin_update(self, service: Service, version: int, limits: t.Limits) -> None:
        """Begin an update of the service to this version, and log it."""
        service.begin_update(version, limits)
        self.log(service, "begins", f"version {version} in place of {service.previous}")

    def pause(self, service: Service, reason: str) -> None:
        """Pause the update of the service."""
        service.stage, service.pause_reason = t.Stage.PAUSED, reason
        service.reclassify_all()
        self.log(service, "paused", reason)
        self.persist(service)

    def delete_if_removed(self, service: Service) -> None:
        """Delete the service if it was removed and none of its copies is alive."""
        if service.removed and not service.alive:
            del self.services[service.rules.name]
            self.log(service, "removed", "no copy is alive")
            self.persist(service)

    def log(self, service: Service, what: str, text: str) -> None:
        """Have a log line about the service written."""
        self.actions.append(t.Log(service.rules.name, what, text))

    def persist(self, service: Service) -> None:
        """Have the declared state of the service stored, after a change to it."""
        self.actions.append(t.Persist(service.rules.name))

    # --- copies ---------------------------------------------------------------------------------------------

    def add_copy(self, service: Service, copy: t.Copy) -> None:
        """Add a copy to its slot."""
        slot = service.slots[copy.slot]
        slot.copies.append(copy)
        service.alive += 1
        self.start_limiter.pending += copy.state is CopyState.PENDING
        self.copies[copy.number] = (service, copy)
        service.reclassify(slot)

    def transition(self, service: Service, copy: t.Copy, state: CopyState) -> None:
        """Change the state of a copy; nothing else does."""
        if not copy.state.may_become(state):
            raise RuntimeError(
                f"copy {copy.number}: invalid transition from {copy.state.value} to {state.value}"
            )
        self.start_limiter.pending += (state is CopyState.PENDING) - (copy.state is CopyState.PENDING)
        copy.state = state
        slot = service.slots[copy.slot]
        if state is CopyState.ENDED:
            slot.copies.remove(copy)
            service.alive -= 1
            del self.copies[copy.number]
        if state is CopyState.HEALTHY:
            slot.last_healthy_version, slot.backoff_ns = copy.version, 0
        service.reclassify(slot)

    def set_running(self, now: int, service: Service, copy: t.Copy) -> None:
        """Mark the copy as running from now on; a timer is set for the time when it may be healthy."""
        copy.placed_ns = now
        self.transition(service, copy, CopyState.RUNNING)
        self.set_timer(now + service.limits.healthy_ns, TimerKind.HEALTHY, service, copy.number)

    def start_copy(self, now: int, service: Service, slot: t.Slot, version: int) -> None:
        """Request a new copy for the slot."""
        copy = t.Copy(self.next_copy, slot.index, version, CopyState.PENDING, now)
        self.next_copy += 1
        if version == service.version and service.stage is t.Stage.GOING:
            service.start_times_ns.append(now)
        self.add_copy(service, copy)
        self.actions.append(t.StartCopy(copy.number, service.rules.name, slot.index, version))

    def stop_copy(self, now: int, service: Service, copy: t.Copy) -> None:
        """Stop the copy unless it was told to stop before or its job is over."""
        if copy.state in (CopyState.STOPPING, CopyState.UNKNOWN):
            return
        copy.stopped_ns = now
        self.transition(service, copy, CopyState.STOPPING)
        self.actions.append(t.StopCopy(copy.number))
        if service.rules.effect is Effect.KEYED:
            self.set_timer(now + service.rules.dedupe_window_ns, TimerKind.DEDUPE_WINDOW, service, copy.slot)

    # --- time -----------------------------------------------------------------------------------------------

    def set_timer(self, at_ns: int, kind: TimerKind, service: Service, number: int) -> None:
        """Set a timer for a slot or a copy of the service."""
        self._timer_count += 1
        heapq.heappush(self._timers, Timer(at_ns, self._timer_count, kind, service.rules.name, number))

    def get_next_timer_ns(self) -> int | None:
        """When the earliest timer is due; None if there is none."""
        return self._timers[0].at_ns if self._timers else None

    def pop_due_timer(self, now: int) -> Timer | None:
        """Remove and return the earliest timer if it is due."""
        if self._timers and self._timers[0].at_ns <= now:
            return heapq.heappop(self._timers)
        return None
