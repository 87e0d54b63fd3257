"""Message types, causes and parameter codes, and the message that both encodings share."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from ladderhub.errors.base import PROTOCOL, LadderhubError

MAX_MESSAGE_BYTES = 16 * 1024  # in either encoding
ID_DIGITS = 16  # hex digits of a task id


class SignalError(LadderhubError):
    """A violation of the protocol.  `id` is the id of the task concerned, or empty if it is unknown."""

    status, code = 1, PROTOCOL
    remedy = "look at the program at the other end, named in the log line: its messages are not the protocol"

    def __init__(self, text: str, id: str = "") -> None:
        super().__init__(text)
        self.id = id


class Kind(IntEnum):
    """Message types: the number is the type in the binary encoding, the lower-case name that in JSON."""

    SETUP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASED = 16
    NOTE = 44
    MOVE = 51
    PING = 52
    PONG = 53


class Cause(IntEnum):
    """Why a release is sent.  The numbers are taken from ITU-T Q.850."""

    NORMAL = 16  # before the answer: the set-up is withdrawn; after it: the task has ended
    CANCELLED = 31  # after the answer: the task was moved, or ended by its owner
    NO_ROOM = 34  # refused for lack of resources: the task never ran
    BROKEN = 41  # before the answer: the set-up was lost in transit; after it: the task was cut off
    BUSY = 42  # refused
    ERROR = 47
    MISSING = 96  # a mandatory part of the set-up is missing
    INVALID = 100  # a part of the set-up has an invalid value
    MOOT = 102  # the set-up was never sent
    PROTOCOL = 111  # protocol violation


class Code(IntEnum):
    """Parameter codes of binary messages."""

    CLASS = 180
    WAIT = 181
    KEY = 184
    NOTE = 187
    FIGURE = 192
    CAUSE = 194
    DESCRIPTION = 195


TEST_ASKED, TEST_FAILED, TEST_PASSED = 0, 0, 1  # the cause of a ping and those of its possible answers
_HEX = frozenset("0123456789abcdef")


def is_id(text: str) -> bool:
    """Whether the text is a task id: 16 hex digits, lower-case so that both encodings give the same text."""
    return len(text) == ID_DIGITS and _HEX.issuperset(text)


@dataclass(slots=True)
class Message:
    """One message.  `fields` holds the fields of a JSON message, `values` the parameters of a binary message
    other than cause and description, by code."""

    kind: Kind
    id: str
    cause: int | None = None
    description: str | None = None
    fields: dict[str, str | int | float] = field(default_factory=dict)
    values: dict[int, str] = field(default_factory=dict)
