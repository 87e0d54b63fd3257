"""Handles reported entries: merging, disputes, conflicts over names and addresses, and reports about us."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from ladderhub.membership.context import MemberContext
from ladderhub.membership.messages import Entry, NameConflict, Status, SyncEntries
from ladderhub.membership.rings import MemberId
from ladderhub.membership.table import is_alive, member_id, overrides
from ladderhub.membership.types import Change, MessageReceived

DISPUTE_PERIODS = 3.0  # time that a member has to refute a report that it is gone


class EntryMerger:
    """Applies every change to the view and settles conflicts over names and addresses.

    A name belongs to one member and an address to one process.  The process that answers at an address is
    the member there, regardless of clock values and delayed messages."""

    def __init__(self, context: MemberContext, announce: Callable[[], None]) -> None:
        self.context, self._announce = context, announce
        self.membership_changes = 0  # number of changes to the set of living members
        self.yielded_to: Entry | None = None  # the older process with our name, while it runs
        self._disputed: dict[MemberId, tuple[Entry, int]] = {}
        self._last_conflict_notice: tuple[str, int] = ("", -1)  # address and time

    # --- merging ----------------------------------------------------------------------------------------

    def merge(self, now: int, entry: Entry, cause: str) -> None:
        """Merge one reported entry into the view, unless its name or address is in conflict."""
        if entry.name == self.context.self_entry.name:
            self.on_own_name(now, entry)
            return
        old = self.context.table.get(member_id(entry))
        if old is not None and not overrides(entry, old):
            return
        was_alive = old is not None and is_alive(old)
        if entry.status is Status.RETURNING:
            if not was_alive:
                self.apply(now, entry, cause)
                self._probe_returning(now, entry)
                return
            entry = replace(entry, status=Status.ALIVE)  # it is alive in our view, which confirms it
        if entry.status is Status.ALIVE and not was_alive and self._has_conflict(now, entry):
            return
        self.apply(now, entry, cause)

    def apply(self, now: int, entry: Entry, cause: str, spread: bool = True) -> None:
        """Store the entry, gossip it if `spread` is set, and report the change it causes."""
        context, member = self.context, member_id(entry)
        old = context.table.get(member)
        if not context.table.put(now, entry):
            return
        self._disputed.pop(member, None)
        was_alive, alive = old is not None and is_alive(old), is_alive(entry)
        if spread and (old is not None or alive or entry.status is Status.RETURNING):
            context.gossip.add(entry)
        if was_alive == alive:
            return
        self.membership_changes += 1
        if alive:
            context.report(Change.ALIVE, entry, cause)
        else:
            context.last_heard_ns.pop(member, None)
            context.report(Change.LEFT if entry.status is Status.LEFT else Change.GONE, entry, cause)

    def dispute(self, now: int, entry: Entry) -> None:
        """Let a member that is alive in our view refute the report that it is gone."""
        known = self.context.table.get(member_id(entry))
        if known is not None and member_id(entry) not in self._disputed:
            self._disputed[member_id(entry)] = (entry, self._compute_dispute_deadline(now))
            self.context.send(known.address, SyncEntries((entry,)))

    def _compute_dispute_deadline(self, now: int) -> int:
        return now + round(DISPUTE_PERIODS * self.context.period)

    def on_period(self, now: int) -> None:
        """Accept disputed reports whose deadline has passed, and probe returning members."""
        for member, (entry, deadline) in list(self._disputed.items()):
            if deadline <= now:
                del self._disputed[member]
                self.merge(now, entry, "reported by a peer and not refuted")
        for member in list(self.context.table.departed):
            entry = self.context.table.entries[member]
            if entry.status is Status.RETURNING:
                self._probe_returning(now, entry)

    def extend_disputes(self, now: int) -> None:
        """Restart the deadlines after a pause of this process: refutations may still be unread."""
        deadline = self._compute_dispute_deadline(now)
        self._disputed = {member: (entry, deadline) for member, (entry, _) in self._disputed.items()}

    def _probe_returning(self, now: int, entry: Entry) -> None:
        """Probe a member that was gone, if we would be one of its observers.  It is alive once it answers."""

        def on_probed(at: int, ack: MessageReceived | None) -> None:
            self._on_returning_probed(at, entry, ack)

        if self.context.self_id in self.context.table.rings.find_observers(member_id(entry)):
            self.context.probe(now, entry, on_probed, include_self=True)

    def _on_returning_probed(self, now: int, entry: Entry, ack: MessageReceived | None) -> None:
        known = self.context.table.get(member_id(entry))
        answered_itself = ack is not None and (ack.name, ack.life) == member_id(entry)
        if answered_itself and known is not None and known.status is Status.RETURNING:
            self.merge(now, replace(known, status=Status.ALIVE), "answered our probe")

    # --- names and addresses ----------------------------------------------------------------------------

    def _may_send_notice(self, now: int, address: str) -> bool:
        """Allow one notice per period and address: no sender may make us send more than it sends itself."""
        last_address, sent_ns = self._last_conflict_notice
        if last_address == address and now - sent_ns < self.context.period:
            return False
        self._last_conflict_notice = (address, now)
        return True

    def _has_conflict(self, now: int, entry: Entry) -> bool:
        """Whether another member holds the name or the address.  If so, start to settle the conflict."""
        table = self.context.table
        for other in (table.by_name.get(entry.name), table.by_address.get(entry.address)):
            if other is None or other == member_id(entry):
                continue
            holder = table.entries[other]
            if holder.address != entry.address:
                if self._may_send_notice(now, entry.address):
                    self.context.send(entry.address, NameConflict(holder))
                    self.context.send(holder.address, NameConflict(entry))
                return True
            if holder.life > entry.life or other == self.context.self_id:
                # An older life, or a delayed message of one, or a claim to our address: whoever answers
                # there now is the member.
                self._probe_address(now, holder, entry)
                return True
            self.apply(now, replace(holder, status=Status.GONE), f"{entry.name} now uses its address")
        return False

    def _probe_address(self, now: int, holder: Entry, entry: Entry) -> None:
        """Find out whether the holder or the reported member answers at their common address."""

        def on_probed(at: int, ack: MessageReceived | None) -> None:
            self._on_address_probed(at, entry, ack)

        self.context.probe(now, holder, on_probed)

    def _on_address_probed(self, now: int, entry: Entry, ack: MessageReceived | None) -> None:
        member, holder = member_id(entry), self.context.table.by_address.get(entry.address)
        if ack is None or (ack.name, ack.life) != member or holder is None or holder == member:
            return
        self.mark_replaced(now, holder, ack)
        self.merge(now, entry, "answered our probe")

    def mark_replaced(self, now: int, member: MemberId, ack: MessageReceived) -> None:
        """Declare a member gone because another process answered from its address."""
        known = self.context.table.get(member)
        if known is not None and is_alive(known) and member != self.context.self_id:
            cause = f"its address now belongs to {ack.name}, life {ack.life}"
            self.merge(now, replace(known, status=Status.GONE), cause)

    # --- our own name -----------------------------------------------------------------------------------

    def on_own_name(self, now: int, entry: Entry) -> None:
        """Handle an entry with our name: it is our own, one of our earlier lives, or a duplicate process."""
        context = self.context
        if entry.life == context.self_entry.life:
            if entry.status is Status.GONE and entry.incarnation >= context.self_entry.incarnation:
                self._refute(now, entry)
        elif entry.status in (Status.GONE, Status.LEFT):  # an earlier life of ours
            old = context.table.get(member_id(entry))
            if old is None or overrides(entry, old):
                self.apply(now, entry, "an earlier life of this scheduler")
        elif entry.address == context.self_entry.address:  # we hold the address, so that life has ended
            self.on_own_name(now, replace(entry, status=Status.GONE))
        elif self._may_send_notice(now, entry.address):
            self.probe_duplicate(now, entry)

    def _refute(self, now: int, entry: Entry) -> None:
        """Refute a report that we are gone: raise our incarnation and gossip it."""
        context = self.context
        context.raise_incarnation(now, entry.incarnation + 1)
        context.gossip.add(context.build_returning_entry())
        cause = f"refuted with incarnation {context.self_entry.incarnation}"
        context.report(Change.REPORTED_GONE, context.self_entry, cause)
        self._announce()

    def probe_duplicate(self, now: int, entry: Entry) -> None:
        """Find out whether another process with our name runs at that address."""

        def on_probed(at: int, ack: MessageReceived | None) -> None:
            self._on_duplicate_probed(at, entry, ack)

        self.context.probe(now, entry, on_probed, include_self=True)

    def _on_duplicate_probed(self, now: int, entry: Entry, ack: MessageReceived | None) -> None:
        context = self.context
        if ack is None or ack.name != context.self_entry.name or ack.life == context.self_entry.life:
            self._on_no_duplicate(now)
            return
        other = replace(entry, life=ack.life)
        if ack.life < context.self_entry.life:  # the older one stays: it has leases, and jobs carry its name
            if self.yielded_to is None:
                context.report(Change.YIELDED, other, f"the older process runs at {entry.address}")
            self.yielded_to = other
        else:
            context.report(Change.DUPLICATE, other, f"it runs at {entry.address}; we are older and stay")
            context.send(entry.address, NameConflict(context.self_entry))

    def _on_no_duplicate(self, now: int) -> None:
        """Resume if we had yielded to an older process with our name: it has ended."""
        if self.yielded_to is None:
            return
        context = self.context
        context.report(Change.RESUMED, self.yielded_to, "it did not answer our probe")
        self.yielded_to, context.joined = None, False
        context.raise_incarnation(now, context.self_entry.incarnation + 1)
