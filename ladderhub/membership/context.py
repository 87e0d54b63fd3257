"""State shared by the parts of one member: its view, its pending probes, and the actions decided so far."""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec.structs import replace

from ladderhub.membership.gossip import Gossip
from ladderhub.membership.messages import Entry, Message, Ping, Status
from ladderhub.membership.rings import MemberId
from ladderhub.membership.table import MemberTable, member_id
from ladderhub.membership.types import (
    Action,
    Change,
    MemberChanged,
    MemberSettings,
    MessageReceived,
    SendMessage,
)

MAX_PENDING_PROBES = 512
PROBE_TIMEOUT_PERIODS = 1.2  # longer than the usual round trip
_NUMBER_LIMIT = 1 << 30  # message numbers wrap around to 0 here

# Gets the time, and the ack or None after a timeout.
ProbeCallback = Callable[[int, MessageReceived | None], None]


class MemberContext:
    """Holds the shared state and offers sending and reporting.  Makes no decisions about members."""

    def __init__(self, settings: MemberSettings, seed: int) -> None:
        self.period = settings.period_ns
        self.table, self.gossip = MemberTable(), Gossip()
        self.self_entry = Entry(settings.name, settings.life, settings.address, 0, Status.ALIVE)
        self.self_id: MemberId = member_id(self.self_entry)
        self.random = random.Random(seed)
        self.last_heard_ns: dict[MemberId, int] = {}  # by living member: when we last heard it
        self.joined = False  # whether any member has answered us in this life
        self.actions: list[Action] = []
        self._number = 0
        self._pending_probes: dict[int, tuple[int, ProbeCallback]] = {}
        self.table.put(0, self.self_entry)

    def send(self, address: str, message: Message) -> None:
        """Send a message, except to our own address."""
        if address != self.self_entry.address:
            self.actions.append(SendMessage(address, message))

    def report(self, change: Change, entry: Entry, cause: str) -> None:
        """Report a change of a member and its cause."""
        self.actions.append(MemberChanged(change, entry.name, entry.life, cause))

    def take_next_number(self) -> int:
        """Allocate the number of the next message."""
        self._number = (self._number + 1) % _NUMBER_LIMIT
        return self._number

    def member_count(self) -> int:
        return len(self.table.by_name)

    def other_members(self) -> list[MemberId]:
        return [member for member in self.table.by_name.values() if member != self.self_id]

    def address_of(self, member: MemberId) -> str:
        return self.table.entries[member].address

    def has_heard_since(self, member: MemberId, moment: int) -> bool:
        """Whether the member has sent us a message at or after that time."""
        return self.last_heard_ns.get(member, -1) >= moment

    def raise_incarnation(self, now: int, incarnation: int) -> None:
        """Take a higher incarnation, which refutes reports about earlier ones."""
        self.self_entry = replace(self.self_entry, incarnation=incarnation)
        self.table.put(now, self.self_entry)

    def build_returning_entry(self) -> Entry:
        """Our entry for members that may consider us gone."""
        if self.self_entry.incarnation == 0:  # nobody has reported us gone in this life
            return self.self_entry
        return replace(self.self_entry, status=Status.RETURNING)

    def ping(self, address: str, include_self: bool = False, skip_gossip: bool = False) -> int:
        """Send a ping and return its number.

        `include_self` adds our own entry, for receivers that may not know us.  `skip_gossip` is for addresses
        that may not answer: gossip sent there would count as transmitted without reaching anyone."""
        number = self.take_next_number()
        first = self.build_returning_entry() if include_self else None
        if skip_gossip:
            gossip: tuple[Entry, ...] = (first,) if first else ()
        else:
            gossip = self.gossip.take(self.member_count(), first)
        self.send(address, Ping(number, self.table.digest, self.member_count(), gossip))
        return number

    def probe(
        self,
        now: int,
        target: Entry,
        callback: ProbeCallback,
        include_self: bool = False,
        skip_gossip: bool = False,
    ) -> None:
        """Ping the target; call `callback` with the ack, or with None after a timeout.

        Does nothing while MAX_PENDING_PROBES are pending."""
        if len(self._pending_probes) < MAX_PENDING_PROBES:
            expires = now + round(PROBE_TIMEOUT_PERIODS * self.period)
            number = self.ping(target.address, include_self, skip_gossip)
            self._pending_probes[number] = (expires, callback)

    def complete_probe(self, now: int, number: int, ack: MessageReceived) -> None:
        """Pass an ack to the pending probe of that number; without one it is only a sign of life."""
        if number in self._pending_probes:
            _, callback = self._pending_probes.pop(number)
            callback(now, ack)

    def expire_probes(self, now: int) -> None:
        """Call back with None for the probes that have timed out."""
        expired = [number for number, (expires, _) in self._pending_probes.items() if expires <= now]
        for number in expired:
            _, callback = self._pending_probes.pop(number)
            callback(now, None)

    def cancel_probes(self) -> None:
        """Drop the pending probes: after a pause of this process a missing ack proves nothing."""
        self._pending_probes.clear()
