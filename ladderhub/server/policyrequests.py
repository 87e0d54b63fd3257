"""Operators' requests on the configuration: Manager requests on an object type that PBS does not have,
`names.OBJ_POLICY`.

Create applies a policy and is answered once its outcome is known.  List returns the state, or, if its name is
a revision number or `current`, that revision with its body.
"""

from __future__ import annotations

import time

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row, refusal
from ladderhub.pbs.connection import ServerConnection
from ladderhub.revision.content import digest_of
from ladderhub.revision.messages import Header
from ladderhub.revision.types import (
    Applied, Invalid, LostTo, NoMajority, Outcome, Refused, StaleParent, Unchanged,
)  # fmt: skip
from ladderhub.server.clientlistener import ReplyCallback
from ladderhub.server.context import DaemonContext
from ladderhub.server.revisions import RevisionService

CURRENT = "current"
S, MS = 1_000_000_000, 1_000_000


class PolicyError(LadderhubError):
    """A refused request on the configuration: the field, what was found, what is expected."""

    status, code = 2, n.BAD_ATTRIBUTE_VALUE
    remedy = (
        "mend what is named; `ladderhub policy status` tells what is in force and which revisions are kept"
    )


class PolicyRequests:
    """Serves the requests of `ladderhub policy`."""

    def __init__(self, context: DaemonContext, service: RevisionService) -> None:
        self._context, self._service = context, service

    def serve(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Serve a Manager request on the policy: create (apply) or list."""
        if self._context.stopping:
            answer(refusal(n.SERVER_BUSY, f"{self._context.name} is stopping"))
            return
        try:
            if request.command == n.CMD_CREATE:
                self._apply(request, answer)
            elif request.command == n.CMD_LIST and request.name:
                answer(_build_reply([self._build_revision_row(request.name)]))
            elif request.command == n.CMD_LIST:
                answer(_build_reply([self._build_status_row(), *self._build_member_rows()]))
            else:
                raise PolicyError("create and list are known for the configuration")
        except PolicyError as fault:
            answer(refusal(fault.code, str(fault)))

    # --- apply ------------------------------------------------------------------------------------------

    def _apply(self, request: Request, answer: ReplyCallback) -> None:
        body = request.get("body").encode("utf-8", "surrogateescape")
        author = request.get("author") or request.user
        members = self._service.get_member_names()

        def on_outcome(outcome: Outcome) -> None:
            answer(_build_reply([Row(n.OBJ_POLICY, "", _build_outcome_attrs(outcome, members))]))

        self._service.apply(
            body, self._find_parent_digest(request.get("parent")), author, request.get("reason"),
            time.time_ns() // MS, on_outcome,
        )  # fmt: skip

    def _find_parent_digest(self, text: str) -> bytes | None:
        """Return the digest of the revision that the request is based on; None if it names none, which means
        the current one."""
        if not text:
            return None
        if text == "0":
            return digest_of(None)
        return digest_of(self._find_header(text, "parent"))

    # --- show and status --------------------------------------------------------------------------------

    def _find_header(self, text: str, where: str) -> Header:
        """Return the header of a revision by its number or `current`; PolicyError if it is not kept here."""
        status = self._service.revisions.status(self._context.loop.now_ns())
        if text == CURRENT:
            if status.active is None:
                raise PolicyError("no revision is in force here yet", where=where)
            return status.active
        kept = {str(header.number): header for header in (*status.history, status.active) if header}
        if text not in kept:
            numbers = sorted(map(int, kept))
            meant = f"one of {numbers[0]} to {numbers[-1]}" if numbers else "none is known here yet: 0"
            raise PolicyError(f"found {text!r}", where=where, expected=meant)
        return kept[text]

    def _build_revision_row(self, text: str) -> Row:
        header = self._find_header(text, "revision")
        body = self._service.revisions.body_of(header)
        if body is None:
            raise PolicyError(f"its body is no longer kept by {self._context.name}", where=f"revision {text}")
        attrs = [*_build_header_attrs(header), Attr("body", body.decode("utf-8", "surrogateescape"))]
        return Row(n.OBJ_POLICY, str(header.number), attrs)

    def _build_status_row(self) -> Row:
        status = self._service.revisions.status(self._context.loop.now_ns())
        attrs = self._service.build_status_rows()
        if status.active is not None:
            attrs += _build_header_attrs(status.active)
        return Row(n.OBJ_POLICY, self._context.name, attrs)

    def _build_member_rows(self) -> list[Row]:
        """Build a row for each other member, with the newest revision that it reported."""
        now, heads, rows = self._context.loop.now_ns(), self._service.get_heads(), []
        for name in self._service.get_member_names():
            if name == self._context.name:
                continue
            attrs: list[Attr] = []
            if name in heads:
                head, heard_ns = heads[name]
                attrs = [
                    Attr("head", str(head.number)), Attr("digest", head.digest.hex()),
                    Attr("heard", f"{(now - heard_ns) / S:.1f}"),
                ]  # fmt: skip
            rows.append(Row(n.OBJ_POLICY, name, attrs))
        return rows


def _build_reply(rows: list[Row]) -> Reply:
    return Reply(0, n.R_STATUS, rows=rows)


def _build_header_attrs(header: Header | None) -> list[Attr]:
    if header is None:
        return [Attr("number", "0")]
    return [
        Attr("number", str(header.number)), Attr("digest", digest_of(header).hex()),
        Attr("parent", header.parent.hex()), Attr("author", header.author), Attr("reason", header.reason),
        Attr("made_ms", str(header.made_ms)),
    ]  # fmt: skip


def _build_outcome_attrs(outcome: Outcome, members: list[str]) -> list[Attr]:
    """Build the attributes of an outcome's row.  `members`: the schedulers that were asked to confirm it."""
    match outcome:
        case Applied(header, _, silent):
            confirmed = ", ".join(name for name in members if name not in silent)
            attrs = [Attr("confirmed", confirmed), Attr("silent", ", ".join(silent))]
            return [Attr("outcome", "applied"), *_build_header_attrs(header), *attrs]
        case Unchanged(header, _):
            return [Attr("outcome", "unchanged"), *_build_header_attrs(header)]
        case StaleParent(current, _):
            return [Attr("outcome", "stale parent"), *_build_header_attrs(current)]
        case LostTo(winner, _):
            return [Attr("outcome", "lost"), *_build_header_attrs(winner)]
        case Refused(member, fault):
            return [Attr("outcome", "refused"), Attr("member", member), Attr("fault", fault)]
        case NoMajority(answered, voters, may_follow, age_ns):
            age = "unknown" if age_ns is None else f"{age_ns / S:.1f}"
            return [
                Attr("outcome", "no majority"), Attr("answered", str(answered)), Attr("voters", str(voters)),
                Attr("may_follow", str(may_follow)), Attr("age", age),
            ]  # fmt: skip
        case Invalid(fault):
            return [Attr("outcome", "invalid"), Attr("fault", fault)]
