"""Jobs on a node, and how they are parsed from the Queue Job request of an offer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ladderhub.loop import Timer
from ladderhub.node.admission import Offer, RunKey
from ladderhub.node.runners import JobSpec
from ladderhub.pbs import names as n
from ladderhub.pbs.attributes import parse_variables
from ladderhub.pbs.batch import Attr, Reply, Request, Row
from ladderhub.pbs.resources import GIB, parse_resources

DEFAULT_JOB_NAME = "STDIN"
DEFAULT_CORES = 1.0
NO_UMASK = -1  # keeps the umask of the agent
FENCE_PREFIX = "fence:"  # in the extension of Status Job: fence the run if it is not known
_MAX_RUN_DIGITS = 9
_OCTAL_DIGITS = set("01234567")


class JobState(StrEnum):
    """State of a job on its node.  The values are those of the attribute `job_state`, except STARTING."""

    OFFERED = "T"  # received, and not committed yet
    WAITING = "Q"  # committed, and waiting for a start slot
    STARTING = "S"  # reported as Q
    RUNNING = "R"


class NodeJob:
    """A job that was offered to this node and has not ended."""

    __slots__ = (
        "answer_commit",
        "attrs",
        "commit_timer",
        "key",
        "offer",
        "server_address",
        "spec",
        "started_ns",
        "state",
    )

    def __init__(self, key: RunKey, offer: Offer, spec: JobSpec, attrs: list[Attr], server: str) -> None:
        self.key, self.offer, self.spec, self.attrs, self.server_address = key, offer, spec, attrs, server
        self.state = JobState.OFFERED
        self.answer_commit: Callable[[Reply], None] | None = None  # set while its Commit is unanswered
        self.commit_timer: Timer | None = None  # withdraws the offer if no Commit comes
        self.started_ns = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """How a run on this node ended."""

    status: int
    reason: str

    def to_row(self, key: RunKey) -> Row:
        """Return the row of Status Job for this run."""
        attrs = [
            Attr("job_state", "F"),
            Attr("Exit_status", str(self.status)),
            Attr("exit_reason", self.reason),
        ]
        return Row(n.OBJ_JOB, key[0], attrs)


def parse_fenced_run(extension: str) -> int:
    """Return the run that is named by a fence extension, or 0 if it names none."""
    text = extension.removeprefix(FENCE_PREFIX)
    return int(text) if text.isascii() and text.isdigit() else 0


def parse_run(request: Request) -> int:
    """Return the `run_version` of a request, or 0 if it names none."""
    text = request.get("run_version", "0")
    return int(text) if text.isascii() and text.isdigit() and len(text) <= _MAX_RUN_DIGITS else 0


def parse_job(request: Request, node: str) -> NodeJob:
    """Return the job of a Queue Job request.  Raises `ResourceError` if it requests unsupported resources."""
    get, key = request.get, (request.job, parse_run(request))
    resources = parse_resources(
        {attr.resource: attr.value for attr in request.attrs if attr.name == "Resource_List"}
    )
    cores = DEFAULT_CORES if resources.cores is None else resources.cores
    memory_gib = resources.memory / GIB
    offer = Offer(
        key, get("service") or get("Job_Name"), cores, memory_gib, get("queue"), get("Account_Name")
    )
    spec = JobSpec(
        job=request.job,
        run=key[1],
        name=get("Job_Name") or DEFAULT_JOB_NAME,
        queue=offer.queue,
        owner=get("Job_Owner"),
        script=b"",
        cores=cores,
        memory_gib=memory_gib,
        walltime_s=resources.walltime_s,
        variables=parse_variables(get("Variable_List")),
        output=get("Output_Path"),
        error=get("Error_Path"),
        join=get("Join_Path", "n"),
        shell=get("Shell_Path_List"),
        keep=get("Keep_Files", "n"),
        umask=_parse_umask(get("umask")),
        node=node,
        mpiprocs=resources.mpiprocs,
        ompthreads=resources.ompthreads,
    )
    return NodeJob(key, offer, spec, request.attrs, get("server_address"))


def _parse_umask(text: str) -> int:
    return int(text, 8) if text and not set(text) - _OCTAL_DIGITS else NO_UMASK
