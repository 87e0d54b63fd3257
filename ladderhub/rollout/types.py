"""Events, actions, settings and state of the rollout decisions.  Times are in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ladderhub.interface import Effect

SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one update.  They are stored by field name.

    `down`: the update takes another copy down only while fewer copies than this lack a healthy run; copies
    lost to other causes count too.  `surplus`: runs that may be alive above the service's count.  `wave`:
    slots that are replaced together (0: no waves); the next wave begins `spacing_ns` after the last one is
    healthy.  A new copy is healthy once it has run for `healthy_ns`.  The update pauses when, within
    `window_ns`, `failures` new copies failed, or at least two failed and these are more than `failed_share`
    of the new copies that were started.  `priority`: the highest one is granted replacements first."""

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
    """Properties that a service was declared with.  `effect` is that of its class; repeats of a keyed copy
    are discarded for `dedupe_window_ns`."""

    name: str
    count: int
    effect: Effect
    dedupe_window_ns: int = 0


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Settings shared by all updates.

    At most `max_replacing_slots` slots may be in replacement at a time.  Every `longest_wait_every`-th grant
    goes to the update that waited longest, whatever its priority.  A slot whose copy ended is filled again
    after a delay that starts at `min_backoff_ns` and doubles up to `max_backoff_ns`."""

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
    """The settings have changed; updates in progress continue under the new ones."""

    settings: RolloutSettings


class IfBusy(Enum):
    """What a new update does if another update of the service is in progress."""

    REFUSE = "refuse"
    QUEUE = "queue"
    REPLACE = "replace"


class End(Enum):
    """How a copy ended."""

    DONE = "done"  # it ran, and ended by itself or was killed by somebody else
    REFUSED = "refused"  # it never ran
    LOST = "lost"  # its node is gone, it was evicted, or it may have run and is confirmed not to run now


class Stage(Enum):
    """Stage of an update."""

    GOING = "going"
    PAUSED = "paused"
    OVER = "over"


# --- events -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Declared:
    """The service is to run at this version; starts an update if it runs at another one."""

    rules: ServiceRules
    version: int
    limits: Limits
    if_busy: IfBusy = IfBusy.REFUSE


@dataclass(frozen=True, slots=True)
class Restored:
    """A service that an earlier life of this scheduler stored; nothing is done before `AllNodesReported`."""

    rules: ServiceRules
    version: int
    previous: int
    limits: Limits
    stage: Stage
    pause_reason: str = ""
    queued: tuple[int, Limits] | None = None


@dataclass(frozen=True, slots=True)
class RunFound:
    """A run from an earlier life of this scheduler was found; no action has used the number `copy`."""

    service: str
    copy: int
    slot: int
    version: int
    node: str
    rack: str


@dataclass(frozen=True, slots=True)
class AllNodesReported:
    """Every node has reported what it runs."""


@dataclass(frozen=True, slots=True)
class Placed:
    """The copy was placed and runs."""

    copy: int
    node: str
    rack: str


@dataclass(frozen=True, slots=True)
class Unplaced:
    """The copy lost its placement; the same job is being placed again."""

    copy: int


@dataclass(frozen=True, slots=True)
class NodeGone:
    """The node left the node list or restarted; it is not known whether its copies run."""

    node: str


@dataclass(frozen=True, slots=True)
class NodeBack:
    """The node is listed again.  Events of their own report those of its copies that no longer run."""

    node: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The copy's job is over; `confirmed`: no run of it can be alive."""

    copy: int
    end: End
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class EndConfirmed:
    """A copy whose job is over is now known not to run anywhere."""

    copy: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Stop replacing copies until `Resume`."""

    service: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Continue a paused update; earlier failures no longer count."""

    service: str


@dataclass(frozen=True, slots=True)
class Abort:
    """Return to the previous version, by an update like any other."""

    service: str


@dataclass(frozen=True, slots=True)
class Removed:
    """The service is removed: all its copies are stopped."""

    service: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""


Event = (
    Declared | Restored | RunFound | AllNodesReported | Placed | Unplaced | NodeGone | NodeBack | Ended
    | EndConfirmed | Pause | Resume | Abort | Removed | TimerFired | SettingsChanged
)  # fmt: skip


# --- actions ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartCopy:
    """Request the placement of a copy."""

    copy: int
    service: str
    slot: int
    version: int


@dataclass(frozen=True, slots=True)
class StopCopy:
    """Stop the copy; `Ended` follows once its node has reported the end."""

    copy: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a `TimerFired` at or after this time; timers that were set before remain."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

    service: str
    what: str
    text: str


@dataclass(frozen=True, slots=True)
class Persist:
    """Store the declared state of this service, which has changed; delete it if the service is gone."""

    service: str


Action = StartCopy | StopCopy | SetTimer | Log | Persist


# --- state ------------------------------------------------------------------------------------------------


class CopyState(Enum):
    """State of a copy."""

    PENDING = "asked"  # being placed
    RUNNING = "running"
    HEALTHY = "healthy"
    UNREACHABLE = "unreachable"  # its node is gone; it may still run there
    STOPPING = "stopping"  # told to stop; its node has not reported the end
    UNKNOWN = "unknown"  # its job is over, but a run of it may still be alive
    ENDED = "ended"

    def may_become(self, state: CopyState) -> bool:
        """Whether a copy may go from this state to `state`."""
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
    """One copy: a job that was requested for a slot and may run."""

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
        """Whether the copy is healthy and has this version."""
        return self.state is CopyState.HEALTHY and self.version == version


@dataclass(slots=True)
class Slot:
    """One of the `count` slots of a service."""

    index: int
    copies: list[Copy] = field(default_factory=list)  # copies that may be alive
    last_healthy_version: int = -1  # -1: no copy was healthy here yet
    backoff_ns: int = 0
    not_before_ns: int = 0

    def has_healthy(self, version: int) -> bool:
        """Whether a healthy copy has this version."""
        return any(copy.is_healthy(version) for copy in self.copies)


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Status of one service, as `ladderhub rollout status` shows it."""

    service: str
    count: int
    version: int
    previous: int
    stage: Stage
    new: int  # slots whose healthy copy has the target version
    old: int  # slots whose healthy copy has another version
    down: int  # slots without a healthy copy
    alive: int  # runs that may be alive
    wait_reasons: tuple[str, ...]
    failures: int
    window: int  # starts that may be in progress at a time, learned from earlier starts
