"""A peer's answer that lies unread as its time runs out is heard before the time is judged."""

from __future__ import annotations

import socket

from ladderhub.loop import Loop, ManualClock
from ladderhub.loop.core import READ
from ladderhub.membership import MembershipView, MemberSettings
from ladderhub.membership.types import Event, MessageReceived, Tick, WakeAt
from ladderhub.membership.messages import Ping
from ladderhub.peers.carrier import PeerCarrier
from ladderhub.peers.wire import VERSION, Frame, cluster_tag, encode

MS = 1_000_000


def test_a_datagram_that_came_in_time_is_heard_before_the_tick_that_judges_it() -> None:
    clock = ManualClock()
    loop = Loop(clock)
    view = MembershipView(MemberSettings("a", 5, "127.0.0.1:1"), 1)
    carrier = PeerCarrier(loop, ("127.0.0.1", 0), "north", view, print, print)
    told: list[Event] = []
    carrier.join(told.append)
    told.clear()
    busy, writer = socket.socketpair()

    def burn(_: int) -> None:
        busy.recv(1)
        clock.advance(20 * MS)  # longer than a round may take: the datagram is left to the next one

    loop.watch(busy.fileno(), READ, burn, first=True)
    carrier.execute(clock.now_ns(), WakeAt(10 * MS))
    writer.send(b"x")
    frame = Frame(VERSION, cluster_tag("north"), "b", 7, 0, Ping(1, 2, 3, ()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.sendto(encode(frame), carrier.datagrams.address)
    for _ in range(4):
        loop.turn(MS)
    assert [type(event) for event in told] == [MessageReceived, Tick]
    carrier.close()
    loop.close()
    busy.close()
    writer.close()
