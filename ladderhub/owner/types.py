"""Events, actions and state of `Owner`.  Times and durations are nanoseconds on one clock.

A *job* is what a user submitted.  Each placement *request* hands it to the decision module as one task.  Each
*run* is one offer sent to a machine.  Runs are numbered per job across its requests, so that every report of
a machine identifies its run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ladderhub.interface import Effect


class Answer(Enum):
    """The single answer that each placement gets."""

    PLACED = "placed"
    REFUSED = "refused"
    FAILED = "failed"


class RunStatus(Enum):
    """What a machine replies about a run."""

    RUNS = "runs"
    ENDED = "ended"
    NEVER = "never"  # it never ran and never will
    STOPPING = "stopping"
    SILENT = "silent"  # there was no usable reply


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
    """Limits and back-off for the jobs of a queue.

    `limit_ns`: from submission (or release from a hold) to the answer.  `request_limit_ns`: for one request.
    `max_requests`: per placement.  `max_reruns`: further placements after one was lost or sent away.
    `query_delay_ns`: before the first query of a run in doubt."""

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
    """Settings of the life cycle of jobs.

    `retry_share`: retries that each new job adds to the retry budget; `retry_burst`: most that the budget
    holds.  `answer_margin_ns`: how long before its deadline a job is answered.  `orphan_timeout_ns`: for how
    long runs of finished jobs are told to stop."""

    queues: tuple[QueueRules, ...]
    retry_share: float = 0.5
    retry_burst: float = 200.0
    answer_margin_ns: int = 60_000_000
    min_query_interval_ns: int = 200_000_000
    max_query_interval_ns: int = 5_000_000_000
    orphan_timeout_ns: int = 600_000_000_000

    def __post_init__(self) -> None:
        # The messages use the names of the settings file.
        for index, queue in enumerate(self.queues):
            if queue.limit_ns <= 2 * self.answer_margin_ns:
                raise ValueError(
                    f"queues[{index}].limit: must be above {2 * self.answer_margin_ns // 1_000_000} ms"
                )
            if queue.request_limit_ns <= 0 or queue.max_requests < 1 or queue.max_reruns < 0:
                raise ValueError(
                    f"queues[{index}]: ask must be above 0, asks at least 1, reruns not negative"
                )
            if not 0 < queue.min_backoff_ns <= queue.max_backoff_ns:
                raise ValueError(f"queues[{index}]: stay_first must be above 0 and at most stay_most")
        if self.retry_share < 0 or self.retry_burst < 1:
            raise ValueError("again_share must not be negative, again_burst at least 1")


# --- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Submitted:
    """A job was committed and must be answered.  `rerunnable`: its owner allows further placements."""

    job: int
    queue: int
    rerunnable: bool = True
    held: bool = False
    stop_until_confirmed: bool = False  # `orphan_timeout_ns` does not apply to its runs
    effect: Effect | None = None  # if not its queue's: a service keeps the effect it was declared with


@dataclass(frozen=True, slots=True)
class Adopted:
    """A machine was found running a job of an earlier life of this scheduler, which has answered the job."""

    job: int
    queue: int
    run: int
    machine: str
    rerunnable: bool = True


@dataclass(frozen=True, slots=True)
class Altered:
    """The owner changed the job; `rerunnable` as in `Submitted`."""

    job: int
    rerunnable: bool


@dataclass(frozen=True, slots=True)
class Sent:
    """The decision module's offer was sent as this run."""

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
    """The run is known never to have run: it was refused, unreachable or never sent."""

    job: int
    run: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The machine did not answer the offer: the run may be running, or may still be accepted."""

    job: int
    run: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PlacementRejected:
    """The decision module refused the request, or failed it (`failed`)."""

    job: int
    request_id: int
    failed: bool = False


@dataclass(frozen=True, slots=True)
class MachineReplied:
    """A machine's reply to a query or a stop."""

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
    """A machine restarted; the runs it had before are over.

    The machine is queried to find out which runs those are, because its clock may differ from this one."""

    machine: str


