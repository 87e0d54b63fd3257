"""A journal service that is slow to its first line is heard, and one that is dead is found soon."""

from __future__ import annotations

import json
import socket
from typing import Any

import pytest

from ladderhub.loop import Listener, Stream
from ladderhub.platform.follower import MAX_CONNECTIONS
from ladderhub.platform.patience import MAX_CANDIDATES, PATIENCE_NS, SILENCE_LIMIT_NS, ConnectionTimes
from ladderhub.signalling import Kind
from tests.platform.bed import MS, Bed, Journal, Owner, S, accept_all, event, open_unreachable_address
from tests.platform.bed import place_task

CONNECT_TIMEOUT_NS = 250 * MS
DELAYS_S = [0.3, 1.4, 1.8, 2.0, 4.0, 8.0, 20.0]


class SlowJournal(Journal):
    """A journal service that says nothing for `delay_ns` after a request, on each connection anew."""

    def __init__(self, bed: Bed, delay_ns: int) -> None:
        super().__init__(bed)
        self.delay_ns = delay_ns
        self.events: list[dict[str, Any]] = []

    def on_data(self, stream: Stream, data: bytes) -> None:
        super().on_data(stream, data)
        self.bed.loop.call_later(self.delay_ns, self._answer, stream, int(data.split()[1]))

    def _answer(self, stream: Stream, told: int) -> None:
        for each in self.events:
            if each["pos"] > told:
                told = each["pos"]
                stream.write(json.dumps(each).encode() + b"\n")
        stream.write(b"%d\n" % told)
        if not stream.closed:
            self.bed.loop.call_later(S, self._answer, stream, told)


def move_journal(bed: Bed, patch: pytest.MonkeyPatch, journal: Journal) -> None:
    """A new configuration names another journal service."""
    bed.path.write_text(json.dumps(bed.file | {"journal": journal.address}))
    for name, value in (bed.environment | {"PROXY_LISTEN": "127.0.0.1:1"}).items():
        patch.setenv(name, value)
    bed.service.reload()


def run_until_heard(bed: Bed, pos: int, limit_ns: int) -> int:
    """Run until the follower has this event; return how long that took."""
    began_ns = bed.clock.now_ns()
    while bed.service.follower.pos < pos:
        assert bed.clock.now_ns() - began_ns < limit_ns, "the event was not heard in time"
        bed.run(span_ns=100 * MS)
    return bed.clock.now_ns() - began_ns


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_a_new_journal_service_that_is_slow_to_its_first_line_is_heard(
    beds: Any, monkeypatch: pytest.MonkeyPatch, delay_s: float
) -> None:
    # Guards against set-ups to draining machines: each connection was closed after 1.5 s without a line, and
    # a service that takes longer was never heard again.
    bed = beds(accept_all, accept_all)
    slow = SlowJournal(bed, round(delay_s * S))
    bed.run(lambda: bed.journal.requests)
    move_journal(bed, monkeypatch, slow)
    slow.events.append(event(2, bed.machines[0].row("draining")))
    assert run_until_heard(bed, 2, 30 * S) <= delay_s * S + 300 * MS
    owner = Owner(bed)
    for _ in range(4):
        place_task(bed, owner)
    assert not bed.machines[0].received(Kind.SETUP)
    bed.run(span_ns=5 * S)
    assert len(slow.streams) == 1 and not bed.journal.streams


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_a_journal_service_that_is_slow_after_a_break_is_heard(beds: Any, delay_s: float) -> None:
    bed = beds(accept_all)
    bed.journal.listener.close()
    slow = SlowJournal(bed, 0)
    bed.service.follower._address = slow.listener.address
    bed.run(lambda: bed.journal.streams)
    bed.journal.streams[0].abort()
    bed.run(span_ns=3 * S)
    slow.delay_ns = round(delay_s * S)
    slow.events.append(event(2, bed.machines[0].row("draining")))
    for stream in list(slow.streams):
        stream.abort()
    assert run_until_heard(bed, 2, 30 * S) <= delay_s * S + 500 * MS


