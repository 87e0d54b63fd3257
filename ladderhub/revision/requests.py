"""Operators' requests at one proposer: each checked by every member, then proposed in the order they came.

All checks run side by side; only the ballots are one after the other.  A member that stays silent is waited
for a second at most and named in the answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ladderhub.revision.bodies import Bodies
from ladderhub.revision.content import body_digest, cut_text, digest_of, to_pieces
from ladderhub.revision.context import Context
from ladderhub.revision.messages import MAX_AUTHOR_BYTES, MAX_REASON_BYTES, Header, Opinion, Proposal
from ladderhub.revision.opinions import FAN_OUT, Opinions
from ladderhub.revision.types import MS, Answer, Apply, Invalid, Notice, Outcome, Refused, S

REQUESTS_MOST = 32
CHECK_NS = 1 * S  # for so long silent members are waited for
ASK_AGAIN_NS = (200 * MS, 450 * MS, 700 * MS)  # from the begin; then each silent member is asked by itself
ASKED_MOST = 8  # silent members that are pointed to each one that has the body
NAMES_TOLD = 16  # silent members named in an answer


@dataclass
class Request:
    """One body on its way.  `request`: None for the first revision, which nobody waits for."""

    request: int | None
    parent: bytes | None
    author: str
    reason: str
    made_ms: int
    body: bytes
    digest: bytes
    begun_ns: int
    silent: dict[str, str]  # names and addresses of members whose opinion is not known yet
    helpers: list[str] = field(default_factory=list)  # addresses of members that have the body
    asked: int = 0  # how many times the silent were asked again
    own_opinion: bool = False
    ready_ns: int | None = None
    proposed: Header | None = None
    asked_to_accept: bool = False  # a voter may have accepted what was proposed

    def header(self, number: int, parent: bytes) -> Header:
        """As it is proposed for that number; the same each time."""
        return Header(number, parent, self.author, self.made_ms, self.reason, self.digest)

    def silent_names(self) -> tuple[str, ...]:
        return tuple(sorted(self.silent)[:NAMES_TOLD])

    def was_chosen(self, digest: bytes | None) -> bool:
        return self.proposed is not None and digest_of(self.proposed) == digest


class Requests:
    """All that wait, in order."""

    def __init__(self, context: Context, bodies: Bodies, opinions: Opinions) -> None:
        self._context, self._bodies, self._opinions = context, bodies, opinions
        self.waiting: list[Request] = []

    def add(self, now: int, apply: Apply) -> None:
        fault = self._fault_of(apply)
        if fault:
            self._context.actions.append(Answer(apply.request_id, Invalid(fault)))
            return
        self._begin(now, apply.request_id, apply)

    def add_first(self, now: int, apply: Apply) -> None:
        """The settings file, as revision 1."""
        self._begin(now, None, apply)

    def _fault_of(self, apply: Apply) -> str:
        if len(self.waiting) >= REQUESTS_MOST:
            return f"{REQUESTS_MOST} changes wait here already"
        for what, text, most in (
            ("author", apply.author, MAX_AUTHOR_BYTES), ("reason", apply.reason, MAX_REASON_BYTES),
        ):  # fmt: skip
            if cut_text(text, most) != text:
                return f"{what}: at most {most} bytes may be"
        if apply.made_ms < 0:
            return "made_ms: must not be negative"
        try:
            to_pieces(apply.body)
        except ValueError as fault:
            return str(fault)
        return ""

    def _begin(self, now: int, number: int | None, apply: Apply) -> None:
        digest = body_digest(apply.body)
        request = Request(
            number, apply.parent, apply.author, apply.reason, apply.made_ms, apply.body, digest, now,
            dict(self._context.addresses),
        )  # fmt: skip
        self.waiting.append(request)
        self._bodies.put(digest, apply.body)
        self._opinions.check(digest, apply.body)
        mine = self._context.settings.address
        for address in self._context.sample(FAN_OUT):
            self._context.send(address, Proposal(digest, mine, mine))

    def close(self, request: Request, outcome: Outcome) -> None:
        if request in self.waiting:
            self.waiting.remove(request)
            if request.request is not None:
                self._context.actions.append(Answer(request.request, outcome))
            elif isinstance(outcome, Refused):
                text = f"{outcome.member}: {outcome.fault}"
                self._context.tell(Notice.FILE_REFUSED, text)

    def find_body(self, digest: bytes) -> bytes | None:
        return next((each.body for each in self.waiting if each.digest == digest), None)

    def shift(self, gap_ns: int) -> None:
        """We stood still: that is nobody's silence."""
        for request in self.waiting:
            request.begun_ns += gap_ns
            if request.ready_ns is not None:
                request.ready_ns += gap_ns

    # --- opinions ---------------------------------------------------------------------------------------

    def on_opinion(self, name: str, opinion: Opinion) -> None:
        for request in list(self.waiting):
            if request.digest != opinion.body:
                continue
            if opinion.fault:
                if not request.asked_to_accept:  # from then on it may be chosen whatever is said here
                    self.close(request, Refused(name, opinion.fault))
            elif name in request.silent:
                request.helpers.append(request.silent.pop(name))

    def on_own_opinion(self, digest: bytes) -> None:
        fault = self._opinions.get(digest)
        for request in list(self.waiting):
            if request.digest == digest:
                request.own_opinion = True
                if fault:
                    self.close(request, Refused(self._context.settings.name, fault))

    def tick(self, now: int) -> None:
        for request in self.waiting:
            if request.ready_ns is not None:
                continue
            since = now - request.begun_ns
            if request.own_opinion and (not request.silent or since >= CHECK_NS):
                request.ready_ns = now
            elif request.asked < len(ASK_AGAIN_NS) and since >= ASK_AGAIN_NS[request.asked]:
                request.asked += 1
                self._ask_again(request)

    def _ask_again(self, request: Request) -> None:
        """Those that are still silent, as many as those that have the body can serve; they hand it on."""
        context, mine = self._context, self._context.settings.address
        holders = [mine, *request.helpers]
        silent = sorted(request.silent.values())
        asked = context.random.sample(silent, min(len(silent), ASKED_MOST * len(holders)))
        for at, address in enumerate(asked):
            context.send(address, Proposal(request.digest, mine, holders[at % len(holders)]))

    def due_ns(self) -> int | None:
        """When something is to be done for a request that is not ready."""
        due = []
        for request in self.waiting:
            if request.ready_ns is None:
                spans = (*ASK_AGAIN_NS, CHECK_NS)
                due.append(request.begun_ns + spans[request.asked])
        return min(due, default=None)
