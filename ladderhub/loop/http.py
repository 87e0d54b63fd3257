"""A minimal HTTP server for `GET` of a few pages, beside the main protocol.  `httptools` parses requests."""

from __future__ import annotations

import socket
from collections.abc import Callable

import httptools

from ladderhub.loop.core import Loop
from ladderhub.loop.listener import Listener
from ladderhub.loop.stream import Address, Stream

MAX_REQUEST_BYTES = 16 * 1024
Page = Callable[[], tuple[int, str, bytes]]
_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Unavailable",
}


class HttpServer:
    """Serves one request per connection.  `pages`: by path, a function that returns status, content type and
    body."""

    def __init__(self, loop: Loop, address: Address, pages: dict[str, Page]) -> None:
        self._loop, self._pages = loop, pages
        self.listener = Listener(loop, address, self._accept)

    def _accept(self, sock: socket.socket) -> None:
        Stream(self._loop, sock, _Request(self._pages))

    def close(self) -> None:
        self.listener.close()


class _Request:
    def __init__(self, pages: dict[str, Page]) -> None:
        self._pages, self._url, self._done, self._size = pages, b"", False, 0
        self._parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        self._done = True

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(stream, 400, "text/plain", b"not HTTP\n")
            return
        if self._done:
            path = self._url.split(b"?")[0].decode("latin-1")
            page = self._pages.get(path)
            if self._parser.get_method() != b"GET":
                self._respond(stream, 405, "text/plain", b"GET only\n")
            elif page is None:
                self._respond(stream, 404, "text/plain", b"no such page\n")
            else:
                self._respond(stream, *page())
        elif self._size > MAX_REQUEST_BYTES:
            self._respond(stream, 400, "text/plain", b"too long\n")

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return

    def _respond(self, stream: Stream, status: int, content_type: str, body: bytes) -> None:
        head = f"HTTP/1.1 {status} {_REASON_PHRASES[status]}\r\nContent-Type: {content_type}\r\n"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        stream.write(head.encode() + body)
        stream.close()
