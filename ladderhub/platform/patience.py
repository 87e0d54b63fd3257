"""Decides when a service that says nothing is dialled once more, and how long its connections are kept.

A connection that says nothing may lead to a service that is slow, or to one that is dead.  Nobody can tell
which, so neither is assumed: another connection is dialled soon, and the first ones are kept meanwhile.  The
one that speaks first is used.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
S = 1_000 * MS
# The service sends a line each second; after this time without one another connection is dialled.
SILENCE_LIMIT_NS = 1_500 * MS
# A connection that never spoke is kept for this long, however slow its service is.
PATIENCE_NS = 30 * S
# At most so many connections that have not spoken yet.  The first ones are kept, as they are closest to an
# answer; the newest is replaced, so that a service that is back is found soon.
MAX_CANDIDATES = 3


@dataclass
class ConnectionTimes:
    """When a connection was dialled, came up and was last heard, in nanoseconds of the event loop."""

    dialled_ns: int
    connected_ns: int | None = None
    heard_ns: int | None = None

    def get_silence_ns(self, now_ns: int) -> int:
        """Time since the last sign of its service, or since it was dialled."""
        if self.heard_ns is not None:
            return now_ns - self.heard_ns
        return now_ns - (self.dialled_ns if self.connected_ns is None else self.connected_ns)

    def is_overdue(self, now_ns: int, connect_timeout_ns: int) -> bool:
        """Whether another connection should be dialled beside it."""
        limit_ns = connect_timeout_ns if self.connected_ns is None else SILENCE_LIMIT_NS
        return self.get_silence_ns(now_ns) > limit_ns

    def is_hopeless(self, now_ns: int) -> bool:
        """Whether it is not worth keeping any longer."""
        return self.get_silence_ns(now_ns) > PATIENCE_NS
