"""Voters without a record: a new fleet always chooses a first revision, and votes that may be lost count."""

from __future__ import annotations

import heapq
import random
from itertools import count

import pytest

from ladderhub.revision import (
    Activate, BodyChecked, CheckBody, MembersChanged, MessageReceived, Revisions, RevisionSettings, Send,
    Tick, WakeAt,
)  # fmt: skip
from ladderhub.revision.messages import AskHead, Ballot, HeadIs, Prepare, Promise
from ladderhub.revision.types import Action, Event

MS, S = 1_000_000, 1_000_000_000
VOTERS = tuple(f"10.0.0.{at}:1" for at in range(5))
NAMES = {f"s{at}": address for at, address in enumerate(VOTERS)}


def scheduler(name: str, life: int = 1) -> Revisions:
    return Revisions(RevisionSettings(name, life, NAMES[name], VOTERS, b"{}"), None, seed=life)


class Group:
    """Five new voters that start at random times; messages take up to `max_delay_ns`."""

    def __init__(self, seed: int, max_delay_ns: int) -> None:
        self._random, self._max_delay_ns = random.Random(seed), max_delay_ns
        self._queue: list[tuple[int, int, str, Event]] = []
        self._count = count()
        self._schedulers = {name: scheduler(name) for name in NAMES}
        self._started: set[str] = set()
        self.active: dict[str, int] = {}
        for name in NAMES:
            self._add(self._random.randrange(300 * MS), name, MembersChanged(NAMES))

    def _add(self, at_ns: int, name: str, event: Event) -> None:
        heapq.heappush(self._queue, (at_ns, next(self._count), name, event))

    def run(self, until_ns: int) -> None:
        while self._queue and self._queue[0][0] < until_ns:
            now, _, name, event = heapq.heappop(self._queue)
            if isinstance(event, MembersChanged):
                self._started.add(name)
            if name in self._started:
                for action in self._schedulers[name].handle(now, event):
                    self._carry(now, name, action)

    def _carry(self, now: int, name: str, action: Action) -> None:
        if isinstance(action, Send):
            to = next(each for each, address in NAMES.items() if address == action.address)
            delay_ns = self._random.randrange(MS, self._max_delay_ns)
            self._add(now + delay_ns, to, MessageReceived(name, 1, action.message))
        elif isinstance(action, WakeAt):
            self._add(action.at_ns, name, Tick())
        elif isinstance(action, CheckBody):
            self._add(now, name, BodyChecked(action.digest, None))
        elif isinstance(action, Activate):
            self.active[name] = action.revision.header.number


@pytest.mark.parametrize("seed", range(25))
def test_a_new_fleet_activates_its_first_revision_however_its_voters_start(seed: int) -> None:
    # Guards against a voter that makes a promise before the others know that they have never voted: they then
    # vote only from number 3 on, and number 1 never gets a majority.
    group = Group(seed, (2, 20, 120)[seed % 3] * MS)
    group.run(20 * S)
    assert group.active == dict.fromkeys(NAMES, 1)


def ask_accepted(revisions: Revisions, now: int) -> int | None:
    """Return the accepted number in the answer to `AskHead`."""
    ask = MessageReceived("s4", 1, AskHead(7, VOTERS[4]))
    answers = [each.message for each in revisions.handle(now, ask) if isinstance(each, Send)]
    return next(each.accepted for each in answers if isinstance(each, HeadIs) and each.nonce == 7)


def test_votes_that_a_voter_may_have_lost_are_reported_as_cast() -> None:
    # Guards against two voters that lose their records one after the other: the second concludes from the
    # answer of the first that nobody has voted, and votes on a number that was chosen with its own vote.
    revisions = scheduler("s0", life=2)
    asked = [each.message for each in revisions.handle(0, Tick()) if isinstance(each, Send)]
    nonce = next(each.nonce for each in asked if isinstance(each, AskHead))
    assert ask_accepted(revisions, MS) is None
    for at, accepted in ((1, 1), (2, 0), (3, 0)):
        revisions.handle(2 * MS, MessageReceived(f"s{at}", 1, HeadIs(nonce, VOTERS[at], 0, accepted)))
    reported = ask_accepted(revisions, 3 * MS)
    assert reported is not None and reported >= 2


def test_a_promise_on_the_first_number_shows_that_a_vote_may_be_lost() -> None:
    # Guards against a voter that accepts number 1 and loses its record while the acceptances of the others
    # are in flight: it takes the fleet for new and gives another first revision a majority.
    revisions = scheduler("s0")
    asked = [each.message for each in revisions.handle(0, Tick()) if isinstance(each, Send)]
    nonce = next(each.nonce for each in asked if isinstance(each, AskHead))
    prepare = MessageReceived("s4", 1, Prepare(1, Ballot(1, 4), VOTERS[4]))
    for at in (1, 2, 3):
        revisions.handle(MS, MessageReceived(f"s{at}", 1, HeadIs(nonce, VOTERS[at], 0, None)))
    revisions.handle(MS, MessageReceived("s4", 1, HeadIs(nonce, VOTERS[4], 0, 0)))
    assert ask_accepted(revisions, 2 * MS) == 0
    promises = [each for each in revisions.handle(3 * MS, prepare) if isinstance(each, Send)]
    assert not any(isinstance(each.message, Promise) for each in promises)  # two of five may vote
    revisions.handle(4 * MS, MessageReceived("s1", 1, HeadIs(nonce, VOTERS[1], 0, 0)))
    promises = [each for each in revisions.handle(5 * MS, prepare) if isinstance(each, Send)]
    assert any(isinstance(each.message, Promise) for each in promises)
    assert ask_accepted(revisions, 6 * MS) == 1
