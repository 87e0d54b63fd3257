"""Revisions in simulated time: one order everywhere, how soon a change is in force, what it costs.

The judge goes by what was stored, activated and answered, and by what was done to the schedulers, and by
nothing of their state.  Frames of membership are stood in for by pings around a ring, which carry heads."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from ladderhub.lab.emulator.membership import get_address
from ladderhub.lab.emulator.net import MS, Faults, Net, S
from ladderhub.lab.emulator.revision_judge import IN_FORCE_NS, Judge, RevisionVerdict
from ladderhub.peers.wire import VERSION, Frame, encode
from ladderhub.revision import (
    Activate, Answer, Apply, BodyChecked, CheckBody, HeadSeen, Hold, MembersChanged, MessageReceived, Notify,
    Record, Resume, Revisions, RevisionSettings, Send, Store, Tick, WakeAt, decode_record, encode_record,
)  # fmt: skip
from ladderhub.revision.messages import Head
from ladderhub.revision.types import Action, Applied, Event

PINGED = 7  # neighbours on the ring that each scheduler pings in a second


class Host:
    """One life of one scheduler."""

    def __init__(self, play: RevisionSimulation, at: int, life: int, stored: Record | None) -> None:
        self.play, self.net, self.at = play, play.net, at
        self.name, self.address, self.life = f"s{at}", get_address(at), life
        settings = RevisionSettings(self.name, life, self.address, play.voters, play.first_body)
        self.revisions = Revisions(settings, stored, play.seed)
        self.disk = stored
        self.alive, self.paused, self.holds_decisions = True, False, False
        self.actions_left: int | None = None  # that it still carries out before it is killed
        self.active: list[int] = []  # numbers, in order
        self._due_ns = 0
        self.net.open(self.address, self.receive)
        self.handle_event(MembersChanged(play.addresses))
        self.handle_event(Tick())
        self.net.call_at(self.net.now + int(play.random.random() * S), self._ping)

    def receive(self, message: tuple[str, int, Head, Any]) -> None:
        if self.alive:
            name, life, head, content = message
            self.handle_event(HeadSeen(self.play.addresses[name], head))
            if content is not None:
                self.handle_event(MessageReceived(name, life, content))

    def handle_event(self, event: Event) -> None:
        for action in self.revisions.handle(self.net.now, event):
            if self.actions_left == 0:
                self.kill()
                return
            if self.actions_left is not None:
                self.actions_left -= 1
            self._carry(action)

    def _carry(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action.address, action.message)
        elif isinstance(action, WakeAt):
            self._due_ns = action.at_ns
            self.net.call_at(action.at_ns, self._wake, action.at_ns)
        elif isinstance(action, Store):
            self.disk = action.record
            self.play.judge.stored(self.address, action.record)
        elif isinstance(action, CheckBody):
            fault = self.play.find_body_fault(self, action.body)
            self.net.call_at(self.net.now + MS, self._later, BodyChecked(action.digest, fault))
        elif isinstance(action, Activate):
            number = action.revision.header.number
            self.active.append(number)
            self.play.activated.setdefault(self.at, []).append((self.net.now, number))
            self.play.judge.activated(self.name, self.active, action.revision.header)
        elif isinstance(action, Answer):
            self.play.judge.answered(action)
        elif isinstance(action, Hold | Resume):
            self.holds_decisions = isinstance(action, Hold)
        elif isinstance(action, Notify):
            self.play.judge.notices[action.notice] += 1

    def _send(self, address: str, content: Any) -> None:
        head = self.revisions.head(self.net.now)
        size = len(encode(Frame(VERSION, 1, self.name, self.life, 0, content, head)))
        self.net.send(self.address, address, (self.name, self.life, head, content), size)

    def _later(self, event: Event) -> None:
        self.net.on(self.address, self._feed_alive, event)

    def _feed_alive(self, event: Event) -> None:
        if self.alive:
            self.handle_event(event)

    def _wake(self, due: int) -> None:
        if self.alive and due == self._due_ns:
            self.net.on(self.address, self._tick, due)

    def _tick(self, due: int) -> None:
        if self.alive and due == self._due_ns:
            self.handle_event(Tick())

    def _ping(self) -> None:
        """What membership sends anyway, spread over the second."""
        if not self.alive:
            return
        if not self.paused:
            at = (self.at + self.play.random.choice((1, 2, 5, 11, 23, 47))) % self.play.count
            message = (self.name, self.life, self.revisions.head(self.net.now), None)
            self.net.send(self.address, get_address(at), message, 0)
        self.net.call_at(self.net.now + S // PINGED, self._ping)

    def kill(self) -> None:
        self.alive = False
        self.net.close(self.address, self.receive)


@dataclass(frozen=True, slots=True)
class Change:
    """What an operator asked of which life, and when."""

    at_ns: int
    host: Host
    body: bytes


class RevisionSimulation:
    """A fleet, operators' changes and faults."""

    def __init__(self, count: int, seed: int, faults: Faults, voters: int, body_bytes: int) -> None:
        self.count, self.seed, self.body_bytes = count, seed, body_bytes
        self.net = Net(seed, faults)
        self.random = self.net.random
        self.voters = tuple(get_address(at) for at in range(min(voters, count)))
        self.addresses = {f"s{at}": get_address(at) for at in range(count)}
        self.first_body = self.body(0)
        self.judge = Judge(self.voters)
        self.hosts: dict[int, Host] = {}
        self.changes: list[Change] = []
        self.disturbed: dict[int, list[tuple[int, int]]] = {}  # by slot: from when, until when
        self.activated: dict[int, list[tuple[int, int]]] = {}  # by slot: when, and which number
        self.sent: Counter[str] = Counter()
        self._sent_before = (0, 0)
        for at in range(count):
            self.start(at, None)

    def body(self, number: int) -> bytes:
        """Half of it compresses well."""
        filling = f"{self.random.getrandbits(4 * self.body_bytes):x}"
        return json.dumps({"change": number, "filling": filling}).encode()

    def find_body_fault(self, host: Host, body: bytes) -> str | None:
        return None

    def start(self, at: int, stored: Record | None) -> None:
        kept = decode_record(encode_record(stored)) if stored is not None else None
        self.hosts[at] = Host(self, at, self.net.now + at, kept)

    # --- what is done -----------------------------------------------------------------------------------

    def apply(self, at: int | None = None, on_current: bool = True) -> None:
        able = [each for each, host in self.hosts.items() if host.alive and not host.paused]
        host = self.hosts[self.random.choice(able) if at is None else at]
        number = len(self.changes)
        body = self.body(number + 1)
        self.changes.append(Change(self.net.now, host, body))
        parent = None if on_current else host.revisions.status(self.net.now).digest
        made_ms = self.net.now // MS
        host.handle_event(
            Apply(number, parent, f"operator at {host.name}", f"change {number}", made_ms, body)
        )

    def disturb(self, at: int, span_ns: int) -> None:
        self.disturbed.setdefault(at, []).append((self.net.now, self.net.now + span_ns))

    def pause(self, at: int, span_ns: int) -> None:
        host = self.hosts[at]
        if host.alive and not host.paused:
            self.disturb(at, span_ns)
            host.paused = True
            self.net.pause(host.address)
            self.net.call_at(self.net.now + span_ns, self._go_on, host)

    def _go_on(self, host: Host) -> None:
        host.paused = False
        if host.alive:
            self.net.go_on(host.address)

    def crash(self, at: int, span_ns: int, keep_disk: bool = True, actions_left: int = 0) -> None:
        """It is killed before its next action, or some actions later."""
        host = self.hosts[at]
        if host.alive and host.actions_left is None:
            self.disturb(at, span_ns)
            host.actions_left = actions_left
            self.net.call_at(self.net.now + span_ns, self._start_again, host, keep_disk)

    def _start_again(self, host: Host, keep_disk: bool) -> None:
        if host.alive:
            host.kill()
        self.start(host.at, host.disk if keep_disk else None)

    def cut(self, slots: set[int], span_ns: int, one_sided: bool = False) -> None:
        """These hear nobody else; unless it is one-sided nobody else hears them either."""
        inside = {get_address(at) for at in slots}
        voters_inside = len(inside & set(self.voters))
        outside = set(range(self.count)) - slots
        for at in outside if 2 * voters_inside > len(self.voters) else slots:
            self.disturb(at, span_ns)  # the side without a majority of the voters

        def is_cut(source: str, target: str) -> bool:
            return (target in inside) != (source in inside) and (target in inside or not one_sided)

        self.net.faults.cut = is_cut
        self.net.call_at(self.net.now + span_ns, self._heal, is_cut)

    def _heal(self, is_cut: Any) -> None:
        if self.net.faults.cut is is_cut:
            self.net.faults.cut = None

    # --- the verdict ------------------------------------------------------------------------------------

    def begin_count(self) -> None:
        self._sent_before = (self.net.sent_bytes, self.net.sent)
        send = self.net.send

        def counted(source: str, target: str, message: Any, size: int) -> None:
            self.sent[source] += size
            send(source, target, message, size)

        self.net.send = counted  # type: ignore[method-assign]
        self._begun_ns = self.net.now

    def close(self) -> RevisionVerdict:
        judge, seconds = self.judge, (self.net.now - self._begun_ns) / S
        last = max(judge.chosen, default=0)
        unanswered = sum(each.host.alive and at not in judge.outcomes for at, each in enumerate(self.changes))
        living = [host for host in self.hosts.values() if host.alive]
        outcomes = Counter(type(each).__name__ for each in judge.outcomes.values())
        verdict = RevisionVerdict(
            self.count, len(self.changes), dict(outcomes), judge.violations, unanswered,
            sum(not host.active or host.active[-1] != last for host in living),
        )  # fmt: skip
        for request, outcome in judge.outcomes.items():
            if isinstance(outcome, Applied):
                self._time_in_force(verdict, self.changes[request], outcome.header.number)
        verdict.bytes_per_s = (self.net.sent_bytes - self._sent_before[0]) / seconds / self.count
        verdict.messages_s = (self.net.sent - self._sent_before[1]) / seconds / self.count
        verdict.bytes_s_most = max(self.sent.values(), default=0) / seconds
        return verdict

    def _time_in_force(self, verdict: RevisionVerdict, change: Change, number: int) -> None:
        """On each scheduler, from when it and the proposer could both be reached."""
        moments = []
        for at, host in self.hosts.items():
            activated = self.activated.get(at, ())
            found = next((when for when, active in activated if active >= number), None)
            if found is not None and host.alive:
                begun = change.at_ns
                both = [*self.disturbed.get(at, ()), *self.disturbed.get(change.host.at, ())]
                for since, until in sorted(both):
                    if since <= begun + IN_FORCE_NS and until >= begun:
                        begun = until
                verdict.in_force_ns.append(max(0, found - begun))
                moments.append(found)
        if moments:
            verdict.first_ns.append(min(moments) - change.at_ns)


