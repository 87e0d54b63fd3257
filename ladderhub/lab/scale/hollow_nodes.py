"""Many node agents with emulated work in one process, on real sockets.

`python -m ladderhub.lab.scale.hollow_nodes PLAN OUT` starts the nodes of PLAN and does what it is told, one
command a line, on its standard input:

    crash NAME BACK_S            the machine is lost with all it ran, and comes back fresh
    restart NAME BACK_S          the node drains, ends what it runs, and comes back fresh
    replace NAME OTHER BACK_S    the node drains and goes for good; another takes its place
    count FILE                   what all nodes here have counted so far is written to FILE

It ends on SIGTERM or at the end of its input, and then writes to OUT when each job ran and when it ended.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

import msgspec

from ladderhub.lab.scale.measure import counted_by
from ladderhub.loop import Loop
from ladderhub.loop.core import READ
from ladderhub.node.admission import RunKey, NodeSettings
from ladderhub.node.agent import Agent
from ladderhub.node.runners import EmulatedRunner, EmulatedSettings
from ladderhub.usage.traffic import Traffic

MS, S = 1_000_000, 1_000_000_000
LOOK_NS = (4 * MS, 15 * MS)
DRAIN_NS = 1 * S  # between the beginning of a drain and the end of what runs
UP_BEFORE_NS = 3600 * S  # nodes that are there from the beginning started so long ago: they are warm


class NodePlan(msgspec.Struct):
    """One node."""

    name: str
    kind: str
    cores: float
    memory_gib: float
    rack: str
    zone: str
    seed: int


class HostPlan(msgspec.Struct):
    """The nodes of one process."""

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
    """What a process of nodes leaves: when each job first ran and when it ended here (monotonic clock)."""

    ran: dict[str, int] = {}
    ended: dict[str, int] = {}


class TimedAgent(Agent):
    """An agent that notes when each of its jobs first ran, and when it ended."""

    result: HostResult

    def _on_started(self, key: RunKey) -> None:
        self.result.ran.setdefault(key[0], time.monotonic_ns())
        super()._on_started(key)

    def _on_ended(self, key: RunKey, status: int, reason: str) -> None:
        self.result.ended[key[0]] = time.monotonic_ns()
        super()._on_ended(key, status, reason)

    def close(self) -> None:
        """End without a word, as a machine that lost its power: with all that it ran."""
        for job, _ in self.jobs:
            self.result.ended[job] = time.monotonic_ns()
        super().close()


class Host:
    """The nodes of this process."""

    def __init__(self, loop: Loop, plan: HostPlan) -> None:
        self._loop, self._plan = loop, plan
        self._places = {node.name: node for node in plan.nodes}
        self._agents: dict[str, TimedAgent] = {}
        self._births = 0
        self._traffic = Traffic()
        self.result = HostResult()

    def start(self) -> None:
        for node in self._plan.nodes:
            agent = self._bring_up(node, fresh=False)
            agent.ready_ns = agent.admission.ready_ns = self._loop.now_ns() - UP_BEFORE_NS

    def _bring_up(self, node: NodePlan, fresh: bool) -> TimedAgent:
        plan = self._plan
        self._births += 1
        settings = NodeSettings(
            node.cores, node.memory_gib, node.kind, plan.admit_cores, plan.admit_memory,
            cold_pace=plan.cold_pace, cold_span_ns=plan.cold_span_ns if fresh else 0,
        )  # fmt: skip
        seed = node.seed + self._births
        emulated = EmulatedSettings(plan.warm_ns, plan.cold_times)
        agent = TimedAgent(
            self._loop, node.name, settings, EmulatedRunner(self._loop, emulated, seed),
            directory=plan.directory, rack=node.rack, zone=node.zone, evaluation_ns=LOOK_NS,
            cold_times=plan.cold_times, answers=plan.answers, seed=seed, traffic=self._traffic,
        )  # fmt: skip
        agent.result = self.result
        self._agents[node.name] = agent
        return agent

    # --- commands ---------------------------------------------------------------------------------------

    def obey(self, line: str) -> None:
        """Do one command; one for a node that is down already is nothing."""
        what, name, *rest = line.split()
        if what == "count":
            self._write_counts(Path(name))
            return
        agent = self._agents.get(name)
        if agent is None:
            return
        place = self._places[name]
        if what == "replace":
            place = msgspec.structs.replace(place, name=rest[0])
        if what == "crash":
            self._lose(name, place, round(float(rest[-1]) * S))
            return
        agent.drain(True)
        self._loop.call_later(DRAIN_NS, agent.stop_all_jobs)
        self._loop.call_later(2 * DRAIN_NS, self._lose, name, place, round(float(rest[-1]) * S))

    def _write_counts(self, file: Path) -> None:
        counted = counted_by(time.process_time(), self._traffic)
        counted.work["starts"] = float(len(self.result.ran))
        fresh = file.with_name(file.name + ".new")
        fresh.write_bytes(msgspec.json.encode(counted))
        fresh.replace(file)

    def _lose(self, name: str, following: NodePlan, back_ns: int) -> None:
        agent = self._agents.pop(name, None)
        if agent is not None:
            agent.close()
            self._places[following.name] = following
            self._loop.call_later(back_ns, self._bring_up, following, True)


class Commands:
    """Lines of the standard input; its end ends the loop."""

    def __init__(self, loop: Loop, host: Host) -> None:
        self._loop, self._host, self._rest = loop, host, b""
        loop.watch(sys.stdin.fileno(), READ, self._read)

    def _read(self, _: int) -> None:
        data = os.read(sys.stdin.fileno(), 65_536)
        if not data:
            self._loop.watch(sys.stdin.fileno(), 0, self._read)
            self._loop.stop()
            return
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._host.obey(line.decode())


def main() -> None:
    plan: HostPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostPlan)
    loop = Loop(trouble=lambda where, fault: print(f"{where}: {fault!r}", file=sys.stderr, flush=True))
    host = Host(loop, plan)
    host.start()
    Commands(loop, host)
    loop.on_signal(signal.SIGTERM, loop.stop)
    loop.on_signal(signal.SIGINT, loop.stop)
    loop.run()
    Path(sys.argv[2]).write_bytes(msgspec.json.encode(host.result))


if __name__ == "__main__":
    main()
