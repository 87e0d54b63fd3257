"""Counts of malformed input by kind and peer, in bounded memory, reported once a second."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

REPORT_INTERVAL_NS = 1_000_000_000
MAX_PEERS_PER_KIND = 64  # reported by name each second; the rest are counted together
MAX_KINDS = 32


@dataclass(frozen=True, slots=True)
class MalformedInputCount:
    """How many inputs of a kind came from a peer since the last report; "others" sums further peers."""

    kind: str
    peer: str
    count: int


class MalformedInputTally:
    """Counts malformed input.

    Hostile senders choose kinds and peers, so the number of counters of both is limited."""

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()  # by kind, since the start
        self._unreported: dict[str, Counter[str]] = {}
        self._last_report_ns: int | None = None

    def count(self, kind: str, peer: str) -> None:
        """Count one malformed input."""
        if kind not in self.total and len(self.total) >= MAX_KINDS:
            kind = "others"
        self.total[kind] += 1
        peers = self._unreported.setdefault(kind, Counter())
        peers[peer if peer in peers or len(peers) < MAX_PEERS_PER_KIND else "others"] += 1

    def take_due(self, now_ns: int) -> list[MalformedInputCount]:
        """Return and reset the counts since the last report, at most once a second; else an empty list."""
        if not self._unreported or (
            self._last_report_ns is not None and now_ns - self._last_report_ns < REPORT_INTERVAL_NS
        ):
            return []
        self._last_report_ns = now_ns
        unreported, self._unreported = self._unreported, {}
        return [
            MalformedInputCount(kind, peer, count) for kind, peers in sorted(unreported.items())
            for peer, count in sorted(peers.items())
        ]  # fmt: skip
