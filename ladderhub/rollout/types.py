"""What the rollout decisions hear, say and are told to keep to.  Times are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ladderhub.interface import Effect

SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """What one update keeps to.

    `down`: copies that may lack a healthy run at once before the update takes one more down; copies lost to
    other causes count.  `surplus`: runs that may be alive above the count.  `wave` slots are replaced
    together (0: no waves), the next wave begins `spacing_ns` after the last one is healthy.  A new copy is
    healthy once it has run for `healthy_ns`.  The update pauses when, within `window_ns`, `failures` new
    copies failed, or more than `failed_share` of those that were tried, two at least."""

    down: int = 1
    surplus: int = 0
    wave: int = 0
    spacing_ns: int = 0
    healthy_ns: int = 10 * SECOND_NS
    failures: int = 3
    failed_share: float = 1.0
    window_ns: int = 300 * SECOND_NS
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """What a service is: `effect` of its class; `dedupe_window_ns`: how long repeats of a keyed copy are
    discarded."""

    name: str
    count: int
    effect: Effect
    dedupe_window_ns: int = 0


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Of all updates together: `max_replacing_slots` copies may be in replacement at a time; every
    `longest_wait_every`-th grant goes to the update that waited longest, whatever its priority.  A slot whose
    copy ended is filled again after `min_backoff_ns`, doubling to `max_backoff_ns`."""

    max_replacing_slots: int = 50
    longest_wait_every: int = 4
    min_backoff_ns: int = 1 * SECOND_NS
    max_backoff_ns: int = 60 * SECOND_NS

    def __post_init__(self) -> None:
        if self.max_replacing_slots < 1:
            raise ValueError("most_at_once: must be at least 1")
        if self.longest_wait_every < 2:
            raise ValueError("turn: must be at least 2")
        if not 0 <= self.min_backoff_ns <= self.max_backoff_ns:
            raise ValueError("back_first_ns: must be from 0 to back_most_ns")


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """From now on these settings hold; updates go on under them."""

    settings: RolloutSettings


class IfBusy(Enum):
    """What a new update does to one that is under way."""

    REFUSE = "refuse"
    QUEUE = "queue"
    REPLACE = "replace"


class End(Enum):
    """How a copy ended."""

    DONE = "done"  # by itself, or killed by somebody else: it ran and runs no more
    REFUSED = "refused"  # it never ran
    LOST = "lost"  # its machine went, it was pushed out, or it may have run and is proven away


class Stage(Enum):
    """Where an update stands."""

    GOING = "going"
    PAUSED = "paused"
    OVER = "over"


# --- events -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Declared:
    """Run the service at this version; an update where it runs at another."""

    rules: ServiceRules
    version: int
    limits: Limits
    if_busy: IfBusy = IfBusy.REFUSE


@dataclass(frozen=True, slots=True)
class Restored:
    """A service of an earlier life of this scheduler; nothing is done before `AllNodesReported`."""

    rules: ServiceRules
    version: int
    previous: int
    limits: Limits
    stage: Stage
    pause_reason: str = ""
    queued: tuple[int, Limits] | None = None


@dataclass(frozen=True, slots=True)
class RunFound:
    """A run of an earlier life was found; `copy` is a number that no action has named."""

    service: str
    copy: int
    slot: int
    version: int
    node: str
    rack: str


@dataclass(frozen=True, slots=True)
class AllNodesReported:
    """Every node has said what it runs."""


@dataclass(frozen=True, slots=True)
class Placed:
    """The copy runs."""

    copy: int
    node: str
    rack: str


@dataclass(frozen=True, slots=True)
class Unplaced:
    """The copy lost its place; it is being placed again as the same job."""

    copy: int


@dataclass(frozen=True, slots=True)
class NodeGone:
    """The node is not listed any more, or began anew: nobody can say that its copies run."""

    node: str


@dataclass(frozen=True, slots=True)
class NodeBack:
    """The node is listed again; what became of its copies is told one by one where they did not live on."""

    node: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The copy is over; `confirmed`: no run of it can be alive."""

    copy: int
    end: End
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class EndConfirmed:
    """An ended copy is known not to run anywhere."""

    copy: int


@dataclass(frozen=True, slots=True)
class Pause:
    service: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Go on; failures until now are forgiven."""

    service: str


