"""Configuration of the fleet as numbered revisions, chosen by a majority of fixed voters.

Decisions only: events and time in, actions out, seeded; no I/O, clock or globals.  Imports nothing of
ladderhub but itself.  `docs/revisions.md` weighs the published work (Paxos, Raft, epidemic algorithms) and
says what was chosen; the terms are those of these papers:

revision        a numbered configuration of the whole fleet; its header names its parent by digest
body            the configuration itself, opaque bytes here
head            the newest chosen revision that a scheduler knows
voter           one of a fixed few schedulers that accept (an acceptor of Paxos)
proposer        the scheduler that an operator asked; any may be one
ballot          one try of a proposer to have a value accepted for a number
chosen          accepted in one ballot by a majority of the voters: for good, whatever fails later
active          the revision that this scheduler acts by

One `Revisions` for each life of a scheduler: `Revisions(settings, stored, seed)` with the `Record` of the
life before, then `handle(now_ns, event)` for each event, the first a `Tick`.  The actions are carried out in
the order given; no action after a `Store` before its record is on disk.  `head(now_ns)` rides on every frame
to a peer; `status(now_ns)` is for whoever asks; `is_stale(now_ns)` says, without an event, that this
scheduler has stood still and must not decide before its next `Tick`.

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
