"""A fault day of `lab.mesh.days` in simulated time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import MS, Faults, S
from ladderhub.lab.emulator.membership import Fleet, Host, get_address
from ladderhub.lab.mesh.days import Day, Pairs, Step
from ladderhub.membership.rings import MemberId
from ladderhub.membership.types import Change, MemberChanged

EQUAL_NS = 10 * S  # after the last fault all views are equal within this
NOISE = (b"", b"\x00", b"\xff" * 40, b"\x96\x01", b"x" * 2000)


@dataclass
class Outcome:
    day: Day
    false_gone: list[str] = field(default_factory=list)
    convergence_ns: int = -1
    reports: list[tuple[int, str, MemberChanged]] = field(default_factory=list)

    def is_good(self) -> bool:
        return not self.false_gone and self.convergence_ns >= 0


class DaySimulation:
    """One day with an emulated fleet that is settled before it begins."""

    def __init__(self, day: Day, count: int, seed: int) -> None:
        self.day, self.fleet = day, Fleet(count, seed)
        self.net = self.fleet.net
        self.slots = {f"s{at}": at for at in range(count)}
        self._held: dict[int, list[tuple[str, str, Any, int]]] = {}
        self._cut: Pairs = frozenset()
        self._twins: dict[int, Host] = {}

    def run(self) -> Outcome:
        net, fleet = self.net, self.fleet
        net.run(net.now + 2 * S)
        assert fleet.settle(30 * S) >= 0, "the fleet did not come together before the day"
        begun = net.now
        fleet.allowed = self._allowed
        fleet.log.clear()
        for step in self.day.steps:
            net.call_at(begun + round(step.at_s * S), self.execute_step, step)
        net.run(begun + round(self.day.last_s * S) + 100 * MS)
        outcome = Outcome(self.day, reports=fleet.log)
        outcome.convergence_ns = fleet.settle(EQUAL_NS)
        net.run(net.now + 10 * S)  # nothing may come undone later
        if fleet.differing():
            outcome.convergence_ns = -1
        outcome.false_gone = fleet.verdict.false_gone
        return outcome

    def _allowed(self, observer: Host, member: MemberId, told: MemberChanged) -> bool:
        if told.change is Change.LEFT:
            return False
        return self.day.may_go(observer.at, self.slots.get(member[0], -1))

    def execute_step(self, step: Step) -> None:
        fleet, who = self.fleet, step.who
        if step.what == "start":
            if who not in fleet.hosts:
                last = next(host for host in reversed(fleet.every) if host.at == who)
                fleet.start(who, tuple(last.view.get_peer_addresses()))
        elif step.what == "kill":
            if who in fleet.hosts:
                fleet.kill(who)
        elif step.what == "leave":
            host = fleet.hosts[who]
            host.feed_stop()
            fleet.kill(who)
        elif step.what == "pause":
            if who in fleet.hosts and fleet.hosts[who].paused_ns < 0:
                fleet.hosts[who].pause(3600 * S)
        elif step.what == "go_on":
            if who in fleet.hosts:
                fleet.hosts[who].go_on()
        elif step.what == "net":
            self._fault(step.value or Faults())
        elif step.what == "cut":
            self._cut = step.value
            self._fault(self.net.faults)
        elif step.what == "twin":
            self._twins[who] = fleet.extra(who, name=f"s{step.value}")
            self.slots[f"s{step.value}"] = step.value
        elif step.what == "usurp":
            fleet.start_named(who, f"s{who}", get_address(step.value))
            self.slots[f"s{who}"] = who
        elif step.what == "back":
            fleet.start(who, life=1)
        elif step.what == "hold":
            self._hold(who)
        elif step.what == "release":
            for message in self._held.get(who, []):
                self.net.send(*message)
        elif step.what == "noise":
            return  # bytes are the carrier's matter: there are none here

    def _fault(self, faults: Faults) -> None:
        ends = {get_address(at): at for at in self.slots.values()}
        cut = self._cut
        self.net.faults = Faults(
            faults.loss, faults.doubled, faults.delay_ns,
            (lambda a, b: (ends.get(a, -1), ends.get(b, -1)) in cut) if cut else None,
        )  # fmt: skip

    def _hold(self, who: int) -> None:
        held = self._held.setdefault(who, [])
        address, send = get_address(who), self.net.send

        def keep(source: str, target: str, message: Any, size: int) -> None:
            if source == address and len(held) < 200:
                held.append((source, target, message, size))
            send(source, target, message, size)

        self.net.send = keep  # type: ignore[method-assign]
