"""For how long callers may have waited in a listener's accept queue, which is first in, first out."""

from __future__ import annotations

import socket
import struct
from collections import deque

# Of the kernel's `struct tcp_info`: the state is its first byte; of a listening socket `tcpi_unacked`, the
# fifth of the 32-bit numbers behind the first eight bytes, counts the callers that wait.
TCP_LISTEN = 10
_STATE = struct.Struct("B")
_WAITING = struct.Struct("=I")
_WAITING_AT = 8 + 4 * 4
_INFO_SIZE = _WAITING_AT + _WAITING.size


def waiting_callers(listener: socket.socket) -> int | None:
    """How many callers wait to be accepted; None where the system does not tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_SIZE)
    except OSError:
        return None
    if len(info) < _INFO_SIZE or _STATE.unpack_from(info)[0] != TCP_LISTEN:
        return None
    waiting: int = _WAITING.unpack_from(info, _WAITING_AT)[0]
    return waiting


class AcceptQueue:
    """Reckons with callers in the order of their arrival.  Times are the loop's, in nanoseconds."""

    def __init__(self, opened_ns: int, capacity: int) -> None:
        """`capacity`: no more callers than these wait at once."""
        self._capacity = capacity
        self._accepted = 0
        self._since_ns = opened_ns
        self._looks: deque[tuple[int, int]] = deque()  # callers come by then, and when that was, oldest first

    def looked(self, now_ns: int, waiting: int | None) -> None:
        """So many callers wait now; None where nobody knows."""
        come = self._accepted + (self._capacity if waiting is None else waiting)
        while self._looks and self._looks[-1][0] >= come:
            self._looks.pop()
        self._looks.append((come, now_ns))

    def accept(self) -> int:
        """The next caller is accepted: since when it may have waited."""
        self._accepted += 1
        while self._looks and self._looks[0][0] < self._accepted:
            self._since_ns = self._looks.popleft()[1]
        return self._since_ns
