"""Updates of services: every event order of a small update, and long random sequences."""

from __future__ import annotations

from collections import deque

from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ladderhub.interface import Effect
from ladderhub.rollout import Rollouts
from ladderhub.rollout import types as t

from tests.rollout.world import S, World, declared

DEPTH = 14  # enumerated steps of the small update; without faults it takes nine
ENDS = st.sampled_from([t.End.DONE, t.End.REFUSED, t.End.LOST])


def test_every_order_of_a_small_update_keeps_the_limits() -> None:
    # Three unsafe copies, one failure, one unconfirmed end, one restart of the scheduler, events in every
    # order: a breadth-first search over all distinct states, each of them reached by replaying its path.
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
                world.end(number, t.End.LOST, confirmed=False)
            elif what == "prove":
                world.confirm_end(number)
            elif what == "wait":
                world.wait(S)
            elif what == "restart":
                old, world.rollouts = world.rollouts, Rollouts(world.rollouts.settings)
                service = old.services["svc"]
                world.timers.clear()
                # Copies that were not placed end with their scheduler; copies that may run are found.
                world.pending.clear()
                restored = t.Restored(
                    rules, service.version, service.previous, limits, service.stage, service.pause_reason
                )
                world.feed(restored)
                for copy in [*world.running.values(), *world.stopping.values(), *world.unconfirmed.values()]:
                    world.feed(t.RunFound("svc", copy.copy, copy.slot, copy.version, "n", "r"))
                world.running |= world.stopping | world.unconfirmed
                world.stopping.clear()
                world.unconfirmed.clear()
                world.feed(t.AllNodesReported())
        return world

    def list_steps(world: World, path: Path) -> list[tuple[str, int]]:
        done = [what for what, _ in path]
        found = [("place", number) for number in world.pending] + [
            ("end", number) for number in world.stopping
        ]
        found += [("prove", number) for number in world.unconfirmed]
        if "doubt" not in done:
            found += [("doubt", number) for number in world.stopping]
        if "fail" not in done:
            found += [("fail", number) for number in world.running]
        if "restart" not in done:
            found.append(("restart", 0))
        return [*found, ("wait", 0)]

    def compute_state_key(world: World, path: Path) -> tuple[object, ...]:
        """All parts of the state that can influence later decisions."""
        s, now = world.rollouts.services["svc"], world.now
        slots = tuple(
            (
                tuple((c.version, c.state, min(S, now - c.placed_ns)) for c in slot.copies),
                min(8 * S, max(0, slot.not_before_ns - now)), slot.backoff_ns, slot.last_healthy_version,
            )
            for slot in s.slots
        )  # fmt: skip
        used = frozenset(what for what, _ in path if what in ("doubt", "fail", "restart"))
        return (slots, s.stage, len(s.failure_times_ns), int(world.rollouts.start_limiter.window), used)

    seen: set[tuple[object, ...]] = set()
    queue: deque[Path] = deque([()])
    finished = 0
    while queue:
        path = queue.popleft()
        world = play(path)  # raises if a check of the world fails at any step
        key = compute_state_key(world, path)
        if key in seen:
            continue
        seen.add(key)
        finished += world.rollouts.get_status(world.now, "svc").stage is t.Stage.OVER
        if len(path) < DEPTH:
            queue.extend((*path, step) for step in list_steps(world, path))
    print(f"{len(seen)} states within {DEPTH} steps, {finished} of them at the end of the update")
    assert len(seen) > 1000 and finished


class Machine(RuleBasedStateMachine):
    """Events in any order, late and repeated, with operators' requests; the world checks every action."""

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

    @precondition(lambda self: self.world.pending)
    @rule(at=st.integers(0, 99), rack=st.integers(0, 2))
    def places(self, at: int, rack: int) -> None:
        self.world.place(self.pick(self.world.pending, at), f"r{rack}")

    @precondition(lambda self: self.world.pending)
    @rule(at=st.integers(0, 99))
    def refuses(self, at: int) -> None:
        self.world.end(self.pick(self.world.pending, at), t.End.REFUSED)

    @precondition(lambda self: self.world.running)
    @rule(at=st.integers(0, 99), end=ENDS, confirmed=st.booleans())
    def fails(self, at: int, end: t.End, confirmed: bool) -> None:
        self.world.end(self.pick(self.world.running, at), end, confirmed)

    @precondition(lambda self: self.world.running)
    @rule(at=st.integers(0, 99))
    def loses_its_place(self, at: int) -> None:
        number = self.pick(self.world.running, at)
        self.world.pending[number] = self.world.running.pop(number)
        self.world.feed(t.Unplaced(number))

    @precondition(lambda self: self.world.stopping)
    @rule(at=st.integers(0, 99), confirmed=st.booleans())
    def ends(self, at: int, confirmed: bool) -> None:
        self.world.end(self.pick(self.world.stopping, at), confirmed=confirmed)

    @precondition(lambda self: self.world.unconfirmed)
    @rule(at=st.integers(0, 99))
    def end_is_confirmed(self, at: int) -> None:
        self.world.confirm_end(self.pick(self.world.unconfirmed, at))

    @rule(node=st.integers(0, 4), back=st.booleans())
    def node_is_gone_or_back(self, node: int, back: bool) -> None:
        self.world.feed((t.NodeBack if back else t.NodeGone)(f"n-{node}"))

    @rule(number=st.integers(1, 60), kind=st.integers(0, 3))
    def late_event(self, number: int, kind: int) -> None:
        pools = (self.world.pending, self.world.running, self.world.stopping, self.world.unconfirmed)
        if number in self.world.running and kind == 0:
            self.world.feed(t.Placed(number, "n", "r"))  # reported twice
        elif not any(number in pool for pool in pools):
            # For a copy that ended long ago or never existed.
            self.world.feed((t.Placed(number, "n", "r"), t.Unplaced(number), t.Ended(number, t.End.DONE),
                             t.EndConfirmed(number))[kind])  # fmt: skip

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
    def state_agrees_with_the_world(self) -> None:
        s = self.world.rollouts.services["svc"]
        assert s.alive == len(self.world.get_alive("svc")) <= self.count + self.limits.surplus
        assert self.world.rollouts.start_limiter.pending == len(self.world.pending)
        assert s.count_unhealthy() >= self.count - len(self.world.get_serving_slots("svc"))
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
            "an update that nothing holds back must finish",
            self.world.rollouts.get_status(self.world.now, "svc"),
            self.world.rollouts.get_copies("svc"),
        )
        for _ in range(2):  # copies may have been lost since the update finished
            self.world.wait(10 * S)
            assert self.world.settle()
        self.world.wait(10 * S)
        view = self.world.rollouts.get_status(self.world.now, "svc")
        assert (view.stage, view.new, view.alive) == (t.Stage.OVER, self.count, self.count)


Machine.TestCase.settings = hypothesis_settings(
    max_examples=250, phases=[Phase.generate], stateful_step_count=50, deadline=None, derandomize=True
)
TestMachine = Machine.TestCase
