"""A scheduler as a process of its own, among machines and owners played on loopback by the test."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from ladderhub.lab.ports import free_port
from ladderhub.loop import Loop
from ladderhub.signalling import Kind, Message
from tests.platform.bed import MS, Machine, Owner, Script, event, settings

ROOT = Path(__file__).parents[2]
ROUNDS_MOST = 60_000  # of the test's loop, each up to 2 ms long: far beyond what any play needs


class ProcessBed:
    """One scheduler process with its machines; `door` is where its owners connect."""

    def __init__(self, folder: Path, *scripts: Script, sockets: int = 1024) -> None:
        self.loop = Loop()
        self.heard: list[tuple[Machine, Message]] = []  # by all machines, in order
        self.machines = [Machine(self, f"m{at}", script) for at, script in enumerate(scripts)]
        self.door = ("127.0.0.1", free_port())
        path = folder / "config.json"
        known = event(1, *(machine.row() for machine in self.machines), full=True)
        file = {
            "journal": f"127.0.0.1:{free_port()}", "settings": settings(), "seed": "0a",
            "limits": {"sockets": sockets}, "known": {"pos": 1, "entries": [known]},
        }  # fmt: skip
        path.write_text(json.dumps(file))
        environment = os.environ | {
            "PROXY_NAME": "n0", "PROXY_LISTEN": ":".join(map(str, self.door)), "PROXY_CONFIG": str(path),
        }  # fmt: skip
        argv = [sys.executable, "-m", "ladderhub", "platform"]
        self._log = (folder / "log").open("w+")
        self.child = subprocess.Popen(argv, cwd=ROOT, env=environment, stderr=self._log)
        self.run(lambda: "ready" in self.log())
        self._count = 0
        self.owners: list[Owner] = []

    def log(self) -> str:
        """What the scheduler has written so far."""
        self._log.seek(0)
        return self._log.read()

    def run(self, until: Any) -> None:
        """Turn the test's own loop until something is so."""
        for _ in range(ROUNDS_MOST):
            if until():
                return
            self.loop.turn(2 * MS)
        raise AssertionError(f"did not come about; log: {self.log()[-2000:]}")

    def setup(self, left_ms: int = 8000) -> Message:
        """A set-up under a new id."""
        self._count += 1
        id = f"{self._count:016x}"
        fields: dict[str, Any] = {
            "class": "web", "left": left_ms, "tenant": "north", "key": f"key-{self._count}",
            "extras": f"cores:0.01;memory:0.01;service:s{self._count % 50}",
        }  # fmt: skip
        return Message(Kind.SETUP, id, None, f"wants {id}\r\n", fields)

    def owner(self) -> Owner:
        """A new connection of an owner."""
        self.owners.append(Owner(self))
        return self.owners[-1]

    def close(self) -> None:
        """End the scheduler and everything around it."""
        self.child.kill()
        self.child.wait()
        self._log.close()
        for machine in self.machines:
            machine.die()
        for owner in self.owners:
            owner.stream.abort()
        self.loop.close()
