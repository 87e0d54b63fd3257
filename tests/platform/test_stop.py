"""SIGTERM in every state: the process ends only when nothing is owed and all is sent, or at its deadline.

The signal handler calls `stop`; the tests control the clock."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from ladderhub.platform.service import ACCEPT_AFTER_STOP_NS, MAX_STOP_NS, STOP_MARGIN_NS
from ladderhub.signalling import Kind, Message, encode_line
from tests.platform.bed import (
    MS,
    NEVER_RAN_CAUSES,
    Bed,
    Owner,
    S,
    accept_all,
    ignore_all,
    open_unreachable_address,
    place_task,
    release,
)

# SIGKILL comes no sooner; the settings' longest deadline is longer than MAX_STOP_NS.
BOUND_NS = ACCEPT_AFTER_STOP_NS + MAX_STOP_NS


def get_stopped_events(bed: Bed) -> list[dict[str, Any]]:
    return [row for row in bed.logged if row["event"] == "stopped"]


def test_pings_that_wait_for_the_start_to_catch_up_are_failed_at_once(beds: Any) -> None:
    bed = beds(accept_all, caught_up=False)
    owner = Owner(bed)
    owner.send(Message(Kind.PING, "0" * 16, 0))
    bed.run(lambda: bed.service.owners._waiting_pings)
    bed.service.stop()
    bed.run(lambda: owner.received(Kind.PONG))
    assert owner.received(Kind.PONG)[0].cause == 0
    bed.run(lambda: get_stopped_events(bed), span_ns=S)


@pytest.mark.parametrize("accepted", [True, False])
def test_set_ups_unread_when_the_listener_closes_are_served(beds: Any, accepted: bool) -> None:
    # Guards against lost set-ups: one written to an established connection counts as received, and closing a
    # listener resets the connections that it has not accepted.
    bed = beds(accept_all)
    bed.service.stop()
    if accepted:
        owner = Owner(bed)
        bed.run(lambda: bed.service.owners.count_connections())
    bed.clock.advance(ACCEPT_AFTER_STOP_NS)
    if not accepted:
        owner = Owner(bed)
    asked = bed.setup()
    owner.send(asked)
    bed.service._stop_accepting()
    bed.run(lambda: owner.received(Kind.ANSWER))
    with pytest.raises(OSError):
        socket.create_connection(bed.owner_address).close()
    bed.run(span_ns=200 * MS)
    assert get_stopped_events(bed) and owner.closed


def test_an_end_that_its_owner_has_not_confirmed_is_reported_before_the_process_ends(beds: Any) -> None:
    bed = beds(accept_all)
    first, other = Owner(bed, acknowledges=False), Owner(bed, acknowledges=False)
    asked = place_task(bed, first)
    place_task(bed, other)
    bed.service.stop()
    bed.run(span_ns=ACCEPT_AFTER_STOP_NS + 20 * MS)
    # Nothing is open, so the next check would end it; then a task ends, and its own connection is closed.
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.run(lambda: first.received(Kind.RELEASE))
    first.stream.abort()
    bed.run(lambda: other.received(Kind.RELEASE))
    bed.run(span_ns=S)
    assert not get_stopped_events(bed)
    other.send(Message(Kind.RELEASED, asked.id))
    bed.run(span_ns=200 * MS)
    assert get_stopped_events(bed) and get_stopped_events(bed)[0]["ends"] == 0


def test_an_end_unread_at_the_last_check_before_the_process_ends_is_reported(beds: Any) -> None:
    # Guards against ends that are lost because a slow process had not read them at its last check.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    bed.service.stop()
    bed.run(span_ns=ACCEPT_AFTER_STOP_NS - 20 * MS)
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.service._nothing_owed = True  # the check before found nothing owed
    bed.service._check_stopped()
    assert not get_stopped_events(bed)
    bed.run(lambda: owner.received(Kind.RELEASE))
    bed.run(span_ns=200 * MS)
    assert get_stopped_events(bed)


def test_a_set_up_written_after_the_last_check_and_before_the_close_is_answered(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against losing a set-up that arrives while connections to machines are being closed.
    bed = beds(accept_all)
    owner, other = Owner(bed), Owner(bed)
    asked = bed.setup()
    bed.service.stop()
    bed.run(span_ns=ACCEPT_AFTER_STOP_NS - 20 * MS)
    bed.service.owners.stop_accepting()
    bed.service._nothing_owed = True  # the check before found nothing owed

    def ask_late() -> int:
        owner.send(asked)
        return 0

    monkeypatch.setattr(bed.service.links, "count_unsent", ask_late)
    bed.service._check_stopped()
    monkeypatch.undo()
    bed.run(lambda: owner.received(Kind.RELEASE))
    assert owner.received(Kind.RELEASE)[0].cause in NEVER_RAN_CAUSES
    bed.run(span_ns=200 * MS)
    assert get_stopped_events(bed) and owner.closed and other.closed


@pytest.mark.parametrize("klass", ["web", "bill"])
def test_open_set_ups_are_answered_before_sigkill_may_come(beds: Any, klass: str) -> None:
    # The limit follows from the settings: the longest deadline, but at most 3 s.
    bed = beds(ignore_all)
    owner, asked = Owner(bed), bed.setup(klass, left=8000 if klass == "web" else 3000)
    bed.service.stop()
    bed.run(span_ns=600 * MS)
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    started_ns = bed.clock.now_ns()
    bed.run(span_ns=BOUND_NS - 600 * MS - STOP_MARGIN_NS - 40 * MS)
    if klass == "web":
        assert not owner.messages and not get_stopped_events(bed)
    bed.run(span_ns=STOP_MARGIN_NS)
    assert bed.clock.now_ns() - started_ns < BOUND_NS - 600 * MS
    (told,) = owner.received(Kind.RELEASE)
    assert told.id == asked.id and (told.cause in NEVER_RAN_CAUSES) == (klass == "web")
    assert get_stopped_events(bed) and owner.closed
    assert klass == "bill" or bed.machines[0].received(Kind.RELEASE)


def test_output_that_an_owner_has_not_read_is_sent_before_the_process_ends(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed, acknowledges=False)
    bed.run()
    (conn,) = bed.service.owners._conns
    owner.stream.pause(True)
    owner.send(Message(Kind.PING, "0" * 16, 0))
    while not conn.stream.has_unsent():
        conn.stream.write(encode_line(Message(Kind.PROGRESS, "0" * 16)) * 1000)
    bed.service.stop()
    bed.run(span_ns=S)
    assert not get_stopped_events(bed)
    owner.stream.pause(False)
    bed.run(span_ns=500 * MS)
    assert get_stopped_events(bed) and get_stopped_events(bed)[0]["unsent"] == 0
    bed.run(lambda: owner.closed)  # megabytes wait in the kernel, and a round reads only a part
    assert owner.received(Kind.PONG) and not owner.reader.pending()


def test_a_second_signal_and_a_reload_between_do_not_end_it_sooner(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    bed = beds(ignore_all)
    owner, asked = Owner(bed), bed.setup(left=2000)
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    bed.service.stop()
    bed.run(span_ns=400 * MS)
    for name, value in bed.environment.items():
        monkeypatch.setenv(name, value)
    bed.service.reload()
    bed.service.stop()
    bed.run(span_ns=400 * MS)
    assert not owner.messages and not get_stopped_events(bed)
    bed.run(span_ns=1_400 * MS)
    assert len(owner.received(Kind.RELEASE)) == 1 and get_stopped_events(bed)


def stop_and_end(bed: Bed, owner: Owner, *ended: Message) -> None:
    """SIGTERM comes, and then the owner ends these tasks, which is confirmed to it."""
    bed.service.stop()
    bed.run(span_ns=100 * MS)
    owner.send(*(release(each.id, 31) for each in ended))
    bed.run(lambda: len(owner.received(Kind.RELEASED)) == len(ended))


def test_what_owners_end_after_sigterm_is_released_at_machines_without_a_connection(beds: Any) -> None:
    # Guards against unsafe tasks that run twice after a planned restart: with more machines than descriptors,
    # the releases of ended tasks waited for connections and were lost with the process.
    bed = beds(*[accept_all] * 40, sockets=48)
    owner = Owner(bed)
    tasks = [bed.setup("bill", cores=20, memory=1) for _ in bed.machines]
    for count, each in enumerate(tasks, 1):
        owner.send(each)
        bed.run(lambda: len(owner.received(Kind.ANSWER)) == count)  # noqa: B023
    stop_and_end(bed, owner, *tasks)
    bed.run(span_ns=BOUND_NS)
    (stopped,) = get_stopped_events(bed)
    assert not any(stopped[name] for name in ("answers", "releases", "to_machines"))
    received = {message.id for machine in bed.machines for message in machine.received(Kind.RELEASE)}
    assert received == {each.id for each in tasks}


def test_a_release_to_a_machine_that_is_cut_off_is_sent_if_it_returns_before_sigkill(beds: Any) -> None:
    # Guards against releases that are lost with the process, as nothing dialled their machine any more.
    bed = beds(accept_all)
    (machine,), owner, link = bed.machines, Owner(bed), bed.service.links.get("m0")
    asked = place_task(bed, owner, "bill")
    link.address, sockets = open_unreachable_address()
    link.conns[0].stream.abort()
    stop_and_end(bed, owner, asked)
    bed.run(span_ns=2 * S)
    assert not get_stopped_events(bed)
    link.address = machine.address
    for sock in sockets:
        sock.close()
    bed.run(span_ns=500 * MS)
    assert [each.id for each in machine.received(Kind.RELEASE)] == [asked.id]
    assert get_stopped_events(bed) and get_stopped_events(bed)[0]["releases"] == 0


def test_a_machine_that_confirms_no_release_delays_the_end_until_sigkill_may_come(beds: Any) -> None:
    # It hangs: the release lies in its socket, and a reset would lose it.
    bed = beds(accept_all)
    (machine,), owner = bed.machines, Owner(bed)
    asked = place_task(bed, owner, "bill")
    machine.silent = True
    stop_and_end(bed, owner, asked)
    bed.run(span_ns=BOUND_NS - 100 * MS - STOP_MARGIN_NS)
    assert not get_stopped_events(bed)
    bed.run(span_ns=STOP_MARGIN_NS)
    assert get_stopped_events(bed) and get_stopped_events(bed)[0]["releases"] == 1
    assert asked.id in [each.id for each in machine.received(Kind.RELEASE)]
