"""Limit on concurrent starts, learned from earlier starts."""

from __future__ import annotations

SLOW_FACTOR = 4.0  # a start that takes longer than this many times the mean is a sign of overload
INITIAL_WINDOW = 2.0
AVERAGED_STARTS = 20


class StartLimiter:
    """A window of concurrent starts that grows with each start and halves when a start is refused or slow.

    The window adapts like a TCP congestion window: it doubles per round until the first sign of overload, and
    grows by one per round from then on."""

    def __init__(self) -> None:
        self.window = INITIAL_WINDOW
        self.pending = 0  # starts in progress
        self.mean_start_ns = 0.0
        self._slow_start_threshold = float("inf")
        self._ignore_pressure_until_ns = 0  # signs of the same overload halve the window once

    def on_started(self, now: int, start_ns: int) -> None:
        """Record a start that took `start_ns`."""
        if self.mean_start_ns and start_ns > SLOW_FACTOR * self.mean_start_ns:
            self.on_pressure(now)
        else:
            self.window += 1 if self.window < self._slow_start_threshold else 1 / self.window
        if self.mean_start_ns:
            self.mean_start_ns += (start_ns - self.mean_start_ns) / AVERAGED_STARTS
        else:
            self.mean_start_ns = float(start_ns)

    def on_pressure(self, now: int) -> None:
        """Halve the window after a sign of overload, at most once per mean start time."""
        if now >= self._ignore_pressure_until_ns:
            self.window = self._slow_start_threshold = max(1.0, self.window / 2)
            self._ignore_pressure_until_ns = now + round(self.mean_start_ns)

    def may_start(self, terminating: int) -> bool:
        """Whether another start may begin while the old copies of `terminating` slots are stopping.  Such
        slots never take the last place in the window, since their nodes may not answer."""
        limit = int(self.window)
        return self.pending + min(terminating, limit - 1) < limit
