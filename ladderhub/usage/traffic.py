"""Bytes and messages by kind of connection and direction."""

from __future__ import annotations

import re
from typing import TypedDict

CLIENT, NODE, DIRECTORY, SCHEDULER = "client", "node", "directory", "scheduler"
UNREADABLE = "unreadable"  # datagrams that are not a message of the cluster
_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


class TrafficRow(TypedDict):
    """The counts of one kind of connection, as written to statistics files."""

    bytes_in: int
    bytes_out: int
    messages_in: int
    messages_out: int


class TrafficCount:
    """Traffic of all connections of one kind.

    Outgoing bytes are counted when written, whether or not the peer reads them, incoming ones when read."""

    __slots__ = ("bytes_in", "bytes_out", "messages_in", "messages_out")

    def __init__(self) -> None:
        self.bytes_in = self.bytes_out = self.messages_in = self.messages_out = 0

    def to_row(self) -> TrafficRow:
        """Return the counts for a statistics file."""
        return TrafficRow(
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            messages_in=self.messages_in,
            messages_out=self.messages_out,
        )


class Traffic:
    """Traffic of one process by kind of connection or message."""

    def __init__(self) -> None:
        self.kinds: dict[str, TrafficCount] = {}
        self._message_kinds: dict[type, TrafficCount] = {}

    def of(self, kind: str) -> TrafficCount:
        """Return the count of this kind; a new kind starts at zero."""
        return self.kinds.setdefault(kind, TrafficCount())

    def of_message(self, message: object) -> TrafficCount:
        """Return the count of this message's type; see `kind_of`."""
        count = self._message_kinds.get(type(message))
        if count is None:
            count = self._message_kinds[type(message)] = self.of(kind_of(type(message)))
        return count

    def to_rows(self) -> dict[str, TrafficRow]:
        """Return all counts for a statistics file."""
        return {kind: count.to_row() for kind, count in sorted(self.kinds.items())}


def kind_of(message_type: type) -> str:
    """Return the class name in snake case: `ping` for Ping, `lease_request` for LeaseRequest."""
    return _WORD_START.sub("_", message_type.__name__).lower()
