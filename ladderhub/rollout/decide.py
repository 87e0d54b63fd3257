"""The rollout decisions.  Types stand in `types.py`; `COPIES` lists every state of a copy, `KINDS` every kind
of slot.

A service is so many slots; a slot has the copies that may be alive for it.  Whatever happens, the slot is
classed anew, and what may be done next is read off the classes: nothing is remembered as a plan, so a copy
lost to other causes, a second update or a restart need no cases of their own.
"""

from __future__ import annotations

import heapq
from collections import deque

from ladderhub.interface import Effect
from ladderhub.rollout import types as t

ASKED, RUNNING, HEALTHY, AWAY, STOPPING, DOUBT, OVER = (
    "asked", "running", "healthy", "away", "stopping", "doubt", "over",
)  # fmt: skip
# state -> states it may go to.  `_go` is the one door and checks it.
COPIES = {
    ASKED: {RUNNING, STOPPING, DOUBT, OVER},
    RUNNING: {HEALTHY, AWAY, ASKED, STOPPING, DOUBT, OVER},
    HEALTHY: {AWAY, ASKED, STOPPING, DOUBT, OVER},
    AWAY: {RUNNING, ASKED, STOPPING, DOUBT, OVER},  # its node is gone; it may run there
    STOPPING: {DOUBT, OVER},  # told to end; its node has not said that it has
    DOUBT: {OVER},  # its job is over and it may still be alive
    OVER: set(),
}
# What a slot is, against the version that is wanted:
HOLE, BACK, LEAVING, LAME, OLD, FRESH, SURGED, DONE = KINDS = (
    "hole",  # nothing is alive
    "back",  # nothing is alive, and it is too soon after an end to try again
    "leaving",  # all that may be alive was told to end
    "lame",  # an old copy that is not placed
    "old",  # an old copy that runs
    "fresh",  # a new copy that is not healthy yet
    "surged",  # a new healthy copy beside an old one
    "done",  # a new healthy copy alone
)  # fmt: skip
TRUST = 4  # so many copies of a new version may be tried for each one that is healthy
SLOW = 4.0  # a start that takes so many times the average tells of a fleet that is pressed


class Pace:
    """How many starts may be under way: grows with each start, halves when starts are refused or slow.

    Learned, not set: doubling until the first sign of pressure, by one a round after it."""

    def __init__(self) -> None:
        self.window, self.asked = 2.0, 0
        self._calm = float("inf")  # above this it grows by one a round
        self.mean_ns = 0.0
        self._rest_ns = 0  # signs of the same moment count once

    def started(self, now: int, span_ns: int) -> None:
        if self.mean_ns and span_ns > SLOW * self.mean_ns:
            self.pressed(now)
        else:
            self.window += 1 if self.window < self._calm else 1 / self.window
        self.mean_ns = self.mean_ns + (span_ns - self.mean_ns) / 20 if self.mean_ns else float(span_ns)

    def pressed(self, now: int) -> None:
        if now >= self._rest_ns:
            self.window = self._calm = max(1.0, self.window / 2)
            self._rest_ns = now + round(self.mean_ns)

    def free(self, leaving: int) -> bool:
        """Whether one more may begin, with so many slots whose old copy is on its way out.  Those that give
        no word never take the last place."""
        return self.asked + min(leaving, int(self.window) - 1) < int(self.window)


