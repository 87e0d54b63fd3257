"""Simulates membership: living members reported gone, how soon crashes are known, and the cost in messages.

The verdict rests on the changes that members report and on the faults injected.  Of the members' state it
uses only the views, which are compared at the end."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import MS, Faults, Net, S
from ladderhub.lab.mesh.judge import Row, check_leases
from ladderhub.lab.mesh.judge import Verdict as LeaseVerdict
from ladderhub.membership import (
    MessageReceived,
    MemberSettings,
    SendMessage,
    LeaseHolder,
    LeaseSettings,
    LeasesHeld,
    MembershipSummary,
    Stop,
    Tick,
)
from ladderhub.membership import MemberChanged, MembershipView, WakeAt
from ladderhub.membership.messages import LeaseMessage
from ladderhub.membership.rings import MemberId
from ladderhub.membership.types import Action, Change, Event
from ladderhub.peers.wire import VERSION, Frame, encode
from ladderhub.revision.messages import RevisionMessage

MEAN_PAUSE_INTERVAL_NS = 600 * S  # mean time between the pauses of one member
CRASH_INTERVAL_NS = 60 * S  # time between crashes in the whole fleet
LEASE_NS, COLD_WINDOW_NS = 8 * S, 2 * S  # the decision module counts offers for 1.25 windows


def get_address(index: int) -> str:
    """Returns the emulated address of the scheduler with this index."""
    return f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7000"


class Host:
    """One life of one scheduler."""

    def __init__(
        self, fleet: Fleet, index: int, name: str, address: str, life: int, seeds: tuple[str, ...],
        known: tuple[str, ...],
    ) -> None:  # fmt: skip
        self.fleet, self.net, self.index = fleet, fleet.net, index
        self.name, self.address, self.life = name, address, life
        settings = MemberSettings(self.name, life, self.address, seeds, known)
        self.view = MembershipView(settings, fleet.seed * 1_000_003 + life % 1_000_003)
        self.leases: LeaseHolder | None = None
        if fleet.voters:
            lease_settings = LeaseSettings(
                name, life, address, fleet.count, fleet.voters, LEASE_NS, COLD_WINDOW_NS
            )
            self.leases = LeaseHolder(lease_settings, life % 1_000_003, self.net.now)
            fleet.note("began", index)
        self.alive, self.paused_ns = True, -1
        self._wake_at_ns = 0
        self.net.open(self.address, self.receive)
        self.handle_event(Tick())

    @property
    def id(self) -> MemberId:
        return self.name, self.life

    def receive(self, frame: Frame) -> None:
        """Handles a frame from the network; frames with revision messages are ignored."""
        if self.alive and not isinstance(frame.message, RevisionMessage):
            self.handle_event(MessageReceived(frame.name, frame.life, frame.incarnation, frame.message))

    def handle_event(self, event: Event) -> None:
        """Passes an event to the membership view or the lease holder and executes the actions."""
        now = self.net.now
        if isinstance(event, MessageReceived) and isinstance(event.message, LeaseMessage):
            if self.leases is not None:
                self.execute(self.leases.handle(now, event))
            return
        self.execute(self.view.handle(now, event))
        if self.leases is not None and isinstance(event, Tick):
            names = sorted(entry.name for entry in self.view.members())
            self.execute(
                self.leases.handle(
                    now, MembershipSummary(len(names), names.index(self.name), self.view.confirmed)
                )
            )

    def execute(self, actions: list[Action]) -> None:
        """Executes actions: sends messages, schedules wake-ups and reports changes to the fleet."""
        for action in actions:
            if isinstance(action, SendMessage):
                me = self.view.self_entry
                frame = Frame(VERSION, 1, me.name, me.life, me.incarnation, action.message)
                self.net.send(self.address, action.address, frame, len(encode(frame)))
            elif isinstance(action, WakeAt):
                self._wake_at_ns = action.at_ns
                self.net.call_at(action.at_ns, self._on_wake, action.at_ns)
            elif isinstance(action, LeasesHeld):
                self.fleet.note("seats", self.index, slots=action.slots, until_ns=action.until_ns)
            else:
                self.fleet.on_change(self, action)

    def _on_wake(self, wake_at_ns: int) -> None:
        if self.alive and wake_at_ns == self._wake_at_ns:
            self.net.call_on_host(self.address, self._tick, wake_at_ns)

    def _tick(self, wake_at_ns: int) -> None:
        if self.alive and wake_at_ns == self._wake_at_ns:
            self.handle_event(Tick())

    def kill(self) -> None:
        self.alive = False
        self.fleet.note("over", self.index)
        self.net.close(self.address, self.receive)

    def handle_stop(self) -> None:
        """Lets the member leave the fleet gracefully."""
        self.handle_event(Stop())

    def pause(self, span_ns: int) -> None:
        """Stops the host for a time; its messages and calls wait."""
        if self.alive and self.paused_ns < 0:
            self.paused_ns = self.net.now
            self.net.pause(self.address)
            self.net.call_at(self.net.now + span_ns, self.resume)

    def resume(self) -> None:
        self.paused_ns = -1
        if self.alive:
            self.net.resume(self.address)


@dataclass
class Verdict:
    """What a simulation showed."""

    members: int
    false_gone: list[str] = field(default_factory=list)
    latencies_ns: list[int] = field(default_factory=list)  # of each crash, until each living member knew
    unreported: int = 0  # living members that did not learn of a crash, summed over crashes
    bytes_per_s: float = 0.0  # sent by each member
    messages_per_s: float = 0.0
    differing: int = 0  # members whose view at the end is wrong
    crashes: int = 0
    pauses: int = 0
    doubly_held: list[str] = field(default_factory=list)
    idle_share: float | None = None

    def get_p99_s(self) -> float:
        """Returns the 99th percentile of the crash latencies in seconds."""
        ordered = sorted(self.latencies_ns)
        return ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] / S if ordered else 0.0

    def is_good(self) -> bool:
        """Whether no rule was violated."""
        return not (self.false_gone or self.differing or self.unreported or self.doubly_held)

    def lines(self) -> Iterator[str]:
        """Yields the lines of the report."""
        yield f"{self.members} members, {self.crashes} crashes, {self.pauses} pauses"
        yield f"living members told gone: {len(self.false_gone)}"
        yield from self.false_gone[:5]
        yield f"a crash is known to all living: p99 {self.get_p99_s():.2f} s, not told: {self.unreported}"
        yield f"{self.bytes_per_s:.0f} bytes and {self.messages_per_s:.1f} messages a second sent by a member"
        yield f"views that are not the truth at the end: {self.differing}"
        if self.idle_share is not None:
            twice, idle = len(self.doubly_held), 100 * self.idle_share
            yield f"seats with two holders within a window: {twice}, unused {idle:.2f} % of the time"
            yield from self.doubly_held[:5]


class Fleet:
    """Many hosts, the faults injected into them and the changes they report.

    `warm`: all members know each other from the start.  Computing how a thousand members discover each other
    takes longer than simulating an hour of sixty-four members."""

    def __init__(
        self, count: int, seed: int, faults: Faults | None = None, seeds: int = 3, warm: bool = False,
        voters: int = 0,
    ) -> None:  # fmt: skip
        """`voters`: how many of the first members vote on leases of `count` slots; 0 for no leases."""
        self.count, self.voters = count, tuple(map(get_address, range(voters)))
        self.rows: list[Row] = []
        self.seed, self.net = seed, Net(seed, faults)
        self.random = self.net.random
        self.verdict = Verdict(count)
        self.hosts: dict[int, Host] = {}
        self.all_hosts: list[Host] = []
        self._seeds = tuple(map(get_address, range(seeds)))
        self._ended: dict[MemberId, int] = {}  # lives that have ended, and when
        self._informed: dict[MemberId, set[str]] = {}
        # Rule of the fault day: may this host report a living member as gone?
        self.may_report_gone: Callable[[Host, MemberId, MemberChanged], bool] = (
            lambda host, member, change: False
        )
        self.log: list[tuple[int, str, MemberChanged]] = []
        if warm:
            for index in range(count):
                self.start(index)
            entries = [host.view.self_entry for host in self.hosts.values()]
            for host in self.hosts.values():
                host.view.preload(self.net.now, entries)
            return
        for index in range(count):
            self.net.call_at(self.net.now + int(self.random.random() * S), self.start, index)

    def start(self, index: int, known: tuple[str, ...] = (), life: int = 0) -> None:
        """Starts a new life of the scheduler with this index."""
        self.hosts[index] = self._create_host(index, f"s{index}", get_address(index), known, life)

    def start_named(self, index: int, name: str, address: str) -> None:
        """Starts a scheduler with a new name at an address that another scheduler had."""
        self.hosts[index] = self._create_host(index, name, address)

    def start_extra(self, index: int, name: str) -> Host:
        """Starts a process by mistake, with the name of another one."""
        return self._create_host(index, name, get_address(index))

    def _create_host(
        self, index: int, name: str, address: str, known: tuple[str, ...] = (), life: int = 0
    ) -> Host:
        host = Host(self, index, name, address, life or self.net.now + index + 1, self._seeds, known)
        self.all_hosts.append(host)
        return host

    def note(self, what: str, slot: int, **values: Any) -> None:
        """Records an event for the check of leases."""
        if self.voters:
            self.rows.append({"at": self.net.now / S, "what": what, "slot": slot, **values})

    def kill(self, index: int) -> None:
        """Ends a life without notice to the others."""
        host = self.hosts.pop(index)
        host.kill()
        self._ended[host.id] = self.net.now
        self._informed[host.id] = set()

    def on_change(self, host: Host, change: MemberChanged) -> None:
        """Logs a reported change, and checks reports of members that are gone."""
        self.log.append((self.net.now, host.name, change))
        if change.change not in (Change.GONE, Change.LEFT) or change.name == host.name:
            return
        member = (change.name, change.life)
        if member in self._ended:
            if member in self._informed and host.name not in self._informed[member]:
                self._informed[member].add(host.name)
                self.verdict.latencies_ns.append(self.net.now - self._ended[member])
        elif not self.may_report_gone(host, member, change):
            now = (self.net.now - 1_000_000 * S) / S
            self.verdict.false_gone.append(
                f"{now:.1f} s: {host.name} says {change.name} is gone: {change.cause}"
            )

    def count_differing_views(self) -> int:
        """Counts the living members whose view is not exactly the set of living members."""
        truth = {host.id for host in self.hosts.values()}
        seen = ({(m.name, m.life) for m in host.view.members()} for host in self.hosts.values())
        return sum(view != truth for view in seen)

    def settle(self, timeout_ns: int) -> int:
        """Runs until all views are correct; returns the time that took, or -1 on a timeout."""
        started_ns = self.net.now
        while self.count_differing_views():
            if self.net.now - started_ns >= timeout_ns:
                return -1
            self.net.run(self.net.now + 250 * MS)
        return self.net.now - started_ns

    def build_verdict(self) -> Verdict:
        """Checks at the end who learned of each crash more than 20 s ago, and whose view is correct."""
        verdict = self.verdict
        verdict.differing = self.count_differing_views()
        living = {host.name for host in self.hosts.values()}
        for member, informed in self._informed.items():
            since = self._ended[member]
            if self.net.now - since > 20 * S:
                there = {host.name for host in self.hosts.values() if host.life < since}
                verdict.unreported += len((living & there) - informed)
        return verdict


def simulate_membership(
    members: int, seed: int, seconds: int = 3600, loss: float = 0.1, leases: bool = False
) -> Verdict:
    """Simulates members with message loss, pauses of up to 3 s and crashes with a restart after 30 s."""
    faults = Faults(loss=loss, delay_ns=(MS // 2, 20 * MS))
    fleet = Fleet(members, seed, faults, warm=True, voters=min(5, members) if leases else 0)
    net, random = fleet.net, fleet.random
    net.run(net.now + 20 * S)
    fleet.settle(60 * S)
    if leases:
        net.run(net.now + 30 * S)  # voters do not answer for one lease after their start
    started_ns, sent = net.now, (net.sent, net.sent_bytes)
    fleet.note("day", -1)

    def pause() -> None:
        index = random.choice(sorted(fleet.hosts))
        fleet.hosts[index].pause(int(random.uniform(0.05, 3.0) * S))
        fleet.verdict.pauses += 1
        net.call_at(net.now + int(random.expovariate(members / MEAN_PAUSE_INTERVAL_NS)), pause)

    def crash() -> None:
        index = random.choice([each for each in sorted(fleet.hosts) if each >= 3] or sorted(fleet.hosts))
        fleet.kill(index)
        fleet.verdict.crashes += 1
        net.call_at(net.now + 30 * S, fleet.start, index)
        net.call_at(net.now + CRASH_INTERVAL_NS, crash)

    net.call_at(net.now + int(random.expovariate(members / MEAN_PAUSE_INTERVAL_NS)), pause)
    net.call_at(net.now + CRASH_INTERVAL_NS // 2, crash)
    net.run(started_ns + seconds * S)
    elapsed_ns = net.now - started_ns
    fleet.verdict.bytes_per_s = (net.sent_bytes - sent[1]) * S / elapsed_ns / members
    fleet.verdict.messages_per_s = (net.sent - sent[0]) * S / elapsed_ns / members
    fleet.settle(20 * S)
    if leases:
        lease_verdict = LeaseVerdict()
        check_leases(lease_verdict, fleet.rows, 1.25 * COLD_WINDOW_NS / S, members)
        fleet.verdict.doubly_held, fleet.verdict.idle_share = (
            lease_verdict.doubly_held,
            lease_verdict.idle_share,
        )
    return fleet.build_verdict()
