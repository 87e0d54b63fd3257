"""A bed for the rollout decisions: copies that run and end as a test says, and limits held at each step."""

from __future__ import annotations


from ladderhub.interface import Effect
from ladderhub.rollout import Rollouts
from ladderhub.rollout import types as t

S = t.S
LIMITS = t.Limits(down=2, healthy_ns=1 * S, failures=3)


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
