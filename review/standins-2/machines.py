"""Machines for the cases of this review: `machines.py COUNT FIRST`.

A process of COUNT machines, each with a listener of its own on loopback, named m<FIRST> and so on.  They
follow PROTOCOL.md: a set-up starts a task, a test passes at once, a release cuts a task or takes a set-up
back, a connection that closes gives up the set-ups open on it.  The end of a task is sent on the connection
of its set-up, otherwise on any open one, and on the next one opened as well.

It reports on standard output, one JSON object a line, and is steered by lines on standard input:
`end MACHINE TASK` brings a task to its end.
"""

from __future__ import annotations

import json
import os
import selectors
import socket
import sys
import time
from typing import Any

import wire

START_S = 0.1  # from a set-up to the task that runs
selector = selectors.DefaultSelector()
timers: list[tuple[float, Any]] = []


def say(event: str, **more: object) -> None:
    sys.stdout.write(json.dumps({"at": time.time(), "event": event} | more) + "\n")
    sys.stdout.flush()


class Conn:
    def __init__(self, machine: Machine, sock: socket.socket) -> None:
        self.machine, self.sock, self.buffer = machine, sock, bytearray()
        self.open: dict[str, str] = {}  # set-ups without an answer, with their keys
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(sock, selectors.EVENT_READ, self.on_ready)

    def on_ready(self) -> None:
        try:
            data = self.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.buffer += data
        for kind, task, parameters in wire.unpack(self.buffer):
            self.on_message(kind, task, parameters)

    def on_message(self, kind: int, task: str, parameters: dict[int, bytes]) -> None:
        machine = self.machine
        if kind == wire.PING:
            self.send(wire.pack(wire.PONG, task, 1))
        elif kind == wire.SETUP:
            key, klass = parameters[wire.CODE_KEY].decode(), parameters[wire.CODE_CLASS].decode()
            say("setup", machine=machine.name, task=task, key=key, klass=klass)
            self.open[task] = key
            timers.append((time.time() + START_S, lambda: machine.start(self, task)))
        elif kind == wire.RELEASE:
            if task in machine.running:
                del machine.running[task]
                say("cut", machine=machine.name, task=task)
                machine.tell_end(self, task, 31)
            else:
                self.open.pop(task, None)
                say("release", machine=machine.name, task=task)

    def send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            self.close()

    def close(self) -> None:
        if self in self.machine.conns:
            self.machine.conns.remove(self)
            selector.unregister(self.sock)
            self.sock.close()


class Machine:
    def __init__(self, name: str) -> None:
        self.name = name
        self.running: dict[str, tuple[str, Conn]] = {}
        self.conns: list[Conn] = []
        self.ends: dict[str, int] = {}  # to be told once more, on the next connection
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(256)
        selector.register(self.sock, selectors.EVENT_READ, self.on_accept)

    def on_accept(self) -> None:
        sock, _ = self.sock.accept()
        self.conns.append(Conn(self, sock))
        ends, self.ends = self.ends, {}
        for task, cause in ends.items():
            say("told again", machine=self.name, task=task)
            self.conns[-1].send(wire.pack(wire.RELEASE, task, cause))

    def start(self, conn: Conn, task: str) -> None:
        if conn not in self.conns or task not in conn.open:
            return
        self.running[task] = (conn.open.pop(task), conn)
        say("runs", machine=self.name, task=task, key=self.running[task][0])
        conn.send(wire.pack(wire.ANSWER, task, None, f"{self.name} runs {task}"))

    def end(self, task: str) -> None:
        if task in self.running:
            _, conn = self.running.pop(task)
            say("ended", machine=self.name, task=task)
            self.tell_end(conn, task, 16)

    def tell_end(self, conn: Conn, task: str, cause: int) -> None:
        self.ends[task] = cause
        if conn not in self.conns and self.conns:
            conn = self.conns[-1]
        if conn in self.conns:
            conn.send(wire.pack(wire.RELEASE, task, cause))


def main() -> None:
    count, first = int(sys.argv[1]), int(sys.argv[2])
    machines = {f"m{number}": Machine(f"m{number}") for number in range(first, first + count)}
    for name, machine in machines.items():
        say("listens", machine=name, address="{}:{}".format(*machine.sock.getsockname()))
    steering = bytearray()

    def on_steered() -> None:
        data = os.read(0, 65536)
        if not data:
            sys.exit(0)  # the test has ended
        steering.extend(data)
        while b"\n" in steering:
            order, _, rest = bytes(steering).partition(b"\n")
            steering[:] = rest
            _, name, task = order.decode().split()
            machines[name].end(task)

    selector.register(0, selectors.EVENT_READ, on_steered)
    while True:
        for key, _ in selector.select(0.005 if timers else 0.2):
            key.data()
        now = time.time()
        due = [call for at, call in timers if at <= now]
        timers[:] = [each for each in timers if each[0] > now]
        for call in due:
            call()


main()
