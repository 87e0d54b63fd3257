"""Updates of services: limits, failing versions, lost nodes, concurrent updates and restarts."""

from __future__ import annotations

import random

import pytest

from ladderhub.interface import Effect
from ladderhub.rollout import types as t

from tests.rollout.world import S, World, declared


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize("surplus", [0, 2])
def test_an_update_replaces_every_copy_within_its_limits(effect: Effect, surplus: int) -> None:
    if effect is Effect.UNSAFE and surplus:
        return
    world = World()
    limits = t.Limits(down=2, surplus=surplus, wave=3, spacing_ns=2 * S, healthy_ns=S)
    world.feed(declared(1, 20, effect, limits))
    assert world.settle()
    world.feed(declared(2, 20, effect, limits))
    assert world.settle(racks=3)
    view = world.rollouts.get_status(world.now, "svc")
    assert (view.new, view.old, view.down, view.stage, view.alive) == (20, 0, 0, t.Stage.OVER, 20)
    assert {copy.version for copy in world.running.values()} == {2} and view.wait_reasons == ()


def test_wrong_input_names_the_field_and_touches_nothing() -> None:
    world = World()
    world.feed(declared(1))
    world.settle()
    cases: list[tuple[t.Event, str]] = [
        (declared(2, limits=t.Limits(down=0)), "update.down: found 0, with update.surplus 0"),
        (declared(2, effect=Effect.UNSAFE, limits=t.Limits(surplus=1), name="u"), "update.surplus: found 1"),
        (declared(2, effect=Effect.KEYED, limits=t.Limits(0, 3), name="k"), "update.down: found 0; at"),
        (declared(2, count=5), "count: found 5; at least 6 is meant"),
        (declared(2, effect=Effect.UNSAFE), "queue: a service stays with"),
        (declared(2, limits=t.Limits(failures=0)), "update.failures.number: found 0"),
        (t.Pause("other"), "service: found 'other'; one that is declared is meant: svc"),
        (t.Pause("svc"), "svc: no update is going"), (t.Abort("svc"), "svc: no update is under way"),
    ]  # fmt: skip
    before = dict(world.running)
    for event, message in cases:
        assert message in world.rollouts.check(event)
        with pytest.raises(ValueError, match="found|no update|a service"):
            world.rollouts.handle(world.now, event)
    assert world.running == before and not world.stopping


def test_a_failing_version_pauses_and_what_is_down_is_filled_with_what_ran_well() -> None:
    limits = t.Limits(down=30, healthy_ns=S, failures=3)
    world = World()
    world.feed(declared(1, 100, limits=limits))
    world.settle()
    world.feed(declared(2, 100, limits=limits))
    assert world.settle(bad=2)
    view = world.rollouts.get_status(world.now, "svc")
    assert view.stage is t.Stage.PAUSED and "3 of" in view.wait_reasons[0]
    # At most twice the failure limit is in replacement while no copy of the new version is healthy, and each
    # failure but the last may have been followed by a second copy in its slot.  The limits allow 30 down.
    assert 3 <= world.started[2] <= 3 * limits.failures
    world.wait(20 * S)
    world.settle(bad=2)
    assert {copy.version for copy in world.running.values()} == {1} and len(world.running) == 100
    world.feed(t.Abort("svc"))
    assert world.settle(bad=2)
    view = world.rollouts.get_status(world.now, "svc")
    assert (view.stage, view.version, view.new) == (t.Stage.OVER, 1, 100)


def test_copies_lost_to_other_causes_hold_the_update_back() -> None:
    world = World()
    world.feed(declared(1, 10))
    world.settle()
    for number in list(world.running)[:3]:
        world.pending[number] = world.running.pop(number)  # its node is gone: the same job is placed again
        world.feed(t.Unplaced(number))
    before = len(world.running)
    world.feed(declared(2, 10))
    # Old copies that are being placed are replaced by new ones; no running copy is stopped.
    assert len(world.running) == before == 7
    assert any(
        "3 copies are down" in wait for wait in world.rollouts.get_status(world.now, "svc").wait_reasons
    )
    assert world.settle()


def test_copies_at_a_node_that_is_gone_count_as_down_until_it_is_back() -> None:
    # Guards against an update that continues while it is unknown whether unsafe copies on a lost rack run:
    # their jobs stay "running" until their nodes report.  A recorded day showed this.
    world = World()
    world.feed(declared(1, 10, Effect.UNSAFE))
    world.settle()
    world.feed(t.NodeGone("n-1"))
    world.feed(t.NodeGone("n-2"))
    world.feed(declared(2, 10, Effect.UNSAFE))
    assert not world.stopping and world.rollouts.get_status(world.now, "svc").down == 4
    assert any("n-1, n-2: gone" in wait for wait in world.rollouts.get_status(world.now, "svc").wait_reasons)
    world.feed(t.NodeBack("n-1"))
    world.feed(t.NodeBack("n-2"))
    assert not world.stopping, "a copy whose node is back is not healthy yet"
    world.wait(2 * S)
    assert len(world.stopping) == 2 and world.settle()


