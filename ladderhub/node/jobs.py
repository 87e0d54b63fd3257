"""A job that a node took in, and how it is read from an offer's Queue Job request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ladderhub.loop import Timer
from ladderhub.node.admission import Offer, RunKey
from ladderhub.node.runners import Work
from ladderhub.pbs import names as n
from ladderhub.pbs.attributes import variables_of
from ladderhub.pbs.batch import Attr, Reply, Request, Row
from ladderhub.pbs.resources import GIB, wanted

DEFAULT_JOB_NAME = "STDIN"
DEFAULT_CORES = 1.0
NO_UMASK = -1
FENCE = "fence:"  # extension of Status Job: bar the run where it is not known
_MAX_RUN_DIGITS = 9
_OCTAL_DIGITS = set("01234567")


class JobState(StrEnum):
    """Where a job stands on its node.  The values are those of `job_state`, but for STARTING."""

    OFFERED = "T"  # taken in, and not committed yet
    WAITING = "Q"  # committed, and waiting for a start slot
    STARTING = "S"  # shown as Q
    RUNNING = "R"


class NodeJob:
    """A job that this node took in."""

    __slots__ = (
        "attrs",
        "commit",
        "key",
        "offer",
        "pending",
        "server",
        "started_ns",
        "state",
        "work",
    )

    def __init__(self, key: RunKey, offer: Offer, work: Work, attrs: list[Attr], server: str) -> None:
        self.key, self.offer, self.work, self.attrs, self.server = key, offer, work, attrs, server
        self.state = JobState.OFFERED
        self.commit: Callable[[Reply], None] | None = None  # answers its Commit, while that waits
        self.pending: Timer | None = None  # ends the wait for its Commit
        self.started_ns = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """How a run on this node ended."""

    status: int
    reason: str

    def row(self, key: RunKey) -> Row:
        """The row of Status Job."""
        attrs = [
            Attr("job_state", "F"),
            Attr("Exit_status", str(self.status)),
            Attr("exit_reason", self.reason),
        ]
        return Row(n.OBJ_JOB, key[0], attrs)


def fenced_run(extension: str) -> int:
    """The run that a fence speaks of; 0 where it names none."""
    text = extension.removeprefix(FENCE)
    return int(text) if text.isascii() and text.isdigit() else 0


def run_of(request: Request) -> int:
    """The run that a request speaks of; 0 where it names none."""
    text = request.get("run_version", "0")
    return int(text) if text.isascii() and text.isdigit() and len(text) <= _MAX_RUN_DIGITS else 0


def held_job(request: Request, node: str) -> NodeJob:
    """The job of a Queue Job request; `ResourceError` where it asks for what nothing here acts on."""
    get, key = request.get, (request.job, run_of(request))
    resources = wanted({attr.resource: attr.value for attr in request.attrs if attr.name == "Resource_List"})
    cores = DEFAULT_CORES if resources.cores is None else resources.cores
    memory_gib = resources.memory / GIB
    offer = Offer(
        key, get("service") or get("Job_Name"), cores, memory_gib, get("queue"), get("Account_Name")
    )
    work = Work(
        job=request.job,
        run=key[1],
        name=get("Job_Name") or DEFAULT_JOB_NAME,
        queue=offer.queue,
        owner=get("Job_Owner"),
        script=b"",
        cores=cores,
        memory_gib=memory_gib,
        walltime_s=resources.walltime_s,
        variables=variables_of(get("Variable_List")),
        output=get("Output_Path"),
        error=get("Error_Path"),
        join=get("Join_Path", "n"),
        shell=get("Shell_Path_List"),
        keep=get("Keep_Files", "n"),
        umask=_umask_of(get("umask")),
        node=node,
        mpiprocs=resources.mpiprocs,
        ompthreads=resources.ompthreads,
    )
    return NodeJob(key, offer, work, request.attrs, get("server_address"))


def _umask_of(text: str) -> int:
    return int(text, 8) if text and not set(text) - _OCTAL_DIGITS else NO_UMASK
