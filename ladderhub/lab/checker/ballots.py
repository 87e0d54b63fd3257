"""Ballots under every order of messages up to a bound: no number has two values, each the child of the last.

Three voters and two operators' proposers, run step by step as they are.  Every message to a voter, and every
word of what was chosen, may be delivered at any moment, any number of times, or never: so losses, doubles and
delays need no choices of their own.  A voter's answer comes at once or never.  That loses no schedule: an
answer that comes late only makes its proposer send later what may be delivered late anyway, and where it
comes after a majority it counts for nothing.  A voter may be killed after any of its actions and start again
from its record; a proposer may be killed and start again with nothing.

Who does what in which state with which message is run once and kept, so that the search itself handles small
numbers: a state is one number a process and the set of messages sent so far.  Of states that differ in the
names of the voters alone one is searched; in a trace names may change from step to step."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from itertools import permutations
from typing import Any

from msgspec.structs import replace

from ladderhub.lab.checker.ballot_processes import (
    OPERATORS, PROCESSES, VOTERS, Bounds, CheckedClasses, Proposing, VoterState,
)  # fmt: skip
from ladderhub.revision.content import digest_of
from ladderhub.revision.context import Context
from ladderhub.revision.messages import Accept, Accepted, Ballot, Header, Headers, Prepare
from ladderhub.revision.sync import Sync
from ladderhub.revision.types import Record, RevisionSettings, Send, Store

WALK_STEPS = 120
PROPOSERS_AT = range(len(VOTERS), len(PROCESSES))
ORDERS = tuple(permutations(range(len(VOTERS))))
# By number of the order: what each voter is called where the one that stood at order[at] stands at `at`.
NAMES = tuple({VOTERS[old]: VOTERS[new] for new, old in enumerate(order)} for order in ORDERS)


@dataclass
class SearchResult:
    states: int = 0
    steps: int = 0
    is_complete: bool = True  # all states within the bounds were seen
    walks: int = 0  # schedules drawn at random
    seconds: float = 0.0
    violation: str = ""
    trace: tuple[str, ...] = ()
    chosen: set[tuple[int, str]] = field(default_factory=set)  # values that were chosen in some schedule

    def lines(self) -> Iterator[str]:
        share = "all of them" if self.is_complete else "not all"
        seen = f"{self.walks} schedules" if self.walks else f"{self.states} states within the bounds, {share}"
        yield f"{seen}; {self.steps} steps, {self.seconds:.1f} s"
        yield f"values chosen in some schedule: {len(self.chosen)}"
        if self.violation:
            yield f"BROKEN: {self.violation} after"
            yield from self.trace
        else:
            yield "each number had one value, the child of the one before"


_Step = tuple[int, tuple[int, ...]]  # the process's next state and the messages it sent
_State = tuple[tuple[int, ...], frozenset[int]]  # of each process, and all messages


class Search:
    """All states that can be reached within the bounds."""

    def __init__(self, bounds: Bounds, classes: CheckedClasses) -> None:
        self.bounds, self.classes = bounds, classes
        self.found = SearchResult()
        self._messages: list[tuple[str, Any]] = []
        self._message_ids: dict[tuple[str, Any], int] = {}
        self._states: list[Any] = []  # of processes: `VoterState` or `Proposing`
        self._state_ids: dict[Hashable, int] = {}
        self._taken: dict[tuple[int, int, int], tuple[_Step, ...]] = {}
        self._own: dict[tuple[int, int], tuple[_Step, ...]] = {}
        self._judged: dict[frozenset[int], str] = {}
        self._sets: list[frozenset[int]] = []
        self._set_ids: dict[frozenset[int], int] = {}
        self._renamed_sets: dict[tuple[int, frozenset[int]], int] = {}
        self._renamed_messages: dict[tuple[int, int], int] = {}
        self._renamed_processes: dict[tuple[int, int, int], int] = {}

    # --- processes --------------------------------------------------------------------------------------

    def _keep(self, at: int, process: VoterState | Proposing) -> int:
        key = (at, process.key()) if isinstance(process, Proposing) else process
        if key not in self._state_ids:
            self._state_ids[key] = len(self._states)
            self._states.append(process)
        return self._state_ids[key]

    def _number(self, sent: list[Send]) -> tuple[int, ...]:
        numbers = []
        for each in sent:
            message = each.message
            if isinstance(message, Accept):
                message = replace(message, holder=message.reply_to)  # all have all bodies here
            key = (each.address, message)
            if key not in self._message_ids:
                self._message_ids[key] = len(self._messages)
                self._messages.append(key)
            numbers.append(self._message_ids[key])
        return tuple(numbers)

    def _deliver(self, at: int, state: int, message: int) -> tuple[_Step, ...]:
        """What this process may be after this message; killed after an action where that is another state."""
        known = self._taken.get((at, state, message))
        if known is None:
            process, content = self._states[state], self._messages[message][1]
            if isinstance(process, VoterState):
                known = self._voter_steps(at, process, content)
            else:
                known = (self._proposer_step(at, process, lambda changed: changed.receive(content)),)
            self._taken[at, state, message] = known
        return known

    def _voter_steps(self, at: int, state: VoterState, message: Any) -> tuple[_Step, ...]:
        address = VOTERS[at]
        context = Context(RevisionSettings(address, 1, address, VOTERS, b""), 1)
        ledger = self.classes.ledger(context, state.memory)
        voter = self.classes.voter(context, ledger)
        if isinstance(message, Prepare):
            voter.on_prepare(message)
        elif isinstance(message, Accept):
            voter.on_accept(message, message.header.author.encode())
        elif isinstance(message, Headers):
            Sync(context, ledger).on_headers(0, "", message)
        sent: list[Send] = []
        steps: dict[_Step, None] = {}
        disk = state.disk
        for action in context.actions:
            if isinstance(action, Store):
                disk = action.record
            elif isinstance(action, Send):
                sent.append(action)
            steps[self._keep(at, VoterState(disk, disk)), self._number(sent)] = None
        ledger.store()
        disk = next((each.record for each in context.actions[::-1] if isinstance(each, Store)), state.disk)
        steps[self._keep(at, VoterState(ledger._build_record(), disk)), self._number(sent)] = None
        return tuple(steps)

    def _proposer_step(self, at: int, process: Proposing, step: Callable[[Proposing], None]) -> _Step:
        changed = process.copied()
        step(changed)
        sent = [each for each in changed.context.actions if isinstance(each, Send)]
        return self._keep(at, changed), self._number(sent)

    def _own_steps(self, at: int, state: int) -> tuple[_Step, ...]:
        """What a process may do by itself: start again, or begin a ballot."""
        known = self._own.get((at, state))
        if known is None:
            process, steps = self._states[state], list[_Step]()
            if isinstance(process, VoterState):
                if process.memory != process.disk:
                    steps.append((self._keep(at, VoterState(process.disk, process.disk)), ()))
            else:
                if process.can_begin():
                    steps.append(self._proposer_step(at, process, Proposing.begin))
                if process.life <= self.bounds.restarts:
                    address = OPERATORS[at - len(VOTERS)]
                    again = Proposing(self.classes, self.bounds, address, process.life + 1, process.begun)
                    steps.append((self._keep(at, again), ()))
            known = self._own[at, state] = tuple(steps)
        return known

    # --- the search -------------------------------------------------------------------------------------

    def run(self) -> SearchResult:
        begun = time.perf_counter()
        start = self._start()
        came: dict[_State, tuple[_State, str] | None] = {start: None}
        waiting = deque([start])
        while waiting and not self.found.violation:
            state = waiting.popleft()
            for following, told in self._after(state):
                self.found.steps += 1
                after = self._by_any_names(following)
                if after in came:
                    continue
                if len(came) >= self.bounds.states:
                    self.found.is_complete = False
                    waiting.clear()
                    break
                came[after] = (state, told)
                fault = self._judge(after)
                if fault:
                    self.found.violation, self.found.trace = fault, self._trace(came, after)
                    break
                waiting.append(after)
        self.found.states, self.found.seconds = len(came), time.perf_counter() - begun
        return self.found

    def walk(self, rng: random.Random) -> None:
        """One schedule drawn at random, to its end or to `WALK_STEPS`."""
        state, trace = self._start(), list[str]()
        for _ in range(WALK_STEPS):
            following = list(self._after(state))
            if not following:
                return
            state, told = rng.choice(following)
            trace.append(told)
            self.found.steps += 1
            fault = self._judge(state)
            if fault:
                self.found.violation, self.found.trace = fault, tuple(trace)
                return

    def _start(self) -> _State:
        blank = Record(votes_from=1)
        processes = [self._keep(at, VoterState(blank, blank)) for at in range(len(VOTERS))]
        for at, address in enumerate(OPERATORS):
            first = Proposing(self.classes, self.bounds, address, 1)
            processes.append(self._keep(len(VOTERS) + at, first))
        return tuple(processes), frozenset()

    def _after(self, state: _State) -> Iterator[tuple[_State, str]]:
        processes, messages = state
        for at, address in enumerate(PROCESSES):
            for process, sent in self._own_steps(at, processes[at]):
                yield self._changed(state, at, process, sent), f"{address} by itself"
        for message in messages:
            target, content = self._messages[message]
            if isinstance(content, Accepted):
                continue  # kept for the judge
            at = PROCESSES.index(target)
            for process, sent in self._deliver(at, processes[at], message):
                changed = self._changed(state, at, process, sent)
                if changed != state:
                    yield changed, f"{target} hears {content}"
                for reply in sent:
                    to, answer = self._messages[reply]
                    if to in OPERATORS and not isinstance(answer, Headers):
                        answered = self._answered(changed, reply)
                        if answered != state:
                            yield answered, f"{target} hears {content}, is heard"

    def _answered(self, state: _State, reply: int) -> _State:
        """A proposer hears at once what a voter says."""
        at = PROCESSES.index(self._messages[reply][0])
        ((process, sent),) = self._deliver(at, state[0][at], reply)
        return self._changed(state, at, process, sent)

    def _changed(self, state: _State, at: int, process: int, sent: tuple[int, ...]) -> _State:
        processes, messages = state
        fresh = [each for each in sent if each not in messages and self._stays(each)]
        if fresh:
            messages = messages.union(fresh)
        if process != processes[at]:
            processes = (*processes[:at], process, *processes[at + 1 :])
        return processes, messages

    def _stays(self, message: int) -> bool:
        """May it be delivered later, or does the judge need it?"""
        target, content = self._messages[message]
        return target in VOTERS or isinstance(content, Headers | Accepted)

    @staticmethod
    def _trace(came: dict[_State, tuple[_State, str] | None], state: _State) -> tuple[str, ...]:
        trace = []
        step = came[state]
        while step is not None:
            trace.append(step[1])
            step = came[step[0]]
        return tuple(trace[::-1])

    # --- states that differ in names alone --------------------------------------------------------------

    def _by_any_names(self, state: _State) -> _State:
        """The same for all states that only name the voters otherwise."""
        processes, messages = state
        voters = processes[: len(VOTERS)]
        first = tuple(sorted(voters))
        others = []
        for number, order in enumerate(ORDERS):
            if tuple([voters[at] for at in order]) == first:
                proposers = [self._renamed_process(number, at, processes[at]) for at in PROPOSERS_AT]
                others.append((*proposers, self._renamed_set(number, messages)))
        *least, at = min(others)
        return (*first, *least), self._sets[at]

    def _renamed_set(self, number: int, messages: frozenset[int]) -> int:
        """The number of the set of these messages under other names."""
        key = (number, messages)
        found = self._renamed_sets.get(key)
        if found is None:
            renamed = frozenset(self._renamed_message(number, each) for each in messages)
            found = self._set_ids.setdefault(renamed, len(self._sets))
            if found == len(self._sets):
                self._sets.append(renamed)
            self._renamed_sets[key] = found
        return found

    def _renamed_message(self, number: int, message: int) -> int:
        key = (number, message)
        if key not in self._renamed_messages:
            target, content = self._messages[message]
            names = NAMES[number]
            if isinstance(content, Accepted):
                content = replace(content, voter=names[content.voter])
            renamed = self._number([Send(names.get(target, target), content)])
            self._renamed_messages[key] = renamed[0]
        return self._renamed_messages[key]

    def _renamed_process(self, number: int, at: int, state: int) -> int:
        key = (number, at, state)
        found = self._renamed_processes.get(key)
        if found is None:
            process = self._states[state].copied()
            process.rename(NAMES[number])
            found = self._renamed_processes[key] = self._keep(at, process)
        return found

    # --- what must hold ---------------------------------------------------------------------------------

    def _judge(self, state: _State) -> str:
        processes, messages = state
        fault = self._judged.get(messages)
        if fault is None:
            fault = self._judged[messages] = self._judge_messages(messages)
        return fault or self._judge_known(processes, messages)

    def _chosen(self, messages: frozenset[int]) -> dict[int, set[Header]]:
        """Values that a majority has accepted in one ballot, by what it answered."""
        values: dict[tuple[int, Ballot], set[Header]] = {}
        voters: dict[tuple[int, Ballot], set[str]] = {}
        for each in messages:
            content = self._messages[each][1]
            if isinstance(content, Accept):
                values.setdefault((content.header.number, content.ballot), set()).add(content.header)
            elif isinstance(content, Accepted):
                voters.setdefault((content.number, content.ballot), set()).add(content.voter)
        chosen: dict[int, set[Header]] = {}
        for key, accepted in voters.items():
            if len(accepted) > len(VOTERS) // 2:
                chosen.setdefault(key[0], set()).update(values.get(key, set()))
        return chosen

    def _judge_messages(self, messages: frozenset[int]) -> str:
        chosen = self._chosen(messages)
        for number, values in chosen.items():
            if len(values) > 1:
                return f"revision {number} has {len(values)} values"
            header = next(iter(values))
            self.found.chosen.add((number, header.author))
            parents = {digest_of(each) for each in chosen.get(number - 1, {None})}
            if number > 1 and (not chosen.get(number - 1) or header.parent not in parents):
                return f"revision {number} is no child of the one before"
        return ""

    def _judge_known(self, processes: tuple[int, ...], messages: frozenset[int]) -> str:
        """Nobody takes for chosen what was not."""
        chosen: dict[int, set[Header]] | None = None
        for state in processes:
            process = self._states[state]
            ledger = process.memory if isinstance(process, VoterState) else process.ledger
            for header in ledger.headers:
                if chosen is None:
                    chosen = self._chosen(messages)
                if chosen.get(header.number) != {header}:
                    return f"revision {header.number} is taken for chosen and was not"
        return ""


def get_search_bounds(states: int) -> tuple[Bounds, ...]:
    """What `ladderhub lab check ballots` searches, each up to so many states."""
    return (
        Bounds(1, (1, 1), 1, states), Bounds(1, (2, 1), 0, states), Bounds(1, (2, 1), 1, states),
        Bounds(2, (2, 1), 0, states),
    )  # fmt: skip


def check_exhaustively(bounds: Bounds | None = None, classes: CheckedClasses | None = None) -> SearchResult:
    """Every schedule within the bounds; stops at the first that breaks."""
    return Search(bounds or Bounds(), classes or CheckedClasses()).run()


def check_randomly(
    walks: int, seed: int, bounds: Bounds | None = None, classes: CheckedClasses | None = None
) -> SearchResult:
    """Schedules drawn from a seed, within wider bounds; stops at the first that breaks."""
    search = Search(bounds or Bounds(3, (6, 6), 2), classes or CheckedClasses())
    rng, begun = random.Random(seed), time.perf_counter()
    while search.found.walks < walks and not search.found.violation:
        search.found.walks += 1
        search.walk(rng)
    search.found.seconds = time.perf_counter() - begun
    return search.found
