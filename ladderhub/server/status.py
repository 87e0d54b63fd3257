"""Requests that only look: Status Job, Select Jobs, Status Queue, Status Server, Status Node."""

from __future__ import annotations

from collections.abc import Iterator

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row, encode_rows, refusal
from ladderhub.pbs.connection import ServerConnection
from ladderhub.pbs.resources import ResourceError, parse_size, parse_time
from ladderhub.server.door import Answer, Serve
from ladderhub.server.jobs import PLAIN, JobRecord, row_of, short_row
from ladderhub.server.members import Members
from ladderhub.server.site import Site

ROWS_AT_ONCE = 50
SHORT = PLAIN | {"Resource_List", "resources_used", "Account_Name", "Priority"}


class Status:
    """Serves what `qstat`, `qselect` and `pbsnodes` show."""

    def __init__(self, site: Site, members: Members) -> None:
        self._site, self._members = site, members

    def serves(self) -> dict[int, Serve]:
        return {
            n.STATUS_JOB: self.status_job, n.SELECT_JOBS: self.select, n.STATUS_QUEUE: self.status_queue,
            n.STATUS_SERVER: self.status_server, n.STATUS_NODE: self.status_node,
        }  # fmt: skip

    def _rows(self, records: list[JobRecord], attrs: list[Attr]) -> Reply | Iterator[bytes]:
        names, server = self._site.settings.queues.all, self._site.name
        wanted = frozenset(attr.name for attr in attrs)
        known = wanted and wanted <= SHORT

        def rows() -> Iterator[Row]:
            for record in records:
                if known:
                    yield short_row(record, names[record.queue], wanted)
                    continue
                row = row_of(record, names[record.queue], server)
                if wanted:
                    row.attrs = [attr for attr in row.attrs if attr.name in wanted]
                yield row

        if len(records) > ROWS_AT_ONCE:
            return encode_rows(len(records), rows(), ROWS_AT_ONCE)
        return Reply(0, n.R_STATUS, rows=list(rows()))

    def status_job(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        """One job, those of a queue, or all; finished ones too with the extension `x`."""
        jobs, name = self._site.jobs, request.job
        if not name or name.startswith("@") or name[0].isalpha():
            queue = name.partition("@")[0]
            if queue and not self._site.settings.queues.is_known(queue):
                answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {queue}"))
                return
            records = list(jobs.by_id.values() if "x" in request.extension else jobs.live.values())
            if queue:
                at = self._site.settings.queues.index(queue)
                records = [record for record in records if record.queue == at]
            answer(self._rows(records, request.attrs))
            return
        record = self._site.jobs.find(name)
        if record is None:
            answer(refusal(n.UNKNOWN_JOB, f"Unknown Job Id {name}"))
        elif record.state == "F" and "x" not in request.extension:
            answer(refusal(n.BAD_STATE, f"Job has finished {record.id}, use -x or -H to obtain history"))
        else:
            answer(self._rows([record], request.attrs))

    def select(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        records = self._site.jobs.by_id if "x" in request.extension else None
        pool = list(records.values()) if records is not None else list(self._site.jobs.live.values())
        try:
            chosen = [record for record in pool if all(self._matches(record, attr) for attr in request.attrs)]
        except ResourceError as fault:
            answer(refusal(fault.code, str(fault)))
            return
        answer(Reply(0, n.R_SELECT, jobs=[record.id for record in chosen]))

    def _matches(self, record: JobRecord, attr: Attr) -> bool:
        if attr.name == "job_state":
            return (record.state in attr.value) != (attr.op == n.OP_NE)
        own_value: str
        if attr.name in ("queue", "destination"):
            own_value, attr = self._site.settings.queues.all[record.queue], Attr(
                attr.name, attr.value.partition("@")[0], "", attr.op
            )  # fmt: skip
            if not attr.value:
                return True
        elif attr.name == "Job_Owner":
            names = [name.partition("@")[0] for name in attr.value.split(",")]
            return (record.owner.partition("@")[0] in names) != (attr.op == n.OP_NE)
        else:
            found = record.values.get(attr.key())
            own_value = {"Job_Name": record.name}.get(attr.name, found.value if found else "")
        if attr.name == "Resource_List" and attr.resource in ("mem", "ncpus", "walltime"):
            if not own_value and attr.resource == "walltime":
                return False
            mine, theirs = _measures(attr.resource, own_value, attr.value, record)
            return _ordered(mine > theirs, mine < theirs, attr.op)
        return _compare(own_value, attr.value, attr.op)

    def status_queue(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        site = self._site
        queues, wanted = site.settings.queues, request.name.partition("@")[0]
        if wanted and not queues.is_known(wanted):
            answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {wanted}"))
            return
        rows = []
        for name in [wanted] if wanted else queues.all:
            at = queues.index(name)
            queue, is_open = site.settings.queue_at[at], queues.is_open(name)
            records = [record for record in site.jobs.live.values() if record.queue == at]
            if not (wanted or is_open or records):
                continue  # it was removed, and has finished what it had
            rows.append(
                Row(n.OBJ_QUEUE, name, [
                    Attr("queue_type", "Execution"), Attr("total_jobs", str(len(records))),
                    Attr("state_count", _counts(records)), Attr("Priority", str(queue.priority)),
                    Attr("enabled", "True" if is_open and not site.stopping else "False"),
                    Attr("started", "True"),
                    Attr("effect", queue.effect), Attr("limit", queue.limit),
                ])
            )  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=rows))

    def status_server(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        site, listed = self._site, self._members.list
        records = list(site.jobs.live.values())
        state = "Terminating" if site.stopping else "Active"
        row = Row(n.OBJ_SERVER, site.name, [
            Attr("server_state", state), Attr("total_jobs", str(len(records))),
            Attr("state_count", _counts(records)), Attr("default_queue", site.settings.default_queue),
            Attr("nodes", str(len(listed.entries))), Attr("list_version", str(listed.version)),
            Attr("owed", str(site.owner.count_unanswered())),
            *(attr for rows in site.status_rows for attr in rows()),
        ])  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=[row]))

    def status_node(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        site = self._site
        if request.name and request.name not in self._members.list.entries:
            answer(refusal(n.UNKNOWN_NODE, f"Unknown node {request.name}"))
            return
        jobs: dict[str, list[str]] = {}
        for record in site.jobs.live.values():
            jobs.setdefault(next(iter(site.runs.placed_at(record.number)), ""), []).append(record.id)
        rows = []
        for name, entry in sorted(self._members.list.entries.items()):
            if request.name in ("", name):
                drains = entry.stage == "draining" or name in self._members.offline
                kind = site.settings.file.kinds.get(entry.kind)
                rows.append(
                    Row(n.OBJ_NODE, name, [
                        Attr("state", "offline" if drains else "free"), Attr("Mom", entry.address),
                        Attr("ntype", "PBS"), Attr("rack", entry.rack), Attr("zone", entry.zone),
                        Attr("kind", entry.kind), Attr("jobs", ", ".join(jobs.get(name, []))),
                        Attr("resources_available", f"{kind.cores:g}" if kind else "0", "ncpus"),
                        Attr("resources_available", kind.memory if kind else "0b", "mem"),
                        Attr("resources_free", f"{entry.free_cores:g}", "ncpus"),
                        Attr("resources_free", f"{entry.free_memory:g}gb", "mem"),
                    ])
                )  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=rows))


