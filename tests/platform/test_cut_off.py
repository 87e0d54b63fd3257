"""Machines that are cut off while their tasks run on: what ends meanwhile is released on their return."""

from __future__ import annotations

import json
from typing import Any

import pytest

from ladderhub.platform.liveness import SILENCE_LIMIT_NS
from ladderhub.signalling import Kind, Message
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import (
    MS,
    Bed,
    Machine,
    MachineConn,
    Owner,
    S,
    accept_all,
    event,
    ignore_all,
    open_unreachable_address,
    place_task,
    release,
)

CANCELLED, BROKEN = 31, 41
OWNER_WAITS_NS = 3 * S  # before it asks again for a task that must not be started twice
CUT_NS = 6 * S


class Cut:
    """Cuts the first machine off until `end`: open connections say nothing, new ones never come up."""

    def __init__(self, bed: Bed) -> None:
        self.bed, self.machine = bed, bed.machines[0]
        link = bed.service.links.get("m0")
        assert link is not None
        self.link = link
        self.link.address, self.sockets = open_unreachable_address()
        for conn in self.machine.conns:
            conn.stream.pause(True)

    def end(self) -> None:
        """The network is whole again; the machine runs what it ran."""
        self.link.address = self.machine.address
        for conn in list(self.machine.conns):
            conn.stream.pause(False)
        for sock in self.sockets:
            sock.close()


def get_releases(machine: Machine) -> list[str]:
    """The tasks whose release came to the machine, in order."""
    return [message.id for message in machine.received(Kind.RELEASE)]


def confirm_releases(conn: MachineConn, message: Message) -> None:
    """Accept everything, and report the end of each task that is released."""
    accept_all(conn, message)
    if message.kind is Kind.RELEASE:
        conn.send(release(message.id, CANCELLED))


def cut_until_given_up(bed: Bed) -> Cut:
    """Cut the first machine off for so long that it is given up as silent."""
    cut = Cut(bed)
    bed.run(span_ns=SILENCE_LIMIT_NS + 2 * S)
    assert count_logged(bed, "machine.silent")
    return cut


def count_logged(bed: Bed, name: str) -> int:
    return sum(row["event"] == name for row in bed.logged)


@pytest.mark.parametrize("phase_ms", range(0, 1000, 100))
def test_a_task_that_its_owner_ends_during_an_outage_is_released_before_it_is_asked_for_again(
    beds: Any, phase_ms: int
) -> None:
    # Guards against unsafe tasks that run twice: the release was dropped as the machine was given up.
    bed = beds(confirm_releases)
    owner = Owner(bed)
    ended, other = place_task(bed, owner, "bill"), place_task(bed, owner, "bill")
    bed.run(span_ns=3 * S + phase_ms * MS)  # a machine is pinged once a second
    cut = Cut(bed)
    bed.run(span_ns=4 * S)
    owner.send(release(ended.id, CANCELLED))
    bed.run(lambda: owner.received(Kind.RELEASED))
    bed.run(span_ns=CUT_NS - 4 * S)
    cut.end()
    bed.run(span_ns=4 * S + OWNER_WAITS_NS - CUT_NS)
    bed.run()
    assert ended.id in get_releases(cut.machine)
    told = [each.id for each in owner.received(Kind.RELEASE)]
    assert told == ([other.id] if count_logged(bed, "machine.silent") else [])
    assert (other.id in get_releases(cut.machine)) == bool(told)


@pytest.mark.parametrize("cut_s", [1, 3, 6, 7, 12])
@pytest.mark.parametrize("ended_after", [0.1, 0.5, 0.9])
def test_what_ends_at_any_moment_of_an_outage_is_released_and_nothing_later_is(
    beds: Any, cut_s: int, ended_after: float
) -> None:
    bed = beds(confirm_releases)
    owner = Owner(bed)
    for _ in range(2):
        ended = place_task(bed, owner, "bill")
        cut = Cut(bed)
        bed.run(span_ns=round(cut_s * S * ended_after))
        owner.send(release(ended.id, CANCELLED))
        bed.run(span_ns=round(cut_s * S * (1 - ended_after)))
        cut.end()
        bed.run(span_ns=2 * S)
        meanwhile = place_task(bed, owner, "bill")
        bed.run(span_ns=S)
        assert get_releases(cut.machine).count(ended.id) >= 1
        assert meanwhile.id in cut.link.running and meanwhile.id not in get_releases(cut.machine)
        owner.send(release(meanwhile.id, CANCELLED))
        bed.run(span_ns=S)
        assert not cut.link.tasks.has_duties()


