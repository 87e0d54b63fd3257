"""The faulty network: a UDP proxy for each scheduler's peer address, which forwards or drops datagrams.

A relay identifies the sender by its source port, so faults apply per pair of schedulers: loss, duplication,
delay and a cut in one direction.  All random draws come from a seed.  Copies of datagrams can be held and
sent late."""

from __future__ import annotations

import random

from ladderhub.lab.emulator.net import Faults
from ladderhub.lab.mesh.days import Pairs
from ladderhub.lab.ports import own_host
from ladderhub.loop import Loop
from ladderhub.loop.datagram import Datagrams
from ladderhub.loop.stream import Address

MAX_HELD_DATAGRAMS = 200


class Relay:
    """The proxy sockets, by slot.

    Peers use the public address, which is the proxy's; the scheduler listens on the private one."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop = loop
        self.faults, self.cut = Faults(delay_ns=(0, 0)), frozenset[tuple[int, int]]()
        self.forwarded = self.lost = 0
        self._random = random.Random(seed)
        self._private: dict[int, Address] = {}
        self._slots: dict[Address, int] = {}
        self._sockets: dict[int, Datagrams] = {}
        self._held: dict[int, list[tuple[int, bytes]]] = {}

    def add(self, slot: int, private: Address) -> Address:
        """Adds a proxy for a private address and returns the public address."""
        self._private[slot] = private
        self._slots[private] = slot
        self._sockets[slot] = Datagrams(
            self.loop, (own_host(), 0), lambda data, source: self._forward(slot, data, source)
        )
        return self._sockets[slot].address

    def get_public_address(self, slot: int) -> Address:
        """Returns the address that peers use to reach this scheduler."""
        return self._sockets[slot].address

    def _forward(self, target: int, data: bytes, source: Address) -> None:
        sender = self._slots.get(source, -1)
        held = self._held.get(sender)
        if held is not None and len(held) < MAX_HELD_DATAGRAMS:
            held.append((target, data))
        draw, faults = self._random.random, self.faults
        if (sender, target) in self.cut:
            self.lost += 1
            return
        for _ in range(2 if draw() < faults.duplicated else 1):
            if draw() < faults.loss:
                self.lost += 1
                continue
            least, most = faults.delay_ns
            delay_ns = least + int((most - least) * draw())
            if delay_ns:
                self.loop.call_later(delay_ns, self._send, target, data)
            else:
                self._send(target, data)

    def _send(self, target: int, data: bytes) -> None:
        self.forwarded += 1
        self._sockets[target].send(data, self._private[target])

    def set_cut(self, pairs: Pairs) -> None:
        """Drops datagrams between these pairs (from, to) from now on."""
        self.cut = pairs

    def hold(self, slot: int) -> None:
        """Keeps copies of the datagrams that this scheduler sends from now on."""
        self._held.setdefault(slot, [])

    def release(self, slot: int) -> None:
        """Sends the kept copies."""
        for target, data in self._held.get(slot, []):
            self._send(target, data)

    def send_noise(self, slot: int, data: bytes) -> None:
        """Sends a datagram to this scheduler that no peer sent."""
        self._send(slot, data)

    def close(self) -> None:
        for each in self._sockets.values():
            each.close()
