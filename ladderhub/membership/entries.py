"""What becomes of an entry that is told: merged, doubted, contested for its name or address, or about us."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from ladderhub.membership.desk import Desk
from ladderhub.membership.messages import Entry, Part, Status, Taken
from ladderhub.membership.rings import Id
from ladderhub.membership.table import id_of, is_in, overrides
from ladderhub.membership.types import Change, Heard

DOUBT_PERIODS = 3.0  # word that one whom we hear is gone waits so long for its contradiction


class Entries:
    """Every change of the view, and the settling of names and addresses.  One name, one member; one address,
    one process: who answers at an address is who lives there, whatever clocks and old messages say."""

    def __init__(self, desk: Desk, announce: Callable[[], None]) -> None:
        self.desk, self._announce = desk, announce
        self.changes = 0  # of who is in
        self.yielded: Entry | None = None  # the elder process of our name, while it lives
        self._doubts: dict[Id, tuple[Entry, int]] = {}
        self._told_holder: tuple[str, int] = ("", -1)

    # --- merging ----------------------------------------------------------------------------------------

    def take(self, now: int, entry: Entry, cause: str) -> None:
        """Merge one entry into the view."""
        if entry.name == self.desk.me.name:
            self.about_us(now, entry)
            return
        old = self.desk.table.get(id_of(entry))
        if old is not None and not overrides(entry, old):
            return
        known = old is not None and is_in(old)
        if entry.status is Status.RETURNING:
            if not known:
                self.change(now, entry, cause)
                self._try_back(now, entry)
                return
            entry = replace(entry, status=Status.ALIVE)  # it was never gone here: we vouch for it
        if entry.status is Status.ALIVE and not known and self._contested(now, entry):
            return
        self.change(now, entry, cause)

    def change(self, now: int, entry: Entry, cause: str, news: bool = True) -> None:
        """Keep the entry, pass it on, and tell what that changes."""
        desk, member = self.desk, id_of(entry)
        old = desk.table.get(member)
        if not desk.table.put(now, entry):
            return
        self._doubts.pop(member, None)
        was, now_in = old is not None and is_in(old), is_in(entry)
        if news and (old is not None or now_in or entry.status is Status.RETURNING):
            desk.gossip.add(entry)
        if was == now_in:
            return
        self.changes += 1
        if now_in:
            desk.tell(Change.ALIVE, entry, cause)
        else:
            desk.recent.pop(member, None)
            desk.tell(Change.LEFT if entry.status is Status.LEFT else Change.GONE, entry, cause)

    def doubt(self, now: int, entry: Entry) -> None:
        """Word that one is gone, against what we know: let it contradict that first."""
        known = self.desk.table.get(id_of(entry))
        if known is not None and id_of(entry) not in self._doubts:
            self._doubts[id_of(entry)] = (entry, now + round(DOUBT_PERIODS * self.desk.period))
            self.desk.say(known.address, Part((entry,)))

    def each_period(self, now: int) -> None:
        for member, (entry, until) in list(self._doubts.items()):
            if until <= now:
                del self._doubts[member]
                self.take(now, entry, "told by a peer, and not contradicted")
        for member in list(self.desk.table.over):
            entry = self.desk.table.entries[member]
            if entry.status is Status.RETURNING:
                self._try_back(now, entry)

    def put_off(self, now: int) -> None:
        """We stood still: contradictions may not have been read yet."""
        until = now + round(DOUBT_PERIODS * self.desk.period)
        self._doubts = {each: (entry, until) for each, (entry, _) in self._doubts.items()}

    def _try_back(self, now: int, entry: Entry) -> None:
        """One that was gone is in again once one of those who would watch it has its answer."""
        if self.desk.my_id in self.desk.table.rings.observers(id_of(entry)):
            self.desk.ask(now, entry, lambda at, heard: self._back(at, entry, heard), own=True)

    def _back(self, now: int, entry: Entry, heard: Heard | None) -> None:
        known = self.desk.table.get(id_of(entry))
        itself = heard is not None and (heard.name, heard.life) == id_of(entry)
        if itself and known is not None and known.status is Status.RETURNING:
            self.take(now, replace(known, status=Status.ALIVE), "it answers us")

    # --- names and addresses ----------------------------------------------------------------------------

    def _may_tell_holder(self, now: int, address: str) -> bool:
        """At most once a period for one address: whoever asks must not make us speak more than it does."""
        told, when = self._told_holder
        if told == address and now - when < self.desk.period:
            return False
        self._told_holder = (address, now)
        return True

    def _contested(self, now: int, entry: Entry) -> bool:
        """Is the name or the address another's?"""
        table = self.desk.table
        for other in (table.by_name.get(entry.name), table.by_address.get(entry.address)):
            if other is None or other == id_of(entry):
                continue
            holder = table.entries[other]
            if holder.address != entry.address:
                if self._may_tell_holder(now, entry.address):
                    self.desk.say(entry.address, Taken(holder))
                    self.desk.say(holder.address, Taken(entry))
                return True
            if other[1] > entry.life or other == self.desk.my_id:
                # An older life, or a late word of one: who answers there now tells.
                self.desk.ask(now, holder, lambda at, heard: self._settle_address(at, entry, heard))
                return True
            self.change(now, replace(holder, status=Status.GONE), f"{entry.name} has come at its address")
        return False

    def _settle_address(self, now: int, entry: Entry, heard: Heard | None) -> None:
        holder = self.desk.table.by_address.get(entry.address)
        if heard is None or (heard.name, heard.life) != id_of(entry) or holder in (None, id_of(entry)):
            return
        assert holder is not None
        self.replaced(now, holder, heard)
        self.take(now, entry, "it answers us")

    def replaced(self, now: int, member: Id, heard: Heard) -> None:
        """An answer from its address by somebody else proves that it is over."""
        known = self.desk.table.get(member)
        if known is not None and is_in(known) and member != self.desk.my_id:
            cause = f"its address is held by {heard.name}, life {heard.life}"
            self.take(now, replace(known, status=Status.GONE), cause)

    # --- our own name -----------------------------------------------------------------------------------

    def about_us(self, now: int, entry: Entry) -> None:
        """Somebody tells of one that has our name."""
        desk = self.desk
        if entry.life == desk.me.life:
            if entry.status is Status.GONE and entry.incarnation >= desk.me.incarnation:
                desk.rise(now, entry.incarnation + 1)
                desk.gossip.add(desk.own())
                desk.tell(Change.SELF_GONE, desk.me, f"incarnation {desk.me.incarnation} contradicts it")
                self._announce()
        elif entry.status in (Status.GONE, Status.LEFT):  # an earlier life of ours
            old = desk.table.get(id_of(entry))
            if old is None or overrides(entry, old):
                self.change(now, entry, "a life before ours")
        elif entry.address == desk.me.address:  # we hold the address: that life is over
            self.about_us(now, replace(entry, status=Status.GONE))
        elif self._may_tell_holder(now, entry.address):
            self.check_namesake(now, entry)

    def check_namesake(self, now: int, entry: Entry) -> None:
        """Does another process of our name live there?  Its own answer tells."""
        self.desk.ask(now, entry, lambda at, heard: self._namesake(at, entry, heard), own=True)

    def _namesake(self, now: int, entry: Entry, heard: Heard | None) -> None:
        desk = self.desk
        if heard is None or heard.name != desk.me.name or heard.life == desk.me.life:
            if self.yielded is not None:
                desk.tell(Change.RESUMED, self.yielded, "it does not answer")
                self.yielded, desk.answered = None, False
                desk.rise(now, desk.me.incarnation + 1)
            return
        other = replace(entry, life=heard.life)
        if heard.life < desk.me.life:  # the elder stays: it has the seats, and jobs bear its name
            if self.yielded is None:
                desk.tell(Change.YIELDED, other, f"it lives at {entry.address} and is the elder")
            self.yielded = other
        else:
            desk.tell(Change.DUPLICATE, other, f"it lives at {entry.address}; the elder, we, stays")
            desk.say(entry.address, Taken(desk.me))
