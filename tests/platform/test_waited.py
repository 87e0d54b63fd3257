"""The time that a set-up waited before it was read is subtracted from its time, and nothing more."""

from __future__ import annotations

import os
import signal
import time
from typing import Any

import pytest

from ladderhub.signalling import Code, Kind, Message
from tests.platform.bed import MS, START_NS, Bed, MachineConn, Owner, S, accept_all, ignore_all

CALLERS = 300  # several times as many as one round accepts
LEFT_MS = 3000
IDLE_ROUNDS = 300
SLACK_MS = 150  # a deadline sent on may exceed the client's by this


def get_sent_deadlines_ms(bed: Bed) -> list[int]:
    """The time limits in the set-ups sent to machines."""
    setups = [message for machine in bed.machines for message in machine.received(Kind.SETUP)]
    return [int(message.values[Code.WAIT]) for message in setups]


def test_each_caller_is_charged_the_time_it_waited_to_be_accepted(beds: Any) -> None:
    # Guards against answers after the deadline, as only the callers of the first round were charged.
    bed = beds(*[ignore_all] * 8, sockets=2048)
    for _ in range(CALLERS):
        Owner(bed).send(bed.setup("bill", left=2000, cores=0.01, memory=0.01))
    bed.clock.advance(700 * MS)
    bed.run(lambda: len(get_sent_deadlines_ms(bed)) == CALLERS)
    assert max(get_sent_deadlines_ms(bed)) <= 2000 - 700 + SLACK_MS


def test_a_caller_is_not_charged_for_callers_accepted_before_it(beds: Any) -> None:
    # Guards against set-ups refused because other callers had waited.
    bed = beds(*[accept_all] * 8, sockets=2048)
    for _ in range(CALLERS):
        Owner(bed)
    bed.clock.advance(S)
    bed.run(lambda: bed.service.owners.count_connections() == CALLERS)
    Owner(bed).send(bed.setup(left=2000))
    bed.run(lambda: get_sent_deadlines_ms(bed))
    assert min(get_sent_deadlines_ms(bed)) >= 2000 - 2 * SLACK_MS


def test_a_first_set_up_is_not_charged_the_time_since_its_caller_connected(beds: Any) -> None:
    # Guards against set-ups refused at once because their connection was idle before.
    bed = beds(accept_all)
    owner = Owner(bed)
    bed.run(span_ns=2 * S)
    owner.send(bed.setup(left=1500))
    bed.run(lambda: owner.messages)
    assert owner.received(Kind.ANSWER) and min(get_sent_deadlines_ms(bed)) >= 1500 - SLACK_MS


def test_a_first_set_up_is_charged_its_accept_although_the_next_select_takes_long(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a `select` that waited for a processor being taken for one that waited for the set-up.
    bed = beds(ignore_all)
    selector = bed.loop._selector
    select = selector.select

    def select_slowly(timeout: float | None = None) -> Any:
        found = select(0)
        bed.clock.advance(MS)
        return found

    monkeypatch.setattr(selector, "select", select_slowly)
    monkeypatch.setattr(bed.service.owners, "get_waited_since_ns", lambda: bed.clock.now_ns() - 700 * MS)
    Owner(bed).send(bed.setup("bill", left=2000))
    bed.run(lambda: get_sent_deadlines_ms(bed))
    assert max(get_sent_deadlines_ms(bed)) <= 2000 - 700 + SLACK_MS


def test_a_set_up_is_answered_by_the_module_although_the_clock_advances_while_it_is_placed(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a pause between two reads of the clock, after which the module assumes a later deadline.
    bed = beds(ignore_all)
    owner, asked = Owner(bed), bed.setup("web", left=500)
    owner.send(asked)
    tasks = bed.service.tasks
    place = tasks.placing._place

    def place_slowly(task: Any) -> None:
        monkeypatch.setattr(bed.clock, "now_ns", lambda: bed.clock.advance(60 * MS) or bed.clock.value_ns)
        place(task)
        monkeypatch.undo()

    tasks.placing._place = place_slowly
    bed.run(span_ns=S)
    assert [each.cause for each in owner.received(Kind.RELEASE)] and bed.clock.now_ns() > START_NS
    assert not [row for row in bed.logged if row["event"] == "unanswered"]


def test_a_set_up_gets_no_more_time_if_the_clock_advances_while_it_is_accepted(beds: Any) -> None:
    bed = beds(ignore_all)
    tasks = bed.service.tasks
    take = tasks.accept

    def take_slowly(*args: Any) -> Any:
        bed.clock.advance(400 * MS)
        return take(*args)

    tasks.accept = take_slowly
    Owner(bed).send(bed.setup("bill", left=2000))
    bed.run(lambda: get_sent_deadlines_ms(bed))
    assert max(get_sent_deadlines_ms(bed)) <= 2000 - 400 + SLACK_MS


@pytest.mark.parametrize("callers", [1, 1000])
def test_a_real_process_that_stood_still_passes_on_no_more_than_its_callers_have_left(
    process_beds: Any, callers: int
) -> None:
    # Guards against answers after the deadline by a scheduler with a thousand waiting callers.
    sent_deadlines_ms: dict[str, list[int]] = {}

    def on_message(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            sent_deadlines_ms.setdefault(message.id, []).append(int(message.values[Code.WAIT]))
            accept_all(conn, message)

    bed = process_beds(*[on_message] * 40, sockets=8192)
    for _ in range(IDLE_ROUNDS):
        bed.loop.run_once(MS)
    os.kill(bed.child.pid, signal.SIGSTOP)  # while it waits in `select`, as it has nothing to do
    written_s: dict[str, float] = {}
    owners = []
    for _ in range(callers):
        asked = bed.setup(LEFT_MS)
        asked.fields["class"] = "bill"  # not repeatable, so its attempts get all the time that is left
        owners.append(bed.owner())
        owners[-1].send(asked)
        written_s[asked.id] = time.monotonic()
    until_s = time.monotonic() + 1
    while time.monotonic() < until_s:
        bed.loop.run_once(MS)
    resumed_s = time.monotonic()
    os.kill(bed.child.pid, signal.SIGCONT)
    bed.run(lambda: all(owner.messages for owner in owners))
    assert all(owner.received(Kind.ANSWER) for owner in owners)
    finals = [owner.received(Kind.ANSWER) + owner.received(Kind.RELEASE) for owner in owners]
    assert all(len(each) == 1 for each in finals) and not any(owner.closed for owner in owners)
    assert sent_deadlines_ms
    left_ms = {id: LEFT_MS - (resumed_s - written_s[id]) * 1000 for id in sent_deadlines_ms}
    assert not {
        id: sent_deadlines
        for id, sent_deadlines in sent_deadlines_ms.items()
        if max(sent_deadlines) > left_ms[id] + SLACK_MS
    }
