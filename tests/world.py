"""A small fleet in one process for tests over sockets: daemons, nodes and directory on one loop, real time.

Tests wait for the expected state with generous time limits; no verdict depends on elapsed time."""

from __future__ import annotations

import copy
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from ladderhub.directory.service import Directory
from ladderhub.lab.client import BatchClient, Submission, build_job_attributes
from ladderhub.lab.fleet import SETTINGS
from ladderhub.lab.flaky import FlakyAgent
from ladderhub.lab.ports import free_port, own_host
from ladderhub.lab.tap import Tap
from ladderhub.loop import Loop
from ladderhub.node.admission import NodeSettings
from ladderhub.node.runners import EmulatedRunner, EmulatedSettings
from ladderhub.pbs.batch import Attr, Reply, Row
from ladderhub.server.daemon import Daemon
from ladderhub.server.settings import check

MS, S = 1_000_000, 1_000_000_000
QUIET = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)


class World:
    """A directory and `nodes` large nodes; `daemon` adds schedulers.  With `record`, clients, schedulers and
    nodes talk through a tap that records them."""

    def __init__(
        self, folder: Path, nodes: int = 3, *, record: bool = False, warm_ns: int = 20 * MS,
        limit: str = "4s",
        change: Callable[[dict[str, Any]], None] | None = None, answers: str = "running",
        cold_times: float = 2.0,
    ) -> None:  # fmt: skip
        self.folder = folder
        self.troubles: list[BaseException] = []
        self.loop = Loop(trouble=lambda where, fault: self.troubles.append(fault))
        self.tap = Tap(self.loop, folder / "recording.tap") if record else None
        self.directory = Directory(self.loop, (own_host(), 0), delay_ns=0, gone_delay_ns=200 * MS)
        self.settings: dict[str, Any] = copy.deepcopy(SETTINGS)
        self.settings["nodes"]["answers"] = answers
        for queue in self.settings["queues"].values():
            queue |= {"limit": limit, "deadline": "2s", "stay_first": "100ms", "stay_most": "400ms"}
            queue["settle"] = "100ms"
        if change is not None:
            change(self.settings)
        self.emulated = EmulatedSettings(warm_ns=warm_ns, cold_times=cold_times, life_ns=(30 * S, 30 * S))
        self.agents: dict[str, FlakyAgent] = {}
        self._ports: dict[str, tuple[int, tuple[str, int]]] = {}
        self.daemons: dict[str, Daemon] = {}
        for at in range(nodes):
            self.add_node(f"node-{at + 1}")
        self.until(lambda: len(self.directory.entries) == nodes)

    def add_node(self, name: str, kind: str = "large") -> FlakyAgent:
        """Start a node that counts as up for an hour."""
        if name not in self._ports:
            port = free_port()
            public = ("127.0.0.1", port)
            self._ports[name] = (port, self.tap.add_listener(f"node:{name}", public) if self.tap else public)
        port, public = self._ports[name]
        rules, size = self.settings["nodes"], self.settings["kinds"][kind]
        agent = FlakyAgent(
            self.loop, name,
            NodeSettings(
                size["cores"], float(size["memory"].removesuffix("gb")), kind, rules["admit_cores"],
                rules["admit_memory"],
            ),
            EmulatedRunner(self.loop, self.emulated, seed=len(self.agents) + 1), address=("127.0.0.1", port),
            directory=self.directory.address, advertise="{}:{}".format(*public), rack=f"rack-{name[-1]}",
            evaluation_ns=(1 * MS, 3 * MS), answers=rules["answers"], cold_times=self.emulated.cold_times,
            seed=7,
        )  # fmt: skip
        agent.ready_ns = agent.admission.ready_ns = self.loop.now_ns() - 3600 * S
        agent.peers = self.agents
        agent.keyed = frozenset({"mail"})
        self.agents[name] = agent
        return agent

    def crash(self, name: str) -> None:
        """Close all sockets of a node and lose its jobs."""
        self.agents.pop(name).close()

    def daemon(self, name: str = "alpha", port: int = 0, wait: bool = True) -> Daemon:
        """Start a scheduler; with `wait`, return once it knows all nodes."""
        directory = self.directory.address
        port = port or free_port()
        public = ("127.0.0.1", port)
        if self.tap is not None:
            directory = self.tap.add_listener(f"list:{name}", directory)
            public = self.tap.add_listener(f"sched:{name}", public)
        value = self.settings | {
            "server": name, "listen": f"127.0.0.1:{port}", "advertise": "{}:{}".format(*public),
            "directory": "{}:{}".format(*directory), "spool": str(self.folder / name),
        }  # fmt: skip
        daemon = Daemon(self.loop, check(value, "test"), QUIET)
        daemon.start()
        self.daemons[name] = daemon
        self.public = public
        if wait:
            self.until(lambda: len(daemon.nodes.entries) == len(self.directory.entries))
        return daemon

    # --- time ---------------------------------------------------------------------------------------------

    def until(self, done: Callable[[], object], seconds: float = 20) -> None:
        """Run the loop until `done` returns true; AssertionError after `seconds`."""
        end = self.loop.now_ns() + round(seconds * S)
        while not done():
            assert self.loop.now_ns() < end, "the expected state was not reached in time"
            self.loop.run_once(5 * MS)

    def run_for(self, span_ns: int) -> None:
        """Run the loop for a duration."""
        end = self.loop.now_ns() + span_ns
        while self.loop.now_ns() < end:
            self.loop.run_once(min(5 * MS, max(0, end - self.loop.now_ns())))

    # --- client requests ----------------------------------------------------------------------------------

    def ask(self, call: Callable[[BatchClient, Callable[[Reply | None], None]], None]) -> Reply:
        """Send one request on a separate connection and return the reply."""
        replies: list[Reply | None] = []
        client = BatchClient(self.loop, self.public, "tester")
        call(client, replies.append)
        self.until(lambda: replies)
        client.close()
        assert replies[0] is not None, "no reply"
        return replies[0]

    def submit(
        self, queue: str = "billing", life_s: float = 30, account: str = "north", service: str = "",
        extra: list[Attr] | None = None, cpus: float = 1.0,
    ) -> str:  # fmt: skip
        """Submit a job and return its identifier."""
        results: list[tuple[str, str]] = []
        attrs = build_job_attributes("work", service or f"{queue}-1", cpus, 1.0, life_s, account) + (
            extra or []
        )
        Submission(
            self.loop, self.public, queue, attrs, b"#!/bin/sh\ntrue\n", lambda j, w: results.append((j, w))
        )
        self.until(lambda: results)
        assert results[0][0], results[0][1]
        return results[0][0]

    def delete(self, job: str) -> Reply:
        """Delete a job."""
        return self.ask(lambda client, on_reply: client.delete(job, on_reply))

    def row(self, job: str) -> Row:
        """Return the status row of a job."""
        return self.ask(lambda client, on_reply: client.status(on_reply, job)).rows[0]

    def wait(self, job: str, state: str, seconds: float = 20) -> Row:
        """Wait until a job has the state; return its status row."""
        self.until(lambda: self.row(job).get("job_state") == state, seconds)
        return self.row(job)

    def wait_answer(self, job: str, answer: str) -> Row:
        """Wait for the answer to a job's placement and check it; return the job's status row."""
        self.until(lambda: self.row(job).get("placement"))
        row = self.row(job)
        assert row.get("placement") == answer, (row.get("placement"), row.get("comment"))
        return row

    def live(self, job: str) -> list[str]:
        """Return the nodes on which the job was committed and has not ended."""
        return [
            name for name, agent in self.agents.items() for key, held in agent.jobs.items()
            if key[0] == job and held.state != "T"
        ]  # fmt: skip

    def close(self) -> None:
        """Close every daemon, node and socket."""
        for daemon in self.daemons.values():
            daemon.close()
        for agent in self.agents.values():
            agent.close()
        self.directory.close()
        if self.tap is not None:
            self.tap.close()
        self.loop.close()
