"""Processor time by cause: sections nest, sums are right, and the loop's callbacks inherit causes."""

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


class ManualClock:
    """A manual processor clock; the process has already spent one second."""

    def __init__(self) -> None:
        self.now = 0

    def spend(self, seconds: int) -> None:
        self.now += seconds * 1_000_000_000

    def make_processor_time(self) -> ProcessorTime:
        return ProcessorTime(lambda: self.now, lambda: self.now + 1_000_000_000)


def test_an_inner_section_is_taken_from_the_outer_one_and_the_sum_is_the_process() -> None:
    clock = ManualClock()
    processor = clock.make_processor_time()
    with processor.section(Cause.JOBS):
        clock.spend(2)
        with processor.section(Cause.LOG_METRICS):
            clock.spend(3)
            processor.run(Cause.JOBS, clock.spend, 4)
        with processor.section(Cause.JOBS):
            clock.spend(5)
    clock.spend(7)
    seconds = processor.seconds()
    assert seconds[Cause.JOBS] == 11 and seconds[Cause.LOG_METRICS] == 3
    assert seconds[Cause.OTHER] == 8  # includes the second spent before
    assert sum(seconds.values()) == 22


def test_a_section_that_fails_restores_the_one_around_it() -> None:
    processor = ProcessorTime()
    with pytest.raises(ValueError), processor.section(Cause.LISTS):
        raise ValueError
    assert processor.cause is Cause.OTHER


def test_a_reading_inside_a_section_counts_what_it_has_spent_so_far() -> None:
    clock = ManualClock()
    processor = clock.make_processor_time()
    with processor.section(Cause.LOG_METRICS):
        clock.spend(2)
        assert processor.seconds()[Cause.LOG_METRICS] == 2
        clock.spend(1)
    assert processor.seconds()[Cause.LOG_METRICS] == 3


def test_no_reading_of_the_clock_within_one_cause() -> None:
    readings: list[int] = []

    def thread_ns() -> int:
        readings.append(0)
        return len(readings)

    processor = ProcessorTime(thread_ns, lambda: 0)
    with processor.section(Cause.JOBS):
        before = len(readings)
        with processor.section(Cause.JOBS):
            processor.run(Cause.JOBS, lambda: None)
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
    # Guards against a stream whose cause changes when other work writes to it and it waits for the peer.
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
            assert streams[0].has_unsent()
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
    loop.run_once(0)
    loop.run_once(0)
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
    # Guards against log lines with a field `cause`: they were lost and an error was logged instead.
    given: dict[str, str] = (
        ManualClock().make_processor_time().run(Cause.LOG_METRICS, dict, cause="silent", call="again")
    )
    assert given == {"cause": "silent", "call": "again"}
