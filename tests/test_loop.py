"""The event loop with a manual clock, and with loopback sockets where real sockets are needed."""

from __future__ import annotations

import errno
import os
import selectors
import signal
import socket
from collections.abc import Callable
from typing import Any

import pytest

from ladderhub.loop import Listener, Loop, ManualClock, Stream
from ladderhub.loop.core import READ
from ladderhub.loop.stream import MAX_UNSENT_BYTES, connect

S = 1_000_000_000


def run_rounds(loop: Loop, count: int = 40) -> None:
    for _ in range(count):
        loop.run_once(2_000_000)


class Sink:
    def __init__(self, fails: bool = False) -> None:
        self.received = bytearray()
        self.closed: list[BaseException | None] = []
        self.fails = fails

    def on_data(self, stream: Stream, data: bytes) -> None:
        if self.fails:
            raise RuntimeError("handler")
        self.received += data

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.closed.append(fault)


def test_timers_fire_in_order_by_the_clock_and_cancelled_ones_do_not() -> None:
    clock = ManualClock()
    loop = Loop(clock)
    fired: list[int] = []
    timers = [loop.call_at(at * S, fired.append, at) for at in (3, 1, 2, 4)]
    timers[2].cancel()
    loop.run_once(0)
    assert fired == []
    clock.advance(3 * S)
    loop.run_once(0)
    assert fired == [1, 3] and loop.pending_timers() == 1


def test_a_hundred_thousand_cancelled_timers_leave_nothing() -> None:
    loop = Loop(ManualClock())
    for timer in [loop.call_at(at, print) for at in range(1, 100_001)]:
        timer.cancel()
    assert loop.pending_timers() == 0 and len(loop._timers) < 5000


def test_a_handler_that_raises_closes_only_its_own_connection() -> None:
    troubles: list[BaseException] = []
    loop = Loop(trouble=lambda where, fault: troubles.append(fault))
    sinks = [Sink(fails=True), Sink()]
    streams: list[Stream] = []
    listener = Listener(
        loop, ("127.0.0.1", 0), lambda s: streams.append(Stream(loop, s, sinks[len(streams)]))
    )
    first = socket.create_connection(listener.address)
    run_rounds(loop, 3)
    second = socket.create_connection(listener.address)
    run_rounds(loop, 3)
    first.sendall(b"x")
    second.sendall(b"y")
    run_rounds(loop)
    assert len(troubles) == 1 and streams[0].closed and not streams[1].closed and sinks[1].received == b"y"
    for each in (first, second):
        each.close()
    listener.close()


def test_a_peer_that_does_not_read_delays_no_other_and_its_connection_fails() -> None:
    loop = Loop()
    sinks = [Sink(), Sink()]
    streams: list[Stream] = []
    listener = Listener(
        loop, ("127.0.0.1", 0), lambda s: streams.append(Stream(loop, s, sinks[len(streams)]))
    )
    slow, good = socket.create_connection(listener.address), None
    run_rounds(loop, 3)
    good = socket.create_connection(listener.address)
    run_rounds(loop, 3)
    for _ in range(MAX_UNSENT_BYTES // (1 << 20) + 8):
        streams[0].write(b"x" * (1 << 20))
    streams[1].write(b"quick")
    run_rounds(loop, 5)
    good.settimeout(5)
    assert good.recv(100) == b"quick"
    assert streams[0].closed and isinstance(sinks[0].closed[0], BufferError)
    for each in (slow, good):
        each.close()
    listener.close()


def test_a_refused_connect_is_reported_as_closed() -> None:
    loop = Loop()
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))  # bound but not listening: the connect is refused
        sink = Sink()
        connect(loop, unused.getsockname(), sink, S)
        run_rounds(loop)
    assert isinstance(sink.closed[0], OSError)


