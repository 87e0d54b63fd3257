"""Checks the five rules against what was read from a recording."""

from __future__ import annotations

from collections import defaultdict, deque

from ladderhub.lab.auditor.model import (
    GONE,
    NEVER_NS,
    PLACED,
    SERVING,
    Answer,
    Attempt,
    AuditRules,
    ObservedJob,
    QueueRules,
    Rule,
    Verdict,
)
from ladderhub.lab.auditor.reader import RecordingReader

MS, S = 1_000_000, 1_000_000_000
CLOSE_SLACK_NS = 300 * MS  # the tap may record a close after bytes that were sent because of it
ANSWER_SLACK_NS = 1_500 * MS  # an answer is recorded only when a client asks for it
GRACE_SLACK_NS = 50 * MS


class Judge:
    """Judges one recording; call `judge` once."""

    def __init__(self, recording: RecordingReader, rules: AuditRules) -> None:
        self._recording, self._rules = recording, rules
        self._verdict = Verdict(accepted=len(recording.jobs), parse_errors=recording.parse_errors)

    def judge(self) -> Verdict:
        """Check all rules and return the verdict."""
        for job in self._recording.jobs.values():
            self._judge_answers(job)
        self._judge_effects()
        for attempt in self._recording.attempts:
            self._judge_drain(attempt)
        self._judge_cold_nodes()
        self._judge_spread()
        return self._verdict

    def _count_checks(self, rule: Rule, count: int = 1) -> None:
        self._verdict.checked[rule] += count

    def _add_breach(self, rule: Rule, text: str) -> None:
        self._verdict.breaches[rule].append(text)

    # --- one answer in time -------------------------------------------------------------------------------

    def _judge_answers(self, job: ObservedJob) -> None:
        """Check that an accepted job gets one final answer within its queue's limit, and nothing after it."""
        self._count_checks(Rule.ANSWER)
        first = _find_first_answer(job)
        limit_ns = self._rules.queues[job.queue].limit_ns
        start_ns = max(job.accepted_ns, job.released_ns)
        last_ns = start_ns + limit_ns + ANSWER_SLACK_NS
        # The last acknowledgement of a killed scheduler may be recorded just after the note of its end.
        killed = [
            at for at in self._recording.killed[job.scheduler] if at >= job.accepted_ns - CLOSE_SLACK_NS
        ]
        if first is None or (killed and first.at_ns > killed[0]):
            if killed and killed[0] < last_ns:
                self._verdict.lost_with_scheduler += 1
            elif job.released_ns < NEVER_NS and self._recording.last_ns > last_ns:
                self._add_breach(Rule.ANSWER, f"{job.job}: taken and never answered")
            return
        self._verdict.answers[first.outcome] = self._verdict.answers.get(first.outcome, 0) + 1
        if first.at_ns > last_ns:
            late = f"after {(first.at_ns - start_ns) / S:.2f} s, limit {limit_ns / S:g} s"
            self._add_breach(Rule.ANSWER, f"{job.job}: answered {first.outcome} {late}")
        self._judge_final_answers(job)

    def _judge_final_answers(self, job: ObservedJob) -> None:
        finals = [answer for answer in job.answers if answer.outcome != PLACED]
        if len({answer.outcome for answer in finals}) > 1:
            outcomes = " and ".join(answer.outcome for answer in finals)
            self._add_breach(Rule.ANSWER, f"{job.job}: answered {outcomes}")
        for answer in finals:
            after = [attempt for attempt in job.attempts if attempt.offered_ns > answer.at_ns]
            if after:
                where = f"offered to {after[0].node} after it was answered {answer.outcome}"
                self._add_breach(Rule.ANSWER, f"{job.job}: {where}")
            if any(other.at_ns > answer.at_ns and other.outcome == PLACED for other in job.answers):
                self._add_breach(Rule.ANSWER, f"{job.job}: answered {answer.outcome} and then placed")

    # --- no effect twice ----------------------------------------------------------------------------------

    def _judge_effects(self) -> None:
        """Check that a job is committed again only while no other attempt of it can take effect.

        The earlier attempt must be proven over or given up.  If it is only given up, an unsafe job must not
        be sent again at all, and a keyed one only while its repeats are discarded."""
        by_job: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self._recording.attempts:
            if attempt.committed_ns >= 0:
                by_job[attempt.job].append(attempt)
        for attempts in by_job.values():
            attempts.sort(key=lambda attempt: attempt.committed_ns)
            rules = self._rules.queues[attempts[0].queue]
            self._count_checks(Rule.EFFECT, len(attempts))
            for index, later in enumerate(attempts):
                for earlier in attempts[:index]:
                    self._judge_pair(rules, earlier, later)

    def _judge_pair(self, rules: QueueRules, earlier: Attempt, later: Attempt) -> None:
        at_ns = later.committed_ns
        proven = 0 <= earlier.over_ns <= at_ns
        where = f"{later.job}: run {later.run} at {later.node} while run {earlier.run} at {earlier.node}"
        if not proven and not self._was_given_up(earlier, later):
            self._add_breach(Rule.EFFECT, f"{where} was still out")
        elif rules.effect == "unsafe" and not proven:
            self._add_breach(Rule.EFFECT, f"{where} was not proven away")
        elif rules.effect == "keyed" and not proven and at_ns > earlier.committed_ns + rules.window_ns:
            self._add_breach(Rule.EFFECT, f"{where} may have run, and repeats are no longer discarded")

    def _was_given_up(self, earlier: Attempt, later: Attempt) -> bool:
        """Whether the earlier attempt was given up when the later one was committed.

        One that its node accepted is given up only if that node was told to end it or is listed as gone."""
        at_ns = later.committed_ns
        if not 0 <= earlier.accepted_ns <= at_ns:
            return earlier.closed_ns >= 0 and earlier.closed_ns - CLOSE_SLACK_NS <= at_ns
        gone = any(
            earlier.offered_ns < notice.at_ns <= at_ns and notice.stage == GONE
            for notice in self._recording.notices[later.scheduler, earlier.node]
        )
        return gone or 0 <= earlier.stop_ns - CLOSE_SLACK_NS <= at_ns

    # --- drains kept --------------------------------------------------------------------------------------

    def _judge_drain(self, attempt: Attempt) -> None:
        """Check that a scheduler sends no offer later than the grace after it learned that the node drains or
        is gone."""
        self._count_checks(Rule.DRAIN)
        since_ns = -1  # time of the first of the uninterrupted notices that the node drains or is gone
        for notice in self._recording.notices[attempt.scheduler, attempt.node]:
            if notice.at_ns > attempt.offered_ns:
                break
            if notice.stage == SERVING:
                since_ns = -1
            elif since_ns < 0:
                since_ns = notice.at_ns
        if since_ns >= 0 and attempt.offered_ns > since_ns + self._rules.drain_grace_ns + GRACE_SLACK_NS:
            late_ms = (attempt.offered_ns - since_ns) / MS
            text = f"offered to {attempt.node} {late_ms:.0f} ms after it was told off"
            self._add_breach(Rule.DRAIN, f"{attempt.job}: {text}")

    # --- no cold node pushed over -------------------------------------------------------------------------

    def _judge_cold_nodes(self) -> None:
        """Check that a freshly started node gets no more offers than any node can take.

        Only offers of schedulers that had been told of its start count."""
        offers: dict[tuple[str, int], list[int]] = defaultdict(list)  # by node and its start time
        for attempt in self._recording.attempts:
            notices = self._recording.notices[attempt.scheduler, attempt.node]
            known = [notice for notice in notices if notice.at_ns <= attempt.offered_ns]
            if known and 0 <= attempt.offered_ns - known[-1].ready_ns <= self._rules.cold_span_ns:
                offers[attempt.node, known[-1].ready_ns].append(attempt.offered_ns)
        for (node, _), times in offers.items():
            self._count_checks(Rule.COLD, len(times))
            self._judge_cold_offers(node, sorted(times))

    def _judge_cold_offers(self, node: str, times: list[int]) -> None:
        window: deque[int] = deque()
        for at_ns in times:
            window.append(at_ns)
            while window[0] <= at_ns - self._rules.cold_window_ns:
                window.popleft()
            if len(window) > self._rules.cold_safe:
                self._add_breach(Rule.COLD, f"{node}: {len(window)} offers in one window while cold")
                return

    # --- spread kept --------------------------------------------------------------------------------------

    def _judge_spread(self) -> None:
        """Check that a scheduler has at most `spread_most` open attempts of one service in one rack."""
        held: dict[tuple[str, str, str], list[Attempt]] = defaultdict(list)
        for attempt in sorted(self._recording.attempts, key=lambda each: each.offered_ns):
            most = self._rules.queues[attempt.queue].spread_most
            if not most:
                continue
            self._count_checks(Rule.SPREAD)
            rack = self._recording.racks.get(attempt.node, attempt.node)
            key = (attempt.scheduler, attempt.service, rack)
            still_open = [other for other in held[key] if self._is_open(other, attempt.offered_ns)]
            held[key] = [*still_open, attempt]
            if len(held[key]) > most:
                self._add_breach(
                    Rule.SPREAD, f"{attempt.job}: {len(held[key])} of {attempt.service} in {rack}"
                )

    def _is_open(self, attempt: Attempt, now: int) -> bool:
        if 0 <= attempt.over_ns <= now:
            return False
        if attempt.accepted_ns < 0 and attempt.closed_ns >= 0 and attempt.closed_ns - CLOSE_SLACK_NS <= now:
            return False
        if any(attempt.offered_ns < at <= now for at in self._recording.killed[attempt.scheduler]):
            return False  # the restarted scheduler counts only the runs that it adopted
        return not any(
            attempt.offered_ns < notice.at_ns <= now
            and (notice.stage == GONE or notice.ready_ns > attempt.offered_ns)
            for notice in self._recording.notices[attempt.scheduler, attempt.node]
        )


def _find_first_answer(job: ObservedJob) -> Answer | None:
    placed = [attempt.accepted_ns for attempt in job.attempts if attempt.accepted_ns >= 0]
    first = [Answer(min(placed), PLACED)] if placed else []
    if not placed and job.answers and job.answers[0].outcome == PLACED:
        first = [job.answers[0]]  # found running; the reply to the offer was lost
    finals = [answer for answer in job.answers if answer.outcome != PLACED]
    return min(first + finals[:1], default=None)
