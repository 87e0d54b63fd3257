"""Opinions: whether this scheduler can act by a body, sent to its proposers before any ballot.

Each body is checked once.  An opinion depends on the body alone, so it is valid for any number that the body
is proposed for."""

from __future__ import annotations

from ladderhub.revision.bodies import Downloads
from ladderhub.revision.content import truncate_text
from ladderhub.revision.context import Context
from ladderhub.revision.messages import MAX_FAULT_BYTES, Opinion, Proposal
from ladderhub.revision.types import CheckBody, S

MAX_OPINIONS = 64
FAULT_TTL_NS = 5 * S  # then a body with a fault is checked again
MAX_PROPOSERS_PER_BODY = 16  # that wait for the opinion
FETCH_TIMEOUT_NS = 3 * S  # for a proposed body
FAN_OUT = 4  # members to which each member forwards a proposal


class Opinions:
    """Opinions on bodies, and the proposers that wait for them."""

    def __init__(self, context: Context, downloads: Downloads) -> None:
        self._context, self._downloads = context, downloads
        self._faults: dict[bytes, tuple[str, int]] = {}  # fault (empty: none) and time of the check
        self._checking: set[bytes] = set()
        self._proposers: dict[bytes, list[str]] = {}  # waiting, by bodies without an opinion yet

    def get_fault(self, digest: bytes) -> str | None:
        """Return the fault of a body: empty if it has none, None if it is not checked yet."""
        found = self._faults.get(digest)
        return None if found is None else found[0]

    def check(self, digest: bytes, body: bytes) -> None:
        """Request a check of the body unless one is in progress."""
        if digest not in self._checking:
            self._checking.add(digest)
            self._context.actions.append(CheckBody(digest, body))

    def on_proposal(self, now: int, proposal: Proposal, body: bytes | None) -> None:
        """Answer with the opinion on the body, after fetching and checking it if needed.

        `body`: None if this scheduler does not have it yet."""
        found = self._faults.get(proposal.body)
        if found is not None and (not found[0] or now - found[1] < FAULT_TTL_NS):
            self._context.send(proposal.proposer, Opinion(proposal.body, found[0]))
            return
        waiting = self._proposers.get(proposal.body)
        if waiting is None:
            if len(self._proposers) >= MAX_OPINIONS:
                del self._proposers[next(iter(self._proposers))]
            waiting = self._proposers[proposal.body] = []
        if proposal.proposer not in waiting and len(waiting) < MAX_PROPOSERS_PER_BODY:
            waiting.append(proposal.proposer)
        if body is not None:
            self.on_body(proposal.body, body)
        else:
            sources = (proposal.proposer, proposal.holder)
            self._downloads.fetch(now, proposal.body, sources, now + FETCH_TIMEOUT_NS)

    def on_body(self, digest: bytes, body: bytes) -> None:
        """Check a body that has arrived if a proposer waits for it, and forward the proposal."""
        if digest in self._proposers and digest not in self._checking:
            self.check(digest, body)
            self.forward_proposal(digest)

    def forward_proposal(self, digest: bytes) -> None:
        context, own_address = self._context, self._context.settings.address
        for proposer in self._proposers.get(digest, ())[:1]:
            for address in context.sample(FAN_OUT, (proposer,)):
                context.send(address, Proposal(digest, proposer, own_address))

    def on_checked(self, now: int, digest: bytes, fault: str | None) -> None:
        fault_text = truncate_text(fault or "", MAX_FAULT_BYTES)
        if fault is not None and not fault_text:
            fault_text = "no reason given"
        self._checking.discard(digest)
        self._faults.pop(digest, None)
        self._faults[digest] = (fault_text, now)
        while len(self._faults) > MAX_OPINIONS:
            del self._faults[next(iter(self._faults))]
        for proposer in self._proposers.pop(digest, ()):
            self._context.send(proposer, Opinion(digest, fault_text))
