"""Executes the actions of the owner module, and keeps the job states that `qstat` shows."""

from __future__ import annotations

from ladderhub import interface as api
from ladderhub.loop import Timer
from ladderhub.owner import types as own
from ladderhub.server.jobs import JobRecord
from ladderhub.server.placing import PlacementExecutor
from ladderhub.server.context import DaemonContext
from ladderhub.server.runcontrol import RunControl

_STATE_CODES = {"held": ("H", 20), "running": ("R", 42), "stopping": ("E", 50), "waiting": ("Q", 10)}


class OwnerExecutor:
    """Executes the actions of the owner module; as a component, it counts jobs without an answer."""

    def __init__(self, context: DaemonContext, placement: PlacementExecutor, run_control: RunControl) -> None:
        self._context, self._placement, self._run_control = context, placement, run_control
        self._timers: dict[int, Timer] = {}
        context.metrics.add_gauge("jobs_live", "Jobs not finished", lambda: len(context.jobs.live))
        context.metrics.add_gauge("jobs_owed", "Jobs without an answer", context.owner.count_unanswered)
        context.metrics.add_gauge("strays", "Unwanted runs not yet stopped", context.owner.count_orphans)

    # --- component of the daemon ----------------------------------------------------------------------------

    def start(self) -> None:
        return

    def stop(self, now: bool) -> None:
        self._context.tell_owner(own.SchedulerStopping(now))

    def count_unsettled(self) -> int:
        return self._context.owner.count_unanswered()

    def close(self) -> None:
        return

    # --- actions of the owner module ------------------------------------------------------------------------

    def execute(self, now: int, action: own.Action) -> None:
        if isinstance(action, own.SetTimer):
            previous = self._timers.pop(action.job, None)
            if previous is not None:
                previous.cancel()
            self._timers[action.job] = self._context.loop.call_at(action.at_ns, self._on_timer, action.job)
        elif isinstance(action, own.Query | own.Stop):
            self._run_control.send(action)
        else:
            record = self._context.jobs.live.get(action.job)
            if record is not None:
                self._execute_for_job(now, record, action)

    def _execute_for_job(self, now: int, record: JobRecord, action: own.Action) -> None:
        match action:
            case own.RequestPlacement():
                self._placement.request_placement(now, record, action)
            case own.Withdraw():
                if record.task >= 0:
                    self._context.tell_module(api.TaskWithdrawn(record.task))
            case own.Adopt(_, request_id, run, machine):
                self._placement.adopt(now, record, request_id, run, machine)
            case own.ReportAnswer(_, answer, reason):
                record.answer, record.answer_ns, record.comment = answer.value, now, reason
                self._context.metrics.count_answer(answer)
                record.revision = revision = self._context.revision.number
                self._context.log.info(
                    "answer", job=record.id, answer=answer.value, reason=reason, revision=revision
                )
            case own.Finish(_, status, reason):
                self._finish(now, record, status, reason)

    def _finish(self, now: int, record: JobRecord, status: int, reason: str) -> None:
        self._placement.withdraw_task(record)
        record.exit_status = status
        if reason:
            record.comment = reason
        timer = self._timers.pop(record.number, None)
        if timer is not None:
            timer.cancel()
        self._context.jobs.finish(record, now)
        self._context.log.info("finished", job=record.id, status=status, reason=reason)
        for callback in self._context.on_finished:
            callback(record)

    def _on_timer(self, job: int) -> None:
        self._timers.pop(job, None)
        self._context.tell_owner(own.TimerFired(job))

    def on_handled(self, event: own.Event) -> None:
        """Update the state, machine and reason that `qstat` shows, for the jobs that the event concerns."""
        if isinstance(event, own.RequestsResumed):
            for waiting in list(self._context.jobs.live.values()):
                self._update_shown_state(waiting)
            return
        number = getattr(event, "job", None)
        record = self._context.jobs.live.get(number) if number is not None else None
        if record is None:
            if number is not None and isinstance(event, own.MachineReplied | own.Ended | own.NeverRan):
                for callback in self._context.on_finished_job_report:
                    callback(number)
            return
        self._update_shown_state(record)

    def _update_shown_state(self, record: JobRecord) -> None:
        state, state_reason = self._context.owner.get_state(record.number)
        was_running = record.state == "R"
        record.state, record.substate = _STATE_CODES.get(state, ("Q", 14 if state == "asking" else 16))
        machines = self._context.runs.get_machines(record.number)
        record.run_machine = machines[-1] if machines else ""
        if state == "running" and not record.start_ns:
            record.start_ns = self._context.loop.now_ns()
        if state != "running" or state_reason:
            record.comment = state_reason or record.comment
        if (record.state == "R") != was_running and record.state != "E":
            for callback in self._context.on_placed if record.state == "R" else self._context.on_unplaced:
                callback(record)
