"""Seats: a bounded exhaustive check, random schedules, planted faults that both must find, and the deal."""

from __future__ import annotations

from typing import Any

import pytest

from ladderhub.lab.checker.seats import COUNT, SLOTS, Fault, at_random, exhaustive, faults_of, prepared
from ladderhub.membership import Heard, Seats, SeatSettings, SeatsHeld, Share, Stop
from ladderhub.membership.messages import Claim, Granted
from ladderhub.membership.seats import Elector, bits_of, slots_of
from ladderhub.peers.wire import VERSION, Frame, encode


def test_no_schedule_of_few_faults_gives_a_seat_two_holders() -> None:
    found = exhaustive(4, faults=1)
    assert not found.broken, (found.broken, found.schedule)
    assert found.schedules == 1 + 4 * len(list(faults_of(0))) == 157


def test_random_schedules_of_many_faults_give_no_seat_two_holders() -> None:
    found = at_random(250, seed=11)
    assert not found.broken, (found.broken, found.schedule)


class OneVote(Seats):
    """A grant of one elector is enough."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._majority = 1


class NoSilence(Seats):
    """An elector that starts anew grants at once."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        if self.elector is not None:
            self.elector._quiet_until = 0


class FromReceipt(Seats):
    """The lease counts from the answer, not from the question."""

    def _on_granted(self, now: int, granted: Granted) -> None:
        if granted.number in self._rounds:
            self._rounds[granted.number].begun_ns = now
        super()._on_granted(now, granted)


class NoRest(Seats):
    """A seat is used as soon as it is held."""

    def usable(self, now: int) -> tuple[tuple[int, ...], int]:
        slots = tuple(self.held(now))
        return slots, min((self._until[slot] for slot in slots), default=-1)


@pytest.mark.parametrize("planted", [OneVote, NoSilence, FromReceipt, NoRest])
def test_a_planted_fault_is_found(planted: type[Seats]) -> None:
    assert at_random(1500, 1, planted).broken


class Generous(Seats):
    """An elector that grants what another still holds."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        if self.elector is not None:
            self.elector._free = lambda now, slot, holder: True  # type: ignore[method-assign]


def test_the_exhaustive_check_finds_a_planted_fault_too() -> None:
    found = exhaustive(4, Generous, faults=1)
    assert found.broken and isinstance(found.schedule[0], Fault)


def test_with_no_faults_every_seat_has_a_holder() -> None:
    world = prepared()
    for _ in range(30):
        world.step([])
    assert not world.broken and world.idle == 0 and world.looked == 30 * SLOTS
    assert sorted(slot for host in world.hosts for slot in host.used[0]) == list(range(COUNT))


def seats(electors: tuple[str, ...] = ("a:1",), slots: int = 7, **changes: Any) -> Seats:
    given: dict[str, Any] = {"name": "a", "life": 1, "address": "a:1", "lease_ns": 80, "window_ns": 10}
    return Seats(SeatSettings(**(given | {"slots": slots, "electors": electors} | changes)), 1, 0)


def test_one_alone_takes_all_seats_after_a_lease_and_a_window_and_gives_them_up_as_others_come() -> None:
    alone = seats()
    first = None
    for now in range(0, 300):
        alone.handle(now, Share(1, 0, True))
        first = now if first is None and len(alone.usable(now)[0]) == 7 else first
    assert first is not None and 80 + 10 <= first <= 80 + 10 + 50
    for now in range(300, 400):
        alone.handle(now, Share(3, 1, True))
    assert len(alone.usable(399)[0]) == 3
    assert any(isinstance(each, SeatsHeld) and not each.slots for each in alone.handle(400, Stop()))
    assert alone.usable(400)[0] == ()


def test_while_the_view_is_unsure_no_seat_is_used_and_after_it_only_what_was_granted_since() -> None:
    alone = seats()
    for now in range(0, 200):
        alone.handle(now, Share(1, 0, True))
    assert alone.usable(199)[0]
    out = alone.handle(200, Share(1, 0, False))
    assert SeatsHeld((), -1) in out and alone.usable(200)[0] == ()
    alone.handle(201, Share(1, 0, True))
    for now in range(202, 240):
        alone.handle(now, Share(1, 0, True))
    assert len(alone.usable(239)[0]) == 7


def test_no_answer_of_electors_means_no_seat() -> None:
    cut = seats(("b:1", "c:1", "d:1"))
    for now in range(0, 500):
        cut.handle(now, Share(1, 0, True))
    one = Granted(cut._number, bits_of({1}, 7), bits_of(set(range(7)), 7), "b:1")
    cut.handle(500, Heard("b", 1, 0, one))
    assert cut.usable(500)[0] == () and cut.held(500) == []


def test_slots_and_their_bits_are_one_to_one() -> None:
    for count in (7, 1024, 4096):
        for wanted in (set(), {0}, {6}, {0, 3, 6}, {count - 1}, set(range(count)), set(range(0, count, 2))):
            assert slots_of(bits_of(wanted, count), count) == wanted
    for nonsense in (b"\x00" + b"\xff" * 600, b"\x01" + b"\xff" * 601, b"\x07\x01", b"\x01\x00"):
        assert slots_of(nonsense, 7) <= set(range(7))


def test_seat_messages_are_small_in_a_large_fleet_and_fit_a_datagram_in_any() -> None:
    def size(message: Claim | Granted, name: str = "sched100") -> int:
        return len(encode(Frame(VERSION, 1 << 31, name, 1 << 61, 0, message)))

    one = {count: bits_of({count - 1}, count) for count in (64, 1024)}
    small, large = (size(Claim(9999, one[count], "10.0.0.1:15010", False)) for count in one)
    assert large <= small + 2  # what a member sends does not grow with the fleet
    half = bits_of(set(range(0, 4096, 2)), 4096)
    assert size(Granted((1 << 31) - 1, half, half, "h" * 58 + ":65535"), "n" * 64) <= 1200


@pytest.mark.parametrize(
    ("changes", "said"),
    [({"slots": 0}, "slots"), ({"slots": 5000}, "slots"), ({"electors": ()}, "electors"),
     ({"electors": ("a:1", "a:1")}, "electors"), ({"lease_ns": 0}, "lease_ns")],
)  # fmt: skip
def test_settings_of_seats_that_make_no_sense_are_told(changes: dict[str, Any], said: str) -> None:
    with pytest.raises(ValueError, match=said):
        seats(**changes)


def test_an_elector_is_silent_for_a_lease_after_its_start() -> None:
    elector = Elector(SeatSettings("a", 1, "a:1", 3, ("a:1",), 80, 10), 1000)
    assert elector.claim(1079, ("b", 1), Claim(1, bits_of({0}, 3), "b:1", True)) is None
    assert elector.claim(1080, ("b", 1), Claim(1, bits_of({0}, 3), "b:1", True)) is not None
