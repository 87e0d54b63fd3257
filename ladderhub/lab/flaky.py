"""Node agents with faults that a scenario or a test switches on."""

from __future__ import annotations

import socket

from ladderhub.node.admission import Refusal
from ladderhub.node.agent import Agent
from ladderhub.node.connection import AgentConnection
from ladderhub.node.jobs import NodeJob
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Request


class FlakyAgent(Agent):
    """An agent that loses, truncates or repeats replies, stalls, or refuses some tenants.

    `lose`, `cut` and `repeat` are shares of the replies to Commit, drawn from the agent's seeded random
    generator; `repeat` applies to the replies to all other requests too.  Tenants in `full_for` are refused
    as if there were no room.  A job of a queue in `keyed` is accepted by only one of all `peers`."""

    lose = cut = repeat = 0.0
    full_for: frozenset[str] = frozenset()
    stalled = False
    keyed: frozenset[str] = frozenset()
    peers: dict[str, FlakyAgent] | None = None

    def make_connection(self, sock: socket.socket) -> AgentConnection:
        return FlakyConnection(self, sock)

    def inject_refusal(self, job: NodeJob) -> Refusal | None:
        if job.offer.tenant in self.full_for:
            return Refusal("CORES", "no room for " + job.offer.tenant)
        if job.offer.queue in self.keyed and self.peers is not None:
            # Nodes of a cluster with keyed jobs accept only one copy per key.
            job_id = job.key[0]
            if any(key[0] == job_id for peer in self.peers.values() for key in peer.jobs):
                return Refusal("NOT_HERE", "a copy of the job stands elsewhere")
        return None

    def draw(self) -> float:
        return self._random.random()

    def stall(self, span_ns: int) -> None:
        """Keep connections open but read and write nothing for this time."""
        self.stalled = True
        for connection in self.connections:
            connection.stream.pause(True)
        self.loop.call_later(span_ns, self.resume)

    def resume(self) -> None:
        """End the stall: read again and send the replies that were held back."""
        self.stalled = False
        for connection in list(self.connections):
            connection.stream.pause(False)
            assert isinstance(connection, FlakyConnection)
            held_replies, connection.held_replies = connection.held_replies, []
            for request, data in held_replies:
                connection.send(request, data)


class FlakyConnection(AgentConnection):
    """One connection of a flaky agent."""

    def __init__(self, agent: FlakyAgent, sock: socket.socket) -> None:
        self.held_replies: list[tuple[Request, bytes]] = []
        super().__init__(agent, sock)
        self.flaky_agent = agent
        if agent.stalled:
            self.stream.pause(True)

    def send(self, request: Request, data: bytes) -> None:
        if self.flaky_agent.stalled:
            self.held_replies.append((request, data))
            return
        if request.type != n.COMMIT and self.flaky_agent.draw() < self.flaky_agent.repeat:
            data += data
        elif request.type == n.COMMIT:
            chance = self.flaky_agent.draw()
            if chance < self.flaky_agent.lose:
                return
            chance -= self.flaky_agent.lose
            if 0 <= chance < self.flaky_agent.cut:
                self.stream.write(data[: len(data) // 2])
                self.stream.close()
                return
            chance -= self.flaky_agent.cut
            if 0 <= chance < self.flaky_agent.repeat:
                data += data
        super().send(request, data)
