"""How many starts may be under way at a time, learned from the starts that were."""

from __future__ import annotations

SLOW_FACTOR = 4.0  # a start that takes so many times the average tells of a fleet under pressure
INITIAL_WINDOW = 2.0
AVERAGED_STARTS = 20


class StartLimiter:
    """A window of starts: grows with each start, halves when starts are refused or slow.

    Learned, not set: it doubles until the first sign of pressure, and grows by one a round after it."""

    def __init__(self) -> None:
        self.window = INITIAL_WINDOW
        self.pending = 0  # starts that are under way
        self.mean_ns = 0.0
        self._slow_start_threshold = float("inf")
        self._ignore_pressure_until_ns = 0  # signs of the same moment count once

    def on_started(self, now: int, start_ns: int) -> None:
        """A start took so long."""
        if self.mean_ns and start_ns > SLOW_FACTOR * self.mean_ns:
            self.on_pressure(now)
        else:
            self.window += 1 if self.window < self._slow_start_threshold else 1 / self.window
        if self.mean_ns:
            self.mean_ns += (start_ns - self.mean_ns) / AVERAGED_STARTS
        else:
            self.mean_ns = float(start_ns)

    def on_pressure(self, now: int) -> None:
        if now >= self._ignore_pressure_until_ns:
            self.window = self._slow_start_threshold = max(1.0, self.window / 2)
            self._ignore_pressure_until_ns = now + round(self.mean_ns)

    def may_start(self, terminating: int) -> bool:
        """Whether one more may begin, with so many slots whose old copy is on its way out.  Those whose nodes
        stay silent never take the last place."""
        limit = int(self.window)
        return self.pending + min(terminating, limit - 1) < limit
