"""Starts and stops the processes of one run, and waits until they have discovered each other."""

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

from ladderhub.directory.wire import Listed, MessageDecoder, Watch, encode
from ladderhub.lab.ports import free_port
from ladderhub.lab.process import build_module_command
from ladderhub.lab.scale import settings as run_settings
from ladderhub.lab.scale.changes import make_changed_settings
from ladderhub.lab.scale.children import Child, Children
from ladderhub.lab.scale.churn import ChurnEvent
from ladderhub.lab.scale.hollow_nodes import HostResult
from ladderhub.lab.scale.load import LoadResult
from ladderhub.lab.scale.measure import (
    Counters,
    fetch_page,
    parse_gauge,
    read_directory_counters,
    request_file,
)
from ladderhub.lab.scale.plan import Plan, ScaleError, Size

SCHEDULER, ELECTOR, DIRECTORY, NODE_AGENT = "scheduler", "elector", "directory", "node_agent"
HOLLOW_SCHEDULER, LOAD, CHANGE = "hollow_scheduler", "load", "change"
HOST = "127.0.0.1"
POLL_S = 0.25
Address = tuple[str, int]


@dataclass(slots=True)
class RealScheduler:
    """A `ladderhub serve` process with its addresses and its settings file."""

    name: str
    listen: Address
    http: Address
    peers: Address
    file: Path
    child: Child


@dataclass(slots=True)
class HostProcess:
    """A process of nodes, load or hollow schedulers, with the file that it writes when it exits.

    `share` is the number of members that it hosts."""

    child: Child
    out: Path
    share: int = 1


