"""Rollout decisions: every order of a small update, long random ones, and the cases that hurt."""

from __future__ import annotations

import random
from collections import deque

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ladderhub.interface import Effect
from ladderhub.rollout import Rollouts
from ladderhub.rollout import types as t

S = t.S
LIMITS = t.Limits(down=2, healthy_ns=1 * S, failures=3)
DEPTH = 14  # steps of the small update that are enumerated; where all goes well it takes nine
KINDS = st.sampled_from([t.End.DONE, t.End.REFUSED, t.End.LOST])


class World:
    """What is true outside: which copies run, which were told to end.  It checks what must hold of every
    action against that, and shares nothing with the decisions."""

    def __init__(self, settings: t.RolloutSettings | None = None) -> None:
        self.rollouts = Rollouts(settings or t.RolloutSettings(back_first_ns=0, back_most_ns=4 * S))
        self.now = 100 * S
        self.wakes: list[int] = []
        self.asked: dict[int, t.StartCopy] = {}
        self.runs: dict[int, t.StartCopy] = {}
        self.since: dict[int, int] = {}
        self.told: dict[int, t.StartCopy] = {}  # told to end, may be alive
        self.doubt: dict[int, t.StartCopy] = {}
        self.rules: dict[str, t.ServiceRules] = {}
        self.limits: dict[str, t.Limits] = {}
        self.notes: list[t.Note] = []
        self.started: dict[int, int] = {}  # version -> copies that ever began

    def feed(self, event: t.Event) -> None:
        if isinstance(event, t.Declared) and event.if_busy is not t.IfBusy.QUEUE:
            self.rules[event.rules.name], self.limits[event.rules.name] = event.rules, event.limits
        for action in self.rollouts.handle(self.now, event):
            if isinstance(action, t.StartCopy):
                self.asked[action.copy] = action
                self.started[action.version] = self.started.get(action.version, 0) + 1
                self.check_start(action)
            elif isinstance(action, t.StopCopy):
                self.stop(action.copy)
            elif isinstance(action, t.Wake):
                self.wakes.append(action.at_ns)
            elif isinstance(action, t.Note):
                self.notes.append(action)

    def alive(self, service: str) -> list[t.StartCopy]:
        pools = (self.asked, self.runs, self.told, self.doubt)
        return [copy for pool in pools for copy in pool.values() if copy.service == service]

    def serving(self, service: str) -> set[int]:
        return {copy.slot for copy in self.runs.values() if copy.service == service}

    def check_start(self, action: t.StartCopy) -> None:
        rules, limits = self.rules[action.service], self.limits[action.service]
        alive = self.alive(action.service)
        assert len(alive) <= rules.count + limits.surplus, "surplus exceeded"
        same = [copy for copy in alive if copy.slot == action.slot]
        if rules.effect is Effect.UNSAFE:
            assert len(same) == 1, "an unsafe copy beside one that may be alive"
        if rules.effect is Effect.KEYED:
            assert all(
                copy is action or self.now >= self.since.get(copy.copy, 0) + rules.repeat_ns for copy in same
            ), "a keyed copy within the time in which repeats are discarded"

    def stop(self, number: int) -> None:
        if number in self.runs:
            copy = self.runs.pop(number)
            rules, limits = self.rules[copy.service], self.limits[copy.service]
            serving = self.serving(copy.service)
            if copy.slot not in serving:
                assert rules.count - len(serving) <= limits.down, "too many down, by the update's own hand"
        else:
            copy = self.asked.pop(number)
        self.told[number] = copy
        self.since[number] = self.now

    def wait(self, span: int) -> None:
        until = self.now + span
        while self.wakes and min(self.wakes) <= until:
            self.now = max(self.now, min(self.wakes))
            self.wakes = [at for at in self.wakes if at > self.now]
            self.feed(t.Due())
        self.now = until

    def place(self, number: int, rack: str = "r") -> None:
        self.runs[number] = self.asked.pop(number)
        self.feed(t.Placed(number, f"n-{number % 5}", rack))

    def end(self, number: int, end: t.End = t.End.DONE, proven: bool = True) -> None:
        copy = next(
            pool.pop(number) for pool in (self.asked, self.runs, self.told) if number in pool
        )  # fmt: skip
        if not proven:
            self.doubt[number] = copy
        self.feed(t.Ended(number, end, proven))

    def prove(self, number: int) -> None:
        del self.doubt[number]
        self.feed(t.Proven(number))

    def settle(self, bad: int = -1, most: int = 4000, racks: int = 1) -> bool:
        """A world in which all goes well but copies of version `bad`, which end by themselves; False where
        the update does not come to rest."""
        for _ in range(most):
            for number in list(self.doubt):
                self.prove(number)
            for number in list(self.told):
                self.end(number)
            for number in list(self.asked):
                if number in self.asked:
                    self.place(number, f"r{self.asked[number].slot % racks}")
            for number, copy in list(self.runs.items()):
                if copy.version == bad and number in self.runs:
                    self.end(number)
            stages = {self.rollouts.view(self.now, name).stage for name in self.rules}
            if t.Stage.GOING not in stages and not (self.told or self.asked or self.doubt):
                return True
            self.wait(S // 2)
        return False


def declared(
    version: int, count: int = 6, effect: Effect = Effect.SAFE, limits: t.Limits = LIMITS, name: str = "svc",
    if_busy: t.IfBusy = t.IfBusy.REFUSE, repeat_ns: int = 0,
) -> t.Declared:  # fmt: skip
    return t.Declared(t.ServiceRules(name, count, effect, repeat_ns), version, limits, if_busy)


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
    view = world.rollouts.view(world.now, "svc")
    assert (view.new, view.old, view.down, view.stage, view.alive) == (20, 0, 0, t.Stage.OVER, 20)
    assert {copy.version for copy in world.runs.values()} == {2} and view.waits == ()


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
    before = dict(world.runs)
    for event, words in cases:
        assert words in world.rollouts.check(event)
        with pytest.raises(ValueError, match="found|no update|a service"):
            world.rollouts.handle(world.now, event)
    assert world.runs == before and not world.told


def test_a_failing_version_pauses_and_what_is_down_is_filled_with_what_ran_well() -> None:
    limits = t.Limits(down=30, healthy_ns=S, failures=3)
    world = World()
    world.feed(declared(1, 100, limits=limits))
    world.settle()
    world.feed(declared(2, 100, limits=limits))
    assert world.settle(bad=2)
    view = world.rollouts.view(world.now, "svc")
    assert view.stage is t.Stage.PAUSED and "3 of" in view.waits[0]
    # Twice the budget is tried of a version that has not shown that it runs, and each failure but the last
    # may have been followed by a second try in its slot; thirty were allowed down.
    assert 3 <= world.started[2] <= 3 * limits.failures
    world.wait(20 * S)
    world.settle(bad=2)
    assert {copy.version for copy in world.runs.values()} == {1} and len(world.runs) == 100
    world.feed(t.Abort("svc"))
    assert world.settle(bad=2)
    view = world.rollouts.view(world.now, "svc")
    assert (view.stage, view.version, view.new) == (t.Stage.OVER, 1, 100)


def test_copies_lost_to_other_causes_hold_the_update_back() -> None:
    world = World()
    world.feed(declared(1, 10))
    world.settle()
    for number in list(world.runs)[:3]:
        world.asked[number] = world.runs.pop(number)  # its node went: it is placed again as the same job
        world.feed(t.Unplaced(number))
    before = len(world.runs)
    world.feed(declared(2, 10))
    # Old copies that wait for a place are given up for new ones; no copy that runs is touched.
    assert len(world.runs) == before == 7
    assert any("3 copies are down" in wait for wait in world.rollouts.view(world.now, "svc").waits)
    assert world.settle()


def test_copies_at_a_node_that_is_gone_count_as_down_until_it_is_back() -> None:
    # Guards against an update that goes on while a lost rack's unsafe copies are in doubt: their jobs stay
    # "running" until their nodes speak, and found so by the recorded day.
    world = World()
    world.feed(declared(1, 10, Effect.UNSAFE))
    world.settle()
    world.feed(t.NodeGone("n-1"))
    world.feed(t.NodeGone("n-2"))
    world.feed(declared(2, 10, Effect.UNSAFE))
    assert not world.told and world.rollouts.view(world.now, "svc").down == 4
    assert any("n-1, n-2: gone" in wait for wait in world.rollouts.view(world.now, "svc").waits)
    world.feed(t.NodeBack("n-1"))
    world.feed(t.NodeBack("n-2"))
    assert not world.told, "back is not yet healthy"
    world.wait(2 * S)
    assert len(world.told) == 2 and world.settle()


def test_a_silent_node_keeps_its_unsafe_slot_and_no_other() -> None:
    world = World()
    world.feed(declared(1, 5, Effect.UNSAFE))
    world.settle()
    world.feed(declared(2, 5, Effect.UNSAFE))
    silent = min(world.told)
    for _ in range(200):
        for number in list(world.told):
            if number != silent:
                world.end(number)
        for number in list(world.asked):
            world.place(number)
        world.wait(S)
    view = world.rollouts.view(world.now, "svc")
    assert (view.new, view.stage, len(world.told)) == (4, t.Stage.GOING, 1)
    assert any("has not said that the old copy of slot" in wait for wait in view.waits)
    world.end(silent, t.End.LOST, proven=False)  # its job ends without proof: still nothing is sent
    world.wait(600 * S)
    assert not world.asked and world.rollouts.view(world.now, "svc").new == 4
    world.prove(silent)
    assert world.settle() and world.rollouts.view(world.now, "svc").new == 5


def test_room_left_by_a_resting_slot_is_not_used_for_a_second_unsafe_copy() -> None:
    # Guards against a surplus that opens because another slot lies empty for a while.
    world = World(t.RolloutSettings(back_first_ns=30 * S, back_most_ns=60 * S))
    world.feed(declared(1, 4, Effect.UNSAFE))
    world.settle()
    world.feed(declared(2, 4, Effect.UNSAFE))
    assert len(world.told) == 2
    world.end(next(iter(world.runs)))  # and it rests for 30 s, while two give no word
    world.wait(20 * S)
    assert not world.asked and len(world.alive("svc")) == 3


def test_a_third_version_replaces_or_follows_the_second() -> None:
    for if_busy, begun in ((t.IfBusy.REPLACE, {1, 2, 3}), (t.IfBusy.QUEUE, {1, 2, 3})):
        world = World()
        world.feed(declared(1, 8))
        world.settle()
        world.feed(declared(2, 8))
        world.wait(S)
        for number in list(world.told):
            world.end(number)
        for number in list(world.asked):
            world.place(number)
        assert "an update is under way" in world.rollouts.check(declared(3, 8))
        world.feed(declared(3, 8, if_busy=if_busy))
        assert world.settle() and set(world.started) == begun
        view = world.rollouts.view(world.now, "svc")
        assert (view.version, view.new, view.previous) == (3, 8, 1 if if_busy is t.IfBusy.REPLACE else 2)
        assert (world.started[2] == 8) == (if_busy is t.IfBusy.QUEUE)


def test_updates_share_one_budget_by_priority_and_none_starves() -> None:
    world = World(t.RolloutSettings(most_at_once=4, turn=4))
    names = {"low": 0, "high": 5}
    for name, priority in names.items():
        world.feed(declared(1, 40, name=name, limits=t.Limits(down=10, healthy_ns=S, priority=priority)))
    world.settle()
    for name, priority in names.items():
        limits = t.Limits(down=10, healthy_ns=S, priority=priority)
        world.feed(declared(2, 40, name=name, limits=limits))
        assert sum(len(s.replacing) for s in world.rollouts.services.values()) <= 4
    over: list[str] = []
    for _ in range(300):
        for number in list(world.told):
            world.end(number)
        for number in list(world.asked):
            world.place(number)
        world.wait(S)
        assert sum(len(s.replacing) for s in world.rollouts.services.values()) <= 4
        views = {name: world.rollouts.view(world.now, name) for name in names}
        if views["high"].stage is t.Stage.OVER and "high" not in over:
            over.append("high")
            assert 5 <= views["low"].new < 40, "the low one had its turns, and no more"
        if views["low"].stage is t.Stage.OVER and "low" not in over:
            over.append("low")
    assert over == ["high", "low"]


def test_a_successor_goes_on_where_it_stood_and_does_nothing_before_it_knows() -> None:
    for effect in (Effect.SAFE, Effect.UNSAFE):
        world = World()
        world.feed(declared(1, 10, effect))
        world.settle()
        world.feed(declared(2, 10, effect))
        for _ in range(2):
            world.wait(S)
            for number in list(world.told):
                world.end(number)
            for number in list(world.asked):
                world.place(number)
        fresh = World()
        fresh.rules, fresh.limits = world.rules, world.limits
        fresh.feed(t.Restored(world.rules["svc"], 2, 1, world.limits["svc"], t.Stage.GOING))
        runs = world.runs | world.told  # a stop that was on its way may not have come
        fresh.runs = dict(runs)
        for number, copy in runs.items():
            fresh.feed(t.Found("svc", number, copy.slot, copy.version, "n", "r"))
        fresh.wait(30 * S)
        assert not fresh.asked and not fresh.told
        fresh.feed(t.Settled())
        assert set(fresh.asked).isdisjoint(runs), "numbers of an earlier life are not given again"
        assert fresh.settle() and fresh.rollouts.view(fresh.now, "svc").new == 10


def test_every_order_of_a_small_update_keeps_the_limits() -> None:
    # Three copies, unsafe, one that fails, one restart of the scheduler, news in every order: breadth first
    # over all states that can be told apart, each reached by replaying its path.
    limits = t.Limits(down=1, healthy_ns=S, failures=2)
    rules = t.ServiceRules("svc", 3, Effect.UNSAFE)
    Path = tuple[tuple[str, int], ...]

    def play(path: Path) -> World:
        world = World()
        world.feed(t.Declared(rules, 1, limits))
        world.settle()
        world.feed(t.Declared(rules, 2, limits))
        for what, number in path:
            if what == "place":
                world.place(number)
            elif what in ("end", "fail"):
                world.end(number)
            elif what == "doubt":
                world.end(number, t.End.LOST, proven=False)
            elif what == "prove":
                world.prove(number)
            elif what == "wait":
                world.wait(S)
            elif what == "restart":
                old, world.rollouts = world.rollouts, Rollouts(world.rollouts.settings)
                service = old.services["svc"]
                world.wakes.clear()
                # What was asked for and not placed is stopped with its scheduler; what may run is found.
                world.asked.clear()
                restored = t.Restored(
                    rules, service.version, service.previous, limits, service.stage, service.why
                )
                world.feed(restored)
                for copy in [*world.runs.values(), *world.told.values(), *world.doubt.values()]:
                    world.feed(t.Found("svc", copy.copy, copy.slot, copy.version, "n", "r"))
                world.runs |= world.told | world.doubt
                world.told.clear()
                world.doubt.clear()
                world.feed(t.Settled())
        return world

    def moves(world: World, path: Path) -> list[tuple[str, int]]:
        done = [what for what, _ in path]
        found = [("place", number) for number in world.asked] + [("end", number) for number in world.told]
        found += [("prove", number) for number in world.doubt]
        if "doubt" not in done:
            found += [("doubt", number) for number in world.told]
        if "fail" not in done:
            found += [("fail", number) for number in world.runs]
        if "restart" not in done:
            found.append(("restart", 0))
        return [*found, ("wait", 0)]

    def shape(world: World, path: Path) -> tuple[object, ...]:
        """What may come to matter later; all else about a state does not."""
        s, now = world.rollouts.services["svc"], world.now
        slots = tuple(
            (
                tuple((c.version, c.state, min(S, now - c.placed_ns)) for c in slot.copies),
                min(8 * S, max(0, slot.not_before_ns - now)), slot.back_ns, slot.settled,
            )
            for slot in s.slots
        )  # fmt: skip
        used = frozenset(what for what, _ in path if what in ("doubt", "fail", "restart"))
        return (slots, s.stage, len(s.failed), int(world.rollouts.pace.window), used)

    seen: set[tuple[object, ...]] = set()
    queue: deque[Path] = deque([()])
    overs = 0
    while queue:
        path = queue.popleft()
        world = play(path)  # the world's own checks hold at each step, or this raises
        key = shape(world, path)
        if key in seen:
            continue
        seen.add(key)
        overs += world.rollouts.view(world.now, "svc").stage is t.Stage.OVER
        if len(path) < DEPTH:
            queue.extend((*path, move) for move in moves(world, path))
    print(f"{len(seen)} states within {DEPTH} steps, {overs} of them at the end of the update")
    assert len(seen) > 1000 and overs


class Machine(RuleBasedStateMachine):
    """News in any order, late and repeated, with operators at work; the world checks every action."""

    @initialize(effect=st.sampled_from(list(Effect)), count=st.integers(1, 8), surplus=st.integers(0, 3),
                down=st.integers(1, 3), wave=st.integers(0, 3))  # fmt: skip
    def begin(self, effect: Effect, count: int, surplus: int, down: int, wave: int) -> None:
        self.world = World()
        surplus = 0 if effect is Effect.UNSAFE else surplus
        self.effect, self.count, self.version = effect, count, 1
        self.limits = t.Limits(down, surplus, wave, S, S, failures=4)
        self.repeat = 3 * S if effect is Effect.KEYED else 0
        self.world.feed(declared(1, count, effect, self.limits, repeat_ns=self.repeat))

    def pick(self, pool: dict[int, t.StartCopy], at: int) -> int:
        return list(pool)[at % len(pool)]

    @precondition(lambda self: self.world.asked)
    @rule(at=st.integers(0, 99), rack=st.integers(0, 2))
    def places(self, at: int, rack: int) -> None:
        self.world.place(self.pick(self.world.asked, at), f"r{rack}")

    @precondition(lambda self: self.world.asked)
    @rule(at=st.integers(0, 99))
    def refuses(self, at: int) -> None:
        self.world.end(self.pick(self.world.asked, at), t.End.REFUSED)

    @precondition(lambda self: self.world.runs)
    @rule(at=st.integers(0, 99), end=KINDS, proven=st.booleans())
    def fails(self, at: int, end: t.End, proven: bool) -> None:
        self.world.end(self.pick(self.world.runs, at), end, proven)

    @precondition(lambda self: self.world.runs)
    @rule(at=st.integers(0, 99))
    def loses_its_place(self, at: int) -> None:
        number = self.pick(self.world.runs, at)
        self.world.asked[number] = self.world.runs.pop(number)
        self.world.feed(t.Unplaced(number))

    @precondition(lambda self: self.world.told)
    @rule(at=st.integers(0, 99), proven=st.booleans())
    def ends(self, at: int, proven: bool) -> None:
        self.world.end(self.pick(self.world.told, at), proven=proven)

    @precondition(lambda self: self.world.doubt)
    @rule(at=st.integers(0, 99))
    def is_proven(self, at: int) -> None:
        self.world.prove(self.pick(self.world.doubt, at))

    @rule(node=st.integers(0, 4), back=st.booleans())
    def node_comes_or_goes(self, node: int, back: bool) -> None:
        self.world.feed((t.NodeBack if back else t.NodeGone)(f"n-{node}"))

    @rule(number=st.integers(1, 60), news=st.integers(0, 3))
    def late_news(self, number: int, news: int) -> None:
        pools = (self.world.asked, self.world.runs, self.world.told, self.world.doubt)
        if number in self.world.runs and news == 0:
            self.world.feed(t.Placed(number, "n", "r"))  # told twice
        elif not any(number in pool for pool in pools):
            # Of a copy long over, or never known.
            self.world.feed((t.Placed(number, "n", "r"), t.Unplaced(number), t.Ended(number, t.End.DONE),
                             t.Proven(number))[news])  # fmt: skip

    @rule(halves=st.integers(1, 12))
    def time_passes(self, halves: int) -> None:
        self.world.wait(halves * S // 2)

    @rule(what=st.sampled_from([t.Pause, t.Resume, t.Abort]))
    def operator(self, what: type[t.Pause] | type[t.Resume] | type[t.Abort]) -> None:
        if not self.world.rollouts.check(what("svc")):
            self.world.feed(what("svc"))

    @rule(if_busy=st.sampled_from(list(t.IfBusy)))
    def updates(self, if_busy: t.IfBusy) -> None:
        event = declared(self.version + 1, self.count, self.effect, self.limits, "svc", if_busy, self.repeat)
        if not self.world.rollouts.check(event):
            self.version += 1
            self.world.feed(event)

    @invariant()
    def books_agree_with_the_world(self) -> None:
        s = self.world.rollouts.services["svc"]
        assert s.alive == len(self.world.alive("svc")) <= self.count + self.limits.surplus
        assert self.world.rollouts.pace.pending == len(self.world.asked)
        assert s.down() >= self.count - len(self.world.serving("svc"))
        assert sorted(at for slots in s.by_kind.values() for at in slots) == list(range(self.count))

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        if not self.world.rollouts.check(t.Resume("svc")):
            self.world.feed(t.Resume("svc"))
        for node in ("n", *(f"n-{at}" for at in range(5))):
            self.world.feed(t.NodeBack(node))
        settled = self.world.settle()
        assert settled, (
            "an update that nothing stands in the way of must come to its end",
            self.world.rollouts.view(self.world.now, "svc"),
            self.world.rollouts.copies("svc"),
        )
        for _ in range(2):  # an update that is over may still have copies that were lost since
            self.world.wait(10 * S)
            assert self.world.settle()
        self.world.wait(10 * S)
        view = self.world.rollouts.view(self.world.now, "svc")
        assert (view.stage, view.new, view.alive) == (t.Stage.OVER, self.count, self.count)


Machine.TestCase.settings = hypothesis_settings(
    max_examples=250, phases=[Phase.generate], stateful_step_count=50, deadline=None, derandomize=True
)
TestMachine = Machine.TestCase


def test_the_same_events_always_give_the_same_actions() -> None:
    def run() -> list[tuple[int, t.StartCopy]]:
        world, chance = World(), random.Random(3)
        world.feed(declared(1, 30))
        world.settle()
        world.feed(declared(2, 30))
        for _ in range(200):
            for pool, act in ((world.told, world.end), (world.asked, world.place)):
                if pool:
                    act(chance.choice(list(pool)))
            world.wait(S // 3)
        return list(world.runs.items())

    assert run() == run()
