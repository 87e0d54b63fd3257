"""Nothing is started for owners that have disconnected or cancelled, whatever is in progress at that moment.

The race is forced: the owner's bytes are in the scheduler's socket, unread, when the next step is taken."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from ladderhub.decide.scheduler import SWEEP_TIMER
from ladderhub.interface import TimerFired
from ladderhub.platform.attempted_ids import MAX_IDS, REMEMBERED_NS, AttemptedIds
from ladderhub.platform.eviction import Trust
from ladderhub.platform.ownerconn import MAX_PENDING_READ_BYTES, READ_BYTES, OwnerConn
from ladderhub.platform.tasks import POSTPONE_NS
from ladderhub.signalling import Cause, Kind, Message, encode_line
from tests.platform.bed import MS, Bed, Owner, S, accept_all, ignore_all, release

WAYS_TO_LEAVE = (
    "closes", "resets", "closes behind much", "cancels", "cancels behind a portion",
    "cancels where reading is paused",
)  # fmt: skip


def write_and_close(owner: Owner, size: int) -> None:
    """Write messages of so many bytes in all, and close at once."""
    sock = owner.stream.sock
    assert isinstance(sock, socket.socket)
    filler = encode_line(Message(Kind.PROGRESS, "0" * 16))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * size)
    sock.setblocking(True)
    sock.settimeout(1)
    sock.sendall(filler * (size // len(filler) + 1))
    owner.stream.abort()


def leave(bed: Bed, owner: Owner, id: str, how: str) -> None:
    """The owner disconnects or cancels, and the scheduler has not read that yet."""
    cancel = Message(Kind.RELEASE, id, 16)
    (conn,) = (each for each in bed.service.owners._conns if id in each.open_tasks)
    if how == "closes":
        owner.stream.abort()
    elif how == "resets":
        owner.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")  # type: ignore[union-attr]
        owner.stream.abort()
    elif how == "closes behind much":
        conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * MAX_PENDING_READ_BYTES)  # type: ignore[union-attr]
        write_and_close(owner, MAX_PENDING_READ_BYTES + READ_BYTES)
    elif how == "cancels behind a portion":
        ping = encode_line(Message(Kind.PROGRESS, "0" * 16))
        owner.send(ping * (3 * READ_BYTES // len(ping)), cancel)
    else:
        conn.stream.pause(how.endswith("paused"))
        owner.send(cancel)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_refusal_starts_no_attempt_for_an_owner_that_has_gone(beds: Any, how: str) -> None:
    # Guards against a next attempt started while the owner's close or cancellation is unread.
    bed = beds(ignore_all, ignore_all)
    for name in ("m0", "m1"):
        bed.service.links.get(name).dial("line")  # so that the next attempt could be sent at once
    bed.run()
    owner, asked = Owner(bed), bed.setup()
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    ((machine, _),) = bed.machine_messages
    leave(bed, owner, asked.id, how)
    link = bed.service.links.get(machine.name)
    link.on_message(link.conns[0], release(asked.id, 34))
    bed.run()
    assert len(bed.machine_messages) == 1 and bed.service.tasks.open_count == 0
    assert not bed.module().tasks and not bed.service.tasks._by_number


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_new_connection_sends_nothing_for_an_owner_that_has_gone(beds: Any, how: str) -> None:
    bed = beds(ignore_all)
    owner, asked = Owner(bed), bed.setup()
    owner.send(asked)
    # dialled: the kernel has connected, and the loop has not noticed yet
    bed.run(lambda: bed.service.links.connection_count)
    leave(bed, owner, asked.id, how)
    (conn,) = bed.service.links.get("m0").conns
    assert not conn.stream.connected
    conn.stream._ready(2)
    assert conn.stream.connected
    bed.run()
    assert not bed.machine_messages and bed.service.tasks.open_count == 0 and not bed.module().tasks


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_an_answer_read_after_its_owner_has_gone_is_released_at_its_machine(beds: Any, how: str) -> None:
    # Guards against a task that runs for nobody: its answer was passed on while the close was unread.
    bed = beds(ignore_all)
    owner, asked = Owner(bed), bed.setup()
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    leave(bed, owner, asked.id, how)
    link = bed.service.links.get("m0")
    link.on_message(link.conns[0], Message(Kind.ANSWER, asked.id, None, "runs"))
    assert bed.service.tasks.find(asked.id) is None and not owner.messages
    bed.run(lambda: bed.machines[0].received(Kind.RELEASE))
    bed.machines[0].conns[0].send(release(asked.id, 31))
    bed.run()
    assert [m.cause for m in bed.machines[0].received(Kind.RELEASE)] == [16] and not owner.messages
    assert not link.running and not bed.module().tasks and not bed.service.tasks._by_number


def test_a_set_up_whose_owner_has_sent_more_than_was_read_waits_until_that_is_read(beds: Any) -> None:
    # Guards against attempts for an owner that has gone: its close is on its way behind what lies unread.
    bed = beds(accept_all)
    owner, asked = Owner(bed), bed.setup()
    bed.service.links.get("m0").dial("line")
    bed.run()
    (conn,) = bed.service.owners._conns
    conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * MAX_PENDING_READ_BYTES)
    ping = encode_line(Message(Kind.PROGRESS, "0" * 16))
    behind = ping * (2 * MAX_PENDING_READ_BYTES // len(ping))
    owner.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(behind))  # type: ignore[union-attr]
    owner.send(encode_line(asked) + behind + encode_line(Message(Kind.RELEASE, asked.id, 16)))
    bed.run(lambda: not conn.open_tasks and conn.trust)
    bed.run(span_ns=200 * MS)
    assert not bed.machine_messages and not bed.module().tasks and not bed.service.tasks._postponed
    bed.run(span_ns=100 * MS)
    other = bed.setup()
    owner.send(other)
    bed.run(lambda: owner.received(Kind.ANSWER), span_ns=0)


def test_set_ups_that_wait_until_their_owner_is_read_cost_one_look_at_a_time(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against answers of others that come after their time: each of thousands of waiting set-ups of one
    # owner that sends without end was looked at every 2 ms.
    bed = beds(accept_all)
    owner, other = Owner(bed), Owner(bed)
    bed.run(lambda: bed.service.owners.count_connections() == 2)
    owner.send(*(bed.setup(left=2000, cores=0.1, memory=0.1) for _ in range(30)))
    looks: list[OwnerConn] = []

    def has_unread(conn: OwnerConn) -> bool:
        looks.append(conn)
        return conn.trust is not Trust.NONE and len(conn.open_tasks) > 1

    monkeypatch.setattr(OwnerConn, "has_unread", has_unread)
    bed.run(lambda: bed.service.tasks._postponed)
    bed.run(span_ns=200 * MS)
    looks.clear()
    bed.run(span_ns=S)
    assert 0 < len(looks) <= S // POSTPONE_NS
    asked = bed.setup()
    other.send(asked)
    bed.run(lambda: other.received(Kind.ANSWER))
    bed.run(span_ns=2 * S)
    assert len(owner.received(Kind.RELEASE)) == 30 and not owner.received(Kind.ANSWER)
    bed.run(span_ns=S)
    assert not bed.service.tasks._postponed


def test_a_set_up_and_the_close_after_it_read_together_start_nothing(beds: Any) -> None:
    # Guards also against lost actions: one read ends several tasks of an owner while the module's actions are
    # carried out, and the actions for other tasks must still be carried out.
    bed = beds(accept_all)
    owner, other = Owner(bed), Owner(bed)
    bed.run()
    owner.send(*(bed.setup() for _ in range(5)))
    owner.stream.abort()
    bed.run()
    assert not bed.machine_messages and bed.service.tasks.open_count == 0 and not bed.module().tasks
    asked = bed.setup()
    other.send(asked)
    bed.run(lambda: other.received(Kind.ANSWER))


def test_waiting_tasks_of_owners_that_have_gone_delay_no_others(beds: Any) -> None:
    # Guards against a sweep that stops half way: its timer was lost with the actions after the first one.
    bed = beds(accept_all)
    full = bed.setup(cores=32, memory=1)
    first, other = Owner(bed), Owner(bed)
    other.send(full)
    bed.run(lambda: other.received(Kind.ANSWER))
    held = [bed.setup(left=8000, cores=2) for _ in range(3)]
    first.send(*held)
    last = bed.setup(left=8000, cores=2)
    other.send(last)
    bed.run(lambda: len(bed.module().waiting_tasks) == 4)
    leave(bed, first, held[0].id, "closes")
    # Cores become free, and the waiting tasks are swept before the owner's close is read.
    link = bed.service.links.get("m0")
    link.on_message(link.conns[0], release(full.id, 16))
    bed.service.tasks._dispatch(TimerFired(SWEEP_TIMER))
    bed.run(lambda: [m for m in other.received(Kind.ANSWER) if m.id == last.id], span_ns=0)
    assert [m.id for m in bed.machines[0].received(Kind.SETUP)] == [full.id, last.id]


@pytest.mark.parametrize("moment", ["before its answer", "after its answer", "after its end"])
@pytest.mark.parametrize("klass", ["bill", "web"])
def test_an_id_that_comes_again_after_its_owner_has_left_starts_nothing_unsafe_twice(
    beds: Any, klass: str, moment: str
) -> None:
    # Guards against an unsafe task that is started twice: its first attempt had run, or was running.
    bed = beds(accept_all if moment != "before its answer" else ignore_all)
    (machine,), owner = bed.machines, Owner(bed)
    asked = bed.setup(klass, left=2000)
    owner.send(asked)
    bed.run(lambda: machine.received(Kind.SETUP))
    bed.run()
    if moment == "after its end":
        machine.conns[0].send(release(asked.id, 16))
        bed.run(lambda: owner.received(Kind.RELEASE))
    owner.stream.abort()
    bed.run()
    again = Owner(bed)
    again.send(asked)
    bed.run(span_ns=500 * MS)
    stands = moment == "after its answer"
    started = 2 if klass == "web" and not stands else 1
    assert len(machine.received(Kind.SETUP)) == started
    if started == 1:
        assert [m.cause for m in again.received(Kind.RELEASE)] == [Cause.PROTOCOL if stands else Cause.BROKEN]


def test_an_id_that_comes_again_after_a_refusal_is_served(beds: Any) -> None:
    bed = beds(lambda conn, message: conn.send(release(message.id, 34)))
    (machine,), owner = bed.machines, Owner(bed)
    asked = bed.setup("bill", left=300)
    owner.send(asked)
    bed.run(span_ns=500 * MS)
    assert [m.cause for m in owner.received(Kind.RELEASE)] == [Cause.BUSY]
    machine.script = accept_all
    bed.run(span_ns=7 * S)  # the machine is not asked for a while after a refusal without a reason
    again = Message(Kind.SETUP, asked.id, None, asked.description, asked.fields | {"left": 2000})
    owner.send(again)
    bed.run(lambda: owner.received(Kind.ANSWER))


def test_ids_are_forgotten_after_a_while_and_never_too_many_are_kept() -> None:
    ids = AttemptedIds()
    for number in range(MAX_IDS + 10):
        ids.add(number, str(number))
    assert len(ids) == MAX_IDS and not ids.is_known(0, "9") and ids.is_known(0, "10")
    later_ns = MAX_IDS + 10 + REMEMBERED_NS
    assert not ids.is_known(later_ns, "10")
    ids.add(later_ns, "new")
    assert len(ids) == 1 and ids.is_known(later_ns + REMEMBERED_NS, "new")
