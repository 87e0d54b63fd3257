"""A test bed for the platform on loopback and one event loop: scripted owners, machines and a journal."""

from __future__ import annotations

import json
import socket
import struct
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

from ladderhub.decide import Scheduler
from ladderhub.lab.ports import own_host
from ladderhub.loop import Listener, Loop, ManualClock, Stream
from ladderhub.platform.config import load_config
from ladderhub.platform.report import Report
from ladderhub.platform.service import Service
from ladderhub.signalling import BinaryReader, Code, Kind, LineReader, Message, encode_binary, encode_line

MS = 1_000_000
S = 1_000 * MS
START_NS = 1_700_000_000 * S
NEVER_RAN_CAUSES = (34, 42, 102)  # release causes which guarantee that the task never ran
CLASSES = [("web", "read_like", 9000), ("bill", "non_idempotent", 3000)]
LINGER_RESET = struct.pack("ii", 1, 0)
IP_BIND_ADDRESS_NO_PORT = 24  # Linux option, in the socket module since Python 3.12
Script = Callable[["MachineConn", Message], None]


def settings() -> dict[str, Any]:
    return {
        "balancers": 1,
        "ceilings": {"most-tries": 3, "cancelling": True, "dial-timeout-ns": 250 * MS},
        "classes": [
            {"name": name, "effect": effect, "promise-ns": 500 * MS, "deadline-ns": deadline * MS}
            for name, effect, deadline in CLASSES
        ],
        "models": ["small"],
        "realms": [{"name": "north", "portion": 1.0}],
        "rules": {"drain-grace-ns": 500 * MS, "cold-from": 0.2, "cold-ns": 5 * S, "fall-ns": S},
        "specifics": {
            "admit-cores": 2.0, "admit-memory": 1.5, "confirms": "running", "size-cores": [16],
            "size-memory": [32.0], "view": True, "cold-sends": 20.0,
        },
        "tick-ns": 1000,
        "zones": ["room"],
    }  # fmt: skip


class BedInterface(Protocol):
    """What machines and owners use of their test bed."""

    loop: Loop
    machine_messages: list[tuple[Machine, Message]]
    owner_address: tuple[str, int]


