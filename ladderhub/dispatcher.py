"""One queue for the events of all decision modules of a daemon.

What one module's action causes in another is handled after the actions that came before it, whichever room it
comes from.  Nothing here knows what is decided.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Protocol


class Decider(Protocol):
    """A pure module: events and time in, actions out."""

    def handle(self, now_ns: int, event: Any, /) -> Sequence[Any]: ...


class ActionExecutor(Protocol):
    """Carries out what one decider says, action by action, in order."""

    def execute(self, now_ns: int, action: Any, /) -> None: ...

    def on_handled(self, event: Any, /) -> None:
        """All that this event called for has been handed on."""


@dataclass(frozen=True, slots=True)
class DeferredEvent:
    """An event with a span that counts from the moment in which it is handled; `make` is given that moment.

    Danger: between two looks at the clock the process may stand still, and the decider would take a span
    measured at the first for one that begins at the second."""

    make: Callable[[int], Any]


class EventDispatcher:
    """Deciders and their carriers.  `register` gives the call by which a decider hears of an event."""

    def __init__(self, now_ns: Callable[[], int], on_fault: Callable[[Any, Exception], None]) -> None:
        self._now_ns, self._on_fault = now_ns, on_fault
        self._events: deque[tuple[Decider, ActionExecutor, Any]] = deque()
        self._busy = False

    def register(self, decider: Decider, carrier: ActionExecutor) -> Callable[[Any], None]:
        def tell(event: Any) -> None:
            self._events.append((decider, carrier, event))
            self._drain()

        return tell

    @contextmanager
    def batch(self) -> Iterator[None]:
        """Events told within it stand side by side in the queue: nothing is heard between them."""
        was_busy, self._busy = self._busy, True
        try:
            yield
        finally:
            self._busy = was_busy
            self._drain()

    def _drain(self) -> None:
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                decider, carrier, event = self._events.popleft()
                try:
                    now = self._now_ns()
                    if isinstance(event, DeferredEvent):
                        event = event.make(now)
                    for action in decider.handle(now, event):
                        carrier.execute(now, action)
                    carrier.on_handled(event)
                except Exception as fault:
                    # One event's fault must not keep the others from being heard; a job that it leaves
                    # without an answer gets one at its limit.
                    self._on_fault(event, fault)
        finally:
            self._busy = False
