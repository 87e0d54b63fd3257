"""Leases: a bounded exhaustive check, random schedules, planted faults that both must find, fair shares."""

from __future__ import annotations

from typing import Any

import pytest

from ladderhub.lab.checker.leases import (
    HOST_COUNT,
    SLOT_COUNT,
    Fault,
    check_randomly,
    check_exhaustively,
    enumerate_faults,
    create_warm_world,
)
from ladderhub.membership import (
    MessageReceived,
    LeaseHolder,
    LeaseSettings,
    LeasesHeld,
    MembershipSummary,
    Stop,
)
from ladderhub.membership.messages import LeaseRequest, LeaseGrant
from ladderhub.membership.slots import decode_slots, encode_slots
from ladderhub.membership.voter import LeaseVoter
from ladderhub.peers.wire import VERSION, Frame, encode


def test_every_schedule_with_one_fault_gives_each_slot_at_most_one_holder() -> None:
    found = check_exhaustively(4, faults=1)
    assert not found.violation, (found.violation, found.schedule)
    assert found.schedules == 1 + 4 * len(list(enumerate_faults(0))) == 157


def test_random_schedules_with_many_faults_give_each_slot_at_most_one_holder() -> None:
    found = check_randomly(250, seed=11)
    assert not found.violation, (found.violation, found.schedule)


class OneVote(LeaseHolder):
    """Planted fault: one vote counts as a majority."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._majority = 1


class NoSilence(LeaseHolder):
    """Planted fault: a restarted voter grants at once."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        if self.voter is not None:
            self.voter._silent_until_ns = 0


class FromReceipt(LeaseHolder):
    """Planted fault: the lease runs from the grant instead of the request."""

    def _on_grant(self, now: int, grant: LeaseGrant) -> None:
        if grant.number in self._rounds:
            self._rounds[grant.number].begun_ns = now
        super()._on_grant(now, grant)


class NoQuarantine(LeaseHolder):
    """Planted fault: a slot is used as soon as it is held."""

    def get_usable_leases(self, now: int) -> LeasesHeld:
        slots = tuple(self.get_held_slots(now))
        return LeasesHeld(slots, min((self._expires_ns[slot] for slot in slots), default=-1))


@pytest.mark.parametrize("planted", [OneVote, NoSilence, FromReceipt, NoQuarantine])
def test_a_planted_fault_is_found(planted: type[LeaseHolder]) -> None:
    assert check_randomly(1500, 1, planted).violation


