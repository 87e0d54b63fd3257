"""Configuration changes with faults on real schedulers, and checks that the judge detects violations."""

from __future__ import annotations

import copy
from collections.abc import Callable

import pytest

from ladderhub.lab.mesh.change_days import draw_change_day
from ladderhub.lab.mesh.changes import run_changes
from ladderhub.lab.mesh.judge import Row, Verdict, read_recording
from ladderhub.lab.mesh.reach import Reachability
from ladderhub.lab.mesh.revision_judge import RevisionVerdict, judge_revisions

pytestmark = pytest.mark.xdist_group("revisions")  # one recording for all tests of this file
COUNT, SEED = 5, 1
LATE_S = 1000.0  # longer than a change takes on a busy machine


@pytest.fixture(scope="module")
def recording(tmp_path_factory: pytest.TempPathFactory) -> list[Row]:
    """Five processes under load: seven changes with loss, a kill and a pause.  Times are not judged here."""
    folder = tmp_path_factory.mktemp("changes")
    verdict = run_changes(
        draw_change_day("few-changes", COUNT, SEED), folder, COUNT, SEED, in_force_limit_s=None
    )
    assert verdict.is_orderly(), list(verdict.lines())
    (path,) = folder.glob("*/recording.jsonl")
    return sorted(read_recording(path), key=lambda row: float(row["at"]))


def judge_rows(rows: list[Row], in_force_limit_s: float | None = None) -> RevisionVerdict:
    return judge_revisions(rows, Verdict(), in_force_limit_s)


def test_changes_come_into_force_in_one_order_and_no_job_is_decided_otherwise(recording: list[Row]) -> None:
    verdict = judge_rows(recording)
    assert verdict.is_good() and verdict.proposed == 7 and verdict.chosen >= 5 and verdict.decisions > 50
    assert verdict.outcomes.total() == 7 and len(verdict.lags) > 3 * COUNT


def select_rows(rows: list[Row], what: str, stage: str = "", slot: int = -1) -> list[Row]:
    return [
        row
        for row in rows
        if row["what"] == what and stage in ("", row.get("stage")) and slot in (-1, row.get("slot"))
    ]  # fmt: skip


def find_last_chosen(rows: list[Row]) -> int:
    return max(int(row["number"]) for row in select_rows(rows, "revision", "chosen"))


def copy_later(row: Row, **values: object) -> Row:
    """Returns a copy of the row with changed values, one millisecond later."""
    return row | {"at": row["at"] + 0.001} | values


def another_digest(rows: list[Row]) -> None:
    select_rows(rows, "revision", "chosen")[-1]["digest"] = "00" * 16


def another_parent(rows: list[Row]) -> None:
    select_rows(rows, "revision", "chosen")[-1]["parent"] = "00" * 16


def a_minority_accepted(rows: list[Row]) -> None:
    number = find_last_chosen(rows)
    accepted = [row for row in select_rows(rows, "revision", "accepted") if row["number"] == number]
    kept = {row["slot"] for row in accepted[:1]}
    for row in accepted:
        if row["slot"] not in kept:
            rows.remove(row)


def acceptances_of_two_ballots(rows: list[Row]) -> None:
    number = find_last_chosen(rows)
    for row in select_rows(rows, "revision", "accepted"):
        if row["number"] == number:
            row["ballot"] += f"/{row['slot']}"


def a_body_of_its_own(rows: list[Row]) -> None:
    select_rows(rows, "in force")[-1]["digest"] = "00" * 16


def a_decision_before_it_was_in_force(rows: list[Row]) -> None:
    decided = select_rows(rows, "decided")[-1]
    rows.append(copy_later(decided, number=find_last_chosen(rows) + 1))


def a_decision_by_the_file(rows: list[Row]) -> None:
    rows.append(copy_later(select_rows(rows, "decided")[-1], number=0))


def a_decision_by_an_older_one(rows: list[Row]) -> None:
    rows.append(copy_later(select_rows(rows, "decided")[-1], number=1))


def back_to_an_older_one(rows: list[Row]) -> None:
    first, last = select_rows(rows, "in force", slot=0)[0], select_rows(rows, "in force", slot=0)[-1]
    rows.append(copy_later(last, number=first["number"], digest=first["digest"]))


def an_offer_before_catching_up(rows: list[Row]) -> None:
    (woken,) = select_rows(rows, "woken")
    before = [row for row in select_rows(rows, "in force", slot=woken["slot"]) if row["at"] < woken["at"]]
    decided = select_rows(rows, "decided")[0]
    rows.append(
        copy_later(woken, what="decided", kind="offer", number=before[-1]["number"]) | {"slot": woken["slot"]}
    )
    assert decided["kind"] in ("offer", "answer")


