"""TCP byte streams with bounded buffers, and connection attempts with a time-out."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from typing import Protocol, TypeVar

from ladderhub.loop.core import READ, WRITE, Loop, Timer

MAX_READ_BYTES = 256 * 1024
WRITE_HIGH_WATER_BYTES = 256 * 1024  # above this reading is paused (back-pressure)
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # above this the peer is considered not to read, and the connection fails
# Limit for reading the remaining data of a failed connection: more than any kernel buffers.  Each attempt
# counts as the minimum at least, so that the attempts end.
MAX_REMAINING_BYTES = 16 * 1024 * 1024
MIN_REMAINING_READ_BYTES = 64 * 1024
# Errors of a healthy socket while the kernel is busy or short of memory; the call is tried again later.
TRANSIENT_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse HOST:PORT; ValueError if the text is invalid."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"found {text!r}; HOST:PORT is meant, as 127.0.0.1:15001")
    return host, int(port)


class Handler(Protocol):
    """Receives the events of a connection."""

    def on_data(self, stream: Stream, data: bytes) -> None: ...

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None: ...


class _NoSocket:
    """Placeholder for a socket that could not be created."""

    def fileno(self) -> int:
        return -1

    def close(self) -> None:
        return


class _NoHandler:
    """The handler of a closed stream."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        return

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return


_NO_HANDLER = _NoHandler()


