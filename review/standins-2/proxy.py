"""A network between the scheduler and one machine: connections can be reset, and answers spoilt."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

import wire
from bed import Machines, Record

RESET = struct.pack("ii", 1, 0)


class Pair:
    """One connection of the scheduler and its other half to the machine."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near, self.far = near, far
        self.setups: list[str] = []  # ids of the set-ups that went over it
        self.last_used = time.time()
        self.doomed = False  # the next bytes on it are answered by a reset on both sides
        self.over = False


class Proxy:
    """Stands before the machine `name` under an address of its own."""

    def __init__(self, record: Record, machines: Machines, name: str) -> None:
        self.record, self.name = record, name
        host, _, port = machines.addresses[name].rpartition(":")
        self.target, self.pairs = (host, int(port)), list[Pair]()
        self.spoil_length = 0  # the next answer of this task's set-up claims to be so long
        self.spoil_task = ""
        self.spoilt: Pair | None = None  # the connection on which that happened
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        machines.proxies[name] = "{}:{}".format(*self.sock.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self.sock.accept()
            try:
                pair = Pair(near, socket.create_connection(self.target))
            except OSError:
                near.close()  # the machine's process has ended
                continue
            self.pairs.append(pair)
            for source, to in ((pair.near, pair.far), (pair.far, pair.near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._pass_on, args=(pair, source, to), daemon=True).start()

    def _spoil(self, pair: Pair, data: bytes) -> bytes:
        """Replace the length of the answer, if the data has it."""
        at = data.find(bytes([wire.ANSWER]) + bytes.fromhex(self.spoil_task))
        if at < 2:
            return data
        self.record(f"an answer of {self.name} claims to be {self.spoil_length} bytes long")
        self.spoilt, length = pair, self.spoil_length.to_bytes(2, "big")
        self.spoil_length = 0
        return data[: at - 2] + length + data[at:]

    def _pass_on(self, pair: Pair, source: socket.socket, to: socket.socket) -> None:
        buffer = bytearray()
        try:
            while data := source.recv(65536):
                if pair.doomed:
                    break
                pair.last_used = time.time()
                if source is pair.near:
                    buffer += data
                    pair.setups += [task for kind, task, _ in wire.unpack(buffer) if kind == wire.SETUP]
                elif self.spoil_length:
                    data = self._spoil(pair, data)
                to.sendall(data)
        except OSError:
            pass
        if pair.doomed and not pair.over:
            self.record(f"the network resets a connection to {self.name}")
            for sock in (pair.near, pair.far):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        pair.over = True
        for sock in (pair.near, pair.far):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)
            sock.close()
