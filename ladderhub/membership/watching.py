"""Watching: signs of life of the members next to us on the rings, and what witnesses say of them.

No member is said to be gone by one observer's word: besides its own unanswered pings an observer needs fresh
words of witnesses that could not reach it either, for a span that outlasts pauses and bursts of loss.  One
witness that reaches it keeps it in: a way to it exists, and messages find it."""

from __future__ import annotations

from collections.abc import Container

from ladderhub.membership.rings import RINGS, Id

TICKS = RINGS  # looks in a period: one ping each
QUIET_PERIODS = 2.2  # from then on witnesses are asked: two pings and late answers fit into it
SUSPECT_PERIODS = 3.0
GONE_PERIODS = 7.0  # twice the pause that a member may make without being told gone
ALONE_PERIODS = 20.0  # after which one that hears nobody goes by its own eyes
WITNESSES = 3
SEEKS, SEEKS_MORE, SEEKS_MOST = 3, 6, 12  # witnesses asked in a round, more with each period of quiet
WITNESS_PERIODS = 2.5  # for so long a witness's word is fresh
ADOPTED_PERIODS = 3.5  # of quiet that one has behind it when it is adopted: others were silent before it
ADOPTED_MOST = 64  # watched beside those of the rings while many go at once


class Watch:
    """One member that we watch."""

    __slots__ = ("adopted", "answered", "asked", "heard_ns", "missed", "suspected")

    def __init__(self, heard_ns: int, adopted: bool = False) -> None:
        self.heard_ns = heard_ns  # its last sign of life to us or to a witness
        self.adopted = adopted  # found silent while looking around, not given by the rings
        self.missed: dict[Id, int] = {}  # witnesses that did not reach it, since then, and when
        self.asked: list[Id] = []  # witnesses asked since then, in turn
        self.answered = False  # it has answered since we woke
        self.suspected = False


class Watching:
    """All watches, in turn."""

    def __init__(self, period_ns: int) -> None:
        self.period = period_ns
        self.watches: dict[Id, Watch] = {}
        self._turn = 0

    def settle(self, now: int, subjects: list[Id], known: Container[Id]) -> None:
        """Watch these, and adopted ones that are in; what is known of those that stay is kept."""
        before = self.watches
        self.watches = {member: before.get(member) or Watch(now) for member in subjects}
        for watch in self.watches.values():
            watch.adopted = False
        adopted = {each: watch for each, watch in before.items() if watch.adopted and each in known}
        self.watches = adopted | self.watches

    def adopt(self, member: Id, asked_ns: int) -> None:
        """It was silent when we looked around: watch it too until it is heard or gone."""
        adopted = sum(watch.adopted for watch in self.watches.values())
        if member not in self.watches and adopted < ADOPTED_MOST:
            self.watches[member] = Watch(asked_ns - round(ADOPTED_PERIODS * self.period), adopted=True)

    def due(self) -> list[Id]:
        """Whose turn it is to be pinged: each once in a period."""
        self._turn = (self._turn + 1) % TICKS
        return list(self.watches)[self._turn :: TICKS]

    def many_suspected(self) -> bool:
        """Are a third of those on our rings, two at least, suspected at once?  Loss alone does not do it."""
        ringed = [watch for watch in self.watches.values() if not watch.adopted]
        suspected = sum(watch.suspected for watch in ringed)
        return suspected >= 2 and 3 * suspected >= len(ringed)

    def heard(self, member: Id, now: int, age_ns: int = 0) -> bool:
        """A sign of life so long ago; True where that clears a suspicion."""
        watch = self.watches.get(member)
        if watch is None or now - age_ns <= watch.heard_ns:
            return False
        watch.heard_ns = now - age_ns
        watch.missed.clear()
        watch.asked.clear()
        watch.answered = watch.answered or age_ns == 0
        cleared, watch.suspected = watch.suspected, False
        if watch.adopted:
            del self.watches[member]
        return cleared

    def missed(self, member: Id, witness: Id, now: int) -> None:
        watch = self.watches.get(member)
        if watch is not None:
            watch.missed[witness] = now

    def quiet(self, member: Id, now: int) -> float:
        """Periods since the last sign of life."""
        return (now - self.watches[member].heard_ns) / self.period

    def witnesses(self, member: Id, now: int) -> int:
        """How many lately did not reach it either."""
        fresh = now - round(WITNESS_PERIODS * self.period)
        return sum(at >= fresh for at in self.watches[member].missed.values())

    def enough(self, member: Id, now: int, others: int) -> bool:
        """Do enough others miss it?  `others`: members besides it and us.  Those that are silent themselves
        can't say; with nobody left to ask there is no verdict."""
        silent = sum(self.quiet(each, now) >= GONE_PERIODS for each in self.watches if each != member)
        able = others - silent
        return able > 0 and self.witnesses(member, now) >= min(WITNESSES, able)

    def shift(self, late_ns: int) -> None:
        """We were late ourselves: that is nobody's silence."""
        for watch in self.watches.values():
            watch.heard_ns += late_ns

    def woke(self, now: int) -> None:
        """After a pause of ours nothing is held against anybody."""
        for watch in self.watches.values():
            watch.heard_ns = now
            watch.missed.clear()
            watch.asked.clear()
            watch.answered = False

    def alone(self, now: int) -> bool:
        """None of those we watch has been heard for long."""
        return bool(self.watches) and all(self.quiet(each, now) >= GONE_PERIODS for each in self.watches)
