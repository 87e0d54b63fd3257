"""Read-only requests: Status Job, Select Jobs, Status Queue, Status Server, Status Node."""

from __future__ import annotations

from collections.abc import Iterator

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row, encode_rows, refusal
from ladderhub.pbs.connection import ServerConnection
from ladderhub.pbs.resources import ResourceError, parse_size, parse_time
from ladderhub.server.clientlistener import ReplyCallback, RequestHandler
from ladderhub.server.jobs import SUMMARY_ATTRIBUTES, JobRecord, build_row, build_summary_row
from ladderhub.server.nodetracker import NodeTracker
from ladderhub.server.context import DaemonContext

ROWS_PER_CHUNK = 50
SUMMARY_QUERY_ATTRIBUTES = SUMMARY_ATTRIBUTES | {
    "Resource_List",
    "resources_used",
    "Account_Name",
    "Priority",
}


class StatusRequests:
    """Serves what `qstat`, `qselect` and `pbsnodes` show."""

    def __init__(self, context: DaemonContext, node_tracker: NodeTracker) -> None:
        self._context, self._node_tracker = context, node_tracker

    def get_handlers(self) -> dict[int, RequestHandler]:
        return {
            n.STATUS_JOB: self.status_job, n.SELECT_JOBS: self.select_jobs, n.STATUS_QUEUE: self.status_queue,
            n.STATUS_SERVER: self.status_server, n.STATUS_NODE: self.status_node,
        }  # fmt: skip

    def _build_reply(self, records: list[JobRecord], attrs: list[Attr]) -> Reply | Iterator[bytes]:
        names, server = self._context.settings.queues.all, self._context.name
        wanted = frozenset(attr.name for attr in attrs)
        summary_suffices = wanted and wanted <= SUMMARY_QUERY_ATTRIBUTES

        def rows() -> Iterator[Row]:
            for record in records:
                if summary_suffices:
                    yield build_summary_row(record, names[record.queue], wanted)
                    continue
                row = build_row(record, names[record.queue], server)
                if wanted:
                    row.attrs = [attr for attr in row.attrs if attr.name in wanted]
                yield row

        if len(records) > ROWS_PER_CHUNK:
            return encode_rows(len(records), rows(), ROWS_PER_CHUNK)
        return Reply(0, n.R_STATUS, rows=list(rows()))

    def status_job(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Report one job, the jobs of a queue, or all; finished ones only with the extension `x`."""
        jobs, name = self._context.jobs, request.job
        if not name or name.startswith("@") or name[0].isalpha():
            queue = name.partition("@")[0]
            if queue and not self._context.settings.queues.is_known(queue):
                answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {queue}"))
                return
            records = list(jobs.by_id.values() if "x" in request.extension else jobs.live.values())
            if queue:
                queue_index = self._context.settings.queues.index(queue)
                records = [record for record in records if record.queue == queue_index]
            answer(self._build_reply(records, request.attrs))
            return
        record = self._context.jobs.find(name)
        if record is None:
            answer(refusal(n.UNKNOWN_JOB, f"Unknown Job Id {name}"))
        elif record.state == "F" and "x" not in request.extension:
            answer(refusal(n.BAD_STATE, f"Job has finished {record.id}, use -x or -H to obtain history"))
        else:
            answer(self._build_reply([record], request.attrs))

    def select_jobs(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        records = self._context.jobs.by_id if "x" in request.extension else None
        candidates = list(records.values()) if records is not None else list(self._context.jobs.live.values())
        try:
            selected = [
                record for record in candidates if all(self._matches(record, attr) for attr in request.attrs)
            ]
        except ResourceError as fault:
            answer(refusal(fault.code, str(fault)))
            return
        answer(Reply(0, n.R_SELECT, jobs=[record.id for record in selected]))

    def _matches(self, record: JobRecord, attr: Attr) -> bool:
        if attr.name == "job_state":
            return (record.state in attr.value) != (attr.op == n.OP_NE)
        own_value: str
        if attr.name in ("queue", "destination"):
            own_value, attr = self._context.settings.queues.all[record.queue], Attr(
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
            value, operand = _parse_quantities(attr.resource, own_value, attr.value, record)
            return _satisfies(value > operand, value < operand, attr.op)
        return _compare(own_value, attr.value, attr.op)

    def status_queue(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        context = self._context
        queues, wanted = context.settings.queues, request.name.partition("@")[0]
        if wanted and not queues.is_known(wanted):
            answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {wanted}"))
            return
        rows = []
        for name in [wanted] if wanted else queues.all:
            queue_index = queues.index(name)
            queue, is_open = context.settings.queues_by_index[queue_index], queues.is_open(name)
            records = [record for record in context.jobs.live.values() if record.queue == queue_index]
            if not (wanted or is_open or records):
                continue  # a removed queue without jobs
            rows.append(
                Row(n.OBJ_QUEUE, name, [
                    Attr("queue_type", "Execution"), Attr("total_jobs", str(len(records))),
                    Attr("state_count", _format_state_counts(records)), Attr("Priority", str(queue.priority)),
                    Attr("enabled", "True" if is_open and not context.stopping else "False"),
                    Attr("started", "True"),
                    Attr("effect", queue.effect), Attr("limit", queue.limit),
                ])
            )  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=rows))

    def status_server(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        context, listed = self._context, self._node_tracker.node_list
        records = list(context.jobs.live.values())
        state = "Terminating" if context.stopping else "Active"
        row = Row(n.OBJ_SERVER, context.name, [
            Attr("server_state", state), Attr("total_jobs", str(len(records))),
            Attr("state_count", _format_state_counts(records)),
            Attr("default_queue", context.settings.default_queue),
            Attr("nodes", str(len(listed.entries))), Attr("list_version", str(listed.version)),
            Attr("owed", str(context.owner.count_unanswered())),
            *(attr for rows in context.status_sources for attr in rows()),
        ])  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=[row]))

    def status_node(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        context = self._context
        if request.name and request.name not in self._node_tracker.node_list.entries:
            answer(refusal(n.UNKNOWN_NODE, f"Unknown node {request.name}"))
            return
        jobs: dict[str, list[str]] = {}
        for record in context.jobs.live.values():
            jobs.setdefault(next(iter(context.runs.get_machines(record.number)), ""), []).append(record.id)
        rows = []
        for name, entry in sorted(self._node_tracker.node_list.entries.items()):
            if request.name in ("", name):
                is_offline = entry.stage == "draining" or name in self._node_tracker.offline
                kind = context.settings.file.kinds.get(entry.kind)
                rows.append(
                    Row(n.OBJ_NODE, name, [
                        Attr("state", "offline" if is_offline else "free"), Attr("Mom", entry.address),
                        Attr("ntype", "PBS"), Attr("rack", entry.rack), Attr("zone", entry.zone),
                        Attr("kind", entry.kind), Attr("jobs", ", ".join(jobs.get(name, []))),
                        Attr("resources_available", f"{kind.cores:g}" if kind else "0", "ncpus"),
                        Attr("resources_available", kind.memory if kind else "0b", "mem"),
                        Attr("resources_free", f"{entry.free_cores:g}", "ncpus"),
                        Attr("resources_free", f"{entry.free_memory:g}gb", "mem"),
                    ])
                )  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=rows))


def _compare(value: str, operand: str, op: int) -> bool:
    if op in (n.OP_SET, n.OP_EQ):
        return value == operand
    if op == n.OP_NE:
        return value != operand
    return _satisfies(value > operand, value < operand, op)


def _satisfies(above: bool, below: bool, op: int) -> bool:
    """Whether a value that is above, below or equal to its operand satisfies the operator."""
    return {
        n.OP_GE: not below, n.OP_GT: above, n.OP_LE: not above, n.OP_LT: below, n.OP_NE: above or below,
    }.get(op, not above and not below)  # fmt: skip


def _parse_quantities(name: str, value: str, operand: str, record: JobRecord) -> tuple[float, float]:
    if name == "mem":
        return record.memory * (1 << 30), float(parse_size(operand, name))
    if name == "walltime":
        return float(parse_time(value, name)), float(parse_time(operand, name))
    try:
        return record.cores, float(operand)
    except ValueError:
        raise ResourceError(f"ncpus={operand}: not a number of cores") from None


def _format_state_counts(records: list[JobRecord]) -> str:
    words = {"T": "Transit", "Q": "Queued", "H": "Held", "W": "Waiting", "R": "Running", "E": "Exiting"}
    return " ".join(f"{word}:{sum(r.state == letter for r in records)}" for letter, word in words.items())
