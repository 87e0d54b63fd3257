"""Events and actions of the owner's decisions.  Times and spans are nanoseconds on one clock.

A *job* is what a person submitted.  Each *ask* hands it to the decision module as one task; each *run* is one
offer sent to a machine, numbered over the whole job, so that a machine's word always names what it speaks of.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ladderhub.interface import Effect


class Answer(Enum):
    """The one answer that a placing is owed."""

    PLACED = "placed"
    REFUSED = "refused"
    FAILED = "failed"


class RunStatus(Enum):
    """What a machine says of a run: it runs, it has ended, it never ran and never will, or nothing."""

    RUNS = "runs"
    ENDED = "ended"
    NEVER = "never"
    STOPPING = "stopping"
    SILENT = "silent"


class End(Enum):
    """Why a run ended."""

    DONE = "done"
    KILLED = "killed"
    EVICTED = "evicted"
    DISPLACED = "displaced"
    SENT_AWAY = "sent_away"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class QueueRules:
    """What the owner of a queue's jobs allows.

    `limit_ns`: from being taken (or released from a hold) to the answer.  `request_limit_ns`: most for
    one ask.  `max_requests`: most asks a placing.  `max_reruns`: most placings after a first one was lost or
    sent away."""

    effect: Effect
    limit_ns: int
    request_limit_ns: int
    priority: int = 0
    max_requests: int = 8
    max_reruns: int = 100
    min_backoff_ns: int = 500_000_000
    max_backoff_ns: int = 4_000_000_000
    query_delay_ns: int = 300_000_000


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """`retry_share`: asks again that each new job pays for; `retry_burst`: most that can be saved up."""

    queues: tuple[QueueRules, ...]
    retry_share: float = 0.5
    retry_burst: float = 200.0
    answer_margin_ns: int = 60_000_000
    min_query_interval_ns: int = 200_000_000
    max_query_interval_ns: int = 5_000_000_000
    orphan_timeout_ns: int = 600_000_000_000

    def __post_init__(self) -> None:
        for at, queue in enumerate(self.queues):
            if queue.limit_ns <= 2 * self.answer_margin_ns:
                raise ValueError(
                    f"queues[{at}].limit: must be above {2 * self.answer_margin_ns // 1_000_000} ms"
                )
            if queue.request_limit_ns <= 0 or queue.max_requests < 1 or queue.max_reruns < 0:
                raise ValueError(f"queues[{at}]: ask must be above 0, asks at least 1, reruns not negative")
            if not 0 < queue.min_backoff_ns <= queue.max_backoff_ns:
                raise ValueError(f"queues[{at}]: stay_first must be above 0 and at most stay_most")
        if self.retry_share < 0 or self.retry_burst < 1:
            raise ValueError("again_share must not be negative, again_burst at least 1")


# --- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Submitted:
    """A job was committed: from now on it is owed an answer.  `rerunnable`: its person allows new
    placings."""

    job: int
    queue: int
    rerunnable: bool = True
    held: bool = False
    stop_until_confirmed: bool = (
        False  # its runs are chased until they are proven away, however long that takes
    )
    effect: Effect | None = None  # where it is not its queue's: a service keeps the one it was declared with


@dataclass(frozen=True, slots=True)
class Adopted:
    """A machine was found running a job of an earlier life of this scheduler; its answer was given then."""

    job: int
    queue: int
    run: int
    machine: str
    rerunnable: bool = True


@dataclass(frozen=True, slots=True)
class Altered:
    """A person changed the job; `rerunnable` as in `Submitted`."""

    job: int
    rerunnable: bool


@dataclass(frozen=True, slots=True)
class Sent:
    """The module's offer left as this run."""

    job: int
    request_id: int
    run: int
    machine: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """The machine accepted the run."""

    job: int
    run: int


@dataclass(frozen=True, slots=True)
class NeverRan:
    """The run is proven never to have run: refused, unreachable, or never sent."""

    job: int
    run: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The run's answer did not come: it may run, or may yet be accepted."""

    job: int
    run: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PlacementRejected:
    """The module's final answer to an ask was a refusal or a failure."""

    job: int
    request_id: int
    failed: bool = False


