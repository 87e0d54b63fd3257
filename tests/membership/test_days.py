"""The fault days of membership in simulated time, and that their judge can fail."""

from __future__ import annotations

import pytest

from ladderhub.lab.emulator.day import Outcome, Play
from ladderhub.lab.emulator.net import S
from ladderhub.lab.emulator.membership import hour
from ladderhub.lab.mesh.days import DAYS, draw
from ladderhub.membership import MembershipView, failure_detector
from ladderhub.membership.gossip import Gossip
from ladderhub.membership.types import Change


def play(name: str, seed: int, count: int = 16) -> Outcome:
    return Play(draw(name, count, seed), count, seed).run()


@pytest.mark.parametrize("name", DAYS)
def test_on_each_fault_day_nobody_who_lives_is_told_gone_and_all_views_come_together(name: str) -> None:
    for seed in (1, 2):
        outcome = play(name, seed)
        assert not outcome.false_gone, (seed, outcome.false_gone[:3])
        assert outcome.equal_ns >= 0, seed


@pytest.mark.parametrize("count", [3, 5, 40])
def test_days_hold_at_other_sizes(count: int) -> None:
    # Guards against verdicts that a fleet of five could never give: three of five gone left one proxy.
    for name in ("pauses", "one-way", "halves", "restart", "twin", *(("storm",) if count > 3 else ())):
        outcome = play(name, 3, count)
        assert outcome.good(), (name, outcome.false_gone[:3], outcome.equal_ns)


def test_the_judge_fails_where_silence_is_judged_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(failure_detector, "GONE_PERIODS", 2.0)
    monkeypatch.setattr(failure_detector, "SUSPECT_PERIODS", 1.2)
    monkeypatch.setattr(failure_detector, "INDIRECT_PROBE_PERIODS", 1.1)
    assert any(play("pauses", seed).false_gone for seed in (1, 2, 3))


def test_the_judge_fails_where_one_observers_word_is_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        failure_detector.FailureDetector, "has_enough_nacks", lambda self, member, now, others: True
    )
    assert play("ring", 1).false_gone


def test_the_judge_fails_where_neither_news_nor_comparisons_travel(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MembershipView, "_on_sync_digest", lambda self, address, digest: None)
    monkeypatch.setattr(Gossip, "take", lambda self, members, first=None: (first,) if first else ())
    with pytest.raises(AssertionError, match="did not come together"):
        play("births", 1)


def told(outcome: Outcome, *changes: Change) -> set[tuple[str, str]]:
    return {(who, said.name) for _, who, said in outcome.told if said.change in changes}


def test_one_that_nobody_hears_is_told_gone_by_all_and_accuses_nobody() -> None:
    outcome = play("mute", 4)
    mute = {subject for _, subject in told(outcome, Change.GONE)}
    assert len(mute) == 1
    assert len(told(outcome, Change.GONE)) == 15 and not {who for who, _ in told(outcome, Change.GONE)} & mute


def test_one_that_reaches_a_single_witness_stays_or_goes_without_flapping() -> None:
    for seed in range(1, 6):
        outcome = play("reaches-one", seed)
        gone = [(who, said.name) for _, who, said in outcome.told if said.change is Change.GONE]
        assert len(gone) == len(set(gone)), "somebody was told gone twice by one observer"


def test_a_sleeper_accuses_nobody_and_trusts_nothing_until_peers_confirm_it() -> None:
    outcome = play("long-pause", 2)
    sleepers = {who for who, _ in told(outcome, Change.PAUSED)}
    assert sleepers
    for sleeper in sleepers:
        own = [(at, said.change) for at, who, said in outcome.told if who == sleeper]
        woke = next(at for at, change in own if change is Change.PAUSED)
        after = [change for at, change in own if at >= woke]
        assert after.index(Change.UNCONFIRMED) < after.index(Change.CONFIRMED)
        accused = {
            said.name for at, who, said in outcome.told
            if who == sleeper and at < woke + 5 * S and said.change in (Change.GONE, Change.SUSPECTED)
        }  # fmt: skip
        assert accused <= sleepers


def test_of_two_processes_under_one_name_the_elder_stays_and_both_say_so() -> None:
    outcome = play("twin", 1)
    yielded, duplicate = told(outcome, Change.YIELDED), told(outcome, Change.DUPLICATE)
    assert len(yielded) == len(duplicate) == 1 and yielded == duplicate
    lives = {said.change: said.life for _, _, said in outcome.told}
    assert lives[Change.YIELDED] < lives[Change.DUPLICATE]  # each names the other


def test_a_small_hour_costs_a_member_as_much_in_a_larger_fleet() -> None:
    small, large = hour(12, 1, seconds=90, leases=True), hour(48, 1, seconds=90, leases=True)
    for verdict in (small, large):
        assert verdict.good() and verdict.crashes, list(verdict.lines())
        assert verdict.idle_share is not None and verdict.idle_share < 0.1
        assert verdict.p99_s() < 8 and verdict.bytes_s < 2000
    assert large.bytes_s < 1.2 * small.bytes_s
