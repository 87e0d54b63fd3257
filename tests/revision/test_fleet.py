"""Emulated fleets: the outcomes that operators get, the active revisions, and tests of the judge itself."""

from __future__ import annotations

from typing import Any

import pytest

from ladderhub.lab.checker.schedules import check_randomly
from ladderhub.lab.emulator.net import MS, Faults, S
from ladderhub.lab.emulator.revisions import RevisionSimulation, simulate_changes
from ladderhub.revision import Apply, HeadSeen, MessageReceived, Notify, Revisions, RevisionSettings, Tick
from ladderhub.revision.activation import Activation
from ladderhub.revision.messages import Head, Header, Headers
from ladderhub.revision.opinions import Opinions
from ladderhub.revision.sync import MAX_TRIES
from ladderhub.revision.types import (
    Applied, Invalid, LostTo, NoMajority, Notice, Outcome, Refused, StaleParent, Unchanged,
)  # fmt: skip
from ladderhub.revision.voter import Voter


class Bench(RevisionSimulation):
    """A small fleet with a chosen first revision; `refusals` makes members report faults of bodies."""

    def __init__(self, count: int = 5, loss: float = 0.0, voters: int = 3) -> None:
        self.refusals: dict[tuple[str, bytes], str] = {}
        faults = Faults(loss=loss, delay_ns=(MS, 10 * MS))
        super().__init__(count, seed=1, faults=faults, voters=voters, body_bytes=3000)
        self.wait(5.0)

    def find_body_fault(self, host: Any, body: bytes) -> str | None:
        return self.refusals.get((host.name, body))

    def wait(self, seconds: float) -> None:
        self.net.run(self.net.now + round(seconds * S))

    def ask(self, at: int, body: bytes, parent: bytes | None = None, number: int = 0) -> None:
        request = Apply(number, parent, "ann", "a reason", 1, body)
        self.hosts[at].handle_event(request)

    def outcome(self, number: int = 0) -> Outcome:
        return self.judge.outcomes[number]

    def active(self) -> set[int]:
        return {host.active[-1] if host.active else 0 for host in self.hosts.values() if host.alive}

    def digest(self, at: int = 0) -> bytes:
        return self.hosts[at].revisions.status(self.net.now).digest


def test_a_change_is_in_force_everywhere_within_a_second() -> None:
    bench = Bench()
    assert bench.active() == {1} and not any(host.holds_decisions for host in bench.hosts.values())
    bench.ask(4, b"new", bench.digest())
    bench.wait(1.0)
    outcome = bench.outcome()
    assert isinstance(outcome, Applied) and outcome.header.number == 2 and outcome.silent == ()
    assert bench.active() == {2} and not bench.judge.violations


def test_of_two_operators_at_once_one_is_told_who_won() -> None:
    bench = Bench()
    parent = bench.digest()
    bench.ask(3, b"mine", parent, 1)
    bench.ask(4, b"yours", parent, 2)
    bench.wait(2.0)
    first, second = sorted((bench.outcome(1), bench.outcome(2)), key=lambda each: isinstance(each, LostTo))
    assert isinstance(first, Applied) and isinstance(second, LostTo)
    assert second.winner == first.header and second.winner.author == "ann"
    assert bench.active() == {2}


def test_on_top_of_whatever_is_current_both_are_applied_in_some_order() -> None:
    bench = Bench()
    bench.ask(3, b"mine", None, 1)
    bench.ask(4, b"yours", None, 2)
    bench.wait(2.0)
    both = (bench.outcome(1), bench.outcome(2))
    numbers = {each.header.number for each in both if isinstance(each, Applied)}
    assert numbers == {2, 3} and bench.active() == {3}


def test_a_request_with_an_old_parent_is_answered_at_once() -> None:
    bench = Bench()
    old = bench.digest()
    bench.ask(3, b"new", old, 1)
    bench.wait(1.0)
    bench.ask(4, b"newer", old, 2)
    assert isinstance(bench.outcome(1), Applied)
    stale = bench.outcome(2)
    assert isinstance(stale, StaleParent) and stale.current is not None and stale.current.number == 2


def test_a_request_with_a_parent_that_is_not_known_here_yet_is_not_refused() -> None:
    bench = Bench()
    bench.cut({4}, round(1.2 * S))
    bench.ask(0, b"new", None, 1)
    bench.wait(1.15)  # chosen without it after a second; the partition is about to end
    host, newest = bench.hosts[4], bench.digest(0)
    assert bench.digest(4) != newest
    host.handle_event(HeadSeen(bench.addresses["s0"], bench.hosts[0].revisions.head(bench.net.now)))
    bench.ask(4, b"newer", newest, 2)
    bench.ask(4, b"from nowhere", b"?" * 16, 3)
    bench.wait(2.0)
    assert isinstance(bench.outcome(2), Applied) and isinstance(bench.outcome(3), StaleParent)


def test_applying_the_same_body_again_changes_nothing() -> None:
    bench = Bench()
    for number in (1, 2):
        bench.ask(3, b"new", None, number)
        bench.wait(1.0)
    assert isinstance(bench.outcome(2), Unchanged) and bench.active() == {2}


