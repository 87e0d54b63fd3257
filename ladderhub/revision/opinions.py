"""Could this scheduler act by a body?  Checked once a body, told to whoever proposes it, before any ballot.

What is checked is the body alone, so an opinion holds whatever number the body is proposed for."""

from __future__ import annotations

from ladderhub.revision.bodies import Downloads
from ladderhub.revision.content import cut_text
from ladderhub.revision.context import Context
from ladderhub.revision.messages import MAX_FAULT_BYTES, Opinion, Proposal
from ladderhub.revision.types import CheckBody, S

OPINIONS_KEPT = 64
FAULT_KEPT_NS = 5 * S  # after which a body that could not be acted by is checked anew
PROPOSERS_MOST = 16  # that wait for the opinion on one body
FETCH_NS = 3 * S  # for so long a proposed body is fetched
FAN_OUT = 4  # members that each member hands a proposal on to


class Opinions:
    """What this scheduler can act by, and who waits to hear so."""

    def __init__(self, context: Context, downloads: Downloads) -> None:
        self._context, self._downloads = context, downloads
        self._faults: dict[bytes, tuple[str, int]] = {}  # empty: no fault; and when that was found
        self._checking: set[bytes] = set()
        self._proposers: dict[bytes, list[str]] = {}  # of bodies without an opinion yet

    def get(self, digest: bytes) -> str | None:
        """The fault, empty for none; None: not checked."""
        found = self._faults.get(digest)
        return None if found is None else found[0]

    def check(self, digest: bytes, body: bytes) -> None:
        """Have it checked unless that is under way."""
        if digest not in self._checking:
            self._checking.add(digest)
            self._context.actions.append(CheckBody(digest, body))

    def on_proposal(self, now: int, proposal: Proposal, body: bytes | None) -> None:
        """`body`: where it is here already."""
        found = self._faults.get(proposal.body)
        if found is not None and (not found[0] or now - found[1] < FAULT_KEPT_NS):
            self._context.send(proposal.proposer, Opinion(proposal.body, found[0]))
            return
        waiting = self._proposers.get(proposal.body)
        if waiting is None:
            if len(self._proposers) >= OPINIONS_KEPT:
                del self._proposers[next(iter(self._proposers))]
            waiting = self._proposers[proposal.body] = []
        if proposal.proposer not in waiting and len(waiting) < PROPOSERS_MOST:
            waiting.append(proposal.proposer)
        if body is not None:
            self.on_body(proposal.body, body)
        else:
            sources = (proposal.proposer, proposal.holder)
            self._downloads.want(now, proposal.body, sources, now + FETCH_NS)

    def on_body(self, digest: bytes, body: bytes) -> None:
        """A body came: check it if somebody waits for that, and let some others fetch it from here."""
        if digest in self._proposers and digest not in self._checking:
            self.check(digest, body)
            self.hand_on(digest)

    def hand_on(self, digest: bytes) -> None:
        context, mine = self._context, self._context.settings.address
        for proposer in self._proposers.get(digest, ())[:1]:
            for address in context.sample(FAN_OUT, (proposer,)):
                context.send(address, Proposal(digest, proposer, mine))

    def on_checked(self, now: int, digest: bytes, fault: str | None) -> None:
        told = cut_text(fault or "", MAX_FAULT_BYTES)
        if fault is not None and not told:
            told = "no reason given"
        self._checking.discard(digest)
        self._faults.pop(digest, None)
        self._faults[digest] = (told, now)
        while len(self._faults) > OPINIONS_KEPT:
            del self._faults[next(iter(self._faults))]
        for proposer in self._proposers.pop(digest, ()):
            self._context.send(proposer, Opinion(digest, told))
