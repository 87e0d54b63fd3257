"""The owner's decisions.  Types stand in `types.py`; `STATES` lists every state of a job.

The daemon stands in for the person between placings.  A job is asked for again after a refusal, later each
time, as long as its limit, its own asks and the common budget for asking again allow.  Runs in doubt are
cleared with their machines: an unsafe job is not asked for again before each earlier run is proven not to
run, and what is unwanted is told to stop until its machine says that it has.
"""

from __future__ import annotations

from dataclasses import replace

from ladderhub.interface import Effect
from ladderhub.owner import types as t
from ladderhub.owner.inquiries import Strays, inquire_due
from ladderhub.owner.retries import RetryBudget

HELD, WAITING, ASKING, DOUBT, RUNNING, STOPPING, OVER = (
    "held", "waiting", "asking", "doubt", "running", "stopping", "over",
)  # fmt: skip
# state -> states it may go to.  `_go` is the one door and checks it.
STATES = {
    HELD: {WAITING, STOPPING, OVER},
    WAITING: {ASKING, HELD, DOUBT, STOPPING, OVER, RUNNING},
    ASKING: {WAITING, HELD, DOUBT, RUNNING, STOPPING, OVER},
    DOUBT: {WAITING, HELD, RUNNING, STOPPING, OVER},
    RUNNING: {WAITING, DOUBT, STOPPING, OVER},
    STOPPING: {WAITING, OVER},
    OVER: set(),
}
CANCELLED_STATUS = 265  # 256 + SIGKILL: what clients of PBS read as cancelled, where 271 is any SIGTERM


