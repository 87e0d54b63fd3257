"""Messages of the directory: one JSON object per line, whose type is in the field `op`.

Node to directory: `register`, `room`, `state`.  Scheduler to directory: `watch`.  Directory to scheduler:
`list`.  Times are nanoseconds since the epoch, memory is in GiB.
"""

from __future__ import annotations

import msgspec

from ladderhub.errors.base import PROTOCOL, LadderhubError

MAX_LINE_BYTES = 8 * 1024 * 1024


class Entry(msgspec.Struct, frozen=True):
    """One listed node.  `stage`: serving, draining or gone.  `ready_ns`: time of its last start."""

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
    """A node is up: its first message.  When its connection ends, the node's process is gone."""

    entry: Entry


class Room(msgspec.Struct, tag_field="op", tag="room"):
    """The resources of a node that no accepted task has reserved."""

    free_cores: float
    free_memory: float


class State(msgspec.Struct, tag_field="op", tag="state"):
    """The node begins or ends draining."""

    stage: str


class Watch(msgspec.Struct, tag_field="op", tag="watch"):
    """A subscription to lists: changes only if the version `since` is recent, else a full list first."""

    scheduler: str
    since: int = 0


class Listed(msgspec.Struct, tag_field="op", tag="list"):
    """A list of nodes.  `kind` is full or changes; `version` grows by one with every change of any entry."""

    kind: str
    version: int
    entries: list[Entry]


Message = Register | Room | State | Watch | Listed
_DECODER: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)
_ENCODER = msgspec.json.Encoder()


class DirectoryError(LadderhubError):
    """The received bytes are not a valid or expected message of the directory."""

    status, code = 3, PROTOCOL
    remedy = "look what listens at the address that the settings give as `directory`"


def encode(message: Message) -> bytes:
    """Return a message as one line."""
    return _ENCODER.encode(message) + b"\n"


class MessageDecoder:
    """Decodes messages from a stream of bytes."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that are complete.  Raises `DirectoryError` at the first invalid line."""
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_LINE_BYTES:
            raise DirectoryError(f"a line is longer than {MAX_LINE_BYTES} bytes")
        try:
            return [_DECODER.decode(line) for line in lines if line]
        except msgspec.MsgspecError as fault:
            raise DirectoryError(str(fault)) from None
