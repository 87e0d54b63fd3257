"""How long a connection may have waited to be accepted, with a model of the queue and a real listener."""

from __future__ import annotations

import random
import socket
from collections import deque

import pytest

from ladderhub.loop.accept_queue import AcceptQueue, count_pending_connections

CAPACITY = 8


def test_a_real_listener_reports_how_many_connections_wait() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=CAPACITY) as listener:
        callers = [socket.create_connection(listener.getsockname()) for _ in range(5)]
        assert count_pending_connections(listener) == 5
        listener.accept()[0].close()
        assert count_pending_connections(listener) == 4
        assert (
            count_pending_connections(callers[0]) is None
        )  # not a listening socket: the field has another meaning
        for caller in callers:
            caller.close()


def test_a_socket_that_does_not_report_the_number_is_no_error() -> None:
    with socket.socket(socket.AF_UNIX) as listener:
        assert count_pending_connections(listener) is None


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize("seed", range(20))
def test_no_connection_has_waited_for_longer_than_estimated(seed: int, is_known: bool) -> None:
    # Guards against an estimate below the time that a connection really waited.
    draw, queue, arrivals = random.Random(seed), AcceptQueue(0, CAPACITY), deque[int]()
    for now in range(1, 2000):
        step = draw.random()
        if step < 0.4 and len(arrivals) < CAPACITY:
            arrivals.append(now)
        elif step < 0.6:
            queue.observe(now, len(arrivals) if is_known else None)
        elif arrivals:
            assert queue.accept() <= arrivals.popleft()
    assert len(queue._observations) <= 2000


def test_a_connection_that_arrived_between_two_observations_counts_from_the_first() -> None:
    queue = AcceptQueue(0, CAPACITY)
    queue.observe(100, 2)
    assert [queue.accept(), queue.accept()] == [0, 0]
    queue.observe(200, 1)
    assert queue.accept() == 100  # the third to arrive; two had arrived by 100
    assert queue.accept() == 200


def test_if_the_number_is_unknown_the_capacity_is_the_bound() -> None:
    queue = AcceptQueue(0, CAPACITY)
    queue.observe(100, None)
    assert [queue.accept() for _ in range(CAPACITY)] == [0] * CAPACITY
    assert queue.accept() == 100


def test_observations_of_an_unchanged_queue_take_no_memory() -> None:
    queue = AcceptQueue(0, CAPACITY)
    for now in range(1000):
        queue.observe(now, 0)
    assert len(queue._observations) == 1 and queue.accept() == 999
