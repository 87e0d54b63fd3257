"""Checks leases under every schedule of faults up to a bound: no slot has two users within a window.

Three schedulers, each of them a voter, run in steps of a quarter of a lease's round.  In each step at most
one fault is injected: messages in one direction between two schedulers are lost or delayed for some steps
(also for longer than a lease), a process is paused for some steps or restarted, or a process sees no other
members.  A process that resumes after a pause may act before it handles any event, so its slot use is checked
before its tick."""

from __future__ import annotations

import copy
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ladderhub.membership.leases import LeaseHolder
from ladderhub.membership.types import (
    Action,
    MessageReceived,
    SendMessage,
    LeasesHeld,
    MembershipSummary,
    LeaseSettings,
)

HOST_COUNT, SLOT_COUNT = 3, 3
# USE_WINDOW_STEPS: the decision module counts offers for a quarter longer than the cold window, rounded up.
LEASE_STEPS, COLD_WINDOW_STEPS, USE_WINDOW_STEPS = 16, 3, 4
ADDRESSES = tuple(f"h{index}:1" for index in range(HOST_COUNT))
DELAY_STEPS = (1, 6, LEASE_STEPS + 3)  # spans of a message delay or a pause
WARM_UP_STEPS = LEASE_STEPS + 8  # without faults: voters do not answer for one lease after their start
FOLLOW_UP_STEPS = LEASE_STEPS + USE_WINDOW_STEPS + 6  # steps after the last fault


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins at `step` and lasts `span` steps.

    `what`: `lose` or `late` (messages from `who` to `other` are lost or delayed), `stop` (`who` is paused),
    `anew` (`who` is restarted) or `alone` (`who` sees no other members)."""

    step: int
    what: str
    who: int
    other: int = 0
    span: int = 0


MakeHolder = Callable[[LeaseSettings, int, int], LeaseHolder]


def enumerate_faults(step: int) -> Iterator[Fault]:
    """Yields every fault that may be injected in a step."""
    for who in range(HOST_COUNT):
        yield Fault(step, "anew", who)
        yield Fault(step, "alone", who, span=LEASE_STEPS)
        for span in DELAY_STEPS:
            yield Fault(step, "stop", who, span=span)
        for other in range(HOST_COUNT):
            if other != who:
                yield Fault(step, "lose", who, other, 1)
                for span in DELAY_STEPS:
                    yield Fault(step, "late", who, other, span)


@dataclass
class Host:
    """One life of an emulated scheduler."""

    leases: LeaseHolder
    life: int
    held: LeasesHeld = field(default_factory=lambda: LeasesHeld((), -1))
    stopped_until: int = -1
    isolated_until: int = -1
    queued: list[tuple[int, MessageReceived]] = field(default_factory=list)


class World:
    """The hosts, the messages in flight, and when each host last used each slot."""

    def __init__(self, make_holder: MakeHolder = LeaseHolder) -> None:
        self.now, self.make_holder = 0, make_holder
        self.hosts = [self._create_host(index, 1) for index in range(HOST_COUNT)]
        self.in_flight: list[tuple[int, int, int, MessageReceived]] = []  # arrival, from, to
        self.last_used: dict[int, dict[int, int]] = {
            slot: {} for slot in range(SLOT_COUNT)
        }  # slot -> host -> last use
        self.violations: list[str] = []
        self.idle_slot_steps = self.checked_slot_steps = 0
        self._lost_links: set[tuple[int, int]] = set()
        self._link_delays: dict[tuple[int, int], int] = {}

    def _create_host(self, index: int, life: int) -> Host:
        settings = LeaseSettings(
            f"h{index}", life, ADDRESSES[index], SLOT_COUNT, ADDRESSES, LEASE_STEPS, COLD_WINDOW_STEPS
        )
        return Host(self.make_holder(settings, index + 7 * life, self.now), life)

    def step(self, faults: list[Fault]) -> None:
        """Runs one step of all hosts with these faults."""
        self._lost_links, self._link_delays = set(), {}
        for fault in faults:
            host = self.hosts[fault.who]
            if fault.what == "lose":
                self._lost_links.add((fault.who, fault.other))
            elif fault.what == "late":
                self._link_delays[fault.who, fault.other] = fault.span
            elif fault.what == "stop":
                host.stopped_until = self.now + fault.span
            elif fault.what == "alone":
                host.isolated_until = self.now + fault.span
            elif fault.what == "anew":
                self.hosts[fault.who] = self._create_host(fault.who, host.life + 1)
        for index, host in enumerate(self.hosts):
            if host.stopped_until <= self.now:
                self._use_slots(index, host)
        for _, source, target, received in [each for each in self.in_flight if each[0] <= self.now]:
            host = self.hosts[target]
            if host.stopped_until <= self.now:
                self._execute(target, host, host.leases.handle(self.now, received))
            else:
                host.queued.append((source, received))
        self.in_flight = [each for each in self.in_flight if each[0] > self.now]
        for index, host in enumerate(self.hosts):
            if host.stopped_until > self.now:
                continue
            for _, received in host.queued:
                self._execute(index, host, host.leases.handle(self.now, received))
            host.queued.clear()
            members, rank = (1, 0) if host.isolated_until > self.now else (HOST_COUNT, index)
            self._execute(index, host, host.leases.handle(self.now, MembershipSummary(members, rank, True)))
            self._use_slots(index, host)
        self.checked_slot_steps += SLOT_COUNT
        self.idle_slot_steps += SLOT_COUNT - sum(
            self.now in users.values() for users in self.last_used.values()
        )
        self.now += 1

    def _use_slots(self, index: int, host: Host) -> None:
        """Uses every slot that the host holds, as the decision module would; records a violation."""
        if self.now >= host.held.until_ns:
            return
        for slot in host.held.slots:
            for other, used_at in self.last_used[slot].items():
                if other != index and self.now - used_at < USE_WINDOW_STEPS:
                    self.violations.append(
                        f"step {self.now}: slot {slot} used by {index}, by {other} at {used_at}"
                    )
            self.last_used[slot][index] = self.now

    def _execute(self, index: int, host: Host, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, LeasesHeld):
                host.held = action
            elif isinstance(action, SendMessage):
                target = ADDRESSES.index(action.address)
                if (index, target) not in self._lost_links:
                    received = MessageReceived(f"h{index}", host.life, 0, action.message)
                    arrival = self.now + 1 + self._link_delays.get((index, target), 0)
                    self.in_flight.append((arrival, index, target, received))


@dataclass
class CheckResult:
    """What was checked, and the first schedule that gave a slot two users, if there was one."""

    schedules: int = 0
    steps: int = 0
    seconds: float = 0.0
    violation: str = ""
    schedule: tuple[Fault, ...] = ()
    idle_share: float = 0.0  # of all slots and steps checked

    def lines(self) -> Iterator[str]:
        """Yields the lines of the report."""
        yield f"{self.schedules} schedules, {self.steps} steps, {self.seconds:.1f} s"
        yield f"slots that nobody could use, of all slots and steps: {100 * self.idle_share:.1f} %"
        if self.violation:
            yield f"BROKEN: {self.violation} under {self.schedule}"
        else:
            yield "no slot had two users within a window"


def create_warm_world(make_holder: MakeHolder = LeaseHolder) -> World:
    """Returns a world after enough steps without faults for every slot to be held."""
    world = World(make_holder)
    for _ in range(WARM_UP_STEPS):
        world.step([])
    world.idle_slot_steps = world.checked_slot_steps = 0
    return world


def _run_steps(world: World, result: CheckResult, schedule: tuple[Fault, ...], steps: int) -> bool:
    for _ in range(steps):
        due = [fault for fault in schedule if fault.step == world.now - WARM_UP_STEPS]
        world.step(due)
        result.steps += 1
        if world.violations:
            result.violation, result.schedule = world.violations[0], schedule
            return False
    return True


def check_exhaustively(depth: int, make_holder: MakeHolder = LeaseHolder, faults: int = 2) -> CheckResult:
    """Checks every schedule of up to `faults` faults in `depth` steps, at most one fault a step.

    Stops at the first violation."""
    result, started_s = CheckResult(), time.perf_counter()
    idle = checked = 0

    def search(world: World, step: int, faults_left: int, schedule: tuple[Fault, ...]) -> bool:
        """Continues from `world`, which has run `schedule` up to `step`."""
        nonlocal idle, checked
        while step < depth:
            if faults_left:
                for fault in enumerate_faults(step):
                    branch = copy.deepcopy(world)
                    extended = (*schedule, fault)
                    if not _run_steps(branch, result, extended, 1):
                        return False
                    if not search(branch, step + 1, faults_left - 1, extended):
                        return False
            if not _run_steps(world, result, schedule, 1):
                return False
            step += 1
        result.schedules += 1
        last = max((fault.step + fault.span for fault in schedule), default=0)
        if not _run_steps(
            world, result, schedule, max(1, min(last, depth + LEASE_STEPS) + FOLLOW_UP_STEPS - depth)
        ):
            return False
        idle, checked = idle + world.idle_slot_steps, checked + world.checked_slot_steps
        return True

    search(create_warm_world(make_holder), 0, faults, ())
    result.seconds, result.idle_share = time.perf_counter() - started_s, idle / max(1, checked)
    return result


def check_randomly(schedules: int, seed: int, make_holder: MakeHolder = LeaseHolder) -> CheckResult:
    """Checks schedules with many faults, several in a step, drawn from a seed."""
    result, started_s, rng = CheckResult(), time.perf_counter(), random.Random(seed)
    start = create_warm_world(make_holder)
    all_faults = list(enumerate_faults(0))
    idle = checked = 0
    for _ in range(schedules):
        span, share = rng.randrange(10, 60), rng.choice((0.1, 0.3, 0.8))
        schedule = tuple(
            Fault(step, drawn.what, drawn.who, drawn.other, drawn.span)
            for step in range(span) for drawn in rng.sample(all_faults, 3) if rng.random() < share
        )  # fmt: skip
        world = copy.deepcopy(start)
        result.schedules += 1
        if not _run_steps(world, result, schedule, span + FOLLOW_UP_STEPS):
            break
        idle, checked = idle + world.idle_slot_steps, checked + world.checked_slot_steps
    result.seconds, result.idle_share = time.perf_counter() - started_s, idle / max(1, checked)
    return result
