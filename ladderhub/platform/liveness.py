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
# A machine that was given up is dialled while releases wait for it, so often that it is reached within this
# fraction of its outage.
RETRY_FRACTION = 8
MAX_RETRY_INTERVAL_NS = 10 * S


class LivenessAction(Enum):
    """What to do next about a machine that runs tasks, or has releases to confirm."""

    NOTHING = "it was heard from recently"
    PING = "ping it over an open connection"
    RECONNECT = "its connections may be dead while it is alive: open a new one"
    GIVE_UP = "it was silent for too long: report its tasks as ended before the deadline"
    RETRY = "it was given up, and releases wait for it: dial it again"
    WAIT = "it was given up, and is dialled again later"


class Liveness:
    """Tracks when one machine was last heard from.  All times are the event loop's, in nanoseconds."""

    def __init__(self, now_ns: int) -> None:
        self.last_heard_ns = now_ns
        self.unresponsive = False  # a ping or a dial failed, and it was not heard from since
        # when it was first pinged or dialled since it was last heard from
        self._awaiting_since_ns: int | None = None
        self._last_request_ns = now_ns

    def record_heard(self, now_ns: int) -> None:
        """Record that data arrived from the machine."""
        self.last_heard_ns, self._awaiting_since_ns, self.unresponsive = now_ns, None, False

    def record_request(self, now_ns: int) -> None:
        """Record a ping or a dial.  The time to respond starts now, so an earlier pause does not count."""
        self._last_request_ns = now_ns
        if self._awaiting_since_ns is None:
            self._awaiting_since_ns = now_ns

    def get_silence_ns(self, now_ns: int) -> int:
        """Time since the machine was last heard from."""
        return now_ns - self.last_heard_ns

    def choose_action(self, now_ns: int, connected: bool, has_tasks: bool = True) -> LivenessAction:
        """The next action; without a connection the machine can only be dialled or given up.

        `has_tasks`: tasks run there, as far as is known; otherwise only releases wait for it."""
        quiet_ns, asked_ns = self.get_silence_ns(now_ns), self._awaiting_since_ns
        if quiet_ns > SILENCE_LIMIT_NS and asked_ns is not None and now_ns - asked_ns >= MIN_RESPONSE_TIME_NS:
            return LivenessAction.GIVE_UP if has_tasks else self._choose_retry(now_ns)
        if not connected:
            return LivenessAction.RECONNECT if quiet_ns >= RECONNECT_AFTER_NS else LivenessAction.NOTHING
        if quiet_ns > 2 * PING_INTERVAL_NS and asked_ns is not None:
            return LivenessAction.RECONNECT
        return LivenessAction.PING if quiet_ns >= PING_INTERVAL_NS // 2 else LivenessAction.NOTHING

    def _choose_retry(self, now_ns: int) -> LivenessAction:
        interval_ns = min(self.get_silence_ns(now_ns) // RETRY_FRACTION, MAX_RETRY_INTERVAL_NS)
        is_due = now_ns - self._last_request_ns >= interval_ns
        return LivenessAction.RETRY if is_due else LivenessAction.WAIT
