"""Limits on the decision module that the operators set."""

from pathlib import Path

MODULE = Path(__file__).parents[1] / "ladderhub" / "decide.py"


def test_module_stays_reviewable() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 650
    assert max(len(line) for line in lines) <= 110
    assert "interface.py" in lines[0] + lines[2]
