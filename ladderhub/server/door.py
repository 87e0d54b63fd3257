"""The clients' door: batch connections of people and nodes, and what each request does.

One table, `_SERVE`, holds the requests that are served.  Bytes that are no protocol get one error reply and a
closed connection.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from ladderhub.loop import Stream, Timer
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row, encode_rows, refusal
from ladderhub.pbs.connection import Draft, Exchange, ServerConnection
from ladderhub.pbs.resources import ResourceError, parse_size, parse_time
from ladderhub.server.jobs import PLAIN, JobRecord, row_of, short_row

if TYPE_CHECKING:
    from ladderhub.server.daemon import Daemon

Answer = Callable[[Reply | Iterator[bytes]], None]
ROWS_AT_ONCE = 50
SHORT = PLAIN | {"Resource_List", "resources_used", "Account_Name", "Priority"}
DELETE_WAIT_NS = 3_000_000_000
FORWARD_NS = 2_000_000_000
PENDING_MOST = 1000
OUT_MOST = 50  # replies that wait to leave, above which no further request is read
_READ_ONLY = (
    "job_state",
    "exec_host",
    "placement",
    "Exit_status",
    "run_count",
    "ctime",
    "substate",
    "server",
)
_HELD = ("u", "o", "s")


class ClientDoor:
    """All client connections of one daemon."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.clients: set[_Client] = set()
        self._deletes: dict[int, list[Callable[[], None]]] = {}

    def accept(self, sock: socket.socket) -> None:
        if len(self.clients) >= self.daemon.settings.file.most_connections:
            self.daemon.metrics.rejected += 1
            sock.close()
            return
        self.clients.add(_Client(self, sock))

    def close(self) -> None:
        for client in list(self.clients):
            client.stream.close()

    def finished(self, record: JobRecord) -> None:
        """A job is over: those who wait to hear so are told."""
        for call in self._deletes.pop(record.number, []):
            call()

    # --- finding jobs ---------------------------------------------------------------------------------------

    def find(self, name: str) -> JobRecord | None:
        """A job by `number` or `number.server`."""
        if "." not in name:
            name = f"{name}.{self.daemon.name}"
        return self.daemon.jobs.by_id.get(name)

    def _live(self, request: Request) -> JobRecord | Reply:
        record = self.find(request.job)
        if record is None:
            return refusal(n.UNKNOWN_JOB, f"Unknown Job Id {request.job}")
        if record.state == "F":
            return refusal(n.BAD_STATE, f"Job has finished {record.id}: {record.comment}")
        return record

    # --- submitting -----------------------------------------------------------------------------------------

    def queue_job(self, client: _Client, request: Request, answer: Answer) -> None:
        daemon = self.daemon
        if daemon.stopping:
            answer(refusal(n.SERVER_BUSY, f"{daemon.name} is stopping; submit to another scheduler"))
            return
        if len(daemon.jobs.live) >= daemon.settings.file.most_jobs:
            answer(
                refusal(n.SERVER_BUSY, f"{daemon.name} holds {len(daemon.jobs.live)} jobs, as many as it may")
            )
            return
        name = request.destination.partition("@")[0] or daemon.settings.default_queue
        if name not in daemon.settings.queue_names:
            known = ", ".join(daemon.settings.queue_names)
            answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {name}; known are {known}"))
            return
        probe = JobRecord(0, "", daemon.settings.queue_names.index(name))
        try:
            daemon.describe(probe, request.attrs)
        except ResourceError as fault:
            answer(refusal(n.BAD_RESOURCE_VALUE, str(fault)))
            return
        never = daemon.check(probe)
        if never:
            answer(refusal(n.BAD_RESOURCE_VALUE, never))
            return
        job = f"{daemon.numbers.take()}.{daemon.name}"
        client.connection.draft = Draft(job, request)
        answer(Reply(0, n.R_QUEUE, job=job))

    def job_script(self, client: _Client, request: Request, answer: Answer) -> None:
        draft = client.connection.draft
        assert draft is not None
        if len(draft.script) + len(request.data) > n.SCRIPT_MOST:
            # A Commit that is on its way behind it must not take half a script.
            client.connection.drop_draft()
            answer(refusal(n.BAD_SCRIPT, f"the script is longer than {n.SCRIPT_MOST} bytes"))
            return
        draft.script += request.data
        answer(Reply())

    def ready(self, client: _Client, request: Request, answer: Answer) -> None:
        answer(Reply(0, n.R_READY, job=request.job))

    def commit(self, client: _Client, request: Request, answer: Answer) -> None:
        daemon, draft = self.daemon, client.connection.draft
        if draft is None:
            record = self.find(request.job)
            answer(Reply(0, n.R_COMMIT, job=record.id) if record else refusal(n.UNKNOWN_JOB))
            return
        if daemon.stopping:
            answer(refusal(n.SERVER_BUSY, f"{daemon.name} is stopping; submit to another scheduler"))
            return
        name = draft.request.destination.partition("@")[0] or daemon.settings.default_queue
        now = daemon.loop.now_ns()
        record = daemon.jobs.add(draft.job, daemon.settings.queue_names.index(name), now)
        daemon.describe(record, draft.request.attrs)
        record.owner = record.owner or draft.request.user
        record.script = bytes(draft.script)
        answer(Reply(0, n.R_COMMIT, job=record.id))
        daemon.take(record, held=any(letter in draft.request.get("Hold_Types") for letter in _HELD))

    # --- one job --------------------------------------------------------------------------------------------

    def delete(self, client: _Client, request: Request, answer: Answer) -> None:
        """Answered once it is known what became of the job, or after a while with what is known by then."""
        record = self._live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        found: JobRecord = record
        answered: list[bool] = []

        def over() -> None:
            if answered:
                return
            answered.append(True)
            timer.cancel()
            answer(Reply(0, n.R_TEXT, text=found.comment))

        def late() -> None:
            if not answered:
                answered.append(True)
                text = f"{found.id}: no word yet from {found.run_machine or 'its node'}; it will be deleted"
                answer(Reply(0, n.R_TEXT, text=text))

        timer: Timer = self.daemon.loop.call_later(DELETE_WAIT_NS, late)
        self._deletes.setdefault(record.number, []).append(over)
        self.daemon.tell_owner(own.Cancelled(record.number))

    def hold(self, client: _Client, request: Request, answer: Answer) -> None:
        record = self._live(request)
        if isinstance(record, Reply):
            answer(record)
        elif record.state == "R":
            answer(refusal(n.BAD_STATE, f"{record.id} runs; only a job that waits can be held"))
        else:
            self._set(record, Attr("Hold_Types", request.get("Hold_Types") or "u"))
            self.daemon.tell_owner(own.Hold(record.number))
            answer(Reply())

    def release(self, client: _Client, request: Request, answer: Answer) -> None:
        record = self._live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        kinds = request.get("Hold_Types") or "u"
        held = record.values["Hold_Types"].value if "Hold_Types" in record.values else ""
        left = "".join(letter for letter in held if letter not in kinds and letter in _HELD)
        self._set(record, Attr("Hold_Types", left or "n"))
        if not left:
            self.daemon.tell_owner(own.Release(record.number))
        answer(Reply())

    def _set(self, record: JobRecord, attr: Attr) -> None:
        record.values[attr.key()] = Attr(attr.name, attr.value, attr.resource)

    def modify(self, client: _Client, request: Request, answer: Answer) -> None:
        if request.user.startswith("node@"):
            self.daemon.update(request)
            answer(Reply())
            return
        record = self._live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        wrong = next((attr.name for attr in request.attrs if attr.name in _READ_ONLY), "")
        if wrong:
            answer(refusal(n.READ_ONLY, f"Read only attribute {wrong}"))
            return
        fixed = any(attr.name in ("Resource_List", "Account_Name", "Job_Name") for attr in request.attrs)
        if fixed and (record.state not in "HQ" or record.substate not in (10, 20)):
            answer(refusal(n.MODIFY_RUNNING, f"{record.id} is being placed or runs"))
            return
        before = dict(record.values)
        for attr in request.attrs:
            self._set(record, attr)
        try:
            self.daemon.describe(record, list(record.values.values()))
            never = self.daemon.check(record)
        except ResourceError as fault:
            never = str(fault)
        if never:
            self.daemon.describe(record, list(before.values()))
            answer(refusal(n.BAD_RESOURCE_VALUE, never))
            return
        answer(Reply())

    def forward(self, client: _Client, request: Request, answer: Answer) -> None:
        """Signal Job and Message Job: the node that runs the job does it."""
        record = self._live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        if request.type == n.MESSAGE_JOB:
            record.messages.append(request.text)
        node = self.daemon.machine_of(record)
        if not node:
            if request.type == n.MESSAGE_JOB:
                answer(Reply())
            else:
                answer(refusal(n.BAD_STATE, f"{record.id} does not run"))
            return
        request.job = record.id
        self.daemon.links.ask(
            node, request, FORWARD_NS,
            lambda reply: answer(reply or refusal(n.NODE_DOWN, f"{node} does not answer")),
        )  # fmt: skip

    # --- status ---------------------------------------------------------------------------------------------

    def _rows(self, records: list[JobRecord], attrs: list[Attr]) -> Reply | Iterator[bytes]:
        names, server = self.daemon.settings.queue_names, self.daemon.name
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

    def status_job(self, client: _Client, request: Request, answer: Answer) -> None:
        """One job, those of a queue, or all; finished ones too with the extension `x`."""
        jobs, name = self.daemon.jobs, request.job
        if not name or name.startswith("@") or name[0].isalpha():
            queue = name.partition("@")[0]
            if queue and queue not in self.daemon.settings.queue_names:
                answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {queue}"))
                return
            records = list(jobs.by_id.values() if "x" in request.extension else jobs.live.values())
            if queue:
                at = self.daemon.settings.queue_names.index(queue)
                records = [record for record in records if record.queue == at]
            answer(self._rows(records, request.attrs))
            return
        record = self.find(name)
        if record is None:
            answer(refusal(n.UNKNOWN_JOB, f"Unknown Job Id {name}"))
        elif record.state == "F" and "x" not in request.extension:
            answer(refusal(n.BAD_STATE, f"Job has finished {record.id}, use -x or -H to obtain history"))
        else:
            answer(self._rows([record], request.attrs))

    def select(self, client: _Client, request: Request, answer: Answer) -> None:
        records = self.daemon.jobs.by_id if "x" in request.extension else None
        pool = list(records.values()) if records is not None else list(self.daemon.jobs.live.values())
        try:
            chosen = [record for record in pool if all(self._matches(record, attr) for attr in request.attrs)]
        except ResourceError as fault:
            answer(refusal(n.BAD_ATTRIBUTE_VALUE, str(fault)))
            return
        answer(Reply(0, n.R_SELECT, jobs=[record.id for record in chosen]))

    def _matches(self, record: JobRecord, attr: Attr) -> bool:
        if attr.name == "job_state":
            return (record.state in attr.value) != (attr.op == n.OP_NE)
        own_value: str
        if attr.name in ("queue", "destination"):
            own_value, attr = self.daemon.settings.queue_names[record.queue], Attr(
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

    def status_queue(self, client: _Client, request: Request, answer: Answer) -> None:
        daemon = self.daemon
        names = (
            [request.name.partition("@")[0]]
            if request.name.partition("@")[0]
            else daemon.settings.queue_names
        )
        rows = []
        for name in names:
            if name not in daemon.settings.queue_names:
                answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {name}"))
                return
            at = daemon.settings.queue_names.index(name)
            queue = daemon.settings.file.queues[name]
            records = [record for record in daemon.jobs.live.values() if record.queue == at]
            rows.append(
                Row(n.OBJ_QUEUE, name, [
                    Attr("queue_type", "Execution"), Attr("total_jobs", str(len(records))),
                    Attr("state_count", _counts(records)), Attr("Priority", str(queue.priority)),
                    Attr("enabled", "False" if daemon.stopping else "True"), Attr("started", "True"),
                    Attr("effect", queue.effect), Attr("limit", queue.limit),
                ])
            )  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=rows))

    def status_server(self, client: _Client, request: Request, answer: Answer) -> None:
        daemon = self.daemon
        records = list(daemon.jobs.live.values())
        state = "Terminating" if daemon.stopping else "Active"
        row = Row(n.OBJ_SERVER, daemon.name, [
            Attr("server_state", state), Attr("total_jobs", str(len(records))),
            Attr("state_count", _counts(records)), Attr("default_queue", daemon.settings.default_queue),
            Attr("nodes", str(len(daemon.nodes.entries))), Attr("list_version", str(daemon.nodes.version)),
            Attr("owed", str(daemon.owner.owes())),
        ])  # fmt: skip
        answer(Reply(0, n.R_STATUS, rows=[row]))

    def status_node(self, client: _Client, request: Request, answer: Answer) -> None:
        daemon = self.daemon
        if request.name and request.name not in daemon.nodes.entries:
            answer(refusal(n.UNKNOWN_NODE, f"Unknown node {request.name}"))
            return
        jobs: dict[str, list[str]] = {}
        for record in daemon.jobs.live.values():
            jobs.setdefault(daemon.machine_of(record), []).append(record.id)
        rows = []
        for name, entry in sorted(daemon.nodes.entries.items()):
            if request.name in ("", name):
                drains = entry.stage == "draining" or name in daemon.offline
                kind = daemon.settings.file.kinds.get(entry.kind)
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

    # --- operators and nodes --------------------------------------------------------------------------------

    def manager(self, client: _Client, request: Request, answer: Answer) -> None:
        if request.command != n.CMD_SET or request.object_type != n.OBJ_NODE:
            answer(refusal(n.INVALID_REQUEST, "only «set node NAME state = offline|free» is known"))
            return
        if request.name not in self.daemon.nodes.entries:
            answer(refusal(n.UNKNOWN_NODE, f"Unknown node {request.name}"))
            return
        state = request.get("state")
        if state not in ("offline", "free"):
            answer(refusal(n.BAD_ATTRIBUTE_VALUE, f"state={state}: offline or free is meant"))
            return
        self.daemon.set_offline(request.name, state == "offline", answer)

    def obituary(self, client: _Client, request: Request, answer: Answer) -> None:
        self.daemon.obituary(request)
        answer(Reply())

    def locate(self, client: _Client, request: Request, answer: Answer) -> None:
        record = self.find(request.job)
        answer(Reply(0, n.R_LOCATE, job=self.daemon.name) if record else refusal(n.UNKNOWN_JOB))

    def shutdown(self, client: _Client, request: Request, answer: Answer) -> None:
        answer(Reply())
        self.daemon.loop.call_soon(self.daemon.shut)

    def connect(self, client: _Client, request: Request, answer: Answer) -> None:
        answer(Reply())


