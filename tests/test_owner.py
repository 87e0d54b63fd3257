"""The life cycle of jobs: single cases, and seeded simulations of whole jobs on nodes that fail."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from ladderhub.interface import Effect
from ladderhub.owner import Owner
from ladderhub.owner import types as t

MS, S = 1_000_000, 1_000_000_000
LIMIT = 20 * S
SAFE, UNSAFE = 0, 1


def settings(**options: Any) -> t.OwnerSettings:
    queues = tuple(
        t.QueueRules(
            effect, LIMIT, 3 * S, priority, max_requests=50, min_backoff_ns=200 * MS, max_backoff_ns=S
        )
        for effect, priority in ((Effect.SAFE, 0), (Effect.UNSAFE, 2))
    )
    return t.OwnerSettings(queues, **options)


def only(actions: list[t.Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


def owner_with_request(queue: int, **options: Any) -> Owner:
    """An owner with one job whose placement has been requested."""
    owner = Owner(settings(**options), 1)
    assert only(owner.handle(0, t.Submitted(1, queue)), t.RequestPlacement)
    return owner


# --- single cases -----------------------------------------------------------------------------------------


def test_an_unsafe_job_with_a_run_in_doubt_is_not_asked_for_again() -> None:
    owner = owner_with_request(UNSAFE)
    owner.handle(0, t.Sent(1, 1, 1, "a"))
    owner.handle(S, t.InDoubt(1, 1, "a: lost"))
    actions = owner.handle(S, t.PlacementRejected(1, 1, failed=True))
    assert not only(actions, t.RequestPlacement) and owner.get_state(1)[0] == "doubt"
    assert only(owner.handle(2 * S, t.TimerFired(1)), t.Query) == [t.Query(1, 1, "a")]
    later = owner.handle(3 * S, t.MachineReplied(1, 1, t.RunStatus.SILENT))
    assert not only(later, t.RequestPlacement)
    owner.handle(4 * S, t.MachineReplied(1, 1, t.RunStatus.NEVER))
    assert owner.get_state(1)[0] == "waiting"
    assert only(owner.handle(6 * S, t.TimerFired(1)), t.RequestPlacement)


def test_a_job_in_doubt_at_its_limit_fails_and_one_that_never_ran_is_refused() -> None:
    owner = owner_with_request(UNSAFE)
    owner.handle(0, t.Sent(1, 1, 1, "a"))
    owner.handle(S, t.InDoubt(1, 1))
    owner.handle(S, t.PlacementRejected(1, 1, failed=True))
    settled = only(owner.handle(LIMIT, t.TimerFired(1)), t.ReportAnswer)
    assert settled[0].answer is t.Answer.FAILED and "may have run at a" in settled[0].reason
    clean = owner_with_request(UNSAFE)
    clean.handle(0, t.Sent(1, 1, 1, "a"))
    clean.handle(S, t.NeverRan(1, 1, "a: no room"))
    clean.handle(S, t.PlacementRejected(1, 1))
    settled = only(clean.handle(LIMIT, t.TimerFired(1)), t.ReportAnswer)
    assert settled[0].answer is t.Answer.REFUSED and "a: no room" in settled[0].reason


def test_a_run_that_nobody_wants_is_stopped_until_its_machine_says_so() -> None:
    # Guards against a run that stays alive behind a network partition after its job was answered.
    owner = owner_with_request(UNSAFE)
    owner.handle(0, t.Sent(1, 1, 1, "a"))
    owner.handle(S, t.InDoubt(1, 1))
    owner.handle(S, t.PlacementRejected(1, 1, failed=True))
    owner.handle(LIMIT, t.TimerFired(1))
    assert owner.count_orphans() == 1
    now = LIMIT
    for _ in range(5):
        now += 10 * S
        assert only(owner.handle(now, t.TimerFired(1)), t.Stop) == [t.Stop(1, 1, "a")]
    owner.handle(now, t.MachineReplied(1, 1, t.RunStatus.NEVER))
    assert owner.count_orphans() == 0


@pytest.mark.parametrize("rerunnable", [False, True])
def test_a_run_at_a_machine_that_is_gone_is_stopped_however_long_it_has_run(rerunnable: bool) -> None:
    # Guards against runs that go on behind a network partition: the time for their stop was counted from
    # their start, so that a run of over ten minutes was never told to stop.
    owner, now = Owner(settings(), 1), 7200 * S
    owner.handle(0, t.Submitted(1, SAFE, rerunnable=rerunnable))
    owner.handle(0, t.Sent(1, 1, 1, "a"))
    owner.handle(S, t.Accepted(1, 1))
    owner.handle(now, t.MachineGone("a"))
    if rerunnable:  # it runs again elsewhere, and ends there
        owner.handle(now + S, t.TimerFired(1))
        owner.handle(now + S, t.Sent(1, 2, 2, "b"))
        owner.handle(now + S, t.Accepted(1, 2))
        owner.handle(now + S, t.Ended(1, 2, t.End.DONE))
    assert owner.get_state(1)[0] == "over" and owner.count_orphans() == 1
    for _ in range(5):
        now += 10 * S
        assert only(owner.handle(now, t.TimerFired(1)), t.Stop) == [t.Stop(1, 1, "a")]
    owner.handle(now, t.MachineReplied(1, 1, t.RunStatus.NEVER))
    assert owner.count_orphans() == 0


def test_a_lost_run_of_a_restarted_machine_is_placed_again_only_on_its_word() -> None:
    owner = owner_with_request(UNSAFE)
    owner.handle(0, t.Sent(1, 1, 1, "a"))
    owner.handle(S, t.Accepted(1, 1))
    gone = owner.handle(2 * S, t.MachineGone("a"))
    assert not only(gone, t.RequestPlacement) and "not known" in owner.get_state(1)[1]
    anew = owner.handle(3 * S, t.MachineRestarted("a"))
    assert only(anew, t.Query) and not only(anew, t.RequestPlacement)
    assert owner.get_state(1)[0] == "running"
    owner.handle(4 * S, t.MachineReplied(1, 1, t.RunStatus.NEVER))
    assert only(owner.handle(5 * S, t.TimerFired(1)), t.RequestPlacement)


def test_many_that_ask_again_share_one_budget_and_the_highest_priority_has_a_reserve() -> None:
    # Guards against a retry storm: without the budget each of the 100 jobs would retry at once.
    owner = Owner(settings(retry_share=0.0, retry_burst=20), 1)
    retry_at_ns: dict[int, int] = {}
    for job in range(1, 101):
        owner.handle(0, t.Submitted(job, SAFE if job <= 90 else UNSAFE))
    for job in range(1, 101):
        (timer,) = only(owner.handle(0, t.PlacementRejected(job, 1)), t.SetTimer)
        retry_at_ns[job] = timer.at_ns
    soon = [job for job, at in retry_at_ns.items() if at < 300 * MS]
    assert len([job for job in soon if job <= 90]) == 15
    assert len([job for job in soon if job > 90]) == 5


def test_a_held_job_is_not_asked_for_and_its_limit_begins_at_its_release() -> None:
    owner = Owner(settings(), 1)
    assert not only(owner.handle(0, t.Submitted(1, SAFE, held=True)), t.RequestPlacement)
    assert not owner.handle(100 * S, t.TimerFired(1))
    assert only(owner.handle(100 * S, t.Release(1)), t.RequestPlacement)


def test_stopping_refuses_what_waits_and_leaves_what_runs() -> None:
    owner = Owner(settings(), 1)
    for job in (1, 2, 3):
        owner.handle(0, t.Submitted(job, SAFE, held=job == 3))
    owner.handle(0, t.Sent(1, 1, 1, "a"))
    owner.handle(0, t.Accepted(1, 1))
    first = only(owner.handle(S, t.SchedulerStopping()), t.ReportAnswer)
    assert [(each.job, each.answer) for each in first] == [(3, t.Answer.REFUSED)]
    last = only(owner.handle(2 * S, t.SchedulerStopping(immediately=True)), t.ReportAnswer)
    assert [each.job for each in last] == [2] and owner.count_unanswered() == 0
    assert owner.get_state(1)[0] == "running"


def test_settings_that_make_no_sense_are_told_by_field() -> None:
    with pytest.raises(ValueError, match=r"queues\[0\].limit"):
        t.OwnerSettings((t.QueueRules(Effect.SAFE, 1, 1),))
    with pytest.raises(ValueError, match="again_burst"):
        settings(retry_burst=0)


# --- simulation -------------------------------------------------------------------------------------------


class Sim:
    """Simulates jobs, an owner, a decision module, and nodes that lose messages, stall and restart.

    It knows at any time which runs are alive, and checks answers and copies as they come about."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.owner = Owner(settings(), seed)
        self.now = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._count = self.steps = 0
        self.queues: dict[int, int] = {}
        self.alive: dict[tuple[int, int], str] = {}  # (job, run) -> node that runs it
        self.fenced: set[tuple[int, int]] = set()
        self.ended: set[tuple[int, int]] = set()
        self.silent_until_ns = {name: 0 for name in "abcd"}
        self.answers: dict[int, list[t.Answer]] = {}
        self.losses: dict[int, int] = {}  # runs of a job that were lost in a restart
        self.finished: dict[int, int] = {}
        self.requests: dict[int, int] = {}
        self.runs: dict[int, int] = {}
        self.submitted_ns: dict[int, int] = {}
        self.timers: dict[int, int] = {}

    def later(self, span: int, call: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (self.now + span, self._count, call))

    def tell(self, event: t.Event) -> None:
        for action in self.owner.handle(self.now, event):
            self.execute(action)

    def run(self, span: int) -> None:
        end = self.now + span
        while self._queue and self._queue[0][0] <= end:
            self.steps += 1
            assert self.steps < 100_000, "events recur without end at one time"
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    # --- actions of the owner ---------------------------------------------------------------------------

    def execute(self, action: t.Action) -> None:
        match action:
            case t.RequestPlacement(job, request, budget, _):
                self.requests[job] = request
                assert budget <= 3 * S
                self.later(MS, lambda: self.offer(job, request, self.now + budget, 0))
            case t.Withdraw(job, request):
                if self.requests.get(job) == request:
                    self.requests[job] = -1
            case t.Adopt(job, request, _, _):
                self.requests[job] = request
            case t.Query(job, run, machine) | t.Stop(job, run, machine):
                stop = isinstance(action, t.Stop)
                self.later(self.rng.randrange(1, 50) * MS, lambda: self.reply(job, run, machine, stop))
            case t.ReportAnswer(job, answer, _):
                answers = self.answers.setdefault(job, [])
                answers.append(answer)
                # A placement that was lost is followed by one with an answer of its own.
                assert len(answers) <= 1 + self.losses.get(job, 0), f"job {job} answered {answers}"
                assert (
                    self.losses.get(job) or self.now <= self.submitted_ns[job] + LIMIT
                ), f"job {job} answered late"
                if answer is t.Answer.REFUSED and self.queues[job] == UNSAFE:
                    assert not self.copies(job), f"job {job} refused while it runs"
            case t.Finish(job, _, _):
                assert self.answers.get(job), f"job {job} over without an answer"
                assert job not in self.finished
                self.finished[job] = self.now
            case t.SetTimer(job, at):
                self.timers[job] = at
                self.later(max(0, at - self.now), lambda: self.fire_timer(job, at))

    def fire_timer(self, job: int, at: int) -> None:
        if self.timers.get(job) == at:
            self.tell(t.TimerFired(job))

    def copies(self, job: int) -> list[tuple[int, int]]:
        return [key for key in self.alive if key[0] == job]

    # --- the module and the nodes -----------------------------------------------------------------------

    def offer(self, job: int, request: int, until: int, tries: int) -> None:
        if self.requests.get(job) != request:
            return
        if tries == 3 or self.now >= until - 40 * MS:
            self.tell(t.PlacementRejected(job, request))
            return
        run = self.runs[job] = self.runs.get(job, 0) + 1
        node = self.rng.choice("abcd")
        if self.queues[job] == UNSAFE:
            assert not self.copies(job), f"unsafe job {job} offered while it runs"
        self.tell(t.Sent(job, request, run, node))
        draw = self.rng.random()
        span = self.rng.randrange(1, 400) * MS

        def conclude(event: t.Event, in_doubt: bool) -> None:
            self.tell(event)
            if in_doubt and self.queues[job] == UNSAFE:
                if self.requests.get(job) == request:
                    self.tell(t.PlacementRejected(job, request, failed=True))
            elif not isinstance(event, t.Accepted):
                self.offer(job, request, until, tries + 1)

        if draw < 0.3:
            self.later(span, lambda: conclude(t.NeverRan(job, run, f"{node}: no room"), False))
        elif draw < 0.7:
            self.later(span, lambda: self.commit(job, run, node))
            self.later(span + MS, lambda: conclude(self.outcome(job, run), False))
        elif draw < 0.9:  # committed, and the answer is lost
            self.later(span, lambda: self.commit(job, run, node))
            self.later(span + 900 * MS, lambda: conclude(t.InDoubt(job, run, f"{node}: lost"), True))
        else:  # the commit is late; its run may have been fenced by then
            late = span + self.rng.randrange(1, 3000) * MS
            self.later(late, lambda: self.commit(job, run, node))
            self.later(span, lambda: conclude(t.InDoubt(job, run, f"{node}: lost"), True))

    def outcome(self, job: int, run: int) -> t.Event:
        return t.Accepted(job, run) if (job, run) in self.alive else t.NeverRan(job, run, "called off")

    def commit(self, job: int, run: int, node: str) -> None:
        key = (job, run)
        if key in self.fenced or key in self.ended:
            return
        if self.queues[job] == UNSAFE:
            assert not self.copies(job), f"unsafe job {job} runs twice"
        self.alive[key] = node
        life = self.rng.randrange(1, 12) * S
        self.later(life, lambda: self.end(key, t.End.DONE))

    def end(self, key: tuple[int, int], end: t.End) -> None:
        if key in self.alive:
            node = self.alive.pop(key)
            self.ended.add(key)
            self.report_end(key, node, end)

    def report_end(self, key: tuple[int, int], node: str, end: t.End) -> None:
        """Report the end to the owner; repeated while the node is silent."""
        if self.now < self.silent_until_ns[node]:
            self.later(300 * MS, lambda: self.report_end(key, node, end))
        else:
            self.tell(t.Ended(*key, end))

    def reply(self, job: int, run: int, node: str, stop: bool) -> None:
        key = (job, run)
        if self.now < self.silent_until_ns[node] or self.rng.random() < 0.2:
            self.tell(t.MachineReplied(job, run, t.RunStatus.SILENT))
        elif key in self.alive:
            if stop:
                self.later(5 * MS, lambda: self.end(key, t.End.KILLED))
            self.tell(t.MachineReplied(job, run, t.RunStatus.STOPPING if stop else t.RunStatus.RUNS))
        elif key in self.ended:
            self.tell(t.MachineReplied(job, run, t.RunStatus.ENDED))
        else:
            self.fenced.add(key)
            self.tell(t.MachineReplied(job, run, t.RunStatus.NEVER))

    # --- jobs and faults --------------------------------------------------------------------------------

    def submit(self, job: int, queue: int) -> None:
        self.queues[job], self.submitted_ns[job] = queue, self.now
        self.tell(t.Submitted(job, queue))

    def silence(self, node: str, span: int) -> None:
        self.silent_until_ns[node] = self.now + span

    def restart(self, node: str) -> None:
        for key in [key for key, at in self.alive.items() if at == node]:
            del self.alive[key]
            self.losses[key[0]] = self.losses.get(key[0], 0) + 1
        self.later(500 * MS, lambda: self.tell(t.MachineRestarted(node)))


