"""Settings that a scheduler receives when it is created, and their validation."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a task may be started twice: always, within the scope and window of its key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """A set of machines: none, a single machine, its cell (rack), its zone, or all."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class TaskClass:
    """One class of tasks.  `kind` is the machine kind it needs, -1 for any.  `start_worth_s` is the worth of
    a first start within `aim_ns`, in seconds of service.  `dedupe_*` apply to keyed classes only."""

    effect: Effect
    aim_ns: int
    deadline_ns: int
    dedupe_scope: Scope = Scope.ALL
    dedupe_window_ns: int = 0
    worth: float = 1.0
    late_worth: float = 0.0
    start_worth_s: float = 0.0
    kind: int = -1
    spread: Scope = Scope.NONE
    spread_most: int = 1
    priority: int = 0
    calm_level: float = 1.0
    fade: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share, and the quotas over all schedulers up to which it counts as within its share."""

    share: float = 1.0
    quota_per_s: float = 0.0
    quota_cores: float = 0.0


@dataclass(frozen=True, slots=True)
class MachineKind:
    """Capacity of the machines of one kind."""

    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a scheduler."""

    classes: tuple[TaskClass, ...]
    kinds: tuple[MachineKind, ...]
    tenants: tuple[Tenant, ...] = ()
    schedulers: int = 1
    ordinal: int = 0
    zone: int = 0
    tick_ns: int = 1_000_000
    max_attempts: int = 1
    unreached_count: bool = True  # offers that reached no machine count against `max_attempts`
    admit_cores: float = 1.0
    admit_memory: float = 1.0
    first_at_running: bool = False
    machines_push_out: bool = False
    list_shows_room: bool = False
    reports_count_use: bool = False
    may_abort: bool = False
    may_probe: bool = False
    may_message: bool = False
    message_bytes: int = 256
    list_on_request: bool = False
    list_ask_within_ns: int = 0
    advises_retry: bool = False
    max_retry_advice_ns: int = 0
    over_share_worth: float = 1.0
    drain_grace_ns: int = 0
    cold_pace: float = 1.0
    cold_span_ns: int = 0
    cold_window_ns: int = 0
    cold_multiple: float = 1.0
    cold_safe_offers: float = 0.0
    settle_ns: int = 0
    price_move: float = 0.0
    price_eviction_moves: float = 1.0
    price_machines_in_use: float = 0.0
    price_waste: float = 0.0
    price_refused_offer: float = 0.0
    price_cross_zone: float = 0.0
    price_probe: float = 0.0
    price_message: float = 0.0

    def __post_init__(self) -> None:
        """Reject invalid values; each message names the field."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for field in ("schedulers", "max_attempts", "tick_ns"):
            if getattr(self, field) < 1:
                raise ValueError(f"{field}: must be at least 1")
        if not 0 <= self.ordinal < self.schedulers:
            raise ValueError("ordinal: must be below the number of schedulers, counted from 0")
        for field in ("admit_cores", "admit_memory", "cold_multiple"):
            if getattr(self, field) <= 0:
                raise ValueError(f"{field}: must be above 0")
        if not 0 < self.cold_pace <= 1:
            raise ValueError("cold_pace: must be above 0 and at most 1")
        for field in ("cold_span_ns", "cold_window_ns", "drain_grace_ns", "settle_ns"):
            if getattr(self, field) < 0:
                raise ValueError(f"{field}: must not be negative")
        for at, klass in enumerate(self.classes):
            if klass.deadline_ns <= 0 or klass.aim_ns < 0 or klass.spread_most < 1 or klass.calm_level <= 0:
                raise ValueError(f"classes[{at}]: deadline, aim, spread_most or calm_level makes no sense")
            if klass.kind >= len(self.kinds):
                raise ValueError(f"classes[{at}].kind: there is no such machine kind")
        if any(kind.cores <= 0 or kind.memory <= 0 for kind in self.kinds):
            raise ValueError("kinds: cores and memory must be above 0")
