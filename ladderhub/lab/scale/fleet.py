"""The fleet of one run: which processes there are, what each is told, and when all know of each other."""

from __future__ import annotations

import json
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.directory.wire import MessageDecoder, Listed, Watch, encode
from ladderhub.lab.ports import free_port
from ladderhub.lab.process import module
from ladderhub.lab.scale import settings as tell
from ladderhub.lab.scale.changes import changed_settings
from ladderhub.lab.scale.children import Child, Children
from ladderhub.lab.scale.churn import Trouble
from ladderhub.lab.scale.hollow_nodes import HostResult
from ladderhub.lab.scale.load import Sent
from ladderhub.lab.scale.measure import Counters, counted_by_directory, fetch_page, parse_gauge, written_anew
from ladderhub.lab.scale.plan import Plan, ScaleError, Size

SCHEDULER, ELECTOR, DIRECTORY, NODE_AGENT = "scheduler", "elector", "directory", "node_agent"
HOLLOW_SCHEDULER, LOAD, CHANGE = "hollow_scheduler", "load", "change"
HOST = "127.0.0.1"
LOOK_S = 0.25
Address = tuple[str, int]


@dataclass(slots=True)
class RealScheduler:
    """One `ladderhub serve`: where it listens, and its process."""

    name: str
    listen: Address
    http: Address
    peers: Address
    file: Path
    child: Child


@dataclass(slots=True)
class Helper:
    """A process of nodes, of load or of hollow schedulers, with the file that it writes at its end.  `share`:
    how many members it hosts."""

    child: Child
    out: Path
    share: int = 1


