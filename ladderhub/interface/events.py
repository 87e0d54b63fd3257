"""What a scheduler is told while it runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from ladderhub.interface.settings import Effect, Settings


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
    """A task wants a place.  Exactly one final answer is owed within `budget_ns`.  `effect`: what it was
    taken as, where settings may say otherwise of its class by now."""

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


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """From now on these settings hold.  Classes, kinds and tenants keep their index for good: new ones are
    appended, and one that is gone stays in its place.  What is the scheduler's own stays as it was:
    `schedulers`, `ordinal`, `zone` and messages between schedulers.  A task keeps the effect, time and
    repeats that it was taken with."""

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
