"""Leases for the slots of the cold budget, granted by a majority of fixed voters.

The cold budget of a fresh node is divided among a fixed number of slots.  A holder uses a slot only while a
majority of voters has granted it; the lease runs from the time of the request on the holder's own clock
(PaxosLease, Trencseni 2012).  A slot that changes its holder is in quarantine first, because the offers of
its last holder still count at the nodes for a cold window.

Any two majorities share a voter, so no slot has two users at the same time, even if messages are lost, late
or duplicated or processes pause.  The only assumption is that clock rates differ by less than one part in
twenty.  A slot that is not granted in time is not used.
"""

from __future__ import annotations

import random

from ladderhub.membership.messages import LeaseGrant, LeaseRelease, LeaseRequest
from ladderhub.membership.rings import MemberId
from ladderhub.membership.slots import decode_slots, encode_slots
from ladderhub.membership.types import (
    Action,
    LeaseSettings,
    LeasesHeld,
    MembershipSummary,
    MessageReceived,
    SendMessage,
    Stop,
)
from ladderhub.membership.voter import LeaseVoter

QUARANTINE_WINDOWS = 1.5  # quarantine between holders, in cold windows; the module counts offers for 1.25
UNUSED_LEASE_SHARE = 0.05  # last part of a lease that the holder does not use, against clock drift
RENEWALS_PER_LEASE = 4
FAST_RENEWAL_FACTOR = 4  # times as many renewals while slots are lacking
MAX_ROUNDS = 8  # latest rounds whose grants are still accepted
MAX_FUTILE_ROUNDS = 2  # without a majority; then the slot is left to the holder of the other votes


class _Round:
    """One request to all voters, and the slots that each of them granted."""

    def __init__(self, begun_ns: int, wanted: set[int]) -> None:
        self.begun_ns, self.wanted = begun_ns, wanted
        self.granted: dict[str, set[int]] = {}  # by voter address

    def count_votes(self, slot: int) -> int:
        """Number of voters that granted the slot in this round."""
        return sum(slot in granted for granted in self.granted.values())


