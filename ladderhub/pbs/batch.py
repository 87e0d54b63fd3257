"""Batch requests and replies: their fields and wire encoding (published PBS batch interface).

`encode_request` and `encode_reply` return bytes.  `RequestParser` and `ReplyParser` take bytes as they arrive
and return whole messages.  A `RequestParser` holds at most one incomplete message, of at most
`max_message_bytes`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ladderhub.pbs import names as n
from ladderhub.pbs.dis import DisError, NeedMore, Reader, encode_number, encode_string

MAX_STRING_BYTES = n.MAX_SCRIPT_BYTES
MAX_MESSAGE_BYTES = MAX_STRING_BYTES + 256 * 1024
MAX_ATTRIBUTES = 2000
MAX_ROWS = 2_000_000


class Attr:
    """One attribute: name, resource ("" for none), value and operator."""

    __slots__ = ("name", "op", "resource", "value")

    def __init__(self, name: str, value: str, resource: str = "", op: int = n.OP_SET) -> None:
        self.name, self.value, self.resource, self.op = name, value, resource, op

    def key(self) -> str:
        """Returns `name`, or `name.resource` where there is a resource."""
        return f"{self.name}.{self.resource}" if self.resource else self.name

    def __repr__(self) -> str:
        return f"Attr({self.key()}={self.value!r})"


class Request:
    """One request.  `type` decides which fields are used; the others keep their defaults."""

    __slots__ = (
        "attrs", "command", "data", "destination", "extension", "file_kind", "job", "manner", "name",
        "object_type", "sequence", "status", "text", "type", "user",
    )  # fmt: skip

    def __init__(
        self, type: int, user: str = "", job: str = "", attrs: list[Attr] | None = None, *,
        destination: str = "", data: bytes = b"", sequence: int = 0, file_kind: int = 0, command: int = 0,
        object_type: int = 0, name: str = "", text: str = "", status: int = 0, manner: int = 0,
        extension: str = "",
    ) -> None:  # fmt: skip
        self.type, self.user, self.job, self.attrs = type, user, job, attrs or []
        self.destination, self.data, self.sequence, self.file_kind = destination, data, sequence, file_kind
        self.command, self.object_type, self.name, self.text = command, object_type, name, text
        self.status, self.manner, self.extension = status, manner, extension

    def get(self, key: str, default: str = "") -> str:
        """Returns the value of an attribute by `name` or `name.resource`."""
        for attr in self.attrs:
            if attr.key() == key:
                return attr.value
        return default


class Row:
    """One object of a status reply."""

    __slots__ = ("attrs", "name", "object_type")

    def __init__(self, object_type: int, name: str, attrs: list[Attr]) -> None:
        self.object_type, self.name, self.attrs = object_type, name, attrs

    def get(self, key: str, default: str = "") -> str:
        """Returns the value of an attribute by `name` or `name.resource`."""
        for attr in self.attrs:
            if attr.key() == key:
                return attr.value
        return default


class Reply:
    """One reply: an error code, 0 for success, and a body of one of the published choices."""

    __slots__ = ("aux", "choice", "code", "job", "jobs", "rows", "text")

    def __init__(
        self, code: int = 0, choice: int = n.R_NULL, *, aux: int = 0, job: str = "", text: str = "",
        jobs: list[str] | None = None, rows: list[Row] | None = None,
    ) -> None:  # fmt: skip
        self.code, self.aux, self.choice, self.job, self.text = code, aux, choice, job, text
        self.jobs, self.rows = jobs or [], rows or []


def refusal(code: int, text: str = "") -> Reply:
    """Returns an error reply; the text defaults to the published text of the code."""
    return Reply(code, n.R_TEXT, text=text or n.ERRORS.get(code, f"Error {code}"))


# --- attribute lists ------------------------------------------------------------------------------------


def _encode_attrs(attrs: list[Attr]) -> bytes:
    parts = [encode_number(len(attrs))]
    for attr in attrs:
        size = len(attr.name) + len(attr.value) + 2 + (len(attr.resource) + 1 if attr.resource else 0)
        parts += [encode_number(size), encode_string(attr.name), encode_number(1 if attr.resource else 0)]
        if attr.resource:
            parts.append(encode_string(attr.resource))
        parts += [encode_string(attr.value), encode_number(attr.op)]
    return b"".join(parts)


def _read_attrs(reader: Reader) -> list[Attr]:
    attrs = []
    for _ in range(reader.read_count(MAX_ATTRIBUTES)):
        reader.read_unsigned()  # the total size, which only C clients need for allocation
        name = reader.read_text()
        resource = reader.read_text() if reader.read_count(1) else ""
        value = reader.read_text()
        attrs.append(Attr(name, value, resource, reader.read_count(n.OP_LT)))
    return attrs


# --- requests -------------------------------------------------------------------------------------------

# Requests that share an encoding.
_MANAGE = (n.DELETE_JOB, n.HOLD_JOB, n.MANAGER, n.MODIFY_JOB, n.RELEASE_JOB)
_JOB_ONLY = (n.READY_TO_COMMIT, n.COMMIT, n.LOCATE_JOB)
_STATUS = (n.STATUS_JOB, n.STATUS_QUEUE, n.STATUS_SERVER, n.STATUS_NODE)
_EMPTY = (n.CONNECT, n.DISCONNECT)


def encode_request(request: Request) -> bytes:
    """Encodes a request with its header and extension."""
    kind = request.type
    parts = [
        encode_number(n.PROTOCOL),
        encode_number(n.VERSION),
        encode_number(kind),
        encode_string(request.user),
    ]
    if kind == n.QUEUE_JOB:
        parts += [
            encode_string(request.job),
            encode_string(request.destination),
            _encode_attrs(request.attrs),
        ]
    elif kind == n.JOB_SCRIPT:
        parts += [
            encode_number(request.sequence),
            encode_number(request.file_kind),
            encode_number(len(request.data)),
        ]
        parts += [encode_string(request.job), encode_string(request.data)]
    elif kind in _JOB_ONLY:
        parts.append(encode_string(request.job))
    elif kind in _MANAGE:
        name = request.job or request.name
        parts += [
            encode_number(request.command),
            encode_number(request.object_type),
            encode_string(name),
            _encode_attrs(request.attrs),
        ]
    elif kind == n.MESSAGE_JOB:
        parts += [encode_string(request.job), encode_number(request.file_kind), encode_string(request.text)]
    elif kind == n.SELECT_JOBS:
        parts.append(_encode_attrs(request.attrs))
    elif kind == n.SHUTDOWN:
        parts.append(encode_number(request.manner))
    elif kind == n.SIGNAL_JOB:
        parts += [encode_string(request.job), encode_string(request.text)]
    elif kind in _STATUS:
        parts += [encode_string(request.job or request.name), _encode_attrs(request.attrs)]
    elif kind == n.JOB_OBIT:
        parts += [encode_string(request.job), encode_number(request.status), _encode_attrs(request.attrs)]
    elif kind not in _EMPTY:
        raise DisError(f"request {kind} can't be written")
    parts.append(
        encode_number(1) + encode_string(request.extension) if request.extension else encode_number(0)
    )
    return b"".join(parts)


def _read_request(reader: Reader) -> Request:
    if reader.read_unsigned() != n.PROTOCOL:
        raise DisError("not the batch protocol")
    if reader.read_unsigned() not in n.VERSIONS:
        raise DisError("a version of the protocol that is not spoken here")
    kind = reader.read_unsigned()
    request = Request(kind, reader.read_text())
    if kind == n.QUEUE_JOB:
        request.job, request.destination, request.attrs = (
            reader.read_text(),
            reader.read_text(),
            _read_attrs(reader),
        )
    elif kind == n.JOB_SCRIPT:
        request.sequence, request.file_kind = reader.read_unsigned(), reader.read_unsigned()
        reader.read_count(MAX_STRING_BYTES)
        request.job, request.data = reader.read_text(), reader.read_bytes()
    elif kind in _JOB_ONLY:
        request.job = reader.read_text()
    elif kind in _MANAGE:
        request.command, request.object_type = reader.read_unsigned(), reader.read_unsigned()
        request.job = request.name = reader.read_text()
        request.attrs = _read_attrs(reader)
    elif kind == n.MESSAGE_JOB:
        request.job, request.file_kind, request.text = (
            reader.read_text(),
            reader.read_unsigned(),
            reader.read_text(),
        )
    elif kind == n.SELECT_JOBS:
        request.attrs = _read_attrs(reader)
    elif kind == n.SHUTDOWN:
        request.manner = reader.read_unsigned()
    elif kind == n.SIGNAL_JOB:
        request.job, request.text = reader.read_text(), reader.read_text()
    elif kind in _STATUS:
        request.job = request.name = reader.read_text()
        request.attrs = _read_attrs(reader)
    elif kind == n.JOB_OBIT:
        request.job, request.status, request.attrs = (
            reader.read_text(),
            reader.read_signed(),
            _read_attrs(reader),
        )
    elif kind not in _EMPTY:
        # The length of an unknown request is unknown, so the next request can't be found.
        raise DisError(f"unknown request {kind}")
    if reader.read_count(1):
        request.extension = reader.read_text()
    return request


# --- replies --------------------------------------------------------------------------------------------


def encode_reply(reply: Reply) -> bytes:
    """Encodes a whole reply."""
    parts = [
        encode_number(n.PROTOCOL),
        encode_number(n.VERSION),
        encode_number(reply.code),
        encode_number(reply.aux),
        encode_number(reply.choice),
    ]
    if reply.choice in (n.R_QUEUE, n.R_READY, n.R_COMMIT, n.R_LOCATE):
        parts.append(encode_string(reply.job))
    elif reply.choice == n.R_SELECT:
        parts.append(encode_number(len(reply.jobs)))
        parts += [encode_string(job) for job in reply.jobs]
    elif reply.choice == n.R_STATUS:
        parts.append(encode_number(len(reply.rows)))
        for row in reply.rows:
            parts += [encode_number(row.object_type), encode_string(row.name), _encode_attrs(row.attrs)]
    elif reply.choice == n.R_TEXT:
        parts.append(encode_string(reply.text))
    return b"".join(parts)


def encode_rows(count: int, rows: Iterable[Row], rows_per_piece: int = 100) -> Iterator[bytes]:
    """Encodes a status reply of `count` rows in pieces, so that a long one is never held as a whole."""
    parts = [
        encode_number(n.PROTOCOL),
        encode_number(n.VERSION),
        encode_number(0),
        encode_number(0),
        encode_number(n.R_STATUS),
        encode_number(count),
    ]
    buffered_rows = 0
    for row in rows:
        parts += [encode_number(row.object_type), encode_string(row.name), _encode_attrs(row.attrs)]
        buffered_rows += 1
        if buffered_rows == rows_per_piece:
            yield b"".join(parts)
            parts, buffered_rows = [], 0
    yield b"".join(parts)


def _read_reply(reader: Reader) -> tuple[Reply, int]:
    """Reads a reply without the rows of a status reply; returns it and the number of rows that follow."""
    if reader.read_unsigned() != n.PROTOCOL or reader.read_unsigned() not in n.VERSIONS:
        raise DisError("not a reply of the batch protocol")
    reply = Reply(reader.read_signed(), aux=reader.read_signed())
    reply.choice = reader.read_unsigned()
    if reply.choice in (n.R_QUEUE, n.R_READY, n.R_COMMIT, n.R_LOCATE):
        reply.job = reader.read_text()
    elif reply.choice == n.R_SELECT:
        reply.jobs = [reader.read_text() for _ in range(reader.read_count(MAX_ROWS))]
    elif reply.choice == n.R_STATUS:
        return reply, reader.read_count(MAX_ROWS)
    elif reply.choice == n.R_TEXT:
        reply.text = reader.read_text()
    elif reply.choice != n.R_NULL:
        raise DisError(f"unknown choice {reply.choice} in a reply")
    return reply, 0


# --- parsers --------------------------------------------------------------------------------------------


class RequestParser:
    """Parses requests from a byte stream.  Can't be used any more after a `DisError`."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._bytes_needed = 1
        self._max_message_bytes = max_message_bytes

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def pending(self) -> int:
        """Returns the number of bytes of incomplete messages and of those not taken yet."""
        return len(self._buffer)

    def next(self) -> Request | None:
        """Returns the next whole request, or None until more bytes arrive; `DisError` for invalid bytes."""
        # `_bytes_needed` avoids parsing an incomplete message again for each piece that arrives.
        if len(self._buffer) < self._bytes_needed:
            return None
        reader = Reader(self._buffer, MAX_STRING_BYTES)
        try:
            request = _read_request(reader)
        except NeedMore as more:
            if more.total > self._max_message_bytes:
                raise DisError(f"a message of more than {self._max_message_bytes} bytes") from None
            self._bytes_needed = more.total
            return None
        del self._buffer[: reader.position]
        self._bytes_needed = 1
        return request


class ReplyParser:
    """Parses replies from a byte stream.  The rows of a status reply are parsed as they arrive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0
        self._partial_reply: tuple[Reply, int] | None = None  # a status reply and its missing rows

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next(self) -> Reply | None:
        """Returns the next whole reply, or None until more bytes arrive; `DisError` for invalid bytes."""
        reader = Reader(self._buffer, MAX_STRING_BYTES)
        try:
            if self._partial_reply is None:
                self._partial_reply = _read_reply(reader)
                self._position = reader.position
            reply, missing = self._partial_reply
            reader.position = self._position
            while missing:
                reply.rows.append(Row(reader.read_unsigned(), reader.read_text(), _read_attrs(reader)))
                missing -= 1
                self._partial_reply, self._position = (reply, missing), reader.position
        except NeedMore:
            del self._buffer[: self._position]
            self._position = 0
            return None
        del self._buffer[: self._position]
        self._partial_reply, self._position = None, 0
        return reply
