"""A whole fleet on loopback: schedulers as processes of their own, nodes and directory on the caller's
loop."""

from __future__ import annotations

import copy
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ladderhub.directory.service import Directory
from ladderhub.lab.flaky import FlakyAgent
from ladderhub.lab.ports import free_port, own_host
from ladderhub.lab.process import module
from ladderhub.lab.tap import Tap
from ladderhub.loop import Loop
from ladderhub.node.admission import NodeSettings
from ladderhub.node.runners import EmulatedRunner, EmulatedSettings, RealRunner, Runner

MS, S = 1_000_000, 1_000_000_000
KINDS: dict[str, dict[str, Any]] = {
    "small": {"cores": 16, "memory": "32gb"},
    "large": {"cores": 32, "memory": "64gb"},
}
COLD = {"pace": 0.25, "span": "6s", "window": "2s", "multiple": 2.0, "safe_offers": 24}
SETTINGS: dict[str, Any] = {
    "queues": {
        "web": {
            "effect": "safe", "aim": "800ms", "deadline": "6s", "limit": "20s", "priority": 1, "worth": 3.0,
            "spread": {"over": "rack", "most": 6},
        },
        "batch": {"effect": "safe", "aim": "1s", "deadline": "6s", "limit": "20s", "worth": 2.0},
        "mail": {
            "effect": "keyed", "aim": "800ms", "deadline": "5s", "limit": "15s", "priority": 1,
            "repeats": {"over": "all", "window": "5s"},
        },
        "billing": {
            "effect": "unsafe", "aim": "800ms", "deadline": "6s", "limit": "20s", "priority": 2, "worth": 3.0,
            "kind": "large",
        },
    },
    "kinds": KINDS,
    "nodes": {
        "answers": "running", "admit_cores": 2.0, "admit_memory": 1.5, "most_attempts": 3,
        "drain_grace": "500ms",
        "list_shows_room": True, "cold": COLD, "connect": "500ms",
    },
    "default_queue": "web",
    "tenants": {"north": {"share": 0.5}, "south": {"share": 0.5}},
    "keep_finished": "10m",
    "stop_within": "5s",
    "log": {"format": "json", "level": "info"},
}  # fmt: skip


@dataclass(slots=True)
class SchedulerProcess:
    """One scheduler daemon as a process."""

    name: str
    file: Path
    port: int
    public: tuple[str, int]  # where clients and nodes find it: the tap, where there is one
    process: subprocess.Popen[bytes] | None = None
    ended: list[int] = field(default_factory=list)


