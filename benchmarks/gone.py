"""Measures how long after an owner has left its last attempt begins, under a burst of requests.

    python benchmarks/gone.py [SEED]

There is one scheduler process, machines that reset each set-up, and owners that close or cancel at a random
time.  One process simulates owners and machines and takes all times on its clock, from the call that closes
or cancels until its loop reads the set-up at a machine.  The delay of its own loop is therefore included.
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
MACHINES, OWNERS, BURST_S = 40, 4_000, 10
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
    """Resets each set-up a few milliseconds after its arrival, so that the next attempt begins at once."""

    def __init__(self, loop: Loop, rng: random.Random, attempt_times: dict[str, list[int]]) -> None:
        self.loop, self.rng, self.attempt_times = loop, rng, attempt_times
        self.listener = Listener(loop, ("127.0.0.1", 0), lambda sock: MachineConnection(self, sock))

    def build_row(self, name: str) -> dict[str, Any]:
        """Build the machine's row in the list of machines."""
        address = ":".join(map(str, self.listener.address))
        return {
            "name": name, "address": address, "zone": "room", "type": "small", "status": "ready",
            "left_over": [64, 640],
        }  # fmt: skip


class MachineConnection:
    """A scheduler's connection to a machine."""

    def __init__(self, machine: Machine, sock: socket.socket) -> None:
        self.machine, self.reader = machine, BinaryReader()
        self.stream = Stream(machine.loop, sock, self)

    def on_data(self, stream: Stream, data: bytes) -> None:
        for message in self.reader.feed(data)[0]:
            if message.kind is Kind.SETUP:
                self.machine.attempt_times.setdefault(message.id, []).append(self.machine.loop.now_ns())
                reset = encode_binary(Message(Kind.RELEASE, message.id, Cause.BROKEN))
                wait = round(self.machine.rng.uniform(0, 20) * MS)
                self.machine.loop.call_later(wait, stream.write, reset)
            elif message.kind is Kind.PING:
                stream.write(encode_binary(Message(Kind.PONG, message.id, 1)))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return


class Owner:
    """Sends one request, and closes or cancels at a random time."""

    def __init__(self, loop: Loop, address: tuple[str, int], number: int, rng: random.Random) -> None:
        self.id, self.cancels, self.left_ns = f"{number:016x}", rng.random() < 0.5, 0
        self.loop = loop
        self.stream = Stream(loop, socket.create_connection(address), self)
        extras = f"cores:0.01;memory:0.01;service:{number % 50:016x}"
        fields: dict[str, str | int | float] = {"class": "web", "left": 5000, "key": self.id}
        fields["extras"] = extras
        self.stream.write(encode_line(Message(Kind.SETUP, self.id, None, "x", fields)))
        loop.call_later(round(rng.uniform(0, 60) * MS), self.leave)

    def leave(self) -> None:
        """Cancel the request or close the connection."""
        self.left_ns = self.loop.now_ns()
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
    rng, loop, attempt_times = random.Random(seed), Loop(), {}  # type: random.Random, Loop, dict[str, list[int]]
    machines = [Machine(loop, rng, attempt_times) for _ in range(MACHINES)]
    rows = [machine.build_row(f"m{at}") for at, machine in enumerate(machines)]
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
                moment = loop.now_ns() + round(at * BURST_S * S / OWNERS)
                loop.call_at(moment, lambda at=at: owners.append(Owner(loop, ("127.0.0.1", port), at, rng)))
            until = loop.now_ns() + (BURST_S + 3) * S
            while loop.now_ns() < until:
                loop.run_once(50 * MS)
        finally:
            child.terminate()
            child.wait(10)
    late = sorted(
        max(attempt_times[owner.id]) - owner.left_ns
        for owner in owners
        if owner.id in attempt_times and owner.left_ns and max(attempt_times[owner.id]) > owner.left_ns
    )
    attempts = sum(map(len, attempt_times.values()))
    print(f"owners gone: {len(owners)}; attempts begun: {attempts}; last ones after that: {len(late)}")
    if late:
        at = [late[len(late) // 2], late[min(len(late) - 1, len(late) * 99 // 100)], late[-1]]
        print("after the owner went, ms: p50 {:.2f}, p99 {:.2f}, most {:.2f}".format(*(ns / MS for ns in at)))


if __name__ == "__main__":
    main()
