"""The order in which queued set-ups are placed, and what happens to them when the process ends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ladderhub.platform.setup_queue import SetupQueue
from ladderhub.signalling import Kind, Message
from tests.platform.bed import NEVER_RAN_CAUSES, Owner, S, ignore_all
from tests.platform.test_crowd import slow_down


@dataclass
class FakeSetup:
    name: str
    until_ns: int = 1000
    waiting: bool = True

    def is_waiting(self) -> bool:
        return self.waiting


def take_all(queue: SetupQueue[FakeSetup], now_ns: int = 0) -> list[str]:
    names = []
    while (each := queue.take(now_ns)) is not None:
        each.waiting = False
        names.append(each.name)
    return names


def test_callers_are_served_round_robin_and_each_in_its_order() -> None:
    queue: SetupQueue[FakeSetup] = SetupQueue(10, 100)
    for name in ("a1", "a2", "a3", "b1", "b2", "c1"):
        queue.add(name[0], FakeSetup(name))
    assert take_all(queue) == ["a1", "b1", "c1", "a2", "b2", "a3"]
    assert len(queue) == 0


def test_a_set_up_close_to_its_deadline_goes_first() -> None:
    queue: SetupQueue[FakeSetup] = SetupQueue(10, 100)
    for name, until_ns in (("a1", 1000), ("a2", 50), ("b1", 40)):
        queue.add(name[0], FakeSetup(name, until_ns))
    assert take_all(queue, 39)[:1] == ["b1"]
    queue.add("a", FakeSetup("a3"))
    assert take_all(queue) == ["a3"]


def test_a_set_up_that_no_longer_waits_is_skipped() -> None:
    queue: SetupQueue[FakeSetup] = SetupQueue(10, 2)
    first, second = FakeSetup("a1"), FakeSetup("a2")
    queue.add("a", first)
    queue.add("a", second)
    assert queue.is_full()
    first.waiting = False
    assert take_all(queue) == ["a2"] and not queue.is_full()


def test_waiting_set_ups_are_refused_when_the_process_ends(beds: Any) -> None:
    bed = beds(ignore_all)
    slow_down(bed)
    owner = Owner(bed)
    setups = [bed.setup(left=9000, cores=0.01, memory=0.01) for _ in range(30)]
    owner.send(*setups)
    bed.run(lambda: bed.machine_messages)
    bed.service.tasks.answer_all()
    bed.run(lambda: len(owner.received(Kind.RELEASE)) == 30)
    assert all(each.cause in (*NEVER_RAN_CAUSES, 41) for each in owner.received(Kind.RELEASE))
    assert len(bed.machines[0].received(Kind.SETUP)) < 30 and not bed.service.tasks.open_count


def test_a_set_up_cancelled_before_its_turn_starts_no_attempt(beds: Any) -> None:
    bed = beds(ignore_all)
    slow_down(bed)
    owner = Owner(bed)
    setups = [bed.setup(left=9000, cores=0.01, memory=0.01) for _ in range(40)]
    owner.send(*setups, *[Message(Kind.RELEASE, each.id, 16) for each in setups[20:]])
    bed.run(span_ns=2 * S)
    started = {message.id for message in bed.machines[0].received(Kind.SETUP)}
    assert started == {each.id for each in setups[:20]}
