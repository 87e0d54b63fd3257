"""Queue rules that change while jobs wait, and paused requests: a job keeps the rules it was promised."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from ladderhub.interface import Effect
from ladderhub.owner import Owner
from ladderhub.owner import types as t
from ladderhub.rollout import types as rollout
from tests.test_owner import LIMIT, MS, SAFE, UNSAFE, S, only, owner_with_request, settings
from tests.rollout.world import World

LATER = 60 * S


def changed(queue: int, **rules: object) -> t.SettingsChanged:
    queues = list(settings().queues)
    queues[queue] = replace(queues[queue], **rules)  # type: ignore[arg-type]
    return t.SettingsChanged(replace(settings(), queues=tuple(queues)))


def test_a_job_that_waits_keeps_its_limit_and_asks_and_a_new_one_has_the_new_rules() -> None:
    owner = owner_with_request(SAFE)
    owner.handle(S, changed(SAFE, limit_ns=2 * S, request_limit_ns=S, max_requests=1))
    owner.handle(S, t.PlacementRejected(1, 1))
    (again,) = only(owner.handle(5 * S, t.TimerFired(1)), t.RequestPlacement)
    assert again.budget_ns == 3 * S
    (ask,) = only(owner.handle(5 * S, t.Submitted(2, SAFE)), t.RequestPlacement)
    assert ask.budget_ns == S
    assert only(owner.handle(7 * S, t.TimerFired(2)), t.ReportAnswer)
    assert not only(owner.handle(7 * S, t.TimerFired(1)), t.ReportAnswer)
    assert only(owner.handle(LIMIT, t.TimerFired(1)), t.ReportAnswer)


def test_the_next_placing_of_a_job_has_the_new_limit_and_its_old_effect() -> None:
    owner = owner_with_request(UNSAFE)
    owner.handle(0, t.Sent(1, 1, 1, "a"))
    owner.handle(S, t.Accepted(1, 1))
    owner.handle(2 * S, changed(UNSAFE, limit_ns=LATER, effect=Effect.SAFE))
    actions = owner.handle(3 * S, t.Ended(1, 1, t.End.LOST)) + owner.handle(4 * S, t.TimerFired(1))
    (again,) = only(actions, t.RequestPlacement)
    assert again.effect is Effect.UNSAFE
    owner.handle(4 * S, t.Sent(1, again.request_id, 2, "b"))
    owner.handle(5 * S, t.InDoubt(1, 2, "b: lost"))
    owner.handle(5 * S, t.PlacementRejected(1, again.request_id, failed=True))
    assert owner.get_state(1)[0] == "doubt"  # still handled as unsafe, although its queue is safe now
    assert not only(owner.handle(LIMIT + 2 * S, t.TimerFired(1)), t.ReportAnswer)
    assert only(owner.handle(3 * S + LATER, t.TimerFired(1)), t.ReportAnswer)


def test_a_new_queue_is_served_and_a_job_may_be_taken_by_another_effect_than_its_queue() -> None:
    owner = owner_with_request(SAFE)
    more = (*settings().queues, t.QueueRules(Effect.KEYED, LIMIT, 3 * S))
    owner.handle(S, t.SettingsChanged(replace(settings(), queues=more)))
    assert only(owner.handle(S, t.Submitted(2, 2)), t.RequestPlacement)[0].effect is None
    assert (
        only(owner.handle(S, t.Submitted(3, SAFE, effect=Effect.UNSAFE)), t.RequestPlacement)[0].effect
        is Effect.UNSAFE
    )


def test_asks_that_pause_begin_when_they_resume_and_limits_run_on() -> None:
    owner = owner_with_request(SAFE)
    owner.handle(0, t.RequestsPaused("catching up"))
    assert not only(
        owner.handle(0, t.Submitted(2, SAFE)) + owner.handle(0, t.Submitted(3, UNSAFE)), t.RequestPlacement
    )
    assert owner.get_state(2) == ("waiting", "catching up")
    owner.handle(0, t.PlacementRejected(1, 1))
    assert not only(owner.handle(2 * S, t.TimerFired(1)), t.RequestPlacement)
    assert only(owner.handle(S, t.Cancelled(3)), t.Finish)
    owner.handle(2 * S, t.Submitted(4, SAFE, held=True))
    resumed = only(owner.handle(3 * S, t.RequestsResumed()), t.RequestPlacement)
    assert [ask.job for ask in resumed] == [1, 2] and owner.get_state(2)[1] == "being placed"
    owner.handle(4 * S, t.RequestsPaused("again"))
    owner.handle(4 * S, t.Submitted(5, SAFE))
    (settled,) = only(owner.handle(4 * S + LIMIT, t.TimerFired(5)), t.ReportAnswer)
    assert settled.answer is t.Answer.REFUSED and "again" in settled.reason


@pytest.mark.parametrize("seed", range(20))
def test_every_job_has_one_answer_in_its_own_time_while_rules_change(seed: int) -> None:
    rng = random.Random(seed)
    owner = Owner(settings(), seed)
    limits: dict[int, int] = {}
    answered: dict[int, int] = {}
    requested: set[int] = set()
    rules = {SAFE: LIMIT, UNSAFE: LIMIT}
    now = 0
    for job in range(1, 200):
        now += rng.randrange(300) * MS
        queue = rng.choice((SAFE, UNSAFE))
        events: list[t.Event] = [t.Submitted(job, queue)]
        limits[job] = now + rules[queue]
        if rng.random() < 0.3:
            rules[queue] = rng.randrange(2, 30) * S
            events.append(changed(queue, limit_ns=rules[queue], max_requests=rng.randrange(1, 9)))
            rules[1 - queue] = LIMIT
        events.append(rng.choice((t.RequestsPaused("held"), t.RequestsResumed(), t.RequestsResumed())))
        events += [t.PlacementRejected(other, 1) for other in sorted(requested) if rng.random() < 0.3]
        events += [t.TimerFired(other) for other in sorted(limits) if other not in answered]
        for event in events:
            for action in owner.handle(now, event):
                if isinstance(action, t.ReportAnswer):
                    assert action.job not in answered
                    answered[action.job] = now
                elif isinstance(action, t.RequestPlacement):
                    requested.add(action.job)
                    assert now + action.budget_ns <= limits[action.job]
    for job in [job for job in limits if job not in answered]:
        owner.handle(limits[job], t.TimerFired(job))
        assert owner.get_state(job)[0] == "over"


def test_updates_go_on_under_a_budget_that_changes() -> None:
    world = World(rollout.RolloutSettings(max_replacing_slots=1, min_backoff_ns=0, max_backoff_ns=S))
    limits = rollout.Limits(down=4, healthy_ns=S)
    world.feed(rollout.Declared(rollout.ServiceRules("web", 8, Effect.SAFE), 1, limits))
    assert world.settle()
    world.feed(rollout.Declared(rollout.ServiceRules("web", 8, Effect.SAFE), 2, limits))
    assert len(world.stopping) == 1
    world.feed(rollout.SettingsChanged(rollout.RolloutSettings(min_backoff_ns=0, max_backoff_ns=S)))
    assert len(world.stopping) > 1 and world.settle()
    assert {copy.version for copy in world.running.values()} == {2}
