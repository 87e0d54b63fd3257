"""Bytes and messages by kind of connection and direction."""

from __future__ import annotations

import re
from typing import TypedDict

CLIENT, NODE, DIRECTORY, SCHEDULER = "client", "node", "directory", "scheduler"
UNREADABLE = "unreadable"  # datagrams that were no message of the cluster
_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


class TrafficRow(TypedDict):
    """The counts of one kind, as they are written to statistics files."""

    bytes_in: int
    bytes_out: int
    messages_in: int
    messages_out: int


class TrafficCount:
    """What passed over connections of one kind.  Bytes out count when written, whether or not the peer takes
    them; bytes in when read."""

    __slots__ = ("bytes_in", "bytes_out", "messages_in", "messages_out")

    def __init__(self) -> None:
        self.bytes_in = self.bytes_out = self.messages_in = self.messages_out = 0

    def to_row(self) -> TrafficRow:
        return TrafficRow(
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            messages_in=self.messages_in,
            messages_out=self.messages_out,
        )


class Traffic:
    """The counts of one process, by kind."""

    def __init__(self) -> None:
        self.kinds: dict[str, TrafficCount] = {}
        self._message_kinds: dict[type, TrafficCount] = {}

    def of(self, kind: str) -> TrafficCount:
        """The count of this kind, made where it is new."""
        return self.kinds.setdefault(kind, TrafficCount())

    def of_message(self, message: object) -> TrafficCount:
        """The count of this type of message: its kind is the name of the class, in lower case with
        underscores."""
        count = self._message_kinds.get(type(message))
        if count is None:
            count = self._message_kinds[type(message)] = self.of(kind_of(type(message)))
        return count

    def to_rows(self) -> dict[str, TrafficRow]:
        """All counts, for a statistics file."""
        return {kind: count.to_row() for kind, count in sorted(self.kinds.items())}


def kind_of(message_type: type) -> str:
    """`ping` for the class Ping, `lease_request` for LeaseRequest."""
    return _WORD_START.sub("_", message_type.__name__).lower()
