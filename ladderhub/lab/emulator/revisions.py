"""Simulates revisions: one order everywhere, how soon a change is in force, and the cost in messages.

The judge uses what was stored, activated and answered and the faults injected, but not the schedulers' state.
Pings between neighbours on a ring, which carry heads, take the place of membership messages."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from ladderhub.lab.emulator.membership import get_address
from ladderhub.lab.emulator.net import MS, Faults, Net, S
from ladderhub.lab.emulator.revision_judge import IN_FORCE_LIMIT_NS, Judge, RevisionVerdict
from ladderhub.peers.wire import VERSION, Frame, encode
from ladderhub.revision import (
    Activate, Answer, Apply, BodyChecked, CheckBody, HeadSeen, Hold, MembersChanged, MessageReceived, Notify,
    Record, Resume, Revisions, RevisionSettings, Send, Store, Tick, WakeAt, decode_record, encode_record,
)  # fmt: skip
from ladderhub.revision.messages import Head
from ladderhub.revision.types import Action, Applied, Event

PINGS_PER_S = 7  # sent by each scheduler to neighbours on the ring


class Host:
    """One life of one scheduler."""

    def __init__(self, simulation: RevisionSimulation, index: int, life: int, stored: Record | None) -> None:
        self.simulation, self.net, self.index = simulation, simulation.net, index
        self.name, self.address, self.life = f"s{index}", get_address(index), life
        settings = RevisionSettings(self.name, life, self.address, simulation.voters, simulation.first_body)
        self.revisions = Revisions(settings, stored, simulation.seed)
        self.disk = stored
        self.alive, self.paused, self.holds_decisions = True, False, False
        self.actions_left: int | None = (
            None  # executed before the host is killed; None: it is not to be killed
        )
        self.active: list[int] = []  # numbers of the activated revisions, in order
        self._wake_at_ns = 0
        self.net.open(self.address, self.receive)
        self.handle_event(MembersChanged(simulation.addresses))
        self.handle_event(Tick())
        self.net.call_at(self.net.now + int(simulation.random.random() * S), self._ping)

    def receive(self, message: tuple[str, int, Head, Any]) -> None:
        """Handles a message and the head that it carries."""
        if self.alive:
            name, life, head, content = message
            self.handle_event(HeadSeen(self.simulation.addresses[name], head))
            if content is not None:
                self.handle_event(MessageReceived(name, life, content))

    def handle_event(self, event: Event) -> None:
        """Passes an event to the revision module and executes the actions, unless killed in between."""
        for action in self.revisions.handle(self.net.now, event):
            if self.actions_left == 0:
                self.kill()
                return
            if self.actions_left is not None:
                self.actions_left -= 1
            self._execute(action)

    def _execute(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action.address, action.message)
        elif isinstance(action, WakeAt):
            self._wake_at_ns = action.at_ns
            self.net.call_at(action.at_ns, self._on_wake, action.at_ns)
        elif isinstance(action, Store):
            self.disk = action.record
            self.simulation.judge.on_stored(self.address, action.record)
        elif isinstance(action, CheckBody):
            fault = self.simulation.find_body_fault(self, action.body)
            self.net.call_at(self.net.now + MS, self._handle_later, BodyChecked(action.digest, fault))
        elif isinstance(action, Activate):
            number = action.revision.header.number
            self.active.append(number)
            self.simulation.activated.setdefault(self.index, []).append((self.net.now, number))
            self.simulation.judge.on_activated(self.name, self.active, action.revision.header)
        elif isinstance(action, Answer):
            self.simulation.judge.on_answered(action)
        elif isinstance(action, Hold | Resume):
            self.holds_decisions = isinstance(action, Hold)
        elif isinstance(action, Notify):
            self.simulation.judge.notices[action.notice] += 1

    def _send(self, address: str, content: Any) -> None:
        head = self.revisions.head(self.net.now)
        size = len(encode(Frame(VERSION, 1, self.name, self.life, 0, content, head)))
        self.net.send(self.address, address, (self.name, self.life, head, content), size)

    def _handle_later(self, event: Event) -> None:
        self.net.call_on_host(self.address, self._handle_if_alive, event)

    def _handle_if_alive(self, event: Event) -> None:
        if self.alive:
            self.handle_event(event)

    def _on_wake(self, wake_at_ns: int) -> None:
        if self.alive and wake_at_ns == self._wake_at_ns:
            self.net.call_on_host(self.address, self._tick, wake_at_ns)

    def _tick(self, wake_at_ns: int) -> None:
        if self.alive and wake_at_ns == self._wake_at_ns:
            self.handle_event(Tick())

    def _ping(self) -> None:
        """Sends a ping in place of a membership message, and schedules the next."""
        if not self.alive:
            return
        if not self.paused:
            index = (
                self.index + self.simulation.random.choice((1, 2, 5, 11, 23, 47))
            ) % self.simulation.count
            message = (self.name, self.life, self.revisions.head(self.net.now), None)
            self.net.send(self.address, get_address(index), message, 0)
        self.net.call_at(self.net.now + S // PINGS_PER_S, self._ping)

    def kill(self) -> None:
        self.alive = False
        self.net.close(self.address, self.receive)


@dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator requested, the host that was asked, and when."""

    at_ns: int
    host: Host
    body: bytes


