"""Runs many hollow schedulers in one process: they act as peers of real ones, without jobs and nodes.

`python -m ladderhub.lab.scale.hollow_schedulers PLAN OUT` starts the members of PLAN, each with the decision
modules of a real scheduler (membership, leases, revisions of the configuration), the real executors and its
own datagram socket on loopback.  None is a voter.  On SIGTERM they leave the group, and their counters are
written to OUT.
"""

from __future__ import annotations

import gc
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ladderhub.dispatcher import EventDispatcher
from ladderhub.lab.ports import free_port
from ladderhub.lab.scale.children import raise_descriptor_limit
from ladderhub.lab.scale.measure import Counters, collect_counters
from ladderhub.loop import Loop
from ladderhub.membership import LeaseHolder, LeaseSettings, MemberSettings, MembershipView
from ladderhub.membership.types import MembershipSummary, Stop
from ladderhub.peers.revisions import RevisionExecutor
from ladderhub.peers.transport import PeerError, PeerTransport
from ladderhub.revision import Notice, Record, Revision, Revisions, RevisionSettings
from ladderhub.revision.types import Outcome
from ladderhub.server.settings import parse_duration_ns
from ladderhub.usage.traffic import Traffic

HOST = "127.0.0.1"
PORT_TRIES = 20  # another process may bind a port after it was chosen
STARTS_PER_PERIOD = 100  # number of members that join in one period
NO_POLICY = b"{}"  # stands for the policy of a settings file; only voters propose theirs


class HollowPlan(msgspec.Struct):
    """The hollow schedulers of one process.

    `slots` is the number of slots of the cold budget.  `period`, `lease` and `cold_window` are strings such
    as `8s`."""

    cluster: str
    seeds: list[str]
    electors: list[str]
    count: int
    period: str
    lease: str
    slots: int
    seed: int
    cold_window: str = "2s"
    prefix: str = "hollow"


class MembersSeen(msgspec.Struct):
    """The numbers of members in the views of the hollow schedulers at the end."""

    least: int
    mean: float
    most: int