class Owner:
    """Decides for all jobs of one scheduler.  Feed it events in order; carry out its actions in order."""

    def __init__(self, settings: t.OwnerSettings, seed: int) -> None:
        self.settings = settings
        self._jobs: dict[int, t.Job] = {}
        self._strays = Strays()
        self._retries = RetryBudget(settings, seed)
        self._ending = False
        self._paused = ""  # why the module is asked for nothing
        self._out: list[t.Action] = []

    # --- what others may look at --------------------------------------------------------------------------

    def get_state(self, job: int) -> tuple[str, str]:
        """A job's state and why it is in it; ("over", "") where it is not known."""
        known = self._jobs.get(job)
        return (known.state, known.why) if known else (OVER, "")

    def count_unanswered(self) -> int:
        """How many jobs still lack their answer."""
        return sum(not job.answered for job in self._jobs.values())

    def count_orphans(self) -> int:
        """How many runs of finished jobs are still to be stopped."""
        return len(self._strays)

    def has_orphan(self, job: int) -> bool:
        """Whether a run of a finished job may still be alive."""
        return self._strays.has(job)

    # --- events -------------------------------------------------------------------------------------------

    def handle(self, now_ns: int, event: t.Event) -> list[t.Action]:
        """Take one event and give the actions it calls for."""
        self._out = []
        match event:
            case t.Submitted():
                self._on_taken(now_ns, event)
            case t.Adopted():
                self._on_adopted(now_ns, event)
            case t.MachineRestarted() | t.MachineGone():
                self._on_machine(now_ns, event)
            case t.SettingsChanged(settings):
                self._on_settings(settings)
            case t.RequestsPaused(reason):
                self._paused = reason
            case t.RequestsResumed():
                self._on_resumed(now_ns)
            case t.SchedulerStopping():
                self._on_stopping(now_ns, event.immediately)
            case _:
                job = self._jobs.get(event.job)
                if job is not None:
                    self._on_job(now_ns, job, event)
                else:
                    self._out += self._strays.handle(now_ns, self.settings, event)
        return self._out

    def _on_job(self, now: int, job: t.Job, event: t.Event) -> None:
        match event:
            case t.Sent():
                job.runs[event.run] = t.Run(event.machine, since_ns=now)
            case t.Accepted():
                self._on_accepted(now, job, event.run)
            case t.NeverRan():
                if job.runs.pop(event.run, None) is not None:
                    job.why = event.reason or job.why
                    if event.run == job.main_run and job.state == RUNNING:
                        self._again_placed(now, job, job.why, at_once=True)
                    else:
                        self._cleared(now, job)
            case t.InDoubt():
                self._on_doubtful(now, job, event)
            case t.PlacementRejected():
                self._on_turned_away(now, job, event)
            case t.MachineReplied():
                self._on_said(now, job, event)
            case t.Ended():
                self._on_ended(now, job, event)
            case t.Cancelled():
                self._on_cancelled(now, job)
            case t.Hold():
                self._on_hold(now, job)
            case t.Release():
                self._on_release(now, job)
            case t.Rerun():
                if job.state == RUNNING and job.main_run in job.runs:
                    job.rerun = True
                    self._stop_runs(now, job)
            case t.Altered():
                job.rerunnable = event.rerunnable
            case t.TimerFired():
                self._on_due(now, job)

    # --- settings that change -------------------------------------------------------------------------------

    def _on_settings(self, settings: t.OwnerSettings) -> None:
        self.settings = settings
        self._retries.change(settings)

    def _on_resumed(self, now: int) -> None:
        self._paused = ""
        for job in list(self._jobs.values()):
            if job.paused:
                job.paused, job.why = False, ""
                if job.state == WAITING:
                    self._ask(now, job)

    def _new_rules(self, job: t.Job) -> t.QueueRules:
        """Those of a further placing: the queue's as they are now.

        Danger: a job taken as unsafe whose queue became safe would be started a second time."""
        return replace(self.settings.queues[job.queue], effect=job.rules.effect)

    # --- taking and asking ----------------------------------------------------------------------------------

    def _on_taken(self, now: int, event: t.Submitted) -> None:
        rules = self.settings.queues[event.queue]
        if event.effect is not None:
            rules = replace(rules, effect=event.effect)
        job = t.Job(
            event.job, event.queue, rules, event.rerunnable, HELD if event.held else WAITING,
            now + rules.limit_ns, event.stop_until_confirmed,
        )  # fmt: skip
        self._jobs[event.job] = job
        self._retries.pay_in()
        if self._ending:
            self._settle(job, t.Answer.REFUSED, "the scheduler is stopping")
            self._finish(job, 0, "the scheduler is stopping")
        elif event.held:
            job.why = "held by its owner"
        else:
            self._ask(now, job)

    def _on_adopted(self, now: int, event: t.Adopted) -> None:
        if event.job in self._jobs:
            return
        rules = self.settings.queues[event.queue]
        job = t.Job(event.job, event.queue, rules, event.rerunnable, RUNNING, 0)
        job.answered, job.main_run, job.placings = True, event.run, 1
        job.runs[event.run] = t.Run(event.machine, accepted=True, since_ns=now)
        self._jobs[event.job] = job
        self._hand_over(job, event.run)

    def _ask(self, now: int, job: t.Job) -> None:
        """Hand the job to the module, where every rule allows it now."""
        if job.hold_wanted:
            self._held(job)
            return
        rules = job.rules
        left = job.limit_ns - now - self.settings.answer_margin_ns
        if left <= 0 or job.asks >= rules.max_requests:
            self._give_up(now, job, "no time is left" if left <= 0 else "asked as often as its queue allows")
            return
        # Danger: an unsafe job whose earlier run may live.  Nothing is asked before each is proven away.
        if job.runs and rules.effect is not Effect.SAFE:
            self._doubt(now, job)
            return
        if self._paused:
            job.paused, job.why = True, self._paused
            self._go(job, WAITING)
            job.until_ns = job.limit_ns - self.settings.answer_margin_ns
            self._wake(job, job.until_ns)
            return
        job.ask += 1
        job.asks += 1
        self._go(job, ASKING)
        job.why = job.why or "being placed"
        effect = None if rules.effect is self.settings.queues[job.queue].effect else rules.effect
        self._out.append(
            t.RequestPlacement(job.number, job.ask, min(left, rules.request_limit_ns), job.came_again, effect)
        )
        self._wake(job, job.limit_ns - self.settings.answer_margin_ns)
        job.came_again = True

    def _on_turned_away(self, now: int, job: t.Job, event: t.PlacementRejected) -> None:
        if event.request_id != job.ask or job.state not in (ASKING, STOPPING):
            return
        if job.state == STOPPING:
            self._cleared(now, job)
            return
        if self._use_found(now, job):
            return
        if job.hold_wanted and not job.runs:
            self._held(job)
        elif job.runs and job.rules.effect is not Effect.SAFE:
            self._doubt(now, job)
        else:
            self._stay(now, job)

    def _stay(self, now: int, job: t.Job, at_once: bool = False) -> None:
        """Wait before asking again."""
        if self._ending:
            self._give_up(now, job, "the scheduler is stopping")
            return
        span = self._retries.stay_ns(job, at_once)
        self._go(job, WAITING)
        job.until_ns = min(now + span, job.limit_ns - self.settings.answer_margin_ns)
        self._wake(job, job.until_ns)

    def _on_due(self, now: int, job: t.Job) -> None:
        if now < job.woken_ns:
            return
        job.woken_ns = -1
        if job.state == WAITING and now >= job.until_ns:
            self._ask(now, job)
        else:
            if job.state == WAITING:
                self._wake(job, job.until_ns)
            elif (
                job.state != HELD
                and not job.answered
                and now >= job.limit_ns - self.settings.answer_margin_ns
            ):
                if job.state == STOPPING:
                    self._settle_unplaced(job, "cancelled; " + self._silent(job))
                elif job.state in (DOUBT, ASKING):
                    # The module answers its asks before this; a job is owed its answer all the same.
                    self._give_up(now, job, self._silent(job))
                    return
            self._chase(now, job)

    def _silent(self, job: t.Job) -> str:
        machines = sorted({run.machine for run in job.runs.values()})
        return f"may have run at {', '.join(machines)}, which gives no word" if machines else "nothing ran"

    # --- what machines say ----------------------------------------------------------------------------------

    def _on_accepted(self, now: int, job: t.Job, number: int) -> None:
        run = job.runs.get(number)
        if run is None or run.accepted:
            return
        run.accepted, run.doubt = True, False
        if job.state in (ASKING, DOUBT, WAITING) and not run.stop:
            self._runs_now(job, number)
        elif not job.answered:
            self._settle(job, t.Answer.PLACED, f"placed on {run.machine}")
        if job.state == RUNNING:
            for other, stray in job.runs.items():
                stray.stop = stray.stop or other != number
            self._chase(now, job)

    def _runs_now(self, job: t.Job, number: int) -> None:
        self._go(job, RUNNING)
        job.main_run, job.why = number, ""
        job.placings += 1
        if not job.answered:
            self._settle(job, t.Answer.PLACED, f"placed on {job.runs[number].machine}")

    def _on_doubtful(self, now: int, job: t.Job, event: t.InDoubt) -> None:
        run = job.runs.get(event.run)
        if run is None:
            return
        run.doubt = True
        job.why = event.reason or job.why
        if event.run == job.main_run:
            return
        # A copy that does no harm is not waited for: it is told to stop and the module goes on.
        if job.rules.effect is Effect.SAFE or job.state == STOPPING:
            run.stop = True
        self._chase(now, job)

    def _doubt(self, now: int, job: t.Job) -> None:
        self._go(job, DOUBT)
        for run in job.runs.values():
            run.doubt = run.doubt or not run.accepted
        machines = sorted({run.machine for run in job.runs.values()})
        job.why = f"may run at {', '.join(machines)}; not sent again before that is known"
        self._chase(now, job)

    def _chase(self, now: int, job: t.Job) -> None:
        """Ask or stop what is in doubt or unwanted, later each time; wake for the next."""
        due = job.limit_ns - self.settings.answer_margin_ns if not job.answered else 0
        times = [due] if due > now else []
        self._out += inquire_due(now, self.settings, job, times)
        if times:
            self._wake(job, min(times))

    def _on_said(self, now: int, job: t.Job, event: t.MachineReplied) -> None:
        run = job.runs.get(event.run)
        if run is None:
            return
        if event.status is t.RunStatus.NEVER:
            if event.run == job.main_run and job.state == RUNNING:
                # A machine that forgot a run it had accepted: it was lost there.
                self._on_ended(now, job, t.Ended(job.number, event.run, t.End.LOST))
                return
            del job.runs[event.run]
            self._cleared(now, job)
        elif event.status is t.RunStatus.RUNS:
            self._found(now, job, event.run, run)
        elif event.status is t.RunStatus.STOPPING:
            run.accepted = True

    def _found(self, now: int, job: t.Job, number: int, run: t.Run) -> None:
        """A run in doubt turns out to be alive: it is the job's placing, unless another one is or none is
        wanted."""
        run.doubt = False
        if run.stop or run.accepted:
            run.accepted = True
            return
        run.accepted = True
        if job.state in (DOUBT, WAITING, ASKING):
            self._use_found(now, job)
        elif number != job.main_run:
            run.stop = True
            self._chase(now, job)

    def _use_found(self, now: int, job: t.Job) -> bool:
        """A run that was found alive becomes the job's placing once no other offer is on its way."""
        found = [number for number, run in job.runs.items() if run.accepted and not run.stop]
        waits = any(not run.accepted and not run.doubt for run in job.runs.values())
        if not found or waits:
            return False
        if job.state == ASKING:
            self._out.append(t.Withdraw(job.number, job.ask))
        self._runs_now(job, found[0])
        self._hand_over(job, found[0])
        for number, run in job.runs.items():
            run.stop = run.stop or number != found[0]
        self._chase(now, job)
        return True

    def _hand_over(self, job: t.Job, number: int) -> None:
        job.ask += 1
        self._out.append(t.Adopt(job.number, job.ask, number, job.runs[number].machine))

    def _on_ended(self, now: int, job: t.Job, event: t.Ended) -> None:
        run = job.runs.pop(event.run, None)
        if run is None:
            return
        by_itself = event.end is t.End.DONE
        if job.state == STOPPING:
            if by_itself or run.accepted:
                self._settle(job, t.Answer.PLACED, f"placed on {run.machine}")
            if by_itself:
                self._finish(job, event.status, f"ended at {run.machine} before the cancel reached it")
            else:
                self._cleared(now, job)
        elif job.state == RUNNING and event.run == job.main_run:
            if by_itself or (event.end is t.End.KILLED and not job.rerun):
                self._finish(job, event.status, f"{event.end.value} at {run.machine}")
            else:
                soon = event.end in (t.End.LOST, t.End.SENT_AWAY, t.End.KILLED)
                words = "stopped to be placed again" if job.rerun else event.end.value.replace("_", " ")
                self._again_placed(now, job, f"{words} at {run.machine}", at_once=soon)
        elif (by_itself or event.end is t.End.KILLED) and not run.stop:
            # Its end overtook the news of its start.
            self._settle(job, t.Answer.PLACED, f"placed on {run.machine}")
            if job.state == ASKING:
                self._out.append(t.Withdraw(job.number, job.ask))
            self._finish(job, event.status, f"{event.end.value} at {run.machine}")
        else:
            self._cleared(now, job)

    def _again_placed(self, now: int, job: t.Job, why: str, at_once: bool) -> None:
        """A placed job lost its place: it is placed anew, which is a placing of its own with its own
        limit."""
        rules = job.rules = self._new_rules(job)
        job.main_run, job.why, job.rerun = -1, why, False
        if not job.rerunnable or job.placings > rules.max_reruns or self._ending:
            self._finish(job, -1, why)
            return
        job.asks, job.stay_ns, job.answered = 0, 0, False
        job.limit_ns = now + rules.limit_ns
        job.came_again = True
        if job.runs and rules.effect is not Effect.SAFE:
            self._doubt(now, job)
        else:
            self._stay(now, job, at_once)

    def _on_machine(self, now: int, event: t.MachineRestarted | t.MachineGone) -> None:
        anew = isinstance(event, t.MachineRestarted)
        if anew:
            self._out += self._strays.machine_anew(now, event.machine)
        for job in list(self._jobs.values()):
            for number, run in list(job.runs.items()):
                if run.machine != event.machine or not (run.accepted or run.doubt):
                    continue
                if anew:
                    # Danger: runs that its list says nothing of.  The machine itself knows what it runs, and
                    # its word needs no clock to agree with another.
                    run.doubt, run.asked_ns, run.span_ns = True, now, 0
                elif number == job.main_run and job.state == RUNNING:
                    self._place_gone(now, job, run)
            self._chase(now, job)

    def _place_gone(self, now: int, job: t.Job, run: t.Run) -> None:
        if job.rules.effect is Effect.SAFE:
            # A copy may live on behind a cut: it is told to stop once its machine is reached.
            run.stop = True
            self._again_placed(now, job, f"{run.machine} is gone", at_once=True)
        else:
            job.why = f"{run.machine} is gone; whether it runs there is not known"
            run.doubt = True

    # --- ending ---------------------------------------------------------------------------------------------

    def _cleared(self, now: int, job: t.Job) -> None:
        """One run fewer: what waited for that goes on."""
        if job.state == STOPPING and not job.runs:
            reason = "cancelled" if job.answered else "cancelled before it ran"
            self._settle_unplaced(job, reason)
            self._finish(job, CANCELLED_STATUS, reason)
        elif job.state == DOUBT and not job.runs:
            if job.hold_wanted:
                self._held(job)
            elif job.answered and job.main_run < 0:
                self._finish(job, -1, job.why)
            else:
                job.why = "an earlier run is proven away"
                self._stay(now, job)
        elif job.state in (WAITING, RUNNING, ASKING, DOUBT) and not (
            job.state == ASKING and self._use_found(now, job)
        ):
            self._chase(now, job)

    def _on_cancelled(self, now: int, job: t.Job) -> None:
        if job.state == STOPPING:
            return
        if job.state == ASKING:
            self._out.append(t.Withdraw(job.number, job.ask))
        self._go(job, STOPPING)
        job.why = "being cancelled"
        if job.runs:
            self._stop_runs(now, job)
        else:
            self._cleared(now, job)

    def _stop_runs(self, now: int, job: t.Job) -> None:
        for run in job.runs.values():
            if not run.stop:
                run.stop, run.asked_ns = True, -1
        self._chase(now, job)

    def _give_up(self, now: int, job: t.Job, reason: str) -> None:
        """No further ask: the answer is a refusal only where it is certain that nothing ran."""
        words = f"{reason}; last: {job.why}" if job.why and job.why != reason else reason
        self._settle_unplaced(job, words)
        if job.state == ASKING:
            self._out.append(t.Withdraw(job.number, job.ask))
        self._finish(job, -1, words)

    def _settle_unplaced(self, job: t.Job, reason: str) -> None:
        if job.answered:
            return
        clean = not job.runs or (
            job.rules.effect is Effect.SAFE and not any(run.accepted for run in job.runs.values())
        )
        self._settle(job, t.Answer.REFUSED if clean else t.Answer.FAILED, reason)

    def _settle(self, job: t.Job, answer: t.Answer, reason: str) -> None:
        """The one door of answers."""
        if not job.answered:
            job.answered = True
            self._out.append(t.ReportAnswer(job.number, answer, reason))

    def _finish(self, job: t.Job, status: int, reason: str) -> None:
        """The job is over; runs of it that may live are chased until their machines say that they don't."""
        self._go(job, OVER)
        del self._jobs[job.number]
        self._strays.add(job, self.settings)
        self._out.append(t.Finish(job.number, status, reason))
        if job.runs:
            self._out.append(t.SetTimer(job.number, 0))

    # --- holds and the scheduler's own end ------------------------------------------------------------------

    def _held(self, job: t.Job) -> None:
        self._go(job, HELD)
        job.hold_wanted, job.why = False, "held by its owner"

    def _on_hold(self, now: int, job: t.Job) -> None:
        if job.state == WAITING and not job.runs:
            self._held(job)
        elif job.state == ASKING and not job.runs:
            self._out.append(t.Withdraw(job.number, job.ask))
            self._held(job)
        elif job.state in (ASKING, DOUBT, WAITING):
            job.hold_wanted = True

    def _on_release(self, now: int, job: t.Job) -> None:
        job.hold_wanted = False
        if job.state == HELD:
            job.rules = self._new_rules(job)
            job.limit_ns, job.asks, job.stay_ns = now + job.rules.limit_ns, 0, 0
            self._go(job, WAITING)
            job.why = ""
            self._ask(now, job)

    def _on_stopping(self, now: int, at_once: bool) -> None:
        self._ending = True
        for job in list(self._jobs.values()):
            if job.state in (HELD, WAITING) or (at_once and job.state in (ASKING, DOUBT)):
                self._give_up(now, job, "the scheduler is stopping")
            elif at_once and job.state == STOPPING:
                self._settle_unplaced(job, "cancelled; " + self._silent(job))

    # --- doors ----------------------------------------------------------------------------------------------

    def _go(self, job: t.Job, state: str) -> None:
        if state != job.state and state not in STATES[job.state]:
            raise RuntimeError(f"job {job.number}: {job.state} can't become {state}")
        job.state = state

    def _wake(self, job: t.Job, at_ns: int) -> None:
        if job.woken_ns < 0 or at_ns < job.woken_ns:
            job.woken_ns = at_ns
            self._out.append(t.SetTimer(job.number, at_ns))