class LeaseHolder:
    """Holds leases for one scheduler, and also votes if its address is among those of the voters."""

    def __init__(self, settings: LeaseSettings, seed: int, now: int) -> None:
        self.settings = settings
        self.voter = LeaseVoter(settings, now) if settings.address in settings.voters else None
        self._self_id: MemberId = (settings.name, settings.life)
        self._random = random.Random(seed)
        self._majority = len(settings.voters) // 2 + 1
        self._usable_ns = round(settings.lease_ns * (1 - UNUSED_LEASE_SHARE))
        self._quarantine_ns = round(settings.window_ns * QUARANTINE_WINDOWS)
        self._summary = MembershipSummary(1, 0, True)
        self._number = 0
        self._rounds: dict[int, _Round] = {}
        self._expires_ns: dict[int, int] = {}  # by held slot
        self._held_since_ns: dict[int, int] = {}  # by held slot: start of uninterrupted possession
        self._pending: dict[int, int] = {}  # by slot without a majority yet: rounds in which it was requested
        self._free: dict[str, set[int]] = {}  # by voter: free slots that it last reported
        self._trusted_from_ns = now  # grants of rounds begun earlier are not used
        self._next_request_ns = now
        self._published = LeasesHeld((), -1)
        self._actions: list[Action] = []

    def handle(self, now_ns: int, event: MessageReceived | MembershipSummary | Stop) -> list[Action]:
        """Handle one event and return the resulting actions."""
        self._actions = []
        if isinstance(event, MembershipSummary):
            self._on_summary(now_ns, event)
        elif isinstance(event, Stop):
            self._release(set(self._expires_ns) | set(self._pending))
        else:
            self._on_received(now_ns, event)
        return self._actions

    # --- usable slots -----------------------------------------------------------------------------------

    def get_held_slots(self, now: int) -> list[int]:
        """Slots with a majority now, including those in quarantine."""
        return sorted(slot for slot, expires in self._expires_ns.items() if expires > now)

    def get_usable_leases(self, now: int) -> LeasesHeld:
        """Slots that may be used now, and the time until which all of them may."""
        slots = tuple(slot for slot in self.get_held_slots(now) if self._is_usable(now, slot))
        return LeasesHeld(slots, min((self._expires_ns[slot] for slot in slots), default=-1))

    def _is_usable(self, now: int, slot: int) -> bool:
        quarantine_over = self._held_since_ns[slot] <= now - self._quarantine_ns
        requested_ns = self._expires_ns[slot] - self._usable_ns
        return quarantine_over and requested_ns >= self._trusted_from_ns

    def _publish(self, now: int) -> None:
        """Emit the usable slots if they have changed."""
        usable = self.get_usable_leases(now)
        if usable != self._published:
            self._published = usable
            self._actions.append(usable)

    # --- holding ----------------------------------------------------------------------------------------

    def _on_summary(self, now: int, summary: MembershipSummary) -> None:
        self._summary = summary
        if not summary.confirmed:  # grants from before peers confirm our view are not used
            self._trusted_from_ns = now + 1
        for slot in [slot for slot, expires in self._expires_ns.items() if expires <= now]:
            del self._expires_ns[slot], self._held_since_ns[slot]
        if now >= self._next_request_ns:
            self._balance()
            lacking = bool(self._pending) or not self._expires_ns
            requests_per_lease = RENEWALS_PER_LEASE * (FAST_RENEWAL_FACTOR if lacking else 1)
            self._next_request_ns = now + self.settings.lease_ns // requests_per_lease
            self._request(now)
        self._publish(now)

    def _compute_fair_share(self) -> int:
        """Slots per member, rounded up."""
        return -(-self.settings.slots // max(1, self._summary.member_count))

    def _balance(self) -> None:
        """Hold a fair share: release the excess, or request the slots that are lacking."""
        futile = {slot for slot, rounds in self._pending.items() if rounds >= MAX_FUTILE_ROUNDS}
        excess = max(0, len(self._expires_ns) - self._compute_fair_share())
        if futile or excess:
            self._release(futile | set(self._get_newest_slots()[:excess]))
        lacking = self._compute_fair_share() - len(self._expires_ns) - len(self._pending)
        if lacking > 0:
            for slot in self._find_free_slots(futile)[:lacking]:
                self._pending[slot] = 0

    def _get_newest_slots(self) -> list[int]:
        """Held slots, the most recently acquired first."""
        return sorted(self._expires_ns, key=lambda slot: (self._held_since_ns[slot], slot), reverse=True)

    def _find_free_slots(self, excluded: set[int]) -> list[int]:
        """Find slots that a majority of voters reports free, in the order in which to request them.

        With equal views each member begins with different slots; random order resolves other collisions."""
        summary = self._summary
        taken = excluded | self._expires_ns.keys() | self._pending.keys()
        free = [
            slot
            for slot in range(self.settings.slots)
            if slot not in taken and self._count_free_votes(slot) >= self._majority
        ]
        self._random.shuffle(free)
        free.sort(key=lambda slot: slot % max(1, summary.member_count) != summary.rank)
        return free

    def _count_free_votes(self, slot: int) -> int:
        return sum(slot in free for free in self._free.values())

    def _request(self, now: int) -> None:
        """Begin a round: renew the held slots and request the pending ones."""
        wanted = set(self._expires_ns) | set(self._pending)
        for slot in self._pending:
            self._pending[slot] += 1
        self._number += 1
        self._rounds[self._number] = _Round(now, wanted)
        self._rounds.pop(self._number - MAX_ROUNDS, None)
        encoded = encode_slots(wanted, self.settings.slots)
        lacking = len(self._expires_ns) < self._compute_fair_share()
        request = LeaseRequest(self._number, encoded, self.settings.address, lacking)
        self._send_to_voters(request)
        if self.voter is not None:
            grant = self.voter.handle_request(now, self._self_id, request)
            if grant is not None:
                self._on_grant(now, grant)

    def _release(self, slots: set[int]) -> None:
        """Give up these slots and tell the voters."""
        for slot in slots:
            self._expires_ns.pop(slot, None)
            self._held_since_ns.pop(slot, None)
            self._pending.pop(slot, None)
        for lease_round in self._rounds.values():  # late grants must not return the slots
            lease_round.wanted -= slots
            lease_round.granted = {voter: granted - slots for voter, granted in lease_round.granted.items()}
        if set(self._published.slots) & slots:
            kept = tuple(slot for slot in self._published.slots if slot not in slots)
            self._published = LeasesHeld(kept, self._published.until_ns if kept else -1)
            self._actions.append(self._published)  # must precede the release to the voters
        release = LeaseRelease(self._number, encode_slots(slots, self.settings.slots))
        if self.voter is not None:
            self.voter.handle_release(self._self_id, release)
        self._send_to_voters(release)

    def _send_to_voters(self, message: LeaseRequest | LeaseRelease) -> None:
        for voter in self.settings.voters:
            if voter != self.settings.address:
                self._actions.append(SendMessage(voter, message))

    # --- received messages ------------------------------------------------------------------------------

    def _on_received(self, now: int, event: MessageReceived) -> None:
        sender, message = (event.name, event.life), event.message
        if isinstance(message, LeaseGrant):
            self._on_grant(now, message)
            self._publish(now)
        elif self.voter is not None and isinstance(message, LeaseRequest):
            grant = self.voter.handle_request(now, sender, message)
            if grant is not None:
                self._actions.append(SendMessage(message.address, grant))
        elif self.voter is not None and isinstance(message, LeaseRelease):
            self.voter.handle_release(sender, message)

    def _on_grant(self, now: int, grant: LeaseGrant) -> None:
        """Count the votes of a voter in one of our rounds.

        Votes of different rounds do not add up to a majority: a lease runs from the start of its round."""
        lease_round = self._rounds.get(grant.number)
        if lease_round is None or grant.voter not in self.settings.voters:
            return
        if grant.free:
            self._free[grant.voter] = decode_slots(grant.free, self.settings.slots)
        granted = decode_slots(grant.slots, self.settings.slots) & lease_round.wanted
        lease_round.granted[grant.voter] = granted
        expires = lease_round.begun_ns + self._usable_ns
        if expires <= now:
            return
        for slot in granted:
            if lease_round.count_votes(slot) >= self._majority:
                self._hold(now, slot, expires)

    def _hold(self, now: int, slot: int, expires: int) -> None:
        """Record that a majority has granted the slot until `expires`."""
        before = self._expires_ns.get(slot, -1)
        if before <= now:
            self._held_since_ns[slot] = now
        self._expires_ns[slot] = max(expires, before)
        self._pending.pop(slot, None)
