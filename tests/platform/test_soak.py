"""The soak, short: seeds that CI plays, and its judge on doctored recordings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from ladderhub.signalling import Kind
from tests.platform import soak, soak_resets, soak_service
from tests.platform.bed import MachineConn
from tests.platform.soak import Play, play


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_no_rule_is_broken_by_drawn_faults(seed: int) -> None:
    faults, count = play(seed)
    assert count > 500 and faults == []


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_end_is_lost_by_drawn_resets(seed: int) -> None:
    faults, count = soak_resets.play(seed)
    assert count > 50 and faults == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rule_is_broken_over_the_life_of_a_process(seed: int) -> None:
    faults, count = soak_service.play(seed)
    assert count > 300 and faults == []


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
        owner.messages = [message for message in owner.messages if message.id != id]
    return f"{id}: no answer"


def answer_twice(played: Play) -> str:
    owner = next(each for each in played.owners if each.received(Kind.ANSWER))
    answer = owner.received(Kind.ANSWER)[0]
    owner.messages.append(answer)
    return f"{answer.id}: 2 answers"


def keep_an_end(played: Play) -> str:
    told = [m.id for owner in played.owners for m in owner.received(Kind.ANSWER)]
    record = next(r for r in played.records.values() if r.id in told and not r.withdrawn)
    record.ended = True
    for owner in [*played.owners, *played.gone]:
        owner.messages = [m for m in owner.messages if (m.id, m.kind) != (record.id, Kind.RELEASE)]
    return f"{record.id}: its end was not told"


def run_twice(played: Play) -> str:
    record = next(r for r in played.records.values() if r.unsafe and r.accepted)
    record.accepted.append("m99")
    return f"{record.id}: ran at {record.accepted}"


def leave_standing(played: Play) -> str:
    told = [m.id for owner in played.owners for m in owner.received(Kind.ANSWER)]
    record = next(r for r in played.records.values() if r.id in told and len(r.accepted) == 1)
    record.withdrawn, record.cancelled_ns = True, played.terminated_ns - 2 * soak.CUT_NS
    played.standing[record.id] = (played.bed.machines[0], MachineConn.__new__(MachineConn))
    return f"{record.id}: its owner ended it, and it stands"


def end_badly(played: Play) -> str:
    played.bed.child.returncode = 1
    return "ended with status 1"


def test_the_judge_finds_a_set_up_sent_past_the_grace_of_a_drain(tmp_path: Path) -> None:
    played = soak_service.ServicePlay(tmp_path, 1)
    try:
        owner = played.owners[0]
        played._ask(owner, 1)
        played.bed.run(lambda: owner.messages)
        heard = next(machine for machine in played.bed.machines if machine.received(Kind.SETUP))
        conn, message = heard.conns[0], heard.received(Kind.SETUP)[0]
        played._turn(soak_service.LOOKS)
        played.forbidden_ns[heard.name] = played.looks_ns[0] + 1
        played._hear(conn, message)
        assert not played.beyond_grace
        played.forbidden_ns[heard.name] = played.looks_ns[0] - soak_service.SLACK_NS
        played._hear(conn, message)
        assert f"{message.id}: sent to {heard.name} 50 ms past its grace" in played.faults()
    finally:
        played.bed.close()


def test_the_judge_finds_each_fault_in_a_doctored_recording(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(soak, "STEPS", 60)
    played = Play(tmp_path, 1)
    try:
        played.run()
        assert played.faults() == []
        kept: Any = [list(owner.messages) for owner in (*played.owners, *played.gone)]
        for doctor in (answer_twice, lose_an_answer, keep_an_end, run_twice, leave_standing, end_badly):
            expected = doctor(played)
            assert expected in played.faults(), doctor.__name__
            for owner, got in zip((*played.owners, *played.gone), kept, strict=True):
                owner.messages = list(got)
    finally:
        played.bed.close()
