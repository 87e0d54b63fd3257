"""What is held for peers is bounded, and freed with their connections at once."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator
from typing import Any

import pytest

from ladderhub.platform.memory_budget import MemoryBudget, get_held_limit
from ladderhub.platform.owners import MAX_RESENT_AT_ONCE, MAX_UNCONFIRMED
from ladderhub.platform.task import SETUP_BYTES
from ladderhub.signalling import Cause, Kind, Message
from ladderhub.signalling.table import MAX_MESSAGE_BYTES
from tests.platform.bed import MS, Bed, Owner, S, accept_all, ignore_all, place_task, release


@pytest.fixture
def without_collector() -> Iterator[None]:
    """Only what nothing refers to is freed."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("way", ["silent", "closes", "resets", "too long", "evicted"])
def test_half_a_request_is_freed_with_its_connection(beds: Any, without_collector: None, way: str) -> None:
    # Guards against a process over its memory limit: many clients stopped half way through large requests,
    # and closed connections kept what they had read until the interpreter happened to look for cycles.
    bed = beds(accept_all)
    owner = Owner(bed)
    owner.send(b"x" * (MAX_MESSAGE_BYTES - 100))
    bed.run(
        lambda: any(conn.reader.pending() > MAX_MESSAGE_BYTES - 200 for conn in bed.service.owners._conns)
    )
    (ours,) = bed.service.owners._conns
    conn, stream = weakref.ref(ours), weakref.ref(ours.stream)
    if way == "silent":
        bed.run(span_ns=4 * S)
    elif way == "closes":
        owner.stream.abort()
    elif way == "resets":
        owner.stream.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # type: ignore[union-attr]
        owner.stream.abort()
    elif way == "too long":
        owner.send(b"x" * MAX_MESSAGE_BYTES)
    else:
        ours.close("no room")
    del ours
    bed.run(span_ns=S)
    assert conn() is None and stream() is None


def test_a_connection_to_a_machine_is_freed_with_the_last_task_that_was_set_up_on_it(
    beds: Any, without_collector: None
) -> None:
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    task = place_task(bed, owner)
    link = bed.service.links.get("m0")
    conn, stream = weakref.ref(link.conns[0]), weakref.ref(link.conns[0].stream)
    machine.conns[0].reset()
    bed.run(lambda: link.conns and link.conns[0] is not conn() and link.conns[0].is_live())
    machine.conns[-1].send(release(task.id, 16))
    bed.run(lambda: owner.received(Kind.RELEASE))
    bed.run(span_ns=S)
    assert conn() is None and stream() is None


def set_memory(bed: Bed, held_bytes: int) -> None:
    """Allow so many bytes to be held for owners."""
    bed.service.tasks.memory._max_bytes = held_bytes


def test_hand_overs_without_end_on_one_connection_wait_and_leave_room_for_others(beds: Any) -> None:
    # Guards against memory that grows without end under ever new names, until the process is killed.
    bed = beds(accept_all)
    set_memory(bed, 40 * SETUP_BYTES)
    flooder, other = Owner(bed), Owner(bed)
    tasks = [bed.handover(bed.machines[0]) for _ in range(100)]
    flooder.send(*tasks)
    bed.run(span_ns=S)
    link = bed.service.links.get("m0")
    held = len(link.running)
    assert held == len(bed.service.tasks._by_number) <= 20  # half of what may be held
    task = place_task(bed, other)
    bed.run(span_ns=S)
    assert not flooder.closed and not flooder.received(Kind.RELEASE)
    bed.machines[0].conns[0].send(release(tasks[0].id, 16), release(task.id, 16))
    bed.run(lambda: flooder.received(Kind.RELEASE) and other.received(Kind.RELEASE))
    bed.run(span_ns=S)
    assert len(link.running) == held  # the next one has taken its place


def test_hand_overs_that_waited_for_room_are_taken_over_in_the_end(beds: Any) -> None:
    bed = beds(accept_all)
    set_memory(bed, 20 * SETUP_BYTES)
    (machine,), owner = bed.machines, Owner(bed)
    tasks = [bed.handover(machine) for _ in range(30)]
    owner.send(*tasks, Message(Kind.PING, "0" * 16, 0))
    ended: set[str] = set()
    for _ in range(40):
        bed.run(span_ns=200 * MS)
        ends = [id for id in bed.service.links.get("m0").running if id not in ended]
        ended.update(ends)
        machine.conns[-1].send(*(release(id, 16) for id in ends))
    bed.run()
    assert {message.id for message in owner.received(Kind.RELEASE)} == {task.id for task in tasks}
    assert owner.received(Kind.PONG) and not bed.service.tasks.memory.total


def test_set_ups_that_there_is_no_memory_for_are_refused(beds: Any) -> None:
    bed = beds(ignore_all)
    set_memory(bed, 20 * SETUP_BYTES)
    flooder, other = Owner(bed), Owner(bed)
    flooder.send(*(bed.setup(left=8000, cores=0.1, memory=0.1) for _ in range(50)))
    bed.run(lambda: len(flooder.received(Kind.RELEASE)) >= 40)
    assert {message.cause for message in flooder.received(Kind.RELEASE)} == {Cause.BUSY}
    assert bed.service.tasks.open_count <= 10
    # None of them may still be on its way: one that is accepted stands, whatever becomes of its owner.
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == bed.service.tasks.open_count == 10)
    bed.machines[0].script = accept_all
    place_task(bed, other)
    flooder.stream.abort()
    bed.run(span_ns=S)
    assert bed.service.tasks.memory.total < 2 * SETUP_BYTES  # the other owner's task


def test_hand_overs_at_machines_of_ever_new_names_leave_nothing_behind(beds: Any) -> None:
    # Guards against a list of machines, in the decision module, that grows with each name that is made up.
    bed = beds(accept_all)
    owner = Owner(bed, acknowledges=False)
    tasks = [bed.setup(at=f"made-up-{number}") for number in range(2 * MAX_UNCONFIRMED)]
    owner.send(*tasks)
    bed.run(lambda: len(owner.received(Kind.RELEASE)) >= len(tasks))
    assert {message.cause for message in owner.received(Kind.RELEASE)} == {Cause.BROKEN}
    assert len(bed.module().fleet.machines) == 1 and not bed.service.tasks._by_number
    assert bed.service.owners.count_unconfirmed() == MAX_UNCONFIRMED
    heard = len(owner.received(Kind.RELEASE))
    bed.run(span_ns=S)
    assert len(owner.received(Kind.RELEASE)) - heard <= 10 * MAX_RESENT_AT_ONCE
    for _ in range(20):
        bed.run(span_ns=S)
    assert not bed.service.owners.count_unconfirmed() and not bed.service.tasks.memory.total


def test_an_owner_may_hold_as_much_as_is_still_free() -> None:
    budget: MemoryBudget[str] = MemoryBudget(100)
    for _ in range(5):
        assert budget.may_hold("one", 10)
        budget.add("one", 10)
    assert not budget.may_hold("one", 10) and budget.may_hold("two", 50)
    budget.add("two", 20)
    assert not budget.may_hold("two", 20) and budget.may_hold("two", 10) and budget.may_hold("three", 30)
    for _ in range(5):
        budget.remove("one", 10)
    assert budget.total == 20 and budget.may_hold("two", 60)


def test_what_may_be_held_follows_from_the_limit_of_the_process() -> None:
    assert get_held_limit(0) > 1 << 40
    assert get_held_limit(192_000_000) == 84_000_000
    assert get_held_limit(32_000_000) == get_held_limit(1) == 8_000_000
