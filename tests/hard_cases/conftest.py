"""Worlds that are closed, and looked over, at the end of each hard case."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest


from tests.world import World
from tests.hard_cases.bed import Make


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Make]:
    worlds: list[World] = []

    def build(*args: object, **options: object) -> World:
        world = World(tmp_path, *args, **options)  # type: ignore[arg-type]
        worlds.append(world)
        return world

    yield build
    for world in worlds:
        world.close()