class HollowResult(msgspec.Struct):
    """The result of a process of hollow schedulers.

    `counted` is the sum over all of them since the start, `member_mean` the mean per member."""

    count: int
    seconds: float
    members_seen: MembersSeen
    leases_held: int
    revision_least: int
    datagrams_unsent: int
    troubles: int
    counted: Counters
    member_mean: Counters


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, life, address and random seed of a hollow scheduler."""

    name: str
    life: int
    address: tuple[str, int]
    seed: int

    @property
    def advertise(self) -> str:
        """The address as `host:port`."""
        return "{}:{}".format(*self.address)


class RevisionFollower:
    """Accepts each revision that the voters choose and records its number; it has no settings to change."""

    def __init__(self) -> None:
        self.active = 0

    def store(self, record: Record) -> None:
        """Do nothing: a hollow scheduler has only one life."""

    def check_body(self, body: bytes) -> str | None:
        """Accept every policy."""
        return None

    def activate(self, revision: Revision) -> None:
        """Record the number of the active revision."""
        self.active = revision.header.number

    def answer(self, request: int, outcome: Outcome) -> None:
        """Do nothing: a hollow scheduler gets no requests."""

    def hold(self, reason: str) -> None:
        """Do nothing: a hollow scheduler has no jobs."""

    def resume(self) -> None:
        """Do nothing: a hollow scheduler has no jobs."""

    def notify(self, notice: Notice, text: str) -> None:
        """Do nothing: a hollow scheduler has no log."""


class HollowScheduler:
    """One member with its decision modules, assembled as in `server.peers` and `server.revisions`."""

    def __init__(self, loop: Loop, plan: HollowPlan, identity: Identity, traffic: Traffic) -> None:
        self._loop, self._plan, self._identity = loop, plan, identity
        self.troubles = 0
        member = MemberSettings(
            identity.name, identity.life, identity.advertise, tuple(plan.seeds), (),
            parse_duration_ns(plan.period, "period"),
        )  # fmt: skip
        self.view = MembershipView(member, identity.seed)
        self.transport = PeerTransport(
            loop, identity.address, plan.cluster, self.view, lambda change: None, lambda row: None, traffic
        )
        self._dispatcher = EventDispatcher(loop.now_ns, self._on_fault)
        self.leases = LeaseHolder(self._lease_settings(), identity.seed, loop.now_ns())
        self._tell_leases = self._dispatcher.register(self.leases, self.transport)
        self.follower = RevisionFollower()

    def _lease_settings(self) -> LeaseSettings:
        plan, identity = self._plan, self._identity
        return LeaseSettings(
            name=identity.name, life=identity.life, address=identity.advertise, slots=plan.slots,
            voters=tuple(plan.electors), lease_ns=parse_duration_ns(plan.lease, "lease"),
            window_ns=parse_duration_ns(plan.cold_window, "cold_window"),
        )  # fmt: skip

    def start(self) -> None:
        """Join the group."""
        self.transport.tell_leases = self._tell_leases
        self.transport.on_tick = self._on_tick
        self.transport.join(self._dispatcher.register(self.view, self.transport))
        self._start_revisions()

    def _start_revisions(self) -> None:
        identity, plan = self._identity, self._plan
        settings = RevisionSettings(
            identity.name, identity.life, identity.advertise, tuple(plan.electors), NO_POLICY
        )
        revisions = Revisions(settings, None, identity.seed)
        self._revision_executor = RevisionExecutor(self.transport, revisions, self.follower)
        self._revision_executor.join(self._dispatcher.register(revisions, self._revision_executor))

    def _on_tick(self) -> None:
        names = sorted(entry.name for entry in self.view.members())
        confirmed = self.view.confirmed and self.view.yielded_to is None
        self._tell_leases(MembershipSummary(len(names), names.index(self._identity.name), confirmed))

    def _on_fault(self, event: object, error: Exception) -> None:
        self.troubles += 1
        print(f"{self._identity.name}: {event!r}: {error!r}", file=sys.stderr, flush=True)

    def leave(self) -> None:
        """Release held leases and leave the group."""
        self._revision_executor.close()
        self._tell_leases(Stop())
        self.transport.leave()


class HollowFleet:
    """All hollow schedulers of this process."""

    def __init__(self, loop: Loop, plan: HollowPlan) -> None:
        self._loop, self._plan = loop, plan
        self.traffic = Traffic()
        self.members: list[HollowScheduler] = []
        self._started_ns = loop.now_ns()

    def start(self) -> None:
        """Start the members one after another, `STARTS_PER_PERIOD` in a period."""
        step_ns = parse_duration_ns(self._plan.period, "period") // STARTS_PER_PERIOD
        for index in range(self._plan.count):
            self._loop.call_later(index * step_ns, self._start_member, index)

    def _start_member(self, index: int) -> None:
        member = self._make_member(f"{self._plan.prefix}{index:04d}", self._plan.seed + index)
        self.members.append(member)
        member.start()

    def _make_member(self, name: str, seed: int) -> HollowScheduler:
        for _ in range(PORT_TRIES):
            identity = Identity(name, time.time_ns(), (HOST, free_port()), seed)
            try:
                return HollowScheduler(self._loop, self._plan, identity, self.traffic)
            except PeerError as error:
                last_error = error
        raise last_error

    def result(self) -> HollowResult:
        """Return the result of all members up to now."""
        now = self._loop.now_ns()
        seen = [len(member.view.members()) for member in self.members] or [0]
        counted = collect_counters(time.process_time(), self.traffic)
        return HollowResult(
            count=len(self.members),
            seconds=(now - self._started_ns) / 1e9,
            members_seen=MembersSeen(min(seen), sum(seen) / len(seen), max(seen)),
            leases_held=sum(len(member.leases.get_held_slots(now)) for member in self.members),
            revision_least=min((member.follower.active for member in self.members), default=0),
            datagrams_unsent=sum(member.transport.datagrams.unsent for member in self.members),
            troubles=sum(member.troubles for member in self.members),
            counted=counted,
            member_mean=counted.divide(max(1, len(self.members))),
        )

    def leave(self) -> None:
        """Have all members leave the group."""
        for member in self.members:
            member.leave()


def main() -> None:
    """Run the hollow schedulers until SIGTERM."""
    plan: HollowPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HollowPlan)
    raise_descriptor_limit()
    loop = Loop(trouble=lambda where, error: print(f"{where}: {error!r}", file=sys.stderr, flush=True))
    fleet = HollowFleet(loop, plan)
    fleet.start()
    gc.collect()
    gc.freeze()
    loop.on_signal(signal.SIGTERM, loop.stop)
    loop.on_signal(signal.SIGINT, loop.stop)
    loop.run()
    result = fleet.result()
    fleet.leave()
    Path(sys.argv[2]).write_bytes(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
