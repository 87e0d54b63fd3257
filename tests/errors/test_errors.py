"""Errors have one base class, state a remedy and are listed for operators; malformed input is counted."""

from __future__ import annotations

import importlib
import pkgutil
from pathlib import Path

import ladderhub
from ladderhub.errors import LadderhubError, iter_error_types
from ladderhub.errors.tally import MalformedInputTally
from ladderhub.server.settings import SettingsError

PAGE = (Path(__file__).parents[2] / "docs" / "operators.md").read_text()
S = 1_000_000_000


def test_every_error_type_has_a_remedy_a_status_a_code_and_its_row_on_the_operators_page() -> None:
    for module in pkgutil.walk_packages(ladderhub.__path__, "ladderhub."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    types = list(iter_error_types())
    assert len(types) >= 13
    for each in types:
        own = [kind for kind in each.__mro__ if issubclass(kind, LadderhubError)][:-1]
        for field in ("remedy", "status", "code"):
            assert any(field in vars(kind) for kind in own), f"{each.__name__} states no {field}"
        assert each.status in (1, 2, 3) and 15000 < each.code < 15100 and len(each.remedy) > 20, each
        assert f"| `{each.__name__}` |" in PAGE, f"{each.__name__} is not on the operators' page"
        assert each.remedy in " ".join(PAGE.split()), f"{each.__name__}: the page has another remedy"


def test_no_error_of_the_project_stands_outside_the_base() -> None:
    # Built-in exceptions may be raised for control flow and programming errors, but not subclassed.
    for module in pkgutil.walk_packages(ladderhub.__path__, "ladderhub."):
        if module.name.endswith("__main__"):
            continue
        for each in vars(importlib.import_module(module.name)).values():
            if isinstance(each, type) and issubclass(each, Exception) and each.__module__ == module.name:
                assert issubclass(each, LadderhubError | EOFError), each


def test_an_error_tells_where_what_and_what_was_expected() -> None:
    fault = SettingsError("found 3", where="fleet.jsonnet: spool", expected="a folder")
    assert str(fault) == "fleet.jsonnet: spool: found 3; a folder is meant"
    assert (fault.what, fault.where, fault.expected) == ("found 3", "fleet.jsonnet: spool", "a folder")


def test_malformed_input_is_reported_once_a_second_in_bounded_memory() -> None:
    # Guards against senders that choose kinds and addresses so that the counters grow without bound.
    tally = MalformedInputTally()
    for at in range(10_000):
        tally.count(f"kind-{at % 50}", f"10.0.{at // 256}.{at % 256}:{at}")
    first = tally.take_due(5 * S)
    assert sum(row.count for row in first) == sum(tally.total.values()) == 10_000
    assert len(tally.total) <= 33 and len(first) <= 33 * 65
    tally.count("cut", "a")
    assert tally.take_due(5 * S + S // 2) == []
    tally.count("cut", "a")
    assert [(row.kind, row.peer, row.count) for row in tally.take_due(6 * S)] == [("others", "a", 2)]
    assert tally.take_due(9 * S) == []
