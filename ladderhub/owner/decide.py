"""The state machine of a job.  `types.py` defines its events and actions, `TRANSITIONS` its states.

After a rejected placement the job is requested again with exponential back-off, as long as its deadline, its
number of requests and the retry budget of all jobs allow.  A run in doubt is resolved by querying its
machine: an unsafe job is not requested again until every earlier run is confirmed not to be running.  A run
that is no longer wanted is told to stop until its machine confirms that it has stopped.
"""

from __future__ import annotations

from dataclasses import replace

from ladderhub.interface import Effect
from ladderhub.owner import types as t
from ladderhub.owner.inquiries import OrphanedRuns, iter_due_inquiries
from ladderhub.owner.retries import RetryBudget

HELD, WAITING, ASKING, DOUBT, RUNNING, STOPPING, OVER = (
    "held", "waiting", "asking", "doubt", "running", "stopping", "over",
)  # fmt: skip
# Allowed transitions: state -> next states.  Every change goes through `_set_state`, which checks them.
TRANSITIONS = {
    HELD: {WAITING, STOPPING, OVER},
    WAITING: {ASKING, HELD, DOUBT, STOPPING, OVER, RUNNING},
    ASKING: {WAITING, HELD, DOUBT, RUNNING, STOPPING, OVER},
    DOUBT: {WAITING, HELD, RUNNING, STOPPING, OVER},
    RUNNING: {WAITING, DOUBT, STOPPING, OVER},
    STOPPING: {WAITING, OVER},
    OVER: set(),
}
# 256 + SIGKILL.  PBS clients read it as cancelled; 271 (256 + SIGTERM) would stand for any SIGTERM.
CANCELLED_STATUS = 265