def test_tasks_of_a_machine_given_up_as_silent_are_released_once_it_is_back(beds: Any) -> None:
    # Guards against copies that run on without an owner, who was told that they are over.
    bed = beds(confirm_releases)
    owner = Owner(bed)
    asked = {place_task(bed, owner).id for _ in range(3)}
    cut = cut_until_given_up(bed)
    assert {each.id for each in owner.received(Kind.RELEASE)} == asked
    assert not get_releases(cut.machine)
    cut.end()
    bed.run(span_ns=2 * S)
    assert sorted(get_releases(cut.machine)) == sorted(asked)
    assert not cut.link.tasks.has_duties()
    assert len(owner.received(Kind.RELEASE)) == 3


def test_a_machine_that_returns_cold_after_it_was_given_up_is_owed_nothing_once_it_has_read_that(
    beds: Any,
) -> None:
    bed = beds(accept_all)  # it says nothing about the release of a task that it does not know
    owner = Owner(bed)
    place_task(bed, owner)
    cut = cut_until_given_up(bed)
    for conn in list(cut.machine.conns):
        conn.reset()
    cut.end()
    bed.run(span_ns=3 * S)
    assert len(get_releases(cut.machine)) == 1
    assert not cut.link.tasks.has_duties()
    pings = len(cut.machine.received(Kind.PING))
    bed.run(span_ns=5 * S)
    assert len(cut.machine.received(Kind.PING)) == pings


def test_a_release_swallowed_by_a_reset_after_the_outage_is_sent_again(beds: Any) -> None:
    bed = beds(ignore_all)
    machine, owner = bed.machines[0], Owner(bed)
    machine.script = accept_all
    asked = place_task(bed, owner)
    cut = cut_until_given_up(bed)
    machine.script = ignore_all
    machine.silent = True  # neither the release nor the ping behind it is answered
    cut.end()
    bed.run(span_ns=1_500 * MS)
    assert get_releases(machine) == [asked.id]
    machine.silent, machine.script = False, confirm_releases
    for conn in list(machine.conns):
        conn.reset()
    bed.run(span_ns=3 * S)
    assert get_releases(machine) == [asked.id, asked.id]
    assert not cut.link.tasks.has_duties()


def test_an_end_that_the_machine_reports_first_is_told_once_and_settles_the_release(beds: Any) -> None:
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)
    cut = cut_until_given_up(bed)
    machine.on_accept = lambda conn: conn.send(release(asked.id, 16))
    cut.end()
    bed.run(span_ns=3 * S)
    assert [(each.id, each.cause) for each in owner.received(Kind.RELEASE)] == [(asked.id, BROKEN)]
    assert not cut.link.tasks.has_duties()


def test_a_task_whose_cut_the_machine_reported_on_a_dead_connection_is_not_kept_for_ever(beds: Any) -> None:
    # Guards against tasks that count as running, and releases as pending, for as long as the machine lives.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)
    machine.silent = True
    owner.send(release(asked.id, CANCELLED))
    bed.run(lambda: get_releases(machine))  # the machine cuts the task, and its word on that is lost
    machine.silent = False
    for conn in list(machine.conns):
        conn.reset()
    bed.run(span_ns=3 * S)
    link = bed.service.links.get("m0")
    assert link is not None and not link.tasks.has_duties()
    assert not bed.service.tasks._by_number
    assert get_releases(machine) == [asked.id, asked.id]


