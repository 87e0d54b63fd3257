"""The voting side of leases: grants each slot to one holder at a time (the acceptor of PaxosLease).

A voter does not grant a slot to another holder before its previous grant has expired.  It stores nothing on
disk, so it grants nothing during the first lease period after its start: an earlier life may have granted
any slot."""

from __future__ import annotations

from dataclasses import dataclass

from ladderhub.membership.messages import LeaseGrant, LeaseRelease, LeaseRequest
from ladderhub.membership.rings import MemberId
from ladderhub.membership.slots import decode_slots, encode_slots
from ladderhub.membership.types import LeaseSettings


@dataclass(frozen=True, slots=True)
class _Grant:
    """The holder of a slot, the expiry time, and the number of the request."""

    holder: MemberId
    expires_ns: int
    number: int


class LeaseVoter:
    """Handles the requests and releases of all holders."""

    def __init__(self, settings: LeaseSettings, now: int) -> None:
        self.settings = settings
        self._silent_until_ns = now + settings.lease_ns
        self._grants: dict[int, _Grant] = {}

    def _is_free(self, now: int, slot: int, holder: MemberId | None) -> bool:
        """Whether the slot may be granted to this holder, or to any holder if None."""
        grant = self._grants.get(slot)
        return grant is None or grant.holder == holder or grant.expires_ns <= now

    def handle_request(self, now: int, holder: MemberId, request: LeaseRequest) -> LeaseGrant | None:
        """Grant the requested slots that are free or already held by this holder.

        Return None, which means no answer, during the first lease period after the start."""
        if now < self._silent_until_ns:
            return None
        slot_count = self.settings.slots
        wanted = decode_slots(request.slots, slot_count)
        granted = {slot for slot in wanted if self._is_free(now, slot, holder)}
        for slot in granted:
            self._grant(now, slot, holder, request.number)
        free = b""
        if request.lacking:
            free = encode_slots(
                {slot for slot in range(slot_count) if self._is_free(now, slot, None)}, slot_count
            )
        return LeaseGrant(request.number, encode_slots(granted, slot_count), free, self.settings.address)

    def _grant(self, now: int, slot: int, holder: MemberId, number: int) -> None:
        before = self._grants.get(slot)
        if before is not None and before.holder == holder:
            number = max(number, before.number)
        self._grants[slot] = _Grant(holder, now + self.settings.lease_ns, number)

    def handle_release(self, holder: MemberId, release: LeaseRelease) -> None:
        """Free the released slots, except those that the holder has requested again since."""
        for slot in decode_slots(release.slots, self.settings.slots):
            grant = self._grants.get(slot)
            if grant is not None and grant.holder == holder and grant.number <= release.number:
                del self._grants[slot]