class Owner:
    """Acts for the owners of all jobs of one scheduler: places, stops and finishes their jobs.

    The caller passes events in order and carries out the returned actions in order."""

    def __init__(self, settings: t.OwnerSettings, seed: int) -> None:
        self.settings = settings
        self._jobs: dict[int, t.Job] = {}
        self._orphans = OrphanedRuns()
        self._retry_budget = RetryBudget(settings, seed)
        self._stopping = False
        self._pause_reason = ""  # why no placements are requested; empty while they are
        self._actions: list[t.Action] = []

    # --- queries ------------------------------------------------------------------------------------------

    def get_state(self, job: int) -> tuple[str, str]:
        """Return a job's state and the reason for it; ("over", "") if the job is unknown."""
        known = self._jobs.get(job)
        return (known.state, known.state_reason) if known else (OVER, "")

    def count_unanswered(self) -> int:
        """Return the number of jobs that have not been answered yet."""
        return sum(not job.answered for job in self._jobs.values())

    def count_unconfirmed_stops(self) -> int:
        """Return the number of unwanted runs whose machines have not confirmed that they are over."""
        unwanted = sum(run.unwanted for job in self._jobs.values() for run in job.runs.values())
        return unwanted + len(self._orphans)

    def count_orphans(self) -> int:
        """Return the number of runs of finished jobs that are still to be stopped."""
        return len(self._orphans)

    def has_orphan(self, job: int) -> bool:
        """Return whether a run of this finished job may still be running."""
        return self._orphans.has_job(job)

    # --- events -------------------------------------------------------------------------------------------

    def handle(self, now_ns: int, event: t.Event) -> list[t.Action]:
        """Process one event and return the resulting actions."""
        self._actions = []
        match event:
            case t.Submitted():
                self._on_submitted(now_ns, event)
            case t.Adopted():
                self._on_adopted(now_ns, event)
            case t.MachineRestarted() | t.MachineGone():
                self._on_machine_change(now_ns, event)
            case t.SettingsChanged(settings):
                self._on_settings(settings)
            case t.RequestsPaused(reason):
                self._pause_reason = reason
            case t.RequestsResumed():
                self._on_resumed(now_ns)
            case t.SchedulerStopping():
                self._on_stopping(now_ns, event.immediately)
            case _:
                job = self._jobs.get(event.job)
                if job is not None:
                    self._on_job(now_ns, job, event)
                else:
                    self._actions += self._orphans.handle(now_ns, self.settings, event)
        return self._actions

    def _on_job(self, now: int, job: t.Job, event: t.Event) -> None:
        match event:
            case t.Sent():
                job.runs[event.run] = t.Run(event.machine, since_ns=now)
            case t.Accepted():
                self._on_accepted(now, job, event.run)
            case t.NeverRan():
                if job.runs.pop(event.run, None) is not None:
                    job.state_reason = event.reason or job.state_reason
                    if event.run == job.main_run and job.state == RUNNING:
                        self._place_again(now, job, job.state_reason, at_once=True)
                    else:
                        self._on_run_removed(now, job)
            case t.InDoubt():
                self._on_in_doubt(now, job, event)
            case t.PlacementRejected():
                self._on_placement_rejected(now, job, event)
            case t.MachineReplied():
                self._on_machine_reply(now, job, event)
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
                    job.rerun_requested = True
                    self._stop_runs(now, job)
            case t.Altered():
                job.rerunnable = event.rerunnable
            case t.TimerFired():
                self._on_timer(now, job)

    # --- settings and pauses --------------------------------------------------------------------------------

    def _on_settings(self, settings: t.OwnerSettings) -> None:
        self.settings = settings
        self._retry_budget.apply_settings(settings)

    def _on_resumed(self, now: int) -> None:
        self._pause_reason = ""
        for job in list(self._jobs.values()):
            if job.waits_for_resume:
                job.waits_for_resume, job.state_reason = False, ""
                if job.state == WAITING:
                    self._request_placement(now, job)

    def _get_current_rules(self, job: t.Job) -> t.QueueRules:
        """Return the rules for the job's next placement: its queue's current ones with the job's own effect.

        The effect is kept because a job submitted as unsafe could otherwise be started a second time after
        its queue became safe."""
        return replace(self.settings.queues[job.queue], effect=job.rules.effect)

    # --- submission and placement requests ------------------------------------------------------------------

    def _on_submitted(self, now: int, event: t.Submitted) -> None:
        rules = self.settings.queues[event.queue]
        if event.effect is not None:
            rules = replace(rules, effect=event.effect)
        job = t.Job(
            event.job, event.queue, rules, event.rerunnable, HELD if event.held else WAITING,
            now + rules.limit_ns, event.stop_until_confirmed,
        )  # fmt: skip
        self._jobs[event.job] = job
        self._retry_budget.deposit()
        if self._stopping:
            self._report_answer(job, t.Answer.REFUSED, "the scheduler is stopping")
            self._finish(now, job, 0, "the scheduler is stopping")
        elif event.held:
            job.state_reason = "held by its owner"
        else:
            self._request_placement(now, job)

    def _on_adopted(self, now: int, event: t.Adopted) -> None:
        if event.job in self._jobs:
            return
        rules = self.settings.queues[event.queue]
        job = t.Job(event.job, event.queue, rules, event.rerunnable, RUNNING, 0)
        job.answered, job.main_run, job.placement_count = True, event.run, 1
        job.runs[event.run] = t.Run(event.machine, accepted=True, since_ns=now)
        self._jobs[event.job] = job
        self._adopt_run(job, event.run)

    def _request_placement(self, now: int, job: t.Job) -> None:
        """Request a placement from the decision module if the job's rules allow it now."""
        if job.hold_requested:
            self._set_held(job)
            return
        rules = job.rules
        remaining_ns = job.deadline_ns - now - self.settings.answer_margin_ns
        if remaining_ns <= 0 or job.request_count >= rules.max_requests:
            self._give_up(
                now, job, "no time is left" if remaining_ns <= 0 else "asked as often as its queue allows"
            )
            return
        # An earlier run may still be running: a job that is not safe must not be started a second time.
        if job.runs and rules.effect is not Effect.SAFE:
            self._set_in_doubt(now, job)
            return
        if self._pause_reason:
            job.waits_for_resume, job.state_reason = True, self._pause_reason
            self._set_state(job, WAITING)
            job.wait_until_ns = job.deadline_ns - self.settings.answer_margin_ns
            self._set_timer(job, job.wait_until_ns)
            return
        job.request_id += 1
        job.request_count += 1
        self._set_state(job, ASKING)
        job.state_reason = job.state_reason or "being placed"
        effect = None if rules.effect is self.settings.queues[job.queue].effect else rules.effect
        self._actions.append(
            t.RequestPlacement(
                job.number, job.request_id, min(remaining_ns, rules.request_limit_ns), job.is_retry, effect
            )
        )
        self._set_timer(job, job.deadline_ns - self.settings.answer_margin_ns)
        job.is_retry = True

    def _on_placement_rejected(self, now: int, job: t.Job, event: t.PlacementRejected) -> None:
        if event.request_id != job.request_id or job.state not in (ASKING, STOPPING):
            return
        if job.state == STOPPING:
            self._on_run_removed(now, job)
            return
        if self._use_found_run(now, job):
            return
        if job.hold_requested and not job.runs:
            self._set_held(job)
        elif job.runs and job.rules.effect is not Effect.SAFE:
            self._set_in_doubt(now, job)
        else:
            self._wait_to_retry(now, job)

    def _wait_to_retry(self, now: int, job: t.Job, at_once: bool = False) -> None:
        """Wait for the back-off before the next placement request."""
        if self._stopping:
            self._give_up(now, job, "the scheduler is stopping")
            return
        delay_ns = self._retry_budget.take_delay_ns(job, at_once)
        self._set_state(job, WAITING)
        job.wait_until_ns = min(now + delay_ns, job.deadline_ns - self.settings.answer_margin_ns)
        self._set_timer(job, job.wait_until_ns)

    def _on_timer(self, now: int, job: t.Job) -> None:
        if now < job.timer_ns:
            return
        job.timer_ns = -1
        if job.state == WAITING and now >= job.wait_until_ns:
            self._request_placement(now, job)
        else:
            if job.state == WAITING:
                self._set_timer(job, job.wait_until_ns)
            elif (
                job.state != HELD
                and not job.answered
                and now >= job.deadline_ns - self.settings.answer_margin_ns
            ):
                if job.state == STOPPING:
                    self._answer_unplaced(job, "cancelled; " + self._describe_unconfirmed_runs(job))
                elif job.state in (DOUBT, ASKING):
                    # The decision module normally answers earlier; this guarantees an answer if it doesn't.
                    self._give_up(now, job, self._describe_unconfirmed_runs(job))
                    return
            self._contact_machines(now, job)

    def _describe_unconfirmed_runs(self, job: t.Job) -> str:
        machines = sorted({run.machine for run in job.runs.values()})
        return f"may have run at {', '.join(machines)}, which gives no word" if machines else "nothing ran"

    # --- reports from machines ------------------------------------------------------------------------------

    def _on_accepted(self, now: int, job: t.Job, number: int) -> None:
        run = job.runs.get(number)
        if run is None or run.accepted:
            return
        run.accepted, run.in_doubt = True, False
        if job.state in (ASKING, DOUBT, WAITING) and not run.unwanted:
            self._set_running(job, number)
        elif not job.answered:
            self._report_answer(job, t.Answer.PLACED, f"placed on {run.machine}")
        if job.state == RUNNING:
            for other_number, other_run in job.runs.items():
                other_run.unwanted = other_run.unwanted or other_number != number
            self._contact_machines(now, job)

    def _set_running(self, job: t.Job, number: int) -> None:
        self._set_state(job, RUNNING)
        job.main_run, job.state_reason = number, ""
        job.placement_count += 1
        if not job.answered:
            self._report_answer(job, t.Answer.PLACED, f"placed on {job.runs[number].machine}")

    def _on_in_doubt(self, now: int, job: t.Job, event: t.InDoubt) -> None:
        run = job.runs.get(event.run)
        if run is None:
            return
        run.in_doubt = True
        job.state_reason = event.reason or job.state_reason
        if event.run == job.main_run:
            return
        # A second copy of a safe job does no harm: stop this one without waiting and let placement go on.
        if job.rules.effect is Effect.SAFE or job.state == STOPPING:
            run.unwanted = True
        self._contact_machines(now, job)

    def _set_in_doubt(self, now: int, job: t.Job) -> None:
        self._set_state(job, DOUBT)
        for run in job.runs.values():
            run.in_doubt = run.in_doubt or not run.accepted
        machines = sorted({run.machine for run in job.runs.values()})
        job.state_reason = f"may run at {', '.join(machines)}; not sent again before that is known"
        self._contact_machines(now, job)

    def _contact_machines(self, now: int, job: t.Job) -> None:
        """Query runs in doubt and stop unwanted ones, with back-off, and set the timer for the next time."""
        answer_due_ns = job.deadline_ns - self.settings.answer_margin_ns if not job.answered else 0
        next_times_ns = [answer_due_ns] if answer_due_ns > now else []
        self._actions += iter_due_inquiries(now, self.settings, job, next_times_ns)
        if next_times_ns:
            self._set_timer(job, min(next_times_ns))

    def _on_machine_reply(self, now: int, job: t.Job, event: t.MachineReplied) -> None:
        run = job.runs.get(event.run)
        if run is None:
            return
        if event.status is t.RunStatus.NEVER:
            if event.run == job.main_run and job.state == RUNNING:
                # The machine no longer knows a run that it had accepted: the run was lost.
                self._on_ended(now, job, t.Ended(job.number, event.run, t.End.LOST))
                return
            del job.runs[event.run]
            self._on_run_removed(now, job)
        elif event.status is t.RunStatus.RUNS:
            self._on_run_found(now, job, event.run, run)
        elif event.status is t.RunStatus.STOPPING:
            run.accepted = True

    def _on_run_found(self, now: int, job: t.Job, number: int, run: t.Run) -> None:
        """Handle a run in doubt that turns out to be running.

        It becomes the job's placement, unless it is unwanted or the job has another placement."""
        run.in_doubt = False
        if run.unwanted or run.accepted:
            run.accepted = True
            return
        run.accepted = True
        if job.state in (DOUBT, WAITING, ASKING):
            self._use_found_run(now, job)
        elif number != job.main_run:
            run.unwanted = True
            self._contact_machines(now, job)

    def _use_found_run(self, now: int, job: t.Job) -> bool:
        """Make a run that was found running the job's placement; return False if there is none.

        Waits (returns False) while another offer has no outcome yet."""
        found = [number for number, run in job.runs.items() if run.accepted and not run.unwanted]
        has_open_offer = any(not run.accepted and not run.in_doubt for run in job.runs.values())
        if not found or has_open_offer:
            return False
        if job.state == ASKING:
            self._actions.append(t.Withdraw(job.number, job.request_id))
        self._set_running(job, found[0])
        self._adopt_run(job, found[0])
        for number, run in job.runs.items():
            run.unwanted = run.unwanted or number != found[0]
        self._contact_machines(now, job)
        return True

    def _adopt_run(self, job: t.Job, number: int) -> None:
        job.request_id += 1
        self._actions.append(t.Adopt(job.number, job.request_id, number, job.runs[number].machine))

    def _on_ended(self, now: int, job: t.Job, event: t.Ended) -> None:
        run = job.runs.pop(event.run, None)
        if run is None:
            return
        finished = event.end is t.End.DONE
        if job.state == STOPPING:
            if finished or run.accepted:
                self._report_answer(job, t.Answer.PLACED, f"placed on {run.machine}")
            if finished:
                self._finish(now, job, event.status, f"ended at {run.machine} before the cancel reached it")
            else:
                self._on_run_removed(now, job)
        elif job.state == RUNNING and event.run == job.main_run:
            if finished or (event.end is t.End.KILLED and not job.rerun_requested):
                self._finish(now, job, event.status, f"{event.end.value} at {run.machine}")
            else:
                at_once = event.end in (t.End.LOST, t.End.SENT_AWAY, t.End.KILLED)
                cause = (
                    "stopped to be placed again" if job.rerun_requested else event.end.value.replace("_", " ")
                )
                self._place_again(now, job, f"{cause} at {run.machine}", at_once=at_once)
        elif (finished or event.end is t.End.KILLED) and not run.unwanted:
            # The report of the end arrived before the acceptance.
            self._report_answer(job, t.Answer.PLACED, f"placed on {run.machine}")
            if job.state == ASKING:
                self._actions.append(t.Withdraw(job.number, job.request_id))
            self._finish(now, job, event.status, f"{event.end.value} at {run.machine}")
        else:
            self._on_run_removed(now, job)

    def _place_again(self, now: int, job: t.Job, reason: str, at_once: bool) -> None:
        """Place a job again that lost its placement.

        The new placement has its own deadline, number of requests and answer."""
        rules = job.rules = self._get_current_rules(job)
        job.main_run, job.state_reason, job.rerun_requested = -1, reason, False
        if not job.rerunnable or job.placement_count > rules.max_reruns or self._stopping:
            self._finish(now, job, -1, reason)
            return
        job.request_count, job.backoff_ns, job.answered = 0, 0, False
        job.deadline_ns = now + rules.limit_ns
        job.is_retry = True
        if job.runs and rules.effect is not Effect.SAFE:
            self._set_in_doubt(now, job)
        else:
            self._wait_to_retry(now, job, at_once)

    def _on_machine_change(self, now: int, event: t.MachineRestarted | t.MachineGone) -> None:
        restarted = isinstance(event, t.MachineRestarted)
        if restarted:
            self._actions += self._orphans.on_machine_restart(now, event.machine)
        for job in list(self._jobs.values()):
            for number, run in list(job.runs.items()):
                if run.machine != event.machine or not (run.accepted or run.in_doubt):
                    continue
                if restarted:
                    # The node list doesn't tell which runs ended with the restart, and comparing times would
                    # need synchronised clocks.  The machine knows what it runs, so it is queried.
                    run.in_doubt, run.last_message_ns, run.interval_ns = True, now, 0
                elif number == job.main_run and job.state == RUNNING:
                    self._on_placement_gone(now, job, run)
            self._contact_machines(now, job)

    def _on_placement_gone(self, now: int, job: t.Job, run: t.Run) -> None:
        if job.rules.effect is Effect.SAFE:
            # It may still run behind a network partition: it is stopped once its machine can be reached.
            run.unwanted = True
            self._place_again(now, job, f"{run.machine} is gone", at_once=True)
        else:
            job.state_reason = f"{run.machine} is gone; whether it runs there is not known"
            run.in_doubt = True

    # --- ending ---------------------------------------------------------------------------------------------

    def _on_run_removed(self, now: int, job: t.Job) -> None:
        """Continue with the job after one of its runs is confirmed not to be running."""
        if job.state == STOPPING and not job.runs:
            reason = "cancelled" if job.answered else "cancelled before it ran"
            self._answer_unplaced(job, reason)
            self._finish(now, job, CANCELLED_STATUS, reason)
        elif job.state == DOUBT and not job.runs:
            if job.hold_requested:
                self._set_held(job)
            elif job.answered and job.main_run < 0:
                self._finish(now, job, -1, job.state_reason)
            else:
                job.state_reason = "an earlier run is proven away"
                self._wait_to_retry(now, job)
        elif job.state in (WAITING, RUNNING, ASKING, DOUBT) and not (
            job.state == ASKING and self._use_found_run(now, job)
        ):
            self._contact_machines(now, job)

    def _on_cancelled(self, now: int, job: t.Job) -> None:
        if job.state == STOPPING:
            return
        if job.state == ASKING:
            self._actions.append(t.Withdraw(job.number, job.request_id))
        self._set_state(job, STOPPING)
        job.state_reason = "being cancelled"
        if job.runs:
            self._stop_runs(now, job)
        else:
            self._on_run_removed(now, job)

    def _stop_runs(self, now: int, job: t.Job) -> None:
        for run in job.runs.values():
            if not run.unwanted:
                run.unwanted, run.last_message_ns = True, -1
        self._contact_machines(now, job)

    def _give_up(self, now: int, job: t.Job, reason: str) -> None:
        """Finish the job without a further request.

        The answer is a refusal only if it is certain that nothing ran; see `_answer_unplaced`."""
        full_reason = (
            f"{reason}; last: {job.state_reason}"
            if job.state_reason and job.state_reason != reason
            else reason
        )
        self._answer_unplaced(job, full_reason)
        if job.state == ASKING:
            self._actions.append(t.Withdraw(job.number, job.request_id))
        self._finish(now, job, -1, full_reason)

    def _answer_unplaced(self, job: t.Job, reason: str) -> None:
        """Answer that the job was not placed: refused if nothing ran (or a safe job was not accepted), else
        failed."""
        if job.answered:
            return
        can_refuse = not job.runs or (
            job.rules.effect is Effect.SAFE and not any(run.accepted for run in job.runs.values())
        )
        self._report_answer(job, t.Answer.REFUSED if can_refuse else t.Answer.FAILED, reason)

    def _report_answer(self, job: t.Job, answer: t.Answer, reason: str) -> None:
        """Report the placement's answer, unless it has one already.  All answers go through here."""
        if not job.answered:
            job.answered = True
            self._actions.append(t.ReportAnswer(job.number, answer, reason))

    def _finish(self, now: int, job: t.Job, status: int, reason: str) -> None:
        """End the job; its remaining runs are told to stop until their machines confirm it."""
        self._set_state(job, OVER)
        del self._jobs[job.number]
        self._orphans.add(now, job, self.settings)
        self._actions.append(t.Finish(job.number, status, reason))
        if job.runs:
            self._actions.append(t.SetTimer(job.number, 0))

    # --- holds and shutdown ---------------------------------------------------------------------------------

    def _set_held(self, job: t.Job) -> None:
        self._set_state(job, HELD)
        job.hold_requested, job.state_reason = False, "held by its owner"

    def _on_hold(self, now: int, job: t.Job) -> None:
        if job.state == WAITING and not job.runs:
            self._set_held(job)
        elif job.state == ASKING and not job.runs:
            self._actions.append(t.Withdraw(job.number, job.request_id))
            self._set_held(job)
        elif job.state in (ASKING, DOUBT, WAITING):
            job.hold_requested = True

    def _on_release(self, now: int, job: t.Job) -> None:
        job.hold_requested = False
        if job.state == HELD:
            job.rules = self._get_current_rules(job)
            job.deadline_ns, job.request_count, job.backoff_ns = now + job.rules.limit_ns, 0, 0
            self._set_state(job, WAITING)
            job.state_reason = ""
            self._request_placement(now, job)

    def _on_stopping(self, now: int, at_once: bool) -> None:
        self._stopping = True
        for job in list(self._jobs.values()):
            if job.state in (HELD, WAITING) or (at_once and job.state in (ASKING, DOUBT)):
                self._give_up(now, job, "the scheduler is stopping")
            elif at_once and job.state == STOPPING:
                self._answer_unplaced(job, "cancelled; " + self._describe_unconfirmed_runs(job))

    # --- state and timer ------------------------------------------------------------------------------------

    def _set_state(self, job: t.Job, state: str) -> None:
        if state != job.state and state not in TRANSITIONS[job.state]:
            raise RuntimeError(f"job {job.number}: invalid state transition from {job.state} to {state}")
        job.state = state

    def _set_timer(self, job: t.Job, at_ns: int) -> None:
        if job.timer_ns < 0 or at_ns < job.timer_ns:
            job.timer_ns = at_ns
            self._actions.append(t.SetTimer(job.number, at_ns))