_SERVE: dict[int, Callable[[ClientDoor, _Client, Request, Answer], None]] = {
    n.CONNECT: ClientDoor.connect, n.QUEUE_JOB: ClientDoor.queue_job, n.JOB_SCRIPT: ClientDoor.job_script,
    n.READY_TO_COMMIT: ClientDoor.ready, n.COMMIT: ClientDoor.commit, n.DELETE_JOB: ClientDoor.delete,
    n.HOLD_JOB: ClientDoor.hold, n.RELEASE_JOB: ClientDoor.release, n.MODIFY_JOB: ClientDoor.modify,
    n.SIGNAL_JOB: ClientDoor.forward, n.MESSAGE_JOB: ClientDoor.forward, n.STATUS_JOB: ClientDoor.status_job,
    n.SELECT_JOBS: ClientDoor.select, n.STATUS_QUEUE: ClientDoor.status_queue,
    n.STATUS_SERVER: ClientDoor.status_server, n.STATUS_NODE: ClientDoor.status_node,
    n.MANAGER: ClientDoor.manager, n.JOB_OBIT: ClientDoor.obituary, n.LOCATE_JOB: ClientDoor.locate,
    n.SHUTDOWN: ClientDoor.shutdown,
}  # fmt: skip


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


class _Client:
    """One connection."""

    def __init__(self, door: ClientDoor, sock: socket.socket) -> None:
        self._door = door
        self.connection = ServerConnection()
        self._out: deque[bytes | Iterator[bytes]] = deque()
        self._pumping = self._last = False
        self.stream: Stream = Stream(door.daemon.loop, sock, self)
        self.stream.on_drained = self._pump

    def on_data(self, stream: Stream, data: bytes) -> None:
        for exchange in self.connection.receive(data):
            self._serve(exchange)
        if self.connection.trouble is not None:
            self._door.daemon.metrics.rejected += 1
            self._leave(self.connection.ready())
        elif self.connection.waiting() > PENDING_MOST:
            stream.abort(BufferError("too many requests without an answer"))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._door.clients.discard(self)

    def _serve(self, exchange: Exchange) -> None:
        request, connection = exchange.request, self.connection
        if request.type == n.DISCONNECT:
            self._leave(connection.disconnect(exchange))
            return
        serve = _SERVE.get(request.type)
        if serve is None or not connection.may(request):
            words = n.REQUESTS.get(request.type, str(request.type))
            code = n.UNKNOWN_REQUEST if serve is None else n.PROTOCOL_ERROR
            self._answer(exchange, refusal(code, f"{words} has no place here"))
            return
        serve(self._door, self, request, lambda reply: self._answer(exchange, reply))

    def _answer(self, exchange: Exchange, reply: Reply | Iterator[bytes]) -> None:
        if not isinstance(reply, Reply) or reply.code == 0:
            self.connection.granted(exchange.request)
        else:
            self._door.daemon.metrics.rejected += 1
        self._leave(self.connection.answer(exchange, reply))

    def _leave(self, ready: list[Exchange]) -> None:
        """These replies may leave now."""
        if self.stream.closed:
            return
        for exchange in ready:
            if exchange.reply:
                self._out.append(exchange.reply)
            self._last = self._last or exchange.last
        self._pump()

    def _pump(self) -> None:
        """Write replies in order.  A long one goes piece by piece: others have their turn between two pieces,
        and a client that reads slowly is waited for."""
        self.stream.pause(self._last or len(self._out) > OUT_MOST)
        while self._out and not self.stream.closed and not self.stream.backed_up():
            reply = self._out[0]
            if isinstance(reply, bytes):
                self.stream.write(reply)
                self._out.popleft()
                continue
            piece = next(reply, None)
            if piece is None:
                self._out.popleft()
                continue
            self.stream.write(piece)
            if not self._pumping:
                self._pumping = True
                self._door.daemon.loop.call_soon(self._pump_on)
            return
        if self._last and not self._out:
            self.stream.close()

    def _pump_on(self) -> None:
        self._pumping = False
        self._pump()
