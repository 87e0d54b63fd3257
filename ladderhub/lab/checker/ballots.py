"""Checks ballots under every order of messages up to a bound.

Invariant: each revision number has one chosen value, which is the child of the revision before it.

The search runs three voters and the proposers of two operators, with the production classes.  Every message
to a voter, and every message about a chosen value, may be delivered at any time, any number of times, or
never.  This covers loss, duplication and delay.  A voter's answer is delivered immediately or never.  This
misses no schedule: a late answer only makes its proposer send later what may be delivered late anyway, and an
answer after a majority has no effect.  A voter may be killed after any of its actions and restart from its
record.  A proposer may be killed and restart with no state.

The result of delivering a message to a process in a state is computed once and cached, so the search handles
only small numbers: a state is one number per process and the set of messages sent so far.  Of the states that
differ only in the names of the voters, one is searched.  In a trace, the names may therefore change from step
to step."""

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
    OPERATORS, PROCESSES, VOTERS, Bounds, CheckedClasses, ProposerProcess, VoterState,
)  # fmt: skip
from ladderhub.revision.content import digest_of
from ladderhub.revision.context import Context
from ladderhub.revision.messages import Accept, Accepted, Ballot, Header, Headers, Prepare
from ladderhub.revision.sync import Sync
from ladderhub.revision.types import Record, RevisionSettings, Send, Store

MAX_WALK_STEPS = 120
PROPOSER_INDEXES = range(len(VOTERS), len(PROCESSES))
VOTER_ORDERS = tuple(permutations(range(len(VOTERS))))
# For each order: each voter's new name when the voter at order[index] moves to `index`.
VOTER_RENAMINGS = tuple({VOTERS[old]: VOTERS[new] for new, old in enumerate(order)} for order in VOTER_ORDERS)


@dataclass
class SearchResult:
    """What a search covered, and the first violation with its trace, if there was one."""

    states: int = 0
    steps: int = 0
    is_complete: bool = True  # all states within the bounds were searched
    walks: int = 0  # random schedules
    seconds: float = 0.0
    violation: str = ""
    trace: tuple[str, ...] = ()
    chosen: set[tuple[int, str]] = field(default_factory=set)  # numbers and authors, over all schedules

    def lines(self) -> Iterator[str]:
        """Yields the lines of the report."""
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
_State = tuple[tuple[int, ...], frozenset[int]]  # each process's state, and all messages sent


