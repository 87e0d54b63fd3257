"""Tests of the accounts, and the bounded wait that they share."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop

MS, S = 1_000_000, 1_000_000_000


def until(loop: Loop, done: Callable[[], object]) -> None:
    """Turn the loop until `done`; AssertionError where it does not come about."""
    end = loop.now_ns() + 20 * S
    while not done():
        assert loop.now_ns() < end, "what the test waits for did not come about"
        loop.turn(MS)
