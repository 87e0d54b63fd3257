"""Whether a machine is still there, judged by what was heard of it and by what it was asked."""

from __future__ import annotations

from enum import Enum

S = 1_000_000_000
# A task that is over must be released within 8 s of its end, also where its machine fell silent.  A machine
# that says nothing is tested each second; it was last heard up to a test before the end, and is given up a
# test before the time is over.
RELEASE_DEADLINE_NS = 8 * S
PING_INTERVAL_NS = 1 * S
SILENCE_LIMIT_NS = RELEASE_DEADLINE_NS - 2 * PING_INTERVAL_NS
MIN_RESPONSE_TIME_NS = 3 * S  # and it must have had so long to answer, also where this process stood still
# A machine without a connection is visited when half of that time has passed: enough tries are left.
RECONNECT_AFTER_NS = SILENCE_LIMIT_NS // 2


class LivenessAction(Enum):
    """What to do about a machine where tasks stand."""

    NOTHING = "heard a moment ago"
    PING = "test it over a connection"
    RECONNECT = "its connections may be dead where it is not: only new ones tell"
    GIVE_UP = "it is silent: its tasks can't be told of in time"


class Liveness:
    """Times are the loop's, in nanoseconds."""

    def __init__(self, now_ns: int) -> None:
        self.last_heard_ns = now_ns
        self.unresponsive = False  # a test or a dial came to nothing, and it was not heard since
        self._awaiting_since_ns: int | None = None  # when it was first asked since it was last heard

    def record_heard(self, now_ns: int) -> None:
        """It said something."""
        self.last_heard_ns, self._awaiting_since_ns, self.unresponsive = now_ns, None, False

    def record_request(self, now_ns: int) -> None:
        """It was tested or dialled: silence counts from here, not from a pause of this process."""
        if self._awaiting_since_ns is None:
            self._awaiting_since_ns = now_ns

    def get_silence_ns(self, now_ns: int) -> int:
        """For how long nothing was heard of it."""
        return now_ns - self.last_heard_ns

    def choose_action(self, now_ns: int, connected: bool) -> LivenessAction:
        """What is due now; without a connection there is none to test or to replace."""
        quiet_ns, asked_ns = self.get_silence_ns(now_ns), self._awaiting_since_ns
        if quiet_ns > SILENCE_LIMIT_NS and asked_ns is not None and now_ns - asked_ns >= MIN_RESPONSE_TIME_NS:
            return LivenessAction.GIVE_UP
        if not connected:
            return LivenessAction.RECONNECT if quiet_ns >= RECONNECT_AFTER_NS else LivenessAction.NOTHING
        if quiet_ns > 2 * PING_INTERVAL_NS and asked_ns is not None:
            return LivenessAction.RECONNECT
        return LivenessAction.PING if quiet_ns >= PING_INTERVAL_NS // 2 else LivenessAction.NOTHING
