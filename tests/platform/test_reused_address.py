"""A new machine has the address of one that has gone, before the list tells either."""

from __future__ import annotations

import json
from typing import Any

import pytest

from ladderhub.loop import Listener
from ladderhub.platform.liveness import RELEASE_DEADLINE_NS
from ladderhub.signalling import Kind, Message
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import MS, Bed, Machine, MachineConn, Owner, S, accept_all, event, ignore_all
from tests.platform.bed import open_unreachable_address, place_task, release

BROKEN, CANCELLED = 41, 31


class Successor(Machine):
    """A machine at the address of another one, whose process has died.  It keeps what it runs."""

    def __init__(self, bed: Bed, name: str, former: Machine) -> None:
        super().__init__(bed, name, self._handle)
        self.standing: set[str] = set()
        self.listener.close()
        for conn in list(former.conns):
            conn.reset()
        former.listener.close()
        self.listener = Listener(bed.loop, former.address, self._accept)
        self.address = former.address

    def _handle(self, conn: MachineConn, message: Message) -> None:
        accept_all(conn, message)
        if message.kind is Kind.SETUP:
            self.standing.add(message.id)
        elif message.kind is Kind.RELEASE and message.id in self.standing:
            self.standing.remove(message.id)
            conn.send(release(message.id, CANCELLED))


def tell_list(bed: Bed, pos: int, *rows: dict[str, Any], full: bool = False) -> None:
    bed.service.apply_event(decode_event(json.dumps(event(pos, *rows, full=full)).encode()))


def get_told(owner: Owner) -> list[tuple[str, int | None]]:
    return [(message.id, message.cause) for message in owner.received(Kind.RELEASE)]


@pytest.mark.parametrize("order", ["together", "gone first", "new first", "full list"])
@pytest.mark.parametrize("connected", [True, False])
def test_what_was_sent_to_the_new_process_under_the_old_name_is_released_there(
    beds: Any, order: str, connected: bool
) -> None:
    # Guards against unsafe tasks that run twice: they were told as over with the machine that had gone, and
    # ran on in the process that had its address by then.
    bed = beds(accept_all, accept_all)
    former, owner = bed.machines[0], Owner(bed)
    tell_list(bed, 2, bed.machines[1].row("draining"))
    successor = Successor(bed, "m9", former)
    bed.run(span_ns=S)
    task = place_task(bed, owner, "bill")
    assert successor.standing == {task.id}
    if not connected:
        for conn in list(bed.service.links.get("m0").conns):
            conn.closed_for_room = True
            conn.stream.abort()
    gone, new = former.row("gone"), successor.row(since_ms=1)
    if order == "full list":
        tell_list(bed, 3, bed.machines[1].row("draining"), new, full=True)
    elif order == "together":
        tell_list(bed, 3, gone, new)
    else:
        for pos, row in enumerate([gone, new] if order == "gone first" else [new, gone], 3):
            tell_list(bed, pos, row)
            bed.run(span_ns=S)
    bed.run(span_ns=S)
    assert not successor.standing and get_told(owner) == [(task.id, BROKEN)]
    assert bed.service.links.get("m0") is None
    again = place_task(bed, owner, "bill")
    bed.run(span_ns=2 * S)
    assert successor.standing == {again.id}


def test_an_answer_that_comes_after_its_machine_has_left_the_list_is_released(beds: Any) -> None:
    # Guards against a task that nobody follows: it runs in the process that has the address by then.
    bed = beds(ignore_all)
    (machine,), owner = bed.machines, Owner(bed)
    asked = bed.setup("bill")
    owner.send(asked)
    bed.run(lambda: machine.received(Kind.SETUP))
    tell_list(bed, 2, machine.row("gone"))
    machine.conns[0].send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(span_ns=500 * MS)
    assert [message.id for message in machine.received(Kind.RELEASE)] == [asked.id]
    assert get_told(owner) == [(asked.id, BROKEN)] and not owner.received(Kind.ANSWER)
    assert bed.service.links.get("m0") is None


def test_a_process_that_hangs_at_the_address_is_owed_nothing_after_the_longest_limit(beds: Any) -> None:
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    place_task(bed, owner, "bill")
    machine.silent, machine.script = True, ignore_all
    tell_list(bed, 2, machine.row("gone"))
    assert bed.service.links.get("m0") is not None
    bed.run(span_ns=RELEASE_DEADLINE_NS)
    bed.run(span_ns=4 * S)
    assert bed.service.links.get("m0") is None and bed.service.links.connection_count == 0


def test_an_address_where_nothing_can_be_reached_is_dialled_twice_at_most(beds: Any) -> None:
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    place_task(bed, owner, "bill")
    link = bed.service.links.get("m0")
    link.address, sockets = open_unreachable_address()
    row = machine.row("gone") | {"address": ":".join(map(str, link.address))}
    link.conns[0].closed_for_room = True
    link.conns[0].stream.abort()
    tell_list(bed, 2, row)
    bed.run(span_ns=2 * S)
    assert bed.service.links.get("m0") is None
    assert 1 <= sum(row["event"] == "machine.unreached" for row in bed.logged) <= 2
    for sock in sockets:
        sock.close()


def test_a_machine_that_comes_back_on_the_list_at_once_is_used_as_before(beds: Any) -> None:
    # Guards against answers that are released, and hand-overs told as over, for as long as the link lives.
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    task = place_task(bed, owner, "bill")
    machine.silent = True  # so that the link is kept, as the release is not confirmed
    tell_list(bed, 2, machine.row("gone"))
    bed.run()
    link = bed.service.links.get("m0")
    assert link is not None and link.is_removed()
    machine.silent = False
    tell_list(bed, 3, machine.row())
    handed_over, again = bed.handover(machine), bed.setup("web", left=9000)
    owner.send(handed_over, again)
    bed.run(span_ns=RELEASE_DEADLINE_NS + 2 * S)
    assert bed.service.links.get("m0") is link and not link.is_removed()
    assert set(link.running) == {again.id, handed_over.id}
    assert get_told(owner) == [(task.id, BROKEN)]
