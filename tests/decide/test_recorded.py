"""Guards against unintended changes of decisions: seeded streams must give exactly the recorded actions.

The digests were recorded at commit 020b92d, before the module was split into files, and again when repeats of
keyed tasks were made to end a margin before their window.  A change that is meant to alter decisions records
them again and says so."""

from __future__ import annotations

import hashlib
from typing import Any

import pytest

from ladderhub.interface import Action, LoadReport, Tenant
from tests.decide.test_property import CLASSES, EventStream
from tests.helpers import make_settings

STREAMS: dict[str, tuple[str, dict[str, Any]]] = {
    "one, list with room": ("15e2d84007561dfa 4fb532038cef0940", {"list_shows_room": True}),
    "three that tell": (
        "9fb34cf9e95fd030 09ea02b33c381687", {"schedulers": 3, "ordinal": 1, "may_message": True},
    ),
    "many, zones and fill priced": (
        "c93091b4489a4294 0fd539036e629a71",
        {
            "schedulers": 300, "ordinal": 7, "list_shows_room": True, "price_cross_zone": 0.1,
            "price_machines_in_use": 0.05, "first_at_running": False,
        },
    ),
    "sixteen, reports count use": (
        "fd1b1b6b7fbe3bce 2fff134df6a6bf8e",
        {"schedulers": 16, "ordinal": 3, "reports_count_use": True, "cold_safe_offers": 600.0},
    ),
}  # fmt: skip


def compute_digest(seed: int, changes: dict[str, Any]) -> str:
    """Return a digest of all actions of a seeded stream of 3,000 steps, with their times."""
    settings = make_settings(
        *CLASSES, tenants=(Tenant(0.8), Tenant(0.2)), **({"cold_safe_offers": 9.0} | changes)
    )
    stream = EventStream(settings, seed)
    log: list[tuple[int, Action]] = stream.harness.log
    stream.make_report = lambda: LoadReport(
        cores_free=stream.random.uniform(0, 16), memory_free=stream.random.uniform(0, 32)
    )
    for _ in range(3_000):
        stream.step()
    return hashlib.sha256(repr(log).encode()).hexdigest()[:16]


@pytest.mark.parametrize("name", STREAMS)
def test_a_recorded_stream_gives_the_same_actions(name: str) -> None:
    recorded, changes = STREAMS[name]
    assert [compute_digest(seed, changes) for seed in (1, 2)] == recorded.split()
