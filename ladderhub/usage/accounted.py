"""The event loop and its streams, with accounts: who uses these is counted, the plain ones have no hooks."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from ladderhub.loop import Handler, Loop, Stream, Timer
from ladderhub.loop.core import Trouble
from ladderhub.loop.stream import Address, connect_as
from ladderhub.usage.processor import Cause, ProcessorTime
from ladderhub.usage.traffic import TrafficCount


class _Attributed:
    """A callback of a descriptor with the cause that its time is put down to."""

    __slots__ = ("call", "cause", "processor")

    def __init__(self, processor: ProcessorTime, cause: Cause, call: Callable[[int], object]) -> None:
        self.processor, self.cause, self.call = processor, cause, call

    def __call__(self, events: int) -> None:
        before = self.processor.switch(self.cause)
        try:
            self.call(events)
        finally:
            self.processor.switch(before)


class AccountedLoop(Loop):
    """A loop that puts the time of each callback down to a cause: the one that was being served when the
    timer was set or the descriptor first watched, as a context is inherited."""

    def __init__(self, processor: ProcessorTime, trouble: Trouble | None = None) -> None:
        super().__init__(trouble=trouble)
        self.processor = processor
        self._attributed: dict[int, _Attributed] = {}

    def watch(self, fd: int, events: int, call: Callable[[int], object], first: bool = False) -> None:
        if not events:
            self._attributed.pop(fd, None)
            super().watch(fd, events, call, first)
            return
        known = self._attributed.get(fd)
        if known is None or known.call != call:
            cause = self.processor.cause if known is None else known.cause
            known = self._attributed[fd] = _Attributed(self.processor, cause, call)
        super().watch(fd, events, known, first)

    def call_at(self, at_ns: int, call: Callable[..., object], *args: Any) -> Timer:
        return super().call_at(at_ns, self._run, self.processor.cause, call, args)

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        super().call_soon(self._run, self.processor.cause, call, args)

    def _run(self, cause: Cause, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        before = self.processor.switch(cause)
        try:
            call(*args)
        finally:
            self.processor.switch(before)


def processor_of(loop: Loop) -> ProcessorTime:
    """The account that the loop keeps; on a plain loop one for the sections that are entered by hand."""
    return loop.processor if isinstance(loop, AccountedLoop) else ProcessorTime()


class CountedStream(Stream):
    """A stream whose bytes are counted; its user counts the messages.

    Bytes read are counted after the handler had them: a handler that learns from the first ones what kind of
    peer speaks may replace `count` then."""

    def __init__(self, loop: Loop, sock: Any, handler: Handler, count: TrafficCount, **options: Any) -> None:
        self.count = count
        super().__init__(loop, sock, handler, **options)

    def write(self, data: bytes) -> None:
        if not (self.closed or self._closing or self._finishing):
            self.count.bytes_out += len(data)
        super().write(data)

    def _read(self) -> int:
        taken = super()._read()
        self.count.bytes_in += taken
        return taken


def connect_counted(
    loop: Loop,
    address: Address,
    handler: Handler,
    timeout_ns: int,
    on_connected: Callable[[Stream], None],
    count: TrafficCount,
) -> CountedStream:
    """Begin a connection as `loop.stream.connect` does, with its bytes counted."""
    make = partial(CountedStream, count=count)
    return connect_as(make, loop, address, handler, timeout_ns, on_connected)
