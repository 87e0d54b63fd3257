"""Carries out what the decision module says: offers on their way, their outcomes, timers.

A task of the module is one ask of a job; a run is one offer that left for a node.
"""

from __future__ import annotations

from ladderhub import interface as api
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request
from ladderhub.pbs.resources import GIB, format_size
from ladderhub.server.jobs import JobRecord, stamp
from ladderhub.server.offer import Result
from ladderhub.server.runs import OutRun
from ladderhub.server.site import Site
from ladderhub.usage.processor import Cause

S = 1_000_000_000
NEVER_RAN = (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NEVER_SENT)
_WORDS = {api.Reason.CORES: "no cores", api.Reason.MEMORY: "no memory", api.Reason.LINE_FULL: "line full"}


class Placing:
    """Carrier of the decision module."""

    def __init__(self, site: Site) -> None:
        self._site = site

    # --- what others want placed ----------------------------------------------------------------------------

    def ask(self, now: int, record: JobRecord, action: own.RequestPlacement) -> None:
        """Hand one ask of the job to the module, in place of an earlier one."""
        self.leave(record)
        task = self._site.runs.new_task(record, action.request_id, now + action.budget_ns)
        event = self._asked_event(record, task, action.budget_ns, action.is_retry, action.effect)
        self._site.tell_module(event)

    def adopt(self, now: int, record: JobRecord, ask: int, run: int, machine: str) -> None:
        """Hand the module a run that stands already."""
        self.leave(record)
        task = self._site.runs.new_task(record, ask, now)
        self._site.runs.tasks[task].sent = 1
        out = OutRun(task, 0, machine, now)
        out.placed = True
        self._site.runs.add(record.number, run, out)
        self._site.tell_module(api.TaskOpen(self._asked_event(record, task, 0, True), machine))

    def leave(self, record: JobRecord) -> None:
        """The job's present task is no more: the module hears the end of what it still counts as out."""
        if record.task < 0:
            return
        for out in self._site.runs.of_task(record.task):
            if out.open:
                out.open = False
                event = api.AttemptEnded(
                    out.task, out.attempt, out.machine, api.Outcome.LOST, api.Reason.UNKNOWN, True
                )
                self._site.tell_module(event)
        self._site.tell_module(api.TaskWithdrawn(record.task))
        record.task = -1

    def _asked_event(
        self, record: JobRecord, task: int, budget: int, again: bool, effect: api.Effect | None = None
    ) -> api.TaskAsked:
        return api.TaskAsked(
            task=task,
            key=record.id,
            klass=record.queue,
            service=record.service,
            cores=record.cores,
            memory=record.memory,
            budget_ns=budget,
            tenant=self._site.settings.tenant_index(record.account),
            life_hint_ns=record.walltime_s * S or None,
            came_again=again,
            effect=effect,
        )

    # --- what the module decides ----------------------------------------------------------------------------

    def execute(self, now: int, action: api.Action) -> None:
        # Also where a list or a lease made the decision: what it leads to is work on jobs.
        self._site.processor.run(Cause.JOBS, self._carry, now, action)

    def _carry(self, now: int, action: api.Action) -> None:
        match action:
            case api.Send(task, machine, timeout):
                self._send(now, task, machine, timeout)
            case api.SetTimer(at, timer):
                self._site.loop.call_at(at, self._site.tell_module, api.TimerFired(timer))
            case api.Refuse(task) | api.Fail(task):
                asked = self._site.runs.tasks.get(task)
                if asked is not None:
                    failed = isinstance(action, api.Fail)
                    self._site.tell_owner(own.PlacementRejected(asked.record.number, asked.ask, failed))
            case api.Abort(task, attempt):
                for out in self._site.runs.of_task(task):
                    if out.attempt == attempt and out.call is not None:
                        out.call.call_off()
            case api.Move(task):
                asked = self._site.runs.tasks.get(task)
                if asked is not None:
                    self._site.tell_owner(own.Rerun(asked.record.number))
            case api.Log(text):
                self._site.log.info("module", text=text)
            case _:
                self._site.log.debug("not carried out", action=type(action).__name__)

    def on_handled(self, event: api.Event) -> None:
        if isinstance(event, api.TaskWithdrawn):
            self._site.runs.tasks.pop(event.task, None)
        elif isinstance(event, api.SettingsChanged):
            self._site.settings_in_force(event)

    def _send(self, now: int, task: int, machine: str, timeout: int | None) -> None:
        asked = self._site.runs.tasks[task]
        record, attempt = asked.record, asked.sent
        asked.sent += 1
        if record.task != task:  # the job left this ask while the module's answer to an earlier event waited
            unsent = api.AttemptEnded(task, attempt, machine, api.Outcome.NEVER_SENT, concluded=True)
            self._site.tell_module(unsent)
            return
        record.run += 1
        run = record.run
        out = OutRun(task, attempt, machine, now)
        out.revision = record.revision = self._site.revision.number
        self._site.runs.add(record.number, run, out)
        left = asked.until_ns - now
        span = left if timeout is None else min(left, timeout)
        self._site.tell_owner(own.Sent(record.number, asked.ask, run, machine))
        self._site.metrics.offers += 1
        self._site.log.debug("offer", job=record.id, run=run, node=machine, revision=out.revision)
        request = self._queue_job(record, run)
        out.call = self._site.links.offer(
            machine, request, record.script, span, lambda result: self._offer_done(record, run, out, result)
        )

    def _queue_job(self, record: JobRecord, run: int) -> Request:
        attrs = [
            Attr("Job_Name", record.name), Attr("Job_Owner", record.owner), Attr("service", record.service),
            Attr("queue", self._site.settings.queues.all[record.queue]), Attr("run_version", str(run)),
            Attr("server", self._site.name), Attr("server_address", self._site.advertise),
            Attr("Rerunable", "True" if record.rerunnable else "False"), Attr("ctime", stamp(record.made_ns)),
            Attr("Resource_List", f"{record.cores:g}", "ncpus"),
            Attr("Resource_List", format_size(round(record.memory * GIB)), "mem"),
        ]  # fmt: skip
        if record.mpiprocs:
            attrs.append(Attr("Resource_List", str(record.mpiprocs), "mpiprocs"))
        if record.ompthreads:
            attrs.append(Attr("Resource_List", str(record.ompthreads), "ompthreads"))
        skip = ("Resource_List.select", "Resource_List.nodes")
        names = {attr.key() for attr in attrs}
        attrs += [a for key, a in record.values.items() if key not in skip and key not in names]
        return Request(n.QUEUE_JOB, f"scheduler@{self._site.name}", record.id, attrs, destination="node")

    def _offer_done(self, record: JobRecord, run: int, out: OutRun, result: Result) -> None:
        out.call = None
        elapsed = self._site.loop.now_ns() - out.sent_ns
        if result.placed:
            out.placed = True
            self._site.metrics.start(elapsed)
            self._site.tell_owner(own.Accepted(record.number, run))
            if out.open:
                self._site.tell_module(api.TaskPlaced(out.task, out.attempt, out.machine, elapsed))
            return
        words = result.text or _WORDS.get(result.reason, result.outcome.name.lower())
        text = f"{out.machine}: {words}"
        self._site.metrics.ended(result.outcome)
        self._site.log.info(
            "turned away", job=record.id, run=run, node=out.machine, outcome=result.outcome.name,
            reason=result.reason.name, text=words, revision=out.revision,
        )  # fmt: skip
        if result.outcome in NEVER_RAN:
            self._site.runs.forget(record.number, run)
            self._site.tell_owner(own.NeverRan(record.number, run, text))
        else:
            self._site.tell_owner(own.InDoubt(record.number, run, text))
        self.tell_end(out, result.outcome, result.reason, concluded=False)

    def tell_end(self, out: OutRun, outcome: api.Outcome, reason: api.Reason, concluded: bool) -> None:
        """The module hears one outcome of each attempt, whichever news comes first."""
        if out.open:
            out.open = False
            elapsed = self._site.loop.now_ns() - out.sent_ns
            self._site.tell_module(
                api.AttemptEnded(out.task, out.attempt, out.machine, outcome, reason, concluded, elapsed)
            )