@pytest.mark.parametrize("seed", range(40))
def test_simulated_jobs_end_once_in_time_and_unsafe_ones_never_run_twice(seed: int) -> None:
    sim = Sim(seed)
    for job in range(1, 61):
        queue = SAFE if job % 2 else UNSAFE
        sim.later(sim.rng.randrange(0, 20 * S), partial(sim.submit, job, queue))
        if sim.rng.random() < 0.3:
            at = sim.rng.randrange(0, 30 * S)
            sim.later(at, partial(sim.tell, t.Cancelled(job)))
    for _ in range(6):
        node, at = sim.rng.choice("abcd"), sim.rng.randrange(0, 40 * S)
        span = sim.rng.randrange(S, 15 * S)
        sim.later(at, partial(sim.silence, node, span))
    sim.run(60 * S)
    sim.run(200 * S)  # no more faults: all jobs finish
    assert set(sim.finished) == set(sim.queues)
    assert not sim.alive and sim.owner.count_orphans() == 0


@pytest.mark.parametrize("seed", range(20))
def test_simulated_restarts_lose_no_job(seed: int) -> None:
    sim = Sim(1000 + seed)
    for job in range(1, 41):
        queue = SAFE if job % 2 else UNSAFE
        sim.later(sim.rng.randrange(0, 10 * S), partial(sim.submit, job, queue))
    for at in range(3, 15, 3):
        sim.later(at * S, lambda: sim.restart(sim.rng.choice("abcd")))
    sim.run(250 * S)
    assert set(sim.finished) == set(sim.queues) and sim.losses
    assert not sim.alive and sim.owner.count_orphans() == 0
