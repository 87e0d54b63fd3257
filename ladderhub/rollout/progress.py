"""What may be done now: empty slots filled, old copies replaced within all limits, updates ended."""

from __future__ import annotations

from ladderhub.interface import Effect
from ladderhub.rollout import types as t
from ladderhub.rollout.service import Service, SlotKind
from ladderhub.rollout.state import RolloutState, TimerKind


class Progress:
    """Carries all updates on as far as limits, pace and the shared budget let them."""

    def __init__(self, state: RolloutState) -> None:
        self._state = state
        self._grant_count = 0

    def advance(self, now: int) -> None:
        for service in list(self._state.services.values()):
            if not service.awaits_node_reports and not service.removed:
                self._maintain(now, service)
        while not self.is_shared_budget_spent():
            ready = [service for service in self._state.services.values() if self._may_replace(service)]
            if not ready:
                return
            self._grant_count += 1
            waited_longest = min(ready, key=lambda service: service.last_grant)
            first = max(ready, key=lambda service: (service.limits.priority, -service.last_grant))
            service = (
                waited_longest if self._grant_count % self._state.settings.longest_wait_every == 0 else first
            )
            service.last_grant = self._grant_count
            self._replace(now, service)

    def is_shared_budget_spent(self) -> bool:
        """Are as many slots in replacement as all updates together may have?"""
        going = [service for service in self._state.services.values() if service.stage is t.Stage.GOING]
        return sum(len(service.replacing) for service in going) >= self._state.settings.max_replacing_slots

    def _maintain(self, now: int, service: Service) -> None:
        """What needs no grant: the old beside the healthy new, empty slots, the end of the update."""
        if service.stage is not t.Stage.PAUSED:
            self._stop_surged(now, service)
        for index in list(service.by_kind[SlotKind.EMPTY]):
            if not self._may_start(service):
                break
            self._fill_slot(now, service, service.slots[index])
        if service.rules.effect is not Effect.UNSAFE:
            self._start_beside_terminating(now, service)
        if service.stage is t.Stage.GOING and len(service.by_kind[SlotKind.UPDATED]) == service.rules.count:
            self._finish_update(service)
        if service.stage is t.Stage.GOING and service.limits.wave:
            self._begin_wave(now, service)

    def _stop_surged(self, now: int, service: Service) -> None:
        """Stop the old copies beside a new healthy one."""
        for index in list(service.by_kind[SlotKind.SURGED]):
            slot = service.slots[index]
            kept = next(copy for copy in slot.copies if copy.is_healthy(service.version))
            for copy in [copy for copy in slot.copies if copy is not kept]:
                self._state.stop_copy(now, service, copy)

    def _finish_update(self, service: Service) -> None:
        service.stage, service.pause_reason = t.Stage.OVER, ""
        self._state.log(
            service, "over", f"{service.rules.count} copies of version {service.version} are healthy"
        )
        if service.queued is not None:
            version, limits = service.queued
            service.queued = None
            self._state.begin_update(service, version, limits)
        self._state.persist(service)

    def _begin_wave(self, now: int, service: Service) -> None:
        """Once a wave is done and the spacing is over, the next one begins."""
        if service.wave_left or service.replacing:
            return
        if not service.next_wave_ns:
            service.next_wave_ns = now + service.limits.spacing_ns
            self._state.set_timer(service.next_wave_ns, TimerKind.WAVE, service, 0)
        if now >= service.next_wave_ns:
            service.wave_left, service.next_wave_ns = service.limits.wave, 0

    def _may_start(self, service: Service) -> bool:
        return service.alive < service.compute_max_alive() and self._state.start_limiter.may_start(0)

    def _fill_slot(self, now: int, service: Service, slot: t.Slot) -> None:
        """A copy for a slot that lacks one: while an update is paused, of what last ran well there."""
        if service.stage is not t.Stage.PAUSED:
            self._state.start_copy(now, service, slot, service.version)
        elif slot.last_healthy_version >= 0:
            self._state.start_copy(now, service, slot, slot.last_healthy_version)

    def _start_beside_terminating(self, now: int, service: Service) -> None:
        """A slot whose old copy is told to end, and has not said that it did, gets its new one where copies
        may overlap: safe ones within the surplus, keyed ones after the time in which repeats are
        discarded."""
        for index in list(service.by_kind[SlotKind.TERMINATING]):
            if not self._may_start(service):
                return
            slot = service.slots[index]
            last_stop_ns = max(copy.stopped_ns for copy in slot.copies)
            if service.rules.effect is Effect.KEYED and now < last_stop_ns + service.rules.dedupe_window_ns:
                continue
            self._fill_slot(now, service, slot)

    def _may_replace(self, service: Service) -> bool:
        """May one more slot of this service be taken into replacement?"""
        if service.stage is not t.Stage.GOING or service.awaits_node_reports or service.removed:
            return False
        if service.limits.wave and not service.wave_left:
            return False
        if len(service.replacing) >= service.compute_max_replacing():
            return False
        if service.by_kind[SlotKind.UNPLACED]:
            return True
        if not service.replaceable or not service.limits_allow_replacement():
            return False
        return self._state.start_limiter.may_start(len(service.by_kind[SlotKind.TERMINATING]))

    def _replace(self, now: int, service: Service) -> None:
        """Take one slot into replacement: a new copy beside the old where that may be, else the old one ends
        first."""
        # Danger: a rack of the service emptied in one go.  The fullest goes first, so all shrink alike.
        candidates = service.by_kind[SlotKind.UNPLACED] or max(service.replaceable.values(), key=len)
        slot = service.slots[next(iter(candidates))]
        unplaced = service.kind_of[slot.index] is SlotKind.UNPLACED
        if not unplaced and service.may_surge():
            self._state.start_copy(now, service, slot, service.version)
        else:
            for copy in list(slot.copies):
                self._state.stop_copy(now, service, copy)
        service.replacing[slot.index] = None
        service.wave_left -= service.limits.wave > 0
