"""Membership in simulated time: who was told gone that lived, how soon a crash is known, what it costs.

The judge goes by what the members tell (`Told`) and by what was done to them, and by nothing of their state
but the views that are compared at the end."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import MS, Faults, Net, S
from ladderhub.lab.mesh.judge import Row, check_seats
from ladderhub.lab.mesh.judge import Verdict as Seen
from ladderhub.membership import Heard, MemberSettings, Say, Seats, SeatSettings, SeatsHeld, Share, Stop, Tick
from ladderhub.membership import Told, Views, WakeAt
from ladderhub.membership.messages import SeatMessage
from ladderhub.membership.rings import Id
from ladderhub.membership.types import Action, Change, Event
from ladderhub.peers.wire import VERSION, Frame, encode

PAUSE_EVERY_NS = 600 * S  # on average, of each member
CRASH_EVERY_NS = 60 * S  # of the whole fleet
LEASE_NS, WINDOW_NS = 8 * S, 2 * S  # of seats; the module counts offers for a quarter longer than the window


def address_of(at: int) -> str:
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
        self.views = Views(settings, fleet.seed * 1_000_003 + life % 1_000_003)
        self.seats: Seats | None = None
        if fleet.electors:
            dealt = SeatSettings(name, life, address, fleet.count, fleet.electors, LEASE_NS, WINDOW_NS)
            self.seats = Seats(dealt, life % 1_000_003, self.net.now)
            fleet.note("began", at)
        self.alive, self.paused_ns = True, -1
        self._due = 0
        self.net.open(self.address, self.receive)
        self.feed(Tick())

    @property
    def id(self) -> Id:
        return self.name, self.life

    def receive(self, frame: Frame) -> None:
        if self.alive:
            self.feed(Heard(frame.name, frame.life, frame.incarnation, frame.message))

    def feed(self, event: Event) -> None:
        now = self.net.now
        if isinstance(event, Heard) and isinstance(event.message, SeatMessage):
            if self.seats is not None:
                self.carry(self.seats.handle(now, event))
            return
        self.carry(self.views.handle(now, event))
        if self.seats is not None and isinstance(event, Tick):
            names = sorted(entry.name for entry in self.views.members())
            self.carry(self.seats.handle(now, Share(len(names), names.index(self.name), self.views.sure)))

    def carry(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Say):
                me = self.views.me
                frame = Frame(VERSION, 1, me.name, me.life, me.incarnation, action.message)
                self.net.send(self.address, action.address, frame, len(encode(frame)))
            elif isinstance(action, WakeAt):
                self._due = action.at_ns
                self.net.at(action.at_ns, self._wake, action.at_ns)
            elif isinstance(action, SeatsHeld):
                self.fleet.note("seats", self.at, slots=action.slots, until_ns=action.until_ns)
            else:
                self.fleet.heard(self, action)

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
            self.net.at(self.net.now + span_ns, self.go_on)

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
    bytes_s: float = 0.0  # sent by a member in a second
    messages_s: float = 0.0
    differing: int = 0  # members whose view at the end is not the truth
    crashes: int = 0
    pauses: int = 0
    doubly_held: list[str] = field(default_factory=list)
    seats_idle: float | None = None

    def p99_s(self) -> float:
        ordered = sorted(self.latencies_ns)
        return ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] / S if ordered else 0.0

    def good(self) -> bool:
        return not (self.false_gone or self.differing or self.unheard or self.doubly_held)

    def lines(self) -> Iterator[str]:
        yield f"{self.members} members, {self.crashes} crashes, {self.pauses} pauses"
        yield f"living members told gone: {len(self.false_gone)}"
        yield from self.false_gone[:5]
        yield f"a crash is known to all living: p99 {self.p99_s():.2f} s, not told: {self.unheard}"
        yield f"{self.bytes_s:.0f} bytes and {self.messages_s:.1f} messages a second sent by a member"
        yield f"views that are not the truth at the end: {self.differing}"
        if self.seats_idle is not None:
            twice, idle = len(self.doubly_held), 100 * self.seats_idle
            yield f"seats with two holders within a window: {twice}, unused {idle:.2f} % of the time"
            yield from self.doubly_held[:5]


class Fleet:
    """Many hosts, what was done to them and what they told.

    `warm`: they know each other from the first moment.  A thousand that come together in simulated time take
    longer to reckon than an hour of sixty-four."""

    def __init__(
        self, count: int, seed: int, faults: Faults | None = None, seeds: int = 3, warm: bool = False,
        electors: int = 0,
    ) -> None:  # fmt: skip
        """`electors`: the first so many lend seats, one for each of `count`; 0 for none."""
        self.count, self.electors = count, tuple(map(address_of, range(electors)))
        self.rows: list[Row] = []
        self.seed, self.net = seed, Net(seed, faults)
        self.random = self.net.random
        self.verdict = Verdict(count)
        self.hosts: dict[int, Host] = {}
        self.every: list[Host] = []
        self._seeds = tuple(map(address_of, range(seeds)))
        self._ended: dict[Id, int] = {}  # lives that are over, since when
        self._knew: dict[Id, set[str]] = {}
        # A case's own rule: may this host tell that of a member that lives?
        self.allowed: Callable[[Host, Id, Told], bool] = lambda host, member, told: False
        self.log: list[tuple[int, str, Told]] = []
        if warm:
            for at in range(count):
                self.start(at)
            entries = [host.views.me for host in self.hosts.values()]
            for host in self.hosts.values():
                host.views.know(self.net.now, entries)
            return
        for at in range(count):
            self.net.at(self.net.now + int(self.random.random() * S), self.start, at)

    def start(self, at: int, known: tuple[str, ...] = (), life: int = 0) -> None:
        self.hosts[at] = self._host(at, f"s{at}", address_of(at), known, life)

    def start_named(self, at: int, name: str, address: str) -> None:
        """A scheduler of its own at an address that another has had."""
        self.hosts[at] = self._host(at, name, address)

    def extra(self, at: int, name: str) -> Host:
        """A process that should not be there: its name is another's."""
        return self._host(at, name, address_of(at))

    def _host(self, at: int, name: str, address: str, known: tuple[str, ...] = (), life: int = 0) -> Host:
        host = Host(self, at, name, address, life or self.net.now + at + 1, self._seeds, known)
        self.every.append(host)
        return host

    def note(self, what: str, slot: int, **values: Any) -> None:
        """For the judge of seats."""
        if self.electors:
            self.rows.append({"at": self.net.now / S, "what": what, "slot": slot, **values})

    def kill(self, at: int) -> None:
        host = self.hosts.pop(at)
        host.kill()
        self._ended[host.id] = self.net.now
        self._knew[host.id] = set()

    def heard(self, host: Host, told: Told) -> None:
        self.log.append((self.net.now, host.name, told))
        if told.change not in (Change.GONE, Change.LEFT) or told.name == host.name:
            return
        member = (told.name, told.life)
        if member in self._ended:
            if member in self._knew and host.name not in self._knew[member]:
                self._knew[member].add(host.name)
                self.verdict.latencies_ns.append(self.net.now - self._ended[member])
        elif not self.allowed(host, member, told):
            now = (self.net.now - 1_000_000 * S) / S
            self.verdict.false_gone.append(f"{now:.1f} s: {host.name} says {told.name} is gone: {told.cause}")

    def differing(self) -> int:
        """Living members whose view is not exactly who lives."""
        truth = {host.id for host in self.hosts.values()}
        seen = ({(m.name, m.life) for m in host.views.members()} for host in self.hosts.values())
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


