"""Whether a machine is still there, judged by what was heard of it and by what it was asked."""

from __future__ import annotations

from enum import Enum

S = 1_000_000_000
# A task that is over must be released within 8 s of its end, also where its machine fell silent.  A machine
# that says nothing is tested each second; it was last heard up to a test before the end, and is given up a
# test before the time is over.
OVER_NS = 8 * S
TEST_NS = 1 * S
SILENT_NS = OVER_NS - 2 * TEST_NS
ASKED_LEAST_NS = 3 * S  # and it must have had so long to answer, also where this process stood still
# A machine without a connection is visited when half of that time has passed: enough tries are left.
VISIT_NS = SILENT_NS // 2


class Due(Enum):
    """What to do about a machine where tasks stand."""

    NOTHING = "heard a moment ago"
    TEST = "test it over a connection"
    RECONNECT = "its connections may be dead where it is not: only new ones tell"
    GIVE_UP = "it is silent: its tasks can't be told of in time"


class Liveness:
    """Times are the loop's, in nanoseconds."""

    def __init__(self, now_ns: int) -> None:
        self.heard_ns = now_ns
        self.missed = False  # a test or a dial came to nothing, and it was not heard since
        self._asked_ns: int | None = None  # when it was first asked since it was last heard

    def heard(self, now_ns: int) -> None:
        """It said something."""
        self.heard_ns, self._asked_ns, self.missed = now_ns, None, False

    def asked(self, now_ns: int) -> None:
        """It was tested or dialled: silence counts from here, not from a pause of this process."""
        if self._asked_ns is None:
            self._asked_ns = now_ns

    def quiet_ns(self, now_ns: int) -> int:
        """For how long nothing was heard of it."""
        return now_ns - self.heard_ns

    def due(self, now_ns: int, connected: bool) -> Due:
        """What is due now; without a connection there is none to test or to replace."""
        quiet_ns, asked_ns = self.quiet_ns(now_ns), self._asked_ns
        if quiet_ns > SILENT_NS and asked_ns is not None and now_ns - asked_ns >= ASKED_LEAST_NS:
            return Due.GIVE_UP
        if not connected:
            return Due.RECONNECT if quiet_ns >= VISIT_NS else Due.NOTHING
        if quiet_ns > 2 * TEST_NS and asked_ns is not None:
            return Due.RECONNECT
        return Due.TEST if quiet_ns >= TEST_NS // 2 else Due.NOTHING
