"""Runs a fault day of `lab.mesh.days` on an emulated fleet in simulated time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import MS, Faults, S
from ladderhub.lab.emulator.membership import Fleet, Host, get_address
from ladderhub.lab.mesh.days import Day, Pairs, Step
from ladderhub.membership.rings import MemberId
from ladderhub.membership.types import Change, MemberChanged

CONVERGENCE_LIMIT_NS = 10 * S  # after the last fault, all views must be equal within this time
NOISE = (b"", b"\x00", b"\xff" * 40, b"\x96\x01", b"x" * 2000)


@dataclass
class Outcome:
    """What a fault day showed: living members reported gone, and the time until all views were equal again.

    `convergence_ns`: -1 if the views did not become equal.  `reports`: time, observer and reported change."""

    day: Day
    false_gone: list[str] = field(default_factory=list)
    convergence_ns: int = -1
    reports: list[tuple[int, str, MemberChanged]] = field(default_factory=list)

    def is_good(self) -> bool:
        """Whether no living member was wrongly reported gone and all views became equal."""
        return not self.false_gone and self.convergence_ns >= 0


class DaySimulation:
    """One fault day on an emulated fleet, whose views are equal before the day begins."""

    def __init__(self, day: Day, count: int, seed: int) -> None:
        self.day, self.fleet = day, Fleet(count, seed)
        self.net = self.fleet.net
        self.slots = {f"s{index}": index for index in range(count)}
        self._held: dict[int, list[tuple[str, str, Any, int]]] = {}
        self._cut: Pairs = frozenset()
        self._twins: dict[int, Host] = {}

    def run(self) -> Outcome:
        """Runs the day on a fleet with equal views, and then until the views are equal again."""
        net, fleet = self.net, self.fleet
        net.run(net.now + 2 * S)
        assert fleet.settle(30 * S) >= 0, "the fleet did not come together before the day"
        started_ns = net.now
        fleet.may_report_gone = self._may_report_gone
        fleet.log.clear()
        for step in self.day.steps:
            net.call_at(started_ns + round(step.at_s * S), self.execute_step, step)
        net.run(started_ns + round(self.day.last_fault_s * S) + 100 * MS)
        outcome = Outcome(self.day, reports=fleet.log)
        outcome.convergence_ns = fleet.settle(CONVERGENCE_LIMIT_NS)
        net.run(net.now + 10 * S)  # the views must stay equal
        if fleet.count_differing_views():
            outcome.convergence_ns = -1
        outcome.false_gone = fleet.verdict.false_gone
        return outcome

    def _may_report_gone(self, observer: Host, member: MemberId, report: MemberChanged) -> bool:
        if report.change is Change.LEFT:
            return False
        return self.day.may_report_gone(observer.index, self.slots.get(member[0], -1))

    def execute_step(self, step: Step) -> None:
        """Executes one step of the day on the emulated fleet."""
        fleet, slot = self.fleet, step.slot
        if step.what == "start":
            if slot not in fleet.hosts:
                last = next(host for host in reversed(fleet.all_hosts) if host.index == slot)
                fleet.start(slot, tuple(last.view.get_peer_addresses()))
        elif step.what == "kill":
            if slot in fleet.hosts:
                fleet.kill(slot)
        elif step.what == "leave":
            host = fleet.hosts[slot]
            host.handle_stop()
            fleet.kill(slot)
        elif step.what == "pause":
            if slot in fleet.hosts and fleet.hosts[slot].paused_ns < 0:
                fleet.hosts[slot].pause(3600 * S)
        elif step.what == "go_on":
            if slot in fleet.hosts:
                fleet.hosts[slot].resume()
        elif step.what == "net":
            self._set_faults(step.value or Faults())
        elif step.what == "cut":
            self._cut = step.value
            self._set_faults(self.net.faults)
        elif step.what == "twin":
            self._twins[slot] = fleet.start_extra(slot, name=f"s{step.value}")
            self.slots[f"s{step.value}"] = step.value
        elif step.what == "usurp":
            fleet.start_named(slot, f"s{slot}", get_address(step.value))
            self.slots[f"s{slot}"] = slot
        elif step.what == "back":
            fleet.start(slot, life=1)
        elif step.what == "hold":
            self._keep_copies(slot)
        elif step.what == "release":
            for message in self._held.get(slot, []):
                self.net.send(*message)
        elif step.what == "noise":
            return  # the transport handles raw datagrams, and the simulation has no transport

    def _set_faults(self, faults: Faults) -> None:
        indexes = {get_address(index): index for index in self.slots.values()}
        cut = self._cut
        self.net.faults = Faults(
            faults.loss, faults.duplicated, faults.delay_ns,
            (lambda a, b: (indexes.get(a, -1), indexes.get(b, -1)) in cut) if cut else None,
        )  # fmt: skip

    def _keep_copies(self, slot: int) -> None:
        held = self._held.setdefault(slot, [])
        address, send = get_address(slot), self.net.send

        def send_and_keep(source: str, target: str, message: Any, size: int) -> None:
            if source == address and len(held) < 200:
                held.append((source, target, message, size))
            send(source, target, message, size)

        self.net.send = send_and_keep  # type: ignore[method-assign]
