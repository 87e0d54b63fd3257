"""Decides whether a machine is still alive, from when it was last heard from and when it was pinged."""

from __future__ import annotations

from enum import Enum

S = 1_000_000_000
# The owner must get a release within 8 s after its task ended, also if the machine fell silent.  A machine is
# pinged each second.  Its last message may be up to one ping interval older than the end of the task, and it
# is given up one ping interval before the deadline.
RELEASE_DEADLINE_NS = 8 * S
PING_INTERVAL_NS = 1 * S
SILENCE_LIMIT_NS = RELEASE_DEADLINE_NS - 2 * PING_INTERVAL_NS
# A machine always has this long to respond to the first ping or dial, also after a pause of this process.
MIN_RESPONSE_TIME_NS = 3 * S
# A machine without a connection is dialled after half of the silence limit, which leaves time for retries.
RECONNECT_AFTER_NS = SILENCE_LIMIT_NS // 2


class LivenessAction(Enum):
    """What to do next about a machine that runs tasks."""

    NOTHING = "it was heard from recently"
    PING = "ping it over an open connection"
    RECONNECT = "its connections may be dead while it is alive: open a new one"
    GIVE_UP = "it was silent for too long: report its tasks as ended before the deadline"


class Liveness:
    """Tracks when one machine was last heard from.  All times are the event loop's, in nanoseconds."""

    def __init__(self, now_ns: int) -> None:
        self.last_heard_ns = now_ns
        self.unresponsive = False  # a ping or a dial failed, and it was not heard from since
        # when it was first pinged or dialled since it was last heard from
        self._awaiting_since_ns: int | None = None

    def record_heard(self, now_ns: int) -> None:
        """Record that data arrived from the machine."""
        self.last_heard_ns, self._awaiting_since_ns, self.unresponsive = now_ns, None, False

    def record_request(self, now_ns: int) -> None:
        """Record a ping or a dial.  The time to respond starts now, so an earlier pause does not count."""
        if self._awaiting_since_ns is None:
            self._awaiting_since_ns = now_ns

    def get_silence_ns(self, now_ns: int) -> int:
        """Time since the machine was last heard from."""
        return now_ns - self.last_heard_ns

    def choose_action(self, now_ns: int, connected: bool) -> LivenessAction:
        """The next action; without a connection the machine can only be dialled or given up."""
        quiet_ns, asked_ns = self.get_silence_ns(now_ns), self._awaiting_since_ns
        if quiet_ns > SILENCE_LIMIT_NS and asked_ns is not None and now_ns - asked_ns >= MIN_RESPONSE_TIME_NS:
            return LivenessAction.GIVE_UP
        if not connected:
            return LivenessAction.RECONNECT if quiet_ns >= RECONNECT_AFTER_NS else LivenessAction.NOTHING
        if quiet_ns > 2 * PING_INTERVAL_NS and asked_ns is not None:
            return LivenessAction.RECONNECT
        return LivenessAction.PING if quiet_ns >= PING_INTERVAL_NS // 2 else LivenessAction.NOTHING
