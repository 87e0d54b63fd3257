"""UDP datagrams: sent without blocking and received in bounded batches.  What can't be sent is dropped."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ladderhub.loop.core import READ, Loop
from ladderhub.loop.stream import Address

MAX_DATAGRAM_BYTES = 2048  # more than any valid datagram, so that a longer one is recognised as too long
MAX_DATAGRAMS_PER_ROUND = 64  # so that a flood does not delay other descriptors
RECEIVE_BUFFER_BYTES = 1 << 20  # in the kernel, for datagrams that arrive while the process is paused


class Datagrams:
    """A UDP socket; `receive` is called with each datagram and its source address."""

    def __init__(self, loop: Loop, address: Address, receive: Callable[[bytes, Address], object]) -> None:
        """OSError if the address can't be bound."""
        self.loop, self._receive = loop, receive
        self.unsent = 0  # datagrams that the kernel did not accept
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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
        except (
            OSError
        ):  # full buffer, no route, or the ICMP error of an earlier datagram: the datagram is lost
            self.unsent += 1

    def _ready(self, _: int) -> None:
        for _each in range(MAX_DATAGRAMS_PER_ROUND):
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # the ICMP error of an earlier datagram; nothing was read
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
