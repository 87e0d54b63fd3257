"""Simulated cluster for tests of the rollout decisions: runs copies and checks the limits at each step."""

from __future__ import annotations


from ladderhub.interface import Effect
from ladderhub.rollout import Rollouts
from ladderhub.rollout import types as t

S = t.SECOND_NS
LIMITS = t.Limits(down=2, healthy_ns=1 * S, failures=3)


class World:
    """The actual state of all copies, kept independently of the decisions; every action is checked against
    it."""

    def __init__(self, settings: t.RolloutSettings | None = None) -> None:
        self.rollouts = Rollouts(settings or t.RolloutSettings(min_backoff_ns=0, max_backoff_ns=4 * S))
        self.now = 100 * S
        self.timers: list[int] = []
        self.pending: dict[int, t.StartCopy] = {}
        self.running: dict[int, t.StartCopy] = {}
        self.stopped_ns: dict[int, int] = {}
        self.stopping: dict[int, t.StartCopy] = {}  # told to stop, may be alive
        self.unconfirmed: dict[int, t.StartCopy] = {}
        self.rules: dict[str, t.ServiceRules] = {}
        self.limits: dict[str, t.Limits] = {}
        self.logs: list[t.Log] = []
        self.started: dict[int, int] = {}  # version -> copies that were ever started

    def feed(self, event: t.Event) -> None:
        """Have the event processed; check and apply the actions."""
        if isinstance(event, t.Declared) and event.if_busy is not t.IfBusy.QUEUE:
            self.rules[event.rules.name], self.limits[event.rules.name] = event.rules, event.limits
        for action in self.rollouts.handle(self.now, event):
            if isinstance(action, t.StartCopy):
                self.pending[action.copy] = action
                self.started[action.version] = self.started.get(action.version, 0) + 1
                self.check_start(action)
            elif isinstance(action, t.StopCopy):
                self.stop(action.copy)
            elif isinstance(action, t.SetTimer):
                self.timers.append(action.at_ns)
            elif isinstance(action, t.Log):
                self.logs.append(action)

    def get_alive(self, service: str) -> list[t.StartCopy]:
        pools = (self.pending, self.running, self.stopping, self.unconfirmed)
        return [copy for pool in pools for copy in pool.values() if copy.service == service]

    def get_serving_slots(self, service: str) -> set[int]:
        return {copy.slot for copy in self.running.values() if copy.service == service}

    def check_start(self, action: t.StartCopy) -> None:
        rules, limits = self.rules[action.service], self.limits[action.service]
        alive = self.get_alive(action.service)
        assert len(alive) <= rules.count + limits.surplus, "surplus exceeded"
        same_slot = [copy for copy in alive if copy.slot == action.slot]
        if rules.effect is Effect.UNSAFE:
            assert len(same_slot) == 1, "an unsafe copy beside one that may be alive"
        if rules.effect is Effect.KEYED:
            assert all(
                copy is action or self.now >= self.stopped_ns.get(copy.copy, 0) + rules.dedupe_window_ns
                for copy in same_slot
            ), "a keyed copy started within the dedupe window"

    def stop(self, number: int) -> None:
        if number in self.running:
            copy = self.running.pop(number)
            rules, limits = self.rules[copy.service], self.limits[copy.service]
            serving = self.get_serving_slots(copy.service)
            if copy.slot not in serving:
                assert rules.count - len(serving) <= limits.down, "the update took too many copies down"
        else:
            copy = self.pending.pop(number)
        self.stopping[number] = copy
        self.stopped_ns[number] = self.now

    def wait(self, duration_ns: int) -> None:
        until = self.now + duration_ns
        while self.timers and min(self.timers) <= until:
            self.now = max(self.now, min(self.timers))
            self.timers = [at for at in self.timers if at > self.now]
            self.feed(t.TimerFired())
        self.now = until

    def place(self, number: int, rack: str = "r") -> None:
        self.running[number] = self.pending.pop(number)
        self.feed(t.Placed(number, f"n-{number % 5}", rack))

    def end(self, number: int, end: t.End = t.End.DONE, confirmed: bool = True) -> None:
        copy = next(
            pool.pop(number) for pool in (self.pending, self.running, self.stopping) if number in pool
        )  # fmt: skip
        if not confirmed:
            self.unconfirmed[number] = copy
        self.feed(t.Ended(number, end, confirmed))

    def confirm_end(self, number: int) -> None:
        del self.unconfirmed[number]
        self.feed(t.EndConfirmed(number))

    def settle(self, bad: int = -1, max_steps: int = 4000, racks: int = 1) -> bool:
        """Run without faults, except that copies of version `bad` end by themselves; False if the update does
        not finish or pause."""
        for _ in range(max_steps):
            for number in list(self.unconfirmed):
                self.confirm_end(number)
            for number in list(self.stopping):
                self.end(number)
            for number in list(self.pending):
                if number in self.pending:
                    self.place(number, f"r{self.pending[number].slot % racks}")
            for number, copy in list(self.running.items()):
                if copy.version == bad and number in self.running:
                    self.end(number)
            stages = {self.rollouts.get_status(self.now, name).stage for name in self.rules}
            if t.Stage.GOING not in stages and not (self.stopping or self.pending or self.unconfirmed):
                return True
            self.wait(S // 2)
        return False


def declared(
    version: int, count: int = 6, effect: Effect = Effect.SAFE, limits: t.Limits = LIMITS, name: str = "svc",
    if_busy: t.IfBusy = t.IfBusy.REFUSE, repeat_ns: int = 0,
) -> t.Declared:  # fmt: skip
    return t.Declared(t.ServiceRules(name, count, effect, repeat_ns), version, limits, if_busy)
