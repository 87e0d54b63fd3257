"""Simulated time, and a network that loses, duplicates, delays and cuts off messages between hosts."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MS, S = 1_000_000, 1_000_000_000  # nanoseconds


@dataclass(slots=True)
class Faults:
    """Faults of the network: the shares of messages lost and duplicated, and the range of their delay.

    `cut(source, target)`: whether all messages from the one address to the other are lost."""

    loss: float = 0.0
    duplicated: float = 0.0
    delay_ns: tuple[int, int] = (MS // 2, 5 * MS)
    cut: Callable[[str, str], bool] | None = None


class Net:
    """An event queue in simulated time, and message delivery between addresses.

    While a host is paused, its messages wait as in a socket's buffer, up to `MAX_BUFFERED_MESSAGES`, and its
    own calls wait until it resumes."""

    MAX_BUFFERED_MESSAGES = 200

    def __init__(self, seed: int, faults: Faults | None = None) -> None:
        self.now = 1_000_000 * S
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.sent = self.sent_bytes = 0
        self._queue: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._sequence = 0
        self._hosts: dict[str, Callable[[Any], None]] = {}
        self._paused: dict[str, list[tuple[Callable[..., object], tuple[Any, ...]]]] = {}

    def call_at(self, at_ns: int, call: Callable[..., object], *args: Any) -> None:
        """Schedules a call at a simulated time."""
        self._sequence += 1
        heapq.heappush(self._queue, (at_ns, self._sequence, call, args))

    def run(self, until_ns: int) -> None:
        """Runs all calls that are due until this time."""
        queue = self._queue
        while queue and queue[0][0] <= until_ns:
            self.now, _, call, args = heapq.heappop(queue)
            call(*args)
        self.now = until_ns

    # --- hosts ------------------------------------------------------------------------------------------

    def open(self, address: str, receive: Callable[[Any], None]) -> None:
        """Registers the receiver of an address and replaces an earlier one."""
        self._hosts[address] = receive
        self._paused.pop(address, None)

    def close(self, address: str, receive: Callable[[Any], None]) -> None:
        """Removes a receiver from its address, unless another receiver has replaced it."""
        if self._hosts.get(address) == receive:
            del self._hosts[address]
            self._paused.pop(address, None)

    def pause(self, address: str) -> None:
        """Queues messages and calls of the host at this address from now on."""
        self._paused.setdefault(address, [])

    def resume(self, address: str) -> None:
        """Delivers the queued messages and calls of a paused host."""
        for call, args in self._paused.pop(address, []):
            call(*args)

    def call_on_host(self, address: str, call: Callable[..., object], *args: Any) -> None:
        """Runs a call of the host itself, or queues it while the host is paused."""
        waiting = self._paused.get(address)
        if waiting is None:
            call(*args)
        else:
            waiting.append((call, args))

    # --- messages ---------------------------------------------------------------------------------------

    def send(self, source: str, target: str, message: Any, size: int) -> None:
        """Sends a message subject to the current faults.  `size`: bytes, for the traffic counters."""
        self.sent += 1
        self.sent_bytes += size
        faults, draw = self.faults, self.random.random
        if faults.cut is not None and faults.cut(source, target):
            return
        for _ in range(2 if faults.duplicated and draw() < faults.duplicated else 1):
            if faults.loss and draw() < faults.loss:
                continue
            least, most = faults.delay_ns
            self.call_at(self.now + least + int((most - least) * draw()), self._arrive, target, message)

    def _arrive(self, target: str, message: Any) -> None:
        waiting = self._paused.get(target)
        if waiting is not None:
            if len(waiting) < self.MAX_BUFFERED_MESSAGES:
                waiting.append((self._arrive, (target, message)))
            return
        receive = self._hosts.get(target)
        if receive is not None:
            receive(message)
