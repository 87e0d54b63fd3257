"""Membership among schedulers: who is there, who is suspected, who has left, who is gone, who holds seats.

Decisions only: events and time in, actions out, seeded; no I/O, clock or globals.  Imports nothing of
ladderhub but itself.  `docs/membership.md` weighs the published work (SWIM, Lifeguard, Rapid, phi accrual)
and says what was chosen; the terms are those of these papers:

life            one process under a name; a later life of the same name is another member
incarnation     within a life, raised by the member itself to contradict word that it is gone
observer        a member that watches another: its predecessors on a few rings of hashes
witness         a member that an observer asked to reach the one it watches, and that answered
entry           a member as one knows it; entries merge in any order, any number of times

Each file uses only those before it in this order: messages, types, rings, table, gossip,
desk, entries, watching, looking, views, seats.
"""

from ladderhub.membership.seats import Seats, SeatSettings
from ladderhub.membership.types import Heard, MemberSettings, Say, SeatsHeld, Share, Stop, Tick, Told, WakeAt
from ladderhub.membership.views import Views

__all__ = [
    "Heard", "MemberSettings", "Say", "SeatSettings", "Seats", "SeatsHeld", "Share", "Stop", "Tick", "Told",
    "Views", "WakeAt",
]  # fmt: skip
