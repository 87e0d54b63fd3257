"""How long after an owner has gone its last attempt begins, over a flood: one scheduler process, machines
that reset each set-up, owners that close or cancel at a drawn moment.

    python benchmarks/gone.py [SEED]

Times are taken on one clock, in the process that plays owners and machines: from the call that closes or
cancels to the moment its loop reads the set-up at a machine, so its own lateness is counted in.
"""

from __future__ import annotations

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from ladderhub.loop import Listener, Loop, Stream
from ladderhub.signalling import BinaryReader, Cause, Kind, Message, encode_binary, encode_line

MS, S = 1_000_000, 1_000_000_000
MACHINES, OWNERS, FLOOD_S = 40, 4_000, 10
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ceilings": {"most-tries": 6, "cancelling": True, "dial-timeout-ns": 250 * MS},
    "classes": [{"name": "web", "effect": "read_like", "promise-ns": 500 * MS, "deadline-ns": 9 * S}],
    "models": ["small"],
    "rules": {"drain-grace-ns": 500 * MS},
    "specifics": {
        "admit-cores": 2.0, "admit-memory": 1.5, "confirms": "running", "size-cores": [64],
        "size-memory": [640.0], "view": True,
    },
    "tick-ns": 1000,
    "zones": ["room"],
}  # fmt: skip


class Machine:
    """Resets each set-up a few milliseconds after it came, so that the next attempt begins at once."""

    def __init__(self, loop: Loop, dice: random.Random, begun: dict[str, list[int]]) -> None:
        self.loop, self.dice, self.begun = loop, dice, begun
        self.listener = Listener(loop, ("127.0.0.1", 0), lambda sock: Conn(self, sock))

    def row(self, name: str) -> dict[str, Any]:
        address = ":".join(map(str, self.listener.address))
        return {
            "name": name, "address": address, "zone": "room", "type": "small", "status": "ready",
            "left_over": [64, 640],
        }  # fmt: skip


class Conn:
    def __init__(self, machine: Machine, sock: socket.socket) -> None:
        self.machine, self.reader = machine, BinaryReader()
        self.stream = Stream(machine.loop, sock, self)

    def on_data(self, stream: Stream, data: bytes) -> None:
        for message in self.reader.feed(data)[0]:
            if message.kind is Kind.SETUP:
                self.machine.begun.setdefault(message.id, []).append(self.machine.loop.now_ns())
                reset = encode_binary(Message(Kind.RELEASE, message.id, Cause.BROKEN))
                wait = round(self.machine.dice.uniform(0, 20) * MS)
                self.machine.loop.call_later(wait, stream.write, reset)
            elif message.kind is Kind.PING:
                stream.write(encode_binary(Message(Kind.PONG, message.id, 1)))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return


class Owner:
    """Asks, and goes at a drawn moment."""

    def __init__(self, loop: Loop, address: tuple[str, int], number: int, dice: random.Random) -> None:
        self.id, self.cancels, self.gone_ns = f"{number:016x}", dice.random() < 0.5, 0
        self.loop = loop
        self.stream = Stream(loop, socket.create_connection(address), self)
        extras = f"cores:0.01;memory:0.01;service:{number % 50:016x}"
        fields: dict[str, str | int | float] = {"class": "web", "left": 5000, "key": self.id}
        fields["extras"] = extras
        self.stream.write(encode_line(Message(Kind.SETUP, self.id, None, "x", fields)))
        loop.call_later(round(dice.uniform(0, 60) * MS), self.go)

    def go(self) -> None:
        self.gone_ns = self.loop.now_ns()
        if self.cancels:
            self.stream.write(encode_line(Message(Kind.RELEASE, self.id, Cause.NORMAL)))
            self.loop.call_later(S, self.stream.abort)
        else:
            self.stream.abort()

    def on_data(self, stream: Stream, data: bytes) -> None:
        return

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return


def main() -> None:
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    dice, loop, begun = random.Random(seed), Loop(), {}  # type: random.Random, Loop, dict[str, list[int]]
    machines = [Machine(loop, dice, begun) for _ in range(MACHINES)]
    rows = [machine.row(f"m{at}") for at, machine in enumerate(machines)]
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "c.json"
        known = {"pos": 1, "hosts": {"index": 1, "snapshot": True, "endpoints": rows}}
        path.write_text(json.dumps({
            "journal": "127.0.0.1:1", "settings": SETTINGS, "limits": {"sockets": 1024},
            "known": {"pos": 1, "entries": [known]},
        }))  # fmt: skip
        environment = os.environ | {
            "PROXY_NAME": "n0", "PROXY_LISTEN": f"127.0.0.1:{port}", "PROXY_CONFIG": str(path),
        }  # fmt: skip
        argv = [sys.executable, "-m", "ladderhub", "platform"]
        child = subprocess.Popen(argv, env=environment, stderr=subprocess.DEVNULL)
        try:
            time.sleep(2)
            owners: list[Owner] = []
            for at in range(OWNERS):
                moment = loop.now_ns() + round(at * FLOOD_S * S / OWNERS)
                loop.call_at(moment, lambda at=at: owners.append(Owner(loop, ("127.0.0.1", port), at, dice)))
            until = loop.now_ns() + (FLOOD_S + 3) * S
            while loop.now_ns() < until:
                loop.run_once(50 * MS)
        finally:
            child.terminate()
            child.wait(10)
    late = sorted(
        max(begun[owner.id]) - owner.gone_ns
        for owner in owners
        if owner.id in begun and owner.gone_ns and max(begun[owner.id]) > owner.gone_ns
    )
    attempts = sum(map(len, begun.values()))
    print(f"owners gone: {len(owners)}; attempts begun: {attempts}; last ones after that: {len(late)}")
    if late:
        at = [late[len(late) // 2], late[min(len(late) - 1, len(late) * 99 // 100)], late[-1]]
        print("after the owner went, ms: p50 {:.2f}, p99 {:.2f}, most {:.2f}".format(*(ns / MS for ns in at)))


if __name__ == "__main__":
    main()
