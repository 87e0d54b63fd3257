"""Group membership among schedulers: who is alive, suspected, gone or has left, and who holds which leases.

Decisions only: events and time in, actions out, seeded; no I/O, clock or globals.  Imports nothing of
ladderhub but itself.  `docs/membership.md` weighs the published work (SWIM, Lifeguard, Rapid, phi accrual,
PaxosLease) and says what was chosen; the terms are those of these papers:

life            one process under a name; a later life of the same name is another member
incarnation     within a life, raised by the member itself to refute a report that it is gone
observer        a member that monitors another: its predecessors on a few hash rings
indirect probe  an observer's request to a proxy to probe a silent member; answered by an ack or a nack
entry           a member as one knows it; entries merge in any order, any number of times
anti-entropy    comparison of two views by digests, which repairs what gossip lost
voter           one of the fixed members whose majority grants leases

Each file uses only those before it in this order: messages, types, rings, table, gossip, context,
merging, failure_detector, probing, view, slots, voter, leases.
"""

from ladderhub.membership.leases import LeaseHolder
from ladderhub.membership.types import (
    LeaseSettings,
    LeasesHeld,
    MemberChanged,
    MemberSettings,
    MembershipSummary,
    MessageReceived,
    SendMessage,
    Stop,
    Tick,
    WakeAt,
)
from ladderhub.membership.view import MembershipView

__all__ = [
    "LeaseHolder",
    "LeaseSettings",
    "LeasesHeld",
    "MemberChanged",
    "MemberSettings",
    "MembershipSummary",
    "MembershipView",
    "MessageReceived",
    "SendMessage",
    "Stop",
    "Tick",
    "WakeAt",
]
