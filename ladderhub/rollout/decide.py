"""The rollout decisions: how each event changes the state.

The types are in `types.py`.  `CopyState` lists the states of a copy, `SlotKind` in `service.py` the kinds of
slots, and `progress.py` decides what may be done next.

A service has `count` slots; a slot holds the copies that may be alive for it.  Every change classifies the
slot again, and the next steps are derived from the kinds of all slots.  No plan is stored, so a copy lost to
other causes, a second update or a restart need no special cases.
"""

from __future__ import annotations

from ladderhub.rollout import types as t
from ladderhub.rollout.checks import find_error
from ladderhub.rollout.progress import Progress
from ladderhub.rollout.service import Service
from ladderhub.rollout.start_limiter import StartLimiter
from ladderhub.rollout.state import RolloutState, TimerKind
from ladderhub.rollout.status import iter_wait_reasons
from ladderhub.rollout.types import CopyState

_PLACED_STATES = (CopyState.RUNNING, CopyState.HEALTHY, CopyState.UNREACHABLE)


class Rollouts:
    """Makes the decisions for all services of one scheduler.  Events and actions are processed in order."""

    def __init__(self, settings: t.RolloutSettings) -> None:
        self._state = RolloutState(settings)
        self._progress = Progress(self._state)
        self._next_timer_ns = -1  # the earliest timer that is set; -1: none

    @property
    def settings(self) -> t.RolloutSettings:
        """The current settings."""
        return self._state.settings

    @property
    def services(self) -> dict[str, Service]:
        """All services by name."""
        return self._state.services

    @property
    def start_limiter(self) -> StartLimiter:
        """The limiter of concurrent starts, shared by all services."""
        return self._state.start_limiter

    # --- queries --------------------------------------------------------------------------------------------

    def check(self, event: t.Event) -> str:
        """Why the event must be refused, naming the field; "" if it is valid.  Changes nothing."""
        return find_error(event, self._state.services)

    def get_status(self, now_ns: int, name: str) -> t.ServiceStatus:
        """The status of one service; KeyError if it is not known."""
        service = self._state.services[name]
        service.drop_old_failures(now_ns)
        new = sum(service.slots[index].has_healthy(service.version) for index in service.healthy)
        return t.ServiceStatus(
            service=name,
            count=service.rules.count,
            version=service.version,
            previous=service.previous,
            stage=service.stage,
            new=new,
            old=len(service.healthy) - new,
            down=service.count_unhealthy(),
            alive=service.alive,
            wait_reasons=tuple(
                iter_wait_reasons(
                    now_ns, service, self._state.start_limiter, self._progress.is_shared_budget_spent()
                )
            ),
            failures=len(service.failure_times_ns),
            window=int(self._state.start_limiter.window),
        )

    def get_mean_start_ns(self) -> int:
        """Mean duration of recent starts; 0 before the first start."""
        return round(self._state.start_limiter.mean_start_ns)

    def get_copies(self, name: str) -> list[t.Copy]:
        """All copies of a service that may be alive, by slot."""
        return [copy for slot in self._state.services[name].slots for copy in slot.copies]

    # --- events ---------------------------------------------------------------------------------------------

    def handle(self, now_ns: int, event: t.Event) -> list[t.Action]:
        """Process one event and return the resulting actions; ValueError if `check` refuses the event."""
        self._state.actions = []
        error = self.check(event)
        if error:
            raise ValueError(error)
        self._on_event(now_ns, event)
        self._run_timers(now_ns)
        self._progress.advance(now_ns)
        self._set_next_timer()
        return self._state.actions

    def _set_next_timer(self) -> None:
        at_ns = self._state.get_next_timer_ns()
        if at_ns is not None and (self._next_timer_ns < 0 or at_ns < self._next_timer_ns):
            self._next_timer_ns = at_ns
            self._state.actions.append(t.SetTimer(at_ns))

    def _on_event(self, now: int, event: t.Event) -> None:
        match event:
            case t.Declared():
                self._on_declared(event)
            case t.Restored():
                self._on_restored(event)
            case t.RunFound():
                self._on_found(now, event)
            case t.AllNodesReported():
                for service in self._state.services.values():
                    service.awaits_node_reports = False
            case t.Pause():
                self._state.pause(self._state.services[event.service], "by its operator")
            case t.Resume():
                self._on_resume(self._state.services[event.service])
            case t.Abort():
                self._on_abort(self._state.services[event.service])
            case t.Removed():
                self._on_removed(now, self._state.services[event.service])
            case t.NodeGone():
                self._on_node_gone(event.node)
            case t.NodeBack():
                self._on_node_back(now, event.node)
            case t.SettingsChanged():
                self._state.settings = event.settings
            case t.TimerFired():
                self._next_timer_ns = -1
            case _:
                self._on_copy_event(now, event)

    def _on_declared(self, event: t.Declared) -> None:
        service = self._state.services.get(event.rules.name)
        if service is None:
            service = Service(event.rules, event.version, event.limits)
            self._state.services[event.rules.name] = service
            self._state.log(service, "declared", f"{event.rules.count} copies of version {event.version}")
        elif service.stage is not t.Stage.OVER and event.if_busy is t.IfBusy.QUEUE:
            service.queued = (event.version, event.limits)
            text = f"version {event.version} follows the update that is under way"
            self._state.log(service, "queued", text)
        else:
            service.grow(event.rules)
            self._state.begin_update(service, event.version, event.limits)
        self._state.persist(service)

    def _on_restored(self, event: t.Restored) -> None:
        service = Service(event.rules, event.version, event.limits)
        service.previous, service.queued = event.previous, event.queued
        service.stage, service.pause_reason = event.stage, event.pause_reason
        service.awaits_node_reports = True
        self._state.services[event.rules.name] = service

    def _on_found(self, now: int, event: t.RunFound) -> None:
        service = self._state.services.get(event.service)
        if service is None or event.copy in self._state.copies:
            return
        self._state.next_copy = max(self._state.next_copy, event.copy + 1)
        has_slot = event.slot < service.rules.count
        slot = service.slots[event.slot if has_slot else 0]
        copy = t.Copy(
            number=event.copy,
            slot=slot.index,
            version=event.version,
            state=CopyState.RUNNING,
            requested_ns=now,
            node=event.node,
            rack=event.rack,
            placed_ns=now,
        )
        self._state.add_copy(service, copy)
        slot.last_healthy_version = event.version
        if not has_slot:
            self._state.stop_copy(now, service, copy)
        self._state.set_timer(now + service.limits.healthy_ns, TimerKind.HEALTHY, service, event.copy)

    def _on_resume(self, service: Service) -> None:
        service.stage, service.pause_reason = t.Stage.GOING, ""
        service.clear_failures()
        self._state.log(service, "resumed", "")
        self._state.persist(service)

    def _on_abort(self, service: Service) -> None:
        failing = service.version
        service.queued = None
        self._state.begin_update(service, service.previous, service.limits)
        service.previous = failing
        self._state.log(service, "aborted", f"back from {failing} to {service.version}")
        self._state.persist(service)

    def _on_removed(self, now: int, service: Service) -> None:
        service.removed, service.queued = True, None
        for slot in service.slots:
            for copy in list(slot.copies):
                self._state.stop_copy(now, service, copy)
        self._state.persist(service)
        self._state.delete_if_removed(service)

    def _on_node_gone(self, node: str) -> None:
        for service, copy in list(self._state.copies.values()):
            if copy.node == node and copy.state in (CopyState.RUNNING, CopyState.HEALTHY):
                self._state.transition(service, copy, CopyState.UNREACHABLE)

    def _on_node_back(self, now: int, node: str) -> None:
        for service, copy in list(self._state.copies.values()):
            if copy.node == node and copy.state is CopyState.UNREACHABLE:
                self._state.set_running(now, service, copy)

    # --- copies ---------------------------------------------------------------------------------------------

    def _on_copy_event(self, now: int, event: t.Event) -> None:
        assert isinstance(event, t.Placed | t.Unplaced | t.Ended | t.EndConfirmed)
        entry = self._state.copies.get(event.copy)
        if entry is None:
            return
        service, copy = entry
        match event:
            case t.Placed():
                self._on_placed(now, service, copy, event)
            case t.Unplaced():
                if copy.state in _PLACED_STATES:
                    copy.requested_ns = now
                    self._state.transition(service, copy, CopyState.PENDING)
            case t.Ended():
                self._on_ended(now, service, copy, event)
            case t.EndConfirmed():
                if copy.state is CopyState.UNKNOWN:
                    self._state.transition(service, copy, CopyState.ENDED)
        self._state.delete_if_removed(service)

    def _on_placed(self, now: int, service: Service, copy: t.Copy, event: t.Placed) -> None:
        copy.node, copy.rack = event.node, event.rack
        if copy.state is CopyState.PENDING:
            self._state.start_limiter.on_started(now, now - copy.requested_ns)
            self._state.set_running(now, service, copy)

    def _on_ended(self, now: int, service: Service, copy: t.Copy, event: t.Ended) -> None:
        if copy.state in (CopyState.UNKNOWN, CopyState.ENDED):
            return
        unexpected = copy.state is not CopyState.STOPPING
        if copy.state is CopyState.PENDING and event.end is not t.End.DONE:
            self._state.start_limiter.on_pressure(now)
        if unexpected:
            self._back_off(now, service, service.slots[copy.slot])
        self._state.transition(service, copy, CopyState.ENDED if event.confirmed else CopyState.UNKNOWN)
        is_new = copy.version == service.version and service.stage is t.Stage.GOING
        if unexpected and event.end is t.End.DONE and is_new:
            self._on_copy_failed(now, service, copy)

    def _back_off(self, now: int, service: Service, slot: t.Slot) -> None:
        """Delay the next copy of a slot whose copy ended; the delay doubles each time."""
        min_ns, max_ns = self._state.settings.min_backoff_ns, self._state.settings.max_backoff_ns
        slot.backoff_ns = min(max_ns, 2 * slot.backoff_ns) if slot.backoff_ns else min_ns
        slot.not_before_ns = now + slot.backoff_ns
        self._state.set_timer(slot.not_before_ns, TimerKind.BACKOFF, service, slot.index)

    def _on_copy_failed(self, now: int, service: Service, copy: t.Copy) -> None:
        """Count a copy of the new version that ended by itself; pause the update if there are too many."""
        service.failure_times_ns.append(now)
        service.drop_old_failures(now)
        limits, failed = service.limits, len(service.failure_times_ns)
        started = max(len(service.start_times_ns), failed)
        node = copy.node or "no node"
        self._state.log(service, "failed", f"slot {copy.slot}: version {copy.version} ended at {node}")
        if failed >= limits.failures or (failed > 1 and failed / started > limits.failed_share):
            window_s = limits.window_ns / t.SECOND_NS
            self._state.pause(service, f"{failed} of {started} new copies failed within {window_s:g} s")

    # --- time -----------------------------------------------------------------------------------------------

    def _run_timers(self, now: int) -> None:
        while (timer := self._state.pop_due_timer(now)) is not None:
            service = self._state.services.get(timer.service)
            if service is None:
                continue
            if timer.kind is TimerKind.HEALTHY:
                self._check_health(now, service, timer.number)
            elif timer.kind is TimerKind.BACKOFF and timer.number < len(service.slots):
                self._end_backoff(now, service, service.slots[timer.number])

    def _check_health(self, now: int, service: Service, number: int) -> None:
        entry = self._state.copies.get(number)
        if entry is None or entry[1].state is not CopyState.RUNNING:
            return
        copy = entry[1]
        if now - copy.placed_ns >= service.limits.healthy_ns:
            self._state.transition(service, copy, CopyState.HEALTHY)
        else:  # it was placed again, or the limits changed
            healthy_at_ns = copy.placed_ns + service.limits.healthy_ns
            self._state.set_timer(healthy_at_ns, TimerKind.HEALTHY, service, number)

    def _end_backoff(self, now: int, service: Service, slot: t.Slot) -> None:
        if now >= slot.not_before_ns:
            slot.not_before_ns = 0
            service.reclassify(slot)