class Service:
    """One service.  `by_kind` and `racks` are kept in step with the slots by `Rollouts._sort`."""

    def __init__(self, rules: t.ServiceRules, version: int, limits: t.Limits) -> None:
        self.rules, self.version, self.limits = rules, version, limits
        self.previous = -1
        self.stage, self.why = t.Stage.GOING, ""
        self.queued: tuple[int, t.Limits] | None = None
        self.removed = self.frozen = False
        self.slots = [t.Slot(at) for at in range(rules.count)]
        self.by_kind: dict[str, dict[int, None]] = {kind: {} for kind in KINDS}
        self.by_kind[HOLE] = dict.fromkeys(range(rules.count))
        self.kind = [HOLE] * rules.count
        self.racks: dict[str, dict[int, None]] = {}  # healthy old copies that may be replaced, by rack
        self.rack_of: dict[int, str] = {}
        self.healthy: set[int] = set()
        self.alive = 0
        self.taken: dict[int, None] = {}  # slots in replacement
        self.wave_left, self.wave_ns = limits.wave, 0
        self.failed: deque[int] = deque()
        self.tried: deque[int] = deque()
        self.granted = 0

    def down(self) -> int:
        return self.rules.count - len(self.healthy)

    def trusted(self) -> int:
        """How many slots may be in replacement while the version has yet to show that it runs.

        Danger: a version that fails everywhere takes all that the limits allow down at once.  At first twice
        the failure budget is tried, then so many for each healthy copy."""
        shown = len(self.by_kind[DONE]) + len(self.by_kind[SURGED])
        return max(2 * self.limits.failures, TRUST * shown)

    def most_alive(self) -> int:
        return self.rules.count + self.limits.surplus


