"""Configuration of the fleet as numbered revisions, chosen by a majority of a fixed set of voters.

The package holds decision logic only: events and the time go in, actions come out.  It does no I/O, reads no
clock, has no globals, takes its randomness from a seed and imports nothing else from ladderhub.
`docs/revisions.md` compares the published algorithms (Paxos, Raft, epidemic algorithms) and explains the
choice.  The terms are those of these papers:

revision        a numbered configuration of the whole fleet; its header refers to its parent by digest
body            the configuration itself, opaque bytes in this package
head            the newest chosen revision that a scheduler knows
voter           one of the few fixed schedulers that accept values (a Paxos acceptor)
proposer        the scheduler that received the operator's request; any scheduler can be one
instance        the run of Paxos that chooses the revision of one number
ballot          one attempt of a proposer to have a value accepted for a number
chosen          accepted in one ballot by a majority of the voters; later failures can't undo it
active          the revision that this scheduler acts by

Each life of a scheduler creates one `Revisions(settings, stored, seed)`, where `stored` is the `Record` of
the previous life, and then calls `handle(now_ns, event)` for each event, first of all with a `Tick`.  The
caller carries out the returned actions in order, and carries out no action that follows a `Store` before that
record is on disk.  `head(now_ns)` is sent with every frame to a peer; `status(now_ns)` serves status queries;
`is_stale(now_ns)` tells, without an event, that this scheduler was paused and must not decide before its next
`Tick`.

Each file uses only those before it in this order: messages, types, content, record, context,
ledger, voter, bodies, ballots, opinions, requests, proposer, sync, confirm, activation, revisions.
"""

from ladderhub.revision.record import decode_record, encode_record
from ladderhub.revision.revisions import Revisions
from ladderhub.revision.types import (
    Activate, Answer, Apply, BodyChecked, CheckBody, HeadSeen, Hold, MembersChanged, MessageReceived, Notice,
    Notify, Record, Resume, Revision, RevisionSettings, Send, Status, Store, Tick, WakeAt,
)  # fmt: skip

__all__ = [
    "Activate", "Answer", "Apply", "BodyChecked", "CheckBody", "HeadSeen", "Hold", "MembersChanged",
    "MessageReceived", "Notice", "Notify", "Record", "Resume", "Revision", "RevisionSettings", "Revisions",
    "Send", "Status", "Store", "Tick", "WakeAt", "decode_record", "encode_record",
]  # fmt: skip