class RevisionSimulation:
    """A fleet of schedulers with operators' changes and injected faults."""

    def __init__(self, count: int, seed: int, faults: Faults, voters: int, body_bytes: int) -> None:
        self.count, self.seed, self.body_bytes = count, seed, body_bytes
        self.net = Net(seed, faults)
        self.random = self.net.random
        self.voters = tuple(get_address(index) for index in range(min(voters, count)))
        self.addresses = {f"s{index}": get_address(index) for index in range(count)}
        self.first_body = self.make_body(0)
        self.judge = Judge(self.voters)
        self.hosts: dict[int, Host] = {}
        self.changes: list[Change] = []
        self.disturbances: dict[int, list[tuple[int, int]]] = {}  # by index: start and end of each fault
        self.activated: dict[int, list[tuple[int, int]]] = {}  # by index: time and number of each activation
        self.bytes_sent: Counter[str] = Counter()
        self._sent_before = (0, 0)
        for index in range(count):
            self.start(index, None)

    def make_body(self, number: int) -> bytes:
        """Returns a body of random hex digits, which compress to half their size."""
        filling = f"{self.random.getrandbits(4 * self.body_bytes):x}"
        return json.dumps({"change": number, "filling": filling}).encode()

    def find_body_fault(self, host: Host, body: bytes) -> str | None:
        """Returns the fault that a host finds in a body, if any; tests override it."""
        return None

    def start(self, index: int, stored: Record | None) -> None:
        """Starts a new life of the scheduler with this index from a stored record."""
        record = decode_record(encode_record(stored)) if stored is not None else None
        self.hosts[index] = Host(self, index, self.net.now + index, record)

    # --- changes and faults -----------------------------------------------------------------------------

    def request_change(self, index: int | None = None, on_current: bool = True) -> None:
        """Requests a change at a scheduler, by default a random one that runs."""
        available = [each for each, host in self.hosts.items() if host.alive and not host.paused]
        host = self.hosts[self.random.choice(available) if index is None else index]
        number = len(self.changes)
        body = self.make_body(number + 1)
        self.changes.append(Change(self.net.now, host, body))
        parent = None if on_current else host.revisions.status(self.net.now).digest
        made_ms = self.net.now // MS
        host.handle_event(
            Apply(number, parent, f"operator at {host.name}", f"change {number}", made_ms, body)
        )

    def record_disturbance(self, index: int, span_ns: int) -> None:
        """Records that the scheduler is unreachable for a time, for the measured delays."""
        self.disturbances.setdefault(index, []).append((self.net.now, self.net.now + span_ns))

    def pause(self, index: int, span_ns: int) -> None:
        """Pauses a scheduler for a time."""
        host = self.hosts[index]
        if host.alive and not host.paused:
            self.record_disturbance(index, span_ns)
            host.paused = True
            self.net.pause(host.address)
            self.net.call_at(self.net.now + span_ns, self._resume, host)

    def _resume(self, host: Host) -> None:
        host.paused = False
        if host.alive:
            self.net.resume(host.address)

    def crash(self, index: int, span_ns: int, keep_disk: bool = True, actions_left: int = 0) -> None:
        """Kills a host before its next action or after some actions, and restarts it later."""
        host = self.hosts[index]
        if host.alive and host.actions_left is None:
            self.record_disturbance(index, span_ns)
            host.actions_left = actions_left
            self.net.call_at(self.net.now + span_ns, self._start_again, host, keep_disk)

    def _start_again(self, host: Host, keep_disk: bool) -> None:
        if host.alive:
            host.kill()
        self.start(host.index, host.disk if keep_disk else None)

    def cut(self, slots: set[int], span_ns: int, one_sided: bool = False) -> None:
        """Cuts these off from messages of the others and, unless `one_sided`, the others from theirs."""
        inside = {get_address(index) for index in slots}
        voters_inside = len(inside & set(self.voters))
        outside = set(range(self.count)) - slots
        for index in outside if 2 * voters_inside > len(self.voters) else slots:
            self.record_disturbance(index, span_ns)  # only the side without a majority of the voters

        def is_cut(source: str, target: str) -> bool:
            return (target in inside) != (source in inside) and (target in inside or not one_sided)

        self.net.faults.cut = is_cut
        self.net.call_at(self.net.now + span_ns, self._end_cut, is_cut)

    def _end_cut(self, is_cut: Any) -> None:
        if self.net.faults.cut is is_cut:
            self.net.faults.cut = None

    # --- the verdict ------------------------------------------------------------------------------------

    def start_traffic_count(self) -> None:
        """Starts to count the bytes and messages sent."""
        self._sent_before = (self.net.sent_bytes, self.net.sent)
        send = self.net.send

        def send_and_count(source: str, target: str, message: Any, size: int) -> None:
            self.bytes_sent[source] += size
            send(source, target, message, size)

        self.net.send = send_and_count  # type: ignore[method-assign]
        self._started_ns = self.net.now

    def build_verdict(self) -> RevisionVerdict:
        """Judges the simulation at its end."""
        judge, seconds = self.judge, (self.net.now - self._started_ns) / S
        last = max(judge.chosen, default=0)
        unanswered = sum(
            each.host.alive and index not in judge.outcomes for index, each in enumerate(self.changes)
        )
        living = [host for host in self.hosts.values() if host.alive]
        outcomes = Counter(type(each).__name__ for each in judge.outcomes.values())
        verdict = RevisionVerdict(
            self.count, len(self.changes), dict(outcomes), judge.violations, unanswered,
            sum(not host.active or host.active[-1] != last for host in living),
        )  # fmt: skip
        for request, outcome in judge.outcomes.items():
            if isinstance(outcome, Applied):
                self._measure_time_in_force(verdict, self.changes[request], outcome.header.number)
        verdict.bytes_per_s = (self.net.sent_bytes - self._sent_before[0]) / seconds / self.count
        verdict.messages_per_s = (self.net.sent - self._sent_before[1]) / seconds / self.count
        verdict.max_bytes_per_s = max(self.bytes_sent.values(), default=0) / seconds
        return verdict

    def _measure_time_in_force(self, verdict: RevisionVerdict, change: Change, number: int) -> None:
        """Adds the delay on each scheduler, counted from when it and the proposer were both reachable."""
        activation_times = []
        for index, host in self.hosts.items():
            activated = self.activated.get(index, ())
            found = next((when for when, active in activated if active >= number), None)
            if found is not None and host.alive:
                started_ns = change.at_ns
                both = [*self.disturbances.get(index, ()), *self.disturbances.get(change.host.index, ())]
                for since, until in sorted(both):
                    if since <= started_ns + IN_FORCE_LIMIT_NS and until >= started_ns:
                        started_ns = until
                verdict.in_force_ns.append(max(0, found - started_ns))
                activation_times.append(found)
        if activation_times:
            verdict.first_ns.append(min(activation_times) - change.at_ns)


