"""The share of time that a busy process spends on placing queued set-ups."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ladderhub.platform.placing import Placer

MS = 1_000_000
S = 1_000 * MS


class BusyLoop:
    """An event loop with long rounds that always has unread data."""

    def __init__(self) -> None:
        self.now = 0
        self.calls: list[Callable[[], object]] = []

    def now_ns(self) -> int:
        return self.now

    def unread_ns(self) -> int:
        return S

    def call_soon(self, call: Callable[[], object]) -> None:
        self.calls.append(call)

    def run_once(self, span_ns: int) -> None:
        self.now += span_ns
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class FakeSetup:
    def __init__(self, number: int) -> None:
        self.owner, self.until_ns, self.queued = number % 3, 100 * S, True

    def is_waiting(self) -> bool:
        return self.queued


def count_placed_in_a_second(round_ns: int, place_ns: int) -> int:
    loop: Any = BusyLoop()
    placed: list[FakeSetup] = []

    def place(each: Any) -> None:
        loop.now += place_ns
        each.queued = False
        placed.append(each)

    placing = Placer(loop, 0, place)
    for number in range(1000):
        each: Any = FakeSetup(number)
        assert placing.add(each)
    while loop.now < S:
        loop.run_once(round_ns)
    return len(placed)


def test_with_unread_data_most_time_goes_to_reading_and_the_rest_to_placing() -> None:
    # Guards against reading or placing starving the other.
    assert 10 <= count_placed_in_a_second(10 * MS, 10 * MS) <= 25
    assert count_placed_in_a_second(200 * MS, 10 * MS) >= 5