class Stream:
    """One connection.  `write` never blocks; the handler's `on_closed` is called exactly once."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket | _NoSocket,
        handler: Handler,
        connecting: bool = False,
        max_read_bytes: int = MAX_READ_BYTES,
        first: bool = False,
    ) -> None:
        """`max_read_bytes`: bytes read at a time, so that one busy peer does not delay the others.  `first`:
        read before other connections."""
        self.loop, self.sock, self._max_read_bytes = loop, sock, max_read_bytes
        self.handler: Handler = handler
        self._first = first
        self.connected = not connecting
        self.closed = False
        self.ended_by_peer = False  # the peer closed it, and all that it sent before was read
        self.on_connected: Callable[[Stream], None] | None = None
        self.on_drained: Callable[[], None] | None = None  # called whenever the write buffer has become empty
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
        """Address of the peer as HOST:PORT, or "?"."""
        try:
            host, port = self._socket().getpeername()[:2]
            return f"{host}:{port}"
        except OSError:
            return "?"

    def fileno(self) -> int:
        """Its descriptor; -1 after it was closed."""
        return self.sock.fileno()

    def _socket(self) -> socket.socket:
        if isinstance(self.sock, _NoSocket):
            raise OSError("no socket")
        return self.sock

    # --- for the user -----------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Queue bytes, which are sent as fast as the peer reads them.  If too many are queued the connection
        fails."""
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
        """Whether data that is written now can still reach the peer, as far as is known."""
        ending = self.closed or self._closing or self._finishing or self._failing
        return self.connected and not ending

    def has_unread(self) -> bool:
        """Whether received bytes are pending that the handler has not got yet."""
        return bool(self._peek())

    def is_at_eof(self) -> bool:
        """Whether the peer has closed or reset the connection and all it sent before has been read."""
        return self._peek() == b""

    def has_peer_finished(self) -> bool:
        """Whether the peer has closed or reset the connection or will send nothing more, also if what it sent
        before is still unread."""
        if self.closed:
            return True
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _peek(self) -> bytes | None:
        """The next received byte; None if there is none yet, empty if there will be none."""
        if self.closed:
            return b""
        try:
            return self._socket().recv(1, socket.MSG_PEEK)
        except OSError as fault:
            if fault.errno in TRANSIENT_ERRNOS:
                return None
            self._fault = self._fault or fault  # the kernel reports it once: the next read would find an end
            return b""

    def read_now(self, max_bytes: int) -> None:
        """Pass received data, up to about `max_bytes`, to the handler at once, even while reading is paused;
        also the peer's close, if that comes next."""
        while max_bytes > 0 and self.connected and not self.closed and not self._closing:
            received = self._read()
            if not received:
                return
            max_bytes -= received

    def has_unsent(self) -> bool:
        """Whether written bytes have not been sent yet."""
        return bool(self._out)

    def pause(self, paused: bool) -> None:
        """Stop or resume reading."""
        if self._paused != paused:
            self._paused = paused
            self._watch()

    def is_backed_up(self) -> bool:
        """Whether so many bytes are unsent that reading is paused."""
        return self._out_size > WRITE_HIGH_WATER_BYTES

    def close(self) -> None:
        """Close after all written data has been sent."""
        self._closing = True
        if not self._out:
            self.abort(None)
        else:
            self._watch()

    def finish(self) -> None:
        """Shut down writing after all written data has been sent; reading goes on until the peer closes."""
        self._finishing = True
        if not self._out and self.connected and not self.closed:
            try:
                self._socket().shutdown(socket.SHUT_WR)
            except OSError as fault:
                self.fail(fault)

    def fail(self, fault: BaseException | None) -> None:
        """Discard unsent data, pass all data received so far to the handler, then close.

        A peer may send its last messages and then reset the connection.  Closing as soon as a write fails
        would lose them, though the kernel still has them.  The handler is not called from here."""
        if self.closed or self._failing:
            return
        self._failing, self._fault = True, fault
        self._out.clear()
        self._out_size = 0
        self._watch()
        self.loop.call_soon(self._read_remaining, MAX_REMAINING_BYTES)

    def _read_remaining(self, max_bytes: int) -> None:
        """Read one portion per round, so that other connections are not delayed."""
        if self.closed:
            return
        if self._closing or max_bytes <= 0 or self._is_exhausted():
            self.abort(self._fault)
            return
        received = self._read()
        self.loop.call_soon(self._read_remaining, max_bytes - max(received, MIN_REMAINING_READ_BYTES))

    def _is_exhausted(self) -> bool:
        """Whether no received data is left to read."""
        try:
            return not self._socket().recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as fault:
            return fault.errno not in TRANSIENT_ERRNOS

    def abort(self, fault: BaseException | None = None) -> None:
        """Close now and discard unsent and unread data."""
        if self.closed:
            return
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.loop.watch(self.sock.fileno(), 0, self._ready)
        self.sock.close()
        self._out.clear()
        self._out_size = 0
        fault = self._fault or fault
        # A handler refers to its stream.  Nothing refers back, so that both are freed at once with what they
        # have buffered, and not only when the interpreter looks for cycles.
        handler, self.handler, self._fault = self.handler, _NO_HANDLER, None
        self.on_connected = self.on_drained = None
        handler.on_closed(self, fault)

    # --- called by the loop -----------------------------------------------------------------------------

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
        except Exception as fault:  # an error in a handler ends only its own connection
            self.loop.trouble("connection", fault)
            self.abort(fault)
        if events & READ and not self.closed and not self._failing:
            self._read()

    def _read(self) -> int:
        """Pass at most one portion of received data to the handler; return its size."""
        try:
            data = self._socket().recv(self._max_read_bytes)
            if data:
                self.handler.on_data(self, data)
            else:
                self.ended_by_peer = self._fault is None
                self.abort(None)
            return len(data)
        except OSError as fault:
            if fault.errno not in TRANSIENT_ERRNOS:
                self.abort(fault)
        except Exception as fault:  # an error in a handler ends only its own connection
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

    def _on_connect_timeout(self) -> None:
        if not self.connected and not self._failing:
            self.abort(TimeoutError("connect"))

    def _finish_connect(self) -> None:
        code = self._socket().getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:  # reading the error clears it, and every error is final here
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
    """Start a connection.  Errors, also a time-out, are reported later through `on_closed`, never raised."""
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
    """As `connect`, on a stream made by `make`, which is called with the arguments of `Stream`."""
    # Without a free descriptor, or with an invalid address, this fails at once.  The caller relies on
    # `on_closed`, so such an error is reported there too and not raised.
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
    stream._timer = loop.call_later(
        timeout_ns, loop.call_when_read, sock.fileno(), stream._on_connect_timeout
    )
    return stream
