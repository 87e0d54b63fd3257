"""Counts of what came spoilt, by kind and peer, in bounded memory, told once a second."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

TOLD_NS = 1_000_000_000
PEERS_MOST = 64  # peers of one kind told by name in a second; the rest are counted together
KINDS_MOST = 32


@dataclass(frozen=True, slots=True)
class MalformedInputCount:
    """What is told: so many of a kind from a peer since the last time.  Peer «others»: there were many."""

    kind: str
    peer: str
    count: int


class MalformedInputTally:
    """Hostile senders choose what is counted, so neither kinds nor peers may grow this without end."""

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()  # by kind, since the start
        self._fresh: dict[str, Counter[str]] = {}
        self._told_ns: int | None = None

    def count(self, kind: str, peer: str) -> None:
        if kind not in self.total and len(self.total) >= KINDS_MOST:
            kind = "others"
        self.total[kind] += 1
        peers = self._fresh.setdefault(kind, Counter())
        peers[peer if peer in peers or len(peers) < PEERS_MOST else "others"] += 1

    def take_due(self, now_ns: int) -> list[MalformedInputCount]:
        """What came since the last time, at most once a second."""
        if not self._fresh or (self._told_ns is not None and now_ns - self._told_ns < TOLD_NS):
            return []
        self._told_ns = now_ns
        fresh, self._fresh = self._fresh, {}
        return [
            MalformedInputCount(kind, peer, count) for kind, peers in sorted(fresh.items())
            for peer, count in sorted(peers.items())
        ]  # fmt: skip
