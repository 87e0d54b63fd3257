"""Which connections are taken for ones to the current process of a machine, in all orders of five of them."""

from __future__ import annotations

from itertools import chain, combinations

import pytest

from ladderhub.platform.process_check import ProcessCheck

CONNECTIONS = 5


def subsets(items: range) -> list[tuple[int, ...]]:
    return list(chain.from_iterable(combinations(items, size) for size in range(len(items) + 1)))


@pytest.mark.parametrize("first_new", range(CONNECTIONS + 1))
def test_a_connection_to_the_previous_process_is_never_taken_for_a_current_one(first_new: int) -> None:
    # Those before `first_new` lead to the previous process, and are silent once the restart was told.
    for heard_before in subsets(range(CONNECTIONS)):
        for heard_after in subsets(range(first_new, CONNECTIONS)):
            check = ProcessCheck()
            for order in heard_before:
                check.record_heard(order)
            check.begin()
            for order in heard_after:
                check.record_heard(order)
            check.end()
            for order in range(CONNECTIONS):
                known = bool(heard_after) and order >= min(heard_after)
                assert check.is_current(order) == known
                assert order >= first_new or not check.is_current(order)
            assert not check.is_current(None)


def test_what_is_heard_after_the_end_of_the_check_changes_nothing() -> None:
    check = ProcessCheck()
    check.begin()
    check.record_heard(3)
    check.end()
    check.record_heard(1)
    assert check.is_current(3) and not check.is_current(2)


def test_a_second_restart_begins_anew() -> None:
    check = ProcessCheck()
    check.begin()
    check.record_heard(1)
    check.begin()
    check.record_heard(2)
    check.end()
    assert check.is_current(2) and not check.is_current(1)
