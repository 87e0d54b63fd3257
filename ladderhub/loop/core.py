"""The loop itself: what is ready, what is due, and nothing that can end the process by accident."""

from __future__ import annotations

import heapq
import os
import selectors
import signal
import subprocess
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from ladderhub.loop.clock import Clock, SteadyClock

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
IDLE_WAIT_NS = 1_000_000_000
# After so long a round leaves what else is ready to the next one, so that a flood holds up neither timers nor
# descriptors that come first.
ROUND_NS = 10_000_000
WOKEN_NS = 200_000  # a look that took longer than this waited
OVERSLEPT_NS = 5_000_000  # beyond the end of its wait a process stood still, or had no processor
Trouble = Callable[[str, BaseException], None]


class Timer:
    """A call at a moment.  Revoking is a mark; the heap drops it when it surfaces or when marks abound."""

    __slots__ = ("_loop", "args", "at_ns", "call")

    def __init__(self, loop: Loop, at_ns: int, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self._loop, self.at_ns = loop, at_ns
        self.call: Callable[..., object] | None = call
        self.args = args

    def cancel(self) -> None:
        if self.call is not None:
            self.call, self.args = None, ()
            self._loop._revoked()


class Loop:
    """One thread, one selector.  A callback's exception goes to `trouble` and the loop goes on; streams
    close the connection it came from."""

    def __init__(self, clock: Clock | None = None, trouble: Trouble | None = None) -> None:
        self.clock = clock or SteadyClock()
        self.trouble: Trouble = trouble or (lambda where, fault: None)
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[int, int, Timer]] = []
        self._count = self._dead = 0
        self._soon: deque[tuple[Callable[..., object], tuple[Any, ...]]] = deque()
        self._running = False
        self._signals: dict[int, Callable[[], object]] = {}
        self._wake: tuple[int, int] | None = None
        self._first: set[int] = set()
        self._ready_since: dict[int, int] = {}  # descriptors to handle: what waits there came since then
        self._judged: list[tuple[int, Callable[..., object], tuple[Any, ...]]] = []
        self.rounds = 0  # begun so far
        self._look_ns = self.now_ns()  # all that came before has been seen
        self._round_ns = self._longest_round_ns = self._longest_unread_ns = 0

    def now_ns(self) -> int:
        return self.clock.now_ns()

    # --- timers -----------------------------------------------------------------------------------------

    def call_at(self, at_ns: int, call: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(self, at_ns, call, args)
        self._count += 1
        heapq.heappush(self._timers, (at_ns, self._count, timer))
        return timer

    def call_later(self, span_ns: int, call: Callable[..., object], *args: Any) -> Timer:
        return self.call_at(self.now_ns() + span_ns, call, *args)

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        self._soon.append((call, args))

    def unread_ns(self) -> int:
        """For how long the oldest of what is left to the next round may have waited; 0 where nothing is."""
        return self.now_ns() - min(self._ready_since.values()) if self._ready_since else 0

    def call_when_read(self, fd: int, call: Callable[..., object], *args: Any) -> None:
        """Call once all that is ready on this descriptor by now has been handled.

        Whoever judges a peer by a span that is over asks this first: the lateness may be the loop's own."""
        self._judged.append((fd, call, args))

    def _revoked(self) -> None:
        self._dead += 1
        if self._dead > 1000 and self._dead * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self._dead = 0

    def pending_timers(self) -> int:
        return len(self._timers) - self._dead

    # --- descriptors ------------------------------------------------------------------------------------

    def watch(self, fd: int, events: int, call: Callable[[int], object], first: bool = False) -> None:
        """Call with the ready events; watching a descriptor again replaces what was asked; 0 ends it.  With
        `first` it goes before others in each round."""
        if fd < 0:
            return
        known = fd in self._selector.get_map()
        (self._first.add if first and events else self._first.discard)(fd)
        if not events:
            if known:
                self._selector.unregister(fd)
        elif known:
            self._selector.modify(fd, events, call)
        else:
            self._selector.register(fd, events, call)

    def earliest_arrival_ns(self, fd: int) -> int:
        """What is read now from this descriptor has come since then, if all before that had been read."""
        return self._ready_since.get(fd, self._look_ns)

    def take_longest_ns(self) -> tuple[int, int]:
        """Since the last call: the longest round, waiting apart, and the longest that bytes may have lain
        unread, in nanoseconds."""
        longest = self._longest_round_ns, self._longest_unread_ns
        self._longest_round_ns = self._longest_unread_ns = 0
        return longest

    # --- signals and children ---------------------------------------------------------------------------

    def on_signal(self, number: int, call: Callable[[], object]) -> None:
        """Signals arrive as bytes on a wake-up descriptor, so that handlers run between callbacks."""
        if self._wake is None:
            self._wake = os.pipe()
            for end in self._wake:
                os.set_blocking(end, False)
            signal.set_wakeup_fd(self._wake[1], warn_on_full_buffer=False)
            self.watch(self._wake[0], READ, self._read_signals, first=True)
        self._signals[number] = call
        signal.signal(number, lambda *_: None)

    def ignore_signals(self) -> None:
        """From now on the signals that were handled are ignored, also while the interpreter ends: it would
        give them back the action that ends the process."""
        for number in self._signals:
            signal.signal(number, signal.SIG_IGN)

    def _read_signals(self, _: int) -> None:
        assert self._wake is not None
        try:
            numbers = os.read(self._wake[0], 256)
        except BlockingIOError:
            return
        for number in numbers:
            if number in self._signals:
                self._guard("signal", self._signals[number], ())

    def spawn(
        self, argv: Sequence[str], on_exit: Callable[[int], object], **options: Any
    ) -> subprocess.Popen[bytes]:
        """Start a child; `on_exit` gets its exit status, negative for a signal.  OSError where it can't
        start."""
        child = subprocess.Popen(list(argv), **options)
        handle = os.pidfd_open(child.pid)

        def ended(_: int) -> None:
            self.watch(handle, 0, ended)
            os.close(handle)
            on_exit(child.wait())

        self.watch(handle, READ, ended)
        return child

    # --- running ----------------------------------------------------------------------------------------

    def run(self) -> None:
        self._running = True
        while self._running:
            self.run_once()

    def stop(self) -> None:
        self._running = False

    def run_once(self, most_wait_ns: int = IDLE_WAIT_NS) -> None:
        """One round: wait for what is ready, at most so long, and handle what of it fits into a round; then
        timers that are due, then what was put off."""
        self.rounds += 1
        wait = most_wait_ns
        judged, self._judged = self._judged, []
        if self._soon or self._ready_since or judged or self._round_ns > ROUND_NS:
            wait = 0  # after a long round a look comes first, as what came meanwhile ends no wait
        elif self._timers:
            wait = min(wait, max(0, self._timers[0][0] - self.now_ns()))
        asleep = self.now_ns()
        found = self._selector.select(wait / 1e9)
        now = begun = self.now_ns()
        self._handle(found, self._looked(asleep, wait, now), now + ROUND_NS)
        for fd, call, args in judged:
            if fd in self._ready_since:
                self._judged.append((fd, call, args))
            else:
                self._guard("span", call, args)
        now = self.now_ns()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call is None:
                self._dead -= 1
                continue
            call, args = timer.call, timer.args
            timer.call = None
            self._guard("timer", call, args)
        for _ in range(len(self._soon)):
            call, args = self._soon.popleft()
            self._guard("soon", call, args)
        self._round_ns = self.now_ns() - begun
        self._longest_round_ns = max(self._longest_round_ns, self._round_ns)

    def _looked(self, asleep: int, wait: int, now: int) -> int:
        """A look that was to wait so long at most has ended: since when may what it found have been there?

        Danger: the process may stand still within the look, which only what goes beyond the wait shows, and a
        wait that is over may end without a look at the end."""
        before_ns, self._look_ns = self._look_ns, now
        if wait == 0:
            self._look_ns = asleep
            return before_ns
        if now - asleep - wait > OVERSLEPT_NS:
            self._look_ns = asleep + wait
            return asleep + wait
        return now if now - asleep > WOKEN_NS else before_ns  # what ends a wait has only just come

    def _handle(self, found: list[tuple[selectors.SelectorKey, int]], since_ns: int, until_ns: int) -> None:
        left = self._ready_since
        if self._first or left:
            ready = {key.fd: (key, events) for key, events in found}
            early = [fd for fd in ready if fd in self._first]
            ranks = dict.fromkeys([*early, *left, *ready])
            found = [ready[fd] for fd in ranks if fd in ready]
        self._ready_since = {key.fd: left.get(key.fd, since_ns) for key, _ in found}
        for key, events in found:
            # A callback earlier in this round may have closed or replaced what stands here.
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.data == key.data:
                self._guard("descriptor", key.data, (events,))
            now = self.now_ns()
            unread_ns = now - self._ready_since.pop(key.fd)
            self._longest_unread_ns = max(self._longest_unread_ns, unread_ns)
            if now >= until_ns:
                return

    def _guard(self, where: str, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        try:
            call(*args)
        except Exception as fault:
            self.trouble(where, fault)

    def close(self) -> None:
        self._selector.close()
        if self._wake is not None:
            signal.set_wakeup_fd(-1)
            for end in self._wake:
                os.close(end)
