"""Byte streams over TCP with bounded buffers, and connects with a time-out."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Protocol, TypeVar

from ladderhub.loop.core import READ, WRITE, Loop, Timer

MAX_READ_BYTES = 256 * 1024
WRITE_HIGH = 256 * 1024  # above this the reader of requests is paused: back-pressure
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # above this the peer does not read: the connection is given up
REST_MOST = 16 * 1024 * 1024  # of a broken connection: beyond what any kernel holds unread
REST_LEAST = 64 * 1024  # what each try to read it counts for, so that the tries end
# What a call on a good socket may fail with for a moment, as the kernel is busy or short of memory.
TRANSIENT_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """HOST:PORT; ValueError where it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"found {text!r}; HOST:PORT is meant, as 127.0.0.1:15001")
    return host, int(port)


class Handler(Protocol):
    """What a connection tells its user."""

    def on_data(self, stream: Stream, data: bytes) -> None: ...

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None: ...


class _NoSocket:
    """Stands where a socket could not be made."""

    def fileno(self) -> int:
        return -1

    def close(self) -> None:
        return


class Stream:
    """One connection.  `write` never blocks; the handler hears `on_closed` exactly once."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket | _NoSocket,
        handler: Handler,
        connecting: bool = False,
        max_read_bytes: int = MAX_READ_BYTES,
        first: bool = False,
    ) -> None:
        """`max_read_bytes`: bytes taken at a time, so that one busy peer leaves the others their turn.
        `first`: read before others."""
        self.loop, self.sock, self.handler, self._max_read_bytes = loop, sock, handler, max_read_bytes
        self._first = first
        self.connected = not connecting
        self.closed = False
        self.on_connected: Callable[[Stream], None] | None = None
        self.on_drained: Callable[[], None] | None = None  # called each time all that was written has left
        self._out: list[bytes] = []
        self._out_size = 0
        self._paused = self._closing = self._finishing = self._failing = False
        self._fault: BaseException | None = None
        self._timer: Timer | None = None
        if isinstance(sock, socket.socket):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch()

    def peer(self) -> str:
        try:
            host, port = self._socket().getpeername()[:2]
            return f"{host}:{port}"
        except OSError:
            return "?"

    def fileno(self) -> int:
        """Its descriptor; -1 once it is closed."""
        return self.sock.fileno()

    def _socket(self) -> socket.socket:
        if isinstance(self.sock, _NoSocket):
            raise OSError("no socket")
        return self.sock

    # --- what the user does -----------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Queue bytes; they leave as the peer takes them.  A peer that takes nothing is cut off in the
        end."""
        if self.closed or self._closing or self._finishing or self._failing or not data:
            return
        if not self._out and self.connected:
            try:
                sent = self._socket().send(data)
            except OSError as fault:
                if fault.errno not in TRANSIENT_ERRNOS:
                    self.fail(fault)
                    return
                sent = 0
            data = data[sent:]
            if not data:
                return
        self._out.append(data)
        self._out_size += len(data)
        if self._out_size > MAX_UNSENT_BYTES:
            self.fail(BufferError("the peer does not read"))
        self._watch()

    def can_send(self) -> bool:
        """Whether what is written now can still reach the peer, as far as is known."""
        ending = self.closed or self._closing or self._finishing or self._failing
        return self.connected and not ending

    def has_unread(self) -> bool:
        """Whether bytes of the peer wait here that no callback has been given yet."""
        return bool(self._peek())

    def is_at_eof(self) -> bool:
        """Whether the peer has closed or reset, and nothing that it said before is left to read."""
        return self._peek() == b""

    def _peek(self) -> bytes | None:
        """The next byte that waits; None where there is none yet, and nothing where none will come."""
        if self.closed:
            return b""
        try:
            return self._socket().recv(1, socket.MSG_PEEK)
        except OSError as fault:
            return None if fault.errno in TRANSIENT_ERRNOS else b""

    def read_now(self, most: int) -> None:
        """Hand over what has come, up to about so many bytes, without waiting for the loop's turn and also
        while reading is paused; the end of the peer too, where that comes next."""
        while most > 0 and self.connected and not self.closed and not self._closing:
            taken = self._read()
            if not taken:
                return
            most -= taken

    def has_unsent(self) -> bool:
        """Whether bytes wait for the peer to take them."""
        return bool(self._out)

    def pause(self, paused: bool) -> None:
        """Stop or resume reading."""
        if self._paused != paused:
            self._paused = paused
            self._watch()

    def is_backed_up(self) -> bool:
        return self._out_size > WRITE_HIGH

    def close(self) -> None:
        """Close once all that was written has left."""
        self._closing = True
        if not self._out:
            self.abort(None)
        else:
            self._watch()

    def finish(self) -> None:
        """Send nothing more once all that was written has left, and go on reading until the peer closes."""
        self._finishing = True
        if not self._out and self.connected and not self.closed:
            try:
                self._socket().shutdown(socket.SHUT_WR)
            except OSError as fault:
                self.fail(fault)

    def fail(self, fault: BaseException | None) -> None:
        """Send nothing more and drop what was not sent, hand over all that has come so far, then close.

        Danger: a peer may send its last words and reset.  Whoever closes as a write fails drops them unread,
        though the kernel still has them.  The handler is not called from here."""
        if self.closed or self._failing:
            return
        self._failing, self._fault = True, fault
        self._out.clear()
        self._out_size = 0
        self._watch()
        self.loop.call_soon(self._read_rest, REST_MOST)

    def _read_rest(self, most: int) -> None:
        """A portion each round, so that nobody else waits for long."""
        if self.closed:
            return
        if self._closing or most <= 0 or self._exhausted():
            self.abort(self._fault)
            return
        taken = self._read()
        self.loop.call_soon(self._read_rest, most - max(taken, REST_LEAST))

    def _exhausted(self) -> bool:
        """Whether nothing that has come is left to read."""
        try:
            return not self._socket().recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as fault:
            return fault.errno not in TRANSIENT_ERRNOS

    def abort(self, fault: BaseException | None = None) -> None:
        """Close now; what was not sent, and what was not read, is dropped."""
        if self.closed:
            return
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.loop.watch(self.sock.fileno(), 0, self._ready)
        self.sock.close()
        self._out.clear()
        self._out_size = 0
        self.handler.on_closed(self, self._fault or fault)

    # --- what the loop does -----------------------------------------------------------------------------

    def _watch(self) -> None:
        if self.closed:
            return
        self.loop.watch(self.sock.fileno(), self._wanted_events(), self._ready, self._first)

    def _wanted_events(self) -> int:
        if self._failing:
            return 0
        reading = self.connected and not self._paused and not self._closing and not self.is_backed_up()
        return (READ if reading else 0) | (WRITE if self._out or not self.connected else 0)

    def _ready(self, events: int) -> None:
        try:
            if not self.connected:
                self._finish_connect()
                return
            if events & WRITE:
                self._flush()
        except OSError as fault:
            if fault.errno in TRANSIENT_ERRNOS:
                return
            self.fail(fault)
            return
        except Exception as fault:  # the fault of one connection's handler ends that connection alone
            self.loop.trouble("connection", fault)
            self.abort(fault)
        if events & READ and not self.closed and not self._failing:
            self._read()

    def _read(self) -> int:
        """Hand over what has come, a portion at most; how many bytes that were."""
        try:
            data = self._socket().recv(self._max_read_bytes)
            if data:
                self.handler.on_data(self, data)
            else:
                self.abort(None)
            return len(data)
        except OSError as fault:
            if fault.errno not in TRANSIENT_ERRNOS:
                self.abort(fault)
        except Exception as fault:  # the fault of one connection's handler ends that connection alone
            self.loop.trouble("connection", fault)
            self.abort(fault)
        return 0

    def _flush(self) -> None:
        while self._out:
            sent = self._socket().send(self._out[0])
            self._out_size -= sent
            if sent < len(self._out[0]):
                self._out[0] = self._out[0][sent:]
                break
            del self._out[0]
        if self._closing and not self._out:
            self.abort(None)
            return
        if self._finishing and not self._out:
            self.finish()
        self._watch()
        if not self._out and self.on_drained is not None:
            self.on_drained()

    def _not_up(self) -> None:
        """The time to come up is over."""
        if not self.connected and not self._failing:
            self.abort(TimeoutError("connect"))

    def _finish_connect(self) -> None:
        code = self._socket().getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:  # it is told once, and final whatever it is
            self.fail(OSError(code, errno.errorcode.get(code, "connect")))
            return
        self.connected = True
        if self._timer is not None:
            self._timer.cancel()
        if self.on_connected is not None:
            self.on_connected(self)
        if not self.closed:
            self._flush()


