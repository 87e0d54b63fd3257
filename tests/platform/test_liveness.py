"""When a machine counts as silent, and what is done before."""

from __future__ import annotations

import pytest

from ladderhub.platform.liveness import ASKED_LEAST_NS, OVER_NS, SILENT_NS, TEST_NS, VISIT_NS, Due, Liveness

MS = 1_000_000


@pytest.mark.parametrize("heard_ns", [0, 100 * MS, 499 * MS, 501 * MS, 999 * MS])
def test_a_silent_machine_is_given_up_within_the_time_that_ends_may_take(heard_ns: int) -> None:
    life = Liveness(heard_ns)
    now, connected = 0, True
    while (due := life.due(now := now + TEST_NS, connected)) is not Due.GIVE_UP:
        if due is not Due.NOTHING:
            life.asked(now)
        connected = connected and due is not Due.RECONNECT
        assert now < OVER_NS + heard_ns
    assert SILENT_NS < now - heard_ns < OVER_NS


def test_a_machine_that_was_never_asked_is_not_silent_however_long_the_pause() -> None:
    life = Liveness(0)
    assert life.due(100 * SILENT_NS, True) is Due.TEST
    assert life.due(100 * SILENT_NS, False) is Due.RECONNECT
    life.asked(100 * SILENT_NS)
    assert life.due(100 * SILENT_NS + ASKED_LEAST_NS - 1, True) is Due.RECONNECT
    assert life.due(100 * SILENT_NS + ASKED_LEAST_NS, True) is Due.GIVE_UP


def test_what_is_heard_settles_what_was_asked() -> None:
    life = Liveness(0)
    life.asked(TEST_NS)
    life.missed = True
    life.heard(2 * TEST_NS)
    assert not life.missed and life.due(2 * TEST_NS + TEST_NS // 2 - 1, True) is Due.NOTHING
    assert life.due(2 * TEST_NS + SILENT_NS + 1, True) is Due.TEST


def test_a_machine_without_a_connection_is_visited_half_way() -> None:
    life = Liveness(0)
    assert life.due(VISIT_NS - 1, False) is Due.NOTHING
    assert life.due(VISIT_NS, False) is Due.RECONNECT
