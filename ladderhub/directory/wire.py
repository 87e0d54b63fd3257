"""Messages of the directory, one JSON object a line, told apart by `op`.

Node to directory: `register`, `room`, `state`.  Scheduler to directory: `watch`.  Directory to scheduler:
`list`.  Times are nanoseconds since the epoch, memory is in GiB.
"""

from __future__ import annotations

import msgspec

from ladderhub.errors.base import PROTOCOL, LadderhubError

MAX_LINE_BYTES = 8 * 1024 * 1024


class Entry(msgspec.Struct, frozen=True):
    """One node as it is listed.  `stage`: serving, draining or gone.  `ready_ns`: its last start."""

    name: str
    address: str
    kind: str
    rack: str
    zone: str
    ready_ns: int
    stage: str = "serving"
    free_cores: float = 0.0
    free_memory: float = 0.0


class Register(msgspec.Struct, tag_field="op", tag="register"):
    """A node is up; the first message of its connection, whose end means that its process is gone."""

    entry: Entry


class Room(msgspec.Struct, tag_field="op", tag="room"):
    """What no accepted task has asked for."""

    free_cores: float
    free_memory: float


class State(msgspec.Struct, tag_field="op", tag="state"):
    """The node begins or ends draining."""

    stage: str


class Watch(msgspec.Struct, tag_field="op", tag="watch"):
    """Send lists from now on; changes alone where `since` is recent, else the full list first."""

    scheduler: str
    since: int = 0


class Listed(msgspec.Struct, tag_field="op", tag="list"):
    """`kind`: full or changes.  `version` grows by one with every change of any entry."""

    kind: str
    version: int
    entries: list[Entry]


Message = Register | Room | State | Watch | Listed
_DECODER: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)
_ENCODER = msgspec.json.Encoder()


class DirectoryError(LadderhubError):
    """The bytes are no message of the directory."""

    status, code = 3, PROTOCOL
    remedy = "look what listens at the address that the settings give as `directory`"


def encode(message: Message) -> bytes:
    return _ENCODER.encode(message) + b"\n"


class MessageDecoder:
    """Bytes in, messages out."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Message]:
        """Whole messages so far; `DirectoryError` at the first line that is none."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE_BYTES:
            raise DirectoryError(f"a line of more than {MAX_LINE_BYTES} bytes")
        try:
            return [_DECODER.decode(line) for line in lines if line]
        except msgspec.MsgspecError as fault:
            raise DirectoryError(str(fault)) from None
