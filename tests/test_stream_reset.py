"""A peer sends data, then resets the connection: the handler gets the data, whichever call sees the reset."""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from ladderhub.loop import Listener, Loop, ManualClock, Stream
from ladderhub.loop.core import READ
from ladderhub.loop.stream import MAX_READ_BYTES, connect

S = 1_000_000_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
LAST_DATA = b"x" * 100


@dataclass
class Sink:
    """A handler that records its events in order."""

    received: bytearray = field(default_factory=bytearray)
    closed: list[BaseException | None] = field(default_factory=list)

    def on_data(self, stream: Stream, data: bytes) -> None:
        assert not self.closed
        self.received += data

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.closed.append(fault)


def reset(sock: socket.socket, last_data: bytes) -> None:
    """Send data, and close so that the peer gets a reset instead of an orderly end."""
    sock.sendall(last_data)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def write_thrice(stream: Stream) -> None:
    for _ in range(3):
        stream.write(b"test")


class Connection:
    """A stream on a loop, and its peer as a plain socket."""

    def __init__(self) -> None:
        self.loop, self.sink = Loop(), Sink()
        with socket.create_server(("127.0.0.1", 0)) as server:
            here = socket.create_connection(server.getsockname())
            self.peer, _ = server.accept()
        self.stream = Stream(self.loop, here, self.sink)
        self.run_rounds(2)

    def run_rounds(self, count: int) -> None:
        for _ in range(count):
            self.loop.run_once(2_000_000)

    def reset_then(self, call: Callable[[], object], last_data: bytes = LAST_DATA) -> None:
        """The peer resets after the poll of a round, and `call` runs in the same round."""

        def reset_and_call() -> None:
            reset(self.peer, last_data)
            call()

        self.loop.call_later(0, reset_and_call)
        self.run_rounds(20)

    def close(self) -> None:
        self.stream.abort()
        self.peer.close()
        self.loop.close()


@pytest.fixture
def connection() -> Iterator[Connection]:
    made = Connection()
    yield made
    made.close()


def test_a_failed_write_loses_no_data_received_before_the_reset(connection: Connection) -> None:
    # Guards against dropping the unread ends of tasks with their connection.
    connection.reset_then(lambda: connection.stream.write(b"test"))
    assert bytes(connection.sink.received) == LAST_DATA and len(connection.sink.closed) == 1


def test_a_failed_finish_loses_no_data_received_before_the_reset(connection: Connection) -> None:
    # Guards against dropping the unread ends of tasks on a connection that is being closed.
    connection.reset_then(connection.stream.finish)
    assert bytes(connection.sink.received) == LAST_DATA and len(connection.sink.closed) == 1


def test_a_failed_flush_loses_no_data_received_before_the_reset(connection: Connection) -> None:
    # Guards against dropping the unread ends of tasks on a connection whose machine has not read for a while.
    while not connection.stream.has_unsent():
        connection.stream.write(b"y" * 100_000)
    reset(connection.peer, LAST_DATA)
    connection.run_rounds(20)
    assert bytes(connection.sink.received) == LAST_DATA and len(connection.sink.closed) == 1


def test_more_than_one_portion_is_delivered_in_order_after_a_failed_write(connection: Connection) -> None:
    # Guards against reading only once before the close.
    data = bytes(at % 251 for at in range(MAX_READ_BYTES + 100_000))
    sender = connection.peer
    sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(data))
    connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * len(data))  # type: ignore[union-attr]
    connection.reset_then(lambda: connection.stream.write(b"test"), data)
    assert bytes(connection.sink.received) == data and len(connection.sink.closed) == 1


def test_after_a_failed_write_nothing_is_written_and_the_close_is_reported_once(
    connection: Connection,
) -> None:
    # Guards against a second close event, and against a handler that writes when it gets the last data.
    connection.reset_then(lambda: write_thrice(connection.stream))
    assert len(connection.sink.closed) == 1 and connection.stream.closed
    assert isinstance(connection.sink.closed[0], OSError)


def test_a_paused_stream_also_delivers_data_received_before_the_reset(connection: Connection) -> None:
    # Guards against dropping received data when a connection under back-pressure is closed.
    connection.stream.pause(True)
    connection.reset_then(lambda: connection.stream.write(b"test"))
    assert bytes(connection.sink.received) == LAST_DATA and len(connection.sink.closed) == 1


@pytest.mark.parametrize("look", [Stream.has_unread, Stream.is_at_eof])
def test_a_reset_that_a_look_has_found_is_not_taken_for_an_orderly_end(
    connection: Connection, look: Callable[[Stream], bool]
) -> None:
    # Guards against a lost end of a task: the kernel reports a reset once, and then as an end of the data.
    connection.reset_then(lambda: look(connection.stream), b"")
    assert isinstance(connection.sink.closed[0], ConnectionResetError)
    assert not connection.stream.ended_by_peer


def test_an_orderly_end_is_told_from_a_close_of_our_own(connection: Connection) -> None:
    connection.peer.close()
    connection.run_rounds(3)
    assert connection.sink.closed == [None] and connection.stream.ended_by_peer


class ShortOfMemory(socket.socket):
    """A socket whose next reads fail with ENOMEM, as if the kernel were short of memory."""

    failures = 0

    def recv(self, *args: Any) -> bytes:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        return super().recv(*args)


@pytest.mark.parametrize("failures", [1, 2, 5])
def test_a_kernel_temporarily_short_of_memory_loses_no_data_of_a_failed_connection(
    connection: Connection, failures: int
) -> None:
    sock = connection.stream.sock
    assert isinstance(sock, socket.socket)
    short = ShortOfMemory(sock.family, sock.type, fileno=sock.detach())
    connection.stream.sock = short

    def write() -> None:
        short.failures = failures
        connection.stream.write(b"test")

    connection.reset_then(write)
    assert bytes(connection.sink.received) == LAST_DATA and len(connection.sink.closed) == 1


def test_data_of_a_peer_that_resets_while_the_connection_is_established_is_delivered() -> None:
    # Guards against losing ends of tasks that a machine sends when it accepts, before it resets.
    loop, sink = Loop(), Sink()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock: reset(sock, LAST_DATA))
    connecting = connect(loop, listener.address, sink, S)
    listener._accept_some()
    for _ in range(20):
        loop.run_once(2_000_000)
    assert bytes(sink.received) == LAST_DATA and len(sink.closed) == 1
    assert connecting.closed
    listener.close()
    loop.close()


def test_data_of_a_peer_that_resets_in_a_round_longer_than_the_connect_time_out_is_delivered() -> None:
    # Guards against dropping data because the connect time-out is checked between the reset and the read.
    clock = ManualClock()
    loop, sink = Loop(clock), Sink()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock: reset(sock, LAST_DATA))
    near, far = socket.socketpair()

    def connect_and_pause(_: int) -> None:
        loop.watch(near.fileno(), 0, print)
        connect(loop, listener.address, sink, S)
        listener._accept_some()
        clock.advance(2 * S)

    loop.watch(near.fileno(), READ, connect_and_pause)
    far.send(b"now")
    for _ in range(20):
        loop.run_once(2_000_000)
    assert bytes(sink.received) == LAST_DATA and len(sink.closed) == 1
    listener.close()
    loop.close()
    near.close()
    far.close()