def caught_up_with_an_old_one(rows: list[Row]) -> None:
    """A process reports that it caught up, but keeps using the revision from before its pause."""
    (woken,) = select_rows(rows, "woken")
    slot = woken["slot"]
    before = [row for row in select_rows(rows, "in force", slot=slot) if row["at"] < woken["at"]]
    for row in [row for row in select_rows(rows, "in force", slot=slot) if row["at"] > woken["at"]]:
        rows.remove(row)
    for row in [row for row in select_rows(rows, "decided", slot=slot) if row["at"] > woken["at"]]:
        row["number"] = before[-1]["number"]


def find_answer(rows: list[Row], outcome: str) -> Row:
    return next(row for row in select_rows(rows, "revision", "answered") if row["outcome"] == outcome)


def told_applied_though_lost(rows: list[Row]) -> None:
    find_answer(rows, "LostTo")["outcome"] = "Applied"


def told_lost_though_applied(rows: list[Row]) -> None:
    find_answer(rows, "Applied")["outcome"] = "LostTo"


def told_that_it_cannot_follow(rows: list[Row]) -> None:
    find_answer(rows, "Applied").update(outcome="NoMajority", may_follow=False)


def an_operator_without_an_answer(rows: list[Row]) -> None:
    rows.remove(find_answer(rows, "Applied"))


MUTATIONS: dict[str, tuple[Callable[[list[Row]], None], ...]] = {
    "forks": (another_digest, another_parent),
    "unchosen": (
        a_minority_accepted, acceptances_of_two_ballots, a_body_of_its_own, a_decision_before_it_was_in_force,
        a_decision_by_the_file,
    ),
    "backward": (a_decision_by_an_older_one, back_to_an_older_one),
    "unready": (an_offer_before_catching_up,),
    "stale": (caught_up_with_an_old_one,),
    "false_answers": (
        told_applied_though_lost, told_lost_though_applied, told_that_it_cannot_follow,
        an_operator_without_an_answer,
    ),
}  # fmt: skip


@pytest.mark.parametrize(
    ("rule", "mutate"),
    [(rule, mutate) for rule, mutations in MUTATIONS.items() for mutate in mutations],
    ids=lambda value: value if isinstance(value, str) else value.__name__,
)
def test_the_judge_of_revisions_fails_on_a_doctored_recording(
    recording: list[Row], rule: str, mutate: Callable[[list[Row]], None]
) -> None:
    rows = copy.deepcopy(recording)
    mutate(rows)
    verdict = judge_rows(rows)
    assert getattr(verdict, rule) and not verdict.is_good(), list(verdict.lines())


def test_the_judge_fails_where_a_revision_comes_late_or_never(recording: list[Row]) -> None:
    assert judge_rows(recording, in_force_limit_s=LATE_S).is_good()
    late = copy.deepcopy(recording)
    for row in late:
        if row["what"] not in ("revision", "day", "voters", "life", "began") or row.get("stage") in (
            "held", "resumed", "answered",
        ):  # fmt: skip
            row["at"] += 2 * LATE_S
    assert judge_rows(late, in_force_limit_s=LATE_S).late
    never = copy.deepcopy(recording)
    last = find_last_chosen(never)
    never = [row for row in never if not (row["what"] == "in force" and row["number"] == last)]
    never.append({"at": never[-1]["at"] + 2 * LATE_S, "what": "later"})
    assert judge_rows(never, in_force_limit_s=LATE_S).late


def test_the_judge_counts_from_when_a_process_can_be_reached() -> None:
    reach = Reachability(voters=3)
    for slot in range(5):
        reach.apply({"at": slot, "what": "life", "slot": slot})
    assert reach.reachable_since == {0: 1, 1: 1, 2: 2, 3: 3, 4: 4}
    reach.apply({"at": 10, "what": "cut", "pairs": [(0, 4)]})
    assert 4 in reach.reachable_since  # connected through other schedulers
    cut = [(a, b) for a in (0, 1, 3) for b in (2, 4)]
    reach.apply({"at": 11, "what": "cut", "pairs": [*cut, *((b, a) for a, b in cut)]})
    assert set(reach.reachable_since) == {0, 1, 3}
    reach.apply({"at": 12, "what": "paused", "slot": 1})
    assert not reach.reachable_since  # no side has a majority of the voters
    reach.apply({"at": 13, "what": "woken", "slot": 1})
    reach.apply({"at": 14, "what": "cut", "pairs": []})
    assert reach.reachable_since == {0: 13, 1: 13, 2: 14, 3: 13, 4: 14}