class MachineConn:
    """The machine's end of a connection from the scheduler."""

    def __init__(self, machine: Machine, sock: Any) -> None:
        self.machine, self.reader = machine, BinaryReader()
        self.messages: list[Message] = []
        self.stream = Stream(machine.bed.loop, sock, self)

    def on_data(self, stream: Stream, data: bytes) -> None:
        messages, fault = self.reader.feed(data)
        assert fault is None, fault
        for message in messages:
            self.machine.messages.append(message)
            self.messages.append(message)
            self.machine.bed.machine_messages.append((self.machine, message))
            if message.kind is Kind.PING:
                if not self.machine.silent and self not in self.machine.dead_conns:
                    self.send(Message(Kind.PONG, message.id, 1))
            else:
                self.machine.script(self, message)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.machine.conns.remove(self)

    def send(self, *messages: Message) -> None:
        self.stream.write(b"".join(encode_binary(message) for message in messages))

    def reset(self) -> None:
        """Reset the connection; what was sent before is still delivered."""
        sock = self.stream.sock
        assert isinstance(sock, socket.socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.stream.abort()


class Machine:
    """A machine whose `script` handles the messages that it receives."""

    def __init__(self, bed: BedInterface, name: str, script: Script) -> None:
        self.bed, self.name, self.script = bed, name, script
        self.messages: list[Message] = []
        self.conns: list[MachineConn] = []
        self.silent = False
        self.on_accept: Callable[[MachineConn], object] = lambda conn: None
        self.dead_conns: list[MachineConn] = []  # connections that stay open, on which pings are not answered
        self.listener = Listener(bed.loop, (own_host(), 0), self._accept)
        self.address = self.listener.address

    def _accept(self, sock: Any) -> None:
        self.conns.append(MachineConn(self, sock))
        self.on_accept(self.conns[-1])

    def received(self, kind: Kind) -> list[Message]:
        return [message for message in self.messages if message.kind is kind]

    def die(self) -> None:
        self.listener.close()
        for conn in list(self.conns):
            conn.stream.abort()

    def row(self, status: str = "ready", since_ms: int = 0) -> dict[str, Any]:
        return {
            "name": self.name, "address": ":".join(map(str, self.address)), "zone": "room", "type": "small",
            "group": 0, "status": status, "weight": 1, "since_ms": since_ms, "left_over": [16, 32],
        }  # fmt: skip


def accept_all(conn: MachineConn, message: Message) -> None:
    """Accept everything, with a description that names the task."""
    if message.kind is Kind.SETUP:
        conn.send(Message(Kind.ANSWER, message.id, None, f"runs {message.id}\r\n"))


def ignore_all(conn: MachineConn, message: Message) -> None:
    """Answer nothing."""


def connect_from(source: str, address: tuple[str, int]) -> socket.socket:
    """A connection from this address.  Its port need only be unused for this destination, as thousands of
    callers, whose ports the kernel keeps for a minute, would otherwise use up the port range."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
    sock.bind((source, 0))
    sock.connect(address)
    return sock


class Owner:
    """One connection of an owner; `acknowledges`: it confirms releases."""

    def __init__(self, bed: BedInterface, acknowledges: bool = True, source: str = "127.0.0.1") -> None:
        self.reader, self.acknowledges = LineReader(), acknowledges
        self.messages: list[Message] = []
        self.closed = False
        self.stream = Stream(bed.loop, connect_from(source, bed.owner_address), self)

    def on_data(self, stream: Stream, data: bytes) -> None:
        found, fault = self.reader.feed(data)
        assert fault is None
        for each in found:
            assert isinstance(each, Message)
            self.messages.append(each)
            if self.acknowledges and each.kind is Kind.RELEASE:
                stream.write(encode_line(Message(Kind.RELEASED, each.id)))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.closed = True

    def send(self, *messages: Message | bytes) -> None:
        self.stream.write(b"".join(m if isinstance(m, bytes) else encode_line(m) for m in messages))

    def received(self, kind: Kind) -> list[Message]:
        return [message for message in self.messages if message.kind is kind]


class Journal:
    """A journal service that sends what a test gives it."""

    def __init__(self, bed: Bed) -> None:
        self.requests: list[bytes] = []
        self.streams: list[Stream] = []
        self.bed = bed
        self.listener = Listener(bed.loop, (own_host(), 0), self._accept)
        self.address = ":".join(map(str, self.listener.address))

    def _accept(self, sock: Any) -> None:
        self.streams.append(Stream(self.bed.loop, sock, self))

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.requests.append(data)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.streams.remove(stream)

    def write(self, data: bytes) -> None:
        for stream in self.streams:
            stream.write(data)


def event(pos: int, *rows: dict[str, Any], full: bool = False) -> dict[str, Any]:
    return {"pos": pos, "hosts": {"index": pos, "snapshot": full, "endpoints": list(rows)}}


class Bed:
    """One scheduler with its machines and journal, on a clock that the test advances."""

    def __init__(
        self, folder: Path, *scripts: Script, sockets: int = 256, caught_up: bool = True,
        handshake: float = 0, schedulers: int = 1, idle_ns: int = 30 * S, settle_ns: int = 0,
    ) -> None:  # fmt: skip
        self.clock = ManualClock(START_NS)
        self.errors: list[str] = []
        self.machine_messages: list[tuple[Machine, Message]] = []  # received by all machines, in order
        self.loop = Loop(self.clock, lambda where, fault: self.errors.append(f"{where}: {fault!r}"))
        self.machines = [Machine(self, f"m{at}", script) for at, script in enumerate(scripts)]
        self.journal = Journal(self)
        self.logged: list[dict[str, Any]] = []
        self.path = folder / "config.json"
        known = event(1, *(machine.row() for machine in self.machines), full=True)
        self.file = {
            "name": "n0", "listen": "127.0.0.1:1", "seed": "0a", "limits": {"sockets": sockets},
            "journal": self.journal.address, "settings": settings() | {
                "prices": {"handshake": handshake}, "balancers": schedulers, "ordinal": schedulers - 1,
                "ceilings": settings()["ceilings"] | {"conn-idle-ns": idle_ns},
                "specifics": settings()["specifics"] | {"settle-ns": settle_ns},
            },
            "known": {"pos": 1, "entries": [known]},
        }  # fmt: skip
        self.environment = {"PROXY_NAME": "n0", "PROXY_CONFIG": str(self.path)}
        self.path.write_text(json.dumps(self.file))
        report = Report(self.clock.now_ns, lambda data: self.logged.append(json.loads(data)))
        # Any free port; a configuration file can't ask for that.
        config = replace(load_config(self.environment), listen=(own_host(), 0))
        self.service = Service(self.loop, config, report)
        self.service.start()
        while caught_up and not self.service.follower.caught_up:
            self.loop.run_once(MS)
            self.clock.advance(MS)
        self.owner_address: tuple[str, int] = self.service.owners.get_address()
        self._count = 0

    def run(self, until: Callable[[], object] | None = None, span_ns: int = 0) -> None:
        """Run the loop until the condition holds, advancing the clock by `span_ns` in small steps."""
        for turn in range(2000):
            if until is not None and until() and not span_ns:
                return
            self.loop.run_once(2 * MS if span_ns <= 0 else MS // 2)
            if span_ns > 0:
                step = min(span_ns, 20 * MS)
                self.clock.advance(step)
                span_ns -= step
            elif until is None and turn > 15:
                return
        raise AssertionError(f"the condition was not reached; log: {self.logged[-5:]}")

    def setup(self, klass: str = "web", left: object = 2000, **extras: object) -> Message:
        self._count += 1
        id = f"{self._count:016x}"
        given = {"cores": 1, "memory": 2, "service": "5e" * 8} | extras
        fields: dict[str, Any] = {
            "class": klass, "left": left, "tenant": "north", "key": f"key-{self._count}",
            "extras": ";".join(f"{name}:{value}" for name, value in given.items()),
        }  # fmt: skip
        return Message(Kind.SETUP, id, None, f"wants {id}\r\n", fields)

    def handover(self, machine: Machine) -> Message:
        return self.setup(at=machine.name)

    def module(self) -> Scheduler:
        """The decision module, with its current state."""
        return self.service.tasks.module

    def close(self) -> None:
        assert self.errors == [], self.errors
        assert not [row for row in self.logged if row["event"] == "trouble"]
        self.loop.close()


def release(id: str, cause: int, note: str = "") -> Message:
    return Message(Kind.RELEASE, id, cause, None, values={Code.NOTE: note} if note else {})


def place_task(bed: Bed, owner: Owner, klass: str = "web") -> Message:
    """Have a task placed; return its set-up."""
    asked = bed.setup(klass)
    owner.send(asked)
    bed.run(lambda: [m for m in owner.received(Kind.ANSWER) if m.id == asked.id])
    return asked


def open_unreachable_address() -> tuple[tuple[str, int], list[socket.socket]]:
    """An address where connections never come up: nobody accepts, and the accept queue is full."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fill = []
    for _ in range(2):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        fill.append(sock)
    return listener.getsockname(), [listener, *fill]
