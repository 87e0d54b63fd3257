"""Ballots: exhaustive search of all schedules within small bounds, and injected faults that it must find."""

from __future__ import annotations

import pytest

from ladderhub.lab.checker.ballot_processes import Bounds, CheckedClasses
from ladderhub.lab.checker.ballots import check_randomly, check_exhaustively
from ladderhub.revision.ballots import PaxosInstance
from ladderhub.revision.content import NO_DIGEST, body_digest
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Accept, Ballot, FetchHeaders, Header, HeadIs, Prepare
from ladderhub.revision.types import Acceptance, Record, RevisionSettings, Send, Store
from ladderhub.revision.voter import Voter


def test_no_schedule_of_two_operators_gives_a_number_two_values() -> None:
    found = check_exhaustively(Bounds(numbers=1, ballots=(1, 1)))
    assert not found.violation, (found.violation, found.trace)
    assert found.is_complete and found.states == 2_786
    assert len(found.chosen) == 2  # the value of either operator


def test_no_schedule_breaks_the_chain_of_two_revisions() -> None:
    found = check_exhaustively(Bounds(numbers=2, ballots=(1, 1)))
    assert not found.violation, (found.violation, found.trace)
    assert found.is_complete and len(found.chosen) == 4


def test_no_schedule_with_proposers_that_start_again_gives_a_number_two_values() -> None:
    found = check_exhaustively(Bounds(numbers=1, ballots=(1, 1), restarts=1))
    assert not found.violation, (found.violation, found.trace)
    assert found.is_complete


def test_random_schedules_of_more_ballots_and_lives_hold() -> None:
    found = check_randomly(150, seed=3)
    assert not found.violation, (found.violation, found.trace)
    assert {number for number, _ in found.chosen} == {1, 2, 3}


class ForgetsPromises(Ledger):
    """Injected fault: a promise is not stored on disk."""

    def record_promise(self, ballot: Ballot) -> None:
        self.promised = ballot


class ForgetsAcceptances(Ledger):
    """Injected fault: an acceptance is not stored on disk."""

    def record_acceptance(self, ballot: Ballot, header: Header, body: bytes) -> None:
        super().record_acceptance(ballot, header, body)
        self._dirty = False


class AnswersFirst(Voter):
    """Injected fault: the answer is sent before the record is on disk."""

    def on_accept(self, accept: Accept, body: bytes | None) -> None:
        super().on_accept(accept, body)
        self._context.actions.sort(key=lambda action: isinstance(action, Store))


class AcceptsBelowItsPromise(Voter):
    def on_accept(self, accept: Accept, body: bytes | None) -> None:
        self._ledger.promised = None
        super().on_accept(accept, body)


class PromisesBelowItsPromise(Voter):
    def on_prepare(self, prepare: Prepare) -> None:
        self._ledger.promised = None
        super().on_prepare(prepare)


class HidesAcceptances(Voter):
    """Injected fault: a promise does not report the value accepted earlier."""

    def on_prepare(self, prepare: Prepare) -> None:
        self._ledger.accepted = None
        super().on_prepare(prepare)


class KeepsItsOwnValue(PaxosInstance):
    """Injected fault: the proposer always proposes its own value."""

    def _select_value(self, now: int) -> None:
        self._promises.clear()
        super()._select_value(now)


class TakesTheLowestValue(PaxosInstance):
    """Injected fault: of the accepted values the proposer selects the one with the lowest ballot."""

    def _select_value(self, now: int) -> None:
        accepted = [each for each in self._promises.values() if each.accepted is not None]
        lowest = min(accepted, key=lambda each: each.accepted or Ballot(0, 0), default=None)
        if lowest is not None:
            self._promises = {lowest.voter: lowest}
        super()._select_value(now)


SHALLOW = [
    CheckedClasses(ledger=ForgetsPromises), CheckedClasses(ledger=ForgetsAcceptances),
    CheckedClasses(voter=AnswersFirst), CheckedClasses(voter=AcceptsBelowItsPromise),
    CheckedClasses(voter=PromisesBelowItsPromise), CheckedClasses(voter=HidesAcceptances),
    CheckedClasses(instance=KeepsItsOwnValue),
]  # fmt: skip