def test_signals_and_child_exits_are_handled_between_callbacks() -> None:
    loop = Loop()
    seen: list[object] = []
    old = signal.getsignal(signal.SIGUSR1)
    loop.on_signal(signal.SIGUSR1, lambda: seen.append("signal"))
    os.kill(os.getpid(), signal.SIGUSR1)
    loop.spawn(["/bin/sh", "-c", "exit 3"], seen.append)
    for _ in range(200):
        if len(seen) == 2:
            break
        loop.run_once(20_000_000)
    assert set(seen) == {"signal", 3}
    loop.close()
    signal.signal(signal.SIGUSR1, old)


def test_a_flood_delays_neither_timers_nor_priority_descriptors_and_all_are_handled() -> None:
    # Guards against rounds that last as long as descriptors are ready, while deadlines pass and the journal
    # is not read.  Handling a descriptor takes 4 ms on the clock of the test.
    clock = ManualClock()
    loop = Loop(clock)
    pairs = [socket.socketpair() for _ in range(20)]
    handled: list[int] = []

    def handle(at: int) -> None:
        handled.append(at)
        clock.advance(4_000_000)

    for at, (ours, theirs) in enumerate(pairs):
        loop.watch(ours.fileno(), 1, lambda _, at=at: handle(at), first=at == 19)  # type: ignore[misc]
        theirs.send(b"x")
    timed: list[int] = []
    loop.call_at(clock.now_ns() + 10_000_000, lambda: timed.append(len(handled)))
    loop.run_once(0)
    assert handled[0] == 19 and timed and timed[0] < 6
    for _ in range(20):
        loop.run_once(0)
    assert set(handled) == set(range(20))
    for pair in pairs:
        for end in pair:
            loop.watch(end.fileno(), 0, print)
            end.close()
    loop.close()


