"""Emulated nodes in their own process, so that many nodes do not wait for each other's callbacks.

`python -m ladderhub.lab.nodehost PLAN OUT` starts the nodes of the JSON file PLAN and, on SIGTERM, writes to
OUT for each job the times of its offer and of its start (ns), and to OUT.stats the resources that the process
used.
"""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.loop import Loop
from ladderhub.node.admission import RunKey, NodeSettings
from ladderhub.node.agent import Agent
from ladderhub.node.runners import EmulatedRunner, EmulatedSettings
from ladderhub.pbs.batch import Request
from ladderhub.usage.traffic import Traffic, TrafficRow

S = 1_000_000_000


class NodePlan(msgspec.Struct):
    """One emulated node."""

    name: str
    kind: str
    cores: float
    memory: float
    rack: str
    seed: int


class HostPlan(msgspec.Struct):
    """The nodes of one process.  Times in nanoseconds."""

    directory: tuple[str, int]
    nodes: list[NodePlan]
    admit_cores: float
    admit_memory: float
    warm_ns: int
    cold_times: float


class HostStats(msgspec.Struct):
    """Resources that the process used.

    `traffic` is keyed by the kind of peer, scheduler or directory; `starts` counts the jobs that ran.
    """

    processor_seconds: float
    traffic: dict[str, TrafficRow]
    nodes: int
    starts: int


class RecordingAgent(Agent):
    """An agent that records when the first offer of a job arrived and when the job started."""

    offered_ns: dict[str, int]
    started_ns: dict[str, int]

    def queue_job(self, request: Request, answer: Any) -> None:
        self.offered_ns.setdefault(request.job, self.loop.now_ns())
        super().queue_job(request, answer)

    def _on_started(self, key: RunKey) -> None:
        self.started_ns.setdefault(key[0], self.loop.now_ns())
        super()._on_started(key)


def main() -> None:
    plan: HostPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostPlan)
    loop = Loop()
    offered_ns: dict[str, int] = {}
    started_ns: dict[str, int] = {}
    traffic = Traffic()
    emulated = EmulatedSettings(plan.warm_ns, plan.cold_times)
    for node in plan.nodes:
        settings = NodeSettings(node.cores, node.memory, node.kind, plan.admit_cores, plan.admit_memory)
        agent = RecordingAgent(
            loop, node.name, settings, EmulatedRunner(loop, emulated, node.seed), directory=plan.directory,
            rack=node.rack, evaluation_ns=(4_000_000, 15_000_000), cold_times=plan.cold_times, seed=node.seed,
            traffic=traffic,
        )  # fmt: skip
        agent.ready_ns = agent.admission.ready_ns = loop.now_ns() - 3600 * S
        agent.offered_ns, agent.started_ns = offered_ns, started_ns
    loop.on_signal(signal.SIGTERM, loop.stop)
    loop.run()
    out = Path(sys.argv[2])
    out.write_bytes(msgspec.json.encode({job: (offered_ns[job], started_ns[job]) for job in started_ns}))
    stats = HostStats(time.process_time(), traffic.to_rows(), len(plan.nodes), len(started_ns))
    out.with_name(out.name + ".stats").write_bytes(msgspec.json.encode(stats))


if __name__ == "__main__":
    main()
