"""A fixture that builds worlds, and closes and checks them at the end of each test."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest


from tests.world import World
from tests.hard_cases.bed import WorldFactory


@pytest.fixture
def make_world(tmp_path: Path) -> Iterator[WorldFactory]:
    worlds: list[World] = []

    def build(*args: object, **options: object) -> World:
        world = World(tmp_path, *args, **options)  # type: ignore[arg-type]
        worlds.append(world)
        return world

    yield build
    for world in worlds:
        world.close()
