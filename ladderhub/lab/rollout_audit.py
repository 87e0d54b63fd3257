"""Judges updates of services from the recorded bytes alone: copies down, surplus, and no copy twice.

Uses no code of the rollout decisions: slot and version come from the offers, ends from what nodes report, and
stops from the requests to nodes.  Attempts are read by the auditor of the five rules.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ladderhub.lab.auditor import Attempt, RecordingReader, read
from ladderhub.lab.auditor.model import GONE
from ladderhub.lab.tap import Record

HEALTH_SLACK_NS = 60_000_000  # the tap and the scheduler see an acceptance at slightly different times
CHECKS = ("copies down", "surplus", "no copy twice")


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """The limits that an update of a service must keep.  `unsafe`: no slot may have two copies at once."""

    count: int
    down: int
    surplus: int
    healthy_ns: int
    unsafe: bool = False


@dataclass(slots=True)
class RolloutVerdict:
    """Number of checks and descriptions of the breaches, by check; and the extremes of each service."""

    checked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(CHECKS, 0))
    breaches: dict[str, list[str]] = field(default_factory=lambda: {check: [] for check in CHECKS})
    max_down: dict[str, int] = field(default_factory=dict)  # copies down because of stops
    max_alive: dict[str, int] = field(default_factory=dict)
    versions: dict[str, dict[str, int]] = field(default_factory=dict)

    def is_good(self) -> bool:
        """Whether no limit was exceeded."""
        return not any(self.breaches.values())

    def lines(self) -> list[str]:
        """Format the verdict for people."""
        lines = []
        for check in CHECKS:
            breaches = self.breaches[check]
            result = f"BROKEN {len(breaches)} times" if breaches else "kept"
            lines.append(f"{check:<26} {result:<18} checked {self.checked[check]}")
            lines += [f"    {breach}" for breach in breaches[:5]]
        for name, most in sorted(self.max_alive.items()):
            down = self.max_down.get(name, 0)
            lines.append(f"{name}: at most {down} down by a stop, {most} alive; offers {self.versions[name]}")
        return lines


class _Judge:
    """Judges the updates of one service."""

    def __init__(
        self, recording: RecordingReader, name: str, limits: ServiceLimits, verdict: RolloutVerdict
    ) -> None:
        self._recording, self._name, self._limits, self._verdict = recording, name, limits, verdict
        self._attempts = [
            a for a in recording.attempts if a.service == name and a.slot and a.committed_ns >= 0
        ]

    def judge(self) -> None:
        versions: dict[str, int] = {}
        for attempt in self._attempts:
            versions[attempt.version] = versions.get(attempt.version, 0) + 1
        self._verdict.versions[self._name] = versions
        self._verdict.max_alive[self._name] = self._verdict.max_down[self._name] = 0
        self._judge_surplus()
        self._judge_down()
        if self._limits.unsafe:
            self._judge_duplicates()

    def _add_breach(self, check: int, text: str) -> None:
        self._verdict.breaches[CHECKS[check]].append(f"{self._name}: {text}")

    def _judge_surplus(self) -> None:
        """At each Commit, check how many copies may be alive, including those that were told to end."""
        most = self._limits.count + self._limits.surplus
        open_attempts: list[Attempt] = []
        for attempt in sorted(self._attempts, key=lambda a: a.committed_ns):
            now = attempt.committed_ns
            open_attempts = [a for a in open_attempts if self._is_alive(a, now)] + [attempt]
            # A job that is placed again counts as one copy, even if its earlier run may be alive.
            alive = len({a.job for a in open_attempts})
            self._verdict.checked[CHECKS[1]] += 1
            self._verdict.max_alive[self._name] = max(self._verdict.max_alive[self._name], alive)
            if alive > most:
                self._add_breach(1, f"{alive} copies alive as {attempt.job} was sent, {most} are allowed")

    def _is_alive(self, attempt: Attempt, now: int) -> bool:
        """Whether the attempt may be alive: no end is known, and its node neither restarted nor is listed as
        gone.  A listing as gone is no proof for unsafe copies, so `_judge_duplicates` does not accept it."""
        if 0 <= attempt.over_ns <= now or self._has_node_restarted(attempt, now):
            return False
        notices = self._recording.notices[attempt.scheduler, attempt.node]
        since = [notice for notice in notices if attempt.offered_ns < notice.at_ns <= now]
        return not (since and since[-1].stage == GONE)

    def _has_node_restarted(self, attempt: Attempt, now: int) -> bool:
        """Whether the attempt's node restarted since; what ran there before no longer runs."""
        notices = self._recording.notices[attempt.scheduler, attempt.node]
        return any(notice.at_ns <= now and notice.ready_ns > attempt.committed_ns for notice in notices)

    def _is_healthy(self, attempt: Attempt, now: int) -> bool:
        ready = attempt.known_ns + self._limits.healthy_ns - HEALTH_SLACK_NS <= now
        stopped = 0 <= attempt.stop_ns <= now
        return attempt.known_ns >= 0 and ready and not stopped and self._is_alive(attempt, now)

    def _judge_down(self) -> None:
        """At each stop of a healthy copy, check how many slots have no healthy copy afterwards."""
        for attempt in self._attempts:
            now = attempt.stop_ns
            if now < 0 or not self._is_healthy(attempt, now - 1):
                continue
            self._verdict.checked[CHECKS[0]] += 1
            healthy = {a.slot for a in self._attempts if a.committed_ns < now and self._is_healthy(a, now)}
            if attempt.slot in healthy:
                continue  # the slot has another healthy copy
            down = self._limits.count - len(healthy)
            self._verdict.max_down[self._name] = max(self._verdict.max_down[self._name], down)
            if down > self._limits.down:
                self._add_breach(
                    0, f"{down} down after {attempt.job} was told to end, {self._limits.down} allowed"
                )

    def _judge_duplicates(self) -> None:
        """Check that a copy of a slot is sent only after its earlier ones have provably ended."""
        slots: dict[str, list[Attempt]] = {}
        for attempt in sorted(self._attempts, key=lambda a: a.committed_ns):
            for earlier in slots.setdefault(attempt.slot, []):
                self._verdict.checked[CHECKS[2]] += 1
                now = attempt.committed_ns
                if not (0 <= earlier.over_ns <= now or self._has_node_restarted(earlier, now)):
                    where = f"slot {attempt.slot}: {attempt.job} was sent to {attempt.node}"
                    self._add_breach(2, f"{where} while {earlier.job} at {earlier.node} was not proven away")
            slots[attempt.slot].append(attempt)


def audit_updates(records: Iterable[Record], services: dict[str, ServiceLimits]) -> RolloutVerdict:
    """Read a recording and judge the updates of the given services."""
    recording = read(records)
    verdict = RolloutVerdict()
    for name, limits in services.items():
        _Judge(recording, name, limits, verdict).judge()
    return verdict