class Fleet:
    """Schedulers, a directory and nodes.  Stop it with `close`, whatever happened."""

    def __init__(
        self, loop: Loop, folder: Path, *, nodes: int = 8, schedulers: int = 2, runner: str = "emulated",
        emulated: EmulatedSettings | None = None, seed: int = 1, record: Path | None = None,
        change: Callable[[dict[str, Any]], None] | None = None, racks: int = 4, list_delay_ns: int = 500 * MS,
        prefix: str = "sched", peers: Callable[[int, str], dict[str, Any]] | None = None,
    ) -> None:  # fmt: skip
        """`peers` gives the settings of that name for a scheduler by number and name."""
        self.loop, self.folder, self.seed = loop, folder, seed
        self.settings = copy.deepcopy(SETTINGS)
        if change is not None:
            change(self.settings)
        self._runner, self._emulated = runner, emulated or EmulatedSettings()
        self._racks, self._prefix, self._peers = racks, prefix, peers
        self.tap = Tap(loop, record) if record is not None else None
        self.directory = Directory(loop, (own_host(), 0), list_delay_ns, gone_delay_ns=1 * S)
        self.schedulers: dict[str, SchedulerProcess] = {}
        self.nodes: dict[str, FlakyAgent] = {}
        self._places: dict[str, tuple[str, str, int, tuple[str, int]]] = {}
        self._births = 0
        for at in range(nodes):
            kind = "large" if at % 3 == 1 else "small"
            port = free_port()
            public = ("127.0.0.1", port)
            name = f"node-{at + 1:02d}"
            if self.tap is not None:
                public = self.tap.add_listener(f"node:{name}", public)
            self._places[name] = (kind, f"rack-{at % racks + 1}", port, public)
        self.wanted_schedulers = schedulers

    # --- nodes ----------------------------------------------------------------------------------------------

    def start_nodes(self) -> None:
        for name in self._places:
            self.start_node(name)

    def start_node(self, name: str, fresh: bool = False) -> FlakyAgent:
        """Bring a node up; `fresh` ones are cold."""
        kind, rack, port, public = self._places[name]
        self._births += 1
        size = self.settings["kinds"][kind]
        rules, cold = self.settings["nodes"], self.settings["nodes"]["cold"]
        settings = NodeSettings(
            size["cores"], float(size["memory"].removesuffix("gb")), kind, rules["admit_cores"],
            rules["admit_memory"], cold_pace=cold["pace"],
            cold_span_ns=round(float(cold["span"].removesuffix("s")) * S) if fresh else 0,
        )  # fmt: skip
        seed = self.seed * 1000 + self._births
        runner: Runner
        if self._runner == "real":
            spool = self.folder / name
            spool.mkdir(parents=True, exist_ok=True)
            runner = RealRunner(self.loop, spool)
        else:
            runner = EmulatedRunner(self.loop, self._emulated, seed)
        agent = FlakyAgent(
            self.loop, name, settings, runner, address=("127.0.0.1", port), directory=self.directory.address,
            advertise="{}:{}".format(*public), rack=rack, evaluation_ns=(4 * MS, 15 * MS),
            cold_times=self._emulated.cold_times, answers=rules["answers"], seed=seed,
        )  # fmt: skip
        if not fresh:
            # The fleet was up long before the day began.
            agent.ready_ns = agent.admission.ready_ns = self.loop.now_ns() - 3600 * S + self._births
        queues = self.settings["queues"].items()
        agent.keyed = frozenset(queue for queue, rules in queues if rules["effect"] == "keyed")
        agent.peers = self.nodes
        self.nodes[name] = agent
        return agent

    def crash_node(self, name: str, back_ns: int | None) -> None:
        """Lose the node with all it ran; it comes back cold."""
        self.nodes.pop(name).close()
        if back_ns is not None:
            self.loop.call_later(back_ns, self.start_node, name, True)

    def rack_of(self, name: str) -> str:
        return self._places[name][1]

    def names(self) -> list[str]:
        return list(self._places)

    # --- schedulers -----------------------------------------------------------------------------------------

    def start_schedulers(self) -> None:
        for at in range(self.wanted_schedulers):
            self.add_scheduler(at, f"{self._prefix}{at}")

    def add_scheduler(self, at: int, name: str, server: str = "") -> None:
        """Start one more; `server`: the name it takes where that is not its own."""
        port = free_port()
        public = ("127.0.0.1", port)
        directory = self.directory.address
        if self.tap is not None:
            public = self.tap.add_listener(f"sched:{name}", public)
            directory = self.tap.add_listener(f"list:{name}", directory)
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        file = folder / "settings.jsonnet"
        value = self.settings | {
            "server": server or name, "listen": f"127.0.0.1:{port}", "advertise": "{}:{}".format(*public),
            "directory": "{}:{}".format(*directory), "spool": str(folder), "seed": self.seed + at,
            "schedulers": self.wanted_schedulers, "ordinal": min(at, self.wanted_schedulers - 1),
        }  # fmt: skip
        if self._peers is not None:
            value["peers"] = self._peers(at, name)
        file.write_text(json.dumps(value, indent=2))
        self.schedulers[name] = SchedulerProcess(name, file, port, public)
        self.start_scheduler(name)

    def start_scheduler(self, name: str) -> None:
        scheduler = self.schedulers[name]
        with open(scheduler.file.with_name("log"), "ab") as log:
            scheduler.process = self.loop.spawn(
                module("ladderhub", "serve", str(scheduler.file)),
                scheduler.ended.append, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip

    def kill_scheduler(self, name: str, back_ns: int | None) -> None:
        """SIGKILL, without a word."""
        process = self.schedulers[name].process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGKILL)
        if back_ns is not None:
            self.loop.call_later(back_ns, self.start_scheduler, name)

    def is_up(self, name: str) -> bool:
        try:
            socket.create_connection(("127.0.0.1", self.schedulers[name].port), 0.2).close()
        except OSError:
            return False
        return True

    # --- waiting --------------------------------------------------------------------------------------------

    def run_for(self, span_ns: int) -> None:
        until = self.loop.now_ns() + span_ns
        while self.loop.now_ns() < until:
            self.loop.run_once(min(20 * MS, max(0, until - self.loop.now_ns())))

    def run_until(self, done: Callable[[], bool], most_ns: int) -> bool:
        """Turn the loop until `done` says so; False where time ran out."""
        until = self.loop.now_ns() + most_ns
        while not done():
            if self.loop.now_ns() >= until:
                return False
            self.loop.run_once(10 * MS)
        return True

    def start(self) -> None:
        """Everything up and knowing of each other; RuntimeError where that does not come about."""
        self.start_nodes()
        if not self.run_until(lambda: len(self.directory.entries) >= len(self._places), 5 * S):
            raise RuntimeError("nodes did not register")
        # The list is told late, so what is told first must already hold every node.
        self.run_for(self.directory.delay_ns + 100 * MS)
        self.start_schedulers()
        if not self.run_until(lambda: all(self.is_up(name) for name in self.schedulers), 15 * S):
            raise RuntimeError("a scheduler did not come up; see " + str(self.folder))
        self.run_for(700 * MS)

    def environment(self, scheduler: str) -> dict[str, str]:
        host, port = self.schedulers[scheduler].public
        here = os.path.dirname(sys.executable)
        return dict(os.environ) | {
            "PBS_SERVER": f"{host}:{port}", "PATH": here + os.pathsep + os.environ.get("PATH", ""),
        }  # fmt: skip

    def command(
        self, scheduler: str, argv: list[str], script: str = "", most_ns: int = 30 * S
    ) -> tuple[int, str]:
        """Run one batch command while the loop turns; its exit status and all that it printed."""
        ended: list[int] = []
        path = self.folder / f"out-{os.urandom(4).hex()}"
        with open(path, "wb") as out:
            process = self.loop.spawn(
                argv, ended.append, stdin=subprocess.PIPE, stdout=out, stderr=out,
                env=self.environment(scheduler),
                cwd=self.folder,
            )  # fmt: skip
        assert process.stdin is not None
        process.stdin.write(script.encode())
        process.stdin.close()
        if not self.run_until(lambda: bool(ended), most_ns):
            process.kill()
            raise RuntimeError(f"{argv[0]} did not end")
        text = path.read_text()
        path.unlink()
        return ended[0], text

    def close(self) -> None:
        for scheduler in self.schedulers.values():
            if scheduler.process is not None and scheduler.process.poll() is None:
                scheduler.process.send_signal(signal.SIGTERM)
        ended = self.run_until(
            lambda: all(s.process is None or s.process.poll() is not None for s in self.schedulers.values()),
            8 * S,
        )
        for scheduler in self.schedulers.values():
            if not ended and scheduler.process is not None and scheduler.process.poll() is None:
                scheduler.process.kill()
        for agent in self.nodes.values():
            agent.close()
        self.directory.close()
        if self.tap is not None:
            self.tap.close()