def test_data_read_in_a_long_backlog_counts_from_when_it_became_ready() -> None:
    # Guards against counting for a message the whole time since the backlog began.
    clock = ManualClock()
    loop = Loop(clock)
    pairs = [socket.socketpair() for _ in range(3)]
    since: list[int] = []

    def burn(_: int) -> None:
        clock.advance(S // 50)  # longer than a round may last: the other descriptors are left to the next one

    def late(fd: int) -> None:
        since.append(loop.earliest_arrival_ns(fd))
        loop.watch(fd, 0, print)

    for _, end in pairs[:2]:
        loop.watch(end.fileno(), READ, burn)
    for writer, _ in pairs[:2]:
        writer.send(b"flood")
    run_rounds(loop, 20)
    late_fd, written_ns = pairs[2][1].fileno(), clock.now_ns()
    loop.watch(late_fd, READ, lambda _: late(late_fd))
    pairs[2][0].send(b"late")
    run_rounds(loop, 20)
    assert len(since) == 1 and written_ns - S // 10 <= since[0] <= clock.now_ns()
    loop.close()
    for pair in pairs:
        for each in pair:
            each.close()


class PausedSelector(selectors.DefaultSelector):
    """Simulates a process that is paused during one poll, which starts with nothing ready."""

    def __init__(self, clock: ManualClock, span_ns: int, on_pause: Callable[[], object]) -> None:
        super().__init__()
        self.clock, self.span_ns, self.on_pause = clock, span_ns, on_pause

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if self.span_ns:
            self.on_pause()
            self.clock.advance(self.span_ns)
            self.span_ns = 0
            return self.check_after_pause()
        return super().select(timeout)

    def check_after_pause(self) -> list[tuple[selectors.SelectorKey, int]]:
        return super().select(0)


class InterruptedSelector(PausedSelector):
    """Its time-out has passed after the pause, so the poll ends without a last check."""

    def check_after_pause(self) -> list[tuple[selectors.SelectorKey, int]]:
        return []


@pytest.mark.parametrize("selector", [PausedSelector, InterruptedSelector])
@pytest.mark.parametrize("wait_ns", [0, S // 100, S // 10])
def test_data_that_came_while_the_process_was_paused_counts_from_the_end_of_its_wait(
    selector: type[PausedSelector], wait_ns: int
) -> None:
    # Guards against not counting a pause of the process during the poll as waiting time of a request.
    clock = ManualClock()
    loop = Loop(clock)
    writer, reader = socket.socketpair()
    began_ns = clock.now_ns()
    loop._selector.close()
    loop._selector = selector(clock, S, lambda: writer.send(b"waits"))
    since: list[int] = []
    loop.watch(reader.fileno(), READ, lambda _: since.append(loop.earliest_arrival_ns(reader.fileno())))
    for _ in range(2):
        loop.run_once(wait_ns)
    assert since and began_ns <= since[0] <= began_ns + wait_ns
    loop.close()
    writer.close()
    reader.close()


@pytest.mark.parametrize("round_ns", [S // 4, S // 500], ids=["long_round", "short_round"])
def test_data_that_came_in_a_round_counts_from_its_begin_even_if_the_next_poll_takes_long(
    round_ns: int,
) -> None:
    # Guards against mistaking a poll that waited for a processor, or that found a thousand callers at once,
    # for one that waited for data: set-ups were passed on with more time than their owners had.
    clock = ManualClock()
    loop = Loop(clock)
    writer, reader = socket.socketpair()
    loop._selector.close()
    loop._selector = selector = PausedSelector(clock, 0, lambda: None)
    since: list[int] = []
    loop.watch(reader.fileno(), READ, lambda _: since.append(loop.earliest_arrival_ns(reader.fileno())))

    def take_time() -> None:
        clock.advance(round_ns)
        writer.send(b"waits")
        selector.span_ns = S // 1000

    loop.call_later(0, take_time)
    began_ns = clock.now_ns()
    for _ in range(2):
        loop.run_once(S // 10)
    assert since == [began_ns]
    loop.close()
    writer.close()
    reader.close()


class ShortOfMemory(socket.socket):
    """A socket whose next calls fail with the errors that Linux documents for a kernel short of memory."""

    fault = errno.ENOBUFS
    failures = 0

    def _fail(self) -> None:
        if self.failures:
            self.failures -= 1
            raise OSError(self.fault, os.strerror(self.fault))

    def send(self, *args: Any) -> int:
        self._fail()
        return super().send(*args)

    def recv(self, *args: Any) -> bytes:
        self._fail()
        return super().recv(*args)


@pytest.mark.parametrize("fault", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN])
def test_a_kernel_temporarily_short_of_memory_ends_no_connection(fault: int) -> None:
    # Guards against closing a healthy connection, and losing its requests, after a transient error.
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        here = socket.create_connection(server.getsockname())
        there, _ = server.accept()
    flaky = ShortOfMemory(here.family, here.type, fileno=here.detach())
    flaky.fault = fault
    sink = Sink()
    stream = Stream(loop, flaky, sink)
    flaky.failures = 3
    stream.write(b"one")
    run_rounds(loop, 10)
    assert there.recv(10) == b"one"
    flaky.failures = 3
    there.send(b"two")
    assert not stream.is_at_eof()
    run_rounds(loop, 10)
    assert bytes(sink.received) == b"two" and not sink.closed
    stream.abort()
    there.close()
    loop.close()


def test_many_connections_at_once_delay_others_by_no_more_than_a_round() -> None:
    # Guards against a round that lasts until all waiting connections are accepted.
    clock = ManualClock()
    loop = Loop(clock)
    accepted: list[socket.socket] = []

    def accept(sock: socket.socket) -> None:
        clock.advance(S // 200)
        accepted.append(sock)

    listener = Listener(loop, ("127.0.0.1", 0), accept)
    callers = [socket.create_connection(listener.address) for _ in range(30)]
    loop.run_once(2_000_000)
    assert 0 < len(accepted) <= 2
    run_rounds(loop)
    assert len(accepted) == 30
    more = [socket.create_connection(listener.address) for _ in range(30)]
    listener.accept_waiting()  # before it closes, a listener accepts all that wait, however long that takes
    assert len(accepted) == 60
    listener.close()
    loop.close()
    for sock in (*callers, *more, *accepted):
        sock.close()
