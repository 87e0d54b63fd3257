"""What is held for peers is freed with their connections, at once and without a search for cycles."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator
from typing import Any

import pytest

from ladderhub.platform.ownerconn import READ_BYTES
from ladderhub.signalling import Kind
from tests.platform.bed import Owner, S, accept_all, place_task, release


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
    owner.send(b"x" * (READ_BYTES - 100))
    bed.run(lambda: any(conn.reader.pending() for conn in bed.service.owners._conns))
    (conn,) = (weakref.ref(conn) for conn in bed.service.owners._conns)
    stream = weakref.ref(conn().stream)
    if way == "silent":
        bed.run(span_ns=4 * S)
    elif way == "closes":
        owner.stream.abort()
    elif way == "resets":
        owner.stream.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # type: ignore[union-attr]
        owner.stream.abort()
    elif way == "too long":
        owner.send(b"x" * READ_BYTES)
    else:
        conn().close("no room")
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
