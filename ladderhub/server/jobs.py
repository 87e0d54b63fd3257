"""Jobs of the daemon: what was submitted, and the state of each.  Holds state only, makes no decisions."""

from __future__ import annotations

from collections import OrderedDict
from pathlib import Path

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Row
from ladderhub.server.spool import SpoolError, write_durably

NUMBERS_PER_BLOCK = 1000
SUMMARY_ATTRIBUTES = frozenset((
    "Job_Name", "Job_Owner", "job_state", "queue", "comment", "placement", "placement_time_ns", "exec_host",
    "Exit_status",
))  # fmt: skip


class JobNumbers:
    """Allocates job numbers that are never reused, even after a restart.

    A block is reserved on disk before any of its numbers is used: a crash leaves a gap, never a repeat."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / "job-numbers"
        try:
            self._next = int(self._path.read_text())
        except FileNotFoundError:
            self._next = 1
        except ValueError:
            where, expected = str(self._path), "the next free job number"
            raise SpoolError("not a number", where=where, expected=expected) from None
        self._reserved_until = self._next

    def allocate(self) -> int:
        if self._next >= self._reserved_until:
            self._reserve_block()
        self._next += 1
        return self._next - 1

    def _reserve_block(self) -> None:
        reserved_until = self._reserved_until + NUMBERS_PER_BLOCK
        write_durably(self._path, str(reserved_until).encode())
        self._reserved_until = reserved_until


class JobRecord:
    """One job.  `number` is local to this process of the daemon; `id` (`NUMBER.SERVER`) is permanent."""

    __slots__ = (
        "account", "adopted", "answer", "answer_ns", "comment", "cores", "created_ns", "end_ns",
        "exit_status", "id", "memory", "messages", "mpiprocs", "name", "number", "ompthreads", "owner",
        "pinned", "queue", "rerunnable", "revision", "run", "run_machine", "script", "service", "start_ns",
        "state", "substate", "task", "values", "walltime_s",
    )  # fmt: skip

    def __init__(self, number: int, id: str, queue: int) -> None:
        self.number, self.id, self.queue = number, id, queue
        self.name = self.service = self.account = self.owner = ""
        self.cores, self.memory = 1.0, 0.0
        self.script = b""
        self.values: dict[str, Attr] = {}  # attributes as submitted, by `name.resource`
        self.rerunnable = True
        self.pinned = False  # kept after it finished, since one of its runs may be alive
        self.adopted = False  # found running after a restart; its script was lost
        self.state, self.substate, self.comment = "Q", 10, ""
        self.answer = ""
        self.exit_status: int | None = None
        self.revision = 0  # of the policy under which the last decision on it was made
        self.run = 0  # number of the last run sent
        self.run_machine = ""  # the node that runs it, once placed
        self.task = -1  # number of the current task in the decision module; -1: none
        self.walltime_s = self.mpiprocs = self.ompthreads = 0
        self.created_ns = self.start_ns = self.end_ns = self.answer_ns = 0
        self.messages: list[str] = []


class JobTable:
    """All jobs by number and identifier, live and finished; finished ones are kept for `retention_ns`."""

    def __init__(self, retention_ns: int, server: str) -> None:
        self.retention_ns, self._server = retention_ns, server
        self.by_id: dict[str, JobRecord] = {}
        self.by_number: dict[int, JobRecord] = {}
        self.live: dict[int, JobRecord] = {}
        self.finished: OrderedDict[str, JobRecord] = OrderedDict()
        self._next = 1

    def add(self, id: str, queue: int, now: int) -> JobRecord:
        record = JobRecord(self._next, id, queue)
        self._next += 1
        record.created_ns = now
        self.by_id[id] = record
        self.live[record.number] = self.by_number[record.number] = record
        return record

    def find(self, name: str) -> JobRecord | None:
        """Find a job by `NUMBER` or `NUMBER.SERVER`."""
        return self.by_id.get(name if "." in name else f"{name}.{self._server}")

    def finish(self, record: JobRecord, now: int) -> None:
        record.state, record.substate, record.end_ns = "F", 92, now
        record.script = b""
        self.live.pop(record.number, None)
        self.finished[record.id] = record

    def remove_expired(self, now: int) -> None:
        """Remove jobs that finished more than `retention_ns` ago, except pinned ones."""
        while self.finished:
            record = next(iter(self.finished.values()))
            if now - record.end_ns < self.retention_ns:
                return
            self.finished.popitem(last=False)
            if record.pinned:
                record.end_ns = now
                self.finished[record.id] = record
                continue
            del self.by_id[record.id], self.by_number[record.number]


def format_timestamp(now_ns: int) -> str:
    """Format a time as whole seconds since the epoch, the form used in attributes."""
    return str(now_ns // 1_000_000_000)


def build_summary_row(record: JobRecord, queue: str, wanted: frozenset[str]) -> Row:
    """Build a row of only the wanted attributes.

    The default query of `qstat` uses it, which must be cheap with 10,000 jobs."""
    summary = (
        ("Job_Name", record.name), ("Job_Owner", record.owner), ("job_state", record.state), ("queue", queue),
        ("comment", record.comment), ("placement", record.answer),
        ("placement_time_ns", str(record.answer_ns) if record.answer else ""),
        ("exec_host", f"{record.run_machine}/0" if record.run_machine else ""),
        ("Exit_status", "" if record.exit_status is None else str(record.exit_status)),
    )  # fmt: skip
    attrs = [Attr(name, value) for name, value in summary if value and name in wanted]
    attrs += [
        attr for attr in record.values.values() if attr.name in wanted and attr.name not in SUMMARY_ATTRIBUTES
    ]
    return Row(n.OBJ_JOB, record.id, attrs)


def build_row(record: JobRecord, queue: str, server: str) -> Row:
    """Build a row of all attributes of the job, as `qstat -f` shows them."""
    attrs = [
        Attr("Job_Name", record.name), Attr("Job_Owner", record.owner), Attr("job_state", record.state),
        Attr("queue", queue), Attr("server", server), Attr("substate", str(record.substate)),
    ]  # fmt: skip
    if record.run_machine:
        attrs.append(Attr("exec_host", f"{record.run_machine}/0"))
    if record.comment:
        attrs.append(Attr("comment", record.comment))
    if record.answer:
        attrs += [Attr("placement", record.answer), Attr("placement_time_ns", str(record.answer_ns))]
    if record.exit_status is not None:
        attrs.append(Attr("Exit_status", str(record.exit_status)))
    attrs += [Attr("run_count", str(record.run)), Attr("ctime", format_timestamp(record.created_ns))]
    attrs.append(Attr("policy_revision", str(record.revision)))
    if record.start_ns:
        attrs.append(Attr("stime", format_timestamp(record.start_ns)))
    if record.end_ns:
        attrs.append(Attr("mtime", format_timestamp(record.end_ns)))
    skip = {"Job_Name", "Job_Owner"}
    attrs += [attr for key, attr in record.values.items() if key not in skip]
    attrs += [Attr("message", text) for text in record.messages]
    return Row(n.OBJ_JOB, record.id, attrs)
