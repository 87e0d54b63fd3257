"""Nodes with faults that a scenario or a test turns on."""

from __future__ import annotations

import socket

from ladderhub.node.admission import Refusal
from ladderhub.node.agent import Agent
from ladderhub.node.connection import AgentConnection
from ladderhub.node.jobs import NodeJob
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Request


class FlakyAgent(Agent):
    """An agent that loses, cuts or repeats replies, stalls, or refuses whom it should not.

    `repeat` holds for all requests.  `keyed` queues' jobs stand once over all `peers`.  `lose`, `cut` and
    `repeat` are shares of the replies
    to Commit, drawn from the node's own seeded chance;
    `full_for` names tenants that are told there is no room."""

    lose = cut = repeat = 0.0
    full_for: frozenset[str] = frozenset()
    stalled = False
    keyed: frozenset[str] = frozenset()
    peers: dict[str, FlakyAgent] | None = None

    def make_connection(self, sock: socket.socket) -> AgentConnection:
        return FlakyConnection(self, sock)

    def inject_refusal(self, held: NodeJob) -> Refusal | None:
        if held.offer.tenant in self.full_for:
            return Refusal("CORES", "no room for " + held.offer.tenant)
        if held.offer.queue in self.keyed and self.peers is not None:
            # Nodes of a site with keyed work let one copy of a key stand.
            job = held.key[0]
            if any(key[0] == job for peer in self.peers.values() for key in peer.jobs):
                return Refusal("NOT_HERE", "a copy of the job stands elsewhere")
        return None

    def draw(self) -> float:
        return self._random.random()

    def stall(self, span_ns: int) -> None:
        """Connections stay open and nothing is read or written for so long."""
        self.stalled = True
        for connection in self.connections:
            connection.stream.pause(True)
        self.loop.call_later(span_ns, self.resume)

    def resume(self) -> None:
        self.stalled = False
        for connection in list(self.connections):
            connection.stream.pause(False)
            assert isinstance(connection, FlakyConnection)
            kept, connection.kept = connection.kept, []
            for request, data in kept:
                connection.send(request, data)


class FlakyConnection(AgentConnection):
    """One connection of a flaky agent."""

    def __init__(self, agent: FlakyAgent, sock: socket.socket) -> None:
        self.kept: list[tuple[Request, bytes]] = []
        super().__init__(agent, sock)
        self.flaky = agent
        if agent.stalled:
            self.stream.pause(True)

    def send(self, request: Request, data: bytes) -> None:
        if self.flaky.stalled:
            self.kept.append((request, data))
            return
        if request.type != n.COMMIT and self.flaky.draw() < self.flaky.repeat:
            data += data
        elif request.type == n.COMMIT:
            chance = self.flaky.draw()
            if chance < self.flaky.lose:
                return
            chance -= self.flaky.lose
            if 0 <= chance < self.flaky.cut:
                self.stream.write(data[: len(data) // 2])
                self.stream.close()
                return
            chance -= self.flaky.cut
            if 0 <= chance < self.flaky.repeat:
                data += data
        super().send(request, data)
