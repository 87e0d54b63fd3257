"""When a machine counts as silent, and what is done before."""

from __future__ import annotations

import pytest

from ladderhub.platform.liveness import (
    MIN_RESPONSE_TIME_NS,
    PING_INTERVAL_NS,
    RECONNECT_AFTER_NS,
    RELEASE_DEADLINE_NS,
    SILENCE_LIMIT_NS,
    Liveness,
    LivenessAction,
)

MS = 1_000_000


@pytest.mark.parametrize("heard_ns", [0, 100 * MS, 499 * MS, 501 * MS, 999 * MS])
def test_a_silent_machine_is_given_up_within_the_time_that_ends_may_take(heard_ns: int) -> None:
    life = Liveness(heard_ns)
    now, connected = 0, True
    while (due := life.choose_action(now := now + PING_INTERVAL_NS, connected)) is not LivenessAction.GIVE_UP:
        if due is not LivenessAction.NOTHING:
            life.record_request(now)
        connected = connected and due is not LivenessAction.RECONNECT
        assert now < RELEASE_DEADLINE_NS + heard_ns
    assert SILENCE_LIMIT_NS < now - heard_ns < RELEASE_DEADLINE_NS


def test_a_machine_that_was_never_asked_is_not_silent_however_long_the_pause() -> None:
    life = Liveness(0)
    assert life.choose_action(100 * SILENCE_LIMIT_NS, True) is LivenessAction.PING
    assert life.choose_action(100 * SILENCE_LIMIT_NS, False) is LivenessAction.RECONNECT
    life.record_request(100 * SILENCE_LIMIT_NS)
    assert (
        life.choose_action(100 * SILENCE_LIMIT_NS + MIN_RESPONSE_TIME_NS - 1, True)
        is LivenessAction.RECONNECT
    )
    assert life.choose_action(100 * SILENCE_LIMIT_NS + MIN_RESPONSE_TIME_NS, True) is LivenessAction.GIVE_UP


def test_what_is_heard_settles_what_was_asked() -> None:
    life = Liveness(0)
    life.record_request(PING_INTERVAL_NS)
    life.unresponsive = True
    life.record_heard(2 * PING_INTERVAL_NS)
    assert (
        not life.unresponsive
        and life.choose_action(2 * PING_INTERVAL_NS + PING_INTERVAL_NS // 2 - 1, True)
        is LivenessAction.NOTHING
    )
    assert life.choose_action(2 * PING_INTERVAL_NS + SILENCE_LIMIT_NS + 1, True) is LivenessAction.PING


def test_a_machine_without_a_connection_is_visited_half_way() -> None:
    life = Liveness(0)
    assert life.choose_action(RECONNECT_AFTER_NS - 1, False) is LivenessAction.NOTHING
    assert life.choose_action(RECONNECT_AFTER_NS, False) is LivenessAction.RECONNECT
