"""Acting by what was chosen: checked here first, each revision at most once in a life, never an older one."""

from __future__ import annotations

from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Header
from ladderhub.revision.opinions import Opinions
from ladderhub.revision.types import Activate, Notice, Revision
from ladderhub.revision.content import digest_of


class Activation:
    """What this life acts by.  At its start that is what its last life acted by, until it knows more."""

    def __init__(self, context: Context, ledger: Ledger, opinions: Opinions) -> None:
        self._context, self._ledger, self._opinions = context, ledger, opinions
        self.acting: Header | None = None  # in this life
        self.fault: str | None = None  # why the head is not acted by
        self._told = 0  # the highest number that could not be acted by

    def progress(self) -> None:
        ledger, head = self._ledger, self._ledger.head
        if self.acting is None and ledger.active is not None and ledger.active_body is not None:
            self._consider(ledger.active, ledger.active_body)
        if head is not None and ledger.body is not None:
            self._consider(head, ledger.body)

    def _consider(self, header: Header, body: bytes) -> None:
        if self.acting is not None and header.number <= self.acting.number:
            return
        fault = self._opinions.get(header.body)
        if fault is None:
            self._opinions.check(header.body, body)
        elif fault:
            self._refuse(header, fault)
        else:
            self._activate(header, body)

    def _refuse(self, header: Header, fault: str) -> None:
        if header.number > self._told:
            self._told = header.number
            self._context.tell(Notice.CANNOT_ACTIVATE, f"revision {header.number}: {fault}")
        if header == self._ledger.head:
            self.fault = fault

    def _activate(self, header: Header, body: bytes) -> None:
        self.acting, self.fault = header, None
        self._ledger.activate(header, body)
        self._ledger.store()
        self._context.actions.append(Activate(Revision(header, digest_of(header), body)))
        text = f"revision {header.number} by {header.author}: {header.reason}"
        self._context.tell(Notice.ACTIVE, text)

    def is_settled(self) -> bool:
        """Is the head acted by, or known not to be possible here?"""
        head = self._ledger.head
        return head is not None and (self.acting == head or self.fault is not None)

    def on_chosen(self) -> None:
        """The head has changed: what kept us from the one before says nothing of it."""
        self.fault = None
