"""Recorded days: the module gives the same actions, to the letter, as the one file that it was split from.

The digests were taken from that file (commit 020b92d).  A change that is meant to change choices takes them
anew and says so; one that is not meant to fails here."""

from __future__ import annotations

import hashlib
from typing import Any

import pytest

from ladderhub.interface import Action, LoadReport, Tenant
from tests.decide.test_property import CLASSES, Stream
from tests.helpers import settings

DAYS: dict[str, tuple[str, dict[str, Any]]] = {
    "one, list with room": ("dd2cb5d80ddfd3b4 baae3fb631e69404", {"list_shows_room": True}),
    "three that tell": (
        "e2a708ef9c0a01e7 82ac69554d675a1b", {"schedulers": 3, "ordinal": 1, "may_message": True},
    ),
    "many, zones and fill priced": (
        "9a4c0aa0689e555e 425880b19dedf337",
        {
            "schedulers": 300, "ordinal": 7, "list_shows_room": True, "price_cross_zone": 0.1,
            "price_machines_in_use": 0.05, "first_at_running": False,
        },
    ),
    "sixteen, reports count use": (
        "fd1b1b6b7fbe3bce b846facaef128558",
        {"schedulers": 16, "ordinal": 3, "reports_count_use": True, "cold_safe_offers": 600.0},
    ),
}  # fmt: skip


def digest(seed: int, changes: dict[str, Any]) -> str:
    """Of all actions of a seeded day of 3,000 steps, with their times."""
    given = settings(*CLASSES, tenants=(Tenant(0.8), Tenant(0.2)), **({"cold_safe_offers": 9.0} | changes))
    stream = Stream(given, seed)
    log: list[tuple[int, Action]] = stream.bed.log
    stream.reports = lambda: LoadReport(
        cores_free=stream.random.uniform(0, 16), memory_free=stream.random.uniform(0, 32)
    )
    for _ in range(3_000):
        stream.step()
    return hashlib.sha256(repr(log).encode()).hexdigest()[:16]


@pytest.mark.parametrize("name", DAYS)
def test_a_recorded_day_gives_the_same_actions(name: str) -> None:
    recorded, changes = DAYS[name]
    assert [digest(seed, changes) for seed in (1, 2)] == recorded.split()