def hour(members: int, seed: int, seconds: int = 3600, loss: float = 0.1, seats: bool = False) -> Verdict:
    """A simulated hour: loss, pauses up to 3 s, now and then a crash that is started again later."""
    faults = Faults(loss=loss, delay_ns=(MS // 2, 20 * MS))
    fleet = Fleet(members, seed, faults, warm=True, electors=min(5, members) if seats else 0)
    net, random = fleet.net, fleet.random
    net.run(net.now + 20 * S)
    fleet.settle(60 * S)
    if seats:
        net.run(net.now + 30 * S)  # electors are silent for a lease after their start
    begun, sent = net.now, (net.sent, net.sent_bytes)
    fleet.note("day", -1)

    def pause() -> None:
        at = random.choice(sorted(fleet.hosts))
        fleet.hosts[at].pause(int(random.uniform(0.05, 3.0) * S))
        fleet.verdict.pauses += 1
        net.at(net.now + int(random.expovariate(members / PAUSE_EVERY_NS)), pause)

    def crash() -> None:
        at = random.choice([each for each in sorted(fleet.hosts) if each >= 3] or sorted(fleet.hosts))
        fleet.kill(at)
        fleet.verdict.crashes += 1
        net.at(net.now + 30 * S, fleet.start, at)
        net.at(net.now + CRASH_EVERY_NS, crash)

    net.at(net.now + int(random.expovariate(members / PAUSE_EVERY_NS)), pause)
    net.at(net.now + CRASH_EVERY_NS // 2, crash)
    net.run(begun + seconds * S)
    spent = net.now - begun
    fleet.verdict.bytes_s = (net.sent_bytes - sent[1]) * S / spent / members
    fleet.verdict.messages_s = (net.sent - sent[0]) * S / spent / members
    fleet.settle(20 * S)
    if seats:
        seen = Seen()
        check_seats(seen, fleet.rows, 1.25 * WINDOW_NS / S, members)
        fleet.verdict.doubly_held, fleet.verdict.seats_idle = seen.doubly_held, seen.seats_idle
    return fleet.close()
