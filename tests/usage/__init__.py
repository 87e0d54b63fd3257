"""Tests of the resource accounting, and the bounded wait that they share."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop

MS, S = 1_000_000, 1_000_000_000


def until(loop: Loop, done: Callable[[], object]) -> None:
    """Run the loop until `done()`; AssertionError after 20 seconds."""
    end = loop.now_ns() + 20 * S
    while not done():
        assert loop.now_ns() < end, "the awaited condition did not come true"
        loop.run_once(MS)
