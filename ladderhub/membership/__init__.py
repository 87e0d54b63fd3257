"""Group membership among schedulers: who is alive, suspected, gone or has left, and who holds which leases.

This package only makes decisions: it takes events and the time and returns actions.  It is deterministic for
a seed and uses no I/O, clock or global state.  It imports nothing from ladderhub outside itself.
`docs/membership.md` compares the published work (SWIM, Lifeguard, Rapid, phi accrual, PaxosLease) and
explains the choices; the terms are those of these papers:

life            one process with a name; a later life of the same name is a different member
incarnation     within a life, raised by the member itself to refute a report that it is gone
observer        a member that monitors another: its predecessors on a few hash rings
indirect probe  an observer's request to a proxy to probe a silent member; answered by an ack or a nack
entry           a member as another member knows it; entries may be merged in any order and repeatedly
anti-entropy    comparison of two views by digests, to repair what gossip lost
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