def test_a_member_that_cannot_act_by_it_keeps_it_inactive_everywhere() -> None:
    bench = Bench()
    bench.refusals["s2", b"too much"] = "no such kind of node"
    bench.ask(4, b"too much")
    bench.wait(2.0)
    assert bench.outcome() == Refused("s2", "no such kind of node")
    assert bench.active() == {1} and set(bench.judge.chosen) == {1}


def test_a_silent_member_is_named_and_says_later_that_it_cannot_act_by_it() -> None:
    bench = Bench()
    bench.refusals["s4", b"too much"] = "no such kind of node"
    bench.pause(4, 3 * S)
    bench.ask(3, b"too much")
    bench.wait(1.5)
    outcome = bench.outcome()
    assert isinstance(outcome, Applied) and outcome.silent == ("s4",)
    bench.wait(4.0)
    status = bench.hosts[4].revisions.status(bench.net.now)
    assert status.fault == "no such kind of node" and status.head == outcome.header
    assert bench.hosts[4].active == [1] and bench.judge.notices[Notice.CANNOT_ACTIVATE] == 1
    bench.ask(0, b"better", None, 1)  # the next body has no fault there
    bench.wait(2.0)
    assert bench.active() == {3}


def test_a_side_without_a_majority_changes_nothing_and_says_how_old_it_is() -> None:
    bench = Bench()
    bench.cut({1, 2, 4}, 20 * S)
    bench.wait(3.0)
    bench.ask(0, b"alone", None, 1)
    bench.ask(4, b"together", None, 2)
    bench.wait(5.0)
    outcome = bench.outcome(1)
    assert isinstance(outcome, NoMajority) and (outcome.answered, outcome.voters) == (1, 3)
    assert not outcome.may_follow and outcome.age_ns is not None and 6 * S <= outcome.age_ns <= 8 * S
    assert isinstance(bench.outcome(2), Applied)
    assert {bench.hosts[at].active[-1] for at in (0, 3)} == {1}
    bench.wait(15.0)
    assert bench.active() == {2}


def test_a_proposer_killed_half_way_has_its_value_finished() -> None:
    for left in range(2, 40, 3):
        bench = Bench(count=4)
        bench.ask(3, b"half way")
        bench.crash(3, 60 * S, actions_left=left)
        bench.wait(6.0)
        living = {host.active[-1] for host in bench.hosts.values() if host.alive}
        assert living == {max(bench.judge.chosen)} and not bench.judge.violations, left


def test_a_late_start_without_or_with_an_old_record_activates_the_newest_before_deciding() -> None:
    bench = Bench()
    bench.crash(4, 15 * S)
    bench.crash(3, 15 * S, keep_disk=False)
    for number in range(10):
        bench.ask(0, b"change %d" % number, None, number)
        bench.wait(1.3)
    bench.wait(2.001)
    for at in (3, 4):
        host = bench.hosts[at]
        assert host.alive and host.holds_decisions
    bench.wait(1.0)
    assert (
        bench.active() == {11} and not bench.hosts[3].holds_decisions and not bench.hosts[4].holds_decisions
    )
    assert set(bench.hosts[4].active) <= {1, 11}  # the revision of its previous life, then the newest


def test_a_scheduler_holds_decisions_after_a_pause_until_it_has_caught_up() -> None:
    bench = Bench()
    bench.pause(4, 5 * S)
    bench.wait(1.0)
    bench.ask(0, b"meanwhile")
    bench.wait(3.9)
    assert bench.hosts[4].revisions.is_stale(bench.net.now)
    bench.wait(1.0)
    assert not bench.hosts[4].holds_decisions and bench.active() == {2}
    assert bench.judge.notices[Notice.CAUGHT_UP] == 6


def test_an_isolated_scheduler_resumes_after_three_seconds_and_reports_the_age() -> None:
    settings = RevisionSettings("a", 1, "h:1", ("h:1", "h:2", "h:3"), b"file")
    revisions = Revisions(settings, None, 1)
    actions = [action for at in range(0, 40) for action in revisions.handle(at * 100 * MS, Tick())]
    notifications = [action for action in actions if isinstance(action, Notify)]
    notices = [action.text for action in notifications if action.notice is Notice.BEHIND]
    assert len(notices) == 1 and notices[0].startswith("nobody answers")
    assert not revisions.is_stale(39 * 100 * MS)


def test_a_file_that_differs_from_what_is_in_force_is_told_and_not_followed() -> None:
    bench = Bench()
    bench.first_body = b"another file"
    bench.crash(4, S)
    bench.wait(4.0)
    assert bench.judge.notices[Notice.FILE_DIFFERS] == 1
    assert bench.active() == {1} and bench.hosts[4].revisions.status(0).file_differs


