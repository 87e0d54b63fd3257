"""The account of processor time: sections nest, sums hold, and causes are inherited on the loop."""

from __future__ import annotations

import os
import socket
from functools import partial

import pytest

from ladderhub.loop import Listener, Loop, Stream
from ladderhub.loop.core import READ
from ladderhub.usage.accounted import AccountedLoop, processor_of
from ladderhub.usage.processor import Cause, ProcessorTime
from tests.usage import until


class Ticks:
    """A processor clock that a test moves by hand; the process has spent a second before."""

    def __init__(self) -> None:
        self.now = 0

    def spend(self, seconds: int) -> None:
        self.now += seconds * 1_000_000_000

    def account(self) -> ProcessorTime:
        return ProcessorTime(lambda: self.now, lambda: self.now + 1_000_000_000)


def test_an_inner_section_is_taken_from_the_outer_one_and_the_sum_is_the_process() -> None:
    ticks = Ticks()
    account = ticks.account()
    with account.section(Cause.JOBS):
        ticks.spend(2)
        with account.section(Cause.LOG_METRICS):
            ticks.spend(3)
            account.run(Cause.JOBS, ticks.spend, 4)
        with account.section(Cause.JOBS):
            ticks.spend(5)
    ticks.spend(7)
    seconds = account.seconds()
    assert seconds[Cause.JOBS] == 11 and seconds[Cause.LOG_METRICS] == 3
    assert seconds[Cause.OTHER] == 8  # the second before the account began is among it
    assert sum(seconds.values()) == 22


def test_a_section_that_fails_gives_way_to_the_one_around_it() -> None:
    account = ProcessorTime()
    with pytest.raises(ValueError), account.section(Cause.LISTS):
        raise ValueError
    assert account.cause is Cause.OTHER


def test_a_reading_inside_a_section_counts_what_it_has_spent_so_far() -> None:
    ticks = Ticks()
    account = ticks.account()
    with account.section(Cause.LOG_METRICS):
        ticks.spend(2)
        assert account.seconds()[Cause.LOG_METRICS] == 2
        ticks.spend(1)
    assert account.seconds()[Cause.LOG_METRICS] == 3


def test_no_reading_of_the_clock_within_one_cause() -> None:
    readings: list[int] = []

    def thread_ns() -> int:
        readings.append(0)
        return len(readings)

    account = ProcessorTime(thread_ns, lambda: 0)
    with account.section(Cause.JOBS):
        before = len(readings)
        with account.section(Cause.JOBS):
            account.run(Cause.JOBS, lambda: None)
        assert len(readings) == before


def test_timers_and_later_calls_inherit_the_cause_that_set_them() -> None:
    loop = AccountedLoop(ProcessorTime())
    seen: list[Cause] = []

    def note() -> None:
        seen.append(loop.processor.cause)
        if len(seen) == 1:
            loop.call_soon(note)

    with loop.processor.section(Cause.PEERS):
        loop.call_later(0, note)
    loop.call_later(0, note)
    until(loop, lambda: len(seen) >= 3)
    assert seen == [Cause.PEERS, Cause.OTHER, Cause.PEERS]
    assert loop.processor.cause is Cause.OTHER
    loop.close()


def test_connections_inherit_the_cause_of_their_listener_and_keep_it() -> None:
    # Guards against a stream that changes its account because others' work made it wait for the peer.
    loop = AccountedLoop(ProcessorTime())
    seen: list[Cause] = []
    streams: list[Stream] = []

    class Sink:
        def on_data(self, stream: Stream, data: bytes) -> None:
            seen.append(loop.processor.cause)

        def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
            seen.append(loop.processor.cause)

    def accept(sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # takes less than what is written
        streams.append(Stream(loop, sock, Sink()))

    with loop.processor.section(Cause.JOBS):
        listener = Listener(loop, ("127.0.0.1", 0), accept)
    with socket.create_connection(listener.address) as sock:
        until(loop, lambda: streams)
        with loop.processor.section(Cause.LISTS):
            streams[0].write(b"x" * 200_000)
            assert streams[0].unsent()
        sock.sendall(b"hello")
        until(loop, lambda: seen)
        sock.shutdown(socket.SHUT_RDWR)
        until(loop, lambda: len(seen) >= 2)
    assert seen == [Cause.JOBS, Cause.JOBS]
    listener.close()
    loop.close()


def test_a_callback_that_an_earlier_one_ended_is_not_called() -> None:
    loop = AccountedLoop(ProcessorTime())
    ends = [os.pipe() for _ in range(2)]
    called: list[int] = []

    def ready(at: int, events: int) -> None:
        called.append(at)
        for read, _ in ends:
            loop.watch(read, 0, lambda _: None)

    for at, (read, write) in enumerate(ends):
        os.write(write, b"x")
        loop.watch(read, READ, partial(ready, at))
    loop.turn(0)
    loop.turn(0)
    assert len(called) == 1
    for pair in ends:
        for end in pair:
            os.close(end)
    loop.close()


def test_a_plain_loop_has_an_account_for_sections_entered_by_hand() -> None:
    accounted, plain = AccountedLoop(ProcessorTime()), Loop()
    assert processor_of(accounted) is accounted.processor
    assert processor_of(plain).cause is Cause.OTHER
    accounted.close()
    plain.close()


def test_what_is_called_may_have_options_of_any_name() -> None:
    # Guards against log lines with a field `cause`, which were lost with an error in place of them.
    given: dict[str, str] = Ticks().account().run(Cause.LOG_METRICS, dict, cause="silent", call="again")
    assert given == {"cause": "silent", "call": "again"}
