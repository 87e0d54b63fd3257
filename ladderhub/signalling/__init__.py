"""The signalling protocol for tasks, without I/O: encodes messages to bytes and decodes bytes to messages.

`table` defines the message types, causes and parameter codes, `setup` the state machine of a set-up, `binary`
the encoding used with machines, `lines` the one used with owners, and `journal` the lines of the journal
service.  The readers check each length before they use it, and buffer no more than the longest message or
event.  Apart from the base of `errors` this package must not import any other part of ladderhub, nor
sockets, clocks or selectors.
"""

from ladderhub.signalling.binary import BinaryReader, encode_binary
from ladderhub.signalling.journal import HostRow, JournalEvent, JournalReader
from ladderhub.signalling.lines import LineReader, encode_line
from ladderhub.signalling.setup import TRANSITIONS, Leg, State, Step
from ladderhub.signalling.table import MAX_MESSAGE_BYTES, Cause, Code, Kind, Message, SignalError

__all__ = [
    "MAX_MESSAGE_BYTES",
    "TRANSITIONS",
    "BinaryReader",
    "Cause",
    "Code",
    "HostRow",
    "JournalEvent",
    "JournalReader",
    "Kind",
    "Leg",
    "LineReader",
    "Message",
    "SignalError",
    "State",
    "Step",
    "encode_binary",
    "encode_line",
]
