"""Judges updates of services from recorded bytes alone: copies down, surplus, and no copy twice.

Shares nothing with the rollout decisions: offers carry their slot and version, nodes tell ends, and a stop is
what goes to a node.  Attempts are read by the auditor of the five rules.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ladderhub.lab.auditor import Attempt, RecordingReader, read
from ladderhub.lab.auditor.model import GONE
from ladderhub.lab.tap import Record

HEALTH_SLACK_NS = 60_000_000  # the tap sees an acceptance a little later or earlier than the scheduler
CHECKS = ("copies down", "surplus", "no copy twice")


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What an update of a service must keep to; times in nanoseconds."""

    count: int
    down: int
    surplus: int
    healthy_ns: int
    unsafe: bool = False


@dataclass(slots=True)
class RolloutVerdict:
    """What was checked of updates, and each breach in words."""

    checked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(CHECKS, 0))
    breaches: dict[str, list[str]] = field(default_factory=lambda: {check: [] for check in CHECKS})
    max_down: dict[str, int] = field(default_factory=dict)  # by an update's own hand
    max_alive: dict[str, int] = field(default_factory=dict)
    versions: dict[str, dict[str, int]] = field(default_factory=dict)

    def is_good(self) -> bool:
        return not any(self.breaches.values())

    def lines(self) -> list[str]:
        lines = []
        for check in CHECKS:
            found = self.breaches[check]
            word = f"BROKEN {len(found)} times" if found else "kept"
            lines.append(f"{check:<26} {word:<18} checked {self.checked[check]}")
            lines += [f"    {breach}" for breach in found[:5]]
        for name, most in sorted(self.max_alive.items()):
            down = self.max_down.get(name, 0)
            lines.append(f"{name}: at most {down} down by a stop, {most} alive; offers {self.versions[name]}")
        return lines


class _Judge:
    def __init__(
        self, seen: RecordingReader, name: str, limits: ServiceLimits, verdict: RolloutVerdict
    ) -> None:
        self._seen, self._name, self._limits, self._verdict = seen, name, limits, verdict
        self._attempts = [a for a in seen.attempts if a.service == name and a.slot and a.committed_ns >= 0]

    def judge(self) -> None:
        versions: dict[str, int] = {}
        for attempt in self._attempts:
            versions[attempt.version] = versions.get(attempt.version, 0) + 1
        self._verdict.versions[self._name] = versions
        self._verdict.max_alive[self._name] = self._verdict.max_down[self._name] = 0
        self._surplus()
        self._down()
        if self._limits.unsafe:
            self._twice()

    def _breach(self, check: int, text: str) -> None:
        self._verdict.breaches[CHECKS[check]].append(f"{self._name}: {text}")

    def _surplus(self) -> None:
        """At each Commit: all that may be alive, those that were told to end included."""
        most = self._limits.count + self._limits.surplus
        open_ones: list[Attempt] = []
        for attempt in sorted(self._attempts, key=lambda a: a.committed_ns):
            now = attempt.committed_ns
            open_ones = [a for a in open_ones if self._alive(a, now)] + [attempt]
            # A job that is placed again is one copy, whatever became of its earlier run.
            alive = len({a.job for a in open_ones})
            self._verdict.checked[CHECKS[1]] += 1
            self._verdict.max_alive[self._name] = max(self._verdict.max_alive[self._name], alive)
            if alive > most:
                self._breach(1, f"{alive} copies alive as {attempt.job} was sent, {most} are allowed")

    def _alive(self, attempt: Attempt, now: int) -> bool:
        """Not known to be over.  A node that is listed as gone has lost its safe copies; one that is up anew
        has lost all."""
        if 0 <= attempt.over_ns <= now or self._anew(attempt, now):
            return False
        notices = self._seen.notices[attempt.scheduler, attempt.node]
        since = [notice for notice in notices if attempt.offered_ns < notice.at_ns <= now]
        return not (since and since[-1].stage == GONE)

    def _anew(self, attempt: Attempt, now: int) -> bool:
        """Its node came up anew: what ran there before does not run any more."""
        notices = self._seen.notices[attempt.scheduler, attempt.node]
        return any(notice.at_ns <= now and notice.ready_ns > attempt.committed_ns for notice in notices)

    def _healthy(self, attempt: Attempt, now: int) -> bool:
        ready = attempt.known_ns + self._limits.healthy_ns - HEALTH_SLACK_NS <= now
        told_off = 0 <= attempt.stop_ns <= now
        return attempt.known_ns >= 0 and ready and not told_off and self._alive(attempt, now)

    def _down(self) -> None:
        """At each stop of a copy that was healthy: how many slots are left without a healthy one."""
        for attempt in self._attempts:
            now = attempt.stop_ns
            if now < 0 or not self._healthy(attempt, now - 1):
                continue
            self._verdict.checked[CHECKS[0]] += 1
            healthy = {a.slot for a in self._attempts if a.committed_ns < now and self._healthy(a, now)}
            if attempt.slot in healthy:
                continue  # a new copy has taken its place already
            down = self._limits.count - len(healthy)
            self._verdict.max_down[self._name] = max(self._verdict.max_down[self._name], down)
            if down > self._limits.down:
                self._breach(
                    0, f"{down} down after {attempt.job} was told to end, {self._limits.down} allowed"
                )

    def _twice(self) -> None:
        slots: dict[str, list[Attempt]] = {}
        for attempt in sorted(self._attempts, key=lambda a: a.committed_ns):
            for earlier in slots.setdefault(attempt.slot, []):
                self._verdict.checked[CHECKS[2]] += 1
                now = attempt.committed_ns
                if not (0 <= earlier.over_ns <= now or self._anew(earlier, now)):
                    where = f"slot {attempt.slot}: {attempt.job} was sent to {attempt.node}"
                    self._breach(2, f"{where} while {earlier.job} at {earlier.node} was not proven away")
            slots[attempt.slot].append(attempt)


def audit_updates(records: Iterable[Record], services: dict[str, ServiceLimits]) -> RolloutVerdict:
    """Read a recording and judge the services named."""
    seen = read(records)
    verdict = RolloutVerdict()
    for name, limits in services.items():
        _Judge(seen, name, limits, verdict).judge()
    return verdict
