"""TCP listeners, which accept a bounded number of connections per round of the loop."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ladderhub.loop.accept_queue import AcceptQueue, count_pending_connections
from ladderhub.loop.core import READ, Loop
from ladderhub.loop.stream import Address

MAX_ACCEPTS_PER_ROUND = 64
ACCEPT_BUDGET_NS = 10_000_000  # per round
BACKLOG = 1024  # connections that may wait to be accepted
CAPACITY = BACKLOG + 1  # Linux admits one more than the backlog
ACCEPT_RETRY_NS = 100_000_000  # pause after a failed accept


class Listener:
    """Accepts connections, a bounded number per round.  When it is out of descriptors it pauses instead of
    busy-waiting."""

    def __init__(self, loop: Loop, address: Address, accept: Callable[[socket.socket], object]) -> None:
        self.loop, self._accept = loop, accept
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.sock.setblocking(False)
        self.address: Address = self.sock.getsockname()
        self.waited_since_ns = self._last_accept_end_ns = loop.now_ns()
        self._longest_wait_ns = 0
        self._postponed_in_round = 0  # the last round of the loop that left connections to the next one
        self._queue = AcceptQueue(self._last_accept_end_ns, CAPACITY)
        self._open()

    def _open(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock.fileno(), READ, self._ready)

    def _ready(self, _: int) -> None:
        self._accept_some()

    def _accept_some(self) -> bool:
        """Accept a batch of connections; return whether there may be more."""
        more = True
        self._observe_queue()
        until_ns = self.loop.now_ns() + ACCEPT_BUDGET_NS
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            now = self.loop.now_ns()
            if now >= until_ns:
                break
            more = self._accept_one(now)
            if not more:
                break
        self._last_accept_end_ns = self.loop.now_ns()
        self._postponed_in_round = self.loop.rounds if more else 0
        return more

    def unaccepted_ns(self) -> int:
        """Longest time for which the connections that this round leaves to the next may have waited, or 0."""
        more = self._postponed_in_round == self.loop.rounds
        return self.loop.now_ns() - self.waited_since_ns if more else 0

    def _observe_queue(self) -> None:
        arrival_ns = self.loop.earliest_arrival_ns(self.sock.fileno())
        if arrival_ns > self._last_accept_end_ns:  # the loop has polled since then, and the queue was empty
            self._queue.observe(arrival_ns, 0)
        now = self.loop.now_ns()
        self._queue.observe(now, count_pending_connections(self.sock))

    def _accept_one(self, now: int) -> bool:
        """Accept the next connection; return whether there may be more."""
        try:
            sock, _address = self.sock.accept()
        except ConnectionAbortedError:
            self._queue.accept()
            return True
        except BlockingIOError:
            self._queue.observe(now, 0)
            return False
        except OSError as fault:
            self.loop.trouble("accept", fault)
            self.loop.watch(self.sock.fileno(), 0, self._ready)
            self.loop.call_later(ACCEPT_RETRY_NS, self._open)
            return False
        self.waited_since_ns = self._queue.accept()
        self._longest_wait_ns = max(self._longest_wait_ns, now - self.waited_since_ns)
        try:
            self._accept(sock)
        except Exception as fault:
            self.loop.trouble("accept", fault)
            sock.close()
        return True

    def take_longest_wait_ns(self) -> int:
        """Return and reset the longest time for which a connection may have waited to be accepted."""
        longest_ns, self._longest_wait_ns = self._longest_wait_ns, 0
        return longest_ns

    def accept_waiting(self) -> None:
        """Accept all pending connections.  Closing the listener would reset them and lose what they sent."""
        for _ in range(BACKLOG):
            if self.sock.fileno() < 0 or not self._accept_some():
                return

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock.fileno(), 0, self._ready)
            self.sock.close()