class ScaleFleet:
    """All processes of one run.  `close` has to be called, also after an error."""

    def __init__(self, plan: Plan, size: Size, folder: Path, seed: int) -> None:
        self.plan, self.size, self.folder, self.seed = plan, size, folder, seed
        folder.mkdir(parents=True, exist_ok=True)
        bounds = plan.playing
        self.children = Children(folder, bounds.processes_most, bounds.memory_gib_most, bounds.run_s_most)
        self.nodes = run_settings.build_node_plans(plan, size, seed)
        self.directory_address: Address = (HOST, free_port())
        self.directory_stats = folder / "directory.json"
        self.schedulers: list[RealScheduler] = []
        self.hosts: list[HostProcess] = []
        self.loads: list[HostProcess] = []
        self.hollow: list[HostProcess] = []
        self.changes: list[Child] = []
        self._host_by_node: dict[str, HostProcess] = {}
        self._peer_addresses = [(HOST, free_port()) for _ in range(plan.real_schedulers)]
        self.electors = run_settings.compute_elector_count(plan.peers.electors, plan.real_schedulers)

    # --- starting ---------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start all processes except the load and wait until they have discovered each other.

        Raises `ScaleError` if that takes too long."""
        self._start_directory()
        self._start_nodes()
        self._wait_until("all nodes are registered", self._are_all_nodes_listed, self.plan.playing.register_s)
        self._start_schedulers()
        self._start_hollow_schedulers()
        self._wait_until(
            "the schedulers list every node", self._is_every_node_known, self.plan.playing.ready_s
        )
        self._wait_until(
            "the schedulers list each other as members",
            self._is_every_member_known,
            self.plan.playing.ready_s,
        )
        self.children.sleep(self.plan.playing.join_s)

    def _start_directory(self) -> None:
        listen, stats = run_settings.format_address(self.directory_address), str(self.directory_stats)
        argv = build_module_command("ladderhub", "directory", "--listen", listen, "--stats", stats)
        self.children.start("directory", DIRECTORY, argv)

    def _start_nodes(self) -> None:
        for index, plan in enumerate(
            run_settings.build_host_plans(self.plan, self.nodes, self.directory_address)
        ):
            host = self._start_host_process("hollow_nodes", NODE_AGENT, f"nodes-{index}", plan)
            host.share = len(plan.nodes)
            self.hosts.append(host)
            self._host_by_node |= {node.name: host for node in plan.nodes}

    def _start_host_process(
        self, module_name: str, role: str, name: str, plan: msgspec.Struct
    ) -> HostProcess:
        file, out = self.folder / f"{name}.plan.json", self.folder / f"{name}.out.json"
        file.write_bytes(msgspec.json.encode(plan))
        out.unlink(missing_ok=True)
        argv = build_module_command(f"ladderhub.lab.scale.{module_name}", str(file), str(out))
        return HostProcess(self.children.start(name, role, argv), out)

    def _start_schedulers(self) -> None:
        for index in range(self.plan.real_schedulers):
            name = f"sched{index}"
            listen, http = (HOST, free_port()), (HOST, free_port())
            folder = self.folder / name
            folder.mkdir(exist_ok=True)
            file = folder / "settings.jsonnet"
            file.write_text(json.dumps(self._build_settings(index, name, listen, http, folder), indent=2))
            role = ELECTOR if index < self.electors else SCHEDULER
            child = self.children.start(name, role, build_module_command("ladderhub", "serve", str(file)))
            self.schedulers.append(
                RealScheduler(name, listen, http, self._peer_addresses[index], file, child)
            )

    def _build_settings(
        self, index: int, name: str, listen: Address, http: Address, folder: Path
    ) -> dict[str, Any]:
        return self.plan.settings | {
            "server": name, "listen": run_settings.format_address(listen),
            "http": run_settings.format_address(http), "spool": str(folder),
            "directory": run_settings.format_address(self.directory_address), "seed": self.seed + index,
            "schedulers": self.size.schedulers, "ordinal": index,
            "tenants": run_settings.build_team_settings(self.plan, self.size, self.nodes),
            "peers": {
                "listen": run_settings.format_address(self._peer_addresses[index]),
                "seeds": self._get_seed_addresses(), "cluster": run_settings.CLUSTER,
                "period": self.plan.peers.period, "lease": self.plan.peers.lease,
                "electors": self._get_elector_addresses(),
            },
        }  # fmt: skip

    def _get_seed_addresses(self) -> list[str]:
        return [
            run_settings.format_address(address) for address in self._peer_addresses[: self.plan.peers.seeds]
        ]

    def _get_elector_addresses(self) -> list[str]:
        return [run_settings.format_address(address) for address in self._peer_addresses[: self.electors]]

    def _start_hollow_schedulers(self) -> None:
        count = self.size.schedulers - self.plan.real_schedulers
        processes = min(count, self.plan.playing.hollow_processes)
        for index in range(processes):
            share = len(range(index, count, processes))
            plan = run_settings.HollowPlan(
                run_settings.CLUSTER, self._get_seed_addresses(), self._get_elector_addresses(), share,
                self.plan.peers.period, self.plan.peers.lease, self.size.schedulers,
                self.seed + index * count, self.plan.settings["nodes"]["cold"]["window"], f"hollow{index}-",
            )  # fmt: skip
            host = self._start_host_process("hollow_schedulers", HOLLOW_SCHEDULER, f"hollow-{index}", plan)
            host.share = share
            self.hollow.append(host)

    # --- waiting ----------------------------------------------------------------------------------------

    def _wait_until(self, condition: str, is_met: Callable[[], bool], seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while not is_met():
            if time.monotonic() >= deadline:
                raise ScaleError(
                    f"timed out after {seconds:g} s while waiting until {condition}", where=str(self.folder)
                )
            self.children.sleep(POLL_S)

    def _are_all_nodes_listed(self) -> bool:
        try:
            return count_listed_nodes(self.directory_address) >= self.size.nodes
        except OSError:
            return False

    def _is_every_node_known(self) -> bool:
        return self._is_gauge_equal_everywhere("ladderhub_nodes", self.size.nodes)

    def _is_every_member_known(self) -> bool:
        return self._is_gauge_equal_everywhere("ladderhub_members", self.size.schedulers)

    def _is_gauge_equal_everywhere(self, gauge: str, expected: int) -> bool:
        pages = (fetch_page(scheduler.http, "/metrics") for scheduler in self.schedulers)
        return all(page is not None and parse_gauge(page, gauge) == expected for page in pages)

    # --- counters of processes without a metrics page ---------------------------------------------------

    def read_directory_counters(self) -> Counters | None:
        """Return the directory's counters, or None if it does not write them in time."""
        (child,) = self.children.list_by_role(DIRECTORY)
        is_written = request_file(self.directory_stats, partial(child.signal, signal.SIGUSR1))
        return read_directory_counters(self.directory_stats) if is_written else None

    def read_node_counters(self, host: HostProcess) -> Counters | None:
        """Return the counters of a process of nodes, or None if it does not write them in time."""
        file = host.out.with_name(host.out.name + ".counted")
        is_written = request_file(file, partial(host.child.write_command, f"count {file}"))
        return msgspec.json.decode(file.read_bytes(), type=Counters) if is_written else None

    # --- load, churn and configuration changes ----------------------------------------------------------

    def start_load(self) -> None:
        """Start the processes that submit jobs."""
        targets = [scheduler.listen for scheduler in self.schedulers]
        for index, plan in enumerate(run_settings.build_load_plans(self.plan, self.size, targets, self.seed)):
            self.loads.append(self._start_host_process("load", LOAD, f"load-{index}", plan))

    def apply_churn_event(self, event: ChurnEvent) -> None:
        """Send the command of a churn event to the process that hosts the node."""
        self._host_by_node[event.node].child.write_command(event.command)

    def change_settings(self, number: int) -> None:
        """Apply a configuration change through one of the schedulers, in rotation."""
        scheduler = self.schedulers[number % len(self.schedulers)]
        file = self.folder / f"change-{number}.jsonnet"
        settings = json.loads(scheduler.file.read_text())
        file.write_text(json.dumps(make_changed_settings(settings, number)))
        argv = build_module_command(
            "ladderhub",
            "policy",
            "apply",
            str(file),
            "--server",
            run_settings.format_address(scheduler.listen),
        )
        self.changes.append(self.children.start(f"change-{number}", CHANGE, argv, short_lived=True))

    # --- stopping ---------------------------------------------------------------------------------------

    def stop_load(self) -> list[LoadResult]:
        """Stop the load and return what it submitted."""
        self.children.terminate([host.child for host in self.loads])
        return [msgspec.json.decode(host.out.read_bytes(), type=LoadResult) for host in self.loads]

    def stop_nodes(self) -> list[HostResult]:
        """Stop the nodes and return their results."""
        self.children.terminate([host.child for host in self.hosts])
        return [msgspec.json.decode(host.out.read_bytes(), type=HostResult) for host in self.hosts]

    def close(self) -> None:
        """Terminate all remaining processes, the schedulers first, while their peers and nodes still run."""
        try:
            for scheduler in self.schedulers:
                scheduler.child.signal(signal.SIGTERM)
        finally:
            self.children.close()


def count_listed_nodes(directory: Address, seconds: float = 5.0) -> int:
    """Return the number of nodes that a directory lists."""
    decoder = MessageDecoder()
    with socket.create_connection(directory, seconds) as sock:
        sock.sendall(encode(Watch("scale-run")))
        while data := sock.recv(1 << 20):
            for message in decoder.feed(data):
                if isinstance(message, Listed):
                    return len(message.entries)
    return 0
