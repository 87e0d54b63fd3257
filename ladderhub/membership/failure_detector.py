"""Failure detector: records when each monitored member was last heard and which proxies could not reach it.

A single observer never declares a member gone on its own evidence.  Besides its own unanswered pings it
needs recent nacks from several proxies, over a time longer than ordinary pauses and bursts of packet loss.
A member that any proxy reaches stays alive: a path to it exists, so messages can reach it."""

from __future__ import annotations

from collections.abc import Container

from ladderhub.membership.rings import RINGS, MemberId

TICKS_PER_PERIOD = RINGS  # the rings assign RINGS members: one ping per tick
INDIRECT_PROBE_PERIODS = 2.2  # silence before proxies are asked: covers two pings and late answers
SUSPECT_PERIODS = 3.0
GONE_PERIODS = 7.0  # twice the pause that a member may make without being declared gone
ISOLATED_PERIODS = 20.0  # silence of all monitored members after which no nacks are needed
REQUIRED_NACKS = 3
NACK_LIFETIME_PERIODS = 2.5
MIN_PROXIES = 3  # asked per round
PROXIES_PER_PERIOD = 6  # additional proxies for each further period of silence
MAX_PROXIES = 12
ADOPTED_SILENT_PERIODS = 3.5  # silence assumed at adoption: others had found it silent already
MAX_ADOPTED = 64


class MonitoredMember:
    """What an observer knows about one member that it monitors."""

    __slots__ = ("acked", "adopted", "heard_ns", "nacks", "proxies_asked", "suspected")

    def __init__(self, heard_ns: int, adopted: bool = False) -> None:
        self.heard_ns = heard_ns  # last time that we or a proxy heard it
        self.adopted = adopted  # found silent by a sweep rather than assigned by the rings
        self.nacks: dict[MemberId, int] = {}  # proxies that have not reached it since then, and when
        self.proxies_asked: list[MemberId] = []  # since then, in order
        self.acked = False  # whether it has answered since the last reset
        self.suspected = False


class FailureDetector:
    """Tracks how long the monitored members have been silent: those assigned by the rings and adopted ones.

    A member is adopted when a sweep over all members finds it silent.  It is then monitored in addition to
    the assigned members until it is heard or declared gone."""

    def __init__(self, period_ns: int) -> None:
        self.period = period_ns
        self.monitored: dict[MemberId, MonitoredMember] = {}
        self._batch = 0

    def set_subjects(self, now: int, subjects: list[MemberId], alive: Container[MemberId]) -> None:
        """Monitor these and the adopted members that are alive; keep the state of those already monitored."""
        before = self.monitored
        assigned = {member: before.get(member) or MonitoredMember(now) for member in subjects}
        for subject in assigned.values():
            subject.adopted = False
        adopted = {
            member: subject for member, subject in before.items() if subject.adopted and member in alive
        }
        self.monitored = adopted | assigned

    def adopt(self, member: MemberId, probed_ns: int) -> None:
        """Also monitor a member that did not answer a sweep."""
        adopted_count = sum(subject.adopted for subject in self.monitored.values())
        if member not in self.monitored and adopted_count < MAX_ADOPTED:
            heard_ns = probed_ns - round(ADOPTED_SILENT_PERIODS * self.period)
            self.monitored[member] = MonitoredMember(heard_ns, adopted=True)

    def take_next_batch(self) -> list[MemberId]:
        """The members to ping at this tick: each member once per period."""
        self._batch = (self._batch + 1) % TICKS_PER_PERIOD
        return list(self.monitored)[self._batch :: TICKS_PER_PERIOD]

    def has_many_suspected(self) -> bool:
        """Whether a third of the assigned members, and at least two, are suspected.

        Packet loss alone does not cause that."""
        assigned = [subject for subject in self.monitored.values() if not subject.adopted]
        suspected = sum(subject.suspected for subject in assigned)
        return suspected >= 2 and 3 * suspected >= len(assigned)

    def record_heard(self, member: MemberId, now: int, age_ns: int = 0) -> bool:
        """Record that a member was heard `age_ns` ago; return whether this clears a suspicion."""
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
        """Record that a proxy could not reach the member."""
        subject = self.monitored.get(member)
        if subject is not None:
            subject.nacks[proxy] = now

    def count_silent_periods(self, member: MemberId, now: int) -> float:
        """Periods since the member was last heard."""
        return (now - self.monitored[member].heard_ns) / self.period

    def _is_silent(self, member: MemberId, now: int) -> bool:
        return self.count_silent_periods(member, now) >= GONE_PERIODS

    def count_fresh_nacks(self, member: MemberId, now: int) -> int:
        """Number of proxies that recently failed to reach the member."""
        oldest = now - round(NACK_LIFETIME_PERIODS * self.period)
        return sum(nacked_ns >= oldest for nacked_ns in self.monitored[member].nacks.values())

    def has_enough_nacks(self, member: MemberId, now: int, others: int) -> bool:
        """Whether enough proxies confirm the silence.  `others`: number of members besides it and us.

        Silent members cannot act as proxies; without any available proxy there is no verdict."""
        silent = sum(self._is_silent(each, now) for each in self.monitored if each != member)
        able = others - silent
        return able > 0 and self.count_fresh_nacks(member, now) >= min(REQUIRED_NACKS, able)

    def extend_deadlines(self, late_ns: int) -> None:
        """Exclude the delay of a late tick of ours from the silence of all members."""
        for subject in self.monitored.values():
            subject.heard_ns += late_ns

    def reset(self, now: int) -> None:
        """Discard all silence from before a pause of this process."""
        for subject in self.monitored.values():
            subject.heard_ns = now
            subject.nacks.clear()
            subject.proxies_asked.clear()
            subject.acked = False

    def is_isolated(self, now: int) -> bool:
        """Whether all monitored members have been silent for GONE_PERIODS."""
        return bool(self.monitored) and all(self._is_silent(each, now) for each in self.monitored)