@dataclass(frozen=True, slots=True)
class MachineReplied:
    """A machine's word on a run, to a query or a stop."""

    job: int
    run: int
    status: RunStatus


@dataclass(frozen=True, slots=True)
class Ended:
    """A machine reports that a run ended."""

    job: int
    run: int
    end: End
    status: int = 0


@dataclass(frozen=True, slots=True)
class MachineRestarted:
    """A machine came up anew: what it ran before is over.

    Which runs that are, the machine is asked: its clock and this one may differ."""

    machine: str


@dataclass(frozen=True, slots=True)
class MachineGone:
    """A machine is listed as gone.  That proves nothing of what ran there."""

    machine: str


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The person wants the job ended."""

    job: int


@dataclass(frozen=True, slots=True)
class Hold:
    job: int


@dataclass(frozen=True, slots=True)
class Release:
    job: int


@dataclass(frozen=True, slots=True)
class Rerun:
    """The person wants a running job stopped and placed again."""

    job: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A `SetTimer` came due."""

    job: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """From now on these settings hold.  Queues keep their index for good: new ones are appended, and one that
    is gone stays in its place.  A placing that is owed keeps the rules it was taken by; the next one of the
    same job has the new ones, but for its effect, which stays."""

    settings: OwnerSettings


@dataclass(frozen=True, slots=True)
class RequestsPaused:
    """Ask the module for nothing until `RequestsResumed`; jobs wait, with the reason, and their limits run
    on."""

    reason: str


@dataclass(frozen=True, slots=True)
class RequestsResumed:
    """Jobs that waited for this are asked for now."""


@dataclass(frozen=True, slots=True)
class SchedulerStopping:
    """The scheduler ends: settle what can be settled; `immediately`: no more time is left."""

    immediately: bool = False


Event = (
    Submitted | Adopted | Altered | Sent | Accepted | NeverRan | InDoubt | PlacementRejected | MachineReplied
    | Ended | MachineRestarted | MachineGone | Cancelled | Hold | Release | Rerun | TimerFired
    | SettingsChanged | RequestsPaused | RequestsResumed | SchedulerStopping
)  # fmt: skip


# --- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestPlacement:
    """Hand the job to the module as a new task.  `effect`: what it was taken as, where that is not what its
    queue says by now."""

    job: int
    request_id: int
    budget_ns: int
    is_retry: bool
    effect: Effect | None = None


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Tell the module that this ask is no longer wanted."""

    job: int
    request_id: int


@dataclass(frozen=True, slots=True)
class Query:
    """Ask the machine what became of the run, and have it bar the run where it does not know it."""

    job: int
    run: int
    machine: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Have the machine end the run, and bar it where it does not know it."""

    job: int
    run: int
    machine: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """Hand the run to the module as a task that is open already."""

    job: int
    request_id: int
    run: int
    machine: str


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """The placing's one answer."""

    job: int
    answer: Answer
    reason: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The job is over."""

    job: int
    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Give a `TimerFired` at or after this moment; only the latest of a job counts."""

    job: int
    at_ns: int


Action = RequestPlacement | Withdraw | Query | Stop | Adopt | ReportAnswer | Finish | SetTimer


@dataclass(slots=True)
class Run:
    """A run that may be alive on a machine."""

    machine: str
    accepted: bool = False
    stop: bool = False  # it is unwanted
    doubt: bool = False  # its answer did not come
    asked_ns: int = -1  # when the machine was last asked or told to stop
    span_ns: int = 0
    since_ns: int = 0
    lasting: bool = False


@dataclass(slots=True)
class Job:
    """One job as the owner's decisions see it.  `rules` are those its present placing was taken by."""

    number: int
    queue: int
    rules: QueueRules
    rerunnable: bool
    state: str
    limit_ns: int
    lasting: bool = False
    runs: dict[int, Run] = field(default_factory=dict)
    ask: int = 0
    asks: int = 0
    placings: int = 0
    stay_ns: int = 0
    until_ns: int = 0
    answered: bool = False
    hold_wanted: bool = False
    paused: bool = False  # it waits for `RequestsResumed`
    rerun: bool = False
    came_again: bool = False
    main_run: int = -1
    why: str = ""
    woken_ns: int = -1
