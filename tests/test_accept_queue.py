"""Since when a caller may have waited to be accepted, by a model of the queue and with a real listener."""

from __future__ import annotations

import random
import socket
from collections import deque

import pytest

from ladderhub.loop.accept_queue import AcceptQueue, waiting_callers

CAPACITY = 8


def test_a_real_listener_tells_how_many_callers_wait() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=CAPACITY) as listener:
        callers = [socket.create_connection(listener.getsockname()) for _ in range(5)]
        assert waiting_callers(listener) == 5
        listener.accept()[0].close()
        assert waiting_callers(listener) == 4
        assert waiting_callers(callers[0]) is None  # connected, so the number would be another one
        for caller in callers:
            caller.close()


def test_a_system_that_does_not_tell_is_no_error() -> None:
    with socket.socket(socket.AF_UNIX) as listener:
        assert waiting_callers(listener) is None


@pytest.mark.parametrize("knows", [True, False])
@pytest.mark.parametrize("seed", range(20))
def test_no_caller_has_waited_for_longer_than_reckoned(seed: int, knows: bool) -> None:
    # Guards against requests charged less than they had waited.
    draw, queue, arrivals = random.Random(seed), AcceptQueue(0, CAPACITY), deque[int]()
    for now in range(1, 2000):
        step = draw.random()
        if step < 0.4 and len(arrivals) < CAPACITY:
            arrivals.append(now)
        elif step < 0.6:
            queue.looked(now, len(arrivals) if knows else None)
        elif arrivals:
            assert queue.accept() <= arrivals.popleft()
    assert len(queue._looks) <= 2000


def test_a_caller_that_came_between_two_looks_is_charged_since_the_first() -> None:
    queue = AcceptQueue(0, CAPACITY)
    queue.looked(100, 2)
    assert [queue.accept(), queue.accept()] == [0, 0]
    queue.looked(200, 1)
    assert queue.accept() == 100  # the third to come, of which two had come by 100
    assert queue.accept() == 200


def test_where_nobody_knows_how_many_wait_the_capacity_is_the_bound() -> None:
    queue = AcceptQueue(0, CAPACITY)
    queue.looked(100, None)
    assert [queue.accept() for _ in range(CAPACITY)] == [0] * CAPACITY
    assert queue.accept() == 100


def test_looks_at_a_queue_that_stays_as_it_is_take_no_memory() -> None:
    queue = AcceptQueue(0, CAPACITY)
    for now in range(1000):
        queue.looked(now, 0)
    assert len(queue._looks) == 1 and queue.accept() == 999
