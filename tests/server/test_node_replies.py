"""Replies of nodes that arrived but are unread at their time limit.

This happens if the process was suspended or is behind: the reply counts, not the timeout.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from ladderhub.interface import Outcome
from ladderhub.loop import Loop, ManualClock
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, encode_reply
from ladderhub.server.nodelinks import NodeLinks, RequestCall
from ladderhub.server.offer import OfferResult
from ladderhub.usage.traffic import TrafficCount

S = 1_000_000_000


class Node:
    """A node that sends the replies that a test gives it."""

    def __init__(self) -> None:
        self.loop = Loop(ManualClock())
        self._server = socket.create_server(("127.0.0.1", 0))
        self.links = NodeLinks(self.loop, S, TrafficCount())
        self.links.set_address("n1", self._server.getsockname())

    def send_reply(self, conn: socket.socket, reply: Reply) -> None:
        conn.sendall(encode_reply(reply))

    def accept(self) -> socket.socket:
        """Accept a connection and return it once its request has arrived."""
        conn, _ = self._server.accept()
        conn.settimeout(20)
        while not self._has_sent(conn):
            self.loop.run_once(1_000_000)
        return conn

    @staticmethod
    def _has_sent(conn: socket.socket) -> bool:
        conn.setblocking(False)
        try:
            return bool(conn.recv(65536))
        except BlockingIOError:
            return False
        finally:
            conn.settimeout(20)

    def close(self) -> None:
        self.links.close()
        self._server.close()
        self.loop.close()


@pytest.fixture
def node() -> Iterator[Node]:
    made = Node()
    yield made
    made.close()


def test_an_unread_reply_at_the_time_limit_is_the_reply(node: Node) -> None:
    replies: list[Reply | None] = []
    call = RequestCall(node.links, "n1", Request(n.STATUS_JOB, "u", "1.n0"), S, replies.append)
    with node.accept() as conn:
        node.send_reply(conn, Reply(0))
        call.on_timeout()
    assert [None if reply is None else reply.code for reply in replies] == [0]


def test_an_unread_refusal_at_the_offer_s_time_limit_is_the_outcome(node: Node) -> None:
    results: list[OfferResult] = []
    call = node.links.send_offer("n1", Request(n.QUEUE_JOB, "u", "1.n0"), b"", S, results.append)
    with node.accept() as conn:
        node.send_reply(conn, Reply(15001, n.R_TEXT, text="CORES no room"))
        call.on_timeout()
    assert [result.outcome for result in results] == [Outcome.REFUSED]
