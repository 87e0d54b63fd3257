"""Guards against peers that are considered silent while their answers have arrived but are not read yet."""

from __future__ import annotations

import socket

from ladderhub.loop import Loop, ManualClock
from ladderhub.loop.core import READ
from ladderhub.membership import MembershipView, MemberSettings
from ladderhub.membership.types import Event, MessageReceived, Tick, WakeAt
from ladderhub.membership.messages import Ping
from ladderhub.peers.transport import PeerTransport
from ladderhub.peers.wire import VERSION, Frame, cluster_tag, encode

MS = 1_000_000


def test_a_datagram_that_arrived_in_time_is_handled_before_a_late_tick() -> None:
    clock = ManualClock()
    loop = Loop(clock)
    view = MembershipView(MemberSettings("a", 5, "127.0.0.1:1"), 1)
    transport = PeerTransport(loop, ("127.0.0.1", 0), "north", view, print, print)
    handled: list[Event] = []
    transport.join(handled.append)
    handled.clear()
    busy, writer = socket.socketpair()

    def block(_: int) -> None:
        busy.recv(1)
        clock.advance(20 * MS)  # longer than the limit of a round, so the datagram is read in the next one

    loop.watch(busy.fileno(), READ, block, first=True)
    transport.execute(clock.now_ns(), WakeAt(10 * MS))
    writer.send(b"x")
    frame = Frame(VERSION, cluster_tag("north"), "b", 7, 0, Ping(1, 2, 3, ()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.sendto(encode(frame), transport.datagrams.address)
    for _ in range(4):
        loop.run_once(MS)
    assert [type(event) for event in handled] == [MessageReceived, Tick]
    transport.close()
    loop.close()
    busy.close()
    writer.close()
