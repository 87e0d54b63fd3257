"""The faulty network: before each scheduler's peer address stands a socket that passes datagrams on, or not.

A relay knows the sender by the port it sends from, so each pair has its own fate: lost, doubled, late, cut in
one direction.  All chance is from a seed; what passes is counted, what is held can be sent late."""

from __future__ import annotations

import random

from ladderhub.lab.emulator.net import Faults
from ladderhub.lab.mesh.days import Pairs
from ladderhub.lab.ports import own_host
from ladderhub.loop import Loop
from ladderhub.loop.datagram import Datagrams
from ladderhub.loop.stream import Address

HELD_MOST = 200


class Relay:
    """All the sockets, by slot: `public` is what peers are told, `private` where the scheduler listens."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop = loop
        self.faults, self.cut = Faults(delay_ns=(0, 0)), frozenset[tuple[int, int]]()
        self.passed = self.lost = 0
        self._random = random.Random(seed)
        self._private: dict[int, Address] = {}
        self._slots: dict[Address, int] = {}
        self._sockets: dict[int, Datagrams] = {}
        self._held: dict[int, list[tuple[int, bytes]]] = {}

    def add(self, slot: int, private: Address) -> Address:
        """Stand before that address; gives the public one."""
        self._private[slot] = private
        self._slots[private] = slot
        self._sockets[slot] = Datagrams(
            self.loop, (own_host(), 0), lambda data, source: self._pass(slot, data, source)
        )
        return self._sockets[slot].address

    def public(self, slot: int) -> Address:
        return self._sockets[slot].address

    def _pass(self, target: int, data: bytes, source: Address) -> None:
        sender = self._slots.get(source, -1)
        held = self._held.get(sender)
        if held is not None and len(held) < HELD_MOST:
            held.append((target, data))
        chance, faults = self._random.random, self.faults
        if (sender, target) in self.cut:
            self.lost += 1
            return
        for _ in range(2 if chance() < faults.duplicated else 1):
            if chance() < faults.loss:
                self.lost += 1
                continue
            low, high = faults.delay_ns
            wait = low + int((high - low) * chance())
            if wait:
                self.loop.call_later(wait, self._send, target, data)
            else:
                self._send(target, data)

    def _send(self, target: int, data: bytes) -> None:
        self.passed += 1
        self._sockets[target].send(data, self._private[target])

    def set_cut(self, pairs: Pairs) -> None:
        self.cut = pairs

    def hold(self, slot: int) -> None:
        """Keep copies of what it sends from now on."""
        self._held.setdefault(slot, [])

    def release(self, slot: int) -> None:
        """Send the copies again, late."""
        for target, data in self._held.get(slot, []):
            self._send(target, data)

    def noise(self, slot: int, data: bytes) -> None:
        """A datagram to that scheduler from nobody."""
        self._send(slot, data)

    def close(self) -> None:
        for each in self._sockets.values():
            each.close()
