"""Who holds which seats at fresh nodes: leases of slots, given by a majority of fixed electors.

The safe number at a fresh node is dealt out over a fixed number of slots, as it always was; here slots change
hands.  A holder uses a slot only while a majority of electors has granted it, counted from the moment it
asked, by its own clock (PaxosLease, Trencseni 2012); an elector gives no slot to another before its own grant
has run out, and none at all for a whole lease after its start, since it forgot what it granted.  A slot that
comes to a holder rests for a window first: what its last holder sent still counts at the nodes.

Two majorities share an elector, so no slot has two users at an instant, whatever is lost, late, doubled or
paused; only the rates of clocks are trusted, to one part in twenty.  What is not granted in time is not used.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ladderhub.membership.messages import SLOTS_MOST, Claim, Granted, Release
from ladderhub.membership.rings import Id
from ladderhub.membership.types import Action, Heard, Say, SeatsHeld, Share, Stop

REST_WINDOWS = 1.5  # cold windows that a slot rests between two holders; the module counts offers for 1.25
DRIFT = 0.05  # of a lease that a holder leaves unused: clocks need not run alike
RENEWALS, QUICK = 4, 4  # rounds in a lease, and so many times more while we lack seats
ROUNDS_KEPT = 8
TRIES = 2  # rounds without a majority after which a slot is left to whoever has the others


@dataclass(frozen=True, slots=True)
class SeatSettings:
    """`slots`: over how many the safe number is dealt.  `electors`: addresses, the same on all schedulers.
    `window_ns`: the cold window, for which offers count at a node."""

    name: str
    life: int
    address: str
    slots: int
    electors: tuple[str, ...]
    lease_ns: int
    window_ns: int

    def __post_init__(self) -> None:
        if not 0 < self.slots <= SLOTS_MOST:
            raise ValueError(f"slots: 1 to {SLOTS_MOST} are meant")
        if not self.electors or len(set(self.electors)) != len(self.electors):
            raise ValueError("electors: at least one address is meant, each once")
        if self.lease_ns <= 0 or self.window_ns < 0:
            raise ValueError("lease_ns: must be above 0; window_ns: must not be negative")


class Elector:
    """Grants slots.  Keeps for each its holder, until when, and the number of the claim."""

    def __init__(self, settings: SeatSettings, now: int) -> None:
        self.settings = settings
        self._quiet_until = now + settings.lease_ns  # an earlier life of ours may have granted anything
        self._grants: dict[int, tuple[Id, int, int]] = {}

    def _free(self, now: int, slot: int, holder: Id) -> bool:
        given = self._grants.get(slot)
        return given is None or given[0] == holder or given[1] <= now

    def claim(self, now: int, holder: Id, claim: Claim) -> Granted | None:
        if now < self._quiet_until:
            return None
        count, until = self.settings.slots, now + self.settings.lease_ns
        granted = {slot for slot in slots_of(claim.slots, count) if self._free(now, slot, holder)}
        for slot in granted:
            given = self._grants.get(slot)
            number = max(claim.number, given[2]) if given is not None and given[0] == holder else claim.number
            self._grants[slot] = (holder, until, number)
        free = b""
        if claim.lacking:
            free = bits_of({slot for slot in range(count) if self._free(now, slot, ("", 0))}, count)
        return Granted(claim.number, bits_of(granted, count), free, self.settings.address)

    def release(self, holder: Id, release: Release) -> None:
        """Late word of a release must not undo a later claim."""
        for slot in slots_of(release.slots, self.settings.slots):
            given = self._grants.get(slot)
            if given is not None and given[0] == holder and given[2] <= release.number:
                del self._grants[slot]


class _Round:
    """One claim to all electors, and who granted what."""

    def __init__(self, begun_ns: int, wanted: set[int]) -> None:
        self.begun_ns, self.wanted = begun_ns, wanted
        self.granted: dict[str, set[int]] = {}


class Seats:
    """Decides for one scheduler: as a holder, and as an elector where its address is among them."""

    def __init__(self, settings: SeatSettings, seed: int, now: int) -> None:
        self.settings = settings
        self.elector = Elector(settings, now) if settings.address in settings.electors else None
        self._me: Id = (settings.name, settings.life)
        self._random = random.Random(seed)
        self._majority = len(settings.electors) // 2 + 1
        self._usable_ns = round(settings.lease_ns * (1 - DRIFT))
        self._rest_ns = round(settings.window_ns * REST_WINDOWS)
        self._share = Share(1, 0, True)
        self._number = 0
        self._rounds: dict[int, _Round] = {}
        self._until: dict[int, int] = {}  # slots with a majority: until when
        self._since: dict[int, int] = {}  # and since when without a gap
        self._trying: dict[int, int] = {}  # slots asked for without a majority yet: in how many rounds
        self._free: dict[str, set[int]] = {}  # by elector, as it said last
        self._trust_from = self._next_ns = now  # rounds that began before do not count
        self._told: tuple[tuple[int, ...], int] = ((), -1)
        self._out: list[Action] = []

    def handle(self, now_ns: int, event: Heard | Share | Stop) -> list[Action]:
        """Take one event and give the actions it calls for."""
        self._out = []
        if isinstance(event, Share):
            self._look(now_ns, event)
        elif isinstance(event, Stop):
            self._release(set(self._until) | set(self._trying))
        else:
            self._on_heard(now_ns, event)
        return self._out

    # --- what may be used -------------------------------------------------------------------------------

    def held(self, now: int) -> list[int]:
        """Slots with a majority now, used or not."""
        return sorted(slot for slot, until in self._until.items() if until > now)

    def usable(self, now: int) -> tuple[tuple[int, ...], int]:
        """Slots that may be used, and until when all of them may."""
        rested = now - self._rest_ns
        slots = tuple(
            slot for slot in self.held(now)
            if self._since[slot] <= rested and self._until[slot] - self._usable_ns >= self._trust_from
        )  # fmt: skip
        return slots, min((self._until[slot] for slot in slots), default=-1)

    def _publish(self, now: int) -> None:
        found = self.usable(now)
        if found != self._told:
            self._told = found
            self._out.append(SeatsHeld(*found))

    # --- holding ----------------------------------------------------------------------------------------

    def _look(self, now: int, share: Share) -> None:
        self._share = share
        if not share.sure:  # what was granted before peers confirm our view is not used
            self._trust_from = now + 1
        for slot in [each for each, until in self._until.items() if until <= now]:
            del self._until[slot], self._since[slot]
        if now >= self._next_ns:
            self._balance()
            lacking = bool(self._trying) or not self._until
            self._next_ns = now + self.settings.lease_ns // (RENEWALS * (QUICK if lacking else 1))
            self._claim(now)
        self._publish(now)

    def _most(self) -> int:
        """Our part of the slots, rounded up."""
        return -(-self.settings.slots // max(1, self._share.members))

    def _balance(self) -> None:
        """As many as the others have: give up what is more, ask for what is less."""
        slots, share, most = self.settings.slots, self._share, self._most()
        vain = {slot for slot, rounds in self._trying.items() if rounds >= TRIES}
        more = max(0, len(self._until) - most)
        latest = sorted(self._until, key=lambda slot: (self._since[slot], slot), reverse=True)
        if vain or more:
            self._release(vain | set(latest[:more]))
        lacking = most - len(self._until) - len(self._trying)
        if lacking <= 0:
            return
        open_slots = [
            slot for slot in range(slots)
            if slot not in self._until and slot not in self._trying and slot not in vain
            and sum(slot in free for free in self._free.values()) >= self._majority
        ]  # fmt: skip
        # Where views agree each asks for others of the free ones; else chance parts those who meet.
        self._random.shuffle(open_slots)
        open_slots.sort(key=lambda slot: slot % max(1, share.members) != share.rank)
        for slot in open_slots[:lacking]:
            self._trying[slot] = 0

    def _claim(self, now: int) -> None:
        wanted = set(self._until) | set(self._trying)
        for slot in self._trying:
            self._trying[slot] += 1
        self._number += 1
        self._rounds[self._number] = _Round(now, wanted)
        self._rounds.pop(self._number - ROUNDS_KEPT, None)
        bits, lacking = bits_of(wanted, self.settings.slots), len(self._until) < self._most()
        claim = Claim(self._number, bits, self.settings.address, lacking)
        for elector in self.settings.electors:
            if elector != self.settings.address:
                self._out.append(Say(elector, claim))
        if self.elector is not None:
            answer = self.elector.claim(now, self._me, claim)
            if answer is not None:
                self._on_granted(now, answer)

    def _release(self, slots: set[int]) -> None:
        for slot in slots:
            self._until.pop(slot, None)
            self._since.pop(slot, None)
            self._trying.pop(slot, None)
        for asked in self._rounds.values():  # answers that are on their way give nothing back
            asked.wanted -= slots
            asked.granted = {elector: granted - slots for elector, granted in asked.granted.items()}
        if set(self._told[0]) & slots:
            kept = tuple(slot for slot in self._told[0] if slot not in slots)
            self._told = (kept, self._told[1] if kept else -1)
            self._out.append(SeatsHeld(*self._told))  # before others may have them
        release = Release(self._number, bits_of(slots, self.settings.slots))
        if self.elector is not None:
            self.elector.release(self._me, release)
        for elector in self.settings.electors:
            if elector != self.settings.address:
                self._out.append(Say(elector, release))

    # --- what is heard ----------------------------------------------------------------------------------

    def _on_heard(self, now: int, event: Heard) -> None:
        holder, message = (event.name, event.life), event.message
        if isinstance(message, Granted):
            self._on_granted(now, message)
            self._publish(now)
        elif self.elector is not None and isinstance(message, Claim):
            answer = self.elector.claim(now, holder, message)
            if answer is not None:
                self._out.append(Say(message.address, answer))
        elif self.elector is not None and isinstance(message, Release):
            self.elector.release(holder, message)

    def _on_granted(self, now: int, granted: Granted) -> None:
        """An answer to a round of ours.  Only grants of one round make a majority: they have one start."""
        asked = self._rounds.get(granted.number)
        if asked is None or granted.elector not in self.settings.electors:
            return
        if granted.free:
            self._free[granted.elector] = slots_of(granted.free, self.settings.slots)
        asked.granted[granted.elector] = slots_of(granted.slots, self.settings.slots) & asked.wanted
        until = asked.begun_ns + self._usable_ns
        if until <= now:
            return
        for slot in asked.granted[granted.elector]:
            if sum(slot in each for each in asked.granted.values()) >= self._majority:
                if self._until.get(slot, -1) <= now:
                    self._since[slot] = now
                self._until[slot] = max(until, self._until.get(slot, -1))
                self._trying.pop(slot, None)


_FEW, _MANY = 1, 0  # two bytes a slot, or a bit: a holder among a thousand has one slot, one alone has all


def bits_of(slots: set[int], count: int) -> bytes:
    """Slots in few bytes, whichever way is shorter; at least one byte, also for none."""
    if 2 * len(slots) < (count + 7) // 8:
        return bytes((_FEW,)) + b"".join(slot.to_bytes(2, "big") for slot in sorted(slots))
    return bytes((_MANY,)) + sum(1 << slot for slot in slots).to_bytes((count + 7) // 8, "big")


def slots_of(bits: bytes, count: int) -> set[int]:
    """The slots below `count`; what makes no sense is left out."""
    if bits[:1] == bytes((_FEW,)):
        few = (int.from_bytes(bits[at : at + 2], "big") for at in range(1, len(bits), 2))
        return {slot for slot in few if slot < count}
    number = int.from_bytes(bits[1:], "big")
    return {slot for slot in range(count) if number >> slot & 1} if number else set()
