"""The state of one service: its slots, classified by how their copies compare to the wanted version."""

from __future__ import annotations

from collections import deque
from enum import Enum

from ladderhub.interface import Effect
from ladderhub.rollout import types as t
from ladderhub.rollout.types import CopyState

COPIES_TRIED_PER_HEALTHY = 4  # copies of a new version that may be tried for each healthy one
NO_VERSION = -1


class SlotKind(Enum):
    """Kind of a slot, relative to the wanted version: `new` copies have it, `old` ones do not."""

    EMPTY = "empty"  # no copy is alive
    BACKING_OFF = "backing off"  # no copy is alive, and the delay after the last one has not passed
    TERMINATING = "terminating"  # all copies that may be alive were told to stop
    UNPLACED = "unplaced"  # an old copy that is being placed
    OLD = "old"  # an old copy that runs
    STARTING = "starting"  # a new copy that is not healthy yet
    SURGED = "surged"  # a healthy new copy beside an old one
    UPDATED = "updated"  # a healthy new copy alone


class Service:
    """One service.  Only `reclassify` updates its tables of slots when a copy changes."""

    def __init__(self, rules: t.ServiceRules, version: int, limits: t.Limits) -> None:
        self.rules, self.version, self.limits = rules, version, limits
        self.previous = NO_VERSION
        self.stage, self.pause_reason = t.Stage.GOING, ""
        self.queued: tuple[int, t.Limits] | None = None  # the next update
        self.removed = False
        self.awaits_node_reports = False  # not all nodes have reported what they run
        self.slots = [t.Slot(index) for index in range(rules.count)]
        self.by_kind: dict[SlotKind, dict[int, None]] = {kind: {} for kind in SlotKind}
        self.by_kind[SlotKind.EMPTY] = dict.fromkeys(range(rules.count))
        self.kind_of = [SlotKind.EMPTY] * rules.count
        self.replaceable: dict[str, dict[int, None]] = {}  # slots with a healthy old copy, by rack
        self._rack_of: dict[int, str] = {}  # rack of each slot in `replaceable`
        self.healthy: set[int] = set()  # slots with a healthy copy
        self.alive = 0  # copies that may be alive
        self.replacing: dict[int, None] = {}  # slots in replacement
        self.wave_left = limits.wave
        self.next_wave_ns = 0
        self.failure_times_ns: deque[int] = deque()  # when copies of the new version failed
        self.start_times_ns: deque[int] = deque()  # when copies of the new version were started
        self.last_grant = 0

    # --- figures ----------------------------------------------------------------------------------------

    def count_unhealthy(self) -> int:
        """Slots without a healthy copy."""
        return self.rules.count - len(self.healthy)

    def compute_max_alive(self) -> int:
        """How many copies may be alive at once."""
        return self.rules.count + self.limits.surplus

    def may_surge(self) -> bool:
        """Whether a new copy may run beside an old one."""
        return self.rules.effect is Effect.SAFE and self.alive < self.compute_max_alive()

    def limits_allow_replacement(self) -> bool:
        """Whether the limits let one more healthy old copy be replaced."""
        return self.may_surge() or self.count_unhealthy() < self.limits.down

    def compute_max_replacing(self) -> int:
        """How many slots may be in replacement, which grows with the healthy copies of the new version.

        Without this limit, a version that fails everywhere would take down as many copies as `limits` allows.
        At first twice the failure limit may be tried, later `COPIES_TRIED_PER_HEALTHY` per healthy copy."""
        healthy = len(self.by_kind[SlotKind.UPDATED]) + len(self.by_kind[SlotKind.SURGED])
        return max(2 * self.limits.failures, COPIES_TRIED_PER_HEALTHY * healthy)

    def drop_old_failures(self, now: int) -> None:
        """Drop failures and starts from before the window in which failures are counted."""
        for times in (self.failure_times_ns, self.start_times_ns):
            while times and now - times[0] > self.limits.window_ns:
                times.popleft()

    # --- changes ----------------------------------------------------------------------------------------

    def grow(self, rules: t.ServiceRules) -> None:
        """Adopt new rules with at least as many slots."""
        for index in range(self.rules.count, rules.count):
            self.slots.append(t.Slot(index))
            self.kind_of.append(SlotKind.EMPTY)
            self.by_kind[SlotKind.EMPTY][index] = None
        self.rules = rules

    def begin_update(self, version: int, limits: t.Limits) -> None:
        """Make `version` the wanted one.  `previous` stays the version of the last finished update, also if a
        third version replaces the second before that one is finished."""
        if self.stage is t.Stage.OVER:
            self.previous = self.version
        self.version, self.limits = version, limits
        self.stage, self.pause_reason = t.Stage.GOING, ""
        self.wave_left, self.next_wave_ns = limits.wave, 0
        self.replacing.clear()
        self.clear_failures()

    def clear_failures(self) -> None:
        """Count failures and starts from zero again."""
        self.failure_times_ns.clear()
        self.start_times_ns.clear()
        self.reclassify_all()

    def reclassify_all(self) -> None:
        """Classify all slots again."""
        for slot in self.slots:
            self.reclassify(slot)

    def reclassify(self, slot: t.Slot) -> None:
        """Classify the slot again and update all tables."""
        index, kind = slot.index, self._classify(slot)
        del self.by_kind[self.kind_of[index]][index]
        self.by_kind[kind][index] = None
        self.kind_of[index] = kind
        healthy = [copy for copy in slot.copies if copy.state is CopyState.HEALTHY]
        if healthy:
            self.healthy.add(index)
        else:
            self.healthy.discard(index)
        self._set_replaceable(index, healthy[0].rack if kind is SlotKind.OLD and healthy else None)
        if kind is SlotKind.UPDATED:
            self.replacing.pop(index, None)
        elif kind in (SlotKind.OLD, SlotKind.UNPLACED) and index in self.replacing:
            # Its new copy is gone and an old one remains: the slot gives up its place in the wave.
            del self.replacing[index]
            self.wave_left += self.limits.wave > 0

    def _set_replaceable(self, index: int, rack: str | None) -> None:
        """Record the rack of the slot's healthy old copy; None: it has no such copy."""
        old_rack = self._rack_of.pop(index, None)
        if old_rack is not None:
            del self.replaceable[old_rack][index]
            if not self.replaceable[old_rack]:
                del self.replaceable[old_rack]
        if rack is not None:
            self._rack_of[index] = rack
            self.replaceable.setdefault(rack, {})[index] = None

    def _classify(self, slot: t.Slot) -> SlotKind:
        copies = slot.copies
        if not copies:
            return SlotKind.BACKING_OFF if slot.not_before_ns > 0 else SlotKind.EMPTY
        wanted = [copy for copy in copies if copy.state not in (CopyState.STOPPING, CopyState.UNKNOWN)]
        if not wanted:
            return SlotKind.TERMINATING
        new = [copy for copy in wanted if copy.version == self.version]
        if any(copy.state is CopyState.HEALTHY for copy in new):
            return SlotKind.UPDATED if len(copies) == 1 else SlotKind.SURGED
        if new:
            return SlotKind.STARTING
        unplaced = all(copy.state is CopyState.PENDING for copy in wanted)
        return SlotKind.UNPLACED if unplaced else SlotKind.OLD
