"""Executes the actions of the decision module: sends offers, reports their outcomes, sets timers.

A task of the decision module is one placement request of a job; a run is one offer sent to a node.
"""

from __future__ import annotations

from ladderhub import interface as api
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request
from ladderhub.pbs.resources import GIB, format_size
from ladderhub.server.jobs import JobRecord, format_timestamp
from ladderhub.server.offer import OfferResult
from ladderhub.server.runs import RunRecord
from ladderhub.server.context import DaemonContext
from ladderhub.usage.processor import Cause

S = 1_000_000_000
NEVER_RAN = (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NEVER_SENT)
_REASON_TEXTS = {
    api.Reason.CORES: "no cores",
    api.Reason.MEMORY: "no memory",
    api.Reason.LINE_FULL: "line full",
}


class PlacementExecutor:
    """Executes the actions of the decision module."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context

    # --- placement requests ---------------------------------------------------------------------------------

    def request_placement(self, now: int, record: JobRecord, action: own.RequestPlacement) -> None:
        """Pass a placement request of the job to the decision module; it replaces any earlier one."""
        self.withdraw_task(record)
        task = self._context.runs.add_task(record, action.request_id, now + action.budget_ns)
        event = self._build_task_asked(record, task, action.budget_ns, action.is_retry, action.effect)
        self._context.tell_module(event)

    def adopt(self, now: int, record: JobRecord, request_id: int, run: int, machine: str) -> None:
        """Tell the decision module of a run that exists already."""
        self.withdraw_task(record)
        task = self._context.runs.add_task(record, request_id, now)
        self._context.runs.tasks[task].attempts_sent = 1
        run_record = RunRecord(task, 0, machine, now)
        run_record.placed = True
        self._context.runs.add(record.number, run, run_record)
        self._context.tell_module(api.TaskOpen(self._build_task_asked(record, task, 0, True), machine))

    def withdraw_task(self, record: JobRecord) -> None:
        """Withdraw the job's current task, and report its attempts without an outcome as lost."""
        if record.task < 0:
            return
        for run_record in self._context.runs.get_task_runs(record.task):
            if run_record.outcome_pending:
                run_record.outcome_pending = False
                event = api.AttemptEnded(
                    run_record.task,
                    run_record.attempt,
                    run_record.machine,
                    api.Outcome.LOST,
                    api.Reason.UNKNOWN,
                    True,
                )
                self._context.tell_module(event)
        self._context.tell_module(api.TaskWithdrawn(record.task))
        record.task = -1

    def _build_task_asked(
        self, record: JobRecord, task: int, budget_ns: int, is_retry: bool, effect: api.Effect | None = None
    ) -> api.TaskAsked:
        return api.TaskAsked(
            task=task,
            key=record.id,
            klass=record.queue,
            service=record.service,
            cores=record.cores,
            memory=record.memory,
            budget_ns=budget_ns,
            tenant=self._context.settings.tenant_index(record.account),
            life_hint_ns=record.walltime_s * S or None,
            came_again=is_retry,
            effect=effect,
        )

    # --- actions of the decision module ---------------------------------------------------------------------

    def execute(self, now: int, action: api.Action) -> None:
        # Counted as work on jobs, even if the decision was caused by a node list or a lease.
        self._context.processor.run(Cause.JOBS, self._execute, now, action)

    def _execute(self, now: int, action: api.Action) -> None:
        match action:
            case api.Send(task, machine, timeout):
                self._send(now, task, machine, timeout)
            case api.SetTimer(at, timer):
                self._context.loop.call_at(at, self._context.tell_module, api.TimerFired(timer))
            case api.Refuse(task) | api.Fail(task):
                task_record = self._context.runs.tasks.get(task)
                if task_record is not None:
                    failed = isinstance(action, api.Fail)
                    self._context.tell_owner(
                        own.PlacementRejected(task_record.record.number, task_record.request_id, failed)
                    )
            case api.Abort(task, attempt):
                for run_record in self._context.runs.get_task_runs(task):
                    if run_record.attempt == attempt and run_record.call is not None:
                        run_record.call.cancel()
            case api.Move(task):
                task_record = self._context.runs.tasks.get(task)
                if task_record is not None:
                    self._context.tell_owner(own.Rerun(task_record.record.number))
            case api.Log(text):
                self._context.log.info("module", text=text)
            case _:
                self._context.log.debug("not carried out", action=type(action).__name__)

    def on_handled(self, event: api.Event) -> None:
        if isinstance(event, api.TaskWithdrawn):
            self._context.runs.tasks.pop(event.task, None)
        elif isinstance(event, api.SettingsChanged):
            self._context.apply_settings(event)

    def _send(self, now: int, task: int, machine: str, timeout: int | None) -> None:
        task_record = self._context.runs.tasks[task]
        record, attempt = task_record.record, task_record.attempts_sent
        task_record.attempts_sent += 1
        if record.task != task:  # the job's task was replaced or withdrawn while this action was queued
            unsent = api.AttemptEnded(task, attempt, machine, api.Outcome.NEVER_SENT, concluded=True)
            self._context.tell_module(unsent)
            return
        record.run += 1
        run = record.run
        run_record = RunRecord(task, attempt, machine, now)
        run_record.revision = record.revision = self._context.revision.number
        self._context.runs.add(record.number, run, run_record)
        remaining_ns = task_record.deadline_ns - now
        offer_timeout_ns = remaining_ns if timeout is None else min(remaining_ns, timeout)
        self._context.tell_owner(own.Sent(record.number, task_record.request_id, run, machine))
        self._context.metrics.offers += 1
        self._context.log.debug("offer", job=record.id, run=run, node=machine, revision=run_record.revision)
        request = self._build_queue_job(record, run)
        run_record.call = self._context.links.send_offer(
            machine,
            request,
            record.script,
            offer_timeout_ns,
            lambda result: self._on_offer_result(record, run, run_record, result),
        )

    def _build_queue_job(self, record: JobRecord, run: int) -> Request:
        attrs = [
            Attr("Job_Name", record.name), Attr("Job_Owner", record.owner), Attr("service", record.service),
            Attr("queue", self._context.settings.queues.all[record.queue]), Attr("run_version", str(run)),
            Attr("server", self._context.name), Attr("server_address", self._context.advertise),
            Attr("Rerunable", "True" if record.rerunnable else "False"),
            Attr("ctime", format_timestamp(record.created_ns)),
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
        return Request(n.QUEUE_JOB, f"scheduler@{self._context.name}", record.id, attrs, destination="node")

    def _on_offer_result(
        self, record: JobRecord, run: int, run_record: RunRecord, result: OfferResult
    ) -> None:
        run_record.call = None
        elapsed_ns = self._context.loop.now_ns() - run_record.sent_ns
        if result.placed:
            run_record.placed = True
            self._context.metrics.observe_start(elapsed_ns)
            self._context.tell_owner(own.Accepted(record.number, run))
            if run_record.outcome_pending:
                self._context.tell_module(
                    api.TaskPlaced(run_record.task, run_record.attempt, run_record.machine, elapsed_ns)
                )
            return
        explanation = result.text or _REASON_TEXTS.get(result.reason, result.outcome.name.lower())
        text = f"{run_record.machine}: {explanation}"
        self._context.metrics.count_failed_offer(result.outcome)
        self._context.log.info(
            "turned away", job=record.id, run=run, node=run_record.machine, outcome=result.outcome.name,
            reason=result.reason.name, text=explanation, revision=run_record.revision,
        )  # fmt: skip
        if result.outcome in NEVER_RAN:
            self._context.runs.remove(record.number, run)
            self._context.tell_owner(own.NeverRan(record.number, run, text))
        else:
            self._context.tell_owner(own.InDoubt(record.number, run, text))
        self.report_outcome(run_record, result.outcome, result.reason, concluded=False)

    def report_outcome(
        self, run_record: RunRecord, outcome: api.Outcome, reason: api.Reason, concluded: bool
    ) -> None:
        """Report the outcome of an attempt to the decision module; only the first one is reported."""
        if run_record.outcome_pending:
            run_record.outcome_pending = False
            elapsed_ns = self._context.loop.now_ns() - run_record.sent_ns
            self._context.tell_module(
                api.AttemptEnded(
                    run_record.task,
                    run_record.attempt,
                    run_record.machine,
                    outcome,
                    reason,
                    concluded,
                    elapsed_ns,
                )
            )
