"""No peer times out because this process was paused or is behind and has not read the peer's messages yet.

The race is forced: the peer's bytes are in the scheduler's socket, unread, when the timeout is checked."""

from __future__ import annotations

import json
from typing import Any

from ladderhub.platform.patience import SILENCE_LIMIT_NS as JOURNAL_SILENT_NS
from ladderhub.platform.liveness import SILENCE_LIMIT_NS
from ladderhub.signalling import Kind, Message
from tests.platform.bed import MS, Owner, S, accept_all, event, ignore_all, place_task


def test_an_answer_still_unread_at_its_timeout_is_passed_on(beds: Any) -> None:
    bed = beds(ignore_all)
    owner, asked = Owner(bed), bed.setup(left=1000)
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    bed.machines[0].conns[0].send(Message(Kind.ANSWER, asked.id, None, "runs"))
    (conn,) = bed.service.links.get("m0").conns
    bed.service.links.get("m0")._on_timeout(conn.open_offers[asked.id])
    bed.run(lambda: owner.messages)
    assert [each.kind for each in owner.messages] == [Kind.ANSWER]
    assert bed.machines[0].received(Kind.RELEASE) == []


def test_an_unread_pong_keeps_its_connection(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    owner.send(Message(Kind.RELEASE, asked.id, 16))
    bed.run(lambda: owner.received(Kind.RELEASED))
    bed.machines[0].conns[0].send(Message(Kind.RELEASE, asked.id, 31))
    bed.run(span_ns=2 * S)
    bed.machines[0].silent = True  # the test sends the pong itself
    owner.send(bed.setup())
    link = bed.service.links.get("m0")
    bed.run(lambda: any(conn.ping_timer is not None for conn in link.conns))
    (conn,) = link.conns
    bed.run(lambda: bed.machines[0].received(Kind.PING))
    bed.machines[0].conns[0].send(Message(Kind.PONG, "0" * 16, 1))
    link._on_ping_timeout(conn)
    assert conn.ping_timer is None and link.conns == [conn] and not link.liveness.unresponsive
    bed.run(lambda: len(owner.received(Kind.ANSWER)) == 2)


def test_a_machine_is_not_silent_while_its_message_is_unread(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    place_task(bed, owner)
    bed.machines[0].conns[0].send(Message(Kind.PONG, "0" * 16, 1))
    bed.clock.advance(SILENCE_LIMIT_NS + S)
    bed.service.links.get("m0").check_liveness(bed.clock.now_ns())
    bed.run(span_ns=S)
    assert not owner.received(Kind.RELEASE)


def test_machines_are_not_silent_because_the_process_was_paused(beds: Any) -> None:
    # Guards against all tasks reported as ended after a pause in which no machine was pinged.
    bed = beds(accept_all)
    owner = Owner(bed)
    place_task(bed, owner)
    bed.clock.advance(SILENCE_LIMIT_NS + S)
    bed.run(span_ns=5 * S)
    assert not owner.received(Kind.RELEASE)


def test_a_machine_that_is_silent_after_a_pause_is_detected_though_its_connection_is_in_use(
    beds: Any,
) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (machine,) = bed.machines
    machine.script, machine.silent = ignore_all, True
    owner.send(bed.setup("bill", left=3000))
    bed.run(lambda: len(machine.received(Kind.SETUP)) == 2)
    bed.clock.advance(SILENCE_LIMIT_NS)
    bed.run(span_ns=5 * S)
    assert asked.id in [each.id for each in owner.received(Kind.RELEASE)]


def test_a_journal_is_not_silent_while_its_lines_are_unread(beds: Any) -> None:
    bed = beds(accept_all)
    bed.run(lambda: bed.journal.streams)
    (stream,) = bed.journal.streams
    bed.journal.write(json.dumps(event(2, bed.machines[0].row("draining"))).encode() + b"\n")
    bed.clock.advance(JOURNAL_SILENT_NS + MS)
    bed.service.follower._check_silence()
    bed.run()
    assert bed.journal.streams == [stream] and bed.service.follower.pos == 2
