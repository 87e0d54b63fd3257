"""Simulated time, and a network that loses, doubles, delays and cuts.  Hosts may pause and die."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MS, S = 1_000_000, 1_000_000_000


@dataclass(slots=True)
class Faults:
    """Of every message, unless `cut` has it: shares lost and doubled, and the span of its delay."""

    loss: float = 0.0
    doubled: float = 0.0
    delay_ns: tuple[int, int] = (MS // 2, 5 * MS)
    cut: Callable[[str, str], bool] | None = None


class Net:
    """A queue of calls by time, and messages between addresses.

    A paused host's messages wait as in a socket's buffer, at most `BUFFER`, and its calls are late."""

    BUFFER = 200

    def __init__(self, seed: int, faults: Faults | None = None) -> None:
        self.now = 1_000_000 * S
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.sent = self.sent_bytes = 0
        self._queue: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._count = 0
        self._hosts: dict[str, Callable[[Any], None]] = {}
        self._paused: dict[str, list[tuple[Callable[..., object], tuple[Any, ...]]]] = {}

    def call_at(self, when: int, call: Callable[..., object], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, call, args))

    def run(self, until: int) -> None:
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(queue)
            call(*args)
        self.now = until

    # --- hosts ------------------------------------------------------------------------------------------

    def open(self, address: str, receive: Callable[[Any], None]) -> None:
        """Whoever opens an address has it from now on."""
        self._hosts[address] = receive
        self._paused.pop(address, None)

    def close(self, address: str, receive: Callable[[Any], None]) -> None:
        if self._hosts.get(address) == receive:
            del self._hosts[address]
            self._paused.pop(address, None)

    def pause(self, address: str) -> None:
        self._paused.setdefault(address, [])

    def go_on(self, address: str) -> None:
        for call, args in self._paused.pop(address, []):
            call(*args)

    def on(self, address: str, call: Callable[..., object], *args: Any) -> None:
        """A call of the host's own: late where it is paused."""
        waiting = self._paused.get(address)
        if waiting is None:
            call(*args)
        else:
            waiting.append((call, args))

    # --- messages ---------------------------------------------------------------------------------------

    def send(self, source: str, target: str, message: Any, size: int) -> None:
        self.sent += 1
        self.sent_bytes += size
        faults, chance = self.faults, self.random.random
        if faults.cut is not None and faults.cut(source, target):
            return
        for _ in range(2 if faults.doubled and chance() < faults.doubled else 1):
            if faults.loss and chance() < faults.loss:
                continue
            low, high = faults.delay_ns
            self.call_at(self.now + low + int((high - low) * chance()), self._arrive, target, message)

    def _arrive(self, target: str, message: Any) -> None:
        waiting = self._paused.get(target)
        if waiting is not None:
            if len(waiting) < self.BUFFER:
                waiting.append((self._arrive, (target, message)))
            return
        receive = self._hosts.get(target)
        if receive is not None:
            receive(message)
