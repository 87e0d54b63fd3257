"""The auditor: judges the five rules from recorded bytes alone.

It knows the rules (`Charter`) and what went over the sockets: clients' and nodes' requests to schedulers
(channel `sched:NAME`), schedulers' requests to nodes (`node:NAME`), the directory's lists (`list:NAME`), and
notes of what the laboratory did to a process (`note:`).  No word of a daemon on its own decisions counts,
but for the answers that it tells its clients.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ladderhub.directory.wire import Entry, Lines, Listed
from ladderhub.lab.tap import Record
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, ReplyParser, Request, RequestParser
from ladderhub.pbs.dis import DisError

MS, S = 1_000_000, 1_000_000_000
CLOSE_SLACK_NS = 300 * MS  # the tap may see a closed connection a little after what was sent because of it
ANSWER_SLACK_NS = 1_500 * MS  # answers are seen when a client asks for them
GRACE_SLACK_NS = 50 * MS
RULES = ("one answer in time", "no effect twice", "drains kept", "no cold node pushed over", "spread kept")


@dataclass(frozen=True, slots=True)
class QueueCharter:
    """What the rules say of one queue.  `window_ns`: how long repeats of a keyed job are discarded, by any
    node; `spread_most`: most of a service in one rack by one scheduler, 0 for no bound."""

    effect: str
    limit_ns: int
    window_ns: int = 0
    spread_most: int = 0


@dataclass(frozen=True, slots=True)
class Charter:
    queues: dict[str, QueueCharter]
    drain_grace_ns: int
    cold_span_ns: int
    cold_window_ns: int
    cold_safe: int


@dataclass(slots=True)
class Attempt:
    """One offer of a job, as it went over the wire."""

    job: str
    run: str
    scheduler: str
    node: str
    connection: int
    service: str
    queue: str
    offered_ns: int
    committed_ns: int = -1
    accepted_ns: int = -1
    closed_ns: int = -1  # its connection ended
    over_ns: int = -1  # proof that it does not run (any more)
    stop_ns: int = -1  # its node was told to end it
    known_ns: int = -1  # its scheduler was told that it runs, by the answer or on asking
    slot: str = ""  # of a copy of a service: which slot and version it is
    version: str = ""


@dataclass(slots=True)
class JobSeen:
    """One job that a scheduler took."""

    job: str
    scheduler: str
    queue: str
    taken_ns: int
    answers: list[tuple[int, str]] = field(default_factory=list)  # as clients were told, when they changed
    attempts: list[Attempt] = field(default_factory=list)
    deleted_ns: int = -1
    released_ns: int = -1


@dataclass(slots=True)
class Verdict:
    """What was checked under each rule, and each breach in words."""

    checked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))
    breaches: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})
    taken: int = 0
    lost_with_scheduler: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    unread: list[str] = field(default_factory=list)

    def good(self) -> bool:
        return not any(self.breaches.values())

    def lines(self) -> list[str]:
        lines = []
        for rule in RULES:
            breaches = self.breaches[rule]
            word = "kept" if not breaches else f"BROKEN {len(breaches)} times"
            lines.append(f"{rule:<26} {word:<18} checked {self.checked[rule]}")
            lines += [f"    {breach}" for breach in breaches[:5]]
        answers = ", ".join(f"{count} {word}" for word, count in sorted(self.answers.items()))
        lines.append(
            f"{self.taken} jobs taken: {answers}; {self.lost_with_scheduler} went with a killed scheduler"
        )
        return lines


class Auditor:
    """Feed `take` every record in order, then ask for the `verdict`."""

    def __init__(self, charter: Charter) -> None:
        self.charter = charter
        self.jobs: dict[str, JobSeen] = {}
        self.attempts: list[Attempt] = []
        self._by_connection: dict[int, Attempt] = {}
        self._requests: dict[int, RequestParser] = {}
        self._replies: dict[int, ReplyParser] = {}
        self._open: dict[int, deque[tuple[int, Request]]] = defaultdict(deque)
        self._lines: dict[int, Lines] = {}
        self.told: dict[tuple[str, str], list[tuple[int, str, int]]] = defaultdict(list)
        self._entries: dict[str, dict[str, Entry]] = defaultdict(dict)
        self._racks: dict[str, str] = {}
        self._killed: dict[str, list[int]] = defaultdict(list)
        self._verdict = Verdict()
        self._drafts: dict[int, Request] = {}
        self._last_ns = 0

    # --- reading ----------------------------------------------------------------------------------------

    def take(self, record: Record) -> None:
        self._last_ns = record.at_ns
        kind, _, name = record.channel.partition(":")
        if kind == "note":
            word, _, rest = record.data.decode().partition(" ")
            if word == "killed":
                self._killed[rest].append(record.at_ns)
        elif record.way == "X":
            self._closed(record)
        elif kind == "list":
            if record.way == "<":
                self._list(record, name)
        elif record.way in "<>":
            try:
                self._batch(record, kind, name)
            except DisError as fault:
                self._verdict.unread.append(f"{record.channel} connection {record.connection}: {fault}")

    def _batch(self, record: Record, kind: str, name: str) -> None:
        connection = record.connection
        if record.way == ">":
            parser = self._requests.setdefault(connection, RequestParser())
            parser.feed(record.data)
            while (request := parser.next()) is not None:
                self._open[connection].append((record.at_ns, request))
                self._request(record, kind, name, request)
            return
        replies = self._replies.setdefault(connection, ReplyParser())
        replies.feed(record.data)
        while (reply := replies.next()) is not None:
            if self._open[connection]:  # an answer that nothing was asked for changes nothing
                self._reply(record, kind, name, self._open[connection].popleft()[1], reply)

    def _request(self, record: Record, kind: str, name: str, request: Request) -> None:
        at = record.at_ns
        if kind == "node":
            scheduler = request.user.partition("@")[2]
            if request.type == n.QUEUE_JOB:
                attempt = Attempt(
                    request.job, request.get("run_version"), scheduler, name, record.connection,
                    request.get("service"), request.get("queue"), at,
                    slot=request.get("service_slot"), version=request.get("service_version"),
                )  # fmt: skip
                self.attempts.append(attempt)
                self._by_connection[record.connection] = attempt
                if request.job in self.jobs:
                    self.jobs[request.job].attempts.append(attempt)
            elif request.type == n.COMMIT and record.connection in self._by_connection:
                self._by_connection[record.connection].committed_ns = at
            elif request.type == n.DELETE_JOB:
                for attempt in self._of(request.job, request.get("run_version")):
                    if attempt.node == name and attempt.stop_ns < 0:
                        attempt.stop_ns = at
        elif request.type == n.JOB_OBIT:
            for attempt in self._of(request.job, request.get("run_version")):
                attempt.over_ns = at if attempt.over_ns < 0 else attempt.over_ns
        elif request.type == n.QUEUE_JOB:
            self._drafts[record.connection] = request

    def _of(self, job: str, run: str) -> list[Attempt]:
        seen = self.jobs.get(job)
        attempts = seen.attempts if seen else [each for each in self.attempts if each.job == job]
        return [attempt for attempt in attempts if run in ("", attempt.run)]

    def _reply(self, record: Record, kind: str, name: str, request: Request, reply: Reply) -> None:
        at = record.at_ns
        if kind == "sched":
            self._told_client(at, name, record.connection, request, reply)
            return
        attempt = self._by_connection.get(record.connection)
        if request.type in (n.QUEUE_JOB, n.JOB_SCRIPT, n.COMMIT) and attempt is not None:
            if reply.code:
                attempt.over_ns = at if attempt.over_ns < 0 else attempt.over_ns
            elif request.type == n.COMMIT:
                attempt.accepted_ns = attempt.known_ns = at
            if reply.code or request.type == n.COMMIT:
                del self._by_connection[record.connection]
            return
        for row in reply.rows if request.type == n.STATUS_JOB else ():
            for other in self._of(row.name, row.get("run_version")):
                if other.node == name and other.known_ns < 0 and row.get("job_state") != "F":
                    other.known_ns = at
        fenced = request.type == n.STATUS_JOB and request.extension.startswith("fence:")
        if fenced or request.type == n.DELETE_JOB:
            run = request.extension[6:] if fenced else request.get("run_version")
            ended = reply.code == n.UNKNOWN_JOB or (reply.rows and reply.rows[0].get("job_state") == "F")
            for other in self._of(request.job, run):
                # A node speaks for itself alone: what it does not know may run elsewhere.
                if ended and other.over_ns < 0 and other.node == name:
                    other.over_ns = at

    def _told_client(self, at: int, scheduler: str, connection: int, request: Request, reply: Reply) -> None:
        if request.type == n.COMMIT and not reply.code and reply.job not in self.jobs:
            draft = self._drafts.get(connection)
            queue = draft.destination.partition("@")[0] if draft else ""
            self.jobs[reply.job] = JobSeen(reply.job, scheduler, queue, at)
            held = draft is not None and draft.get("Hold_Types") not in ("", "n")
            if held:
                self.jobs[reply.job].released_ns = 1 << 62
        elif request.type == n.DELETE_JOB and not reply.code and request.job in self.jobs:
            self.jobs[request.job].deleted_ns = at
        elif request.type == n.RELEASE_JOB and not reply.code and request.job in self.jobs:
            self.jobs[request.job].released_ns = at
        elif request.type == n.STATUS_JOB:
            for row in reply.rows:
                seen, answer = self.jobs.get(row.name), row.get("placement")
                if seen is not None and answer and (not seen.answers or seen.answers[-1][1] != answer):
                    seen.answers.append((at, answer))

    def _closed(self, record: Record) -> None:
        attempt = self._by_connection.pop(record.connection, None)
        if attempt is not None:
            attempt.closed_ns = record.at_ns
            if attempt.committed_ns < 0:
                attempt.over_ns = record.at_ns if attempt.over_ns < 0 else attempt.over_ns
        for table in (self._requests, self._replies, self._open, self._lines, self._drafts):
            table.pop(record.connection, None)

    def _list(self, record: Record, scheduler: str) -> None:
        for message in self._lines.setdefault(record.connection, Lines()).feed(record.data):
            if not isinstance(message, Listed):
                continue
            known = self._entries[scheduler]
            if message.kind == "full":
                for name in set(known) - {entry.name for entry in message.entries}:
                    self.told[scheduler, name].append((record.at_ns, "gone", known[name].ready_ns))
                known.clear()
            for entry in message.entries:
                known[entry.name] = entry
                self._racks[entry.name] = entry.rack
                self.told[scheduler, entry.name].append((record.at_ns, entry.stage, entry.ready_ns))

    # --- judging ------------------------------------------------------------------------------------------

    def verdict(self) -> Verdict:
        verdict = self._verdict
        verdict.taken = len(self.jobs)
        self._answers()
        self._effects()
        self._drains()
        self._cold()
        self._spread()
        return verdict

    def _breach(self, rule: int, text: str) -> None:
        self._verdict.breaches[RULES[rule]].append(text)

    def _first_answer(self, seen: JobSeen) -> tuple[int, str] | None:
        placed = [attempt.accepted_ns for attempt in seen.attempts if attempt.accepted_ns >= 0]
        told = [(at, word) for at, word in seen.answers if word != "placed"]
        first = [(min(placed), "placed")] if placed else []
        if not placed and seen.answers and seen.answers[0][1] == "placed":
            first = [seen.answers[0]]  # found running, its own answer having been lost
        return min(first + told[:1], default=None)

    def _answers(self) -> None:
        """Rule 1: one final answer for each job that was taken, within its queue's limit, and nothing
        after."""
        verdict = self._verdict
        for seen in self.jobs.values():
            verdict.checked[RULES[0]] += 1
            first = self._first_answer(seen)
            limit = self.charter.queues[seen.queue].limit_ns
            start = max(seen.taken_ns, seen.released_ns)
            # The last acknowledgement of a scheduler may pass the tap just after the note of its end.
            killed = [at for at in self._killed[seen.scheduler] if at >= seen.taken_ns - CLOSE_SLACK_NS]
            if first is None or (killed and first[0] > killed[0]):
                if killed and killed[0] < start + limit + ANSWER_SLACK_NS:
                    verdict.lost_with_scheduler += 1
                elif seen.released_ns < 1 << 62 and self._last_ns > start + limit + ANSWER_SLACK_NS:
                    self._breach(0, f"{seen.job}: taken and never answered")
                continue
            verdict.answers[first[1]] = verdict.answers.get(first[1], 0) + 1
            if first[0] > start + limit + ANSWER_SLACK_NS:
                late = (first[0] - start) / S
                self._breach(0, f"{seen.job}: answered {first[1]} after {late:.2f} s, limit {limit / S:g} s")
            finals = [word for _, word in seen.answers if word != "placed"]
            if len(set(finals)) > 1:
                self._breach(0, f"{seen.job}: answered {' and '.join(finals)}")
            for at, word in seen.answers:
                if word == "placed":
                    continue
                after = [a for a in seen.attempts if a.offered_ns > at]
                if after:
                    self._breach(0, f"{seen.job}: offered to {after[0].node} after it was answered {word}")
                back = [when for when, other in seen.answers if when > at and other == "placed"]
                if back:
                    self._breach(0, f"{seen.job}: answered {word} and then placed")

    def _effects(self) -> None:
        """Rule 2: never two attempts out; an unsafe job again only on proof; a keyed one in its window."""
        by_job: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            if attempt.committed_ns >= 0:
                by_job[attempt.job].append(attempt)
        for job, attempts in by_job.items():
            attempts.sort(key=lambda attempt: attempt.committed_ns)
            charter = self.charter.queues[attempts[0].queue]
            self._verdict.checked[RULES[1]] += len(attempts)
            for at, later in enumerate(attempts):
                for earlier in attempts[:at]:
                    self._pair(job, charter, earlier, later)

    def _pair(self, job: str, charter: QueueCharter, earlier: Attempt, later: Attempt) -> None:
        moment = later.committed_ns
        proven = 0 <= earlier.over_ns <= moment
        answered = 0 <= earlier.accepted_ns <= moment
        closed = earlier.closed_ns >= 0 and earlier.closed_ns - CLOSE_SLACK_NS <= moment
        gone = any(
            earlier.offered_ns < at <= moment and stage == "gone"
            for at, stage, _ in self.told[later.scheduler, earlier.node]
        )
        # A copy that was accepted is given up only where its node is told to end it, or is listed as gone.
        given_up = gone or 0 <= earlier.stop_ns - CLOSE_SLACK_NS <= moment
        where = f"{job}: run {later.run} at {later.node} while run {earlier.run} at {earlier.node}"
        if not (proven or given_up if answered else proven or closed):
            self._breach(1, f"{where} was still out")
        elif charter.effect == "unsafe" and not proven:
            self._breach(1, f"{where} was not proven away")
        elif charter.effect == "keyed" and not proven and moment > earlier.committed_ns + charter.window_ns:
            self._breach(1, f"{where} may have run, and repeats are no longer discarded")

    def _drains(self) -> None:
        """Rule 3: no offer later than the grace after a scheduler was told that a node drains or is gone."""
        for attempt in self.attempts:
            self._verdict.checked[RULES[2]] += 1
            told = self.told[attempt.scheduler, attempt.node]
            since = -1
            for at, stage, _ in told:
                if at > attempt.offered_ns:
                    break
                since = -1 if stage == "serving" else (at if since < 0 else since)
            if since >= 0 and attempt.offered_ns > since + self.charter.drain_grace_ns + GRACE_SLACK_NS:
                late = (attempt.offered_ns - since) / MS
                self._breach(
                    2, f"{attempt.job}: offered to {attempt.node} {late:.0f} ms after it was told off"
                )

    def _cold(self) -> None:
        """Rule 4: offers to a fresh node, from those told of its start, within what it always bears."""
        charter = self.charter
        starts: dict[tuple[str, int], list[int]] = defaultdict(list)
        for attempt in self.attempts:
            told = [e for e in self.told[attempt.scheduler, attempt.node] if e[0] <= attempt.offered_ns]
            if told:
                ready = told[-1][2]
                if 0 <= attempt.offered_ns - ready <= charter.cold_span_ns:
                    starts[attempt.node, ready].append(attempt.offered_ns)
        for (node, _), offers in starts.items():
            self._verdict.checked[RULES[3]] += len(offers)
            window: deque[int] = deque()
            for at in sorted(offers):
                window.append(at)
                while window[0] <= at - charter.cold_window_ns:
                    window.popleft()
                if len(window) > charter.cold_safe:
                    self._breach(3, f"{node}: {len(window)} offers in one window while cold")
                    break

    def _spread(self) -> None:
        """Rule 5: of one service, a scheduler has at most so many in one rack."""
        held: dict[tuple[str, str, str], list[Attempt]] = defaultdict(list)
        for attempt in sorted(self.attempts, key=lambda each: each.offered_ns):
            most = self.charter.queues[attempt.queue].spread_most
            if not most:
                continue
            self._verdict.checked[RULES[4]] += 1
            key = (attempt.scheduler, attempt.service, self._racks.get(attempt.node, attempt.node))
            open_ones = [other for other in held[key] if self.is_open(other, attempt.offered_ns)]
            held[key] = [*open_ones, attempt]
            if len(held[key]) > most:
                self._breach(4, f"{attempt.job}: {len(held[key])} of {attempt.service} in {key[2]}")

    def is_open(self, attempt: Attempt, now: int) -> bool:
        if 0 <= attempt.over_ns <= now:
            return False
        if attempt.accepted_ns < 0 and attempt.closed_ns >= 0 and attempt.closed_ns - CLOSE_SLACK_NS <= now:
            return False
        if any(attempt.offered_ns < at <= now for at in self._killed[attempt.scheduler]):
            return False  # a successor counts what it has taken over
        told = self.told[attempt.scheduler, attempt.node]
        return not any(
            attempt.offered_ns < at <= now and (stage == "gone" or ready > attempt.offered_ns)
            for at, stage, ready in told
        )


def audit(records: Iterable[Record], charter: Charter) -> Verdict:
    """Read a recording and judge it."""
    auditor = Auditor(charter)
    for record in records:
        auditor.take(record)
    return auditor.verdict()
