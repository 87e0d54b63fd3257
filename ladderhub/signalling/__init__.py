"""The signalling protocol of tasks, without I/O: bytes in, messages out, and back.

`table` has every message type, cause and parameter code once, `setup` the states of a set-up, `binary` and
`lines` the two encodings (machines and owners), `journal` the lines of the journal service.  Nothing over
`MAX_MESSAGE_BYTES` is gathered, and no length is believed before it is checked.  Must not import any other
part of ladderhub, nor sockets, clocks or selectors.
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