class Rollouts:
    """Decides for all services of one scheduler.  Feed it events in order; carry out its actions in order."""

    def __init__(self, settings: t.RolloutSettings) -> None:
        self.settings = settings
        self.services: dict[str, Service] = {}
        self.pace = Pace()
        self._copies: dict[int, tuple[Service, t.Copy]] = {}
        self._next = 1
        self._grants = 0
        self._times: list[tuple[int, int, str, str, int]] = []  # moment, tie, what, service, slot or copy
        self._ties = 0
        self._woken = -1  # the earliest wake that is out
        self._out: list[t.Action] = []

    # --- what others may look at ----------------------------------------------------------------------------

    def check(self, event: t.Event) -> str:
        """Why the event can't be taken, naming the field; "" where it can.  Nothing is touched."""
        if isinstance(event, t.Declared):
            return self._check_declared(event)
        if isinstance(event, t.Pause | t.Resume | t.Abort | t.Removed):
            service = self.services.get(event.service)
            if service is None:
                known = ", ".join(self.services) or "none"
                return f"service: found {event.service!r}; one that is declared is meant: {known}"
            if isinstance(event, t.Pause) and service.stage is not t.Stage.GOING:
                return f"{event.service}: no update is going"
            if isinstance(event, t.Resume) and service.stage is not t.Stage.PAUSED:
                return f"{event.service}: no update is paused"
            if isinstance(event, t.Abort) and (service.stage is t.Stage.OVER or service.previous < 0):
                return f"{event.service}: no update is under way that could go back to a version before"
        return ""

    def _check_declared(self, event: t.Declared) -> str:
        rules, limits = event.rules, event.limits
        for name, value, least in (
            ("count", rules.count, 1), ("update.down", limits.down, 0), ("update.surplus", limits.surplus, 0),
            ("update.wave", limits.wave, 0), ("update.failures.number", limits.failures, 1),
            ("update.healthy", limits.healthy_ns, 0), ("update.spacing", limits.spacing_ns, 0),
        ):  # fmt: skip
            if value < least:
                return f"{name}: found {value}; at least {least} is meant"
        if not 0 < limits.failed_share <= 1:
            return f"update.failures.share: found {limits.failed_share:g}; above 0 and at most 1 is meant"
        kind = rules.effect.value
        if rules.effect is Effect.UNSAFE and limits.surplus:
            return f"update.surplus: found {limits.surplus}; 0 is meant: copies of {kind} work never overlap"
        if rules.effect is not Effect.SAFE and not limits.down:
            return f"update.down: found 0; at least 1 is meant: of {kind} work the old copy ends first"
        if not limits.down and not limits.surplus:
            return "update.down: found 0, with update.surplus 0; one of the two above 0 is meant"
        service = self.services.get(rules.name)
        if service is None:
            return ""
        if service.removed:
            return f"service: {rules.name} is being removed"
        if rules.count < service.rules.count:
            return f"count: found {rules.count}; at least {service.rules.count} is meant, as many as run"
        if (rules.effect, rules.repeat_ns) != (service.rules.effect, service.rules.repeat_ns):
            return "queue: a service stays with the class it was declared with"
        if service.stage is not t.Stage.OVER and event.if_busy is t.IfBusy.REFUSE:
            stage = service.stage.value
            return f"{rules.name}: an update is under way ({stage}); replace it, queue behind it, or abort it"
        if service.stage is not t.Stage.OVER and rules.count != service.rules.count:
            return f"count: found {rules.count}; it can't change while an update is under way"
        return ""

    def view(self, now_ns: int, name: str) -> t.View:
        """One service as `status` shows it; KeyError where it is not known."""
        service = self.services[name]
        wanted = service.version
        new = sum(
            any(copy.state == HEALTHY and copy.version == wanted for copy in service.slots[at].copies)
            for at in service.healthy
        )
        self._forget_old(now_ns, service)
        return t.View(
            name, service.rules.count, service.version, service.previous, service.stage, new,
            len(service.healthy) - new, service.down(), service.alive, tuple(self._waits(now_ns, service)),
            len(service.failed), int(self.pace.window),
        )  # fmt: skip

    def mean_start_ns(self) -> int:
        """What a start took on average, as learned; 0 before the first."""
        return round(self.pace.mean_ns)

    def copies(self, name: str) -> list[t.Copy]:
        """All copies of a service that may be alive, by slot."""
        return [copy for slot in self.services[name].slots for copy in slot.copies]

    def _waits(self, now: int, s: Service) -> list[str]:
        """Why it does not go on at once: all reasons that hold now."""
        waits = []
        if s.frozen:
            waits.append("nodes have not all said what they run")
        if s.stage is t.Stage.PAUSED:
            waits.append(f"paused: {s.why}")
        silent: dict[str, list[int]] = {}
        for at in s.by_kind[LEAVING]:
            for copy in s.slots[at].copies:
                silent.setdefault(copy.node or "its node", []).append(at)
        for node, slots in sorted(silent.items()):
            few = ", ".join(map(str, slots[:5])) + (", ..." if len(slots) > 5 else "")
            waits.append(f"{node} has not said that the old copy of slot {few} ended")
        if s.by_kind[FRESH]:
            states = [copy.state for at in s.by_kind[FRESH] for copy in s.slots[at].copies]
            if RUNNING in states:
                waits.append(f"{states.count(RUNNING)} new copies run and are not healthy yet")
            if ASKED in states:
                waits.append(f"{states.count(ASKED)} new copies are being placed")
        away = sorted({copy.node for slot in s.slots for copy in slot.copies if copy.state == AWAY})
        if away:
            waits.append(f"{', '.join(away)}: gone, and nobody can say whether copies run there")
        if s.by_kind[BACK]:
            waits.append(f"{len(s.by_kind[BACK])} slots rest after their copy ended or was refused")
        if s.stage is t.Stage.GOING and s.racks:
            if s.limits.wave and not s.wave_left:
                rest = s.wave_ns - now
                soon = f"the next wave begins in {rest / t.S:.1f} s"
                waits.append(soon if rest > 0 else "this wave is not done")
            if not self._has_room(s):
                waits.append(f"{s.down()} copies are down and {s.alive} alive: the limits allow no more")
            if len(s.taken) >= s.trusted():
                waits.append(f"{len(s.taken)} copies are tried, until more of the new version are healthy")
            if self._in_replacement() >= self.settings.most_at_once:
                waits.append("the budget that all updates share is spent")
            if not self.pace.free(len(s.by_kind[LEAVING])):
                waits.append(f"{self.pace.asked} starts are under way: the fleet takes no more at a time")
        return waits

    # --- events ---------------------------------------------------------------------------------------------

    def handle(self, now_ns: int, event: t.Event) -> list[t.Action]:
        """Take one event and give the actions it calls for; ValueError where `check` has something against
        it."""
        self._out = []
        wrong = self.check(event)
        if wrong:
            raise ValueError(wrong)
        match event:
            case t.Declared():
                self._on_declared(now_ns, event)
            case t.Restored():
                self._on_restored(event)
            case t.Found():
                self._on_found(now_ns, event)
            case t.Settled():
                for service in self.services.values():
                    service.frozen = False
            case t.Pause():
                self._pause(self.services[event.service], "by its operator")
            case t.Resume():
                self._on_resume(self.services[event.service])
            case t.Abort():
                self._on_abort(self.services[event.service])
            case t.Removed():
                self._on_removed(now_ns, self.services[event.service])
            case t.NodeGone(node):
                for s, copy in list(self._copies.values()):
                    if copy.node == node and copy.state in (RUNNING, HEALTHY):
                        self._go(s, copy, AWAY)
            case t.NodeBack(node):
                for s, copy in list(self._copies.values()):
                    if copy.node == node and copy.state == AWAY:
                        self._runs(now_ns, s, copy)
            case t.SettingsChanged(settings):
                self.settings = settings
            case t.Due():
                self._woken = -1
            case _:
                self._on_copy(now_ns, event)
        self._on_time(now_ns)
        self._advance(now_ns)
        if self._times and (self._woken < 0 or self._times[0][0] < self._woken):
            self._woken = self._times[0][0]
            self._out.append(t.Wake(self._woken))
        return self._out

    def _on_declared(self, now: int, event: t.Declared) -> None:
        service = self.services.get(event.rules.name)
        if service is None:
            service = self.services[event.rules.name] = Service(event.rules, event.version, event.limits)
            self._note(service, "declared", f"{event.rules.count} copies of version {event.version}")
        elif service.stage is not t.Stage.OVER and event.if_busy is t.IfBusy.QUEUE:
            service.queued = (event.version, event.limits)
            self._note(service, "queued", f"version {event.version} follows the update that is under way")
        else:
            self._grow(service, event.rules)
            self._begin(service, event.version, event.limits)
        self._out.append(t.Keep(event.rules.name))

    def _grow(self, s: Service, rules: t.ServiceRules) -> None:
        for at in range(s.rules.count, rules.count):
            s.slots.append(t.Slot(at))
            s.kind.append(HOLE)
            s.by_kind[HOLE][at] = None
        s.rules = rules

    def _begin(self, s: Service, version: int, limits: t.Limits) -> None:
        """From now on this version is wanted.  What ran last everywhere stays the one to go back to, also
        where a third version takes the place of a second."""
        if s.stage is t.Stage.OVER:
            s.previous = s.version
        s.version, s.limits = version, limits
        s.stage, s.why = t.Stage.GOING, ""
        s.wave_left, s.wave_ns = limits.wave, 0
        s.failed.clear()
        s.tried.clear()
        s.taken.clear()
        for slot in s.slots:
            self._sort(s, slot)
        self._note(s, "begins", f"version {version} in place of {s.previous}")

    def _on_restored(self, event: t.Restored) -> None:
        s = Service(event.rules, event.version, event.limits)
        s.previous, s.stage, s.why, s.queued = event.previous, event.stage, event.why, event.queued
        s.frozen = True
        self.services[event.rules.name] = s

    def _on_found(self, now: int, event: t.Found) -> None:
        s = self.services.get(event.service)
        if s is None or event.copy in self._copies:
            return
        self._next = max(self._next, event.copy + 1)
        at = event.slot if event.slot < s.rules.count else 0
        copy = t.Copy(event.copy, at, event.version, RUNNING, now, event.node, event.rack, now)
        self._add(s, copy)
        s.slots[at].settled = event.version
        if event.slot >= s.rules.count:
            self._stop(now, s, copy)
        self._at(now + s.limits.healthy_ns, "healthy", s, event.copy)

    def _on_resume(self, s: Service) -> None:
        s.stage, s.why = t.Stage.GOING, ""
        s.failed.clear()
        s.tried.clear()
        for slot in s.slots:
            self._sort(s, slot)
        self._note(s, "resumed", "")
        self._out.append(t.Keep(s.rules.name))

    def _on_abort(self, s: Service) -> None:
        failing = s.version
        s.queued = None
        self._begin(s, s.previous, s.limits)
        s.previous = failing
        self._note(s, "aborted", f"back from {failing} to {s.version}")
        self._out.append(t.Keep(s.rules.name))

    def _on_removed(self, now: int, s: Service) -> None:
        s.removed, s.queued = True, None
        for slot in s.slots:
            for copy in list(slot.copies):
                self._stop(now, s, copy)
        self._out.append(t.Keep(s.rules.name))
        self._forget_removed(s)

    def _forget_removed(self, s: Service) -> None:
        if s.removed and not s.alive:
            del self.services[s.rules.name]
            self._note(s, "removed", "no copy is alive")
            self._out.append(t.Keep(s.rules.name))

    def _pause(self, s: Service, why: str) -> None:
        s.stage, s.why = t.Stage.PAUSED, why
        for slot in s.slots:
            self._sort(s, slot)
        self._note(s, "paused", why)
        self._out.append(t.Keep(s.rules.name))

    # --- copies ---------------------------------------------------------------------------------------------

    def _on_copy(self, now: int, event: t.Event) -> None:
        assert isinstance(event, t.Placed | t.Unplaced | t.Ended | t.Proven)
        known = self._copies.get(event.copy)
        if known is None:
            return
        s, copy = known
        match event:
            case t.Placed(_, node, rack):
                copy.node, copy.rack = node, rack
                if copy.state == ASKED:
                    self.pace.started(now, now - copy.asked_ns)
                    self._runs(now, s, copy)
            case t.Unplaced():
                if copy.state in (RUNNING, HEALTHY, AWAY):
                    copy.asked_ns = now
                    self._go(s, copy, ASKED)
            case t.Ended():
                self._on_ended(now, s, copy, event)
            case t.Proven():
                if copy.state == DOUBT:
                    self._go(s, copy, OVER)
        self._forget_removed(s)

    def _runs(self, now: int, s: Service, copy: t.Copy) -> None:
        copy.placed_ns = now
        self._go(s, copy, RUNNING)
        self._at(now + s.limits.healthy_ns, "healthy", s, copy.number)

    def _on_ended(self, now: int, s: Service, copy: t.Copy, event: t.Ended) -> None:
        if copy.state in (DOUBT, OVER):
            return
        wanted, slot = copy.state != STOPPING, s.slots[copy.slot]
        if copy.state == ASKED and event.end is not t.End.DONE:
            self.pace.pressed(now)
        if wanted:
            first, most = self.settings.back_first_ns, self.settings.back_most_ns
            slot.back_ns = min(most, 2 * slot.back_ns) if slot.back_ns else first
            slot.not_before_ns = now + slot.back_ns
            self._at(slot.not_before_ns, "slot", s, slot.index)
        self._go(s, copy, OVER if event.proven else DOUBT)
        if wanted and event.end is t.End.DONE and copy.version == s.version and s.stage is t.Stage.GOING:
            self._on_failed(now, s, copy)

    def _on_failed(self, now: int, s: Service, copy: t.Copy) -> None:
        s.failed.append(now)
        self._forget_old(now, s)
        failed, tried, limits = len(s.failed), max(len(s.tried), len(s.failed)), s.limits
        self._note(s, "failed", f"slot {copy.slot}: version {copy.version} ended at {copy.node or 'no node'}")
        if failed >= limits.failures or (failed > 1 and failed / tried > limits.failed_share):
            self._pause(s, f"{failed} of {tried} new copies failed within {limits.window_ns / t.S:g} s")

    def _forget_old(self, now: int, s: Service) -> None:
        for times in (s.failed, s.tried):
            while times and now - times[0] > s.limits.window_ns:
                times.popleft()

    def _add(self, s: Service, copy: t.Copy) -> None:
        slot = s.slots[copy.slot]
        slot.copies.append(copy)
        s.alive += 1
        self.pace.asked += copy.state == ASKED
        self._copies[copy.number] = (s, copy)
        self._sort(s, slot)

    def _go(self, s: Service, copy: t.Copy, state: str) -> None:
        """The one door between states of a copy."""
        if state not in COPIES[copy.state]:
            raise RuntimeError(f"copy {copy.number}: {copy.state} to {state}")
        self.pace.asked += (state == ASKED) - (copy.state == ASKED)
        copy.state = state
        slot = s.slots[copy.slot]
        if state == OVER:
            slot.copies.remove(copy)
            s.alive -= 1
            del self._copies[copy.number]
        if state == HEALTHY:
            slot.settled, slot.back_ns = copy.version, 0
        self._sort(s, slot)

    def _sort(self, s: Service, slot: t.Slot) -> None:
        """Class the slot anew; the one place that keeps the service's tables."""
        at, kind = slot.index, self._kind(s, slot)
        del s.by_kind[s.kind[at]][at]
        s.by_kind[kind][at] = None
        s.kind[at] = kind
        healthy = [copy for copy in slot.copies if copy.state == HEALTHY]
        (s.healthy.add if healthy else s.healthy.discard)(at)
        rack = s.rack_of.pop(at, None)
        if rack is not None:
            del s.racks[rack][at]
            if not s.racks[rack]:
                del s.racks[rack]
        if kind == OLD and healthy:
            s.rack_of[at] = healthy[0].rack
            s.racks.setdefault(healthy[0].rack, {})[at] = None
        if kind == DONE:
            s.taken.pop(at, None)
        elif kind in (OLD, LAME) and at in s.taken:
            # Its new copy came to nothing: it stands where it stood, and its place in the wave is free again.
            del s.taken[at]
            s.wave_left += s.limits.wave > 0

    def _kind(self, s: Service, slot: t.Slot) -> str:
        copies = slot.copies
        if not copies:
            return BACK if slot.not_before_ns > 0 else HOLE
        standing = [copy for copy in copies if copy.state not in (STOPPING, DOUBT)]
        if not standing:
            return LEAVING
        new = [copy for copy in standing if copy.version == s.version]
        if any(copy.state == HEALTHY for copy in new):
            return DONE if len(copies) == 1 else SURGED
        if new:
            return FRESH
        return LAME if all(copy.state == ASKED for copy in standing) else OLD

    # --- time -----------------------------------------------------------------------------------------------

    def _at(self, moment: int, what: str, s: Service, number: int) -> None:
        self._ties += 1
        heapq.heappush(self._times, (moment, self._ties, what, s.rules.name, number))

    def _on_time(self, now: int) -> None:
        while self._times and self._times[0][0] <= now:
            _, _, what, name, number = heapq.heappop(self._times)
            s = self.services.get(name)
            if s is None:
                continue
            if what == "healthy":
                known = self._copies.get(number)
                if known is not None and known[1].state == RUNNING:
                    if now - known[1].placed_ns >= s.limits.healthy_ns:
                        self._go(s, known[1], HEALTHY)
                    else:  # it lost its place and has another, or the limits changed
                        self._at(known[1].placed_ns + s.limits.healthy_ns, "healthy", s, number)
            elif what == "slot" and number < len(s.slots):
                slot = s.slots[number]
                if now >= slot.not_before_ns:
                    slot.not_before_ns = 0
                    self._sort(s, slot)

    # --- what may be done now -------------------------------------------------------------------------------

    def _advance(self, now: int) -> None:
        for s in list(self.services.values()):
            if not s.frozen and not s.removed:
                self._tend(now, s)
        while self._in_replacement() < self.settings.most_at_once:
            ready = [s for s in self.services.values() if self._may_replace(now, s)]
            if not ready:
                return
            self._grants += 1
            waited = min(ready, key=lambda s: s.granted)
            first = max(ready, key=lambda s: (s.limits.priority, -s.granted))
            s = waited if self._grants % self.settings.turn == 0 else first
            s.granted = self._grants
            self._replace(now, s)

    def _in_replacement(self) -> int:
        return sum(len(s.taken) for s in self.services.values() if s.stage is t.Stage.GOING)

    def _tend(self, now: int, s: Service) -> None:
        """What needs no grant: the old beside the healthy new, empty slots, the end of the update."""
        for at in list(s.by_kind[SURGED]) if s.stage is not t.Stage.PAUSED else ():
            copies = s.slots[at].copies
            keep = next(copy for copy in copies if copy.state == HEALTHY and copy.version == s.version)
            for copy in [copy for copy in copies if copy is not keep]:
                self._stop(now, s, copy)
        for at in list(s.by_kind[HOLE]) if self._may_start(s) else ():
            if not self._may_start(s):
                break
            self._fill(now, s, s.slots[at])
        if s.rules.effect is not Effect.UNSAFE:
            self._start_beside(now, s)
        if s.stage is t.Stage.GOING and len(s.by_kind[DONE]) == s.rules.count:
            s.stage, s.why = t.Stage.OVER, ""
            self._note(s, "over", f"{s.rules.count} copies of version {s.version} are healthy")
            if s.queued is not None:
                version, limits = s.queued
                s.queued = None
                self._begin(s, version, limits)
            self._out.append(t.Keep(s.rules.name))
        if s.stage is t.Stage.GOING and s.limits.wave and not s.wave_left and not s.taken:
            if not s.wave_ns:
                s.wave_ns = now + s.limits.spacing_ns
                self._at(s.wave_ns, "wave", s, 0)
            if now >= s.wave_ns:
                s.wave_left, s.wave_ns = s.limits.wave, 0

    def _may_start(self, s: Service) -> bool:
        return s.alive < s.most_alive() and self.pace.free(0)

    def _fill(self, now: int, s: Service, slot: t.Slot) -> None:
        """A copy for a slot that lacks one: while an update is paused, of what last ran well there."""
        if s.stage is not t.Stage.PAUSED:
            self._start(now, s, slot, s.version)
        elif slot.settled >= 0:
            self._start(now, s, slot, slot.settled)

    def _start_beside(self, now: int, s: Service) -> None:
        """A slot whose old copy is told to end, and has not said that it did, gets its new one where copies
        may overlap: safe ones within the surplus, keyed ones after the time in which repeats are
        discarded."""
        for at in list(s.by_kind[LEAVING]):
            if not self._may_start(s):
                return
            slot = s.slots[at]
            if s.rules.effect is Effect.KEYED and any(
                now < copy.stopped_ns + s.rules.repeat_ns for copy in slot.copies
            ):
                continue
            self._fill(now, s, slot)

    def _has_room(self, s: Service) -> bool:
        """Whether the limits let one more healthy old copy be replaced."""
        surge = s.rules.effect is Effect.SAFE and s.alive < s.most_alive()
        return surge or s.down() < s.limits.down

    def _may_replace(self, now: int, s: Service) -> bool:
        if s.stage is not t.Stage.GOING or s.frozen or s.removed:
            return False
        if s.limits.wave and not s.wave_left:
            return False
        if len(s.taken) >= s.trusted():
            return False
        if s.by_kind[LAME]:
            return True
        return bool(s.racks) and self._has_room(s) and self.pace.free(len(s.by_kind[LEAVING]))

    def _replace(self, now: int, s: Service) -> None:
        """Take one slot into replacement: a new copy beside the old where that may be, else the old one ends
        first."""
        # Danger: a rack of the service emptied in one go.  The fullest goes first, so all shrink alike.
        pool = s.by_kind[LAME] or max(s.racks.values(), key=lambda rack: len(rack))
        at = next(iter(pool))
        slot = s.slots[at]
        lame = s.kind[at] == LAME
        if not lame and s.rules.effect is Effect.SAFE and s.alive < s.most_alive():
            self._start(now, s, slot, s.version)
        else:
            for copy in list(slot.copies):
                self._stop(now, s, copy)
        s.taken[at] = None
        s.wave_left -= s.limits.wave > 0

    def _start(self, now: int, s: Service, slot: t.Slot, version: int) -> None:
        copy = t.Copy(self._next, slot.index, version, ASKED, now)
        self._next += 1
        if version == s.version and s.stage is t.Stage.GOING:
            s.tried.append(now)
        self._add(s, copy)
        self._out.append(t.StartCopy(copy.number, s.rules.name, slot.index, version))

    def _stop(self, now: int, s: Service, copy: t.Copy) -> None:
        if copy.state not in (STOPPING, DOUBT):
            copy.stopped_ns = now
            self._go(s, copy, STOPPING)
            self._out.append(t.StopCopy(copy.number))
            if s.rules.effect is Effect.KEYED:
                self._at(now + s.rules.repeat_ns, "beside", s, copy.slot)

    def _note(self, s: Service, what: str, text: str) -> None:
        self._out.append(t.Note(s.rules.name, what, text))
