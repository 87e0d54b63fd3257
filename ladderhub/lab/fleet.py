"""A fleet on loopback: each scheduler in its own process, nodes and directory on the caller's loop."""

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
from ladderhub.lab.process import build_module_command
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
    """A scheduler daemon that runs in its own process."""

    name: str
    file: Path
    port: int
    public: tuple[str, int]  # address for clients and nodes; that of the tap if there is one
    process: subprocess.Popen[bytes] | None = None
    ended: list[int] = field(default_factory=list)


class Fleet:
    """Schedulers, a directory and nodes.  Callers must call `close`, also after an error."""

    def __init__(
        self, loop: Loop, folder: Path, *, nodes: int = 8, schedulers: int = 2, runner: str = "emulated",
        emulated: EmulatedSettings | None = None, seed: int = 1, record: Path | None = None,
        change: Callable[[dict[str, Any]], None] | None = None, racks: int = 4, list_delay_ns: int = 500 * MS,
        prefix: str = "sched", peers: Callable[[int, str], dict[str, Any]] | None = None,
    ) -> None:  # fmt: skip
        """Create the directory and reserve the nodes' addresses; `start` starts the processes.

        `change` may edit the settings, `record` names the file for the recorded traffic, and `peers` returns
        the `peers` settings of a scheduler by its number and name.
        """
        self.loop, self.folder, self.seed = loop, folder, seed
        self.settings = copy.deepcopy(SETTINGS)
        if change is not None:
            change(self.settings)
        self._runner, self._emulated = runner, emulated or EmulatedSettings()
        self._rack_count, self._prefix, self._peers = racks, prefix, peers
        self.tap = Tap(loop, record) if record is not None else None
        self.directory = Directory(loop, (own_host(), 0), list_delay_ns, gone_delay_ns=1 * S)
        self.schedulers: dict[str, SchedulerProcess] = {}
        self.nodes: dict[str, FlakyAgent] = {}
        self._node_plans: dict[str, tuple[str, str, int, tuple[str, int]]] = {}
        self._start_count = 0
        for at in range(nodes):
            kind = "large" if at % 3 == 1 else "small"
            port = free_port()
            public = ("127.0.0.1", port)
            name = f"node-{at + 1:02d}"
            if self.tap is not None:
                public = self.tap.add_listener(f"node:{name}", public)
            self._node_plans[name] = (kind, f"rack-{at % racks + 1}", port, public)
        self.scheduler_count = schedulers

    # --- nodes ----------------------------------------------------------------------------------------------

    def start_nodes(self) -> None:
        """Start all nodes, warm."""
        for name in self._node_plans:
            self.start_node(name)

    def start_node(self, name: str, fresh: bool = False) -> FlakyAgent:
        """Start a node; a `fresh` one starts cold."""
        kind, rack, port, public = self._node_plans[name]
        self._start_count += 1
        size = self.settings["kinds"][kind]
        rules, cold = self.settings["nodes"], self.settings["nodes"]["cold"]
        settings = NodeSettings(
            size["cores"], float(size["memory"].removesuffix("gb")), kind, rules["admit_cores"],
            rules["admit_memory"], cold_pace=cold["pace"],
            cold_span_ns=round(float(cold["span"].removesuffix("s")) * S) if fresh else 0,
        )  # fmt: skip
        seed = self.seed * 1000 + self._start_count
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
            # Let the node appear to have been up for an hour, so that it is not cold.
            agent.ready_ns = agent.admission.ready_ns = self.loop.now_ns() - 3600 * S + self._start_count
        queues = self.settings["queues"].items()
        agent.keyed = frozenset(queue for queue, rules in queues if rules["effect"] == "keyed")
        agent.peers = self.nodes
        self.nodes[name] = agent
        return agent

    def crash_node(self, name: str, restart_after_ns: int | None) -> None:
        """Crash a node with all its jobs; restart it cold after `restart_after_ns` if that is given."""
        self.nodes.pop(name).close()
        if restart_after_ns is not None:
            self.loop.call_later(restart_after_ns, self.start_node, name, True)

    def get_rack(self, name: str) -> str:
        """Return the rack of a node."""
        return self._node_plans[name][1]

    def get_node_names(self) -> list[str]:
        """Return the names of all nodes, running or not."""
        return list(self._node_plans)

    # --- schedulers -----------------------------------------------------------------------------------------

    def start_schedulers(self) -> None:
        """Add and start all schedulers."""
        for at in range(self.scheduler_count):
            self.add_scheduler(at, f"{self._prefix}{at}")

    def add_scheduler(self, at: int, name: str, server: str = "") -> None:
        """Write the settings of a further scheduler and start it; `server` overrides its server name."""
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
            "schedulers": self.scheduler_count, "ordinal": min(at, self.scheduler_count - 1),
        }  # fmt: skip
        if self._peers is not None:
            value["peers"] = self._peers(at, name)
        file.write_text(json.dumps(value, indent=2))
        self.schedulers[name] = SchedulerProcess(name, file, port, public)
        self.start_scheduler(name)

    def start_scheduler(self, name: str) -> None:
        """Start the process of a scheduler that was added before."""
        scheduler = self.schedulers[name]
        with open(scheduler.file.with_name("log"), "ab") as log:
            scheduler.process = self.loop.spawn(
                build_module_command("ladderhub", "serve", str(scheduler.file)),
                scheduler.ended.append, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip

    def kill_scheduler(self, name: str, restart_after_ns: int | None) -> None:
        """Kill a scheduler by SIGKILL; restart it after `restart_after_ns` if that is given."""
        process = self.schedulers[name].process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGKILL)
        if restart_after_ns is not None:
            self.loop.call_later(restart_after_ns, self.start_scheduler, name)

    def is_up(self, name: str) -> bool:
        """Report whether a scheduler accepts connections."""
        try:
            socket.create_connection(("127.0.0.1", self.schedulers[name].port), 0.2).close()
        except OSError:
            return False
        return True

    # --- waiting --------------------------------------------------------------------------------------------

    def run_for(self, span_ns: int) -> None:
        """Run the loop for this long."""
        until = self.loop.now_ns() + span_ns
        while self.loop.now_ns() < until:
            self.loop.run_once(min(20 * MS, max(0, until - self.loop.now_ns())))

    def run_until(self, done: Callable[[], bool], timeout_ns: int) -> bool:
        """Run the loop until `done` returns true; return False on timeout."""
        until = self.loop.now_ns() + timeout_ns
        while not done():
            if self.loop.now_ns() >= until:
                return False
            self.loop.run_once(10 * MS)
        return True

    def start(self) -> None:
        """Start the whole fleet and wait until it is ready; raise RuntimeError on timeout."""
        self.start_nodes()
        if not self.run_until(lambda: len(self.directory.entries) >= len(self._node_plans), 5 * S):
            raise RuntimeError("the nodes did not register at the directory within 5 s")
        # The directory delays its lists; wait so that the first list already contains every node.
        self.run_for(self.directory.delay_ns + 100 * MS)
        self.start_schedulers()
        if not self.run_until(lambda: all(self.is_up(name) for name in self.schedulers), 15 * S):
            raise RuntimeError("a scheduler did not start within 15 s; its log is in " + str(self.folder))
        self.run_for(700 * MS)

    def build_environment(self, scheduler: str) -> dict[str, str]:
        """Build the environment in which batch commands use a scheduler."""
        host, port = self.schedulers[scheduler].public
        bin_folder = os.path.dirname(sys.executable)
        return dict(os.environ) | {
            "PBS_SERVER": f"{host}:{port}", "PATH": bin_folder + os.pathsep + os.environ.get("PATH", ""),
        }  # fmt: skip

    def run_command(
        self, scheduler: str, argv: list[str], script: str = "", timeout_ns: int = 30 * S
    ) -> tuple[int, str]:
        """Run a batch command while the loop runs; return its exit status and its output."""
        ended: list[int] = []
        path = self.folder / f"out-{os.urandom(4).hex()}"
        with open(path, "wb") as out:
            process = self.loop.spawn(
                argv, ended.append, stdin=subprocess.PIPE, stdout=out, stderr=out,
                env=self.build_environment(scheduler),
                cwd=self.folder,
            )  # fmt: skip
        assert process.stdin is not None
        process.stdin.write(script.encode())
        process.stdin.close()
        if not self.run_until(lambda: bool(ended), timeout_ns):
            process.kill()
            raise RuntimeError(f"{argv[0]} did not end within {timeout_ns / S:g} s")
        text = path.read_text()
        path.unlink()
        return ended[0], text

    def close(self) -> None:
        """Stop all schedulers, by SIGKILL if SIGTERM does not suffice, and close nodes, directory and tap."""
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
