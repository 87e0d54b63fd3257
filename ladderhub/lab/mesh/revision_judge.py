"""Judges configuration changes from the recording of a mesh day: the faults injected and the processes' logs.

Besides the rows that `judge` reads, a recording has:
- `voters`: how many of the first slots vote.
- `paused`, `woken` and `cut`: faults that were injected.
- `revision`: a process's log event about a revision, with its `stage`.
- `in force`: the revision that a process uses from now on (slot, number, digest).
- `decided`: a decision on a job (slot, kind, number)."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from ladderhub.lab.mesh.judge import Row, Verdict
from ladderhub.lab.mesh.reach import Reachability

IN_FORCE_LIMIT_S = 4.0  # a change is in force on all reachable schedulers within this time
LONG_PAUSE_S = 3.0  # after a longer pause, a process must catch up before it decides
ANSWER_LIMIT_S = 15.0  # an operator gets an answer within this time if the process lives
REFUSALS = ("LostTo", "StaleParent", "Refused", "Invalid")
ProposalKey = tuple[str, int, str]  # author, time and body digest of a proposal


@dataclass
class RevisionVerdict:
    """What a recording showed, and the violations of each rule."""

    membership: Verdict
    forks: list[str] = field(default_factory=list)  # two orders of revisions
    unchosen: list[str] = field(default_factory=list)  # decisions by a revision that no majority accepted
    backward: list[str] = field(default_factory=list)  # decisions by an older revision after a newer one
    unready: list[str] = field(default_factory=list)  # decisions before catching up
    stale: list[str] = field(default_factory=list)  # caught up, but not with all revisions chosen before
    false_answers: list[str] = field(default_factory=list)  # operators got a wrong answer
    late: list[str] = field(default_factory=list)  # revisions not in force in time
    proposed: int = 0
    chosen: int = 0
    decisions: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    lags: list[float] = field(default_factory=list)  # from the proposal until in force, per process
    in_force_limit_s: float | None = IN_FORCE_LIMIT_S
    hollow: int = 0  # number of hollow schedulers
    hollow_min_revision: int = 0  # lowest revision active on any of them at the end

    @property
    def troubles(self) -> list[str]:
        return self.membership.troubles

    def _get_violations_by_rule(self) -> dict[str, list[str]]:
        return {
            "two orders": self.forks, "decided by what was never chosen": self.unchosen,
            "decided by an older one after a newer": self.backward,
            "decided before catching up": self.unready, "caught up with an old one": self.stale,
            "operators told what is not so": self.false_answers,
        }  # fmt: skip

    def is_orderly(self) -> bool:
        """Whether all rules without a time limit hold and no log has an error."""
        return not any(self._get_violations_by_rule().values()) and not self.troubles

    def is_good(self) -> bool:
        """Whether all rules hold, including those of membership and, if judged, of time."""
        late = self.late if self.in_force_limit_s is not None else []
        return self.is_orderly() and self.membership.is_good() and not late

    def lines(self) -> Iterator[str]:
        """Yields the lines of the report."""
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        yield f"{self.proposed} changes proposed ({outcomes}), {self.chosen} revisions chosen"
        yield f"{self.decisions} decisions on jobs; " + "; ".join(
            f"{name}: {len(found)}" for name, found in self._get_violations_by_rule().items()
        )
        for found in self._get_violations_by_rule().values():
            yield from found[:5]
        p50, p99, most = self.get_quantiles()
        yield f"in force after {p50:.2f} s p50, {p99:.2f} s p99, {most:.2f} s at most; late: {len(self.late)}"
        yield from self.late[:5]
        if self.hollow:
            yield (
                f"{self.hollow} hollow schedulers: "
                f"each acts by revision {self.hollow_min_revision} or later"
            )
        yield from self.membership.lines()

    def get_quantiles(self) -> tuple[float, float, float]:
        """Returns the median, 99th percentile and maximum of the lags in seconds."""
        ordered = sorted(self.lags) or [0.0]
        return ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.99)], ordered[-1]


class Chain:
    """The chosen revisions, as the processes report them and as counted from the voters' acceptances."""

    def __init__(self, rows: list[Row], voters: int) -> None:
        self.digests: dict[int, str] = {}
        self.forks: list[str] = []
        self.numbers_by_proposal: dict[ProposalKey, int] = {}
        self._voters = voters
        self._first_chosen_at: dict[int, float] = {}
        self._known: dict[int, list[tuple[float, int]]] = {slot: [] for slot in range(voters)}
        accepted: dict[tuple[str, str], set[int]] = defaultdict(set)
        for row in rows:
            if row["what"] != "revision":
                continue
            if row["stage"] == "accepted" and row["slot"] < voters:
                accepted[row["digest"], row["ballot"]].add(row["slot"])
            elif row["stage"] == "chosen":
                self._add_chosen(row)
        self._by_majority = {
            digest for (digest, _), slots in accepted.items() if len(slots) > voters // 2
        }  # fmt: skip

    def _add_chosen(self, row: Row) -> None:
        number, digest = row["number"], row["digest"]
        known = self.digests.setdefault(number, digest)
        if known != digest:
            self.forks.append(f"slot {row['slot']} has {digest[:8]} as revision {number}, not {known[:8]}")
        parent_digest = self.digests.get(number - 1)
        if parent_digest is not None and row["parent"] != parent_digest:
            self.forks.append(f"slot {row['slot']}: revision {number} does not follow {number - 1}")
        self._first_chosen_at.setdefault(number, float(row["at"]))
        if row["slot"] in self._known:
            self._known[row["slot"]].append((float(row["at"]), number))
        self.numbers_by_proposal.setdefault(_build_key(row), number)

    def is_chosen(self, number: int) -> bool:
        """Whether a majority of the voters accepted it in one ballot."""
        return self.digests.get(number) in self._by_majority

    def get_newest_at(self, at_s: float) -> int:
        """Returns the newest revision that any process knew to be chosen at this time."""
        return max((number for number, first in self._first_chosen_at.items() if first <= at_s), default=0)

    def get_known_to_majority_at(self, at_s: float) -> int:
        """Returns the newest revision that a majority of the voters knew to be chosen at this time.

        Any majority that is asked later includes one of these voters."""
        known = [
            max((number for when, number in reports if when <= at_s), default=0)
            for reports in self._known.values()
        ]
        return sorted(known, reverse=True)[self._voters // 2]

    def get_first_chosen_at(self, number: int) -> float:
        """Returns when a process first reported this revision as chosen."""
        return self._first_chosen_at[number]


def _build_key(row: Row) -> ProposalKey:
    return row["author"], row["made_ms"], row["body"]


@dataclass
class _Life:
    """State of one process during the replay."""

    in_force: int = 0
    is_ready: bool = False  # caught up since its start or its last long pause
    woken_at: float = 0.0
    required_number: int = 0  # newest revision chosen before it woke, if it was reachable
    pending: dict[int, float] = field(default_factory=dict)  # chosen, not yet in force here: since when


class RevisionJudge:
    """Judges a recording by replaying its rows in the order of their times."""

    def __init__(self, rows: list[Row], membership: Verdict, in_force_limit_s: float | None) -> None:
        self._rows = sorted(rows, key=lambda row: float(row["at"]))
        voters = next(row["count"] for row in rows if row["what"] == "voters")
        self.verdict = RevisionVerdict(membership, in_force_limit_s=in_force_limit_s)
        self._chain, self._reach = Chain(self._rows, voters), Reachability(voters)
        self._lives: dict[int, _Life] = {}
        self._paused_at: dict[int, float] = {}
        self._proposals: dict[ProposalKey, tuple[int, float]] = {}  # slot and time
        self._has_begun = False
        self._answered: set[ProposalKey] = set()

    def run(self) -> RevisionVerdict:
        """Replays all rows and returns the verdict."""
        self.verdict.forks += self._chain.forks
        for row in self._rows:
            self._reach.apply(row)
            self._apply_row(float(row["at"]), row["what"], row.get("slot", -1), row)
        self._check_end(float(self._rows[-1]["at"]))
        self.verdict.chosen = len(self._chain.digests)
        return self.verdict

    def _apply_row(self, at_s: float, what: str, slot: int, row: Row) -> None:
        life = self._lives.get(slot)
        if what == "day":
            self._has_begun = True
        elif what == "life":
            self._lives[slot] = life = _Life(woken_at=at_s)
            newest = self._chain.get_newest_at(at_s)
            if newest:
                life.pending[newest] = at_s
        elif what in ("began", "over"):
            self._lives.pop(slot, None)
        elif what == "paused":
            self._paused_at[slot] = at_s
        elif life is None:
            return
        elif what == "woken":
            if at_s - self._paused_at.get(slot, at_s) > LONG_PAUSE_S:
                life.is_ready, life.woken_at = False, at_s
        elif what == "in force":
            self._on_in_force(at_s, slot, life, row)
        elif what == "decided":
            self._on_decided(slot, life, row)
        elif what == "revision":
            self._on_revision(at_s, slot, life, row)

    # --- decisions --------------------------------------------------------------------------------------

    def _on_in_force(self, at_s: float, slot: int, life: _Life, row: Row) -> None:
        number = row["number"]
        if self._chain.digests.get(number) != row["digest"] or not self._chain.is_chosen(number):
            self.verdict.unchosen.append(f"slot {slot} acts by a revision {number} that was not chosen")
        if number < life.in_force:
            self.verdict.backward.append(f"slot {slot} went from revision {life.in_force} to {number}")
        life.in_force = max(life.in_force, number)
        for each in [pending for pending in life.pending if pending <= number]:
            since = life.pending.pop(each)
            reachable = self._reach.reachable_since.get(slot)
            if reachable is not None:
                self._count_lag(slot, each, at_s - max(since, reachable))

    def _count_lag(self, slot: int, number: int, lag: float) -> None:
        self.verdict.lags.append(lag)
        if self.verdict.in_force_limit_s is not None and lag > self.verdict.in_force_limit_s:
            self.verdict.late.append(f"slot {slot}: revision {number} in force only after {lag:.1f} s")

    def _on_decided(self, slot: int, life: _Life, row: Row) -> None:
        number, kind, verdict = row["number"], row["kind"], self.verdict
        verdict.decisions += 1
        if number == 0 and not self._has_begun:
            return  # by the settings file, before the first revision
        if number > life.in_force or not self._chain.is_chosen(number):
            verdict.unchosen.append(f"slot {slot}: {kind} by revision {number}, {life.in_force} in force")
        elif number < life.in_force:
            verdict.backward.append(f"slot {slot}: {kind} by revision {number} after {life.in_force}")
        if kind == "offer" and not life.is_ready:
            verdict.unready.append(f"slot {slot}: an offer before it had caught up")
        if kind == "offer" and number < life.required_number:
            verdict.stale.append(
                f"slot {slot}: by revision {number}, where {life.required_number} was chosen"
            )

    # --- log events about revisions ---------------------------------------------------------------------

    def _on_revision(self, at_s: float, slot: int, life: _Life, row: Row) -> None:
        stage = row["stage"]
        if stage == "proposed":
            self.verdict.proposed += 1
            self._proposals[_build_key(row)] = (slot, at_s)
        elif stage == "answered":
            self._on_answered(slot, row)
        elif stage == "chosen":
            self._on_chosen(at_s, row)
        elif stage == "held":
            life.is_ready = False
        elif stage == "resumed":
            life.is_ready = True
            reachable = self._reach.reachable_since.get(slot)
            if reachable is not None and reachable <= life.woken_at:
                life.required_number = self._chain.get_known_to_majority_at(life.woken_at)

    def _on_chosen(self, at_s: float, row: Row) -> None:
        number = row["number"]
        if at_s > self._chain.get_first_chosen_at(number):
            return
        slot, since = self._proposals.get(_build_key(row), (row["slot"], at_s))
        since = max(since, self._reach.reachable_since.get(slot, at_s))
        for life in self._lives.values():
            if life.in_force < number:
                life.pending[number] = since

    def _on_answered(self, slot: int, row: Row) -> None:
        outcome, key = row["outcome"], _build_key(row)
        self._answered.add(key)
        self.verdict.outcomes[outcome] += 1
        was_chosen = key in self._chain.numbers_by_proposal
        is_refusal = outcome in REFUSALS or (outcome == "NoMajority" and not row["may_follow"])
        if (outcome == "Applied" and not was_chosen) or (is_refusal and was_chosen):
            self.verdict.false_answers.append(f"slot {slot} told {outcome} to {key[0]}; it was otherwise")

    def _check_end(self, last_at: float) -> None:
        for key, (slot, at_s) in self._proposals.items():
            if key not in self._answered and slot in self._lives and last_at - at_s > ANSWER_LIMIT_S:
                self.verdict.false_answers.append(f"slot {slot} never answered {key[0]}")
        limit_s = self.verdict.in_force_limit_s
        for slot, life in self._lives.items():
            reachable = self._reach.reachable_since.get(slot)
            for number, since in life.pending.items():
                if (
                    reachable is not None
                    and limit_s is not None
                    and last_at - max(since, reachable) > limit_s
                ):
                    self.verdict.late.append(f"slot {slot}: revision {number} never in force")


def judge_revisions(
    rows: list[Row], membership: Verdict, in_force_limit_s: float | None = IN_FORCE_LIMIT_S
) -> RevisionVerdict:
    """Judges a recording.  `in_force_limit_s`: None if times are reported but not judged."""
    return RevisionJudge(rows, membership, in_force_limit_s).run()
