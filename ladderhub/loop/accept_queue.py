"""Estimates for how long connections have waited in a listener's accept queue, which is a FIFO."""

from __future__ import annotations

import socket
import struct
from collections import deque

# Layout of the kernel's `struct tcp_info`: the first byte is the state.  For a listening socket,
# `tcpi_unacked`, the fifth 32-bit number after the first eight bytes, is the length of the accept queue.
TCP_LISTEN = 10
_STATE = struct.Struct("B")
_PENDING = struct.Struct("=I")
_PENDING_OFFSET = 8 + 4 * 4
_INFO_SIZE = _PENDING_OFFSET + _PENDING.size


def count_pending_connections(listener: socket.socket) -> int | None:
    """Number of connections waiting to be accepted; None if the system does not report it."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_SIZE)
    except OSError:
        return None
    if len(info) < _INFO_SIZE or _STATE.unpack_from(info)[0] != TCP_LISTEN:
        return None
    pending: int = _PENDING.unpack_from(info, _PENDING_OFFSET)[0]
    return pending


class AcceptQueue:
    """Bounds the waiting time of each accepted connection, from observations of the queue's length.

    Times are those of the loop, in nanoseconds."""

    def __init__(self, opened_ns: int, capacity: int) -> None:
        """`capacity`: the maximum length of the queue."""
        self._capacity = capacity
        self._accepted = 0
        self._earliest_arrival_ns = opened_ns
        # Total number of connections that had arrived by a time, and that time; oldest first.
        self._observations: deque[tuple[int, int]] = deque()

    def observe(self, now_ns: int, pending: int | None) -> None:
        """Record the number of pending connections; None if it is unknown."""
        arrived = self._accepted + (self._capacity if pending is None else pending)
        while self._observations and self._observations[-1][0] >= arrived:
            self._observations.pop()
        self._observations.append((arrived, now_ns))

    def accept(self) -> int:
        """Record the accept of the next connection; return the earliest time at which it can have arrived."""
        self._accepted += 1
        while self._observations and self._observations[0][0] < self._accepted:
            self._earliest_arrival_ns = self._observations.popleft()[1]
        return self._earliest_arrival_ns