class Search:
    """Explores the states that can be reached within the bounds."""

    def __init__(self, bounds: Bounds, classes: CheckedClasses) -> None:
        self.bounds, self.classes = bounds, classes
        self.result = SearchResult()
        self._messages: list[tuple[str, Any]] = []
        self._message_ids: dict[tuple[str, Any], int] = {}
        self._processes: list[Any] = []  # `VoterState` or `ProposerProcess`
        self._process_ids: dict[Hashable, int] = {}
        self._delivery_steps: dict[tuple[int, int, int], tuple[_Step, ...]] = {}
        self._spontaneous_steps: dict[tuple[int, int], tuple[_Step, ...]] = {}
        self._checked_messages: dict[frozenset[int], str] = {}
        self._message_sets: list[frozenset[int]] = []
        self._message_set_ids: dict[frozenset[int], int] = {}
        self._renamed_sets: dict[tuple[int, frozenset[int]], int] = {}
        self._renamed_messages: dict[tuple[int, int], int] = {}
        self._renamed_processes: dict[tuple[int, int, int], int] = {}

    # --- processes --------------------------------------------------------------------------------------

    def _add_process(self, index: int, process: VoterState | ProposerProcess) -> int:
        key = (index, process.build_state_key()) if isinstance(process, ProposerProcess) else process
        if key not in self._process_ids:
            self._process_ids[key] = len(self._processes)
            self._processes.append(process)
        return self._process_ids[key]

    def _add_messages(self, sent: list[Send]) -> tuple[int, ...]:
        numbers = []
        for each in sent:
            message = each.message
            if isinstance(message, Accept):
                message = replace(message, holder=message.reply_to)  # every process has every body
            key = (each.address, message)
            if key not in self._message_ids:
                self._message_ids[key] = len(self._messages)
                self._messages.append(key)
            numbers.append(self._message_ids[key])
        return tuple(numbers)

    def _get_delivery_steps(self, index: int, state: int, message: int) -> tuple[_Step, ...]:
        """Returns the steps a process may take on a message, including those that a crash cuts short."""
        known = self._delivery_steps.get((index, state, message))
        if known is None:
            process, content = self._processes[state], self._messages[message][1]
            if isinstance(process, VoterState):
                known = self._run_voter(index, process, content)
            else:
                known = (self._run_proposer(index, process, lambda changed: changed.receive(content)),)
            self._delivery_steps[index, state, message] = known
        return known

    def _run_voter(self, index: int, state: VoterState, message: Any) -> tuple[_Step, ...]:
        address = VOTERS[index]
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
            steps[self._add_process(index, VoterState(disk, disk)), self._add_messages(sent)] = None
        ledger.store()
        disk = next((each.record for each in context.actions[::-1] if isinstance(each, Store)), state.disk)
        steps[
            self._add_process(index, VoterState(ledger._build_record(), disk)), self._add_messages(sent)
        ] = None
        return tuple(steps)

    def _run_proposer(
        self, index: int, process: ProposerProcess, step: Callable[[ProposerProcess], None]
    ) -> _Step:
        changed = process.clone()
        step(changed)
        sent = [each for each in changed.context.actions if isinstance(each, Send)]
        return self._add_process(index, changed), self._add_messages(sent)

    def _get_spontaneous_steps(self, index: int, state: int) -> tuple[_Step, ...]:
        """Returns the steps a process may take without a message: restart, or begin a ballot."""
        known = self._spontaneous_steps.get((index, state))
        if known is None:
            process, steps = self._processes[state], list[_Step]()
            if isinstance(process, VoterState):
                if process.memory != process.disk:
                    steps.append((self._add_process(index, VoterState(process.disk, process.disk)), ()))
            else:
                if process.can_begin_ballot():
                    steps.append(self._run_proposer(index, process, ProposerProcess.begin_ballot))
                if process.life <= self.bounds.restarts:
                    address = OPERATORS[index - len(VOTERS)]
                    again = ProposerProcess(
                        self.classes, self.bounds, address, process.life + 1, process.ballots_begun
                    )
                    steps.append((self._add_process(index, again), ()))
            known = self._spontaneous_steps[index, state] = tuple(steps)
        return known

    # --- the search -------------------------------------------------------------------------------------

    def run(self) -> SearchResult:
        """Searches breadth first until complete, until the limit of states or until a violation."""
        started_s = time.perf_counter()
        start = self._create_start_state()
        predecessors: dict[_State, tuple[_State, str] | None] = {start: None}
        queue = deque([start])
        while queue and not self.result.violation:
            state = queue.popleft()
            for following, description in self._find_successors(state):
                self.result.steps += 1
                after = self._canonicalize(following)
                if after in predecessors:
                    continue
                if len(predecessors) >= self.bounds.states:
                    self.result.is_complete = False
                    queue.clear()
                    break
                predecessors[after] = (state, description)
                fault = self._check_state(after)
                if fault:
                    self.result.violation, self.result.trace = fault, self._build_trace(predecessors, after)
                    break
                queue.append(after)
        self.result.states, self.result.seconds = len(predecessors), time.perf_counter() - started_s
        return self.result

    def run_random_walk(self, rng: random.Random) -> None:
        """Runs one random schedule, to its end or for `MAX_WALK_STEPS`."""
        state, trace = self._create_start_state(), list[str]()
        for _ in range(MAX_WALK_STEPS):
            following = list(self._find_successors(state))
            if not following:
                return
            state, description = rng.choice(following)
            trace.append(description)
            self.result.steps += 1
            fault = self._check_state(state)
            if fault:
                self.result.violation, self.result.trace = fault, tuple(trace)
                return

    def _create_start_state(self) -> _State:
        empty_record = Record(votes_from=1)
        processes = [
            self._add_process(index, VoterState(empty_record, empty_record)) for index in range(len(VOTERS))
        ]
        for index, address in enumerate(OPERATORS):
            first = ProposerProcess(self.classes, self.bounds, address, 1)
            processes.append(self._add_process(len(VOTERS) + index, first))
        return tuple(processes), frozenset()

    def _find_successors(self, state: _State) -> Iterator[tuple[_State, str]]:
        processes, messages = state
        for index, address in enumerate(PROCESSES):
            for process, sent in self._get_spontaneous_steps(index, processes[index]):
                yield self._apply_step(state, index, process, sent), f"{address} by itself"
        for message in messages:
            target, content = self._messages[message]
            if isinstance(content, Accepted):
                continue  # kept only for the check of chosen values
            index = PROCESSES.index(target)
            for process, sent in self._get_delivery_steps(index, processes[index], message):
                changed = self._apply_step(state, index, process, sent)
                if changed != state:
                    yield changed, f"{target} hears {content}"
                for reply in sent:
                    to, answer = self._messages[reply]
                    if to in OPERATORS and not isinstance(answer, Headers):
                        answered = self._deliver_reply(changed, reply)
                        if answered != state:
                            yield answered, f"{target} hears {content}, is heard"

    def _deliver_reply(self, state: _State, reply: int) -> _State:
        """Delivers a voter's answer to the proposer immediately."""
        index = PROCESSES.index(self._messages[reply][0])
        ((process, sent),) = self._get_delivery_steps(index, state[0][index], reply)
        return self._apply_step(state, index, process, sent)

    def _apply_step(self, state: _State, index: int, process: int, sent: tuple[int, ...]) -> _State:
        processes, messages = state
        new_messages = [each for each in sent if each not in messages and self._is_kept(each)]
        if new_messages:
            messages = messages.union(new_messages)
        if process != processes[index]:
            processes = (*processes[:index], process, *processes[index + 1 :])
        return processes, messages

    def _is_kept(self, message: int) -> bool:
        """Whether a message may be delivered later or is needed by the check of chosen values."""
        target, content = self._messages[message]
        return target in VOTERS or isinstance(content, Headers | Accepted)

    @staticmethod
    def _build_trace(predecessors: dict[_State, tuple[_State, str] | None], state: _State) -> tuple[str, ...]:
        trace = []
        step = predecessors[state]
        while step is not None:
            trace.append(step[1])
            step = predecessors[step[0]]
        return tuple(trace[::-1])

    # --- symmetry: states that differ only in voters' names ---------------------------------------------

    def _canonicalize(self, state: _State) -> _State:
        """Returns one representative of all states that differ only in the voters' names."""
        processes, messages = state
        voters = processes[: len(VOTERS)]
        first = tuple(sorted(voters))
        candidates = []
        for number, order in enumerate(VOTER_ORDERS):
            if tuple([voters[index] for index in order]) == first:
                renamed = [
                    self._rename_process(number, index, processes[index]) for index in PROPOSER_INDEXES
                ]
                candidates.append((*renamed, self._rename_message_set(number, messages)))
        *proposers, message_set = min(candidates)
        return (*first, *proposers), self._message_sets[message_set]

    def _rename_message_set(self, number: int, messages: frozenset[int]) -> int:
        """Returns the id of the set of these messages with the voters renamed."""
        key = (number, messages)
        found = self._renamed_sets.get(key)
        if found is None:
            renamed = frozenset(self._rename_message(number, each) for each in messages)
            found = self._message_set_ids.setdefault(renamed, len(self._message_sets))
            if found == len(self._message_sets):
                self._message_sets.append(renamed)
            self._renamed_sets[key] = found
        return found

    def _rename_message(self, number: int, message: int) -> int:
        key = (number, message)
        if key not in self._renamed_messages:
            target, content = self._messages[message]
            names = VOTER_RENAMINGS[number]
            if isinstance(content, Accepted):
                content = replace(content, voter=names[content.voter])
            renamed = self._add_messages([Send(names.get(target, target), content)])
            self._renamed_messages[key] = renamed[0]
        return self._renamed_messages[key]

    def _rename_process(self, number: int, index: int, state: int) -> int:
        key = (number, index, state)
        found = self._renamed_processes.get(key)
        if found is None:
            process = self._processes[state].clone()
            process.rename_voters(VOTER_RENAMINGS[number])
            found = self._renamed_processes[key] = self._add_process(index, process)
        return found

    # --- invariants -------------------------------------------------------------------------------------

    def _check_state(self, state: _State) -> str:
        processes, messages = state
        fault = self._checked_messages.get(messages)
        if fault is None:
            fault = self._checked_messages[messages] = self._check_messages(messages)
        return fault or self._check_known_headers(processes, messages)

    def _find_chosen(self, messages: frozenset[int]) -> dict[int, set[Header]]:
        """Returns, by revision number, the values that a majority accepted in one ballot, by its answers."""
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

    def _check_messages(self, messages: frozenset[int]) -> str:
        chosen = self._find_chosen(messages)
        for number, values in chosen.items():
            if len(values) > 1:
                return f"revision {number} has {len(values)} values"
            header = next(iter(values))
            self.result.chosen.add((number, header.author))
            parents = {digest_of(each) for each in chosen.get(number - 1, {None})}
            if number > 1 and (not chosen.get(number - 1) or header.parent not in parents):
                return f"revision {number} is no child of the one before"
        return ""

    def _check_known_headers(self, processes: tuple[int, ...], messages: frozenset[int]) -> str:
        """Checks that no process holds a header as chosen that was not chosen."""
        chosen: dict[int, set[Header]] | None = None
        for state in processes:
            process = self._processes[state]
            ledger = process.memory if isinstance(process, VoterState) else process.ledger
            for header in ledger.headers:
                if chosen is None:
                    chosen = self._find_chosen(messages)
                if chosen.get(header.number) != {header}:
                    return f"revision {header.number} is taken for chosen and was not"
        return ""


def get_search_bounds(states: int) -> tuple[Bounds, ...]:
    """Returns the bounds of the searches of `ladderhub lab check ballots`, each with this limit of states."""
    return (
        Bounds(1, (1, 1), 1, states), Bounds(1, (2, 1), 0, states), Bounds(1, (2, 1), 1, states),
        Bounds(2, (2, 1), 0, states),
    )  # fmt: skip


def check_exhaustively(bounds: Bounds | None = None, classes: CheckedClasses | None = None) -> SearchResult:
    """Searches every schedule within the bounds; stops at the first violation."""
    return Search(bounds or Bounds(), classes or CheckedClasses()).run()


def check_randomly(
    walks: int, seed: int, bounds: Bounds | None = None, classes: CheckedClasses | None = None
) -> SearchResult:
    """Runs random schedules drawn from a seed, within wider bounds; stops at the first violation."""
    search = Search(bounds or Bounds(3, (6, 6), 2), classes or CheckedClasses())
    rng, started_s = random.Random(seed), time.perf_counter()
    while search.result.walks < walks and not search.result.violation:
        search.result.walks += 1
        search.run_random_walk(rng)
    search.result.seconds = time.perf_counter() - started_s
    return search.result