def simulate_changes(
    schedulers: int, seed: int, seconds: int = 60, rate: float = 1.0, loss: float = 0.1, calm: bool = False,
    burst: int = 10, body_bytes: int = 4000, voters: int = 3,
) -> RevisionVerdict:  # fmt: skip
    """Simulates changes at a rate with pauses, crashes and cuts, and a burst within one second at the end."""
    simulation = RevisionSimulation(
        schedulers, seed, Faults(loss=loss, delay_ns=(MS // 2, 20 * MS)), voters, body_bytes
    )
    net, random = simulation.net, simulation.random
    net.run(net.now + 6 * S)
    simulation.start_traffic_count()
    started_ns, end = net.now, net.now + seconds * S

    def submit_change() -> None:
        if net.now < end:
            simulation.request_change(on_current=random.random() < 0.8)
            net.call_at(net.now + int(S / rate), submit_change)

    def inject_fault() -> None:
        if net.now < end - 10 * S:
            what, index = (
                random.choice(("pause", "pause", "crash", "cut", "half")),
                random.randrange(schedulers),
            )
            span = int(random.uniform(0.5, 6.0) * S)
            if what == "pause":
                simulation.pause(index, span)
            elif what == "crash":
                simulation.crash(
                    index, span, keep_disk=index >= len(simulation.voters) or random.random() < 0.5
                )
            elif what == "cut":
                simulation.cut({index}, span, one_sided=random.random() < 0.5)
            else:
                simulation.cut(set(random.sample(range(schedulers), schedulers // 3)), span)
            net.call_at(net.now + span + int(random.uniform(1.0, 4.0) * S), inject_fault)

    net.call_at(started_ns, submit_change)
    if not calm:
        net.call_at(started_ns + 2 * S, inject_fault)
    net.run(end + 6 * S)
    for index in range(burst):
        net.call_at(net.now + index * S // max(1, burst), simulation.request_change)
    net.run(net.now + 8 * S)
    return simulation.build_verdict()