def _compare(mine: str, theirs: str, op: int) -> bool:
    if op in (n.OP_SET, n.OP_EQ):
        return mine == theirs
    if op == n.OP_NE:
        return mine != theirs
    return _ordered(mine > theirs, mine < theirs, op)


def _ordered(above: bool, below: bool, op: int) -> bool:
    """What an operator says of two values of which one is above or below the other."""
    return {
        n.OP_GE: not below, n.OP_GT: above, n.OP_LE: not above, n.OP_LT: below, n.OP_NE: above or below,
    }.get(op, not above and not below)  # fmt: skip


def _measures(name: str, mine: str, theirs: str, record: JobRecord) -> tuple[float, float]:
    if name == "mem":
        return record.memory * (1 << 30), float(parse_size(theirs, name))
    if name == "walltime":
        return float(parse_time(mine, name)), float(parse_time(theirs, name))
    try:
        return record.cores, float(theirs)
    except ValueError:
        raise ResourceError(f"ncpus={theirs}: not a number of cores") from None


def _counts(records: list[JobRecord]) -> str:
    words = {"T": "Transit", "Q": "Queued", "H": "Held", "W": "Waiting", "R": "Running", "E": "Exiting"}
    return " ".join(f"{word}:{sum(r.state == letter for r in records)}" for letter, word in words.items())
