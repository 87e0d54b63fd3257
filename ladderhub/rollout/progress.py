"""The next steps: fill empty slots, replace old copies within all limits, end updates."""

from __future__ import annotations

from ladderhub.interface import Effect
from ladderhub.rollout import types as t
from ladderhub.rollout.service import Service, SlotKind
from ladderhub.rollout.state import RolloutState, TimerKind


class Progress:
    """Advances all updates as far as their limits, the start limiter and the shared budget allow."""

    def __init__(self, state: RolloutState) -> None:
        self._state = state
        self._grant_count = 0

    def advance(self, now: int) -> None:
        """Take all steps that are possible now."""
        for service in list(self._state.services.values()):
            if not service.awaits_node_reports and not service.removed:
                self._maintain(now, service)
        while not self.is_shared_budget_spent():
            ready = [service for service in self._state.services.values() if self._may_replace(service)]
            if not ready:
                return
            self._grant_count += 1
            waited_longest = min(ready, key=lambda service: service.last_grant)
            highest_priority = max(ready, key=lambda service: (service.limits.priority, -service.last_grant))
            service = (
                waited_longest
                if self._grant_count % self._state.settings.longest_wait_every == 0
                else highest_priority
            )
            service.last_grant = self._grant_count
            self._replace(now, service)

    def is_shared_budget_spent(self) -> bool:
        """Whether as many slots are in replacement as all updates together may have."""
        active = [service for service in self._state.services.values() if service.stage is t.Stage.GOING]
        return sum(len(service.replacing) for service in active) >= self._state.settings.max_replacing_slots

    def _maintain(self, now: int, service: Service) -> None:
        """Take the steps that need no grant: stop surged old copies, fill empty slots, end the update."""
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
        """Stop old copies beside a healthy new one."""
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
        """Begin the next wave once the last one is done and the spacing has passed."""
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
        """Start a copy in the slot; while an update is paused, of the version that was last healthy there."""
        if service.stage is not t.Stage.PAUSED:
            self._state.start_copy(now, service, slot, service.version)
        elif slot.last_healthy_version >= 0:
            self._state.start_copy(now, service, slot, slot.last_healthy_version)

    def _start_beside_terminating(self, now: int, service: Service) -> None:
        """Start the new copies of slots whose old copy was told to stop and has not been reported as ended.

        Such copies may overlap: safe ones within the surplus, keyed ones after the dedupe window."""
        for index in list(service.by_kind[SlotKind.TERMINATING]):
            if not self._may_start(service):
                return
            slot = service.slots[index]
            last_stop_ns = max(copy.stopped_ns for copy in slot.copies)
            if service.rules.effect is Effect.KEYED and now < last_stop_ns + service.rules.dedupe_window_ns:
                continue
            self._fill_slot(now, service, slot)

    def _may_replace(self, service: Service) -> bool:
        """Whether one more slot of this service may be taken into replacement."""
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
        """Take one slot into replacement: start a new copy beside the old one if copies may overlap, or else
        stop the old one first."""
        # The rack with the most old copies comes first: racks shrink evenly, and none is emptied at once.
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
