"""A short soak: the seeds that CI runs, and the soak's judge on manipulated recordings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from ladderhub.signalling import Kind
from tests.platform import soak, soak_resets, soak_service
from tests.platform.bed import MachineConn
from tests.platform.soak import SoakRun, run_seed


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_no_rule_is_broken_by_random_faults(seed: int) -> None:
    faults, count = run_seed(seed)
    assert count > 500 and faults == []


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_end_is_lost_by_random_resets(seed: int) -> None:
    faults, count = soak_resets.run_seed(seed)
    assert count > 50 and faults == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rule_is_broken_over_the_life_of_a_process(seed: int) -> None:
    faults, count = soak_service.run_seed(seed)
    assert count > 300 and faults == []


def test_an_owner_that_was_closed_as_silent_asks_on_a_new_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a judge that reports requests as lost which the soak itself wrote on a closed connection.
    monkeypatch.setattr(soak, "STEPS", 0)
    soak_run = SoakRun(tmp_path, 1)
    try:
        first = soak_run.owners[0]
        soak_run.bed.run(lambda: first.closed)
        for owner in list(soak_run.owners):
            soak_run._send_setups(owner, 1)
        soak_run.run()
        assert soak_run.find_faults() == [] and len(soak_run.records) > soak.OWNERS
    finally:
        soak_run.bed.close()


def drop_answer(soak_run: SoakRun) -> str:
    id = next(r.id for r in soak_run.records.values() if not r.withdrawn)
    for owner in [*soak_run.owners, *soak_run.past_owners]:
        owner.messages = [message for message in owner.messages if message.id != id]
    return f"{id}: no answer"


def answer_twice(soak_run: SoakRun) -> str:
    owner = next(each for each in soak_run.owners if each.received(Kind.ANSWER))
    answer = owner.received(Kind.ANSWER)[0]
    owner.messages.append(answer)
    return f"{answer.id}: 2 answers"


def drop_end(soak_run: SoakRun) -> str:
    answered = [m.id for owner in soak_run.owners for m in owner.received(Kind.ANSWER)]
    record = next(r for r in soak_run.records.values() if r.id in answered and not r.withdrawn)
    record.ended = True
    for owner in [*soak_run.owners, *soak_run.past_owners]:
        owner.messages = [m for m in owner.messages if (m.id, m.kind) != (record.id, Kind.RELEASE)]
    return f"{record.id}: its end was not reported"


def run_twice(soak_run: SoakRun) -> str:
    record = next(r for r in soak_run.records.values() if r.unsafe and r.accepted)
    record.accepted.append("m99")
    return f"{record.id}: ran at {record.accepted}"


def leave_running(soak_run: SoakRun) -> str:
    answered = [m.id for owner in soak_run.owners for m in owner.received(Kind.ANSWER)]
    record = next(r for r in soak_run.records.values() if r.id in answered and len(r.accepted) == 1)
    record.withdrawn, record.cancelled_ns = True, soak_run.terminated_ns - 2 * soak.RELEASE_TIMEOUT_NS
    soak_run.running[record.id] = (soak_run.bed.machines[0], MachineConn.__new__(MachineConn))
    return f"{record.id}: its owner ended it, and it still runs"


def exit_with_error(soak_run: SoakRun) -> str:
    soak_run.bed.child.returncode = 1
    return "ended with status 1"


def test_the_judge_finds_a_set_up_sent_past_the_grace_of_a_drain(tmp_path: Path) -> None:
    soak_run = soak_service.ServiceSoakRun(tmp_path, 1)
    try:
        owner = soak_run.owners[0]
        soak_run._send_setups(owner, 1)
        soak_run.bed.run(lambda: owner.messages)
        receiver = next(machine for machine in soak_run.bed.machines if machine.received(Kind.SETUP))
        conn, message = receiver.conns[0], receiver.received(Kind.SETUP)[0]
        soak_run._run_rounds(soak_service.RECEIVE_ROUNDS)
        soak_run.forbidden_after_ns[receiver.name] = soak_run.round_starts_ns[0] + 1
        soak_run._on_message(conn, message)
        assert not soak_run.late_setups
        soak_run.forbidden_after_ns[receiver.name] = soak_run.round_starts_ns[0] - soak_service.TOLERANCE_NS
        soak_run._on_message(conn, message)
        assert f"{message.id}: sent to {receiver.name} 50 ms past its grace" in soak_run.find_faults()
    finally:
        soak_run.bed.close()


def test_the_judge_finds_each_fault_in_a_manipulated_recording(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(soak, "STEPS", 60)
    soak_run = SoakRun(tmp_path, 1)
    try:
        soak_run.run()
        assert soak_run.find_faults() == []
        kept: Any = [list(owner.messages) for owner in (*soak_run.owners, *soak_run.past_owners)]
        for manipulate in (answer_twice, drop_answer, drop_end, run_twice, leave_running, exit_with_error):
            expected = manipulate(soak_run)
            assert expected in soak_run.find_faults(), manipulate.__name__
            for owner, got in zip((*soak_run.owners, *soak_run.past_owners), kept, strict=True):
                owner.messages = list(got)
    finally:
        soak_run.bed.close()