class GrantsHeldSlots(LeaseHolder):
    """Planted fault: a voter grants slots that another holder still has."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        if self.voter is not None:
            self.voter._is_free = lambda now, slot, holder: True  # type: ignore[method-assign]


def test_the_exhaustive_check_finds_a_planted_fault_too() -> None:
    found = check_exhaustively(4, GrantsHeldSlots, faults=1)
    assert found.violation and isinstance(found.schedule[0], Fault)


def test_without_faults_every_slot_has_a_holder() -> None:
    world = create_warm_world()
    for _ in range(30):
        world.step([])
    assert not world.violations and world.idle_slot_steps == 0 and world.checked_slot_steps == 30 * SLOT_COUNT
    assert sorted(slot for host in world.hosts for slot in host.held.slots) == list(range(HOST_COUNT))


def holder(voters: tuple[str, ...] = ("a:1",), slots: int = 7, **changes: Any) -> LeaseHolder:
    given: dict[str, Any] = {"name": "a", "life": 1, "address": "a:1", "lease_ns": 80, "window_ns": 10}
    return LeaseHolder(LeaseSettings(**(given | {"slots": slots, "voters": voters} | changes)), 1, 0)


def test_a_single_member_takes_all_slots_after_lease_and_window_and_releases_some_for_new_members() -> None:
    alone = holder()
    first = None
    for now in range(0, 300):
        alone.handle(now, MembershipSummary(1, 0, True))
        first = now if first is None and len(alone.get_usable_leases(now).slots) == 7 else first
    assert first is not None and 80 + 10 <= first <= 80 + 10 + 50
    for now in range(300, 400):
        alone.handle(now, MembershipSummary(3, 1, True))
    assert len(alone.get_usable_leases(399).slots) == 3
    assert any(isinstance(each, LeasesHeld) and not each.slots for each in alone.handle(400, Stop()))
    assert alone.get_usable_leases(400).slots == ()


def test_with_an_unconfirmed_view_no_slot_is_used_and_afterwards_only_slots_granted_since() -> None:
    alone = holder()
    for now in range(0, 200):
        alone.handle(now, MembershipSummary(1, 0, True))
    assert alone.get_usable_leases(199).slots
    out = alone.handle(200, MembershipSummary(1, 0, False))
    assert LeasesHeld((), -1) in out and alone.get_usable_leases(200).slots == ()
    alone.handle(201, MembershipSummary(1, 0, True))
    for now in range(202, 240):
        alone.handle(now, MembershipSummary(1, 0, True))
    assert len(alone.get_usable_leases(239).slots) == 7


def test_without_a_majority_of_voters_no_slot_is_held() -> None:
    cut = holder(("b:1", "c:1", "d:1"))
    for now in range(0, 500):
        cut.handle(now, MembershipSummary(1, 0, True))
    one = LeaseGrant(cut._number, encode_slots({1}, 7), encode_slots(set(range(7)), 7), "b:1")
    cut.handle(500, MessageReceived("b", 1, 0, one))
    assert cut.get_usable_leases(500).slots == () and cut.get_held_slots(500) == []


def test_decoding_returns_the_encoded_slots_and_ignores_invalid_ones() -> None:
    for count in (7, 1024, 4096):
        for wanted in (set(), {0}, {6}, {0, 3, 6}, {count - 1}, set(range(count)), set(range(0, count, 2))):
            assert decode_slots(encode_slots(wanted, count), count) == wanted
    for nonsense in (b"\x00" + b"\xff" * 600, b"\x01" + b"\xff" * 601, b"\x07\x01", b"\x01\x00"):
        assert decode_slots(nonsense, 7) <= set(range(7))


def test_lease_messages_are_small_in_a_large_fleet_and_fit_a_datagram_in_any() -> None:
    def size(message: LeaseRequest | LeaseGrant, name: str = "sched100") -> int:
        return len(encode(Frame(VERSION, 1 << 31, name, 1 << 61, 0, message)))

    one = {count: encode_slots({count - 1}, count) for count in (64, 1024)}
    small, large = (size(LeaseRequest(9999, one[count], "10.0.0.1:15010", False)) for count in one)
    assert large <= small + 2  # a member's requests do not grow with the number of members
    half = encode_slots(set(range(0, 4096, 2)), 4096)
    assert size(LeaseGrant((1 << 31) - 1, half, half, "h" * 58 + ":65535"), "n" * 64) <= 1200


@pytest.mark.parametrize(
    ("changes", "field"),
    [({"slots": 0}, "slots"), ({"slots": 5000}, "slots"), ({"voters": ()}, "voters"),
     ({"voters": ("a:1", "a:1")}, "voters"), ({"lease_ns": 0}, "lease_ns")],
)  # fmt: skip
def test_invalid_lease_settings_are_rejected_by_field(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        holder(**changes)


def test_a_voter_is_silent_for_a_lease_after_its_start() -> None:
    voter = LeaseVoter(LeaseSettings("a", 1, "a:1", 3, ("a:1",), 80, 10), 1000)
    assert voter.handle_request(1079, ("b", 1), LeaseRequest(1, encode_slots({0}, 3), "b:1", True)) is None
    assert (
        voter.handle_request(1080, ("b", 1), LeaseRequest(1, encode_slots({0}, 3), "b:1", True)) is not None
    )