AnyStream = TypeVar("AnyStream", bound=Stream)


def connect(
    loop: Loop,
    address: Address,
    handler: Handler,
    timeout_ns: int,
    on_connected: Callable[[Stream], None] | None = None,
    first: bool = False,
) -> Stream:
    """Begin a connection; what goes wrong, a time-out included, comes later as `on_closed`, never from
    here."""
    return connect_as(Stream, loop, address, handler, timeout_ns, on_connected, first)


def connect_as(
    make: Callable[..., AnyStream],
    loop: Loop,
    address: Address,
    handler: Handler,
    timeout_ns: int,
    on_connected: Callable[[Stream], None] | None = None,
    first: bool = False,
) -> AnyStream:
    """Begin a connection on a stream that `make` gives, with the arguments of `Stream`."""
    # Danger: out of descriptors, or an address that is none.  An exception here would leave whoever asked
    # without the end that it counts on, so that too comes as `on_closed`.
    sock: socket.socket | _NoSocket = _NoSocket()
    code = 0
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex(address)
    except OSError as fault:
        sock.close()
        sock = _NoSocket()
        stream = make(loop, sock, handler, connecting=True)
        loop.call_soon(stream.abort, fault)
        return stream
    stream = make(loop, sock, handler, connecting=True, first=first)
    stream.on_connected = on_connected
    if code not in (0, errno.EINPROGRESS):
        loop.call_soon(stream.abort, OSError(code, "connect"))
    stream._timer = loop.call_later(timeout_ns, loop.call_when_read, sock.fileno(), stream._not_up)
    return stream
