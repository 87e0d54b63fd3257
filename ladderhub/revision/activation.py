"""Activation of chosen revisions, after a local check: each at most once in a life, never an older one."""

from __future__ import annotations

from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Header
from ladderhub.revision.opinions import Opinions
from ladderhub.revision.types import Activate, Notice, Revision
from ladderhub.revision.content import digest_of


class Activation:
    """The active revision of this life; at first the one that was active in the previous life."""

    def __init__(self, context: Context, ledger: Ledger, opinions: Opinions) -> None:
        self._context, self._ledger, self._opinions = context, ledger, opinions
        self.active: Header | None = None  # None: none yet in this life
        self.fault: str | None = None  # why the head can't be activated
        self._reported_number = 0  # highest number whose fault was reported

    def progress(self) -> None:
        ledger, head = self._ledger, self._ledger.head
        if self.active is None and ledger.active is not None and ledger.active_body is not None:
            self._try_activate(ledger.active, ledger.active_body)
        if head is not None and ledger.body is not None:
            self._try_activate(head, ledger.body)

    def _try_activate(self, header: Header, body: bytes) -> None:
        if self.active is not None and header.number <= self.active.number:
            return
        fault = self._opinions.get_fault(header.body)
        if fault is None:
            self._opinions.check(header.body, body)
        elif fault:
            self._report_fault(header, fault)
        else:
            self._activate(header, body)

    def _report_fault(self, header: Header, fault: str) -> None:
        if header.number > self._reported_number:
            self._reported_number = header.number
            self._context.notify(Notice.CANNOT_ACTIVATE, f"revision {header.number}: {fault}")
        if header == self._ledger.head:
            self.fault = fault

    def _activate(self, header: Header, body: bytes) -> None:
        self.active, self.fault = header, None
        self._ledger.set_active(header, body)
        self._ledger.store()
        self._context.actions.append(Activate(Revision(header, digest_of(header), body)))
        text = f"revision {header.number} by {header.author}: {header.reason}"
        self._context.notify(Notice.ACTIVE, text)

    def is_settled(self) -> bool:
        """Return whether the head is active or known to have a fault here."""
        head = self._ledger.head
        return head is not None and (self.active == head or self.fault is not None)

    def on_head_changed(self) -> None:
        """Reset the fault, which belongs to the previous head."""
        self.fault = None
