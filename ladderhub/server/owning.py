"""Carries out what the owner's decisions say: asks, queries, stops, answers, ends, and what `qstat` shows."""

from __future__ import annotations

from ladderhub import interface as api
from ladderhub.loop import Timer
from ladderhub.owner import types as own
from ladderhub.server.jobs import JobRecord
from ladderhub.server.placing import Placing
from ladderhub.server.site import Site
from ladderhub.server.words import Words

_LETTERS = {"held": ("H", 20), "running": ("R", 42), "stopping": ("E", 50), "waiting": ("Q", 10)}


class Owning:
    """Carrier of the owner's decisions, and the part of the daemon that owes answers."""

    def __init__(self, site: Site, placing: Placing, words: Words) -> None:
        self._site, self._placing, self._words = site, placing, words
        self._wakes: dict[int, Timer] = {}
        site.metrics.gauge("jobs_live", "Jobs not finished", lambda: len(site.jobs.live))
        site.metrics.gauge("jobs_owed", "Jobs without an answer", site.owner.count_unanswered)
        site.metrics.gauge("strays", "Unwanted runs not yet stopped", site.owner.count_orphans)

    # --- as a part ------------------------------------------------------------------------------------------

    def start(self) -> None:
        return

    def stop(self, now: bool) -> None:
        self._site.tell_owner(own.SchedulerStopping(now))

    def owes(self) -> int:
        return self._site.owner.count_unanswered()

    def close(self) -> None:
        return

    # --- what the owner decides -----------------------------------------------------------------------------

    def execute(self, now: int, action: own.Action) -> None:
        if isinstance(action, own.SetTimer):
            old = self._wakes.pop(action.job, None)
            if old is not None:
                old.cancel()
            self._wakes[action.job] = self._site.loop.call_at(action.at_ns, self._wake, action.job)
        elif isinstance(action, own.Query | own.Stop):
            self._words.ask(action)
        else:
            record = self._site.jobs.live.get(action.job)
            if record is not None:
                self._carry_job(now, record, action)

    def _carry_job(self, now: int, record: JobRecord, action: own.Action) -> None:
        match action:
            case own.RequestPlacement():
                self._placing.ask(now, record, action)
            case own.Withdraw():
                if record.task >= 0:
                    self._site.tell_module(api.TaskWithdrawn(record.task))
            case own.Adopt(_, ask, run, machine):
                self._placing.adopt(now, record, ask, run, machine)
            case own.ReportAnswer(_, answer, reason):
                record.answer, record.answer_ns, record.comment = answer.value, now, reason
                self._site.metrics.answered(answer)
                record.revision = revision = self._site.revision.number
                self._site.log.info(
                    "answer", job=record.id, answer=answer.value, reason=reason, revision=revision
                )
            case own.Finish(_, status, reason):
                self._finish(now, record, status, reason)

    def _finish(self, now: int, record: JobRecord, status: int, reason: str) -> None:
        self._placing.leave(record)
        record.exit_status = status
        if reason:
            record.comment = reason
        timer = self._wakes.pop(record.number, None)
        if timer is not None:
            timer.cancel()
        self._site.jobs.finish(record, now)
        self._site.log.info("finished", job=record.id, status=status, reason=reason)
        for told in self._site.on_finished:
            told(record)

    def _wake(self, job: int) -> None:
        self._wakes.pop(job, None)
        self._site.tell_owner(own.TimerFired(job))

    def on_handled(self, event: own.Event) -> None:
        """State, place and reason as `qstat` gives them."""
        if isinstance(event, own.RequestsResumed):
            for waiting in list(self._site.jobs.live.values()):
                self._show(waiting)
            return
        number = getattr(event, "job", None)
        record = self._site.jobs.live.get(number) if number is not None else None
        if record is None:
            if number is not None and isinstance(event, own.MachineReplied | own.Ended | own.NeverRan):
                for hears in self._site.on_news:
                    hears(number)
            return
        self._show(record)

    def _show(self, record: JobRecord) -> None:
        state, why = self._site.owner.get_state(record.number)
        ran = record.state == "R"
        record.state, record.substate = _LETTERS.get(state, ("Q", 14 if state == "asking" else 16))
        placed = self._site.runs.placed_at(record.number)
        record.run_machine = placed[-1] if placed else ""
        if state == "running" and not record.start_ns:
            record.start_ns = self._site.loop.now_ns()
        if state != "running" or why:
            record.comment = why or record.comment
        if (record.state == "R") != ran and record.state != "E":
            for told in self._site.on_placed if record.state == "R" else self._site.on_unplaced:
                told(record)