@dataclass(frozen=True, slots=True)
class MachineGone:
    """A machine is listed as gone.  Its runs may still be alive."""

    machine: str


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The job is to be cancelled."""

    job: int


@dataclass(frozen=True, slots=True)
class Hold:
    """The owner holds the job: it is not placed until its release."""

    job: int


@dataclass(frozen=True, slots=True)
class Release:
    """The owner released a held job."""

    job: int


@dataclass(frozen=True, slots=True)
class Rerun:
    """A running job is to be stopped and placed again."""

    job: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The job's timer fired."""

    job: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """These settings apply from now on.

    Queues keep their index: new ones are appended, and removed ones stay in place.  A placement that has not
    been answered keeps its rules; the job's next placement uses the new ones, except for its effect."""

    settings: OwnerSettings


@dataclass(frozen=True, slots=True)
class RequestsPaused:
    """No placements may be requested until `RequestsResumed`; jobs wait with this reason, deadlines apply."""

    reason: str


@dataclass(frozen=True, slots=True)
class RequestsResumed:
    """Placements may be requested again; those of the waiting jobs are requested now."""


@dataclass(frozen=True, slots=True)
class SchedulerStopping:
    """The scheduler stops: answer jobs that wait; `immediately`: also those being placed or in doubt."""

    immediately: bool = False


Event = (
    Submitted | Adopted | Altered | Sent | Accepted | NeverRan | InDoubt | PlacementRejected | MachineReplied
    | Ended | MachineRestarted | MachineGone | Cancelled | Hold | Release | Rerun | TimerFired
    | SettingsChanged | RequestsPaused | RequestsResumed | SchedulerStopping
)  # fmt: skip


# --- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestPlacement:
    """Hand the job to the decision module as a new task.

    `is_retry`: the job was requested before.  `effect`: the job's own, if it differs from its queue's."""

    job: int
    request_id: int
    budget_ns: int
    is_retry: bool
    effect: Effect | None = None


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Tell the decision module that this request is no longer wanted."""

    job: int
    request_id: int


@dataclass(frozen=True, slots=True)
class Query:
    """Ask the machine for the run's status; if it doesn't know the run, it rejects it from then on."""

    job: int
    run: int
    machine: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Tell the machine to end the run; if it doesn't know the run, it rejects it from then on."""

    job: int
    run: int
    machine: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """Hand the run to the decision module as a task that is already placed."""

    job: int
    request_id: int
    run: int
    machine: str


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """Report the placement's answer."""

    job: int
    answer: Answer
    reason: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The job is finished."""

    job: int
    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimerFired` at or after this time; replaces the job's earlier timer."""

    job: int
    at_ns: int


Action = RequestPlacement | Withdraw | Query | Stop | Adopt | ReportAnswer | Finish | SetTimer


@dataclass(slots=True)
class Run:
    """A run that may be alive on a machine."""

    machine: str
    accepted: bool = False
    unwanted: bool = False  # it is to be stopped
    in_doubt: bool = False  # the machine did not answer the offer, or it restarted
    last_message_ns: int = -1  # when the last query or stop was sent; -1: none yet
    interval_ns: int = 0  # between queries or stops
    since_ns: int = 0  # when it was sent, its first query was due, or its job finished
    stop_until_confirmed: bool = False


@dataclass(slots=True)
class Job:
    """The state of one job.  `rules` are those of its current placement."""

    number: int
    queue: int
    rules: QueueRules
    rerunnable: bool
    state: str
    deadline_ns: int
    stop_until_confirmed: bool = False
    runs: dict[int, Run] = field(default_factory=dict)
    request_id: int = 0  # of the latest request
    request_count: int = 0  # of the current placement
    placement_count: int = 0
    backoff_ns: int = 0
    wait_until_ns: int = 0
    answered: bool = False
    hold_requested: bool = False
    waits_for_resume: bool = False  # until `RequestsResumed`
    rerun_requested: bool = False
    is_retry: bool = False
    main_run: int = -1  # the run that is its placement
    state_reason: str = ""
    timer_ns: int = -1  # -1: not set
