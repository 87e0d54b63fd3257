"""One queue for the events of all decision modules of a daemon.

Events are handled one at a time, in the order in which they were told.  An event that is told while actions
are executed waits until these and all earlier events are done, whichever part of the daemon tells it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Protocol


class Decider(Protocol):
    """A pure decision module: takes events and the time, returns actions."""

    def handle(self, now_ns: int, event: Any, /) -> Sequence[Any]: ...


class ActionExecutor(Protocol):
    """Executes the actions of one decider in order."""

    def execute(self, now_ns: int, action: Any, /) -> None: ...

    def on_handled(self, event: Any, /) -> None:
        """Called after all actions for this event were executed."""


@dataclass(frozen=True, slots=True)
class DeferredEvent:
    """An event whose durations count from the time at which it is handled; `make` is called with that time.

    The process may be suspended between two readings of the clock.  The decider would then treat a duration
    measured at the first reading as one that begins at the second."""

    make: Callable[[int], Any]


class EventDispatcher:
    """Passes events to deciders and their actions to executors."""

    def __init__(self, now_ns: Callable[[], int], on_fault: Callable[[Any, Exception], None]) -> None:
        self._now_ns, self._on_fault = now_ns, on_fault
        self._events: deque[tuple[Decider, ActionExecutor, Any]] = deque()
        self._busy = False

    def register(self, decider: Decider, executor: ActionExecutor) -> Callable[[Any], None]:
        """Return a function that tells the decider of an event."""

        def tell(event: Any) -> None:
            self._events.append((decider, executor, event))
            self._drain()

        return tell

    @contextmanager
    def batch(self) -> Iterator[None]:
        """Queue all events told inside the context consecutively; none is handled before it ends."""
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
                decider, executor, event = self._events.popleft()
                try:
                    now = self._now_ns()
                    if isinstance(event, DeferredEvent):
                        event = event.make(now)
                    for action in decider.handle(now, event):
                        executor.execute(now, action)
                    executor.on_handled(event)
                except Exception as fault:
                    # An exception for one event must not stop the others.  A job that stays without an
                    # answer because of it gets one at its deadline.
                    self._on_fault(event, fault)
        finally:
            self._busy = False
