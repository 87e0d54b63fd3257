"""Failure detector: when each monitored member was last heard, and which proxies could not reach it.

No member is declared gone by one observer alone.  Besides its own unanswered pings an observer needs fresh
nacks of several proxies, over a time that outlasts pauses and bursts of loss.  One proxy that reaches the
member keeps it alive: a path to it exists, and messages find it."""

from __future__ import annotations

from collections.abc import Container

from ladderhub.membership.rings import RINGS, MemberId

TICKS_PER_PERIOD = RINGS  # one ping each
INDIRECT_PROBE_PERIODS = 2.2  # silence from which proxies are asked: two pings and late answers fit into it
SUSPECT_PERIODS = 3.0
GONE_PERIODS = 7.0  # twice the pause that a member may make without being declared gone
ISOLATED_PERIODS = 20.0  # after which one that hears nobody needs no nacks
REQUIRED_NACKS = 3
NACK_LIFETIME_PERIODS = 2.5
MIN_PROXIES = 3  # asked in a round
PROXIES_PER_PERIOD = 6  # more with each period of silence
MAX_PROXIES = 12
ADOPTED_SILENT_PERIODS = 3.5  # counted for a member when it is adopted: others found it silent before
MAX_ADOPTED = 64


class MonitoredMember:
    """What an observer knows of one member that it monitors."""

    __slots__ = ("acked", "adopted", "heard_ns", "nacks", "proxies_asked", "suspected")

    def __init__(self, heard_ns: int, adopted: bool = False) -> None:
        self.heard_ns = heard_ns  # its last sign of life to us or to a proxy
        self.adopted = adopted  # found silent by a sweep, not assigned by the rings
        self.nacks: dict[MemberId, int] = {}  # proxies that did not reach it since then, and when
        self.proxies_asked: list[MemberId] = []  # since then, in order
        self.acked = False  # it has answered since the last reset
        self.suspected = False


class FailureDetector:
    """Judges silence: of the members that the rings assign, and of adopted ones.

    A member is adopted when a sweep over the fleet finds it silent; it is then monitored beside the others
    until it is heard or gone."""

    def __init__(self, period_ns: int) -> None:
        self.period = period_ns
        self.monitored: dict[MemberId, MonitoredMember] = {}
        self._batch = 0

    def set_subjects(self, now: int, subjects: list[MemberId], alive: Container[MemberId]) -> None:
        """Monitor these, and adopted ones that are alive; what is known of those that stay is kept."""
        before = self.monitored
        assigned = {member: before.get(member) or MonitoredMember(now) for member in subjects}
        for subject in assigned.values():
            subject.adopted = False
        adopted = {
            member: subject for member, subject in before.items() if subject.adopted and member in alive
        }
        self.monitored = adopted | assigned

    def adopt(self, member: MemberId, probed_ns: int) -> None:
        """It did not answer a sweep: monitor it too."""
        adopted_count = sum(subject.adopted for subject in self.monitored.values())
        if member not in self.monitored and adopted_count < MAX_ADOPTED:
            heard_ns = probed_ns - round(ADOPTED_SILENT_PERIODS * self.period)
            self.monitored[member] = MonitoredMember(heard_ns, adopted=True)

    def next_batch(self) -> list[MemberId]:
        """Who is to be pinged at this tick: each member once in a period."""
        self._batch = (self._batch + 1) % TICKS_PER_PERIOD
        return list(self.monitored)[self._batch :: TICKS_PER_PERIOD]

    def many_suspected(self) -> bool:
        """Are a third of the assigned members, and at least two, suspected?  Loss alone never does that."""
        assigned = [subject for subject in self.monitored.values() if not subject.adopted]
        suspected = sum(subject.suspected for subject in assigned)
        return suspected >= 2 and 3 * suspected >= len(assigned)

    def record_heard(self, member: MemberId, now: int, age_ns: int = 0) -> bool:
        """A sign of life so long ago; True where that clears a suspicion."""
        subject = self.monitored.get(member)
        if subject is None or now - age_ns <= subject.heard_ns:
            return False
        subject.heard_ns = now - age_ns
        subject.nacks.clear()
        subject.proxies_asked.clear()
        subject.acked = subject.acked or age_ns == 0
        cleared, subject.suspected = subject.suspected, False
        if subject.adopted:
            del self.monitored[member]
        return cleared

    def record_nack(self, member: MemberId, proxy: MemberId, now: int) -> None:
        subject = self.monitored.get(member)
        if subject is not None:
            subject.nacks[proxy] = now

    def silent_periods(self, member: MemberId, now: int) -> float:
        """Periods since the last sign of life."""
        return (now - self.monitored[member].heard_ns) / self.period

    def _is_silent(self, member: MemberId, now: int) -> bool:
        return self.silent_periods(member, now) >= GONE_PERIODS

    def fresh_nacks(self, member: MemberId, now: int) -> int:
        """How many proxies lately did not reach it."""
        oldest = now - round(NACK_LIFETIME_PERIODS * self.period)
        return sum(nacked_ns >= oldest for nacked_ns in self.monitored[member].nacks.values())

    def has_enough_nacks(self, member: MemberId, now: int, others: int) -> bool:
        """Do enough proxies confirm the silence?  `others`: members besides it and us.  Those that are silent
        themselves can't answer; with nobody left to ask there is no verdict."""
        silent = sum(self._is_silent(each, now) for each in self.monitored if each != member)
        able = others - silent
        return able > 0 and self.fresh_nacks(member, now) >= min(REQUIRED_NACKS, able)

    def extend_deadlines(self, late_ns: int) -> None:
        """Our own tick came late: that counts as nobody's silence."""
        for subject in self.monitored.values():
            subject.heard_ns += late_ns

    def reset(self, now: int) -> None:
        """After a pause of ours no silence from before it counts."""
        for subject in self.monitored.values():
            subject.heard_ns = now
            subject.nacks.clear()
            subject.proxies_asked.clear()
            subject.acked = False

    def is_isolated(self, now: int) -> bool:
        """None of the monitored members has been heard for long."""
        return bool(self.monitored) and all(self._is_silent(each, now) for each in self.monitored)
