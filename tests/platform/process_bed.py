"""A scheduler in a process of its own, with machines and owners simulated by the test on loopback."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

from ladderhub.lab.ports import free_port
from ladderhub.loop import Loop
from ladderhub.signalling import Kind, Message
from tests.platform.bed import MS, Machine, Owner, Script, event, settings

ROOT = Path(__file__).parents[2]
MAX_ROUNDS = 60_000  # of the test's loop, each up to 2 ms long: far more than any run needs


class ProcessBed:
    """One scheduler process with its machines; `owner_address` is where its owners connect."""

    def __init__(
        self, folder: Path, *scripts: Script, sockets: int = 1024,
        journal: Callable[[ProcessBed], str] | None = None,
    ) -> None:  # fmt: skip
        """`journal` starts a journal service and returns its address; without it none is reachable."""
        self.loop = Loop()
        self.machine_messages: list[tuple[Machine, Message]] = []  # received by all machines, in order
        self.machines = [Machine(self, f"m{at}", script) for at, script in enumerate(scripts)]
        self.owner_address = ("127.0.0.1", free_port())
        self.config_path = folder / "config.json"
        known = event(1, *(machine.row() for machine in self.machines), full=True)
        file = {
            "journal": journal(self) if journal is not None else f"127.0.0.1:{free_port()}",
            "settings": settings(), "seed": "0a", "limits": {"sockets": sockets},
            "known": {"pos": 1, "entries": [known]},
        }  # fmt: skip
        self.config_path.write_text(json.dumps(file))
        self._folder = folder
        self._logs: list[IO[str]] = []
        self.children: list[subprocess.Popen[bytes]] = []
        self._count = 0
        self.owners: list[Owner] = []
        self.start()
        self.run(self.is_ready)

    def start(self) -> None:
        """Start a process; if another one is serving, it waits for the address."""
        environment = os.environ | {
            "PROXY_NAME": "n0", "PROXY_LISTEN": ":".join(map(str, self.owner_address)),
            "PROXY_CONFIG": str(self.config_path),
        }  # fmt: skip
        argv = [sys.executable, "-m", "ladderhub", "platform"]
        self._logs.append((self._folder / f"log-{len(self._logs)}").open("w+"))
        self.children.append(subprocess.Popen(argv, cwd=ROOT, env=environment, stderr=self._logs[-1]))

    @property
    def child(self) -> subprocess.Popen[bytes]:
        """The process that serves: the first that has not ended, or the last."""
        return next((each for each in self.children if each.poll() is None), self.children[-1])

    def is_ready(self) -> bool:
        """Whether the process that was started last is serving."""
        self._logs[-1].seek(0)
        return '"ready"' in self._logs[-1].read()

    def read_log(self) -> str:
        """The log output of all processes so far, in the order in which they were started."""
        for log in self._logs:
            log.seek(0)
        return "".join(log.read() for log in self._logs)

    def run(self, until: Any) -> None:
        """Run the test's own loop until the condition holds."""
        for _ in range(MAX_ROUNDS):
            if until():
                return
            self.loop.run_once(2 * MS)
        raise AssertionError(f"the condition was not reached; log: {self.read_log()[-2000:]}")

    def setup(self, left_ms: int = 8000) -> Message:
        """A set-up with a new id."""
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
        for child in self.children:
            child.kill()
            child.wait()
        for log in self._logs:
            log.close()
        for machine in self.machines:
            machine.die()
        for owner in self.owners:
            owner.stream.abort()
        self.loop.close()