def test_a_set_up_whose_connection_was_given_up_as_silent_is_released_if_it_runs(beds: Any) -> None:
    # Guards against unsafe tasks that run twice: the machine's answer was lost with the connection.
    bed = beds(ignore_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = bed.setup("bill", left=2500)
    owner.send(asked)
    bed.run(lambda: machine.received(Kind.SETUP))
    cut = Cut(bed)
    row = machine.row(since_ms=1) | {"address": ":".join(map(str, cut.link.address))}
    bed.service.apply_event(decode_event(json.dumps(event(2, row)).encode()))
    bed.run(span_ns=S)
    assert [(each.id, each.cause) for each in owner.received(Kind.RELEASE)] == [(asked.id, BROKEN)]
    cut.end()
    bed.run(span_ns=2 * S)
    assert get_releases(machine) == [asked.id]
    assert not cut.link.tasks.has_duties()


def test_a_second_attempt_at_a_machine_waits_until_the_first_one_has_been_released(beds: Any) -> None:
    # Both have the same id: the release would end the second attempt if it were read after that.
    bed = beds(ignore_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = bed.setup("web", left=9000)
    owner.send(asked)
    bed.run(lambda: machine.received(Kind.SETUP))
    machine.dead_conns = list(machine.conns)
    bed.service.apply_event(decode_event(json.dumps(event(2, machine.row(since_ms=1))).encode()))
    bed.run(span_ns=3 * S)
    kinds = [each.kind for each in machine.messages if each.id == asked.id]
    assert kinds == [Kind.SETUP, Kind.RELEASE, Kind.SETUP]


def test_a_machine_given_up_whose_process_has_died_is_owed_nothing(beds: Any) -> None:
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    place_task(bed, owner)
    cut = cut_until_given_up(bed)
    machine.die()
    cut.end()
    bed.run(span_ns=3 * S)
    assert not cut.link.tasks.has_duties() and not cut.link.conns


def test_a_machine_given_up_that_leaves_the_list_is_owed_nothing(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    place_task(bed, owner)
    cut = cut_until_given_up(bed)
    bed.service.apply_event(decode_event(json.dumps(event(2, cut.machine.row("gone"))).encode()))
    bed.run(span_ns=2 * S)
    assert bed.service.links.get("m0") is None and bed.service.links.connection_count == 0
    cut.end()


def test_a_set_up_closed_as_silent_leaves_nothing_owed_to_a_machine_that_has_left_the_list(beds: Any) -> None:
    bed = beds(ignore_all)
    machine, owner = bed.machines[0], Owner(bed)
    owner.send(bed.setup("bill", left=2500))
    bed.run(lambda: machine.received(Kind.SETUP))
    machine.dead_conns = list(machine.conns)
    bed.service.apply_event(decode_event(json.dumps(event(2, machine.row(since_ms=1))).encode()))
    bed.run()
    bed.service.apply_event(decode_event(json.dumps(event(3, machine.row("gone", since_ms=1))).encode()))
    bed.run(span_ns=S)
    assert bed.service.links.get("m0") is None and bed.service.links.connection_count == 0
    assert not get_releases(machine) and owner.received(Kind.RELEASE)


@pytest.mark.parametrize("outage_s", [20, 120])
def test_a_machine_is_dialled_less_often_the_longer_its_outage_lasts(beds: Any, outage_s: int) -> None:
    bed = beds(confirm_releases)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    cut = cut_until_given_up(bed)
    before = count_logged(bed, "machine.unreached")
    for _ in range(outage_s):
        bed.run(span_ns=S)
    dials = count_logged(bed, "machine.unreached") - before
    assert 0 < dials <= outage_s // 2
    cut.end()
    for _ in range(outage_s // 8 + 2):
        bed.run(span_ns=S)
    assert get_releases(cut.machine) == [asked.id]


def test_a_machine_that_accepts_connections_and_says_nothing_holds_one_at_a_time(beds: Any) -> None:
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    place_task(bed, owner)
    machine.silent, machine.script = True, ignore_all
    for _ in range(60):
        bed.run(span_ns=S)
        assert bed.service.links.connection_count <= 2
    assert count_logged(bed, "machine.silent")
    machine.silent, machine.script = False, confirm_releases
    bed.run(span_ns=10 * S)
    link = bed.service.links.get("m0")
    assert link is not None and not link.tasks.has_duties()
