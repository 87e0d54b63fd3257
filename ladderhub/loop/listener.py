"""Listeners over TCP, which accept a bounded number of callers each round."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ladderhub.loop.accept_queue import AcceptQueue, waiting_callers
from ladderhub.loop.core import READ, Loop
from ladderhub.loop.stream import Address

MAX_ACCEPTS_PER_ROUND = 64  # callers each round, or as many as come within
ACCEPT_NS = 10_000_000
BACKLOG = 1024  # callers that may wait to be accepted
CAPACITY = BACKLOG + 1  # as Linux counts it
ACCEPT_REST_NS = 100_000_000


class Listener:
    """Accepts connections, a bounded number each round.  Out of descriptors it rests instead of spinning."""

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
        self.waited_since_ns = self._left_ns = loop.now_ns()
        self._longest_wait_ns = 0
        self._more_in_round = 0  # of the loop: the last one that left callers to the next
        self._queue = AcceptQueue(self._left_ns, CAPACITY)
        self._open()

    def _open(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock.fileno(), READ, self._ready)

    def _ready(self, _: int) -> None:
        self._accept_some()

    def _accept_some(self) -> bool:
        """Accept a round of callers; whether there may be more."""
        more = True
        self._look_at_queue()
        until_ns = self.loop.now_ns() + ACCEPT_NS
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            now = self.loop.now_ns()
            if now >= until_ns:
                break
            more = self._accept_one(now)
            if not more:
                break
        self._left_ns = self.loop.now_ns()
        self._more_in_round = self.loop.rounds if more else 0
        return more

    def unaccepted_ns(self) -> int:
        """For how long callers whom this round leaves to the next may have waited; 0 where there are none."""
        more = self._more_in_round == self.loop.rounds
        return self.loop.now_ns() - self.waited_since_ns if more else 0

    def _look_at_queue(self) -> None:
        unseen_ns = self.loop.earliest_arrival_ns(self.sock.fileno())
        if unseen_ns > self._left_ns:  # the loop has looked since, and nobody waited
            self._queue.looked(unseen_ns, 0)
        now = self.loop.now_ns()
        self._queue.looked(now, waiting_callers(self.sock))

    def _accept_one(self, now: int) -> bool:
        """Accept the next caller; whether there may be more."""
        try:
            sock, _address = self.sock.accept()
        except ConnectionAbortedError:
            self._queue.accept()
            return True
        except BlockingIOError:
            self._queue.looked(now, 0)
            return False
        except OSError as fault:
            self.loop.trouble("accept", fault)
            self.loop.watch(self.sock.fileno(), 0, self._ready)
            self.loop.call_later(ACCEPT_REST_NS, self._open)
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
        """The longest that a caller may have waited to be accepted since the last call, in nanoseconds."""
        longest_ns, self._longest_wait_ns = self._longest_wait_ns, 0
        return longest_ns

    def accept_waiting(self) -> None:
        """Accept all that connected so far: closing over them would reset what they have sent."""
        for _ in range(BACKLOG):
            if self.sock.fileno() < 0 or not self._accept_some():
                return

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock.fileno(), 0, self._ready)
            self.sock.close()
