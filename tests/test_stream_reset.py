"""A peer sends, then resets its connection: what it sent is handed over, whatever notices the reset first."""

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
LINGER_RESET = struct.pack("ii", 1, 0)
LAST_WORDS = b"x" * 100


@dataclass
class Sink:
    """A handler that keeps what it is told, in order."""

    got: bytearray = field(default_factory=bytearray)
    closed: list[BaseException | None] = field(default_factory=list)

    def on_data(self, stream: Stream, data: bytes) -> None:
        assert not self.closed
        self.got += data

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.closed.append(fault)


def reset(sock: socket.socket, last_words: bytes) -> None:
    """Send, and close so that the other end gets a reset instead of an orderly end."""
    sock.sendall(last_words)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
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
        self.turns(2)

    def turns(self, count: int) -> None:
        for _ in range(count):
            self.loop.run_once(2_000_000)

    def reset_then(self, call: Callable[[], object], last_words: bytes = LAST_WORDS) -> None:
        """The peer resets after the round's poll, and something else is done in the same round."""

        def both() -> None:
            reset(self.peer, last_words)
            call()

        self.loop.call_later(0, both)
        self.turns(20)

    def close(self) -> None:
        self.stream.abort()
        self.peer.close()
        self.loop.close()


@pytest.fixture
def connection() -> Iterator[Connection]:
    made = Connection()
    yield made
    made.close()


def test_a_failed_write_loses_nothing_that_came_before_the_reset(connection: Connection) -> None:
    # Guards against ends of tasks dropped unread with their connection.
    connection.reset_then(lambda: connection.stream.write(b"test"))
    assert bytes(connection.sink.got) == LAST_WORDS and len(connection.sink.closed) == 1


def test_a_failed_finish_loses_nothing_that_came_before_the_reset(connection: Connection) -> None:
    # Guards against ends dropped unread on a connection that is let go.
    connection.reset_then(connection.stream.finish)
    assert bytes(connection.sink.got) == LAST_WORDS and len(connection.sink.closed) == 1


def test_a_failed_flush_loses_nothing_that_came_before_the_reset(connection: Connection) -> None:
    # Guards against ends dropped unread on a connection whose machine took nothing for a while.
    while not connection.stream.has_unsent():
        connection.stream.write(b"y" * 100_000)
    reset(connection.peer, LAST_WORDS)
    connection.turns(20)
    assert bytes(connection.sink.got) == LAST_WORDS and len(connection.sink.closed) == 1


def test_more_than_one_portion_is_handed_over_in_order_after_a_failed_write(connection: Connection) -> None:
    # Guards against reading only once before the close.
    words = bytes(at % 251 for at in range(MAX_READ_BYTES + 100_000))
    sender = connection.peer
    sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(words))
    connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * len(words))  # type: ignore[union-attr]
    connection.reset_then(lambda: connection.stream.write(b"test"), words)
    assert bytes(connection.sink.got) == words and len(connection.sink.closed) == 1


def test_nothing_is_written_and_the_end_told_once_after_a_failed_write(connection: Connection) -> None:
    # Guards against a second end, or a handler that writes as it hears of the last words.
    connection.reset_then(lambda: write_thrice(connection.stream))
    assert len(connection.sink.closed) == 1 and connection.stream.closed
    assert isinstance(connection.sink.closed[0], OSError)


def test_a_paused_reader_gets_what_came_before_the_reset_too(connection: Connection) -> None:
    # Guards against a connection in back-pressure that is closed over what it brought.
    connection.stream.pause(True)
    connection.reset_then(lambda: connection.stream.write(b"test"))
    assert bytes(connection.sink.got) == LAST_WORDS and len(connection.sink.closed) == 1


class ShortOfMemory(socket.socket):
    """A socket whose reads fail for a moment with ENOMEM, as its kernel has no memory to spare."""

    failures = 0

    def recv(self, *args: Any) -> bytes:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        return super().recv(*args)


@pytest.mark.parametrize("failures", [1, 2, 5])
def test_a_kernel_short_of_memory_for_a_moment_loses_nothing_of_a_broken_connection(
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
    assert bytes(connection.sink.got) == LAST_WORDS and len(connection.sink.closed) == 1


def test_a_peer_that_resets_as_the_connection_comes_up_is_heard() -> None:
    # Guards against ends lost that a machine tells on accepting, before it resets.
    loop, sink = Loop(), Sink()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock: reset(sock, LAST_WORDS))
    connecting = connect(loop, listener.address, sink, S)
    listener._accept_some()
    for _ in range(20):
        loop.run_once(2_000_000)
    assert bytes(sink.got) == LAST_WORDS and len(sink.closed) == 1
    assert connecting.closed
    listener.close()
    loop.close()


def test_a_peer_that_resets_in_a_round_longer_than_a_dial_may_take_is_heard() -> None:
    # Guards against last words dropped as the time to come up is judged between the reset and their reading.
    clock = ManualClock()
    loop, sink = Loop(clock), Sink()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock: reset(sock, LAST_WORDS))
    near, far = socket.socketpair()

    def dial_and_stand_still(_: int) -> None:
        loop.watch(near.fileno(), 0, print)
        connect(loop, listener.address, sink, S)
        listener._accept_some()
        clock.advance(2 * S)

    loop.watch(near.fileno(), READ, dial_and_stand_still)
    far.send(b"now")
    for _ in range(20):
        loop.run_once(2_000_000)
    assert bytes(sink.got) == LAST_WORDS and len(sink.closed) == 1
    listener.close()
    loop.close()
    near.close()
    far.close()
