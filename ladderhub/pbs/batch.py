"""Batch requests and replies: what each holds, and how it goes on the wire (published PBS batch interface).

`encode_request`, `encode_reply` give bytes; `RequestParser` and `ReplyParser` take bytes as they come and
give
whole messages.  Each parser holds at most one message that is not whole, of at most `message_most` bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ladderhub.pbs import names as n
from ladderhub.pbs.dis import DisError, NeedMore, Reader, number, string

STRING_MOST = n.SCRIPT_MOST
MESSAGE_MOST = STRING_MOST + 256 * 1024
ATTRIBUTES_MOST = 2000
ROWS_MOST = 2_000_000


class Attr:
    """One attribute: name, resource ("" for none), value and operator."""

    __slots__ = ("name", "op", "resource", "value")

    def __init__(self, name: str, value: str, resource: str = "", op: int = n.OP_SET) -> None:
        self.name, self.value, self.resource, self.op = name, value, resource, op

    def key(self) -> str:
        return f"{self.name}.{self.resource}" if self.resource else self.name

    def __repr__(self) -> str:
        return f"Attr({self.key()}={self.value!r})"


class Request:
    """One request.  Which fields count follows from `type`; the others keep their defaults."""

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
        """The value of an attribute by `name` or `name.resource`."""
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
        for attr in self.attrs:
            if attr.key() == key:
                return attr.value
        return default


class Reply:
    """One reply: code 0 for success, and one of the published choices."""

    __slots__ = ("aux", "choice", "code", "job", "jobs", "rows", "text")

    def __init__(
        self, code: int = 0, choice: int = n.R_NULL, *, aux: int = 0, job: str = "", text: str = "",
        jobs: list[str] | None = None, rows: list[Row] | None = None,
    ) -> None:  # fmt: skip
        self.code, self.aux, self.choice, self.job, self.text = code, aux, choice, job, text
        self.jobs, self.rows = jobs or [], rows or []


def refusal(code: int, text: str = "") -> Reply:
    """An error reply; the text defaults to the published words of the code."""
    return Reply(code, n.R_TEXT, text=text or n.ERRORS.get(code, f"Error {code}"))


# --- attribute lists ------------------------------------------------------------------------------------


def _put_attrs(attrs: list[Attr]) -> bytes:
    parts = [number(len(attrs))]
    for attr in attrs:
        size = len(attr.name) + len(attr.value) + 2 + (len(attr.resource) + 1 if attr.resource else 0)
        parts += [number(size), string(attr.name), number(1 if attr.resource else 0)]
        if attr.resource:
            parts.append(string(attr.resource))
        parts += [string(attr.value), number(attr.op)]
    return b"".join(parts)


def _take_attrs(reader: Reader) -> list[Attr]:
    attrs = []
    for _ in range(reader.count(ATTRIBUTES_MOST)):
        reader.unsigned()  # a size that helps C programs to allocate
        name = reader.text()
        resource = reader.text() if reader.count(1) else ""
        value = reader.text()
        attrs.append(Attr(name, value, resource, reader.count(n.OP_LT)))
    return attrs


# --- requests -------------------------------------------------------------------------------------------

_MANAGE = (n.DELETE_JOB, n.HOLD_JOB, n.MANAGER, n.MODIFY_JOB, n.RELEASE_JOB)
_JOB_ONLY = (n.READY_TO_COMMIT, n.COMMIT, n.LOCATE_JOB)
_STATUS = (n.STATUS_JOB, n.STATUS_QUEUE, n.STATUS_SERVER, n.STATUS_NODE)
_EMPTY = (n.CONNECT, n.DISCONNECT)


def encode_request(request: Request) -> bytes:
    kind = request.type
    parts = [number(n.PROTOCOL), number(n.VERSION), number(kind), string(request.user)]
    if kind == n.QUEUE_JOB:
        parts += [string(request.job), string(request.destination), _put_attrs(request.attrs)]
    elif kind == n.JOB_SCRIPT:
        parts += [number(request.sequence), number(request.file_kind), number(len(request.data))]
        parts += [string(request.job), string(request.data)]
    elif kind in _JOB_ONLY:
        parts.append(string(request.job))
    elif kind in _MANAGE:
        name = request.job or request.name
        parts += [
            number(request.command),
            number(request.object_type),
            string(name),
            _put_attrs(request.attrs),
        ]
    elif kind == n.MESSAGE_JOB:
        parts += [string(request.job), number(request.file_kind), string(request.text)]
    elif kind == n.SELECT_JOBS:
        parts.append(_put_attrs(request.attrs))
    elif kind == n.SHUTDOWN:
        parts.append(number(request.manner))
    elif kind == n.SIGNAL_JOB:
        parts += [string(request.job), string(request.text)]
    elif kind in _STATUS:
        parts += [string(request.job or request.name), _put_attrs(request.attrs)]
    elif kind == n.JOB_OBIT:
        parts += [string(request.job), number(request.status), _put_attrs(request.attrs)]
    elif kind not in _EMPTY:
        raise DisError(f"request {kind} can't be written")
    parts.append(number(1) + string(request.extension) if request.extension else number(0))
    return b"".join(parts)


def _take_request(reader: Reader) -> Request:
    if reader.unsigned() != n.PROTOCOL:
        raise DisError("not the batch protocol")
    if reader.unsigned() not in n.VERSIONS:
        raise DisError("a version of the protocol that is not spoken here")
    kind = reader.unsigned()
    request = Request(kind, reader.text())
    if kind == n.QUEUE_JOB:
        request.job, request.destination, request.attrs = reader.text(), reader.text(), _take_attrs(reader)
    elif kind == n.JOB_SCRIPT:
        request.sequence, request.file_kind = reader.unsigned(), reader.unsigned()
        reader.count(STRING_MOST)
        request.job, request.data = reader.text(), reader.raw()
    elif kind in _JOB_ONLY:
        request.job = reader.text()
    elif kind in _MANAGE:
        request.command, request.object_type = reader.unsigned(), reader.unsigned()
        request.job = request.name = reader.text()
        request.attrs = _take_attrs(reader)
    elif kind == n.MESSAGE_JOB:
        request.job, request.file_kind, request.text = reader.text(), reader.unsigned(), reader.text()
    elif kind == n.SELECT_JOBS:
        request.attrs = _take_attrs(reader)
    elif kind == n.SHUTDOWN:
        request.manner = reader.unsigned()
    elif kind == n.SIGNAL_JOB:
        request.job, request.text = reader.text(), reader.text()
    elif kind in _STATUS:
        request.job = request.name = reader.text()
        request.attrs = _take_attrs(reader)
    elif kind == n.JOB_OBIT:
        request.job, request.status, request.attrs = reader.text(), reader.signed(), _take_attrs(reader)
    elif kind not in _EMPTY:
        # What follows an unknown request can't be told from the next one.
        raise DisError(f"unknown request {kind}")
    if reader.count(1):
        request.extension = reader.text()
    return request


# --- replies --------------------------------------------------------------------------------------------


def encode_reply(reply: Reply) -> bytes:
    parts = [
        number(n.PROTOCOL),
        number(n.VERSION),
        number(reply.code),
        number(reply.aux),
        number(reply.choice),
    ]
    if reply.choice in (n.R_QUEUE, n.R_READY, n.R_COMMIT, n.R_LOCATE):
        parts.append(string(reply.job))
    elif reply.choice == n.R_SELECT:
        parts.append(number(len(reply.jobs)))
        parts += [string(job) for job in reply.jobs]
    elif reply.choice == n.R_STATUS:
        parts.append(number(len(reply.rows)))
        for row in reply.rows:
            parts += [number(row.object_type), string(row.name), _put_attrs(row.attrs)]
    elif reply.choice == n.R_TEXT:
        parts.append(string(reply.text))
    return b"".join(parts)


def encode_rows(count: int, rows: Iterable[Row], at_once: int = 100) -> Iterator[bytes]:
    """A status reply of `count` rows in pieces, so that a long one need not be held or made in one go."""
    parts = [number(n.PROTOCOL), number(n.VERSION), number(0), number(0), number(n.R_STATUS), number(count)]
    held = 0
    for row in rows:
        parts += [number(row.object_type), string(row.name), _put_attrs(row.attrs)]
        held += 1
        if held == at_once:
            yield b"".join(parts)
            parts, held = [], 0
    yield b"".join(parts)


def _take_reply(reader: Reader) -> tuple[Reply, int]:
    """A reply but for the rows of a status reply, and how many of those follow."""
    if reader.unsigned() != n.PROTOCOL or reader.unsigned() not in n.VERSIONS:
        raise DisError("not a reply of the batch protocol")
    reply = Reply(reader.signed(), aux=reader.signed())
    reply.choice = reader.unsigned()
    if reply.choice in (n.R_QUEUE, n.R_READY, n.R_COMMIT, n.R_LOCATE):
        reply.job = reader.text()
    elif reply.choice == n.R_SELECT:
        reply.jobs = [reader.text() for _ in range(reader.count(ROWS_MOST))]
    elif reply.choice == n.R_STATUS:
        return reply, reader.count(ROWS_MOST)
    elif reply.choice == n.R_TEXT:
        reply.text = reader.text()
    elif reply.choice != n.R_NULL:
        raise DisError(f"unknown choice {reply.choice} in a reply")
    return reply, 0


# --- parsers --------------------------------------------------------------------------------------------


class RequestParser:
    """Bytes in, requests out.  Holds at most one message that is not whole.  Final after a `DisError`."""

    def __init__(self, message_most: int = MESSAGE_MOST) -> None:
        self._buffer = bytearray()
        self._need = 1
        self._most = message_most

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def pending(self) -> int:
        """Bytes that wait for the rest of their message."""
        return len(self._buffer)

    def next(self) -> Request | None:
        """The next whole request, or None until more bytes come; `DisError` where there can be none."""
        # `_need` keeps a message that comes in many pieces from being read anew for each.
        if len(self._buffer) < self._need:
            return None
        reader = Reader(self._buffer, STRING_MOST)
        try:
            request = _take_request(reader)
        except NeedMore as more:
            if more.total > self._most:
                raise DisError(f"a message of more than {self._most} bytes") from None
            self._need = more.total
            return None
        del self._buffer[: reader.at]
        self._need = 1
        return request


class ReplyParser:
    """Bytes in, replies out.  The rows of a long status reply are taken as they come."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._at = 0
        self._open: tuple[Reply, int] | None = None  # a status reply and the rows it still lacks

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next(self) -> Reply | None:
        """The next whole reply, or None until more bytes come; `DisError` where there can be none."""
        reader = Reader(self._buffer, STRING_MOST)
        try:
            if self._open is None:
                self._open = _take_reply(reader)
                self._at = reader.at
            reply, missing = self._open
            reader.at = self._at
            while missing:
                reply.rows.append(Row(reader.unsigned(), reader.text(), _take_attrs(reader)))
                missing -= 1
                self._open, self._at = (reply, missing), reader.at
        except NeedMore:
            del self._buffer[: self._at]
            self._at = 0
            return None
        del self._buffer[: self._at]
        self._open, self._at = None, 0
        return reply
