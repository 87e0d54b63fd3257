"""Judges changes of configuration from the recording of a mesh day alone: what was done, what each logged.

Beside the rows that `judge` reads a recording has `voters` (how many of the first slots vote), `paused`,
`woken` and `cut` (what was done), `revision` (a process's log of a revision, with its `stage`), `in force`
(slot, number and digest: from now on this process decides by it) and `decided` (slot, kind, number: a
decision on a job)."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from ladderhub.lab.mesh.judge import Row, Verdict
from ladderhub.lab.mesh.reach import Reach

WITHIN_S = 4.0  # a change is in force on all that are reachable
LONG_PAUSE_S = 3.0  # after which a process has to catch up before it decides
ANSWERED_S = 15.0  # an operator is answered within, if the process lives so long
REFUSALS = ("LostTo", "StaleParent", "Refused", "Invalid")
Key = tuple[str, int, str]  # of a proposal: its author, when it was made, the digest of its body


@dataclass
class RevisionVerdict:
    """What was seen, and each rule's violations."""

    membership: Verdict
    forks: list[str] = field(default_factory=list)  # two orders
    unchosen: list[str] = field(default_factory=list)  # decided by what no majority accepted
    backward: list[str] = field(default_factory=list)  # decided by an older one after a newer
    unready: list[str] = field(default_factory=list)  # decided before it had caught up
    stale: list[str] = field(default_factory=list)  # caught up, and not with what was chosen before
    false_answers: list[str] = field(default_factory=list)  # an operator was told what is not so
    late: list[str] = field(default_factory=list)  # not in force in time
    proposed: int = 0
    chosen: int = 0
    decisions: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    lags: list[float] = field(default_factory=list)  # seconds from the proposal until in force, each process
    within_s: float | None = WITHIN_S
    hollow: int = 0  # hollow schedulers beside the judged ones
    hollow_least: int = 0  # the lowest revision that any of them acted by in the end

    @property
    def troubles(self) -> list[str]:
        return self.membership.troubles

    def _rules(self) -> dict[str, list[str]]:
        return {
            "two orders": self.forks, "decided by what was never chosen": self.unchosen,
            "decided by an older one after a newer": self.backward,
            "decided before catching up": self.unready, "caught up with an old one": self.stale,
            "operators told what is not so": self.false_answers,
        }  # fmt: skip

    def is_orderly(self) -> bool:
        """Is every rule kept that speaks of no span of time, and is no log in trouble?"""
        return not any(self._rules().values()) and not self.troubles

    def is_good(self) -> bool:
        late = self.late if self.within_s is not None else []
        return self.is_orderly() and self.membership.is_good() and not late

    def lines(self) -> Iterator[str]:
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        yield f"{self.proposed} changes proposed ({outcomes}), {self.chosen} revisions chosen"
        yield f"{self.decisions} decisions on jobs; " + "; ".join(
            f"{name}: {len(found)}" for name, found in self._rules().items()
        )
        for found in self._rules().values():
            yield from found[:5]
        p50, p99, most = self.quantiles()
        yield f"in force after {p50:.2f} s p50, {p99:.2f} s p99, {most:.2f} s at most; late: {len(self.late)}"
        yield from self.late[:5]
        if self.hollow:
            yield f"{self.hollow} hollow schedulers: each acts by revision {self.hollow_least} or later"
        yield from self.membership.lines()

    def quantiles(self) -> tuple[float, float, float]:
        ordered = sorted(self.lags) or [0.0]
        return ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.99)], ordered[-1]


