"""Events: what a scheduler receives while it runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from ladderhub.interface.settings import Effect, Settings


class Stage(Enum):
    """Stage of a machine's life cycle, according to the list."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of a machine list: changes only, complete, complete but saved before a restart, or none because
    the call failed; the previous list then stays in force."""

    CHANGES = "changes"
    FULL = "full"
    RECALLED = "recalled"
    FAILED = "failed"


class Outcome(IntEnum):
    """How an attempt ended.  Only REFUSED, UNREACHABLE and NEVER_SENT prove that the task did not run."""

    ERROR = 0
    DONE = 1
    REFUSED = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    LOST = 5
    CANCELLED = 6
    NEVER_SENT = 7


class Reason(IntEnum):
    """Why a machine refused an offer or ended a task."""

    UNKNOWN = 0
    CORES = 1
    MEMORY = 2
    LINE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    DISPLACED = 6
    SENT_AWAY = 7


class Topic(IntEnum):
    """Subject of a `TaskNote`."""

    RUNNING = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVICE_LEVEL = 4
    MACHINE_MEMORY = 5


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """One entry of a machine list.  `ready_ns` is the machine's last start, 0 for long ago.  `free_cores` and
    `free_memory` are what accepted tasks have not requested, with some delay, where the list shows room."""

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
    """Load measured by a machine itself, delayed and noisy; None where it is not reported."""

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
    """A list of machines from the discovery service, in `entries`."""

    kind: ListKind
    version: int = 0
    entries: tuple[MachineEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskAsked:
    """A task is to be placed.  It needs exactly one final answer within `budget_ns`.  `effect` is the effect
    with which it was accepted, if the settings of its class may have changed since."""

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
    effect: Effect | None = None


@dataclass(frozen=True, slots=True)
class TaskOpen:
    """A task that already runs on `machine` is assigned to this scheduler from now on."""

    asked: TaskAsked
    machine: str


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """First answer to an attempt: the machine accepted the task or, with `first_at_running`, runs it."""

    task: int
    attempt: int
    machine: str
    elapsed_ns: int = 0


@dataclass(frozen=True, slots=True)
class TaskNote:
    """A measurement or state change of an attempt that has not ended."""

    task: int
    attempt: int
    machine: str
    topic: Topic
    level: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptLeaving:
    """An offer is about to be written, some time after its `Send`, since a connection had to be set up first.
    An `Abort` in return keeps it from being sent; without one it counts as sent at this time."""

    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerDue:
    """The final answer is needed at once, whatever time the task has left: its carrier is about to end."""

    task: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The only outcome of an attempt.  `concluded`: the task needs no further answer."""

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
    """A timer that the scheduler has set expired."""

    timer: int


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """Outcome of a probe."""

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
    """Replaces the scheduler's own ordinal, which determines its quota of offers to fresh machines, by these
    ordinals below `Settings.schedulers`.  They are leased until `until_ns`; whoever grants them leaves each
    unused for a cold window between two holders."""

    ordinals: tuple[int, ...]
    until_ns: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """From now on these settings are in force.  Classes, kinds and tenants never change their index: new ones
    are appended, and a removed one keeps its place.  The scheduler's identity does not change: `schedulers`,
    `ordinal`, `zone` and the rules on messages between schedulers.  A task keeps the effect, deadline and
    repeat rules with which it was accepted."""

    settings: Settings


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
    | SettingsChanged
)
