"""Which caller is closed to make room for a new one, and what choosing it costs."""

from __future__ import annotations

from typing import Any

from ladderhub.platform.eviction import EvictionOrder, Trust
from ladderhub.signalling import Kind, Message
from tests.helpers import count_calls
from tests.platform.bed import Owner, accept_all, place_task


def test_the_least_trusted_goes_first_and_of_those_the_longest_unheard() -> None:
    order: EvictionOrder[str] = EvictionOrder()
    for name, trust in (
        ("a", Trust.NONE),
        ("b", Trust.HAD_TASK),
        ("c", Trust.VALID_MESSAGE),
        ("d", Trust.NONE),
    ):
        order.update(name, trust)
    assert list(order) == ["a", "d", "c", "b"]
    order.update("a", Trust.NONE)
    assert list(order) == ["d", "a", "c", "b"]
    order.update("d", Trust.VALID_SETUP)
    order.remove("c")
    order.remove("never seen")
    assert list(order) == ["a", "d", "b"]


def test_making_room_costs_no_more_among_many_callers(beds: Any) -> None:
    # Guards against a scan of all connections for each accepted caller.
    costs = []
    for callers in (20, 100):
        bed = beds(accept_all, sockets=512)
        strangers = [Owner(bed) for _ in range(callers)]
        bed.run(lambda bed=bed, callers=callers: bed.service.owners.count_connections() == callers)
        made, cost = count_calls(bed.service.owners._make_room)
        assert made and bed.service.owners.count_connections() == callers - 1
        costs.append(cost)
        del strangers
    assert costs[1] < 1.2 * costs[0]


def test_owners_stay_connected_among_many_callers_that_only_ping(beds: Any) -> None:
    bed = beds(accept_all, sockets=64)
    owner = Owner(bed)
    place_task(bed, owner)
    for _ in range(60):
        tester = Owner(bed)
        tester.send(Message(Kind.PING, "0" * 16, 0))
        bed.run(lambda tester=tester: tester.received(Kind.PONG) or tester.closed)
    assert not owner.closed
