"""Fixtures that make test beds, closed and checked for errors at the end of each test."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.platform.bed import Bed
from tests.platform.process_bed import ProcessBed


@pytest.fixture
def beds(tmp_path: Path) -> Iterator[Any]:
    made: list[Bed] = []

    def make(*scripts: Any, **options: Any) -> Bed:
        made.append(Bed(tmp_path, *scripts, **options))
        return made[-1]

    yield make
    for bed in made:
        bed.close()


@pytest.fixture
def process_beds(tmp_path: Path) -> Iterator[Any]:
    made: list[ProcessBed] = []

    def make(*scripts: Any, **options: Any) -> ProcessBed:
        made.append(ProcessBed(tmp_path, *scripts, **options))
        return made[-1]

    yield make
    for bed in made:
        bed.close()