def test_a_silent_node_keeps_its_unsafe_slot_and_no_other() -> None:
    world = World()
    world.feed(declared(1, 5, Effect.UNSAFE))
    world.settle()
    world.feed(declared(2, 5, Effect.UNSAFE))
    silent = min(world.stopping)
    for _ in range(200):
        for number in list(world.stopping):
            if number != silent:
                world.end(number)
        for number in list(world.pending):
            world.place(number)
        world.wait(S)
    view = world.rollouts.get_status(world.now, "svc")
    assert (view.new, view.stage, len(world.stopping)) == (4, t.Stage.GOING, 1)
    assert any("has not said that the old copy of slot" in wait for wait in view.wait_reasons)
    # The job is over, but its end is not confirmed: no new copy is started.
    world.end(silent, t.End.LOST, confirmed=False)
    world.wait(600 * S)
    assert not world.pending and world.rollouts.get_status(world.now, "svc").new == 4
    world.confirm_end(silent)
    assert world.settle() and world.rollouts.get_status(world.now, "svc").new == 5


def test_an_empty_slot_in_backoff_does_not_allow_a_second_unsafe_copy() -> None:
    # Guards against counting an empty slot in backoff as surplus, which would allow a second unsafe copy.
    world = World(t.RolloutSettings(min_backoff_ns=30 * S, max_backoff_ns=60 * S))
    world.feed(declared(1, 4, Effect.UNSAFE))
    world.settle()
    world.feed(declared(2, 4, Effect.UNSAFE))
    assert len(world.stopping) == 2
    world.end(next(iter(world.running)))  # its slot backs off for 30 s, while two copies stay unconfirmed
    world.wait(20 * S)
    assert not world.pending and len(world.get_alive("svc")) == 3


def test_a_third_version_replaces_or_follows_the_second() -> None:
    for if_busy, begun in ((t.IfBusy.REPLACE, {1, 2, 3}), (t.IfBusy.QUEUE, {1, 2, 3})):
        world = World()
        world.feed(declared(1, 8))
        world.settle()
        world.feed(declared(2, 8))
        world.wait(S)
        for number in list(world.stopping):
            world.end(number)
        for number in list(world.pending):
            world.place(number)
        assert "an update is under way" in world.rollouts.check(declared(3, 8))
        world.feed(declared(3, 8, if_busy=if_busy))
        assert world.settle() and set(world.started) == begun
        view = world.rollouts.get_status(world.now, "svc")
        assert (view.version, view.new, view.previous) == (3, 8, 1 if if_busy is t.IfBusy.REPLACE else 2)
        assert (world.started[2] == 8) == (if_busy is t.IfBusy.QUEUE)


def test_updates_share_one_budget_by_priority_and_none_starves() -> None:
    world = World(t.RolloutSettings(max_replacing_slots=4, longest_wait_every=4))
    names = {"low": 0, "high": 5}
    for name, priority in names.items():
        world.feed(declared(1, 40, name=name, limits=t.Limits(down=10, healthy_ns=S, priority=priority)))
    world.settle()
    for name, priority in names.items():
        limits = t.Limits(down=10, healthy_ns=S, priority=priority)
        world.feed(declared(2, 40, name=name, limits=limits))
        assert sum(len(s.replacing) for s in world.rollouts.services.values()) <= 4
    finished: list[str] = []
    for _ in range(300):
        for number in list(world.stopping):
            world.end(number)
        for number in list(world.pending):
            world.place(number)
        world.wait(S)
        assert sum(len(s.replacing) for s in world.rollouts.services.values()) <= 4
        views = {name: world.rollouts.get_status(world.now, name) for name in names}
        if views["high"].stage is t.Stage.OVER and "high" not in finished:
            finished.append("high")
            assert 5 <= views["low"].new < 40, "the low priority got only its share of the grants"
        if views["low"].stage is t.Stage.OVER and "low" not in finished:
            finished.append("low")
    assert finished == ["high", "low"]


def test_a_restarted_scheduler_continues_the_update_once_all_nodes_reported() -> None:
    for effect in (Effect.SAFE, Effect.UNSAFE):
        world = World()
        world.feed(declared(1, 10, effect))
        world.settle()
        world.feed(declared(2, 10, effect))
        for _ in range(2):
            world.wait(S)
            for number in list(world.stopping):
                world.end(number)
            for number in list(world.pending):
                world.place(number)
        fresh = World()
        fresh.rules, fresh.limits = world.rules, world.limits
        fresh.feed(t.Restored(world.rules["svc"], 2, 1, world.limits["svc"], t.Stage.GOING))
        runs = world.running | world.stopping  # a stop request may have been lost
        fresh.running = dict(runs)
        for number, copy in runs.items():
            fresh.feed(t.RunFound("svc", number, copy.slot, copy.version, "n", "r"))
        fresh.wait(30 * S)
        assert not fresh.pending and not fresh.stopping
        fresh.feed(t.AllNodesReported())
        assert set(fresh.pending).isdisjoint(runs), "copy numbers from the earlier life are not used again"
        assert fresh.settle() and fresh.rollouts.get_status(fresh.now, "svc").new == 10


def test_the_same_events_always_give_the_same_actions() -> None:
    def run() -> list[tuple[int, t.StartCopy]]:
        world, rng = World(), random.Random(3)
        world.feed(declared(1, 30))
        world.settle()
        world.feed(declared(2, 30))
        for _ in range(200):
            for pool, act in ((world.stopping, world.end), (world.pending, world.place)):
                if pool:
                    act(rng.choice(list(pool)))
            world.wait(S // 3)
        return list(world.running.items())

    assert run() == run()
