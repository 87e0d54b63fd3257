"""The soak, short: seeds that CI plays, and its judge on doctored recordings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from ladderhub.signalling import Kind
from tests.platform import soak
from tests.platform.soak import Play, play


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_no_rule_is_broken_by_drawn_faults(seed: int) -> None:
    faults, count = play(seed)
    assert count > 500 and faults == []


def test_an_owner_that_was_closed_as_silent_asks_on_a_new_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a judge that finds requests lost which the soak's own owner wrote on a closed connection.
    monkeypatch.setattr(soak, "STEPS", 0)
    played = Play(tmp_path, 1)
    try:
        first = played.owners[0]
        played.bed.run(lambda: first.closed)
        for owner in list(played.owners):
            played._ask(owner, 1)
        played.run()
        assert played.faults() == [] and len(played.records) > soak.OWNERS
    finally:
        played.bed.close()


def lose_an_answer(played: Play) -> str:
    id = next(r.id for r in played.records.values() if not r.withdrawn)
    for owner in [*played.owners, *played.gone]:
        owner.got = [message for message in owner.got if message.id != id]
    return f"{id}: no answer"


def answer_twice(played: Play) -> str:
    owner = next(each for each in played.owners if each.said(Kind.ANSWER))
    answer = owner.said(Kind.ANSWER)[0]
    owner.got.append(answer)
    return f"{answer.id}: 2 answers"


def keep_an_end(played: Play) -> str:
    told = [m.id for owner in played.owners for m in owner.said(Kind.ANSWER)]
    record = next(r for r in played.records.values() if r.id in told and not r.withdrawn)
    record.ended = True
    for owner in [*played.owners, *played.gone]:
        owner.got = [m for m in owner.got if (m.id, m.kind) != (record.id, Kind.RELEASE)]
    return f"{record.id}: its end was not told"


def run_twice(played: Play) -> str:
    record = next(r for r in played.records.values() if r.unsafe and r.accepted)
    record.accepted.append("m99")
    return f"{record.id}: ran at {record.accepted}"


def end_badly(played: Play) -> str:
    played.bed.child.returncode = 1
    return "ended with status 1"


def test_the_judge_finds_each_fault_in_a_doctored_recording(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(soak, "STEPS", 60)
    played = Play(tmp_path, 1)
    try:
        played.run()
        assert played.faults() == []
        kept: Any = [list(owner.got) for owner in (*played.owners, *played.gone)]
        for doctor in (answer_twice, lose_an_answer, keep_an_end, run_twice, end_badly):
            expected = doctor(played)
            assert expected in played.faults(), doctor.__name__
            for owner, got in zip((*played.owners, *played.gone), kept, strict=True):
                owner.got = list(got)
    finally:
        played.bed.close()
