"""The daemon: events to the two decision modules, their actions carried out.

Every event goes through one queue, so that what one module's action causes in the other is handled after the
actions that came before it.  Nothing here chooses a node, a wait, a repeat or an answer.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from ladderhub import interface as api
from ladderhub.decide import Scheduler
from ladderhub.directory.wire import Entry
from ladderhub.loop import Listener, Loop, Timer
from ladderhub.owner import Owner
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request
from ladderhub.pbs.resources import GIB, format_size, wanted
from ladderhub.server.door import ClientDoor
from ladderhub.server.jobs import JobNumbers, JobRecord, JobTable, stamp
from ladderhub.server.metrics import Metrics
from ladderhub.server.nodelinks import NodeLinks, OfferCall
from ladderhub.server.nodelist import NodeList
from ladderhub.server.offer import COMMITTED, Result
from ladderhub.server.settings import Loaded

MS, S = 1_000_000, 1_000_000_000
QUERY_NS = 1 * S
ADOPT_RETRY_NS = 1 * S
SWEEP_NS = 1 * S
SETTLED_LOOK_NS = 50 * MS
OBITS_KEPT = 10_000
NEVER_RAN = (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NEVER_SENT)
_ENDS = {
    n.END_DONE: own.End.DONE, n.END_KILLED: own.End.KILLED, n.END_EVICTED: own.End.EVICTED,
    n.END_DISPLACED: own.End.DISPLACED, n.END_SENT_AWAY: own.End.SENT_AWAY,
}  # fmt: skip
_END_REASONS = {
    own.End.EVICTED: api.Reason.EVICTED, own.End.DISPLACED: api.Reason.DISPLACED,
    own.End.SENT_AWAY: api.Reason.SENT_AWAY,
}  # fmt: skip
_STAGES = {"serving": api.Stage.SERVING, "draining": api.Stage.DRAINING, "gone": api.Stage.GONE}
_OF_THE_OFFER = (
    "job_state",
    "server",
    "server_address",
    "run_version",
    "ctime",
    "queue",
    "service",
    "substate",
)
_WORDS = {api.Reason.CORES: "no cores", api.Reason.MEMORY: "no memory", api.Reason.LINE_FULL: "line full"}


class OutRun:
    """A run that is out: the module's task and attempt it stands for, until the module was told its end."""

    __slots__ = ("attempt", "call", "machine", "open", "placed", "sent_ns", "task")

    def __init__(self, task: int, attempt: int, machine: str, sent_ns: int) -> None:
        self.task, self.attempt, self.machine, self.sent_ns = task, attempt, machine, sent_ns
        self.call: OfferCall | None = None
        self.open, self.placed = True, False


class TaskOut:
    """A task that the module was given: one ask of a job."""

    __slots__ = ("ask", "record", "sent", "until_ns")

    def __init__(self, record: JobRecord, ask: int, until_ns: int) -> None:
        self.record, self.ask, self.until_ns, self.sent = record, ask, until_ns, 0


