"""Message types, causes and parameter codes, each once, and what a message is in either encoding."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from ladderhub.errors.base import PROTOCOL, LadderhubError

MAX_MESSAGE_BYTES = 16 * 1024  # bytes of one message, in either encoding
ID_DIGITS = 16


class SignalError(LadderhubError):
    """What was read is not the protocol.  Where it could be told whose it was, `id` names the task."""

    status, code = 1, PROTOCOL
    remedy = "look at the program at the other end, named in the log line: its messages are not the protocol"

    def __init__(self, text: str, id: str = "") -> None:
        super().__init__(text)
        self.id = id


class Kind(IntEnum):
    """Message types; the number is the binary type, the name in lower case the JSON type."""

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
    """Why a release is sent.  The numbers are those of Q.850, which the protocol borrows."""

    NORMAL = 16  # a set-up is given up; after the answer: the task has come to its end
    CANCELLED = 31  # after the answer: moved, or ended by its owner
    NO_ROOM = 34  # full: it never ran
    BROKEN = 41  # before the answer: broke on its way; after it: the task was cut
    BUSY = 42  # refused
    ERROR = 47
    MISSING = 96  # something that a set-up must have is not there
    INVALID = 100  # something in it makes no sense
    MOOT = 102  # it never left
    PROTOCOL = 111  # not as the protocol goes


class Code(IntEnum):
    """Parameter codes of binary messages."""

    CLASS = 180
    WAIT = 181
    KEY = 184
    NOTE = 187
    FIGURE = 192
    CAUSE = 194
    DESCRIPTION = 195


TEST_ASKED, TEST_FAILED, TEST_PASSED = 0, 0, 1  # the causes of a test and of its answers
_HEX = frozenset("0123456789abcdef")


def is_id(text: str) -> bool:
    """Whether this names a task: 16 hex digits, in lower case, so that both encodings give back the same."""
    return len(text) == ID_DIGITS and _HEX.issuperset(text)


@dataclass(slots=True)
class Message:
    """One message.  `fields` are a JSON message's fields, `values` a binary one's further parameters."""

    kind: Kind
    id: str
    cause: int | None = None
    description: str | None = None
    fields: dict[str, str | int | float] = field(default_factory=dict)
    values: dict[int, str] = field(default_factory=dict)
