"""Looking after those we watch: pings, witnesses, suspicion and verdicts; and witnessing for others."""

from __future__ import annotations

from msgspec.structs import replace

from ladderhub.membership import watching as w
from ladderhub.membership.desk import Desk
from ladderhub.membership.entries import Entries
from ladderhub.membership.messages import Entry, Found, Missed, Seek, Status
from ladderhub.membership.rings import Id
from ladderhub.membership.table import id_of, is_in
from ladderhub.membership.types import Change, Heard

SWEEPS = 6  # members looked at beside the watches at a look, while many are suspected
FRESH_PERIODS = 3  # one that spoke to us since then is asked first
CHOOSE_FROM = 64  # others that come into question as witnesses, beside the observers


class Looking:
    """Carries the watches through time."""

    def __init__(self, desk: Desk, entries: Entries) -> None:
        self.desk, self.entries = desk, entries
        self.watching = w.Watching(desk.period)
        self._settled = -1
        self._sweep: list[Id] = []
        self._swept_ns = 0

    def look(self, now: int) -> None:
        """One of the looks of a period."""
        table = self.desk.table
        if self._settled != self.entries.changes:
            self._settled = self.entries.changes
            self.watching.settle(now, table.rings.subjects(self.desk.my_id), table.rings)
        for member in self.watching.due():
            self._look_at(now, member, table.entries[member])
        if not self._sweep and now >= self._swept_ns + self.desk.period and self.watching.many_suspected():
            self._swept_ns, since = now, now - self.desk.period
            silent = [each for each in self.desk.others() if not self.desk.spoke_since(each, since)]
            self._sweep = self.desk.random.sample(silent, min(w.ADOPTED_MOST, len(silent)))
        for member in [self._sweep.pop() for _ in range(min(SWEEPS, len(self._sweep)))]:
            self._look_around(now, member)
        for member in list(self.watching.watches):
            if self.watching.quiet(member, now) >= w.SUSPECT_PERIODS:
                self._judge(now, member)

    def _look_at(self, now: int, member: Id, entry: Entry) -> None:
        """Ping it, and where it has been quiet ask witnesses."""
        quiet = self.watching.quiet(member, now)
        silent, new = quiet >= w.QUIET_PERIODS, not self.desk.answered
        self.desk.ask(now, entry, lambda at, heard: self._answered(at, entry, heard), own=new, vain=silent)
        if not silent:
            return
        watch = self.watching.watches[member]
        wanted = min(w.SEEKS_MOST, round(w.SEEKS + w.SEEKS_MORE * (quiet - w.QUIET_PERIODS)))
        for witness in self._witnesses(now, member, watch, wanted):
            watch.asked.append(witness)
            self.desk.say(self.desk.address(witness), Seek(self.desk.number(), entry))

    def _answered(self, now: int, entry: Entry, heard: Heard | None) -> None:
        if heard is not None and (heard.name, heard.life) != id_of(entry):
            self.entries.replaced(now, id_of(entry), heard)

    def _witnesses(self, now: int, member: Id, watch: w.Watch, wanted: int) -> list[Id]:
        """Whom to ask: its other observers first, then any; those heard of late first, each in turn."""
        since = now - FRESH_PERIODS * self.desk.period
        first = [each for each in self.desk.table.rings.observers(member) if each != self.desk.my_id]
        apart = {member, *first}
        rest = [each for each in self.desk.others() if each not in apart]
        self.desk.random.shuffle(rest)
        order = sorted([*first, *rest[:CHOOSE_FROM]], key=lambda each: not self.desk.spoke_since(each, since))
        left = [each for each in order if each not in watch.asked]
        if len(left) < wanted:
            watch.asked.clear()
            left = order
        return left[:wanted]

    def _look_around(self, now: int, member: Id) -> None:
        """Many are silent at once, perhaps all who watch this one too."""
        entry = self.desk.table.get(member)
        if entry is None or not is_in(entry):
            return

        def answer(at: int, heard: Heard | None) -> None:
            if heard is None and member in self.desk.table.rings and not self.desk.spoke_since(member, now):
                self.watching.adopt(member, now)

        self.desk.ask(now, entry, answer, vain=True)

    def _judge(self, now: int, member: Id) -> None:
        entry, watch = self.desk.table.entries[member], self.watching.watches[member]
        quiet = self.watching.quiet(member, now)
        if self.watching.enough(member, now, self.desk.count() - 2):
            others = self.watching.witnesses(member, now)
            cause = f"no answer to us and {others} others for {quiet:.1f} periods"
            if quiet >= w.GONE_PERIODS:
                self.entries.take(now, replace(entry, status=Status.GONE), cause)
            elif not watch.suspected:
                watch.suspected = True
                self.desk.tell(Change.SUSPECTED, entry, cause)
        elif quiet >= w.ALONE_PERIODS and self.watching.alone(now):
            # By our own eyes alone: for our view, and no news for others.
            self.entries.change(now, replace(entry, status=Status.GONE), "we hear nobody", news=False)

    def is_doubtful(self, now: int, entry: Entry) -> bool:
        """Does it say that one is gone whom we have in and do not miss ourselves?"""
        known = self.desk.table.get(id_of(entry))
        if known is None or entry.status is not Status.GONE or not is_in(known):
            return False
        watched = id_of(entry) in self.watching.watches
        missed = watched and self.watching.quiet(id_of(entry), now) >= w.SUSPECT_PERIODS
        return not missed and entry.name != self.desk.me.name

    # --- signs of life ----------------------------------------------------------------------------------

    def heard(self, now: int, entry: Entry) -> None:
        self.desk.recent[id_of(entry)] = now
        if self.watching.heard(id_of(entry), now):
            self.desk.tell(Change.CLEARED, entry, "heard again")

    def on_seek(self, now: int, address: str, seek: Seek) -> None:
        """Be a witness: say when we heard it, or try."""
        desk, target, number = self.desk, seek.target, seek.number
        if target.name == desk.me.name:
            return
        age = now - desk.recent.get(id_of(target), -desk.period)
        if age < desk.period:
            desk.say(address, Found(number, target.name, target.life, age // 1_000_000))
            return

        def answer(at: int, heard: Heard | None) -> None:
            if heard is not None and (heard.name, heard.life) == id_of(target):
                desk.say(address, Found(number, target.name, target.life, 0))
            else:
                desk.say(address, Missed(number, target.name, target.life))

        desk.ask(now, target, answer, vain=True)

    def on_found(self, now: int, witness: str, found: Found) -> None:
        target = self.desk.table.get((found.name, found.life))
        if target is not None and self.watching.heard(id_of(target), now, found.age_ms * 1_000_000):
            self.desk.tell(Change.CLEARED, target, f"{witness} reaches it")