class Daemon:
    """One scheduler.  `start` opens the doors; `shut` settles what was taken and then calls `on_end`."""

    def __init__(self, loop: Loop, settings: Loaded, log: Any = None) -> None:
        self.loop, self.settings = loop, settings
        self.log = log or structlog.get_logger()
        self.name = settings.file.server
        self.folder = Path(settings.file.spool)
        self.numbers = JobNumbers(self.folder)
        self.jobs = JobTable(settings.keep_finished_ns)
        self.metrics = Metrics(self)
        self.module = Scheduler(settings.module, settings.file.seed)
        self.owner = Owner(settings.owner, settings.file.seed)
        self.links = NodeLinks(loop, settings.connect_ns)
        self.nodes = NodeList(loop, settings.directory, self.name, self.folder, self._on_list)
        self.stopping = False
        self.offline: set[str] = set()
        self.on_end: Callable[[], None] | None = None
        self._events: deque[tuple[bool, Any]] = deque()
        self._busy = False
        self._tasks: dict[int, TaskOut] = {}
        self._next_task = 1
        self._runs: dict[int, dict[int, OutRun]] = {}  # job number -> run -> what is out
        self._wakes: dict[int, Timer] = {}
        self._ready: dict[str, int] = {}  # node -> start time as last listed
        self._asked: dict[str, int] = {}  # node -> start time at which it was asked what it runs
        self._unknown_ends: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._cells: dict[str, int] = {}
        self._zones: dict[str, int] = {settings.file.zone: 0} if settings.file.zone else {}
        self.listener: Listener | None = None
        self.advertise = ""
        self.door = ClientDoor(self)

    # --- life -----------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Open the door and follow the directory; OSError where the address can't be had."""
        self.listener = Listener(self.loop, self.settings.listen, self.door.accept)
        self.advertise = self.settings.file.advertise or "{}:{}".format(*self.listener.address)
        self.nodes.start()
        self.loop.call_later(SWEEP_NS, self._sweep)
        self.log.info("ready", server=self.name, address="{}:{}".format(*self.listener.address))

    def _sweep(self) -> None:
        self.jobs.sweep(self.loop.now_ns())
        self.loop.call_later(SWEEP_NS, self._sweep)

    def shut(self) -> None:
        """Settle every job that was taken, within `stop_within`; then end.  A second call hastens."""
        if self.stopping:
            self._owner(own.Stopping(now=True))
            self._end()
            return
        self.stopping = True
        self.log.info("stopping", owed=self.owner.owes())
        self._owner(own.Stopping())
        self._look_settled(self.loop.now_ns() + self.settings.stop_within_ns)

    def _look_settled(self, until_ns: int) -> None:
        if self.owner.owes() and self.loop.now_ns() < until_ns:
            self.loop.call_later(SETTLED_LOOK_NS, self._look_settled, until_ns)
            return
        if self.owner.owes():
            self._owner(own.Stopping(now=True))
        self._end()

    def _end(self) -> None:
        if self.on_end is None:
            return
        done, self.on_end = self.on_end, None
        self.log.info("stopped", unsettled=self.owner.owes())
        self.door.close()
        self.loop.call_later(100 * MS, self._close, done)

    def _close(self, done: Callable[[], None]) -> None:
        if self.listener is not None:
            self.listener.close()
        self.nodes.close()
        self.links.close()
        done()

    # --- events ---------------------------------------------------------------------------------------------

    def _module(self, event: api.Event) -> None:
        self._events.append((True, event))
        self._drain()

    def _owner(self, event: own.Event) -> None:
        self._events.append((False, event))
        self._drain()

    def _drain(self) -> None:
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                to_module, event = self._events.popleft()
                try:
                    self._handle(to_module, event)
                except Exception as fault:
                    # One event's fault must not keep the others from being heard; a job that it leaves
                    # without an answer gets one at its limit.
                    self.metrics.troubles += 1
                    self.log.error("decision", event=repr(event), exc_info=fault)
        finally:
            self._busy = False

    def _handle(self, to_module: bool, event: Any) -> None:
        now = self.loop.now_ns()
        if to_module:
            for action in self.module.handle(now, event):
                self._do_module(now, action)
            if isinstance(event, api.TaskWithdrawn):
                self._tasks.pop(event.task, None)
            return
        for act in self.owner.handle(now, event):
            self._do_owner(now, act)
        if hasattr(event, "job"):
            self._show(event.job)

    # --- what the module decides ----------------------------------------------------------------------------

    def _do_module(self, now: int, action: api.Action) -> None:
        match action:
            case api.Send(task, machine, timeout):
                self._send(now, task, machine, timeout)
            case api.SetTimer(at, timer):
                self.loop.call_at(at, self._module, api.TimerFired(timer))
            case api.Refuse(task) | api.Fail(task):
                asked = self._tasks.get(task)
                if asked is not None:
                    failed = isinstance(action, api.Fail)
                    self._events.append((False, own.TurnedAway(asked.record.number, asked.ask, failed)))
            case api.Abort(task, attempt):
                for out in self._outs(task):
                    if out.attempt == attempt and out.call is not None:
                        out.call.call_off()
            case api.Move(task):
                asked = self._tasks.get(task)
                if asked is not None:
                    self._events.append((False, own.Rerun(asked.record.number)))
            case api.Log(text):
                self.log.info("module", text=text)
            case _:
                self.log.debug("not carried out", action=type(action).__name__)

    def _outs(self, task: int) -> list[OutRun]:
        asked = self._tasks.get(task)
        runs = self._runs.get(asked.record.number, {}) if asked is not None else {}
        return [out for out in runs.values() if out.task == task]

    def _send(self, now: int, task: int, machine: str, timeout: int | None) -> None:
        asked = self._tasks[task]
        record, attempt = asked.record, asked.sent
        asked.sent += 1
        if record.task != task:  # the job left this ask while the module's answer to an earlier event waited
            unsent = api.AttemptEnded(task, attempt, machine, api.Outcome.NEVER_SENT, concluded=True)
            self._events.append((True, unsent))
            return
        record.run += 1
        run = record.run
        out = OutRun(task, attempt, machine, now)
        self._runs.setdefault(record.number, {})[run] = out
        left = asked.until_ns - now
        span = left if timeout is None else min(left, timeout)
        self._events.append((False, own.Sent(record.number, asked.ask, run, machine)))
        self.metrics.offers += 1
        self.log.debug("offer", job=record.id, run=run, node=machine)
        request = self._queue_job(record, run)
        out.call = self.links.offer(
            machine, request, record.script, span, lambda result: self._offer_done(record, run, out, result)
        )

    def _queue_job(self, record: JobRecord, run: int) -> Request:
        attrs = [
            Attr("Job_Name", record.name), Attr("Job_Owner", record.owner), Attr("service", record.service),
            Attr("queue", self.settings.queue_names[record.queue]), Attr("run_version", str(run)),
            Attr("server", self.name), Attr("server_address", self.advertise),
            Attr("Rerunable", "True" if record.rerunnable else "False"), Attr("ctime", stamp(record.made_ns)),
            Attr("Resource_List", f"{record.cores:g}", "ncpus"),
            Attr("Resource_List", format_size(round(record.memory * GIB)), "mem"),
        ]  # fmt: skip
        skip = ("Resource_List.ncpus", "Resource_List.mem", "Resource_List.select", "Resource_List.nodes")
        names = {attr.key() for attr in attrs}
        attrs += [a for key, a in record.values.items() if key not in skip and key not in names]
        return Request(n.QUEUE_JOB, f"scheduler@{self.name}", record.id, attrs, destination="node")

    def _offer_done(self, record: JobRecord, run: int, out: OutRun, result: Result) -> None:
        out.call = None
        elapsed = self.loop.now_ns() - out.sent_ns
        if result.placed:
            out.placed = True
            self.metrics.start(elapsed)
            self._owner(own.Accepted(record.number, run))
            if out.open:
                self._module(api.TaskPlaced(out.task, out.attempt, out.machine, elapsed))
            return
        words = result.text or _WORDS.get(result.reason, result.outcome.name.lower())
        text = f"{out.machine}: {words}"
        self.metrics.ended(result.outcome)
        self.log.info(
            "turned away", job=record.id, run=run, node=out.machine, outcome=result.outcome.name,
            reason=result.reason.name, text=words,
        )  # fmt: skip
        if result.outcome in NEVER_RAN:
            self._forget_run(record.number, run)
            self._owner(own.Unsent(record.number, run, text))
        else:
            self._owner(own.Doubtful(record.number, run, text))
        self._tell_end(out, result.outcome, result.reason, concluded=False)

    def _tell_end(self, out: OutRun, outcome: api.Outcome, reason: api.Reason, concluded: bool) -> None:
        """The module hears one outcome of each attempt, whichever news comes first."""
        if out.open:
            out.open = False
            elapsed = self.loop.now_ns() - out.sent_ns
            self._module(
                api.AttemptEnded(out.task, out.attempt, out.machine, outcome, reason, concluded, elapsed)
            )

    def _forget_run(self, number: int, run: int) -> None:
        runs = self._runs.get(number, {})
        runs.pop(run, None)
        if not runs:
            self._runs.pop(number, None)

    # --- what the owner decides -----------------------------------------------------------------------------

    def _do_owner(self, now: int, action: own.Action) -> None:
        if isinstance(action, own.Wake):
            old = self._wakes.pop(action.job, None)
            if old is not None:
                old.cancel()
            self._wakes[action.job] = self.loop.call_at(action.at_ns, self._wake, action.job)
        elif isinstance(action, own.Query | own.Stop):
            self._word(action)
        else:
            record = self.jobs.live.get(action.job)
            if record is not None:
                self._do_job(now, record, action)

    def _do_job(self, now: int, record: JobRecord, action: own.Action) -> None:
        match action:
            case own.Ask(_, ask, budget, again):
                self._leave_task(record)
                task = self._new_task(record, ask, now + budget)
                self._events.append((True, self._asked_event(record, task, budget, again)))
            case own.Withdraw():
                if record.task >= 0:
                    self._events.append((True, api.TaskWithdrawn(record.task)))
            case own.Adopt(_, ask, run, machine):
                self._leave_task(record)
                task = self._new_task(record, ask, now)
                self._tasks[task].sent = 1
                out = OutRun(task, 0, machine, now)
                out.placed = True
                self._runs.setdefault(record.number, {})[run] = out
                self._events.append((True, api.TaskOpen(self._asked_event(record, task, 0, True), machine)))
            case own.Settle(_, answer, reason):
                record.answer, record.answer_ns, record.comment = answer.value, now, reason
                self.metrics.answered(answer)
                self.log.info("answer", job=record.id, answer=answer.value, reason=reason)
            case own.Finish(_, status, reason):
                self._finish(now, record, status, reason)

    def _new_task(self, record: JobRecord, ask: int, until_ns: int) -> int:
        task = self._next_task
        self._next_task += 1
        self._tasks[task] = TaskOut(record, ask, until_ns)
        record.task = task
        return task

    def _leave_task(self, record: JobRecord) -> None:
        """The job's present task is no more: the module hears the end of what it still counts as out."""
        if record.task < 0:
            return
        for out in self._outs(record.task):
            if out.open:
                out.open = False
                event = api.AttemptEnded(
                    out.task, out.attempt, out.machine, api.Outcome.LOST, api.Reason.UNKNOWN, True
                )
                self._events.append((True, event))
        self._events.append((True, api.TaskWithdrawn(record.task)))
        record.task = -1

    def _asked_event(self, record: JobRecord, task: int, budget: int, again: bool) -> api.TaskAsked:
        tenants = self.settings.tenant_names
        return api.TaskAsked(
            task=task,
            key=record.id,
            klass=record.queue,
            service=record.service,
            cores=record.cores,
            memory=record.memory,
            budget_ns=budget,
            tenant=tenants.index(record.account) if record.account in tenants else 0,
            life_hint_ns=record.walltime_s * S or None,
            came_again=again,
        )

    def _finish(self, now: int, record: JobRecord, status: int, reason: str) -> None:
        self._leave_task(record)
        record.exit_status = status
        if reason:
            record.comment = reason
        timer = self._wakes.pop(record.number, None)
        if timer is not None:
            timer.cancel()
        self.jobs.finish(record, now)
        self.log.info("finished", job=record.id, status=status, reason=reason)
        self.door.finished(record)

    def _wake(self, job: int) -> None:
        self._wakes.pop(job, None)
        self._owner(own.Due(job))

    def _show(self, number: int) -> None:
        """State, place and reason as `qstat` gives them."""
        record = self.jobs.live.get(number)
        if record is None:
            return
        state, why = self.owner.state(number)
        letters = {"held": ("H", 20), "running": ("R", 42), "stopping": ("E", 50), "waiting": ("Q", 10)}
        record.state, record.substate = letters.get(state, ("Q", 14 if state == "asking" else 16))
        runs = self._runs.get(number, {})
        placed = [out.machine for out in runs.values() if out.placed]
        record.run_machine = placed[-1] if placed else ""
        if state == "running" and not record.start_ns:
            record.start_ns = self.loop.now_ns()
        if state != "running" or why:
            record.comment = why or record.comment

    # --- words of nodes -------------------------------------------------------------------------------------

    def _word(self, action: own.Query | own.Stop) -> None:
        record = self.jobs.by_number.get(action.job)
        out = self._runs.get(action.job, {}).get(action.run)
        if record is None:
            return
        call = out.call if out is not None else None
        if isinstance(action, own.Stop) and call is not None and call.steps.state not in COMMITTED:
            call.call_off()  # nothing was committed, so this proves that nothing runs
            return
        user = f"scheduler@{self.name}"
        if isinstance(action, own.Query):
            request = Request(n.STATUS_JOB, user, record.id, extension=f"fence:{action.run}")
        else:
            version = [Attr("run_version", str(action.run))]
            request = Request(
                n.DELETE_JOB, user, record.id, version, command=n.CMD_DELETE, object_type=n.OBJ_JOB
            )
        self.links.ask(
            action.machine, request, QUERY_NS,
            lambda reply: self._said(action, reply),
        )  # fmt: skip

    def _said(self, action: own.Query | own.Stop, reply: Reply | None) -> None:
        if reply is None:
            self._owner(own.Said(action.job, action.run, own.Word.SILENT))
        elif reply.code == n.UNKNOWN_JOB:
            out = self._runs.get(action.job, {}).get(action.run)
            self._forget_run(action.job, action.run)
            if out is not None:
                self._tell_end(out, api.Outcome.LOST, api.Reason.UNKNOWN, concluded=True)
            self._owner(own.Said(action.job, action.run, own.Word.NEVER))
        elif reply.code == n.BAD_STATE and isinstance(action, own.Stop):
            self._word(own.Query(action.job, action.run, action.machine))
        elif reply.code:
            self._owner(own.Said(action.job, action.run, own.Word.SILENT))
        elif isinstance(action, own.Stop):
            self._owner(own.Said(action.job, action.run, own.Word.STOPPING))
        else:
            row = reply.rows[0] if reply.rows else None
            if row is not None and row.get("job_state") == "F":
                self._run_ended(action.job, action.run, row.get("exit_reason"), _int(row.get("Exit_status")))
            elif row is not None:
                out = self._runs.get(action.job, {}).get(action.run)
                if out is not None:
                    out.placed = True
                self._owner(own.Said(action.job, action.run, own.Word.RUNS))

    def obituary(self, request: Request) -> None:
        """A node reports the end of a run; what is not known here is only remembered for a while."""
        record = self.jobs.by_id.get(request.job)
        run = _int(request.get("run_version"))
        if record is None:
            self._unknown_ends[request.job, run] = None
            while len(self._unknown_ends) > OBITS_KEPT:
                self._unknown_ends.popitem(last=False)
            return
        report = api.LoadReport(
            _float(request.get("load.cores_free")), _float(request.get("load.memory_free"))
        )
        self._run_ended(record.number, run, request.get("exit_reason"), request.status, report)

    def _run_ended(
        self, number: int, run: int, word: str, status: int, report: api.LoadReport | None = None
    ) -> None:
        end = _ENDS.get(word, own.End.DONE)
        out = self._runs.get(number, {}).get(run)
        if out is not None and out.call is not None:
            # Its answer is still on the way; the end tells all that the answer could.
            call, out.call = out.call, None
            self._forget_run(number, run)
            call.drop()
        else:
            self._forget_run(number, run)
        record = self.jobs.live.get(number)
        if record is not None and end is not own.End.DONE:
            record.start_ns = 0
        self._owner(own.Ended(number, run, end, status))
        if out is not None and out.open:
            out.open = False
            outcome = api.Outcome.DONE if end in (own.End.DONE, own.End.KILLED) else api.Outcome.LOST
            reason = _END_REASONS.get(end, api.Reason.UNKNOWN)
            elapsed = self.loop.now_ns() - out.sent_ns
            self._module(
                api.AttemptEnded(out.task, out.attempt, out.machine, outcome, reason, True, elapsed, report)
            )

    def update(self, request: Request) -> None:
        """A node's news of a run: it runs now, or what it uses."""
        record = self.jobs.by_id.get(request.job)
        out = self._runs.get(record.number, {}).get(_int(request.get("run_version"))) if record else None
        if out is None or not out.open or not out.placed:
            return
        for key, topic in (
            ("job_state", api.Topic.RUNNING), ("resources_used.ncpus", api.Topic.CORES_USED),
            ("resources_used.mem", api.Topic.MEMORY_USED), ("service_level", api.Topic.SERVICE_LEVEL),
            ("machine_memory", api.Topic.MACHINE_MEMORY),
        ):  # fmt: skip
            if request.get(key):
                level = 0.0 if topic is api.Topic.RUNNING else _float(request.get(key)) or 0.0
                self._module(api.TaskNote(out.task, out.attempt, out.machine, topic, level))

    # --- the node list and what nodes already run -----------------------------------------------------------

    def _on_list(self, kind: api.ListKind, version: int, entries: list[Entry]) -> None:
        known: list[api.MachineEntry] = []
        anew: list[str] = []
        for entry in entries:
            if entry.kind not in self.settings.kind_names:
                self.log.error("unknown kind of node", node=entry.name, kind=entry.kind)
                continue
            host, _, port = entry.address.rpartition(":")
            self.links.place(entry.name, (host, int(port)))
            if 0 < self._ready.get(entry.name, 0) < entry.ready_ns:
                anew.append(entry.name)
            self._ready[entry.name] = entry.ready_ns
            known.append(self._machine(entry))
        self._module(api.MachineList(kind, version, tuple(known)))
        for name in anew:
            self._owner(own.MachineAnew(name))
        gone = {entry.name for entry in entries if entry.stage == "gone"}
        if kind is api.ListKind.FULL:
            gone |= set(self._ready) - {entry.name for entry in entries}
        for name in sorted(gone):
            self._owner(own.MachineGone(name))
        for entry in entries:
            if entry.stage != "gone" and entry.kind in self.settings.kind_names:
                self._ask_node(entry.name)

    def _machine(self, entry: Entry) -> api.MachineEntry:
        stage = _STAGES[entry.stage]
        if entry.name in self.offline and stage is api.Stage.SERVING:
            stage = api.Stage.DRAINING
        return api.MachineEntry(
            machine=entry.name,
            stage=stage,
            kind=self.settings.kind_names.index(entry.kind),
            zone=self._zones.setdefault(entry.zone, len(self._zones)),
            cell=self._cells.setdefault(f"{entry.zone}/{entry.rack}", len(self._cells)),
            ready_ns=entry.ready_ns,
            free_cores=entry.free_cores,
            free_memory=entry.free_memory,
        )

    def set_offline(self, name: str, offline: bool, done: Callable[[Reply], None]) -> None:
        """`pbsnodes -o` and `-r`: this scheduler heeds it at once, the node tells the directory."""
        (self.offline.add if offline else self.offline.discard)(name)
        entry = self.nodes.entries[name]
        self._module(api.MachineList(api.ListKind.CHANGES, self.nodes.version, (self._machine(entry),)))
        state = [Attr("state", "offline" if offline else "free")]
        request = Request(
            n.MANAGER,
            f"scheduler@{self.name}",
            attrs=state,
            command=n.CMD_SET,
            object_type=n.OBJ_NODE,
            name=name,
        )
        text = f"{name} did not answer; it gets nothing more from {self.name}, other schedulers are not told"
        self.links.ask(
            name, request, QUERY_NS,
            lambda reply: done(reply if reply is not None else Reply(n.NODE_DOWN, n.R_TEXT, text=text)),
        )  # fmt: skip

    def _ask_node(self, name: str) -> None:
        """Once in each life of a node: what does it run of ours that we do not know?"""
        if self._asked.get(name) == self._ready[name]:
            return
        self._asked[name] = self._ready[name]
        request = Request(n.STATUS_JOB, f"scheduler@{self.name}")
        self.links.ask(name, request, QUERY_NS, lambda reply: self._adopt(name, reply))

    def _adopt(self, name: str, reply: Reply | None) -> None:
        if reply is None:
            self._asked.pop(name, None)
            if name in self.nodes.entries:
                self.loop.call_later(ADOPT_RETRY_NS, self._ask_node, name)
            return
        for row in reply.rows:
            run = _int(row.get("run_version"))
            if row.get("server") != self.name or row.name in self.jobs.by_id:
                continue
            if (row.name, run) in self._unknown_ends or row.get("queue") not in self.settings.queue_names:
                continue
            queue = self.settings.queue_names.index(row.get("queue"))
            record = self.jobs.add(row.name, queue, _int(row.get("ctime")) * S)
            self.describe(record, [attr for attr in row.attrs if attr.name not in _OF_THE_OFFER])
            record.service, record.answer_ns = row.get("service") or record.name, self.loop.now_ns()
            record.run, record.run_machine, record.answer = run, name, own.Answer.PLACED.value
            record.rerunnable = False  # its script went with the earlier life
            record.start_ns = self.loop.now_ns()
            self.log.info("adopted", job=record.id, node=name, run=run)
            self._owner(own.Adopted(record.number, queue, run, name, record.rerunnable))

    # --- jobs from people -----------------------------------------------------------------------------------

    def describe(self, record: JobRecord, attrs: list[Attr]) -> None:
        """Read a job's attributes into its record; `ResourceError` where they can't be read."""
        record.values = {attr.key(): attr for attr in attrs}

        def get(key: str, default: str = "") -> str:
            return record.values[key].value if key in record.values else default

        record.name, record.owner = get("Job_Name") or "STDIN", get("Job_Owner")
        record.account = get("Account_Name")
        record.service = get("Resource_List.service") or get("service") or record.name
        record.rerunnable = get("Rerunable", "y").lower() in ("y", "true")
        resources = {attr.resource: attr.value for attr in attrs if attr.name == "Resource_List"}
        queue = self.settings.file.queues[self.settings.queue_names[record.queue]]
        named = {word.partition("=")[0] for value in resources.values() for word in value.split(":")}
        cores, memory, record.walltime_s = wanted(resources)
        record.cores = cores if named & {"ncpus", "ppn"} or "ncpus" in resources else queue.default_cpus
        record.memory = memory / GIB if memory else self.settings.default_memory[record.queue]

    def check(self, record: JobRecord) -> str:
        """Why the job could never be placed; "" where it could."""
        module = self.settings.module
        klass = module.classes[record.queue]
        kinds = [kind for at, kind in enumerate(module.kinds) if klass.kind in (-1, at)]
        if kinds and not any(
            record.cores <= kind.cores * module.admit_cores
            and record.memory <= kind.memory * module.admit_memory
            for kind in kinds
        ):
            return f"no kind of node here holds {record.cores:g} cores and {record.memory:g} GiB"
        if self.settings.tenant_names and record.account and record.account not in self.settings.tenant_names:
            return f"unknown account {record.account}; known are " + ", ".join(self.settings.tenant_names)
        return ""

    def take(self, record: JobRecord, held: bool) -> None:
        """The job was committed."""
        self.metrics.taken += 1
        self.log.info(
            "taken", job=record.id, queue=self.settings.queue_names[record.queue], owner=record.owner
        )
        self._owner(own.Taken(record.number, record.queue, record.rerunnable, held))

    def tell_owner(self, event: own.Event) -> None:
        """A person's wish for a job."""
        self._owner(event)

    def machine_of(self, record: JobRecord) -> str:
        """The node where the job runs, "" where it does not."""
        for out in self._runs.get(record.number, {}).values():
            if out.placed:
                return out.machine
        return ""


def _int(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        return 0


def _float(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
