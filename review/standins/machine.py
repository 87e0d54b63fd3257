"""A machine: takes set-ups, runs tasks and answers tests, as the protocol page says.

It can be cut off from the network (open connections say nothing, new ones never come up, what runs goes on),
and it can vanish and come back cold: a new process that knows nothing of the tasks that ran before."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

from review.standins.record import Record, now
from review.standins.wire import (
    ANSWER,
    CAUSE,
    CLASS,
    DESCRIPTION,
    KEY,
    NOTED,
    PING,
    PONG,
    RELEASE,
    SETUP,
    Message,
    decode,
)

BACKLOG = 128
RESET = struct.pack("ii", 1, 0)


@dataclass
class Standing:
    """A task that runs."""

    task: str
    key: str
    since: float


@dataclass
class Connection:
    """One connection of a scheduler."""

    sock: socket.socket
    open_setups: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    reader: asyncio.Task[None] | None = None
    useless: bool = False  # an answer broke off on it: it stays open and says nothing more


class Machine:
    """One machine.  `setups` holds all set-ups that came, `ends` when each task that ran here ended."""

    def __init__(self, record: Record, name: str, host: str, group: int, zone: str) -> None:
        self.record, self.name, self.group, self.zone = record, name, group, zone
        self.kind = ""
        self.since_ms = 0
        self.start_s = 0.03  # from a set-up to the task that runs
        self.break_next = ""  # the next answer to a set-up of this class breaks off
        self.broke: tuple[float, str] | None = None  # when, and the task
        self.standing: dict[str, Standing] = {}
        self.setups: list[tuple[float, str, str]] = []  # when, task, key
        self.ran: list[tuple[float, str, str]] = []  # when, task, key
        self.ends: dict[str, tuple[float, str]] = {}  # when and how
        self.releases: dict[str, float] = {}  # releases of running tasks that came from a scheduler
        self.reachable = asyncio.Event()
        self.reachable.set()
        self._connections: list[Connection] = []
        self._plugs: list[socket.socket] = []
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, 0))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self.address = "{}:{}".format(*self._sock.getsockname())
        self._acceptor = asyncio.create_task(self._accept())

    def row(self, status: str = "ready") -> dict[str, object]:
        """Its row in the list of machines."""
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
            "group": self.group, "status": status, "weight": 1, "since_ms": self.since_ms,
            "left_over": [60, 60],
        }  # fmt: skip

    # --- the network ---------------------------------------------------------------------------------------

    def cut_off(self) -> None:
        """Fall silent: nothing is read or sent, and no new connection comes up.  What runs goes on."""
        self.record.line(self.name, "is cut off")
        self.reachable.clear()
        self._acceptor.cancel()
        self._sock.listen(0)
        for _ in range(4):  # a full queue of connections drops all further ones
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(self._sock.getsockname())
            self._plugs.append(plug)

    def rejoin(self) -> None:
        """The network is whole again."""
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()
        self._sock.listen(BACKLOG)
        self._acceptor = asyncio.create_task(self._accept())
        self.reachable.set()
        self.record.line(self.name, "is reachable again")

    def lose_all(self) -> None:
        """Its processes end, and nobody is told."""
        for task in list(self.standing):
            self._end(task, "lost with the machine")
        for connection in self._connections:
            for each in connection.open_setups.values():
                each.cancel()
            connection.open_setups.clear()

    def come_back_cold(self) -> None:
        """A new process takes the address; connections of the old one are reset."""
        for connection in list(self._connections):
            if connection.reader is not None:
                connection.reader.cancel()
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.sock.close()
        self._connections.clear()
        self.since_ms = round(now() * 1000)
        self.rejoin()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(sock)
            self._connections.append(connection)
            connection.reader = asyncio.create_task(self._read(connection))

    async def _read(self, connection: Connection) -> None:
        loop, data = asyncio.get_running_loop(), b""
        try:
            while chunk := await loop.sock_recv(connection.sock, 65536):
                await self.reachable.wait()
                data += chunk
                while len(data) >= 2 and len(data) >= 2 + (size := int.from_bytes(data[:2], "big")):
                    self._handle(connection, decode(data[2 : 2 + size]))
                    data = data[2 + size :]
        except OSError:
            pass
        await self.reachable.wait()
        if connection in self._connections:
            self._connections.remove(connection)
        for task, each in connection.open_setups.items():
            each.cancel()
            self.record.line(self.name, f"{task} given up, its connection closed")
        connection.sock.close()

    def _send(self, connection: Connection, message: Message) -> None:
        if connection.useless:
            return
        try:
            connection.sock.send(message.encode())
        except OSError as fault:
            self.record.line(self.name, f"could not send: {fault}")

    # --- tasks ---------------------------------------------------------------------------------------------

    def _handle(self, connection: Connection, message: Message) -> None:
        task = message.task
        if message.type == PING:
            self._send(connection, Message(PONG, task, {CAUSE: b"\1"}))
        elif message.type == SETUP:
            key = message.parameters.get(KEY, b"").decode()
            self.setups.append((now(), task, key))
            self.record.line(self.name, f"set-up {task} key {key}")
            klass = message.parameters.get(CLASS, b"").decode()
            if key in self.get_standing_keys():
                self.record.line(self.name, f"{task} refused, a copy stands")
                self._send(connection, Message(RELEASE, task, {CAUSE: bytes([34]), NOTED: b"not_here"}))
                return
            connection.open_setups[task] = asyncio.create_task(self._start(connection, task, key, klass))
        elif message.type == RELEASE and task in connection.open_setups:
            connection.open_setups.pop(task).cancel()
            self.record.line(self.name, f"{task} given up by the scheduler")
        elif message.type == RELEASE and task in self.standing:
            self.releases[task] = now()
            self._end(task, "cut by the scheduler")
            self._send(connection, Message(RELEASE, task, {CAUSE: bytes([31])}))

    async def _start(self, connection: Connection, task: str, key: str, klass: str) -> None:
        await asyncio.sleep(self.start_s)
        await self.reachable.wait()
        del connection.open_setups[task]
        self.standing[task] = Standing(task, key, now())
        self.ran.append((now(), task, key))
        self.record.line(self.name, f"{task} runs, key {key}")
        answer = Message(ANSWER, task, {DESCRIPTION: f"ran {task} at {self.name}\r\n".encode()})
        if klass == self.break_next:
            self.break_next, self.broke = "", (now(), task)
            self.record.line(self.name, f"the answer to {task} breaks off; its connection says nothing more")
            connection.sock.send(answer.encode()[:20])
            connection.useless = True
        self._send(connection, answer)

    def _end(self, task: str, how: str) -> None:
        del self.standing[task]
        self.ends[task] = (now(), how)
        self.record.line(self.name, f"{task} ends: {how}")

    def get_standing_keys(self) -> set[str]:
        return {each.key for each in self.standing.values()}

    def finish(self, task: str) -> None:
        """A running task comes to its end; the machine sends its release on an open connection."""
        self._end(task, "done")
        for connection in self._connections[-1:]:
            self._send(connection, Message(RELEASE, task, {CAUSE: bytes([16])}))

    def close(self) -> None:
        self._acceptor.cancel()
        for connection in self._connections:
            if connection.reader is not None:
                connection.reader.cancel()
            connection.sock.close()
        for plug in self._plugs:
            plug.close()
        self._sock.close()
