"""Datagrams over UDP: sent without waiting, read a bounded number each round.  What can't be sent is lost."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ladderhub.loop.core import READ, Loop
from ladderhub.loop.stream import Address

READ_BYTES = 2048  # more than any datagram of ours: a longer one shows as too long
READ_MOST = 64  # datagrams each round, so that a flood leaves others their turn
BUFFER = 1 << 20  # what may wait in the kernel while a process stands still


class Datagrams:
    """One socket; `receive` is called with each datagram and the address that it came from."""

    def __init__(self, loop: Loop, address: Address, receive: Callable[[bytes, Address], object]) -> None:
        """OSError where the address can't be had."""
        self.loop, self._receive = loop, receive
        self.unsent = 0  # datagrams that the system did not take
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            self.sock.bind(address)
        except OSError:
            self.sock.close()
            raise
        self.sock.setblocking(False)
        self.address: Address = self.sock.getsockname()
        loop.watch(self.sock.fileno(), READ, self._ready)

    def send(self, data: bytes, address: Address) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError:  # a full buffer, no route, a refusal told late: for its user all the same as lost
            self.unsent += 1

    def _ready(self, _: int) -> None:
        for _each in range(READ_MOST):
            try:
                data, source = self.sock.recvfrom(READ_BYTES)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram was refused: nothing to read
                continue
            try:
                self._receive(data, source)
            except Exception as fault:
                self.loop.trouble("datagram", fault)
            if self.sock.fileno() < 0:
                return

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock.fileno(), 0, self._ready)
            self.sock.close()
