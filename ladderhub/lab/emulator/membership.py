"""Membership in simulated time: who was told gone that lived, how soon a crash is known, what it costs.

The judge goes by the changes that members report and by what was done to them, and by nothing of their
state but the views that are compared at the end."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import MS, Faults, Net, S
from ladderhub.lab.mesh.judge import Row, check_leases
from ladderhub.lab.mesh.judge import Verdict as Seen
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

PAUSE_EVERY_NS = 600 * S  # on average, of each member
CRASH_EVERY_NS = 60 * S  # of the whole fleet
LEASE_NS, WINDOW_NS = 8 * S, 2 * S  # the module counts offers for 1.25 windows


def get_address(at: int) -> str:
    return f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:7000"


class Host:
    """One life of one scheduler."""

    def __init__(
        self, fleet: Fleet, at: int, name: str, address: str, life: int, seeds: tuple[str, ...],
        known: tuple[str, ...],
    ) -> None:  # fmt: skip
        self.fleet, self.net, self.at = fleet, fleet.net, at
        self.name, self.address, self.life = name, address, life
        settings = MemberSettings(self.name, life, self.address, seeds, known)
        self.view = MembershipView(settings, fleet.seed * 1_000_003 + life % 1_000_003)
        self.leases: LeaseHolder | None = None
        if fleet.voters:
            lease_settings = LeaseSettings(
                name, life, address, fleet.count, fleet.voters, LEASE_NS, WINDOW_NS
            )
            self.leases = LeaseHolder(lease_settings, life % 1_000_003, self.net.now)
            fleet.note("began", at)
        self.alive, self.paused_ns = True, -1
        self._due = 0
        self.net.open(self.address, self.receive)
        self.feed(Tick())

    @property
    def id(self) -> MemberId:
        return self.name, self.life

    def receive(self, frame: Frame) -> None:
        if self.alive and not isinstance(frame.message, RevisionMessage):
            self.feed(MessageReceived(frame.name, frame.life, frame.incarnation, frame.message))

    def feed(self, event: Event) -> None:
        now = self.net.now
        if isinstance(event, MessageReceived) and isinstance(event.message, LeaseMessage):
            if self.leases is not None:
                self.carry(self.leases.handle(now, event))
            return
        self.carry(self.view.handle(now, event))
        if self.leases is not None and isinstance(event, Tick):
            names = sorted(entry.name for entry in self.view.members())
            self.carry(
                self.leases.handle(
                    now, MembershipSummary(len(names), names.index(self.name), self.view.confirmed)
                )
            )

    def carry(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                me = self.view.self_entry
                frame = Frame(VERSION, 1, me.name, me.life, me.incarnation, action.message)
                self.net.send(self.address, action.address, frame, len(encode(frame)))
            elif isinstance(action, WakeAt):
                self._due = action.at_ns
                self.net.call_at(action.at_ns, self._wake, action.at_ns)
            elif isinstance(action, LeasesHeld):
                self.fleet.note("seats", self.at, slots=action.slots, until_ns=action.until_ns)
            else:
                self.fleet.on_change(self, action)

    def _wake(self, due: int) -> None:
        if self.alive and due == self._due:
            self.net.on(self.address, self._tick, due)

    def _tick(self, due: int) -> None:
        if self.alive and due == self._due:
            self.feed(Tick())

    def kill(self) -> None:
        self.alive = False
        self.fleet.note("over", self.at)
        self.net.close(self.address, self.receive)

    def feed_stop(self) -> None:
        self.feed(Stop())

    def pause(self, span_ns: int) -> None:
        if self.alive and self.paused_ns < 0:
            self.paused_ns = self.net.now
            self.net.pause(self.address)
            self.net.call_at(self.net.now + span_ns, self.go_on)

    def go_on(self) -> None:
        self.paused_ns = -1
        if self.alive:
            self.net.go_on(self.address)


@dataclass
class Verdict:
    """What a play showed."""

    members: int
    false_gone: list[str] = field(default_factory=list)
    latencies_ns: list[int] = field(default_factory=list)  # of each crash to each living member
    unheard: int = 0  # living members that were not told of a crash
    bytes_per_s: float = 0.0  # sent by a member in a second
    messages_s: float = 0.0
    differing: int = 0  # members whose view at the end is not the truth
    crashes: int = 0
    pauses: int = 0
    doubly_held: list[str] = field(default_factory=list)
    idle_share: float | None = None

    def get_p99_s(self) -> float:
        ordered = sorted(self.latencies_ns)
        return ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] / S if ordered else 0.0

    def is_good(self) -> bool:
        return not (self.false_gone or self.differing or self.unheard or self.doubly_held)

    def lines(self) -> Iterator[str]:
        yield f"{self.members} members, {self.crashes} crashes, {self.pauses} pauses"
        yield f"living members told gone: {len(self.false_gone)}"
        yield from self.false_gone[:5]
        yield f"a crash is known to all living: p99 {self.get_p99_s():.2f} s, not told: {self.unheard}"
        yield f"{self.bytes_per_s:.0f} bytes and {self.messages_s:.1f} messages a second sent by a member"
        yield f"views that are not the truth at the end: {self.differing}"
        if self.idle_share is not None:
            twice, idle = len(self.doubly_held), 100 * self.idle_share
            yield f"seats with two holders within a window: {twice}, unused {idle:.2f} % of the time"
            yield from self.doubly_held[:5]


class Fleet:
    """Many hosts, what was done to them and what they told.

    `warm`: they know each other from the first moment.  A thousand that come together in simulated time take
    longer to reckon than an hour of sixty-four."""

    def __init__(
        self, count: int, seed: int, faults: Faults | None = None, seeds: int = 3, warm: bool = False,
        voters: int = 0,
    ) -> None:  # fmt: skip
        """`voters`: the first so many vote on leases of `count` slots; 0 for none."""
        self.count, self.voters = count, tuple(map(get_address, range(voters)))
        self.rows: list[Row] = []
        self.seed, self.net = seed, Net(seed, faults)
        self.random = self.net.random
        self.verdict = Verdict(count)
        self.hosts: dict[int, Host] = {}
        self.every: list[Host] = []
        self._seeds = tuple(map(get_address, range(seeds)))
        self._ended: dict[MemberId, int] = {}  # lives that are over, since when
        self._knew: dict[MemberId, set[str]] = {}
        # A case's own rule: may this host tell that of a member that lives?
        self.allowed: Callable[[Host, MemberId, MemberChanged], bool] = lambda host, member, change: False
        self.log: list[tuple[int, str, MemberChanged]] = []
        if warm:
            for at in range(count):
                self.start(at)
            entries = [host.view.self_entry for host in self.hosts.values()]
            for host in self.hosts.values():
                host.view.preload(self.net.now, entries)
            return
        for at in range(count):
            self.net.call_at(self.net.now + int(self.random.random() * S), self.start, at)

    def start(self, at: int, known: tuple[str, ...] = (), life: int = 0) -> None:
        self.hosts[at] = self._host(at, f"s{at}", get_address(at), known, life)

    def start_named(self, at: int, name: str, address: str) -> None:
        """A scheduler of its own at an address that another has had."""
        self.hosts[at] = self._host(at, name, address)

    def extra(self, at: int, name: str) -> Host:
        """A process that should not be there: its name is another's."""
        return self._host(at, name, get_address(at))

    def _host(self, at: int, name: str, address: str, known: tuple[str, ...] = (), life: int = 0) -> Host:
        host = Host(self, at, name, address, life or self.net.now + at + 1, self._seeds, known)
        self.every.append(host)
        return host

    def note(self, what: str, slot: int, **values: Any) -> None:
        """For the judge of leases."""
        if self.voters:
            self.rows.append({"at": self.net.now / S, "what": what, "slot": slot, **values})

    def kill(self, at: int) -> None:
        host = self.hosts.pop(at)
        host.kill()
        self._ended[host.id] = self.net.now
        self._knew[host.id] = set()

    def on_change(self, host: Host, change: MemberChanged) -> None:
        self.log.append((self.net.now, host.name, change))
        if change.change not in (Change.GONE, Change.LEFT) or change.name == host.name:
            return
        member = (change.name, change.life)
        if member in self._ended:
            if member in self._knew and host.name not in self._knew[member]:
                self._knew[member].add(host.name)
                self.verdict.latencies_ns.append(self.net.now - self._ended[member])
        elif not self.allowed(host, member, change):
            now = (self.net.now - 1_000_000 * S) / S
            self.verdict.false_gone.append(
                f"{now:.1f} s: {host.name} says {change.name} is gone: {change.cause}"
            )

    def differing(self) -> int:
        """Living members whose view is not exactly who lives."""
        truth = {host.id for host in self.hosts.values()}
        seen = ({(m.name, m.life) for m in host.view.members()} for host in self.hosts.values())
        return sum(view != truth for view in seen)

    def settle(self, most_ns: int) -> int:
        """Run until all views are the truth; gives the time it took, or -1."""
        begun = self.net.now
        while self.differing():
            if self.net.now - begun >= most_ns:
                return -1
            self.net.run(self.net.now + 250 * MS)
        return self.net.now - begun

    def close(self) -> Verdict:
        """Judge the end: who knows of each crash that is older than the bound, and whose view is right."""
        verdict = self.verdict
        verdict.differing = self.differing()
        living = {host.name for host in self.hosts.values()}
        for member, knew in self._knew.items():
            since = self._ended[member]
            if self.net.now - since > 20 * S:
                there = {host.name for host in self.hosts.values() if host.life < since}
                verdict.unheard += len((living & there) - knew)
        return verdict