class Chain:
    """What was chosen: by the processes' word, and counted from the voters' acceptances."""

    def __init__(self, rows: list[Row], voters: int) -> None:
        self.digests: dict[int, str] = {}
        self.forks: list[str] = []
        self.keys: dict[Key, int] = {}
        self._voters = voters
        self._first_at: dict[int, float] = {}
        self._known: dict[int, list[tuple[float, int]]] = {slot: [] for slot in range(voters)}
        accepted: dict[tuple[str, str], set[int]] = defaultdict(set)
        for row in rows:
            if row["what"] != "revision":
                continue
            if row["stage"] == "accepted" and row["slot"] < voters:
                accepted[row["digest"], row["ballot"]].add(row["slot"])
            elif row["stage"] == "chosen":
                self._take_chosen(row)
        self._by_majority = {
            digest for (digest, _), slots in accepted.items() if len(slots) > voters // 2
        }  # fmt: skip

    def _take_chosen(self, row: Row) -> None:
        number, digest = row["number"], row["digest"]
        known = self.digests.setdefault(number, digest)
        if known != digest:
            self.forks.append(f"slot {row['slot']} has {digest[:8]} as revision {number}, not {known[:8]}")
        before = self.digests.get(number - 1)
        if before is not None and row["parent"] != before:
            self.forks.append(f"slot {row['slot']}: revision {number} does not follow {number - 1}")
        self._first_at.setdefault(number, float(row["at"]))
        if row["slot"] in self._known:
            self._known[row["slot"]].append((float(row["at"]), number))
        self.keys.setdefault(_key(row), number)

    def is_chosen(self, number: int) -> bool:
        """Was it accepted by a majority of the voters in one ballot?"""
        return self.digests.get(number) in self._by_majority

    def newest_at(self, at: float) -> int:
        """The newest that some process knew to be chosen by then."""
        return max((number for number, first in self._first_at.items() if first <= at), default=0)

    def known_at(self, at: float) -> int:
        """The newest that a majority of the voters knew to be chosen by then: any majority that is asked
        later has one of them."""
        known = [
            max((number for when, number in told if when <= at), default=0) for told in self._known.values()
        ]
        return sorted(known, reverse=True)[self._voters // 2]

    def first_at(self, number: int) -> float:
        return self._first_at[number]


def _key(row: Row) -> Key:
    return row["author"], row["made_ms"], row["body"]


@dataclass
class _Life:
    """One process as the recording goes on."""

    in_force: int = 0
    ready: bool = False  # it has caught up since its start or its last long pause
    woken_at: float = 0.0
    must_know: int = 0  # what was chosen before it woke, if it could reach anybody
    pending: dict[int, float] = field(default_factory=dict)  # chosen, not in force here: since when


class RevisionJudge:
    """Replays a recording in the order of its rows' times."""

    def __init__(self, rows: list[Row], membership: Verdict, within_s: float | None) -> None:
        self._rows = sorted(rows, key=lambda row: float(row["at"]))
        voters = next(row["count"] for row in rows if row["what"] == "voters")
        self.verdict = RevisionVerdict(membership, within_s=within_s)
        self._chain, self._reach = Chain(self._rows, voters), Reach(voters)
        self._lives: dict[int, _Life] = {}
        self._paused_at: dict[int, float] = {}
        self._proposals: dict[Key, tuple[int, float]] = {}  # slot, and the moment from which time counts
        self._begun = False
        self._answered: set[Key] = set()

    def run(self) -> RevisionVerdict:
        self.verdict.forks += self._chain.forks
        for row in self._rows:
            self._reach.take(row)
            self._take(float(row["at"]), row["what"], row.get("slot", -1), row)
        self._end(float(self._rows[-1]["at"]))
        self.verdict.chosen = len(self._chain.digests)
        return self.verdict

    def _take(self, at: float, what: str, slot: int, row: Row) -> None:
        life = self._lives.get(slot)
        if what == "day":
            self._begun = True
        elif what == "life":
            self._lives[slot] = life = _Life(woken_at=at)
            newest = self._chain.newest_at(at)
            if newest:
                life.pending[newest] = at
        elif what in ("began", "over"):
            self._lives.pop(slot, None)
        elif what == "paused":
            self._paused_at[slot] = at
        elif life is None:
            return
        elif what == "woken":
            if at - self._paused_at.get(slot, at) > LONG_PAUSE_S:
                life.ready, life.woken_at = False, at
        elif what == "in force":
            self._on_in_force(at, slot, life, row)
        elif what == "decided":
            self._on_decided(slot, life, row)
        elif what == "revision":
            self._on_revision(at, slot, life, row)

    # --- decisions --------------------------------------------------------------------------------------

    def _on_in_force(self, at: float, slot: int, life: _Life, row: Row) -> None:
        number = row["number"]
        if self._chain.digests.get(number) != row["digest"] or not self._chain.is_chosen(number):
            self.verdict.unchosen.append(f"slot {slot} acts by a revision {number} that was not chosen")
        if number < life.in_force:
            self.verdict.backward.append(f"slot {slot} went from revision {life.in_force} to {number}")
        life.in_force = max(life.in_force, number)
        for each in [pending for pending in life.pending if pending <= number]:
            since = life.pending.pop(each)
            reachable = self._reach.since.get(slot)
            if reachable is not None:
                self._count_lag(slot, each, at - max(since, reachable))

    def _count_lag(self, slot: int, number: int, lag: float) -> None:
        self.verdict.lags.append(lag)
        if self.verdict.within_s is not None and lag > self.verdict.within_s:
            self.verdict.late.append(f"slot {slot}: revision {number} in force only after {lag:.1f} s")

    def _on_decided(self, slot: int, life: _Life, row: Row) -> None:
        number, kind, verdict = row["number"], row["kind"], self.verdict
        verdict.decisions += 1
        if number == 0 and not self._begun:
            return  # by the settings file, before any revision
        if number > life.in_force or not self._chain.is_chosen(number):
            verdict.unchosen.append(f"slot {slot}: {kind} by revision {number}, {life.in_force} in force")
        elif number < life.in_force:
            verdict.backward.append(f"slot {slot}: {kind} by revision {number} after {life.in_force}")
        if kind == "offer" and not life.ready:
            verdict.unready.append(f"slot {slot}: an offer before it had caught up")
        if kind == "offer" and number < life.must_know:
            verdict.stale.append(f"slot {slot}: by revision {number}, where {life.must_know} was chosen")

    # --- the processes' word on revisions ---------------------------------------------------------------

    def _on_revision(self, at: float, slot: int, life: _Life, row: Row) -> None:
        stage = row["stage"]
        if stage == "proposed":
            self.verdict.proposed += 1
            self._proposals[_key(row)] = (slot, at)
        elif stage == "answered":
            self._on_answered(slot, row)
        elif stage == "chosen":
            self._on_chosen(at, row)
        elif stage == "held":
            life.ready = False
        elif stage == "resumed":
            life.ready = True
            reachable = self._reach.since.get(slot)
            if reachable is not None and reachable <= life.woken_at:
                life.must_know = self._chain.known_at(life.woken_at)

    def _on_chosen(self, at: float, row: Row) -> None:
        number = row["number"]
        if at > self._chain.first_at(number):
            return
        slot, since = self._proposals.get(_key(row), (row["slot"], at))
        since = max(since, self._reach.since.get(slot, at))
        for life in self._lives.values():
            if life.in_force < number:
                life.pending[number] = since

    def _on_answered(self, slot: int, row: Row) -> None:
        outcome, key = row["outcome"], _key(row)
        self._answered.add(key)
        self.verdict.outcomes[outcome] += 1
        was_chosen = key in self._chain.keys
        never = outcome in REFUSALS or (outcome == "NoMajority" and not row["may_follow"])
        if (outcome == "Applied" and not was_chosen) or (never and was_chosen):
            self.verdict.false_answers.append(f"slot {slot} told {outcome} to {key[0]}; it was otherwise")

    def _end(self, last: float) -> None:
        for key, (slot, at) in self._proposals.items():
            if key not in self._answered and slot in self._lives and last - at > ANSWERED_S:
                self.verdict.false_answers.append(f"slot {slot} never answered {key[0]}")
        within = self.verdict.within_s
        for slot, life in self._lives.items():
            reachable = self._reach.since.get(slot)
            for number, since in life.pending.items():
                if reachable is not None and within is not None and last - max(since, reachable) > within:
                    self.verdict.late.append(f"slot {slot}: revision {number} never in force")


def judge_revisions(
    rows: list[Row], membership: Verdict, within_s: float | None = WITHIN_S
) -> RevisionVerdict:
    """`within_s`: None where times are told and not judged."""
    return RevisionJudge(rows, membership, within_s).run()
