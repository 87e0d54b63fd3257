"""Versions of the event loop and its streams that count processor time and traffic; the plain ones don't."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from ladderhub.loop import Handler, Loop, Stream, Timer
from ladderhub.loop.core import Trouble
from ladderhub.loop.stream import Address, connect_as
from ladderhub.usage.processor import Cause, ProcessorTime
from ladderhub.usage.traffic import TrafficCount


class _AttributedCallback:
    """A descriptor's callback and the cause that its time is counted for."""

    __slots__ = ("call", "cause", "processor")

    def __init__(self, processor: ProcessorTime, cause: Cause, call: Callable[[int], object]) -> None:
        self.processor, self.cause, self.call = processor, cause, call

    def __call__(self, events: int) -> None:
        previous = self.processor.switch(self.cause)
        try:
            self.call(events)
        finally:
            self.processor.switch(previous)


class AccountedLoop(Loop):
    """A loop that counts the time of each callback for a cause.

    The cause is inherited: it is the current one when the timer is set or the descriptor first watched."""

    def __init__(self, processor: ProcessorTime, trouble: Trouble | None = None) -> None:
        super().__init__(trouble=trouble)
        self.processor = processor
        self._callbacks: dict[int, _AttributedCallback] = {}

    def watch(self, fd: int, events: int, call: Callable[[int], object], first: bool = False) -> None:
        if not events:
            self._callbacks.pop(fd, None)
            super().watch(fd, events, call, first)
            return
        callback = self._callbacks.get(fd)
        if callback is None or callback.call != call:
            cause = self.processor.cause if callback is None else callback.cause
            callback = self._callbacks[fd] = _AttributedCallback(self.processor, cause, call)
        super().watch(fd, events, callback, first)

    def call_at(self, at_ns: int, call: Callable[..., object], *args: Any) -> Timer:
        return super().call_at(at_ns, self._run, self.processor.cause, call, args)

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        super().call_soon(self._run, self.processor.cause, call, args)

    def _run(self, cause: Cause, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        previous = self.processor.switch(cause)
        try:
            call(*args)
        finally:
            self.processor.switch(previous)


def processor_of(loop: Loop) -> ProcessorTime:
    """Return the loop's `ProcessorTime`; for a plain loop a new one, which counts explicit sections only."""
    return loop.processor if isinstance(loop, AccountedLoop) else ProcessorTime()


class CountedStream(Stream):
    """A stream that counts bytes; its user counts the messages.

    Received bytes are counted after the handler has processed them.  So a handler that recognises the kind of
    peer from the first bytes can still replace `count`."""

    def __init__(self, loop: Loop, sock: Any, handler: Handler, count: TrafficCount, **options: Any) -> None:
        self.count = count
        super().__init__(loop, sock, handler, **options)

    def write(self, data: bytes) -> None:
        if not (self.closed or self._closing or self._finishing):
            self.count.bytes_out += len(data)
        super().write(data)

    def _read(self) -> int:
        received = super()._read()
        self.count.bytes_in += received
        return received


def connect_counted(
    loop: Loop,
    address: Address,
    handler: Handler,
    timeout_ns: int,
    on_connected: Callable[[Stream], None],
    count: TrafficCount,
) -> CountedStream:
    """Start a connection as `loop.stream.connect` does, with its bytes counted."""
    make = partial(CountedStream, count=count)
    return connect_as(make, loop, address, handler, timeout_ns, on_connected)
