"""When a machine counts as silent, and what is tried before that."""

from __future__ import annotations

import pytest

from ladderhub.platform.liveness import (
    MAX_RETRY_INTERVAL_NS,
    MIN_RESPONSE_TIME_NS,
    PING_INTERVAL_NS,
    RECONNECT_AFTER_NS,
    RELEASE_DEADLINE_NS,
    RETRY_FRACTION,
    SILENCE_LIMIT_NS,
    Liveness,
    LivenessAction,
)

MS = 1_000_000
S = 1_000 * MS


@pytest.mark.parametrize("heard_ns", [0, 100 * MS, 499 * MS, 501 * MS, 999 * MS])
def test_a_silent_machine_is_given_up_before_the_release_deadline(heard_ns: int) -> None:
    liveness = Liveness(heard_ns)
    now, connected = 0, True
    while (
        action := liveness.choose_action(now := now + PING_INTERVAL_NS, connected)
    ) is not LivenessAction.GIVE_UP:
        if action is not LivenessAction.NOTHING:
            liveness.record_request(now)
        connected = connected and action is not LivenessAction.RECONNECT
        assert now < RELEASE_DEADLINE_NS + heard_ns
    assert SILENCE_LIMIT_NS < now - heard_ns < RELEASE_DEADLINE_NS


def test_a_machine_that_was_never_pinged_is_not_silent_however_long_the_pause() -> None:
    liveness = Liveness(0)
    assert liveness.choose_action(100 * SILENCE_LIMIT_NS, True) is LivenessAction.PING
    assert liveness.choose_action(100 * SILENCE_LIMIT_NS, False) is LivenessAction.RECONNECT
    liveness.record_request(100 * SILENCE_LIMIT_NS)
    assert (
        liveness.choose_action(100 * SILENCE_LIMIT_NS + MIN_RESPONSE_TIME_NS - 1, True)
        is LivenessAction.RECONNECT
    )
    assert (
        liveness.choose_action(100 * SILENCE_LIMIT_NS + MIN_RESPONSE_TIME_NS, True) is LivenessAction.GIVE_UP
    )


def test_a_received_message_clears_the_pending_request() -> None:
    liveness = Liveness(0)
    liveness.record_request(PING_INTERVAL_NS)
    liveness.unresponsive = True
    liveness.record_heard(2 * PING_INTERVAL_NS)
    assert (
        not liveness.unresponsive
        and liveness.choose_action(2 * PING_INTERVAL_NS + PING_INTERVAL_NS // 2 - 1, True)
        is LivenessAction.NOTHING
    )
    assert liveness.choose_action(2 * PING_INTERVAL_NS + SILENCE_LIMIT_NS + 1, True) is LivenessAction.PING


def test_a_machine_without_a_connection_is_dialled_after_half_of_the_silence_limit() -> None:
    liveness = Liveness(0)
    assert liveness.choose_action(RECONNECT_AFTER_NS - 1, False) is LivenessAction.NOTHING
    assert liveness.choose_action(RECONNECT_AFTER_NS, False) is LivenessAction.RECONNECT


@pytest.mark.parametrize("outage_ns", [8 * S, 20 * S, 60 * S, 79 * S])
def test_a_machine_that_was_given_up_is_dialled_within_an_eighth_of_its_outage(outage_ns: int) -> None:
    liveness = Liveness(0)
    liveness.record_request(outage_ns - MIN_RESPONSE_TIME_NS)
    liveness.record_request(outage_ns)
    due_ns = outage_ns + outage_ns // RETRY_FRACTION
    assert liveness.choose_action(outage_ns + S // 2, False, has_tasks=False) is LivenessAction.WAIT
    assert liveness.choose_action(due_ns + due_ns // RETRY_FRACTION, False, False) is LivenessAction.RETRY


def test_a_machine_that_was_given_up_is_dialled_at_the_longest_interval_at_last() -> None:
    liveness, outage_ns = Liveness(0), 3600 * S
    liveness.record_request(0)
    liveness.record_request(outage_ns)
    before_ns = outage_ns + MAX_RETRY_INTERVAL_NS - 1
    assert liveness.choose_action(before_ns, False, has_tasks=False) is LivenessAction.WAIT
    assert liveness.choose_action(before_ns + 1, False, has_tasks=False) is LivenessAction.RETRY


def test_a_machine_that_is_heard_again_is_not_given_up_any_more() -> None:
    liveness = Liveness(0)
    liveness.record_request(0)
    assert liveness.choose_action(SILENCE_LIMIT_NS + 1, False, has_tasks=False) is LivenessAction.RETRY
    liveness.record_heard(SILENCE_LIMIT_NS + 2)
    assert liveness.choose_action(SILENCE_LIMIT_NS + 3, True, has_tasks=False) is LivenessAction.NOTHING