class ScaleFleet:
    """All processes of one run.  End it with `close`, whatever happened."""

    def __init__(self, plan: Plan, size: Size, folder: Path, seed: int) -> None:
        self.plan, self.size, self.folder, self.seed = plan, size, folder, seed
        folder.mkdir(parents=True, exist_ok=True)
        bounds = plan.playing
        self.children = Children(folder, bounds.processes_most, bounds.memory_gib_most, bounds.run_s_most)
        self.nodes = tell.node_plans(plan, size, seed)
        self.directory_address: Address = (HOST, free_port())
        self.directory_stats = folder / "directory.json"
        self.schedulers: list[RealScheduler] = []
        self.hosts: list[Helper] = []
        self.loads: list[Helper] = []
        self.hollow: list[Helper] = []
        self.changes: list[Child] = []
        self._host_of: dict[str, Helper] = {}
        self._peer_addresses = [(HOST, free_port()) for _ in range(plan.real_schedulers)]
        self.electors = tell.elector_count(plan.peers.electors, plan.real_schedulers)

    # --- starting ---------------------------------------------------------------------------------------

    def start(self) -> None:
        """Everything up and knowing of each other, without load; `ScaleError` where that does not come."""
        self._start_directory()
        self._start_nodes()
        self._await("nodes registered", self._all_listed, self.plan.playing.register_s)
        self._start_schedulers()
        self._start_hollow_schedulers()
        self._await("schedulers know every node", self._all_know_the_nodes, self.plan.playing.ready_s)
        self._await("schedulers know each other", self._all_know_each_other, self.plan.playing.ready_s)
        self.children.pause(self.plan.playing.join_s)

    def _start_directory(self) -> None:
        listen, stats = tell.text(self.directory_address), str(self.directory_stats)
        argv = module("ladderhub", "directory", "--listen", listen, "--stats", stats)
        self.children.start("directory", DIRECTORY, argv)

    def _start_nodes(self) -> None:
        for at, plan in enumerate(tell.host_plans(self.plan, self.nodes, self.directory_address)):
            helper = self._start_helper("hollow_nodes", NODE_AGENT, f"nodes-{at}", plan)
            helper.share = len(plan.nodes)
            self.hosts.append(helper)
            self._host_of |= {node.name: helper for node in plan.nodes}

    def _start_helper(self, module_name: str, role: str, name: str, told: msgspec.Struct) -> Helper:
        file, out = self.folder / f"{name}.plan.json", self.folder / f"{name}.out.json"
        file.write_bytes(msgspec.json.encode(told))
        out.unlink(missing_ok=True)
        argv = module(f"ladderhub.lab.scale.{module_name}", str(file), str(out))
        return Helper(self.children.start(name, role, argv), out)

    def _start_schedulers(self) -> None:
        for at in range(self.plan.real_schedulers):
            name = f"sched{at}"
            listen, http = (HOST, free_port()), (HOST, free_port())
            folder = self.folder / name
            folder.mkdir(exist_ok=True)
            file = folder / "settings.jsonnet"
            file.write_text(json.dumps(self._settings(at, name, listen, http, folder), indent=2))
            role = ELECTOR if at < self.electors else SCHEDULER
            child = self.children.start(name, role, module("ladderhub", "serve", str(file)))
            self.schedulers.append(RealScheduler(name, listen, http, self._peer_addresses[at], file, child))

    def _settings(self, at: int, name: str, listen: Address, http: Address, folder: Path) -> dict[str, Any]:
        return self.plan.settings | {
            "server": name, "listen": tell.text(listen), "http": tell.text(http), "spool": str(folder),
            "directory": tell.text(self.directory_address), "seed": self.seed + at,
            "schedulers": self.size.schedulers, "ordinal": at,
            "tenants": tell.teams_settings(self.plan, self.size, self.nodes),
            "peers": {
                "listen": tell.text(self._peer_addresses[at]), "seeds": self._seeds(),
                "cluster": tell.CLUSTER, "period": self.plan.peers.period, "lease": self.plan.peers.lease,
                "electors": self._elector_addresses(),
            },
        }  # fmt: skip

    def _seeds(self) -> list[str]:
        return [tell.text(address) for address in self._peer_addresses[: self.plan.peers.seeds]]

    def _elector_addresses(self) -> list[str]:
        return [tell.text(address) for address in self._peer_addresses[: self.electors]]

    def _start_hollow_schedulers(self) -> None:
        count = self.size.schedulers - self.plan.real_schedulers
        processes = min(count, self.plan.playing.hollow_processes)
        for at in range(processes):
            share = len(range(at, count, processes))
            told = tell.HollowPlan(
                tell.CLUSTER, self._seeds(), self._elector_addresses(), share, self.plan.peers.period,
                self.plan.peers.lease, self.size.schedulers, self.seed + at * count,
                self.plan.settings["nodes"]["cold"]["window"], f"hollow{at}-",
            )  # fmt: skip
            helper = self._start_helper("hollow_schedulers", HOLLOW_SCHEDULER, f"hollow-{at}", told)
            helper.share = share
            self.hollow.append(helper)

    # --- waiting ----------------------------------------------------------------------------------------

    def _await(self, what: str, done: Callable[[], bool], seconds: float) -> None:
        until = time.monotonic() + seconds
        while not done():
            if time.monotonic() >= until:
                raise ScaleError(f"{what}: not within {seconds:g} s", where=str(self.folder))
            self.children.pause(LOOK_S)

    def _all_listed(self) -> bool:
        try:
            return listed(self.directory_address) >= self.size.nodes
        except OSError:
            return False

    def _all_know_the_nodes(self) -> bool:
        return self._each_tells("ladderhub_nodes", self.size.nodes)

    def _all_know_each_other(self) -> bool:
        return self._each_tells("ladderhub_members", self.size.schedulers)

    def _each_tells(self, gauge: str, wanted: int) -> bool:
        pages = (fetch_page(scheduler.http, "/metrics") for scheduler in self.schedulers)
        return all(page is not None and parse_gauge(page, gauge) == wanted for page in pages)

    # --- what processes without a metrics page count ---------------------------------------------------

    def counted_by_directory(self) -> Counters | None:
        """None where the directory does not tell in time."""
        (child,) = self.children.of(DIRECTORY)
        told = written_anew(self.directory_stats, partial(child.signal, signal.SIGUSR1))
        return counted_by_directory(self.directory_stats) if told else None

    def counted_by_nodes(self, host: Helper) -> Counters | None:
        """None where the process of nodes does not tell in time."""
        file = host.out.with_name(host.out.name + ".counted")
        told = written_anew(file, partial(host.child.tell, f"count {file}"))
        return msgspec.json.decode(file.read_bytes(), type=Counters) if told else None

    # --- load and troubles ------------------------------------------------------------------------------

    def start_load(self) -> None:
        targets = [scheduler.listen for scheduler in self.schedulers]
        for at, plan in enumerate(tell.load_plans(self.plan, self.size, targets, self.seed)):
            self.loads.append(self._start_helper("load", LOAD, f"load-{at}", plan))

    def trouble(self, trouble: Trouble) -> None:
        """Have a node's process carry out its trouble."""
        self._host_of[trouble.node].child.tell(trouble.command)

    def change_settings(self, number: int) -> None:
        """Have one scheduler, each in its turn, put a change of configuration in force everywhere."""
        asked = self.schedulers[number % len(self.schedulers)]
        file = self.folder / f"change-{number}.jsonnet"
        settings = json.loads(asked.file.read_text())
        file.write_text(json.dumps(changed_settings(settings, number)))
        argv = module("ladderhub", "policy", "apply", str(file), "--server", tell.text(asked.listen))
        self.changes.append(self.children.start(f"change-{number}", CHANGE, argv, brief=True))

    # --- the end ----------------------------------------------------------------------------------------

    def stop_load(self) -> list[Sent]:
        """End the load; what it sent."""
        self.children.end([helper.child for helper in self.loads])
        return [msgspec.json.decode(helper.out.read_bytes(), type=Sent) for helper in self.loads]

    def stop_nodes(self) -> list[HostResult]:
        """End the nodes; what they saw."""
        self.children.end([helper.child for helper in self.hosts])
        return [msgspec.json.decode(helper.out.read_bytes(), type=HostResult) for helper in self.hosts]

    def close(self) -> None:
        """End all processes that still run; schedulers first, while their peers and nodes are there."""
        try:
            for scheduler in self.schedulers:
                scheduler.child.signal(signal.SIGTERM)
        finally:
            self.children.close()


def listed(directory: Address, seconds: float = 5.0) -> int:
    """How many nodes a directory lists to one who asks now."""
    lines = MessageDecoder()
    with socket.create_connection(directory, seconds) as sock:
        sock.sendall(encode(Watch("scale-run")))
        while data := sock.recv(1 << 20):
            for message in lines.feed(data):
                if isinstance(message, Listed):
                    return len(message.entries)
    return 0