def test_a_connection_that_falls_silent_is_replaced_though_the_service_is_slow_by_then(beds: Any) -> None:
    # What it would have told counts as told 4 s after it fell silent.
    bed = beds(accept_all)
    bed.run(lambda: bed.journal.streams)
    silent_since_ns = bed.clock.now_ns()
    bed.journal.write(b"1\n")
    slow = SlowJournal(bed, 1_800 * MS)
    slow.events.append(event(2, bed.machines[0].row("draining")))
    bed.service.follower._address = slow.listener.address  # the same service as far as the follower knows
    bed.run()
    run_until_heard(bed, 2, 30 * S)
    assert bed.clock.now_ns() - silent_since_ns <= 4 * S
    bed.run(span_ns=200 * MS)
    assert not bed.journal.streams


def test_a_service_that_never_speaks_is_asked_no_oftener_than_before_and_holds_few_connections(
    beds: Any,
) -> None:
    bed = beds(accept_all)
    bed.run(lambda: bed.journal.streams)
    most = 0
    for _ in range(600):
        bed.run(span_ns=100 * MS)
        most = max(most, len(bed.journal.streams))
    assert most <= MAX_CANDIDATES
    assert len(bed.journal.requests) <= 1 + 60 * S // SILENCE_LIMIT_NS
    bed.journal.write(b"1\n")
    bed.run(span_ns=200 * MS)
    assert len(bed.journal.streams) == 1


def test_a_service_back_after_an_outage_is_reached_at_once(beds: Any) -> None:
    # Guards against a list that stays old because dials to a dead service are waited for.
    bed = beds(accept_all)
    bed.run(lambda: bed.journal.streams)
    follower, address = bed.service.follower, bed.journal.listener.address
    follower._address, sockets = open_unreachable_address()
    bed.journal.streams[0].abort()
    for _ in range(80):
        bed.run(span_ns=100 * MS)
        assert len(follower._conns) <= MAX_CANDIDATES
    follower._address = address
    bed.run(span_ns=500 * MS)
    bed.run(lambda: len(bed.journal.requests) == 2)
    for sock in sockets:
        sock.close()


def test_moves_in_quick_succession_hold_few_connections(beds: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a journal that takes the descriptors of machines and owners.
    bed = beds(accept_all)
    services = [SlowJournal(bed, 60 * S) for _ in range(8)]
    follower = bed.service.follower
    for service in services:
        move_journal(bed, monkeypatch, service)
        bed.run(span_ns=100 * MS)
        assert len(follower._conns) + len(follower._old_conns) <= MAX_CONNECTIONS
    bed.run(lambda: services[-1].requests)


def test_a_service_that_accepts_and_closes_at_once_is_not_dialled_without_a_pause(beds: Any) -> None:
    bed = beds(accept_all)
    bed.run(lambda: bed.journal.streams)
    address = bed.journal.listener.address
    bed.journal.listener.close()
    accepted: list[socket.socket] = []

    def close_at_once(sock: socket.socket) -> None:
        accepted.append(sock)
        sock.close()

    listener = Listener(bed.loop, address, close_at_once)
    bed.journal.streams[0].abort()
    bed.run(span_ns=2 * S)
    assert 5 <= len(accepted) <= 21
    listener.close()


@pytest.mark.parametrize(
    ("times", "silence_ns"),
    [
        (ConnectionTimes(0), 10 * S),
        (ConnectionTimes(0, connected_ns=4 * S), 6 * S),
        (ConnectionTimes(0, connected_ns=4 * S, heard_ns=9 * S), S),
    ],
)
def test_silence_counts_from_the_latest_sign(times: ConnectionTimes, silence_ns: int) -> None:
    assert times.get_silence_ns(10 * S) == silence_ns
    assert not times.is_hopeless(10 * S)
    assert times.is_hopeless(10 * S + PATIENCE_NS)


def test_a_dial_is_overdue_sooner_than_an_answer() -> None:
    times = ConnectionTimes(0)
    assert not times.is_overdue(CONNECT_TIMEOUT_NS, CONNECT_TIMEOUT_NS)
    assert times.is_overdue(CONNECT_TIMEOUT_NS + 1, CONNECT_TIMEOUT_NS)
    times.connected_ns = 0
    assert not times.is_overdue(SILENCE_LIMIT_NS, CONNECT_TIMEOUT_NS)
    assert times.is_overdue(SILENCE_LIMIT_NS + 1, CONNECT_TIMEOUT_NS)