def simulate_changes(
    schedulers: int, seed: int, seconds: int = 60, rate: float = 1.0, loss: float = 0.1, calm: bool = False,
    burst: int = 10, body_bytes: int = 4000, voters: int = 3,
) -> RevisionVerdict:  # fmt: skip
    """Changes at a rate, pauses, a crash, cuts and, at the end, many changes within one second."""
    play = RevisionSimulation(
        schedulers, seed, Faults(loss=loss, delay_ns=(MS // 2, 20 * MS)), voters, body_bytes
    )
    net, random = play.net, play.random
    net.run(net.now + 6 * S)
    play.begin_count()
    begun, end = net.now, net.now + seconds * S

    def change() -> None:
        if net.now < end:
            play.apply(on_current=random.random() < 0.8)
            net.call_at(net.now + int(S / rate), change)

    def fault() -> None:
        if net.now < end - 10 * S:
            what, at = random.choice(("pause", "pause", "crash", "cut", "half")), random.randrange(schedulers)
            span = int(random.uniform(0.5, 6.0) * S)
            if what == "pause":
                play.pause(at, span)
            elif what == "crash":
                play.crash(at, span, keep_disk=at >= len(play.voters) or random.random() < 0.5)
            elif what == "cut":
                play.cut({at}, span, one_sided=random.random() < 0.5)
            else:
                play.cut(set(random.sample(range(schedulers), schedulers // 3)), span)
            net.call_at(net.now + span + int(random.uniform(1.0, 4.0) * S), fault)

    net.call_at(begun, change)
    if not calm:
        net.call_at(begun + 2 * S, fault)
    net.run(end + 6 * S)
    for at in range(burst):
        net.call_at(net.now + at * S // max(1, burst), play.apply)
    net.run(net.now + 8 * S)
    return play.close()