@dataclass(frozen=True, slots=True)
class Abort:
    """Go back to the version before: an update like any other."""

    service: str


@dataclass(frozen=True, slots=True)
class Removed:
    """The service shall run no more: all its copies are stopped."""

    service: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A `SetTimer` came due."""


Event = (
    Declared | Restored | RunFound | AllNodesReported | Placed | Unplaced | NodeGone | NodeBack | Ended
    | EndConfirmed | Pause | Resume | Abort | Removed | TimerFired | SettingsChanged
)  # fmt: skip


# --- actions ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartCopy:
    """Have a copy placed."""

    copy: int
    service: str
    slot: int
    version: int


@dataclass(frozen=True, slots=True)
class StopCopy:
    """Have the copy ended; `Ended` follows once its node has said so."""

    copy: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Give a `TimerFired` at or after this moment; earlier wakes stay."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class Log:
    """For the log."""

    service: str
    what: str
    text: str


@dataclass(frozen=True, slots=True)
class Persist:
    """What is declared of this service has changed and must last; gone where it is not known any more."""

    service: str


Action = StartCopy | StopCopy | SetTimer | Log | Persist


# --- state ------------------------------------------------------------------------------------------------


class CopyState(Enum):
    """Where a copy stands."""

    PENDING = "asked"  # being placed
    RUNNING = "running"
    HEALTHY = "healthy"
    UNREACHABLE = "unreachable"  # its node is gone; it may run there
    STOPPING = "stopping"  # told to end; its node has not said that it has
    UNKNOWN = "unknown"  # its job is over and it may still be alive
    ENDED = "ended"

    def may_become(self, state: CopyState) -> bool:
        return state in _TRANSITIONS[self]


_TRANSITIONS = {
    CopyState.PENDING: {CopyState.RUNNING, CopyState.STOPPING, CopyState.UNKNOWN, CopyState.ENDED},
    CopyState.RUNNING: {
        CopyState.HEALTHY,
        CopyState.UNREACHABLE,
        CopyState.PENDING,
        CopyState.STOPPING,
        CopyState.UNKNOWN,
        CopyState.ENDED,
    },
    CopyState.HEALTHY: {
        CopyState.UNREACHABLE,
        CopyState.PENDING,
        CopyState.STOPPING,
        CopyState.UNKNOWN,
        CopyState.ENDED,
    },
    CopyState.UNREACHABLE: {
        CopyState.RUNNING,
        CopyState.PENDING,
        CopyState.STOPPING,
        CopyState.UNKNOWN,
        CopyState.ENDED,
    },
    CopyState.STOPPING: {CopyState.UNKNOWN, CopyState.ENDED},
    CopyState.UNKNOWN: {CopyState.ENDED},
    CopyState.ENDED: set(),
}


@dataclass(slots=True)
class Copy:
    """One copy: a job that was asked for and may run."""

    number: int
    slot: int
    version: int
    state: CopyState
    requested_ns: int
    node: str = ""
    rack: str = ""
    placed_ns: int = 0
    stopped_ns: int = 0

    def is_healthy(self, version: int) -> bool:
        return self.state is CopyState.HEALTHY and self.version == version


@dataclass(slots=True)
class Slot:
    """One of the `count` places of a service."""

    index: int
    copies: list[Copy] = field(default_factory=list)  # those that may be alive
    last_healthy_version: int = -1  # the version that was last healthy here
    backoff_ns: int = 0
    not_before_ns: int = 0

    def has_healthy(self, version: int) -> bool:
        return any(copy.is_healthy(version) for copy in self.copies)


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """What `status` shows of one service."""

    service: str
    count: int
    version: int
    previous: int
    stage: Stage
    new: int  # slots whose healthy copy has the target version
    old: int  # slots whose healthy copy has another
    down: int  # slots without a healthy copy
    alive: int  # runs that may be alive
    wait_reasons: tuple[str, ...]
    failures: int
    window: int  # starts that may be under way, as learned
