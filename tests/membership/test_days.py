"""The fault days of membership in simulated time, and checks that their judge detects planted faults."""

from __future__ import annotations

import pytest

from ladderhub.lab.emulator.day import Outcome, DaySimulation
from ladderhub.lab.emulator.net import S
from ladderhub.lab.emulator.membership import simulate_membership
from ladderhub.lab.mesh.days import DAYS, draw_day
from ladderhub.membership import MembershipView, failure_detector
from ladderhub.membership.gossip import Gossip
from ladderhub.membership.types import Change


def play(name: str, seed: int, count: int = 16) -> Outcome:
    return DaySimulation(draw_day(name, count, seed), count, seed).run()


@pytest.mark.parametrize("name", DAYS)
def test_on_each_fault_day_no_living_member_is_declared_gone_and_all_views_converge(name: str) -> None:
    for seed in (1, 2):
        outcome = play(name, seed)
        assert not outcome.false_gone, (seed, outcome.false_gone[:3])
        assert outcome.convergence_ns >= 0, seed


@pytest.mark.parametrize("count", [3, 5, 40])
def test_fault_days_pass_with_other_numbers_of_members(count: int) -> None:
    # Guards against requiring more nacks than there are proxies: three of five members gone leave one proxy.
    for name in ("pauses", "one-way", "halves", "restart", "twin", *(("storm",) if count > 3 else ())):
        outcome = play(name, 3, count)
        assert outcome.is_good(), (name, outcome.false_gone[:3], outcome.convergence_ns)


def test_the_judge_finds_that_members_are_declared_gone_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(failure_detector, "GONE_PERIODS", 2.0)
    monkeypatch.setattr(failure_detector, "SUSPECT_PERIODS", 1.2)
    monkeypatch.setattr(failure_detector, "INDIRECT_PROBE_PERIODS", 1.1)
    assert any(play("pauses", seed).false_gone for seed in (1, 2, 3))


def test_the_judge_finds_that_a_single_observer_declares_members_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        failure_detector.FailureDetector, "has_enough_nacks", lambda self, member, now, others: True
    )
    assert play("ring", 1).false_gone


def test_the_judge_finds_that_views_differ_without_gossip_and_anti_entropy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(MembershipView, "_on_sync_digest", lambda self, address, digest: None)
    monkeypatch.setattr(Gossip, "take", lambda self, members, first=None: (first,) if first else ())
    with pytest.raises(AssertionError, match="did not come together"):
        play("births", 1)


def find_reports(outcome: Outcome, *changes: Change) -> set[tuple[str, str]]:
    return {(observer, report.name) for _, observer, report in outcome.reports if report.change in changes}


def test_a_member_that_nobody_hears_is_declared_gone_by_all_and_declares_none_gone() -> None:
    outcome = play("mute", 4)
    mute = {member for _, member in find_reports(outcome, Change.GONE)}
    assert len(mute) == 1
    assert (
        len(find_reports(outcome, Change.GONE)) == 15
        and not {observer for observer, _ in find_reports(outcome, Change.GONE)} & mute
    )


def test_a_member_with_a_single_reachable_peer_does_not_flap() -> None:
    for seed in range(1, 6):
        outcome = play("reaches-one", seed)
        gone = [
            (observer, report.name) for _, observer, report in outcome.reports if report.change is Change.GONE
        ]
        assert len(gone) == len(set(gone)), "one observer declared a member gone twice"


def test_after_a_long_pause_a_member_declares_none_gone_and_waits_for_peers_to_confirm_its_view() -> None:
    outcome = play("long-pause", 2)
    paused_members = {observer for observer, _ in find_reports(outcome, Change.PAUSED)}
    assert paused_members
    for member in paused_members:
        own = [(at, report.change) for at, observer, report in outcome.reports if observer == member]
        resumed = next(at for at, change in own if change is Change.PAUSED)
        after = [change for at, change in own if at >= resumed]
        assert after.index(Change.UNCONFIRMED) < after.index(Change.CONFIRMED)
        declared = {
            report.name for at, observer, report in outcome.reports
            if observer == member and at < resumed + 5 * S
            and report.change in (Change.GONE, Change.SUSPECTED)
        }  # fmt: skip
        assert declared <= paused_members


def test_of_two_processes_with_one_name_the_older_stays_and_both_report_it() -> None:
    outcome = play("twin", 1)
    yielded, duplicate = find_reports(outcome, Change.YIELDED), find_reports(outcome, Change.DUPLICATE)
    assert len(yielded) == len(duplicate) == 1 and yielded == duplicate
    lives = {report.change: report.life for _, _, report in outcome.reports}
    assert lives[Change.YIELDED] < lives[Change.DUPLICATE]  # each process reports the life of the other


def test_the_cost_per_member_does_not_grow_with_the_number_of_members() -> None:
    small, large = (
        simulate_membership(12, 1, seconds=90, leases=True),
        simulate_membership(48, 1, seconds=90, leases=True),
    )
    for verdict in (small, large):
        assert verdict.is_good() and verdict.crashes, list(verdict.lines())
        assert verdict.idle_share is not None and verdict.idle_share < 0.1
        assert verdict.get_p99_s() < 8 and verdict.bytes_per_s < 2000
    assert large.bytes_per_s < 1.2 * small.bytes_per_s
