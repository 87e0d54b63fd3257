"""Operators' requests at one proposer: every member checks each body, then they are proposed in order.

The checks run in parallel; only the ballots run one after the other.  The proposer waits at most
`CHECK_TIMEOUT_NS` for members that do not answer and names them in the answer to the operator."""

from __future__ import annotations

from dataclasses import dataclass, field

from ladderhub.revision.bodies import BodyCache
from ladderhub.revision.content import body_digest, digest_of, to_pieces, truncate_text
from ladderhub.revision.context import Context
from ladderhub.revision.messages import MAX_AUTHOR_BYTES, MAX_REASON_BYTES, Header, Opinion, Proposal
from ladderhub.revision.opinions import FAN_OUT, Opinions
from ladderhub.revision.types import MS, Answer, Apply, Invalid, Notice, Outcome, Refused, S

MAX_REQUESTS = 32
CHECK_TIMEOUT_NS = 1 * S  # for the opinions of silent members
RETRY_OFFSETS_NS = (200 * MS, 450 * MS, 700 * MS)  # since the start: when silent members are asked directly
MAX_ASKED_PER_HOLDER = 8  # silent members directed to one holder of the body at a time
MAX_NAMES_IN_ANSWER = 16


@dataclass
class Request:
    """One body to be chosen.  `request_id`: None for the initial proposal, which no operator waits for."""

    request_id: int | None
    parent: bytes | None
    author: str
    reason: str
    made_ms: int
    body: bytes
    digest: bytes
    started_ns: int
    silent: dict[str, str]  # addresses by name of members that have not answered yet
    body_holders: list[str] = field(default_factory=list)  # addresses of members that have the body
    retries: int = 0  # of asking the silent members
    has_own_opinion: bool = False
    ready_ns: int | None = None
    proposed: Header | None = None
    asked_to_accept: bool = False  # whether a voter may have accepted the proposed header

    def make_header(self, number: int, parent: bytes) -> Header:
        """Build the header to propose for this number; the same on each call."""
        return Header(number, parent, self.author, self.made_ms, self.reason, self.digest)

    def silent_names(self) -> tuple[str, ...]:
        return tuple(sorted(self.silent)[:MAX_NAMES_IN_ANSWER])

    def was_chosen(self, digest: bytes | None) -> bool:
        return self.proposed is not None and digest_of(self.proposed) == digest


class Requests:
    """The queue of requests that have no outcome yet, in the order of arrival."""

    def __init__(self, context: Context, bodies: BodyCache, opinions: Opinions) -> None:
        self._context, self._bodies, self._opinions = context, bodies, opinions
        self.waiting: list[Request] = []

    def add(self, now: int, apply: Apply) -> None:
        fault = self._validate(apply)
        if fault:
            self._context.actions.append(Answer(apply.request_id, Invalid(fault)))
            return
        self._start(now, apply.request_id, apply)

    def add_initial(self, now: int, apply: Apply) -> None:
        """Add the body of the settings file, to be revision 1."""
        self._start(now, None, apply)

    def _validate(self, apply: Apply) -> str:
        if len(self.waiting) >= MAX_REQUESTS:
            return f"{MAX_REQUESTS} changes wait here already"
        for name, text, max_bytes in (
            ("author", apply.author, MAX_AUTHOR_BYTES), ("reason", apply.reason, MAX_REASON_BYTES),
        ):  # fmt: skip
            if truncate_text(text, max_bytes) != text:
                return f"{name}: at most {max_bytes} bytes may be"
        if apply.made_ms < 0:
            return "made_ms: must not be negative"
        try:
            to_pieces(apply.body)
        except ValueError as fault:
            return str(fault)
        return ""

    def _start(self, now: int, request_id: int | None, apply: Apply) -> None:
        digest = body_digest(apply.body)
        request = Request(
            request_id, apply.parent, apply.author, apply.reason, apply.made_ms, apply.body, digest, now,
            dict(self._context.addresses),
        )  # fmt: skip
        self.waiting.append(request)
        self._bodies.put(digest, apply.body)
        self._opinions.check(digest, apply.body)
        own_address = self._context.settings.address
        for address in self._context.sample(FAN_OUT):
            self._context.send(address, Proposal(digest, own_address, own_address))

    def close(self, request: Request, outcome: Outcome) -> None:
        if request in self.waiting:
            self.waiting.remove(request)
            if request.request_id is not None:
                self._context.actions.append(Answer(request.request_id, outcome))
            elif isinstance(outcome, Refused):
                text = f"{outcome.member}: {outcome.fault}"
                self._context.notify(Notice.FILE_REFUSED, text)

    def find_body(self, digest: bytes) -> bytes | None:
        return next((each.body for each in self.waiting if each.digest == digest), None)

    def postpone(self, pause_ns: int) -> None:
        """Postpone all deadlines by a pause of this process, in which it could not receive answers."""
        for request in self.waiting:
            request.started_ns += pause_ns
            if request.ready_ns is not None:
                request.ready_ns += pause_ns

    # --- opinions ---------------------------------------------------------------------------------------

    def on_opinion(self, name: str, opinion: Opinion) -> None:
        for request in list(self.waiting):
            if request.digest != opinion.body:
                continue
            if opinion.fault:
                if not request.asked_to_accept:  # a body that may already be accepted can be chosen anyway
                    self.close(request, Refused(name, opinion.fault))
            elif name in request.silent:
                request.body_holders.append(request.silent.pop(name))

    def on_own_opinion(self, digest: bytes) -> None:
        fault = self._opinions.get_fault(digest)
        for request in list(self.waiting):
            if request.digest == digest:
                request.has_own_opinion = True
                if fault:
                    self.close(request, Refused(self._context.settings.name, fault))

    def tick(self, now: int) -> None:
        for request in self.waiting:
            if request.ready_ns is not None:
                continue
            elapsed_ns = now - request.started_ns
            if request.has_own_opinion and (not request.silent or elapsed_ns >= CHECK_TIMEOUT_NS):
                request.ready_ns = now
            elif request.retries < len(RETRY_OFFSETS_NS) and elapsed_ns >= RETRY_OFFSETS_NS[request.retries]:
                request.retries += 1
                self._resend_proposals(request)

    def _resend_proposals(self, request: Request) -> None:
        """Send the proposal to silent members, as many as the holders of the body can serve.

        The members that receive it forward the proposal to others."""
        context, own_address = self._context, self._context.settings.address
        holders = [own_address, *request.body_holders]
        silent = sorted(request.silent.values())
        asked = context.random.sample(silent, min(len(silent), MAX_ASKED_PER_HOLDER * len(holders)))
        for index, address in enumerate(asked):
            context.send(address, Proposal(request.digest, own_address, holders[index % len(holders)]))

    def due_ns(self) -> int | None:
        """Return when the next request that is not ready has to be handled."""
        due = []
        for request in self.waiting:
            if request.ready_ns is None:
                offsets = (*RETRY_OFFSETS_NS, CHECK_TIMEOUT_NS)
                due.append(request.started_ns + offsets[request.retries])
        return min(due, default=None)
