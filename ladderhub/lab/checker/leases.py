"""Leases under every schedule of faults up to a bound: no slot has two users within a window.

Three schedulers, each a voter, in steps of a quarter of a lease's round.  In each step an adversary does
nothing or one thing: loses what goes one way between two, holds it back for a few steps (also past a lease),
stops a process for some steps, starts it anew, or lets one see itself alone.  A process that goes on after a
stop may act before it is told anything, so its use is judged before its tick."""

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
LEASE, COLD, WINDOW = 16, 3, 4  # in steps; the module counts offers for WINDOW, a quarter over COLD
ADDRESSES = tuple(f"h{at}:1" for at in range(HOST_COUNT))
BACK = (1, 6, LEASE + 3)  # for how many steps messages are held back, or a process is stopped
PREPARED = LEASE + 8  # steps without faults at first: voters are silent for a lease
FOLLOWED = LEASE + WINDOW + 6  # steps watched after the last fault


@dataclass(frozen=True, slots=True)
class Fault:
    """At a step: `lose` or `late` from one to another, `stop`, `anew`, `alone` of one; for `span` steps."""

    step: int
    what: str
    who: int
    other: int = 0
    span: int = 0


MakeHolder = Callable[[LeaseSettings, int, int], LeaseHolder]


def enumerate_faults(step: int) -> Iterator[Fault]:
    """Every one thing that may be done in a step."""
    for who in range(HOST_COUNT):
        yield Fault(step, "anew", who)
        yield Fault(step, "alone", who, span=LEASE)
        for span in BACK:
            yield Fault(step, "stop", who, span=span)
        for other in range(HOST_COUNT):
            if other != who:
                yield Fault(step, "lose", who, other, 1)
                for span in BACK:
                    yield Fault(step, "late", who, other, span)


@dataclass
class Host:
    """One life of an emulated scheduler."""

    leases: LeaseHolder
    life: int
    held: LeasesHeld = field(default_factory=lambda: LeasesHeld((), -1))
    stopped_until: int = -1
    alone_until: int = -1
    waiting: list[tuple[int, MessageReceived]] = field(default_factory=list)


class World:
    """The hosts, messages on their way, and who used what when."""

    def __init__(self, make_holder: MakeHolder = LeaseHolder) -> None:
        self.now, self.make_holder = 0, make_holder
        self.hosts = [self._host(at, 1) for at in range(HOST_COUNT)]
        self.on_way: list[tuple[int, int, int, MessageReceived]] = []  # when it comes, from, to
        self.used: dict[int, dict[int, int]] = {
            slot: {} for slot in range(SLOT_COUNT)
        }  # slot -> host -> last use
        self.violations: list[str] = []
        self.idle_slot_steps = self.checked_slot_steps = 0
        self._lose: set[tuple[int, int]] = set()
        self._late: dict[tuple[int, int], int] = {}

    def _host(self, at: int, life: int) -> Host:
        settings = LeaseSettings(f"h{at}", life, ADDRESSES[at], SLOT_COUNT, ADDRESSES, LEASE, COLD)
        return Host(self.make_holder(settings, at + 7 * life, self.now), life)

    def step(self, faults: list[Fault]) -> None:
        self._lose, self._late = set(), {}
        for fault in faults:
            host = self.hosts[fault.who]
            if fault.what == "lose":
                self._lose.add((fault.who, fault.other))
            elif fault.what == "late":
                self._late[fault.who, fault.other] = fault.span
            elif fault.what == "stop":
                host.stopped_until = self.now + fault.span
            elif fault.what == "alone":
                host.alone_until = self.now + fault.span
            elif fault.what == "anew":
                self.hosts[fault.who] = self._host(fault.who, host.life + 1)
        for at, host in enumerate(self.hosts):
            if host.stopped_until <= self.now:
                self._use(at, host)
        for _, source, target, received in [each for each in self.on_way if each[0] <= self.now]:
            host = self.hosts[target]
            if host.stopped_until <= self.now:
                self._carry(target, host, host.leases.handle(self.now, received))
            else:
                host.waiting.append((source, received))
        self.on_way = [each for each in self.on_way if each[0] > self.now]
        for at, host in enumerate(self.hosts):
            if host.stopped_until > self.now:
                continue
            for _, received in host.waiting:
                self._carry(at, host, host.leases.handle(self.now, received))
            host.waiting.clear()
            members, rank = (1, 0) if host.alone_until > self.now else (HOST_COUNT, at)
            self._carry(at, host, host.leases.handle(self.now, MembershipSummary(members, rank, True)))
            self._use(at, host)
        self.checked_slot_steps += SLOT_COUNT
        self.idle_slot_steps += SLOT_COUNT - sum(self.now in users.values() for users in self.used.values())
        self.now += 1

    def _use(self, at: int, host: Host) -> None:
        """What the module would do now: use every slot that it was told of, while that lasts."""
        if self.now >= host.held.until_ns:
            return
        for slot in host.held.slots:
            for other, when in self.used[slot].items():
                if other != at and self.now - when < WINDOW:
                    self.violations.append(f"step {self.now}: slot {slot} used by {at}, by {other} at {when}")
            self.used[slot][at] = self.now

    def _carry(self, at: int, host: Host, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, LeasesHeld):
                host.held = action
            elif isinstance(action, SendMessage):
                target = ADDRESSES.index(action.address)
                if (at, target) not in self._lose:
                    received = MessageReceived(f"h{at}", host.life, 0, action.message)
                    come = self.now + 1 + self._late.get((at, target), 0)
                    self.on_way.append((come, at, target, received))


