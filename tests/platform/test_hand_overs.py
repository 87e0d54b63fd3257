"""Tasks that are handed over while a release of an earlier attempt at them is under way.

A machine that hangs or is cut off is given up, and its tasks are told as over.  The owner of a task that must
not be started twice waits, finds that it runs on, and hands it over again, here or to another scheduler."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ladderhub.platform.liveness import SILENCE_LIMIT_NS
from ladderhub.signalling import Kind, Message
from tests.platform.bed import (
    Bed,
    Machine,
    MachineConn,
    Owner,
    S,
    accept_all,
    ignore_all,
    place_task,
    release,
)
from tests.platform.test_cut_off import (
    BROKEN,
    CANCELLED,
    OWNER_WAITS_NS,
    Cut,
    confirm_releases,
    count_logged,
    cut_until_given_up,
    get_releases,
)

NORMAL = 16


class Hang:
    """Has the first machine hang until `end`: its connections come up, and nothing is read from them."""

    def __init__(self, bed: Bed) -> None:
        self.machine = bed.machines[0]
        for conn in self.machine.conns:
            conn.stream.pause(True)
        self.machine.on_accept = lambda conn: conn.stream.pause(True)

    def end(self) -> None:
        self.machine.on_accept = lambda conn: None
        for conn in list(self.machine.conns):
            conn.stream.pause(False)


def say_nothing_of_releases(conn: MachineConn, message: Message) -> None:
    """Accept everything, and report no end: the report is lost, or the task is unknown here."""
    accept_all(conn, message)


def run_until_given_up(bed: Bed) -> None:
    bed.run(span_ns=SILENCE_LIMIT_NS + 2 * S)
    assert count_logged(bed, "machine.silent") == 1


def make_hand_over(asked: Message, machine: Machine) -> Message:
    """The set-up with which the owner of this task hands it over, as it runs on this machine."""
    return replace(asked, fields=asked.fields | {"extras": f"{asked.fields['extras']};at:{machine.name}"})


def hand_over(bed: Bed, owner: Owner, asked: Message) -> None:
    owner.send(make_hand_over(asked, bed.machines[0]))
    bed.run(lambda: bed.service.tasks.find(asked.id) is not None)


def get_told(owner: Owner) -> list[tuple[str, int | None]]:
    """The tasks that were told as over, with the causes."""
    return [(each.id, each.cause) for each in owner.received(Kind.RELEASE)]


@pytest.mark.parametrize("outage", [Hang, Cut])
def test_a_task_handed_over_during_an_outage_is_not_cut_by_the_release_of_its_loss(
    beds: Any, outage: Any
) -> None:
    # Guards against a release that outlives its attempt: it cut the task that had been taken over since.
    bed = beds(confirm_releases)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner, "bill")
    trouble = outage(bed)
    run_until_given_up(bed)
    bed.run(span_ns=OWNER_WAITS_NS)
    hand_over(bed, owner, asked)
    bed.run(span_ns=S)
    trouble.end()
    bed.run(span_ns=4 * S)
    link = bed.service.links.get("m0")
    assert get_releases(machine) == [] and asked.id in link.running
    assert get_told(owner) == [(asked.id, BROKEN)]
    machine.conns[-1].send(release(asked.id, NORMAL))
    bed.run(lambda: len(get_told(owner)) == 2)
    assert get_told(owner)[1] == (asked.id, NORMAL)
    assert not link.tasks.has_duties()


@pytest.mark.parametrize("script", [confirm_releases, say_nothing_of_releases])
def test_an_end_by_a_release_that_can_not_be_withdrawn_is_told_to_who_holds_the_task_then(
    beds: Any, script: Any
) -> None:
    # Guards against owners that hold a task which has ended: it was cut after they had handed it over again.
    bed = beds(script)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)  # it may be started twice, so its release is sent without waiting
    hang = Hang(bed)
    run_until_given_up(bed)
    bed.run(span_ns=OWNER_WAITS_NS)
    hand_over(bed, owner, asked)
    assert get_told(owner) == [(asked.id, BROKEN)]
    hang.end()
    bed.run(span_ns=S)
    assert asked.id in get_releases(machine)
    assert get_told(owner) == [(asked.id, BROKEN)] * 2
    link = bed.service.links.get("m0")
    assert not link.tasks.has_duties() and bed.service.tasks.find(asked.id) is None


def test_a_task_that_may_be_started_twice_is_released_although_a_hand_over_crosses_its_loss(
    beds: Any,
) -> None:
    # Guards against copies without an owner, who asks again as soon as it hears of the loss.
    bed = beds(confirm_releases)
    owner = Owner(bed)
    asked = place_task(bed, owner, "web")
    cut = cut_until_given_up(bed)
    hand_over(bed, owner, asked)
    cut.end()
    bed.run(span_ns=4 * S)
    assert get_releases(cut.machine) == [asked.id] and not cut.link.tasks.has_duties()
    assert get_told(owner) == [(asked.id, BROKEN)] * 2


@pytest.mark.parametrize("klass", ["web", "bill"])
def test_a_task_that_another_scheduler_had_cut_is_told_to_its_owner(beds: Any, klass: str) -> None:
    # Guards against an end that a scheduler caused which gave the machine up, while this one holds the task.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner, klass)
    bed.machines[0].conns[0].send(release(asked.id, CANCELLED))
    bed.run(span_ns=S)
    assert get_told(owner) == [(asked.id, BROKEN)]


def test_an_end_that_its_owner_asked_for_is_not_told(beds: Any) -> None:
    bed = beds(confirm_releases)
    owner = Owner(bed)
    asked = place_task(bed, owner, "bill")
    owner.send(release(asked.id, CANCELLED))
    bed.run(span_ns=2 * S)
    assert get_releases(bed.machines[0]) == [asked.id] and get_told(owner) == []


def test_what_its_owner_has_ended_is_cut_although_it_is_handed_over_after_that(beds: Any) -> None:
    bed = beds(confirm_releases)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner, "bill")
    cut = Cut(bed)
    for conn in list(machine.conns):
        conn.stream.abort()  # so that the release waits for a connection
    bed.run()
    owner.send(release(asked.id, CANCELLED))
    bed.run(lambda: owner.received(Kind.RELEASED))
    hand_over(bed, owner, asked)
    cut.end()
    bed.run(span_ns=4 * S)
    assert asked.id in get_releases(machine)
    link = bed.service.links.get("m0")
    assert not link.tasks.has_duties()


@pytest.mark.parametrize("outage", [Hang, Cut])
@pytest.mark.parametrize("klass", ["web", "bill"])
def test_a_task_that_nobody_hands_over_is_released_once_its_machine_is_back(
    beds: Any, outage: Any, klass: str
) -> None:
    bed = beds(confirm_releases)
    machine, owner = bed.machines[0], Owner(bed)
    asked = {place_task(bed, owner, klass).id for _ in range(3)}
    trouble = outage(bed)
    run_until_given_up(bed)
    bed.run(span_ns=OWNER_WAITS_NS)
    trouble.end()
    bed.run(span_ns=3 * S)
    assert set(get_releases(machine)) == asked
    assert not bed.service.links.get("m0").tasks.has_duties()


def test_a_release_is_sent_again_if_its_connection_breaks_after_the_machine_was_found_alive(
    beds: Any,
) -> None:
    # Guards against a release that is sent once and forgotten, or that waits for a second answer to a ping.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner, "bill")
    cut = Cut(bed)
    run_until_given_up(bed)

    def reset_once(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.RELEASE:
            machine.script = confirm_releases
            conn.reset()

    machine.script = reset_once
    cut.end()
    bed.run(span_ns=4 * S)
    assert get_releases(machine) == [asked.id, asked.id]
    assert not cut.link.tasks.has_duties()


def test_a_task_that_is_handed_over_at_each_loss_of_a_long_outage_stands_after_it(beds: Any) -> None:
    bed = beds(confirm_releases)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner, "bill")
    hang = Hang(bed)
    for losses in range(1, 4):
        bed.run(lambda losses=losses: count_logged(bed, "machine.silent") == losses, span_ns=10 * S)
        assert len(get_told(owner)) == losses
        hand_over(bed, owner, asked)
    hang.end()
    bed.run(span_ns=4 * S)
    assert get_releases(machine) == [] and asked.id in bed.service.links.get("m0").running
    assert len(get_told(owner)) == 3


def test_a_process_that_ends_during_a_hang_leaves_no_release_for_what_its_successor_takes_over(
    beds: Any,
) -> None:
    # Guards against a cut by a process that is gone: the hung machine read its release when it went on.
    bed = beds(confirm_releases)
    machine, owner = bed.machines[0], Owner(bed)
    place_task(bed, owner, "bill")
    hang = Hang(bed)
    run_until_given_up(bed)
    bed.service.stop()
    bed.run(lambda: count_logged(bed, "stopped"), span_ns=5 * S)
    bed.service.links._links.clear()  # the loop goes on with the machine alone
    hang.end()
    bed.run(span_ns=S)
    assert get_releases(machine) == []


@pytest.mark.parametrize("klass", ["web", "bill"])
@pytest.mark.parametrize("script", [confirm_releases, say_nothing_of_releases])
def test_a_hand_over_that_crosses_the_release_of_its_loss_is_told_as_over(
    beds: Any, script: Any, klass: str
) -> None:
    # Guards against a task that counts as running for ever: its end was taken as a confirmation alone.
    bed = beds(script)
    owner = Owner(bed)
    asked = place_task(bed, owner, klass)
    cut = Cut(bed)
    run_until_given_up(bed)
    cut.end()
    bed.run(lambda: asked.id in get_releases(cut.machine), span_ns=2 * S)
    bed.run(span_ns=S)
    assert not cut.link.tasks.has_duties()
    told = len(get_told(owner))
    owner.send(make_hand_over(asked, cut.machine))
    bed.run(lambda: len(get_told(owner)) > told)
    assert get_told(owner)[-1] == (asked.id, BROKEN)
    assert not cut.link.tasks.has_duties() and bed.service.tasks.find(asked.id) is None


@pytest.mark.parametrize("is_given_up", [False, True])
def test_a_hand_over_that_crosses_the_release_of_an_unanswered_set_up_is_told_as_over(
    beds: Any, is_given_up: bool
) -> None:
    # Guards against a task that counts as running for ever: it ran, and its answer came after its time.
    bed = beds(ignore_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = bed.setup("bill", left=1000)
    owner.send(asked)
    bed.run(lambda: machine.received(Kind.SETUP))
    if is_given_up:
        owner.send(release(asked.id, NORMAL))
        bed.run(lambda: machine.received(Kind.RELEASE))
    else:
        bed.run(span_ns=S)
        assert get_told(owner) == [(asked.id, BROKEN)]
    machine.script = confirm_releases
    machine.conns[0].send(Message(Kind.ANSWER, asked.id, None, f"runs {asked.id}\r\n"))
    bed.run(lambda: get_releases(machine))
    bed.run(span_ns=S)
    told = get_told(owner)
    owner.send(make_hand_over(asked, machine))
    bed.run(lambda: len(get_told(owner)) > len(told))
    assert get_told(owner)[-1] == (asked.id, BROKEN)
    assert not bed.service.links.get("m0").tasks.has_duties()


def test_a_hand_over_that_crosses_the_end_of_its_task_is_told_as_over(beds: Any) -> None:
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)
    machine.conns[0].send(release(asked.id, NORMAL))
    bed.run(lambda: get_told(owner))
    owner.send(make_hand_over(asked, machine))
    bed.run(lambda: len(get_told(owner)) == 2)
    assert not bed.service.links.get("m0").tasks.has_duties()


@pytest.mark.parametrize("loses_connection", [False, True])
def test_an_end_that_its_owner_did_not_confirm_is_not_told_after_the_task_is_handed_over(
    beds: Any, loses_connection: bool
) -> None:
    # Guards against a task that stands and is told as over: the end of its earlier attempt was repeated.
    bed = beds(accept_all)
    owner, other = Owner(bed, acknowledges=False), Owner(bed, acknowledges=False)
    asked = place_task(bed, owner, "bill")
    place_task(bed, other)
    cut = Cut(bed)
    bed.run(lambda: get_told(owner), span_ns=SILENCE_LIMIT_NS + S)
    hand_over(bed, owner, asked)

    def count_told() -> int:
        return (get_told(owner) + get_told(other)).count((asked.id, BROKEN))

    told_before = count_told()
    if loses_connection:
        owner.stream.abort()
    cut.end()
    bed.run(span_ns=3 * S)
    assert 0 < told_before == count_told()
    assert asked.id in cut.link.running


@pytest.mark.parametrize("cause", [CANCELLED, NORMAL])
def test_the_end_of_a_task_that_was_given_up_is_told_although_another_scheduler_may_hold_it(
    beds: Any, cause: int
) -> None:
    # Guards against an end that nobody tells: the machine reported it to the scheduler that had the task cut.
    bed = beds(confirm_releases, settle_ns=OWNER_WAITS_NS)
    owner = Owner(bed)
    asked, repeatable = place_task(bed, owner, "bill"), place_task(bed, owner, "web")
    cut = cut_until_given_up(bed)
    assert sorted(get_told(owner)) == [(asked.id, BROKEN), (repeatable.id, BROKEN)]
    bed.run(span_ns=OWNER_WAITS_NS)
    if cause == NORMAL:
        cut.machine.on_accept = lambda conn: conn.send(release(asked.id, NORMAL))
    cut.end()
    bed.run(span_ns=3 * S)
    assert not cut.link.tasks.has_duties()
    assert get_told(owner)[2:] == [(asked.id, BROKEN if cause == CANCELLED else cause)]


@pytest.mark.parametrize(("script", "waited_ns"), [(confirm_releases, 0), (say_nothing_of_releases, 9 * S)])
def test_a_task_that_was_given_up_is_told_once_if_nobody_can_hold_it(
    beds: Any, script: Any, waited_ns: int
) -> None:
    # Its owner still waits to see whether it runs, or the machine did not run it when the release came.
    bed = beds(script, settle_ns=OWNER_WAITS_NS)
    owner = Owner(bed)
    asked = place_task(bed, owner, "bill")
    cut = Cut(bed)
    for _ in range(8):
        if not get_told(owner):
            bed.run(span_ns=S)
    bed.run(span_ns=waited_ns)
    cut.end()
    bed.run(span_ns=3 * S)
    assert get_releases(cut.machine) == [asked.id] and not cut.link.tasks.has_duties()
    assert get_told(owner) == [(asked.id, BROKEN)]


@pytest.mark.parametrize(("cause", "told"), [(CANCELLED, BROKEN), (34, None)])
def test_the_end_of_a_task_whose_answer_was_not_heard_is_told_if_another_scheduler_may_hold_it(
    beds: Any, cause: int, told: int | None
) -> None:
    # Guards against an end that nobody tells: the release of a set-up that was out of time had cut the task.
    def answer_late(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.RELEASE:
            conn.send(release(message.id, cause))

    bed = beds(answer_late, settle_ns=OWNER_WAITS_NS)
    machine, owner = bed.machines[0], Owner(bed)
    asked = bed.setup("bill", left=1000)
    owner.send(asked)
    bed.run(lambda: machine.received(Kind.SETUP))
    hang = Hang(bed)
    bed.run(span_ns=S)
    assert get_told(owner) == [(asked.id, BROKEN)]
    bed.run(span_ns=OWNER_WAITS_NS)
    hang.end()
    bed.run(span_ns=2 * S)
    assert asked.id in get_releases(machine)
    assert get_told(owner)[1:] == ([] if told is None else [(asked.id, told)])
    assert not bed.service.links.get("m0").tasks.has_duties()


def test_a_task_handed_over_while_the_release_of_its_set_up_lies_unread_is_told_as_over(beds: Any) -> None:
    # Guards against a task that counts as running for ever: it was cut by the release of a set-up that had
    # been out of time, and the machine's report went to a connection that was closed by then.
    bed = beds(say_nothing_of_releases)
    machine, owner = bed.machines[0], Owner(bed)
    machine.script = ignore_all
    asked = bed.setup("bill", left=1000)
    owner.send(asked)
    bed.run(lambda: machine.received(Kind.SETUP))
    hang = Hang(bed)
    bed.run(span_ns=S)
    assert get_told(owner) == [(asked.id, BROKEN)]
    bed.run(span_ns=OWNER_WAITS_NS)
    hand_over(bed, owner, asked)
    hang.end()
    bed.run(span_ns=2 * S)
    assert asked.id in get_releases(machine)
    assert get_told(owner) == [(asked.id, BROKEN)] * 2
    assert not bed.service.links.get("m0").tasks.has_duties()
