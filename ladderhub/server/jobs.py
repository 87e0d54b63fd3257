"""Jobs as the daemon keeps them: what was submitted, and where each stands.  State only, no decisions."""

from __future__ import annotations

from collections import OrderedDict
from pathlib import Path

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Row
from ladderhub.server.lasting import SpoolError, write_lasting

BLOCK = 1000
PLAIN = frozenset((
    "Job_Name", "Job_Owner", "job_state", "queue", "comment", "placement", "placement_time_ns", "exec_host",
    "Exit_status",
))  # fmt: skip


class JobNumbers:
    """Job numbers that never come twice, over restarts too.

    A block is reserved on disk before any of it is given out, so a crash leaves a gap and never a repeat."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / "job-numbers"
        try:
            self._next = int(self._path.read_text())
        except FileNotFoundError:
            self._next = 1
        except ValueError:
            where, meant = str(self._path), "the next free job number"
            raise SpoolError("not a number", where=where, expected=meant) from None
        self._reserved = self._next

    def take(self) -> int:
        if self._next >= self._reserved:
            self._reserve()
        self._next += 1
        return self._next - 1

    def _reserve(self) -> None:
        upto = self._reserved + BLOCK
        write_lasting(self._path, str(upto).encode())
        self._reserved = upto


class JobRecord:
    """One job.  `number` counts within this life of the daemon; `id` is `number.server` for good."""

    __slots__ = (
        "account", "adopted", "answer", "answer_ns", "comment", "cores", "end_ns", "exit_status", "id",
        "made_ns", "memory", "messages", "mpiprocs", "name", "number", "ompthreads", "owner", "pinned",
        "queue", "rerunnable", "revision", "run", "run_machine", "script", "service", "start_ns", "state",
        "substate", "task", "values", "walltime_s",
    )  # fmt: skip

    def __init__(self, number: int, id: str, queue: int) -> None:
        self.number, self.id, self.queue = number, id, queue
        self.name = self.service = self.account = self.owner = ""
        self.cores, self.memory = 1.0, 0.0
        self.script = b""
        self.values: dict[str, Attr] = {}  # attributes as submitted, by `name.resource`
        self.rerunnable = True
        self.pinned = False  # kept though it is over: a run of it may be alive
        self.adopted = False  # found running after a restart; its script is gone
        self.state, self.substate, self.comment = "Q", 10, ""
        self.answer = ""
        self.exit_status: int | None = None
        self.revision = 0  # of the policy by which the last decision on it was made
        self.run = 0  # the last run sent
        self.run_machine = ""  # where it runs, once placed
        self.task = -1  # the module's number for the present ask
        self.walltime_s = self.mpiprocs = self.ompthreads = 0
        self.made_ns = self.start_ns = self.end_ns = self.answer_ns = 0
        self.messages: list[str] = []


class JobTable:
    """All jobs: live ones by number and identifier, finished ones for a set time."""

    def __init__(self, keep_ns: int, server: str) -> None:
        self.keep_ns, self._server = keep_ns, server
        self.by_id: dict[str, JobRecord] = {}
        self.by_number: dict[int, JobRecord] = {}
        self.live: dict[int, JobRecord] = {}
        self.finished: OrderedDict[str, JobRecord] = OrderedDict()
        self._next = 1

    def add(self, id: str, queue: int, now: int) -> JobRecord:
        record = JobRecord(self._next, id, queue)
        self._next += 1
        record.made_ns = now
        self.by_id[id] = record
        self.live[record.number] = self.by_number[record.number] = record
        return record

    def find(self, name: str) -> JobRecord | None:
        """A job by `number` or `number.server`."""
        return self.by_id.get(name if "." in name else f"{name}.{self._server}")

    def finish(self, record: JobRecord, now: int) -> None:
        record.state, record.substate, record.end_ns = "F", 92, now
        record.script = b""
        self.live.pop(record.number, None)
        self.finished[record.id] = record

    def sweep(self, now: int) -> None:
        """Forget what finished too long ago."""
        while self.finished:
            record = next(iter(self.finished.values()))
            if now - record.end_ns < self.keep_ns:
                return
            self.finished.popitem(last=False)
            if record.pinned:
                record.end_ns = now
                self.finished[record.id] = record
                continue
            del self.by_id[record.id], self.by_number[record.number]


def stamp(now_ns: int) -> str:
    """Whole seconds since the epoch, as times go in attributes."""
    return str(now_ns // 1_000_000_000)


def short_row(record: JobRecord, queue: str, wanted: frozenset[str]) -> Row:
    """Only the attributes named: what `qstat` asks for by default must be cheap at 10,000 jobs."""
    plain = (
        ("Job_Name", record.name), ("Job_Owner", record.owner), ("job_state", record.state), ("queue", queue),
        ("comment", record.comment), ("placement", record.answer),
        ("placement_time_ns", str(record.answer_ns) if record.answer else ""),
        ("exec_host", f"{record.run_machine}/0" if record.run_machine else ""),
        ("Exit_status", "" if record.exit_status is None else str(record.exit_status)),
    )  # fmt: skip
    attrs = [Attr(name, value) for name, value in plain if value and name in wanted]
    attrs += [attr for attr in record.values.values() if attr.name in wanted and attr.name not in PLAIN]
    return Row(n.OBJ_JOB, record.id, attrs)


def row_of(record: JobRecord, queue: str, server: str) -> Row:
    """The job's attributes as `qstat -f` shows them."""
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
    attrs += [Attr("run_count", str(record.run)), Attr("ctime", stamp(record.made_ns))]
    attrs.append(Attr("policy_revision", str(record.revision)))
    if record.start_ns:
        attrs.append(Attr("stime", stamp(record.start_ns)))
    if record.end_ns:
        attrs.append(Attr("mtime", stamp(record.end_ns)))
    skip = {"Job_Name", "Job_Owner"}
    attrs += [attr for key, attr in record.values.items() if key not in skip]
    attrs += [Attr("message", text) for text in record.messages]
    return Row(n.OBJ_JOB, record.id, attrs)
