"""The event loop: runs the callbacks of ready descriptors and due timers, and survives their exceptions."""

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
# After this time a round leaves the remaining ready descriptors to the next one, so that a flood delays
# neither timers nor priority descriptors.
MAX_ROUND_NS = 10_000_000
# If a poll overruns its time-out by more than this, the process was paused or had no processor.
STALL_NS = 5_000_000
Trouble = Callable[[str, BaseException], None]  # gets the kind of callback that failed, and its exception


class Timer:
    """A call at a given time.

    A cancelled timer is only marked.  It leaves the heap when it reaches the top, or when most timers in the
    heap are cancelled."""

    __slots__ = ("_loop", "args", "at_ns", "call")

    def __init__(self, loop: Loop, at_ns: int, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self._loop, self.at_ns = loop, at_ns
        self.call: Callable[..., object] | None = call
        self.args = args

    def cancel(self) -> None:
        """Prevent the call; no effect if it has already run."""
        if self.call is not None:
            self.call, self.args = None, ()
            self._loop._count_cancelled()


class Loop:
    """A single-threaded event loop on one selector.

    The exception of a callback is passed to `trouble` and the loop goes on; a stream also closes its
    connection."""

    def __init__(self, clock: Clock | None = None, trouble: Trouble | None = None) -> None:
        self.clock = clock or SteadyClock()
        self.trouble: Trouble = trouble or (lambda where, fault: None)
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[int, int, Timer]] = []
        self._timers_created = self._cancelled_timers = 0
        self._soon: deque[tuple[Callable[..., object], tuple[Any, ...]]] = deque()
        self._running = False
        self._signals: dict[int, Callable[[], object]] = {}
        self._wakeup_pipe: tuple[int, int] | None = None
        self._priority_fds: set[int] = set()
        self._ready_since: dict[int, int] = {}  # by postponed descriptor: earliest arrival of its data
        self._calls_after_reading: list[tuple[int, Callable[..., object], tuple[Any, ...]]] = []
        self.rounds = 0  # started so far
        self._last_poll_ns = self.now_ns()  # what arrived earlier has been polled
        self._last_round_ns = self._longest_round_ns = self._longest_unread_ns = 0

    def now_ns(self) -> int:
        return self.clock.now_ns()

    # --- timers -----------------------------------------------------------------------------------------

    def call_at(self, at_ns: int, call: Callable[..., object], *args: Any) -> Timer:
        """Call once the clock has reached `at_ns`."""
        timer = Timer(self, at_ns, call, args)
        self._timers_created += 1
        heapq.heappush(self._timers, (at_ns, self._timers_created, timer))
        return timer

    def call_later(self, span_ns: int, call: Callable[..., object], *args: Any) -> Timer:
        """Call after `span_ns`."""
        return self.call_at(self.now_ns() + span_ns, call, *args)

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        """Call at the end of this round, or of the next one if called by such a callback."""
        self._soon.append((call, args))

    def unread_ns(self) -> int:
        """Longest time for which data on postponed descriptors may have waited; 0 if none is postponed."""
        return self.now_ns() - min(self._ready_since.values()) if self._ready_since else 0

    def call_when_read(self, fd: int, call: Callable[..., object], *args: Any) -> None:
        """Call after everything that is ready on this descriptor by now has been handled.

        Handlers of time-outs use it, because the peer's message may have arrived and still be unread."""
        self._calls_after_reading.append((fd, call, args))

    def _count_cancelled(self) -> None:
        self._cancelled_timers += 1
        if self._cancelled_timers > 1000 and self._cancelled_timers * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def pending_timers(self) -> int:
        """Number of timers that have neither run nor been cancelled."""
        return len(self._timers) - self._cancelled_timers

    # --- descriptors ------------------------------------------------------------------------------------

    def watch(self, fd: int, events: int, call: Callable[[int], object], first: bool = False) -> None:
        """Call with the ready events of a descriptor.  Watching it again replaces events and callback; no
        events end it.  A descriptor with `first` is handled before the others in each round."""
        if fd < 0:
            return
        known = fd in self._selector.get_map()
        (self._priority_fds.add if first and events else self._priority_fds.discard)(fd)
        if not events:
            if known:
                self._selector.unregister(fd)
        elif known:
            self._selector.modify(fd, events, call)
        else:
            self._selector.register(fd, events, call)

    def earliest_arrival_ns(self, fd: int) -> int:
        """Earliest time at which data that is read now can have arrived, if all earlier data was read."""
        return self._ready_since.get(fd, self._last_poll_ns)

    def take_longest_ns(self) -> tuple[int, int]:
        """Return and reset two maxima in nanoseconds: the duration of a round without its poll, and the time
        for which data may have been unread."""
        longest = self._longest_round_ns, self._longest_unread_ns
        self._longest_round_ns = self._longest_unread_ns = 0
        return longest

    # --- signals and children ---------------------------------------------------------------------------

    def on_signal(self, number: int, call: Callable[[], object]) -> None:
        """Handle a signal.  Signals arrive as bytes on a wake-up pipe, so handlers run between callbacks."""
        if self._wakeup_pipe is None:
            self._wakeup_pipe = os.pipe()
            for end in self._wakeup_pipe:
                os.set_blocking(end, False)
            signal.set_wakeup_fd(self._wakeup_pipe[1], warn_on_full_buffer=False)
            self.watch(self._wakeup_pipe[0], READ, self._read_signals, first=True)
        self._signals[number] = call
        signal.signal(number, lambda *_: None)

    def ignore_signals(self) -> None:
        """Ignore the handled signals from now on.  Otherwise the interpreter would restore their default
        action, which ends the process, while it shuts down."""
        for number in self._signals:
            signal.signal(number, signal.SIG_IGN)

    def _read_signals(self, _: int) -> None:
        assert self._wakeup_pipe is not None
        try:
            numbers = os.read(self._wakeup_pipe[0], 256)
        except BlockingIOError:
            return
        for number in numbers:
            if number in self._signals:
                self._call_and_report("signal", self._signals[number], ())

    def spawn(
        self, argv: Sequence[str], on_exit: Callable[[int], object], **options: Any
    ) -> subprocess.Popen[bytes]:
        """Start a child process; OSError if that fails.  `on_exit` gets its exit status, negative for a
        signal."""
        child = subprocess.Popen(list(argv), **options)
        pidfd = os.pidfd_open(child.pid)

        def reap(_: int) -> None:
            self.watch(pidfd, 0, reap)
            os.close(pidfd)
            on_exit(child.wait())

        self.watch(pidfd, READ, reap)
        return child

    # --- running ----------------------------------------------------------------------------------------

    def run(self) -> None:
        """Run rounds until `stop` is called."""
        self._running = True
        while self._running:
            self.run_once()

    def stop(self) -> None:
        """Make `run` return after the current round."""
        self._running = False

    def run_once(self, max_wait_ns: int = IDLE_WAIT_NS) -> None:
        """Run one round: poll for at most `max_wait_ns`, handle ready descriptors until the round's time is
        up, then run due timers, then the calls of `call_soon`."""
        self.rounds += 1
        wait_ns = max_wait_ns
        calls_after_reading, self._calls_after_reading = self._calls_after_reading, []
        if self._soon or self._ready_since or calls_after_reading or self._last_round_ns > MAX_ROUND_NS:
            wait_ns = 0  # data that arrived in a long round must not seem to end a blocking poll
        elif self._timers:
            wait_ns = min(wait_ns, max(0, self._timers[0][0] - self.now_ns()))
        poll_start_ns = self.now_ns()
        # First without waiting: how long a poll took does not tell whether it waited, as one that finds much
        # takes long too.
        ready_events = self._selector.select(0)
        if ready_events:
            wait_ns = 0
        elif wait_ns:
            ready_events = self._selector.select(wait_ns / 1e9)
        now = began_ns = self.now_ns()
        self._handle_ready(ready_events, self._record_poll(poll_start_ns, wait_ns, now), now + MAX_ROUND_NS)
        for fd, call, args in calls_after_reading:
            if fd in self._ready_since:
                self._calls_after_reading.append((fd, call, args))
            else:
                self._call_and_report("span", call, args)
        now = self.now_ns()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call is None:
                self._cancelled_timers -= 1
                continue
            call, args = timer.call, timer.args
            timer.call = None
            self._call_and_report("timer", call, args)
        for _ in range(len(self._soon)):
            call, args = self._soon.popleft()
            self._call_and_report("soon", call, args)
        self._last_round_ns = self.now_ns() - began_ns
        self._longest_round_ns = max(self._longest_round_ns, self._last_round_ns)

    def _record_poll(self, poll_start_ns: int, wait_ns: int, now: int) -> int:
        """Record a poll with time-out `wait_ns`, 0 if it found something without waiting; return the earliest
        time at which its data can have come.

        The process may have been paused during the poll, which shows only if the poll overran its time-out.
        Such a poll may end without a last check, so that the next one finds data which came meanwhile."""
        previous_poll_ns, self._last_poll_ns = self._last_poll_ns, now
        if wait_ns == 0:
            self._last_poll_ns = poll_start_ns
            return previous_poll_ns
        if now - poll_start_ns - wait_ns > STALL_NS:
            self._last_poll_ns = poll_start_ns + wait_ns
            return poll_start_ns + wait_ns
        # Nothing was there when the poll began, and data that ends its wait has just arrived.
        return now

    def _handle_ready(
        self, ready_events: list[tuple[selectors.SelectorKey, int]], since_ns: int, until_ns: int
    ) -> None:
        postponed = self._ready_since
        if self._priority_fds or postponed:
            ready = {key.fd: (key, events) for key, events in ready_events}
            priority_fds = [fd for fd in ready if fd in self._priority_fds]
            ordered_fds = dict.fromkeys([*priority_fds, *postponed, *ready])
            ready_events = [ready[fd] for fd in ordered_fds if fd in ready]
        self._ready_since = {key.fd: postponed.get(key.fd, since_ns) for key, _ in ready_events}
        for key, events in ready_events:
            # An earlier callback in this round may have closed the descriptor or replaced its callback.
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.data == key.data:
                self._call_and_report("descriptor", key.data, (events,))
            now = self.now_ns()
            unread_ns = now - self._ready_since.pop(key.fd)
            self._longest_unread_ns = max(self._longest_unread_ns, unread_ns)
            if now >= until_ns:
                return

    def _call_and_report(self, where: str, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        try:
            call(*args)
        except Exception as fault:
            self.trouble(where, fault)

    def close(self) -> None:
        self._selector.close()
        if self._wakeup_pipe is not None:
            signal.set_wakeup_fd(-1)
            for end in self._wakeup_pipe:
                os.close(end)
