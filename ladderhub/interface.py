"""What goes into and comes out of the decision module: settings, events and actions.

Times and spans are whole nanoseconds on one clock that never goes back.  Machine, task and service ids are
opaque text or numbers: compare them, but read nothing into them.  Classes, tenants, zones and machine kinds
are indices into the lists of `Settings`.  This file holds types and no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What a second start of the same task would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """A set of machines: none, one machine, its cell (rack), its zone, or all of them."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class Stage(Enum):
    """Where a machine stands in its life, as the list has it."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How to read a machine list: only changes, complete, complete but recalled from before a restart,
    or a failed call that leaves the old list standing."""

    CHANGES = "changes"
    FULL = "full"
    RECALLED = "recalled"
    FAILED = "failed"


class Outcome(IntEnum):
    """How an attempt ended.  Only REFUSED, UNREACHABLE and NEVER_SENT prove that the task never ran."""

    ERROR = 0
    DONE = 1
    REFUSED = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    LOST = 5
    CANCELLED = 6
    NEVER_SENT = 7


class Reason(IntEnum):
    """Why a machine refused an offer or let a task go."""

    UNKNOWN = 0
    CORES = 1
    MEMORY = 2
    LINE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    DISPLACED = 6
    SENT_AWAY = 7


class Topic(IntEnum):
    """What a note on a placed task tells."""

    RUNNING = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVICE_LEVEL = 4
    MACHINE_MEMORY = 5


@dataclass(frozen=True, slots=True)
class TaskClass:
    """One class of tasks.  `kind` is the machine kind it needs, -1 for any.  `start_worth_s` is what a first
    start within `aim_ns` is worth, in seconds of service; `dedupe_*` count for keyed classes only."""

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
    """A tenant's share, and what counts as within it over all schedulers."""

    share: float = 1.0
    quota_per_s: float = 0.0
    quota_cores: float = 0.0


@dataclass(frozen=True, slots=True)
class MachineKind:
    """What a machine of this kind has."""

    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a scheduler is told at its start."""

    classes: tuple[TaskClass, ...]
    kinds: tuple[MachineKind, ...]
    tenants: tuple[Tenant, ...] = ()
    schedulers: int = 1
    ordinal: int = 0
    zone: int = 0
    tick_ns: int = 1_000_000
    max_attempts: int = 1
    unreached_count: bool = True  # an offer that reached no machine is one of the attempts
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
        """Settings that make no sense are told at once, by field."""
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


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """One line of a machine list.  `ready_ns` is its last start, 0 for long ago; the free figures are what no
    accepted task has asked for, some time ago, where the list shows room."""

    machine: str
    stage: Stage
    kind: int = 0
    zone: int = 0
    cell: int = 0
    ready_ns: int = 0
    free_cores: float = 0.0
    free_memory: float = 0.0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A machine's own figures, late and noisy; None where it does not tell."""

    cores_free: float | None = None
    memory_free: float | None = None
    busy: float | None = None
    waiting: float | None = None
    tasks: float | None = None
    start_ns: float | None = None
    starts_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class MachineList:
    """Discovery told this scheduler of machines."""

    kind: ListKind
    version: int = 0
    entries: tuple[MachineEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskAsked:
    """A task wants a place.  Exactly one final answer is owed within `budget_ns`."""

    task: int
    key: str
    klass: int
    service: str
    cores: float
    memory: float
    budget_ns: int
    tenant: int = 0
    life_hint_ns: int | None = None
    repeat: bool = False
    came_again: bool = False


@dataclass(frozen=True, slots=True)
class TaskOpen:
    """A task that runs already and is now this scheduler's to look after, on `machine`."""

    asked: TaskAsked
    machine: str


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """The first answer to an attempt: the machine accepted the task, or it runs, by the settings."""

    task: int
    attempt: int
    machine: str
    elapsed_ns: int = 0


@dataclass(frozen=True, slots=True)
class TaskNote:
    """News of an attempt that is still out."""

    task: int
    attempt: int
    machine: str
    topic: Topic
    level: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptLeaving:
    """The offer leaves only now, some time after its `Send`: a connection had to come up first.  An `Abort`
    in return keeps it from leaving; without one it counts as sent at this moment."""

    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerDue:
    """The final answer is wanted now, whatever time the task has left: its carrier is about to end."""

    task: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt.  `concluded`: the task needs no further answer."""

    task: int
    attempt: int
    machine: str
    outcome: Outcome
    reason: Reason = Reason.UNKNOWN
    concluded: bool = False
    elapsed_ns: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TaskWithdrawn:
    """The owner no longer wants the task, or its answer is overdue."""

    task: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the scheduler set has come due."""

    timer: int


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """The outcome of one probe."""

    machine: str
    outcome: Outcome
    elapsed_ns: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another scheduler."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SeatShare:
    """From now on this scheduler holds these seats at fresh machines, ordinals below `Settings.schedulers`,
    in place of its own ordinal, and none of them from `until_ns` on.  Whoever deals them out lets each rest
    for a cold window between two holders."""

    ordinals: tuple[int, ...]
    until_ns: int


Event = (
    MachineList
    | TaskAsked
    | TaskOpen
    | TaskPlaced
    | TaskNote
    | AttemptLeaving
    | AnswerDue
    | AttemptEnded
    | TaskWithdrawn
    | TimerFired
    | ProbeAnswered
    | PeerMessage
    | SeatShare
)


@dataclass(frozen=True, slots=True)
class Send:
    """Offer the task to a machine; attempts of a task count 0, 1, 2 ...  No time-out means the deadline."""

    task: int
    machine: str
    timeout_ns: int | None = None


@dataclass(frozen=True, slots=True)
class Abort:
    """Stop waiting for an attempt; its outcome still comes."""

    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not placed, and asking again does no harm."""

    task: int
    stay_away_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing of what happened."""

    task: int


@dataclass(frozen=True, slots=True)
class Move:
    """Stop a placed task so that its owner asks again."""

    task: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after a moment."""

    at_ns: int
    timer: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a machine for its report."""

    machine: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this scheduler's idle connections to a machine."""

    machine: str


@dataclass(frozen=True, slots=True)
class Tell:
    """A short message to one other scheduler, or to all (`peer` None)."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Follow:
    """Ask discovery for changes from now on, or to stop."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask discovery for the complete list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operator."""

    text: str


Action = (
    Send
    | Abort
    | Refuse
    | Fail
    | Move
    | SetTimer
    | Probe
    | CloseIdle
    | Tell
    | Follow
    | Fetch
    | Log
)