def simulate_membership(
    members: int, seed: int, seconds: int = 3600, loss: float = 0.1, leases: bool = False
) -> Verdict:
    """A simulated hour: loss, pauses up to 3 s, now and then a crash that is started again later."""
    faults = Faults(loss=loss, delay_ns=(MS // 2, 20 * MS))
    fleet = Fleet(members, seed, faults, warm=True, voters=min(5, members) if leases else 0)
    net, random = fleet.net, fleet.random
    net.run(net.now + 20 * S)
    fleet.settle(60 * S)
    if leases:
        net.run(net.now + 30 * S)  # voters are silent for a lease after their start
    begun, sent = net.now, (net.sent, net.sent_bytes)
    fleet.note("day", -1)

    def pause() -> None:
        at = random.choice(sorted(fleet.hosts))
        fleet.hosts[at].pause(int(random.uniform(0.05, 3.0) * S))
        fleet.verdict.pauses += 1
        net.call_at(net.now + int(random.expovariate(members / PAUSE_EVERY_NS)), pause)

    def crash() -> None:
        at = random.choice([each for each in sorted(fleet.hosts) if each >= 3] or sorted(fleet.hosts))
        fleet.kill(at)
        fleet.verdict.crashes += 1
        net.call_at(net.now + 30 * S, fleet.start, at)
        net.call_at(net.now + CRASH_EVERY_NS, crash)

    net.call_at(net.now + int(random.expovariate(members / PAUSE_EVERY_NS)), pause)
    net.call_at(net.now + CRASH_EVERY_NS // 2, crash)
    net.run(begun + seconds * S)
    spent = net.now - begun
    fleet.verdict.bytes_per_s = (net.sent_bytes - sent[1]) * S / spent / members
    fleet.verdict.messages_s = (net.sent - sent[0]) * S / spent / members
    fleet.settle(20 * S)
    if leases:
        seen = Seen()
        check_leases(seen, fleet.rows, 1.25 * WINDOW_NS / S, members)
        fleet.verdict.doubly_held, fleet.verdict.idle_share = seen.doubly_held, seen.idle_share
    return fleet.close()