@dataclass
class CheckResult:
    """What was played, and the first schedule that gave a slot two users, if any did."""

    schedules: int = 0
    steps: int = 0
    seconds: float = 0.0
    violation: str = ""
    schedule: tuple[Fault, ...] = ()
    idle_share: float = 0.0  # of slots and steps, under the faults played

    def lines(self) -> Iterator[str]:
        yield f"{self.schedules} schedules, {self.steps} steps, {self.seconds:.1f} s"
        yield f"slots that nobody could use, of all slots and steps: {100 * self.idle_share:.1f} %"
        if self.violation:
            yield f"BROKEN: {self.violation} under {self.schedule}"
        else:
            yield "no slot had two users within a window"


def create_warm_world(make_holder: MakeHolder = LeaseHolder) -> World:
    world = World(make_holder)
    for _ in range(PREPARED):
        world.step([])
    world.idle_slot_steps = world.checked_slot_steps = 0
    return world


def _follow(world: World, result: CheckResult, schedule: tuple[Fault, ...], steps: int) -> bool:
    for _ in range(steps):
        due = [fault for fault in schedule if fault.step == world.now - PREPARED]
        world.step(due)
        result.steps += 1
        if world.violations:
            result.violation, result.schedule = world.violations[0], schedule
            return False
    return True


def check_exhaustively(depth: int, make_holder: MakeHolder = LeaseHolder, faults: int = 2) -> CheckResult:
    """Every schedule of up to `faults` faults in `depth` steps, one fault a step; stops at the first that
    breaks."""
    result, began = CheckResult(), time.perf_counter()
    idle = looked = 0

    def search(world: World, step: int, left: int, schedule: tuple[Fault, ...]) -> bool:
        """`world` stands at `step` with the schedule so far played."""
        nonlocal idle, looked
        while step < depth:
            if left:
                for fault in enumerate_faults(step):
                    branch = copy.deepcopy(world)
                    further = (*schedule, fault)
                    if not _follow(branch, result, further, 1):
                        return False
                    if not search(branch, step + 1, left - 1, further):
                        return False
            if not _follow(world, result, schedule, 1):
                return False
            step += 1
        result.schedules += 1
        last = max((fault.step + fault.span for fault in schedule), default=0)
        if not _follow(world, result, schedule, max(1, min(last, depth + LEASE) + FOLLOWED - depth)):
            return False
        idle, looked = idle + world.idle_slot_steps, looked + world.checked_slot_steps
        return True

    search(create_warm_world(make_holder), 0, faults, ())
    result.seconds, result.idle_share = time.perf_counter() - began, idle / max(1, looked)
    return result


def check_randomly(schedules: int, seed: int, make_holder: MakeHolder = LeaseHolder) -> CheckResult:
    """Schedules with many faults, several in a step, drawn from a seed."""
    result, began, rng = CheckResult(), time.perf_counter(), random.Random(seed)
    start = create_warm_world(make_holder)
    every = list(enumerate_faults(0))
    idle = looked = 0
    for _ in range(schedules):
        span, share = rng.randrange(10, 60), rng.choice((0.1, 0.3, 0.8))
        schedule = tuple(
            Fault(step, drawn.what, drawn.who, drawn.other, drawn.span)
            for step in range(span) for drawn in rng.sample(every, 3) if rng.random() < share
        )  # fmt: skip
        world = copy.deepcopy(start)
        result.schedules += 1
        if not _follow(world, result, schedule, span + FOLLOWED):
            break
        idle, looked = idle + world.idle_slot_steps, looked + world.checked_slot_steps
    result.seconds, result.idle_share = time.perf_counter() - began, idle / max(1, looked)
    return result