def test_requests_that_make_no_sense_are_answered() -> None:
    bench = Bench()
    bench.hosts[0].handle_event(Apply(1, None, "x" * 65, "", 1, b""))
    bench.hosts[0].handle_event(Apply(2, None, "x", "ä" * 101, 1, b""))
    bench.hosts[0].handle_event(Apply(3, None, "x", "", 1, bytes(2_000_000)))
    assert all(isinstance(bench.outcome(number), Invalid) for number in (1, 2, 3))


def test_hostile_messages_about_chosen_revisions_change_nothing() -> None:
    bench = Bench()
    host, digest = bench.hosts[3], bench.digest()
    forged = Header(1, bytes(16), "eve", 1, "", bytes(16))
    unlinked = (Header(2, digest, "eve", 1, "", bytes(16)), Header(3, digest, "eve", 1, "", bytes(16)))
    orphan = Header(2, bytes(16), "eve", 1, "", bytes(16))
    for headers in ((forged,), unlinked, (orphan,)):
        host.handle_event(MessageReceived("s1", 1, Headers(1, headers)))
    host.handle_event(HeadSeen("10.0.0.1:7000", Head(1 << 30, bytes(8), 0)))
    bench.wait(5.0)
    assert bench.digest(3) == digest and bench.judge.notices[Notice.CONFLICT] == 1
    bench.ask(0, b"new")
    bench.wait(2.0)
    assert bench.active() == {2}


def test_a_peer_that_claims_a_newer_head_but_never_sends_it_costs_little(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench, asked = Bench(), list[str]()
    send = bench.net.send

    def counted(source: str, target: str, message: Any, size: int) -> None:
        asked.append(target)
        send(source, target, message, size)

    monkeypatch.setattr(bench.net, "send", counted)
    for _ in range(90):
        bench.wait(0.1)
        bench.hosts[3].handle_event(HeadSeen("h:9", Head(1 << 30, bytes(8), 0)))
    assert 0 < asked.count("h:9") <= MAX_TRIES


@pytest.mark.parametrize("voters", [1, 5])
def test_other_numbers_of_voters_decide_too(voters: int) -> None:
    bench = Bench(count=6, loss=0.1, voters=voters)
    for number in range(4):
        bench.ask(number, b"change %d" % number, None, number)
    bench.wait(4.0)
    assert bench.active() == {5} and not bench.judge.violations


def test_changes_under_faults_are_in_force_in_time_on_all_that_are_reachable() -> None:
    for seed in (1, 2):
        verdict = simulate_changes(16, seed, seconds=20)
        assert verdict.is_good(), list(verdict.lines())
        assert verdict.bytes_per_s < 6_000


def test_random_schedules_of_whole_schedulers_hold() -> None:
    found = check_randomly(12, seed=5)
    assert not found.violation, (found.violation, found.seed)


def test_the_judge_fails_where_a_proposal_is_acted_by(monkeypatch: pytest.MonkeyPatch) -> None:
    on_checked = Opinions.on_checked

    def act(self: Opinions, now: int, digest: bytes, fault: str | None) -> None:
        on_checked(self, now, digest, fault)
        header = Header(99, bytes(16), "eve", 1, "", digest)
        activation._activate(header, b"")

    bench = Bench()
    activation = bench.hosts[2].revisions._activation
    monkeypatch.setattr(Opinions, "on_checked", act)
    bench.ask(0, b"new")
    bench.wait(1.0)
    assert any("was not chosen" in each for each in bench.judge.violations)


def test_the_judge_fails_where_an_older_revision_is_activated_after_a_newer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = Bench()
    bench.ask(0, b"new")
    bench.wait(1.0)
    host = bench.hosts[2]
    activation = host.revisions._activation
    monkeypatch.setattr(Activation, "progress", lambda self: self._activate(bench.judge.chosen[1], b""))
    host.handle_event(Tick())
    assert any("in one life" in each for each in bench.judge.violations) and activation.active is not None


def lose_a_record() -> Bench:
    """The first and the second voter choose a revision.  The first loses its record while the second is
    paused, and the third, which does not know the revision, proposes another one."""
    bench = Bench(count=3)
    bench.cut({2}, 2 * S)
    bench.ask(0, b"chosen", None, 1)
    bench.wait(1.9)
    bench.pause(1, 10 * S)
    bench.crash(0, S, keep_disk=False)
    bench.wait(2.0)
    bench.ask(2, b"another", None, 2)
    bench.wait(5.0)
    return bench


def test_a_voter_without_its_record_does_not_help_to_choose_anew() -> None:
    bench = lose_a_record()
    assert isinstance(bench.outcome(1), Applied) and isinstance(bench.outcome(2), NoMajority)
    bench.wait(8.0)
    assert not bench.judge.violations and bench.active() == {2}
    # The voter that lost its record votes again from the number after the next.
    bench.ask(2, b"another", None, 3)
    bench.wait(3.0)
    assert isinstance(bench.outcome(3), Applied) and bench.active() == {3}


def test_the_judge_fails_where_a_voter_votes_without_its_record(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Voter, "_may_vote", lambda self, number: self.is_voter)
    assert any("chosen twice" in each for each in lose_a_record().judge.violations)
