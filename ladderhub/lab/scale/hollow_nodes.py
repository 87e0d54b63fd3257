"""Runs many node agents with emulated work in one process, on real sockets.

`python -m ladderhub.lab.scale.hollow_nodes PLAN OUT` starts the nodes of PLAN and executes commands, one per
line, from its standard input:

    crash NAME BACK_S            the machine fails with all its jobs, and comes back cold after BACK_S
    restart NAME BACK_S          the node drains, ends its jobs, and comes back cold after BACK_S
    replace NAME OTHER BACK_S    the node drains and is removed; OTHER starts cold in its place after BACK_S
    count FILE                   the counters of all nodes of this process are written to FILE

It exits on SIGTERM or at the end of its input, and then writes to OUT when each job ran and when it ended.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

import msgspec

from ladderhub.lab.scale.measure import collect_counters
from ladderhub.loop import Loop
from ladderhub.loop.core import READ
from ladderhub.node.admission import NodeSettings, RunKey
from ladderhub.node.agent import Agent
from ladderhub.node.runners import EmulatedRunner, EmulatedSettings
from ladderhub.usage.traffic import Traffic

MS, S = 1_000_000, 1_000_000_000
EVALUATION_NS = (4 * MS, 15 * MS)
DRAIN_NS = 1 * S  # from the start of a drain until the remaining jobs are ended
INITIAL_UPTIME_NS = 3600 * S  # assumed uptime of the first nodes, so that they count as warm


class NodePlan(msgspec.Struct):
    """Describes one node."""

    name: str
    kind: str
    cores: float
    memory_gib: float
    rack: str
    zone: str
    seed: int


class HostPlan(msgspec.Struct):
    """The nodes of one process and their common settings."""

    directory: tuple[str, int]
    nodes: list[NodePlan]
    admit_cores: float
    admit_memory: float
    cold_pace: float
    cold_span_ns: int
    warm_ns: int
    cold_times: float
    answers: str


class HostResult(msgspec.Struct):
    """The result of a process of nodes: when each job first ran and when it ended (monotonic clock, ns)."""

    ran: dict[str, int] = {}
    ended: dict[str, int] = {}


class TimedAgent(Agent):
    """A node agent that records when each of its jobs first ran, and when it ended."""

    result: HostResult

    def _on_started(self, key: RunKey) -> None:
        self.result.ran.setdefault(key[0], time.monotonic_ns())
        super()._on_started(key)

    def _on_ended(self, key: RunKey, status: int, reason: str) -> None:
        self.result.ended[key[0]] = time.monotonic_ns()
        super()._on_ended(key, status, reason)

    def close(self) -> None:
        """Stop without notice, like a machine that loses power; all jobs end."""
        for job, _ in self.jobs:
            self.result.ended[job] = time.monotonic_ns()
        super().close()


class NodeHost:
    """Starts, stops and restarts the nodes of this process."""

    def __init__(self, loop: Loop, plan: HostPlan) -> None:
        self._loop, self._plan = loop, plan
        self._node_plans = {node.name: node for node in plan.nodes}
        self._agents: dict[str, TimedAgent] = {}
        self._started_agents = 0
        self._traffic = Traffic()
        self.result = HostResult()

    def start(self) -> None:
        """Start all nodes of the plan as warm ones."""
        for node in self._plan.nodes:
            agent = self._start_agent(node, is_fresh=False)
            agent.ready_ns = agent.admission.ready_ns = self._loop.now_ns() - INITIAL_UPTIME_NS

    def _start_agent(self, node: NodePlan, is_fresh: bool) -> TimedAgent:
        plan = self._plan
        self._started_agents += 1
        settings = NodeSettings(
            node.cores, node.memory_gib, node.kind, plan.admit_cores, plan.admit_memory,
            cold_pace=plan.cold_pace, cold_span_ns=plan.cold_span_ns if is_fresh else 0,
        )  # fmt: skip
        seed = node.seed + self._started_agents
        emulated = EmulatedSettings(plan.warm_ns, plan.cold_times)
        agent = TimedAgent(
            self._loop, node.name, settings, EmulatedRunner(self._loop, emulated, seed),
            directory=plan.directory, rack=node.rack, zone=node.zone, evaluation_ns=EVALUATION_NS,
            cold_times=plan.cold_times, answers=plan.answers, seed=seed, traffic=self._traffic,
        )  # fmt: skip
        agent.result = self.result
        self._agents[node.name] = agent
        return agent

    # --- commands ---------------------------------------------------------------------------------------

    def execute(self, line: str) -> None:
        """Execute one command; ignore it if its node is down."""
        command, name, *arguments = line.split()
        if command == "count":
            self._write_counters(Path(name))
            return
        agent = self._agents.get(name)
        if agent is None:
            return
        plan = self._node_plans[name]
        if command == "replace":
            plan = msgspec.structs.replace(plan, name=arguments[0])
        if command == "crash":
            self._restart_agent(name, plan, round(float(arguments[-1]) * S))
            return
        agent.drain(True)
        self._loop.call_later(DRAIN_NS, agent.stop_all_jobs)
        self._loop.call_later(2 * DRAIN_NS, self._restart_agent, name, plan, round(float(arguments[-1]) * S))

    def _write_counters(self, file: Path) -> None:
        counted = collect_counters(time.process_time(), self._traffic)
        counted.work["starts"] = float(len(self.result.ran))
        temporary = file.with_name(file.name + ".new")
        temporary.write_bytes(msgspec.json.encode(counted))
        temporary.replace(file)

    def _restart_agent(self, name: str, next_plan: NodePlan, back_ns: int) -> None:
        agent = self._agents.pop(name, None)
        if agent is not None:
            agent.close()
            self._node_plans[next_plan.name] = next_plan
            self._loop.call_later(back_ns, self._start_agent, next_plan, True)


class CommandReader:
    """Executes each line of the standard input as a command, and stops the loop at its end."""

    def __init__(self, loop: Loop, host: NodeHost) -> None:
        self._loop, self._host, self._partial_line = loop, host, b""
        loop.watch(sys.stdin.fileno(), READ, self._read)

    def _read(self, _: int) -> None:
        data = os.read(sys.stdin.fileno(), 65_536)
        if not data:
            self._loop.watch(sys.stdin.fileno(), 0, self._read)
            self._loop.stop()
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            self._host.execute(line.decode())


def main() -> None:
    """Run the nodes until SIGTERM or the end of the standard input."""
    plan: HostPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostPlan)
    loop = Loop(trouble=lambda where, error: print(f"{where}: {error!r}", file=sys.stderr, flush=True))
    host = NodeHost(loop, plan)
    host.start()
    CommandReader(loop, host)
    loop.on_signal(signal.SIGTERM, loop.stop)
    loop.on_signal(signal.SIGINT, loop.stop)
    loop.run()
    Path(sys.argv[2]).write_bytes(msgspec.json.encode(host.result))


if __name__ == "__main__":
    main()