def name_of(classes: CheckedClasses) -> str:
    replaced = (classes.ledger, classes.voter, classes.instance)
    return next(each.__name__ for each in replaced if each.__module__ == __name__)


@pytest.mark.parametrize("classes", SHALLOW, ids=name_of)
def test_the_search_finds_an_injected_fault(classes: CheckedClasses) -> None:
    assert check_exhaustively(Bounds(states=10_000), classes).violation


@pytest.mark.parametrize("classes", SHALLOW[:1] + SHALLOW[-2:], ids=name_of)
def test_random_schedules_find_an_injected_fault(classes: CheckedClasses) -> None:
    assert check_randomly(500, 1, classes=classes).violation


def test_a_proposer_that_takes_the_lowest_value_is_found() -> None:
    classes = CheckedClasses(instance=TakesTheLowestValue)
    assert check_randomly(1_500, 2, Bounds(ballots=(3, 3)), classes).violation


def test_a_majority_that_is_one_too_small_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RevisionSettings, "majority", property(lambda self: len(self.voters) // 2))
    assert check_exhaustively(Bounds(states=10_000)).violation


def test_a_ballot_that_a_later_life_uses_again_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original_init = Context.__init__

    def without_life(self: Context, settings: RevisionSettings, seed: int) -> None:
        original_init(self, settings, seed)
        self.proposer_id = int(settings.name[1])

    monkeypatch.setattr(Context, "__init__", without_life)
    assert check_randomly(1_500, 2, Bounds(ballots=(3, 2), restarts=1)).violation


def voter_with(record: Record) -> tuple[Context, Ledger, Voter]:
    settings = RevisionSettings("v", 1, "v:1", ("v:1", "w:1", "x:1"), b"")
    context = Context(settings, 1)
    ledger = Ledger(context, record)
    return context, ledger, Voter(context, ledger)


def test_every_answer_of_a_voter_follows_its_record() -> None:
    context, _, voter = voter_with(Record(votes_from=1))
    voter.on_prepare(Prepare(1, Ballot(1, 1), "p:1"))
    assert [type(action) for action in context.actions] == [Store, Send]


def test_a_voter_asked_for_a_later_number_keeps_its_vote_and_asks_what_was_chosen() -> None:
    header = Header(1, NO_DIGEST, "ann", 0, "", body_digest(b""))
    record = Record(promised=Ballot(1, 1), accepted=Acceptance(Ballot(1, 1), header, b""), votes_from=1)
    context, ledger, voter = voter_with(record)
    voter.on_prepare(Prepare(2, Ballot(9, 1), "p:1"))
    voter.on_accept(Accept(Ballot(9, 1), Header(2, NO_DIGEST, "", 0, "", bytes(16)), "p:1", "p:1"), b"")
    assert context.actions == [Send("p:1", FetchHeaders(1, "v:1"))] * 2
    assert ledger.accepted == record.accepted


def test_a_voter_without_its_record_votes_on_nothing_that_it_may_have_voted_on() -> None:
    context, _, voter = voter_with(Record())
    voter.on_head_is(HeadIs(1, "w:1", 4, 5))
    voter.on_prepare(Prepare(1, Ballot(1, 1), "p:1"))
    assert context.actions == []  # one answer does not overlap with every majority
    voter.on_head_is(HeadIs(1, "x:1", 3, 3))
    stored = [action.record for action in context.actions if isinstance(action, Store)]
    assert [record.votes_from for record in stored] == [7]


def test_a_new_fleet_needs_every_voter_once() -> None:
    context, ledger, voter = voter_with(Record())
    voter.on_head_is(HeadIs(1, "w:1", 0, None))
    assert ledger.votes_from is None
    voter.on_head_is(HeadIs(1, "x:1", 0, None))
    assert ledger.votes_from == 1 and isinstance(context.actions[0], Store)
